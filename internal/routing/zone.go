package routing

// ZoneState is whether a zone takes calls, and why not.
type ZoneState int

// The states of a zone. The ejection time of an ejected zone runs whether or not it has endpoints; it returns once that
// time is over and it has some.
const (
	ZoneUp                      ZoneState = iota // takes calls
	ZoneWarmingUp                                // takes calls, and an endpoint is in slow start; in a ZoneStatus alone
	ZoneEjected                                  // has endpoints up, but failed
	ZoneWithoutEndpoints                         // none is up, as none was in the first endpoint list
	ZoneEjectedWithoutEndpoints                  // none is up, and it is ejected
)

// String returns the state's name.
func (s ZoneState) String() string {
	switch s {
	case ZoneUp:
		return "up"
	case ZoneWarmingUp:
		return "warming up"
	case ZoneEjected:
		return "ejected"
	case ZoneWithoutEndpoints:
		return "without endpoints"
	default:
		return "ejected, without endpoints"
	}
}

// Ejected reports whether the zone is ejected.
func (s ZoneState) Ejected() bool { return s == ZoneEjected || s == ZoneEjectedWithoutEndpoints }

// HasEndpoints reports whether an endpoint of the zone is up.
func (s ZoneState) HasEndpoints() bool {
	return s != ZoneWithoutEndpoints && s != ZoneEjectedWithoutEndpoints
}

// zone is a configured zone.
type zone struct {
	name         string
	state        ZoneState // never ZoneWarmingUp, which follows from the endpoints
	outcomes     outcomeWindow
	ejectedUntil int64 // the end of the last ejection time, 0: never ejected
	ejectionTime int64 // the length of the last ejection
	returnedAt   int64 // when the zone last returned from an ejection, 0: never
}

// gainEndpoints is the transition when an endpoint is up.
func (z *zone) gainEndpoints() {
	switch z.state {
	case ZoneWithoutEndpoints:
		z.state = ZoneUp
	case ZoneEjectedWithoutEndpoints:
		z.state = ZoneEjected
	}
}

// loseEndpoints is the transition when no endpoint is up any more.
func (z *zone) loseEndpoints() {
	switch z.state {
	case ZoneUp:
		z.state = ZoneWithoutEndpoints
	case ZoneEjected:
		z.state = ZoneEjectedWithoutEndpoints
	}
}

// eject begins an ejection, or begins it again, and drops the outcomes that led to it.
func (z *zone) eject(now, ejectionTime int64) {
	switch z.state {
	case ZoneUp:
		z.state = ZoneEjected
	case ZoneWithoutEndpoints:
		z.state = ZoneEjectedWithoutEndpoints
	}
	z.ejectedUntil = now + ejectionTime
	z.ejectionTime = ejectionTime
	z.outcomes.clear()
}

// mayReturn reports whether the zone's ejection is over.
func (z *zone) mayReturn(now int64) bool { return z.state == ZoneEjected && now >= z.ejectedUntil }

// readmit ends an ejection.
func (z *zone) readmit(now int64) {
	z.state = ZoneUp
	z.returnedAt = now
}

// isFlapping reports whether an ejection now would follow the zone's return within the window.
func (z *zone) isFlapping(now, window int64) bool {
	return z.returnedAt > 0 && now-z.returnedAt <= window
}

// eject takes a zone out for Config.EjectionTime, or, while it flaps, for twice as long as the last time, up to
// Config.MaxEjectionTime. Without that hysteresis, calls would go back and forth with a flapping zone.
func (r *Router) eject(now int64, z *zone) {
	ejectionTime := r.config.EjectionTime
	if z.isFlapping(now, r.config.FlapWindow) {
		ejectionTime = min(max(2*z.ejectionTime, r.config.EjectionTime), r.config.MaxEjectionTime)
		r.counts.Flaps++
	}
	z.eject(now, ejectionTime)
	r.counts.ZonesEjected++
}

// readmit has an ejected zone take calls again, its endpoints in slow start.
func (r *Router) readmit(now int64, z *zone) {
	z.readmit(now)
	for _, e := range r.endpoints {
		if e.Zone == z.name {
			e.beginSlowStart(now)
		}
	}
}
