// Package slidingmin keeps the minimum of the samples of a sliding time window.
//
// It holds the monotonic queue of the samples that can still become the minimum, oldest first and rising in value:
// adding a sample and reading the minimum take amortised constant time. The newest sample never expires, so that a
// window with any sample always has a minimum. A Window does no locking and reads no clock.
package slidingmin

import "time"

// Window is a sliding window over samples of durations. Its zero value is empty and ready to use.
type Window struct {
	candidates []sample
}

type sample struct{ at, value time.Duration }

// Add takes a sample at the clock reading now, which must not be before that of the sample added last.
func (w *Window) Add(now, value time.Duration) {
	last := len(w.candidates)
	for last > 0 && w.candidates[last-1].value >= value {
		last--
	}
	w.candidates = append(w.candidates[:last], sample{now, value})
}

// Min returns the smallest sample that is not older than span, or the newest one when all are older, and drops those
// older ones. It returns false when no sample was ever added.
func (w *Window) Min(now, span time.Duration) (time.Duration, bool) {
	for len(w.candidates) > 1 && now-w.candidates[0].at > span {
		w.candidates = w.candidates[1:]
	}
	if len(w.candidates) == 0 {
		return 0, false
	}
	return w.candidates[0].value, true
}
