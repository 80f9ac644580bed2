package sippool

import "time"

// now returns the monotonic clock's reading in microseconds.
func (s *Pools) now() int64 { return s.cfg.Clock.Now() }

// elapsed returns the time from one reading of the clock to a later one.
func elapsed(from, to int64) time.Duration { return microseconds(to - from) }

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
