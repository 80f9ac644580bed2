package srv

import (
	"errors"
	"fmt"
)

// maxJitter is the largest Schedule.Jitter.
const maxJitter = 0.5

// Schedule says when a name is asked again. Times are in microseconds.
type Schedule struct {
	Floor   int64   // the least time between two questions for a name, whatever the TTL (TTL 0 too)
	Ceiling int64   // the most time between them, however long the TTL
	Jitter  float64 // the part of the TTL by which a refresh comes early, drawn anew each time: 0 to 0.5
}

// ErrSchedule reports an invalid Schedule.
var ErrSchedule = errors.New("srv: bad schedule")

// Check reports what is wrong with the Schedule, naming the field.
func (s Schedule) Check() error {
	switch {
	case s.Floor <= 0:
		return fmt.Errorf("%w: refresh_floor: want more than 0", ErrSchedule)
	case s.Ceiling < s.Floor:
		return fmt.Errorf("%w: refresh_ceiling: want at least refresh_floor", ErrSchedule)
	case !(s.Jitter >= 0 && s.Jitter <= maxJitter): // not a number fails both
		return fmt.Errorf("%w: jitter: want 0 to 0.5", ErrSchedule)
	}
	return nil
}

// Refresh returns how long after a good answer whose least TTL is ttl the name is asked again: before the TTL runs out,
// early by a part of it drawn from uniform in [0, 1), so that names and controllers with the same answer do not ask
// together; never sooner than Floor nor later than Ceiling.
func (s Schedule) Refresh(ttl int64, uniform float64) int64 {
	part := (1 + uniform) / 2 // half to all of the jitter: never on the dot
	early := int64(float64(ttl) * s.Jitter * part)
	return min(max(ttl-early, s.Floor), s.Ceiling)
}

// Retry returns how long after the failures-th failure in a row the name is asked again: Floor, doubled with each
// failure, up to Ceiling, less a part of it drawn from uniform in [0, 1).
func (s Schedule) Retry(failures int, uniform float64) int64 {
	delay := s.Floor
	for i := 1; i < failures && delay < s.Ceiling; i++ {
		delay *= 2
	}
	delay = min(delay, s.Ceiling)
	return max(s.Floor, delay-int64(float64(delay)*s.Jitter*uniform))
}
