package srv

import (
	"errors"
	"testing"
)

const s1 = int64(1_000_000)

func TestScheduleCheckNamesTheField(t *testing.T) {
	for field, s := range map[string]Schedule{
		"refresh_floor":   {Floor: 0, Ceiling: s1},
		"refresh_ceiling": {Floor: 2 * s1, Ceiling: s1},
		"jitter":          {Floor: s1, Ceiling: s1, Jitter: 0.7},
	} {
		if err := s.Check(); !errors.Is(err, ErrSchedule) || !containsText(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func containsText(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}

func TestRefreshComesBeforeTheTTLWithinTheJitter(t *testing.T) {
	s := Schedule{Floor: s1, Ceiling: 300 * s1, Jitter: 0.1}
	for _, u := range []float64{0, 0.25, 0.5, 0.999} {
		got := s.Refresh(30*s1, u)
		if got >= 30*s1 || got < 27*s1 {
			t.Errorf("u %v: refresh after %d µs, want within 27 s and 30 s", u, got)
		}
	}
	if a, b := s.Refresh(30*s1, 0.1), s.Refresh(30*s1, 0.9); a == b {
		t.Error("the draw does not move the refresh")
	}
}

func TestRefreshKeepsFloorAndCeiling(t *testing.T) {
	s := Schedule{Floor: s1, Ceiling: 300 * s1, Jitter: 0.1}
	if got := s.Refresh(0, 0.5); got != s1 {
		t.Errorf("TTL 0: %d, want the floor", got)
	}
	if got := s.Refresh(86400*s1*365, 0.5); got != 300*s1 {
		t.Errorf("a year's TTL: %d, want the ceiling", got)
	}
}

func TestRetryDoublesUpToTheCeiling(t *testing.T) {
	s := Schedule{Floor: s1, Ceiling: 8 * s1}
	want := []int64{s1, 2 * s1, 4 * s1, 8 * s1, 8 * s1, 8 * s1}
	for i, w := range want {
		if got := s.Retry(i+1, 0.5); got != w {
			t.Errorf("failure %d: %d, want %d", i+1, got, w)
		}
	}
	s.Jitter = 0.5
	if got := s.Retry(4, 0.999); got < 4*s1 || got >= 8*s1 {
		t.Errorf("jittered: %d", got)
	}
	if got := s.Retry(1000, 0); got != 8*s1 {
		t.Errorf("many failures: %d", got)
	}
}
