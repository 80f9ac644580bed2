// Package liveness finds the endpoints that have fallen silent by the load reports that endpoints send unasked. An
// endpoint reports at an interval of its own; one that begins to drain stops at once, seconds before the endpoint
// list says so, and calls that are set up there from then on are lost when it exits. So are calls to one whose
// process hangs.
//
// It narrows what the decision module may choose from, as a drain does, and never chooses. It does no I/O and reads no
// clock: every call is given the time in microseconds.
package liveness

import "slices"

// Monitor holds the report interval and the latest report of each endpoint that is up; New returns a ready one. It is
// not safe for concurrent use.
type Monitor struct {
	endpoints   map[string]*endpoint // by UID
	classGroups [][]int              // by class: the groups of endpoints that it may use, nil: all
}

// New returns a Monitor. classGroups are the groups of endpoints that each class of call may use, nil for all.
func New(classGroups [][]int) *Monitor {
	return &Monitor{endpoints: map[string]*endpoint{}, classGroups: classGroups}
}

// UpdateEndpoints takes the endpoints that are up; what was known of others is dropped.
func (m *Monitor) UpdateEndpoints(up []Endpoint) {
	for _, e := range m.endpoints {
		e.listed = false
	}
	for _, line := range up {
		e := m.endpoints[line.UID]
		if e == nil {
			e = &endpoint{}
			m.endpoints[line.UID] = e
		}
		e.Endpoint, e.listed = line, true
	}
	for uid, e := range m.endpoints {
		if !e.listed {
			delete(m.endpoints, uid)
		}
	}
}

// RecordReport takes a report that the endpoint sent unasked.
func (m *Monitor) RecordReport(now int64, uid string) {
	if e := m.endpoints[uid]; e != nil {
		e.recordReport(now)
	}
}

// Silent returns the endpoints for which IsSilent holds, nil for none.
func (m *Monitor) Silent(now int64) map[string]bool {
	var silent map[string]bool
	for uid := range m.endpoints {
		if !m.IsSilent(now, uid) {
			continue
		}
		if silent == nil {
			silent = map[string]bool{}
		}
		silent[uid] = true
	}
	return silent
}

// IsSilent reports whether an endpoint that is up should get no calls now: it is overdue, while for every class that
// may use it another endpoint reports on time. Where none does, the fault may be this controller's own, and a silent
// endpoint is better than none.
func (m *Monitor) IsSilent(now int64, uid string) bool {
	e := m.endpoints[uid]
	return e != nil && e.stateAt(now) == overdue && m.isReplaceable(now, e)
}

// isReplaceable reports whether every class that may use the endpoint has another that reports on time.
func (m *Monitor) isReplaceable(now int64, e *endpoint) bool {
	for _, groups := range m.classGroups {
		if mayUse(groups, e.Group) && !m.anyOnTime(now, groups) {
			return false
		}
	}
	return len(m.classGroups) > 0
}

// anyOnTime reports whether an endpoint of the groups reports on time.
func (m *Monitor) anyOnTime(now int64, groups []int) bool {
	for _, e := range m.endpoints {
		if mayUse(groups, e.Group) && e.stateAt(now) == onTime {
			return true
		}
	}
	return false
}

// mayUse reports whether the groups of a class, nil for all, hold the group.
func mayUse(groups []int, group int) bool { return groups == nil || slices.Contains(groups, group) }

// Next returns when Silent may change without a report, 0: never.
func (m *Monitor) Next(now int64) int64 {
	var next int64
	for _, e := range m.endpoints {
		if at := e.nextTransition(now); at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}
