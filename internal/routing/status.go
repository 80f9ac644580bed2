package routing

import (
	"maps"
	"slices"
)

// ZoneStatus is a zone's state and load, for logs and counters.
type ZoneStatus struct {
	Zone         string
	Level        int // its priority level for this controller, -1: none
	State        ZoneState
	EjectedUntil int64 // the end of the last ejection time
	WarmingUp    int   // endpoints in slow start
	InFlight     int   // set-ups and established calls of this controller
	Agents       float64
}

// Zones returns each zone's status, in the order of the priority levels, then by name.
func (r *Router) Zones() []ZoneStatus {
	statuses := make([]ZoneStatus, 0, len(r.zones))
	hasLevel := map[string]bool{}
	for i, level := range r.PriorityLevels() {
		for _, name := range level {
			statuses = append(statuses, r.statusOf(name, i))
			hasLevel[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		if !hasLevel[name] {
			statuses = append(statuses, r.statusOf(name, noLevel))
		}
	}
	return statuses
}

func (r *Router) statusOf(name string, level int) ZoneStatus {
	z := r.zones[name]
	status := ZoneStatus{
		Zone:         name,
		Level:        level,
		State:        z.state,
		EjectedUntil: z.ejectedUntil,
	}
	for _, e := range r.endpoints {
		if e.Zone == name {
			status.InFlight += e.inFlight
			status.Agents += e.agents
			if e.inSlowStart() {
				status.WarmingUp++
			}
		}
	}
	if status.State == ZoneUp && status.WarmingUp > 0 {
		status.State = ZoneWarmingUp
	}
	return status
}
