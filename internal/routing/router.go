// Package routing narrows the endpoints that the decision module may choose from by availability zone: priority
// levels (the controller's own zone first, then its neighbours), a spill budget on the capacity of other zones that
// this zone's calls may hold, outlier detection that ejects a failing zone, with hysteresis against flapping, and
// slow start of an endpoint or zone that returns.
//
// It never chooses an endpoint: it says which are eligible now, and the decision module chooses among them. It does no
// I/O and reads no clock: every call is given the time in microseconds.
package routing

import "slices"

// Router holds the state of the zones and of their endpoints; New returns a ready one. It is not safe for concurrent
// use; the dispatcher's loop goroutine owns it.
type Router struct {
	config           Config
	zones            map[string]*zone
	endpoints        map[string]*endpoint // by UID
	generalClasses   Classes              // classes without priority levels of their own
	quota            quotaSource          // of zones' spill budgets; nil: an equal one for each controller
	lastLongWait     int64                // a call was last seen to have waited for Config.SpillDelay; 0: never
	receivedEndpoint bool                 // a list with an endpoint came: endpoints that come later are in slow start
	counts           Counts
}

// New returns a Router for the zones named, against which it checks the Config.
func New(config Config, zones []string) (*Router, error) {
	if err := config.Check(zones); err != nil {
		return nil, err
	}
	allClasses := Classes(1<<config.Classes - 1)
	if err := config.checkClassLevels(zones, allClasses); err != nil {
		return nil, err
	}
	r := &Router{
		config:         config,
		zones:          map[string]*zone{},
		endpoints:      map[string]*endpoint{},
		generalClasses: allClasses,
	}
	for _, name := range zones {
		r.zones[name] = &zone{name: name}
	}
	for class := range config.ClassPriorityLevels {
		r.generalClasses &^= 1 << class
	}
	return r, nil
}

// UpdateEndpoints takes the complete endpoint list. All state of an endpoint that is not in it is dropped, and a zone
// that has lost its last endpoint is ejected.
func (r *Router) UpdateEndpoints(now int64, list []Endpoint) {
	r.updateTracked(now, list)
	for _, z := range r.zones {
		r.updateAvailability(now, z, list)
	}
	// An empty list before the first endpoint does not make later endpoints new ones.
	r.receivedEndpoint = r.receivedEndpoint || len(list) > 0
}

// updateTracked takes the endpoint list over. An endpoint of a zone that is not configured is not tracked: the decision
// module may use it as it is.
func (r *Router) updateTracked(now int64, list []Endpoint) {
	for _, e := range r.endpoints {
		e.listed = false
	}
	for _, line := range list {
		if r.zones[line.Zone] != nil {
			r.updateEndpoint(now, line)
		}
	}
	for uid, e := range r.endpoints {
		if !e.listed {
			delete(r.endpoints, uid)
		}
	}
}

// updateEndpoint takes one line of the list. An endpoint that is new, or up again after a drain or restart, begins its
// slow start.
func (r *Router) updateEndpoint(now int64, line Endpoint) {
	e := r.endpoints[line.UID]
	switch {
	case e == nil:
		e = &endpoint{free: unreported}
		r.endpoints[line.UID] = e
		if r.receivedEndpoint {
			e.beginSlowStart(now)
		}
	case line.Up && !e.Up:
		e.beginSlowStart(now)
	}
	e.Endpoint, e.listed = line, true
}

func (r *Router) updateAvailability(now int64, z *zone, list []Endpoint) {
	if slices.ContainsFunc(list, func(line Endpoint) bool { return line.Zone == z.name && line.Up }) {
		z.gainEndpoints()
		return
	}
	if !z.state.HasEndpoints() {
		return
	}
	z.loseEndpoints()
	if r.receivedEndpoint {
		r.eject(now, z)
	}
}

// Manages reports whether the endpoint is in a configured zone; all others are the decision module's to use as they
// are.
func (r *Router) Manages(uid string) bool { return r.endpoints[uid] != nil }

// Advance moves time on: zones return whose ejection time is over, and slow starts end.
func (r *Router) Advance(now int64) {
	for _, z := range r.zones {
		if z.mayReturn(now) {
			r.readmit(now, z)
		}
	}
	for _, e := range r.endpoints {
		if e.inSlowStart() && now >= e.slowStartFrom+r.config.SlowStartWindow {
			e.endSlowStart()
		}
	}
}

// Next returns when eligibility may change by time alone: an ejection ends, a slow start goes on, a spill level
// closes. 0 means never.
func (r *Router) Next(now int64) int64 {
	var next int64
	consider := func(at int64) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if r.callsWaited(now) {
		consider(r.lastLongWait + spillPeriod)
	}
	for _, z := range r.zones {
		if z.state.Ejected() {
			consider(z.ejectedUntil)
		}
	}
	for _, e := range r.endpoints {
		if e.inSlowStart() {
			consider(r.nextSlowStartStep(now, e))
		}
	}
	return next
}

// Eligible returns the endpoints that the decision module may send new calls to now, by UID, and of which classes. An
// endpoint is eligible for a class when it is up, its zone takes calls and is in a priority level that is open to the
// class, it is under its slow start capacity and, outside the controller's own zone, the level is under its spill
// budget, which all classes share. Endpoints that the Router does not manage are not in it.
func (r *Router) Eligible(now int64) map[string]Classes {
	r.Advance(now)
	eligible := map[string]Classes{}
	for class, table := range r.config.ClassPriorityLevels {
		r.addEligible(now, r.levelsOf(table), 1<<class, eligible)
	}
	if r.generalClasses != 0 {
		r.addEligible(now, r.PriorityLevels(), r.generalClasses, eligible)
	}
	return eligible
}

// addEligible adds the classes, which share the priority levels, to the endpoints that they may use now.
func (r *Router) addEligible(now int64, levels [][]string, classes Classes, eligible map[string]Classes) {
	first, last := r.openLevels(now, levels)
	if first == noLevel {
		return
	}
	for i := first; i <= last; i++ {
		level := levels[i]
		spills := i != ownZoneLevel
		mayUse := !spills || r.underSpillBudget(now, level)
		for uid, e := range r.endpoints {
			switch {
			case !r.takesCalls(e, level):
			case !mayUse:
				r.counts.SpillCapped++
			case e.inSlowStart() && float64(e.inFlight) >= r.slowStartCapacity(now, e):
				r.counts.SlowStartCapped++
			default:
				eligible[uid] |= classes
			}
		}
	}
}
