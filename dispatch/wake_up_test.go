package dispatch

import (
	"slices"
	"testing"
)

func TestWakeUpQueue_TakesWhatIsDueInOrder(t *testing.T) {
	var queue wakeUpQueue
	if queue.next() != 0 {
		t.Errorf("an empty queue is due at %d", queue.next())
	}
	for token, at := range []int64{30, 10, 20, 20, 40} {
		queue.add(wakeUp{at: at, token: uint64(token)})
	}

	var taken []uint64
	for token, due := queue.takeDue(30); due; token, due = queue.takeDue(30) {
		taken = append(taken, token)
	}

	if want := []uint64{1, 3, 2, 0}; !slices.Equal(taken, want) {
		t.Errorf("took %v, want %v", taken, want)
	}
	if queue.next() != 40 {
		t.Errorf("the rest is due at %d, want 40", queue.next())
	}
}
