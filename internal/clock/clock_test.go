package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/clock"
)

// hour is how far the reading at New is from zero, in microseconds.
const hour = int64(3_600_000_000)

func TestClock_NowCountsMicrosecondsSinceNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.New()
		if got := now.Now(); got != hour {
			t.Errorf("reading %d at New, want %d", got, hour)
		}
		time.Sleep(1500*time.Microsecond + 999*time.Nanosecond)
		if got := now.Now(); got != hour+1500 {
			t.Errorf("reading %d after 1500.999 µs, want %d", got, hour+1500)
		}
	})
}

func TestClock_FromUnixMilli(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.New()
		start := time.Now().UnixMilli() // a whole number of milliseconds: the virtual time begins at a full second
		for _, test := range []struct {
			name       string
			unixMillis int64
			want       int64
		}{
			{"the start of the clock", start, hour},
			{"a second later", start + 1000, hour + 1_000_000},
			{"a second earlier", start - 1000, hour - 1_000_000},
			{"a millisecond after the origin", start - 3_599_999, 1000},
			{"the origin", start - 3_600_000, 0},
			{"before the origin", start - 3_600_001, 0},
			{"none", 0, 0},
			{"negative", -1, 0},
		} {
			if got := now.FromUnixMilli(test.unixMillis); got != test.want {
				t.Errorf("%s: reading %d, want %d", test.name, got, test.want)
			}
		}
	})
}

func TestClock_FromUnixMilliAgreesWithNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.New()
		time.Sleep(90 * time.Minute)
		if got, want := now.FromUnixMilli(time.Now().UnixMilli()), now.Now(); got != want {
			t.Errorf("reading %d of the present time, want %d", got, want)
		}
	})
}
