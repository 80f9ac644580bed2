package slowstart_test

import (
	"math"
	"testing"

	"eidertrail/internal/slowstart"
)

const second = int64(1_000_000) // in microseconds

// warmUp is a profile from a fifth of the capacity to all of it within ten seconds; arrivals over three times the
// capacity within half a second overload.
func warmUp() slowstart.Profile {
	return slowstart.Profile{
		InitialCapacity:  0.2,
		Window:           10 * second,
		OverloadMultiple: 3,
		OverloadWindow:   second / 2,
	}
}

// near reports whether two figures differ by rounding alone.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestProfile_CapacityAt(t *testing.T) {
	instant := slowstart.Profile{InitialCapacity: 0.2}
	for _, test := range []struct {
		name      string
		profile   slowstart.Profile
		age       int64
		part      float64
		warmingUp bool
	}{
		{"at the start", warmUp(), 0, 0.2, true},
		{"before the start, as clocks differ", warmUp(), -second, 0.2, true},
		{"half way", warmUp(), 5 * second, 0.6, true},
		{"nine tenths of the way", warmUp(), 9 * second, 0.92, true},
		{"a microsecond before the end", warmUp(), 10*second - 1, 1 - 0.8/1e7, true},
		{"at the end", warmUp(), 10 * second, 1, false},
		{"long after", warmUp(), 1000 * second, 1, false},
		{"no window", instant, 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			part, warmingUp := test.profile.CapacityAt(test.age)
			if !near(part, test.part) || warmingUp != test.warmingUp {
				t.Errorf("part %v, warming up %v; want %v, %v", part, warmingUp, test.part, test.warmingUp)
			}
		})
	}
}

func TestProfile_MaxArrivals(t *testing.T) {
	// 3 times 20 a second, for half a second.
	if got := warmUp().MaxArrivals(20); !near(got, 30) {
		t.Errorf("%v arrivals, want 30", got)
	}
	if got := warmUp().MaxArrivals(0); got != 0 {
		t.Errorf("%v arrivals at a process without capacity, want 0", got)
	}
}
