package sippool

import "time"

// backoff is an exponential backoff without jitter: each delay is twice the one before, up to a maximum.
type backoff struct {
	minimum time.Duration
	maximum time.Duration
	delay   time.Duration // the next delay
}

// newBackoff returns a backoff whose first delay is minimum.
func newBackoff(minimum, maximum time.Duration) backoff {
	return backoff{minimum: minimum, maximum: maximum, delay: minimum}
}

// next returns the delay before the next attempt and doubles the one after it.
func (b *backoff) next() time.Duration {
	delay := b.delay
	b.delay = min(2*b.delay, b.maximum)
	return delay
}

// reset starts over at the minimum, after an attempt that succeeded.
func (b *backoff) reset() { b.delay = b.minimum }
