package sippool

import (
	"slices"
	"testing"
	"time"
)

func TestBackoff_DoublesUpToItsMaximumAndResetsToItsMinimum(t *testing.T) {
	delays := newBackoff(20*time.Millisecond, 100*time.Millisecond)
	got := make([]time.Duration, 0, 6)
	for range 5 {
		got = append(got, delays.next())
	}
	delays.reset()
	got = append(got, delays.next())

	want := []time.Duration{
		20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond,
		100 * time.Millisecond, 20 * time.Millisecond,
	}
	if !slices.Equal(got, want) {
		t.Errorf("delays %v, want %v", got, want)
	}
}
