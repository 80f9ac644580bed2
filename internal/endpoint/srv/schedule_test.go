package srv

import (
	"errors"
	"strings"
	"testing"
)

const second = int64(1_000_000) // in microseconds

func TestSchedule_CheckNamesTheField(t *testing.T) {
	for field, schedule := range map[string]Schedule{
		"refresh_floor":   {Floor: 0, Ceiling: second},
		"refresh_ceiling": {Floor: 2 * second, Ceiling: second},
		"jitter":          {Floor: second, Ceiling: second, Jitter: 0.7},
	} {
		if err := schedule.Check(); !errors.Is(err, ErrSchedule) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func TestSchedule_RefreshComesBeforeTheTTLWithinTheJitter(t *testing.T) {
	schedule := Schedule{Floor: second, Ceiling: 300 * second, Jitter: 0.1}
	for _, draw := range []float64{0, 0.25, 0.5, 0.999} {
		got := schedule.Refresh(30*second, draw)
		if got >= 30*second || got < 27*second {
			t.Errorf("draw %v: refresh after %d µs, want within 27 s and 30 s", draw, got)
		}
	}
	if early, late := schedule.Refresh(30*second, 0.1), schedule.Refresh(30*second, 0.9); early == late {
		t.Error("the draw does not move the refresh")
	}
}

func TestSchedule_RefreshKeepsFloorAndCeiling(t *testing.T) {
	schedule := Schedule{Floor: second, Ceiling: 300 * second, Jitter: 0.1}
	if got := schedule.Refresh(0, 0.5); got != second {
		t.Errorf("TTL 0: %d, want the floor", got)
	}
	if got := schedule.Refresh(86400*second*365, 0.5); got != 300*second {
		t.Errorf("a year's TTL: %d, want the ceiling", got)
	}
}

func TestSchedule_RetryDoublesUpToTheCeiling(t *testing.T) {
	schedule := Schedule{Floor: second, Ceiling: 8 * second}
	want := []int64{second, 2 * second, 4 * second, 8 * second, 8 * second, 8 * second}
	for i, wanted := range want {
		if got := schedule.Retry(i+1, 0.5); got != wanted {
			t.Errorf("failure %d: %d, want %d", i+1, got, wanted)
		}
	}
	schedule.Jitter = 0.5
	if got := schedule.Retry(4, 0.999); got < 4*second || got >= 8*second {
		t.Errorf("jittered: %d", got)
	}
	if got := schedule.Retry(1000, 0); got != 8*second {
		t.Errorf("many failures: %d", got)
	}
}
