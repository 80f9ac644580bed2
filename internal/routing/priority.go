package routing

import (
	"fmt"
	"slices"
)

// PriorityTable is, for each zone, the priority levels of zones that it spills to, nearest first. The zone itself is
// always its first level and is not listed.
type PriorityTable = map[string][][]string

const (
	ownZoneLevel = 0  // the priority level of the controller's own zone
	noLevel      = -1 // in place of a level's index: there is none
)

// CheckPriorityLevels returns a ConfigError for a zone of the table that is not known, for an empty priority level, or
// for a zone that is in the levels of a zone twice, the zone itself included.
func CheckPriorityLevels(table PriorityTable, known map[string]bool) error {
	for zone, levels := range table {
		if !known[zone] {
			return &ConfigError{"tiers." + zone, "not a known zone"}
		}
		if err := checkLevels(zone, levels, known); err != nil {
			return err
		}
	}
	return nil
}

func checkLevels(zone string, levels [][]string, known map[string]bool) error {
	seen := map[string]bool{zone: true}
	for i, level := range levels {
		field := fmt.Sprintf("tiers.%s[%d]", zone, i)
		if len(level) == 0 {
			return &ConfigError{field, "empty"}
		}
		for _, name := range level {
			switch {
			case !known[name]:
				return &ConfigError{field, fmt.Sprintf("%q is not a known zone", name)}
			case seen[name]:
				return &ConfigError{field, fmt.Sprintf("%q comes twice (a cycle)", name)}
			}
			seen[name] = true
		}
	}
	return nil
}

// PriorityLevels returns the controller's priority levels, for the classes that have none of their own: its own zone,
// then its neighbours'.
func (r *Router) PriorityLevels() [][]string { return r.levelsOf(r.config.PriorityLevels) }

func (r *Router) levelsOf(table PriorityTable) [][]string {
	return append([][]string{{r.config.Zone}}, table[r.config.Zone]...)
}

// openLevels returns the first and the last priority level that take calls now, noLevel for none. The first is the
// one that serves: the first with a zone that takes calls. A level after it opens only while all endpoints of the one
// before are full, while that one is in slow start, as a zone that returns cannot take all calls at once and may fail
// again, or directly after the serving one while calls wait for capacity there.
func (r *Router) openLevels(now int64, levels [][]string) (first, last int) {
	first = slices.IndexFunc(levels, func(level []string) bool { return slices.ContainsFunc(level, r.isZoneUp) })
	if first == noLevel {
		return noLevel, noLevel
	}
	last = first
	for last < len(levels)-1 && r.overflows(now, levels[last], last == first) {
		last++
	}
	return first, last
}

// overflows reports whether an open priority level opens the next one.
func (r *Router) overflows(now int64, level []string, serving bool) bool {
	return r.isFull(level) || r.inSlowStart(level) || serving && r.callsWaited(now)
}

// isZoneUp reports whether a zone takes calls.
func (r *Router) isZoneUp(name string) bool {
	z := r.zones[name]
	return z != nil && z.state == ZoneUp
}

// takesCalls reports whether the endpoint is up and its zone, which is in the priority level, takes calls.
func (r *Router) takesCalls(e *endpoint, level []string) bool {
	return e.Up && slices.Contains(level, e.Zone) && r.isZoneUp(e.Zone)
}

// isFull reports whether every endpoint of the priority level that takes calls is full, and there is one.
func (r *Router) isFull(level []string) bool {
	found := false
	for _, e := range r.endpoints {
		if !r.takesCalls(e, level) {
			continue
		}
		if !e.isFull(r.config.Nodes) {
			return false
		}
		found = true
	}
	return found
}

// inSlowStart reports whether an endpoint of the priority level that takes calls is in slow start.
func (r *Router) inSlowStart(level []string) bool {
	for _, e := range r.endpoints {
		if e.inSlowStart() && r.takesCalls(e, level) {
			return true
		}
	}
	return false
}
