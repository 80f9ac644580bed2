package jsonlines

import (
	"sync"

	"eidertrail/dispatch"
)

const (
	// maxUnmatchedReleases and unmatchedReleasesPerSecond bound the releases of unknown calls that go on to all pools:
	// after a restart callers release the calls of the process before, but a flood of made-up ids must not reach the
	// pools.
	maxUnmatchedReleases       = 64
	unmatchedReleasesPerSecond = 32
)

// releaseLimiter is a token bucket for the releases of unknown calls.
type releaseLimiter struct {
	mu        sync.Mutex
	tokens    float64 // as of updatedAt
	updatedAt int64   // clock reading in µs
}

func newReleaseLimiter(now int64) *releaseLimiter {
	return &releaseLimiter{tokens: maxUnmatchedReleases, updatedAt: now}
}

// allow takes a token and reports whether there was one. The clock is read under the lock, so that the time of the
// bucket never goes back.
func (l *releaseLimiter) allow(clock dispatch.Clock) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	l.tokens = min(maxUnmatchedReleases, l.tokens+float64(now-l.updatedAt)*unmatchedReleasesPerSecond/1e6)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
