package srv

import (
	"errors"
	"fmt"
)

// Schedule says when a name is asked again. Times are in µs.
type Schedule struct {
	Floor   int64   // the least time between two questions for a name, whatever the TTL (TTL 0 too)
	Ceiling int64   // the most time between them, however long the TTL
	Jitter  float64 // the share of the TTL by which a refresh comes early, drawn anew each time: 0 to 0.5
}

// ErrSchedule tells of a Schedule that makes no sense.
var ErrSchedule = errors.New("srv: bad schedule")

// Check tells what is wrong with the Schedule, naming the field.
func (s Schedule) Check() error {
	switch {
	case s.Floor <= 0:
		return fmt.Errorf("%w: refresh_floor: want more than 0", ErrSchedule)
	case s.Ceiling < s.Floor:
		return fmt.Errorf("%w: refresh_ceiling: want at least refresh_floor", ErrSchedule)
	case !(s.Jitter >= 0 && s.Jitter <= 0.5):
		return fmt.Errorf("%w: jitter: want 0 to 0.5", ErrSchedule)
	}
	return nil
}

// Refresh is how long after a good answer whose least TTL is ttl (µs) the name is asked again: before the
// TTL runs out, early by a share of it drawn from u in [0, 1), so that names and controllers that were
// told alike do not ask together; never sooner than Floor nor later than Ceiling.
func (s Schedule) Refresh(ttl int64, u float64) int64 {
	early := int64(float64(ttl) * s.Jitter * (0.5 + u/2)) // half to all of the jitter: never on the dot
	return min(max(ttl-early, s.Floor), s.Ceiling)
}

// Retry is how long after the failures-th failure in a row the name is asked again: Floor, doubled with
// each failure, up to Ceiling, less a share of it drawn from u.
func (s Schedule) Retry(failures int, u float64) int64 {
	wait := s.Floor
	for i := 1; i < failures && wait < s.Ceiling; i++ {
		wait *= 2
	}
	wait = min(wait, s.Ceiling)
	return max(s.Floor, wait-int64(float64(wait)*s.Jitter*u))
}
