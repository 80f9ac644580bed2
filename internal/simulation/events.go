package simulation

import "eidertrail"

// disturbance is the effect of an event, on the whole deployment or on one pool.
type disturbance interface {
	// start begins the effect, and returns what ends it after the event's duration: nil if nothing has to be undone.
	start(s *simulator) (stop func())
}

// handleEvent begins an event of the scenario, and schedules its end.
func (s *simulator) handleEvent(e Event) {
	s.recorder.eventStarted(s.now, e)
	duration := e.Duration.Microseconds()
	for _, d := range s.disturbances(e) {
		if stop := d.start(s); stop != nil && duration > 0 {
			s.after(duration, stop)
		}
	}
}

// disturbances are the effects of an event: one of the deployment, or one for each pool that it concerns.
func (s *simulator) disturbances(event Event) []disturbance {
	switch event.Kind {
	case EventBurst:
		return []disturbance{burst{factor: event.Factor}}
	case EventDatagramLoss:
		return []disturbance{datagramLoss{fraction: event.Fraction}}
	case EventDNSDown:
		return []disturbance{dnsOutage{}}
	case EventTruncate:
		return []disturbance{dnsTruncation{}}
	case EventStall:
		return []disturbance{processStall{duration: event.Duration.Microseconds()}}
	}
	var all []disturbance
	for _, p := range s.pools {
		if !event.concerns(p) {
			continue
		}
		if d := poolDisturbance(event, p); d != nil {
			all = append(all, d)
		}
	}
	return all
}

// concerns reports whether a pool is among those that the event names.
func (e Event) concerns(p *PoolModel) bool {
	return (e.Pool == "" || p.uid == e.Pool) && (e.Zone == "" || p.Zone == e.Zone)
}

// poolDisturbance is the effect of an event on one pool, nil for a kind that has none.
func poolDisturbance(e Event, pool *PoolModel) disturbance {
	switch e.Kind {
	case EventSlow:
		return slowdown{pool: pool, factor: e.Factor}
	case EventErrors:
		return setupErrors{pool: pool, fraction: e.Fraction}
	case EventUnlist:
		return recordRemoval{pool: pool}
	case EventVanish:
		return partition{pool: pool}
	case EventCrash:
		return crash{pool: pool}
	case EventReplace:
		return replacement{pool: pool}
	}
	return nil
}

// burst multiplies the rate of new calls.
type burst struct{ factor float64 }

func (b burst) start(s *simulator) func() {
	s.burstFactor *= b.factor
	return func() { s.burstFactor /= b.factor }
}

// datagramLoss has datagrams between controllers lost.
type datagramLoss struct{ fraction float64 }

func (l datagramLoss) start(s *simulator) func() {
	before := s.peerLoss
	s.peerLoss = l.fraction
	return func() { s.peerLoss = before }
}

// dnsOutage has look-ups fail.
type dnsOutage struct{}

func (dnsOutage) start(s *simulator) func() {
	s.dns.down = true
	return func() { s.dns.down = false }
}

// dnsTruncation has answers arrive truncated, and again over TCP.
type dnsTruncation struct{}

func (dnsTruncation) start(s *simulator) func() {
	s.dns.truncated = true
	return func() { s.dns.truncated = false }
}

// processStall has the first controller's process do nothing.
type processStall struct{ duration int64 }

func (p processStall) start(s *simulator) func() {
	s.controllers[0].stalledUntil = s.now + p.duration
	return nil
}

// slowdown multiplies the service time of a pool.
type slowdown struct {
	pool   *PoolModel
	factor float64
}

func (d slowdown) start(*simulator) func() {
	d.pool.serviceFactor *= d.factor
	return func() { d.pool.serviceFactor /= d.factor }
}

// setupErrors has a fraction of the set-ups at a pool fail.
type setupErrors struct {
	pool     *PoolModel
	fraction float64
}

func (e setupErrors) start(*simulator) func() {
	before := e.pool.currentErrorRate
	e.pool.currentErrorRate = e.fraction
	return func() { e.pool.currentErrorRate = before }
}

// recordRemoval takes a pool's record out of DNS.
type recordRemoval struct{ pool *PoolModel }

func (r recordRemoval) start(s *simulator) func() {
	s.dns.removedAt[r.pool] = s.now
	return func() { delete(s.dns.removedAt, r.pool) }
}

// partition cuts a pool's machine off the network; its process runs on.
type partition struct{ pool *PoolModel }

func (p partition) start(*simulator) func() {
	p.pool.partitioned = true
	return func() { p.pool.partitioned = false }
}

// crash ends a pool's process with its calls; a new one starts slowly in its place.
type crash struct{ pool *PoolModel }

func (c crash) start(s *simulator) func() {
	c.pool.crashed = true
	s.resetCalls(c.pool)
	s.announce(c.pool, eidertrail.Removed)
	return func() {
		s.restart(c.pool)
		s.announce(c.pool, eidertrail.Ready)
	}
}

// replacement drains a pool; at its end the calls that are left are reset and a new process starts in its place.
type replacement struct{ pool *PoolModel }

func (r replacement) start(s *simulator) func() {
	r.pool.draining = true
	s.announce(r.pool, eidertrail.Draining)
	return func() {
		s.resetCalls(r.pool)
		r.pool.draining = false
		s.restart(r.pool)
		s.announce(r.pool, eidertrail.Ready)
	}
}
