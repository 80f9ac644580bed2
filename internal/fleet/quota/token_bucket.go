package quota

// TokenBucket limits a rate of call set-ups, of which at most a burst passes at once. The zero value is ready for
// use and holds one token.
type TokenBucket struct {
	refilledAt int64 // µs
	tokens     float64
	started    bool
}

// refill adds the tokens for the time since the last refill. The rate is in tokens a second; a burst below 1 counts
// as 1.
func (b *TokenBucket) refill(now int64, rate, burst float64) {
	if !b.started {
		b.started, b.refilledAt, b.tokens = true, now, 1
	}
	if now > b.refilledAt {
		b.tokens += rate * float64(now-b.refilledAt) / 1e6
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, max(burst, 1))
}

// Ready reports whether a set-up may be sent now.
func (b *TokenBucket) Ready(now int64, rate, burst float64) bool {
	b.refill(now, rate, burst)
	return b.tokens >= 1
}

// Take takes the token of a set-up that is sent.
func (b *TokenBucket) Take() { b.tokens-- }

// NextReady is when the next set-up may be sent at this rate, 0 for never.
func (b *TokenBucket) NextReady(rate float64) int64 {
	if rate <= 0 {
		return 0
	}
	return b.refilledAt + int64(max(0, 1-b.tokens)/rate*1e6) + 1
}
