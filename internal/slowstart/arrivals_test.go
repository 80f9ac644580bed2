package slowstart_test

import (
	"testing"

	"eidertrail/internal/slowstart"
)

func TestArrivals_AddCountsWithinTheOverloadWindow(t *testing.T) {
	var arrivals slowstart.Arrivals
	for i, test := range []struct {
		at   int64
		want int
	}{
		{0, 1},
		{0, 2},
		{second / 4, 3},
		{second / 2, 4},   // the first two are exactly a window old, and count
		{second/2 + 1, 3}, // the first two don't any more
		{2 * second, 1},
	} {
		if got := arrivals.Add(test.at, warmUp(), 20); got != test.want {
			t.Errorf("arrival %d at %d µs: %d within the window, want %d", i+1, test.at, got, test.want)
		}
	}
}

func TestArrivals_WorstKeepsTheHighestLoad(t *testing.T) {
	var arrivals slowstart.Arrivals
	if got := arrivals.Worst(); got != 0 {
		t.Errorf("load %v before any arrival, want 0", got)
	}
	for range 6 {
		arrivals.Add(0, warmUp(), 2) // 3 arrivals are allowed
	}
	if got := arrivals.Worst(); !near(got, 2) {
		t.Errorf("load %v after 6 of 3 arrivals, want 2", got)
	}
	arrivals.Add(0, warmUp(), 20) // 7 of 30
	arrivals.Add(10*second, warmUp(), 20)
	if got := arrivals.Worst(); !near(got, 2) {
		t.Errorf("load %v after lighter loads, want 2 as before", got)
	}
}

func TestArrivals_RestartForgetsArrivalsAndKeepsWorst(t *testing.T) {
	var arrivals slowstart.Arrivals
	for range 6 {
		arrivals.Add(0, warmUp(), 2)
	}
	arrivals.Restart()
	if got := arrivals.Add(0, warmUp(), 2); got != 1 {
		t.Errorf("%d arrivals after a restart, want 1", got)
	}
	if got := arrivals.Worst(); !near(got, 2) {
		t.Errorf("load %v after a restart, want 2 as before", got)
	}
}

func TestArrivals_NothingIsCountedWithoutOverloadWindow(t *testing.T) {
	var arrivals slowstart.Arrivals
	profile := warmUp()
	profile.OverloadWindow = 0
	for range 3 {
		if got := arrivals.Add(0, profile, 20); got != 0 {
			t.Errorf("%d arrivals without a window, want 0", got)
		}
	}
	if got := arrivals.Worst(); got != 0 {
		t.Errorf("load %v without a window, want 0", got)
	}
}

func TestArrivals_AreBounded(t *testing.T) {
	const remembered = 1 << 16
	var arrivals slowstart.Arrivals
	got := 0
	for range remembered + 10 {
		got = arrivals.Add(0, warmUp(), 20)
	}
	if got != remembered {
		t.Errorf("%d arrivals are remembered, want %d", got, remembered)
	}
}
