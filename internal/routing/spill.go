package routing

import "slices"

// spillPeriod is how long a priority level that opened for a call that waited stays open, in microseconds.
const spillPeriod = 1_000_000

// quotaSource is this controller's part of a zone's spill budget: 0 to 1.
type quotaSource func(now int64, zone string) float64

// SetQuotaSource has quotas of zones' spill budgets that the fleet allocates take the place of equal ones; nil brings
// the equal ones back.
func (r *Router) SetQuotaSource(quota func(now int64, zone string) float64) { r.quota = quota }

func (r *Router) quotaOf(now int64, zone string) float64 {
	if r.quota != nil {
		return r.quota(now, zone)
	}
	return 1 / float64(r.config.Nodes)
}

// SetOldestWait takes since when the call that has waited longest for capacity waits; 0: none does.
func (r *Router) SetOldestWait(now, since int64) {
	if since > 0 && now-since >= r.config.SpillDelay {
		r.lastLongWait = now
	}
}

// callsWaited reports whether calls waited lately for capacity in the serving priority level.
func (r *Router) callsWaited(now int64) bool {
	return r.lastLongWait > 0 && now < r.lastLongWait+spillPeriod
}

// underSpillBudget reports whether the calls that this controller holds in a priority level are under its budget there.
func (r *Router) underSpillBudget(now int64, level []string) bool {
	var inFlight, setups, agents, budget float64
	for _, e := range r.endpoints {
		if e.Up && slices.Contains(level, e.Zone) {
			inFlight += float64(e.inFlight)
			setups += float64(e.setups)
			agents += e.agents
			budget += r.config.SpillBudget * e.agents * r.quotaOf(now, e.Zone)
		}
	}
	if agents == 0 {
		return setups < 1 // not reported yet: one set-up at a time, whose answer reports
	}
	return inFlight < budget
}

// Spilled returns, for each zone that this controller spills to, the part of the zone's whole spill budget that its
// calls there hold.
func (r *Router) Spilled() map[string]float64 {
	spilled := map[string]float64{}
	for _, level := range r.PriorityLevels()[ownZoneLevel+1:] {
		for _, name := range level {
			inFlight, agents := r.loadOf(name)
			if budget := r.config.SpillBudget * agents; budget > 0 {
				spilled[name] = inFlight / budget
			}
		}
	}
	return spilled
}

// loadOf returns what this controller holds at the endpoints of a zone that are up, and their agents.
func (r *Router) loadOf(zone string) (inFlight, agents float64) {
	for _, e := range r.endpoints {
		if e.Zone == zone && e.Up {
			inFlight += float64(e.inFlight)
			agents += e.agents
		}
	}
	return inFlight, agents
}
