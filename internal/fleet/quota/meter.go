package quota

// TokenBucket holds a rate of set-ups: a token bucket of which at most burst set-ups are in hand. The zero value is
// ready, with one in hand.
type TokenBucket struct {
	at     int64
	tokens float64
	begun  bool
}

// fill brings the tokens up to date. rate is in set-ups a second; burst at least 1.
func (m *TokenBucket) fill(now int64, rate, burst float64) {
	if !m.begun {
		m.begun, m.at, m.tokens = true, now, 1
	}
	if now > m.at {
		m.tokens += rate * float64(now-m.at) / 1e6
		m.at = now
	}
	m.tokens = min(m.tokens, max(burst, 1))
}

// Ready tells whether a set-up may go now.
func (m *TokenBucket) Ready(now int64, rate, burst float64) bool {
	m.fill(now, rate, burst)
	return m.tokens >= 1
}

// Take takes one that goes.
func (m *TokenBucket) Take() { m.tokens-- }

// Next is when the next may go at this rate, 0 for never.
func (m *TokenBucket) Next(rate float64) int64 {
	if rate <= 0 {
		return 0
	}
	return m.at + int64(max(0, 1-m.tokens)/rate*1e6) + 1
}
