package sippool

import (
	"sync/atomic"
	"time"
)

// A connection with calls or set-ups on it is unresponsive when nothing has been received for a time that follows from
// how often its pool sends load reports: longestFactor times the longest recent interval between two reports, between
// minUnresponsiveTimeout and maxUnresponsiveTimeout. With a fixed timeout, an unresponsive connection would take
// set-ups for 1.5 s from a pool that reports every 0.1 s.
//
// The upper bound is raised to shortestFactor times the shortest recent interval. Without that, one late report ends
// the connection of a pool that reports every second.
const (
	minUnresponsiveTimeout = 400 * time.Millisecond
	maxUnresponsiveTimeout = 1500 * time.Millisecond
	longestFactor          = 3
	shortestFactor         = 2
	// intervalDecay is the number of reports over which a deviation of the longest or shortest interval roughly halves.
	intervalDecay = 16
)

// reportIntervals holds the extremes of the recent intervals between a pool's load reports, in microseconds. The zero
// value has observed none. One goroutine observes, any may read.
type reportIntervals struct {
	longest  atomic.Int64 // 0: not known
	shortest atomic.Int64 // 0: not known
}

// observeInterval takes the interval between two successive load reports, in microseconds.
func (r *reportIntervals) observeInterval(interval int64) {
	longest, shortest := r.longest.Load(), r.shortest.Load()
	r.longest.Store(max(interval, longest-longest/intervalDecay))
	raised := shortest + shortest/intervalDecay
	if shortest == 0 || interval < raised {
		raised = interval
	}
	r.shortest.Store(raised)
}

// unresponsiveTimeout returns how long nothing may be received before the pool's connection is unresponsive.
func (r *reportIntervals) unresponsiveTimeout() time.Duration {
	longest := microseconds(r.longest.Load())
	if longest == 0 {
		return maxUnresponsiveTimeout
	}
	upperBound := max(maxUnresponsiveTimeout, shortestFactor*microseconds(r.shortest.Load()))
	return min(max(longestFactor*longest, minUnresponsiveTimeout), upperBound)
}
