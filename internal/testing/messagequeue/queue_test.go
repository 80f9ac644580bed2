package messagequeue_test

import (
	"math"
	"slices"
	"testing"

	"eidertrail/internal/testing/messagequeue"
)

func TestQueue_PopsByArrivalThenOrder(t *testing.T) {
	var queue messagequeue.Queue
	for _, m := range []messagequeue.Message{
		{At: 20, Order: 4}, {At: 10, Order: 3}, {At: 10, Order: 1}, {At: 30, Order: 0}, {At: 10, Order: 2},
	} {
		queue.Push(m)
	}
	var got []int
	for m, ok := queue.PopUntil(math.MaxInt64); ok; m, ok = queue.PopUntil(math.MaxInt64) {
		got = append(got, m.Order)
	}
	if want := []int{1, 2, 3, 4, 0}; !slices.Equal(got, want) {
		t.Errorf("orders %v, want %v", got, want)
	}
}

func TestQueue_KeepsWhatArrivesLater(t *testing.T) {
	var queue messagequeue.Queue
	queue.Push(messagequeue.Message{At: 10, From: 1, To: 2, Body: []byte("x")})
	if early, ok := queue.PopUntil(9); ok {
		t.Errorf("popped %+v before its time", early)
	}
	due, ok := queue.PopUntil(10)
	if !ok || due.From != 1 || due.To != 2 || string(due.Body) != "x" {
		t.Errorf("popped %+v, %v", due, ok)
	}
	if extra, ok := queue.PopUntil(10); ok {
		t.Errorf("popped %+v from an empty queue", extra)
	}
}
