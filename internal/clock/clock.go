// Package clock is the one clock of the session controller: whole microseconds
// on the monotonic clock, from an origin far enough back that every start time
// worth knowing is a positive reading.
package clock

import "time"

// origin is the reading at New. A pool that started longer before than this started long ago.
const origin = int64(time.Hour / time.Microsecond)

// Clock reads the time. It is safe for concurrent use.
type Clock struct {
	start time.Time // holds a monotonic reading
	wall  int64     // Unix microseconds at start
}

// New returns a clock that starts now.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, wall: now.UnixMicro()}
}

// Now is the reading in microseconds. It never moves backwards.
func (c *Clock) Now() int64 { return origin + time.Since(c.start).Microseconds() }

// FromUnixMilli is the reading at a Unix time in milliseconds; 0 for none and for what lies before the origin.
func (c *Clock) FromUnixMilli(ms int64) int64 {
	if ms <= 0 {
		return 0
	}
	return max(0, ms*1000-c.wall+origin)
}
