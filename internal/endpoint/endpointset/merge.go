package endpointset

import (
	"maps"
	"slices"
)

// Endpoint is one endpoint of the merged set.
type Endpoint struct {
	UID       string // stable while the address stays in the set
	Address   string // host:port that is dialled
	Group     int    // the number by which calls and classes name the endpoint's pool
	Zone      string // its availability zone, "" if not reported
	StartedAt int64  // when the process started, µs, or 0: not known
	Priority  uint16 // of its SRV record, 0 for the endpoint list
	Weight    uint16 // of its SRV record, 0 for the endpoint list
	State     State
	Sources   string // the sources that name it: "bulletin", "dns" or "bulletin+dns"
}

// The names of the sources in Endpoint.Sources.
const (
	sourceList = "bulletin"
	sourceDNS  = "dns"
)

// mergedEndpoint is an endpoint while the sources are merged.
type mergedEndpoint struct {
	Endpoint
	fromList, fromDNS bool
}

func (m *mergedEndpoint) sources() string {
	switch {
	case m.fromList && m.fromDNS:
		return sourceList + "+" + sourceDNS
	case m.fromList:
		return sourceList
	default:
		return sourceDNS
	}
}

// addListed merges an entry of the endpoint list.
func (m *mergedEndpoint) addListed(entry *listedEndpoint) {
	if m.fromList && entry.State == Removed {
		return // a tombstone does not hold out an endpoint that took its address since
	}
	m.fromList = true
	m.UID = entry.UID
	m.Group = entry.Group
	m.Zone = entry.Zone
	m.StartedAt = entry.StartedAt
	m.State = entry.State
}

// addRecord merges a DNS record of a name.
func (m *mergedEndpoint) addRecord(name, key string, declared *srvName, rec *record) {
	if !m.fromList && !m.fromDNS {
		m.UID = "dns:" + name + "/" + key
		m.Group = declared.group
		m.Zone = declared.zone
		if rec.afterFirstAnswer {
			m.StartedAt = rec.firstSeen // a record added to a known name is a new process, in slow start
		}
	}
	if !m.fromDNS || rec.Priority < m.Priority {
		m.Priority, m.Weight = rec.Priority, rec.Weight
	}
	m.fromDNS = true
	m.State = stricterOf(m.State, rec.state.endpointState())
}

// mergedByAddress are the endpoints of all sources, the removed ones among them.
type mergedByAddress map[string]*mergedEndpoint

// at returns the endpoint at an address; it adds one that is not there yet.
func (m mergedByAddress) at(address string) *mergedEndpoint {
	endpoint := m[address]
	if endpoint == nil {
		endpoint = &mergedEndpoint{Endpoint: Endpoint{Address: address}}
		m[address] = endpoint
	}
	return endpoint
}

// View returns the merged set, ordered by address, and whether it changed since the last View. Endpoints that no source
// names, or that are removed, are not in it. It does not depend on the time that it is given.
func (s *Set) View(int64) ([]Endpoint, bool) {
	if !s.changed {
		return s.lastMerged, false
	}
	s.changed = false
	view := s.present(s.merge())
	if slices.Equal(view, s.lastMerged) {
		return s.lastMerged, false
	}
	s.lastMerged = view
	return view, true
}

// merge merges the sources, the endpoint list first: its UID, group, zone and start time are the endpoint's.
func (s *Set) merge() mergedByAddress {
	merged := mergedByAddress{}
	for _, uid := range slices.Sorted(maps.Keys(s.listed)) {
		if entry := s.listed[uid]; entry.Address != "" {
			merged.at(entry.Address).addListed(entry)
		}
	}
	for _, name := range s.nameOrder {
		declared := s.names[name]
		for _, key := range slices.Sorted(maps.Keys(declared.records)) {
			rec := declared.records[key]
			endpoint := merged.at(rec.Address)
			if endpoint.fromList && endpoint.State > rec.state.endpointState() {
				s.counts.Conflicts++
			}
			endpoint.addRecord(name, key, declared, rec)
		}
	}
	return merged
}

// present returns the endpoints that are not removed, ordered by address. An endpoint keeps the UID that it got when
// its address entered the set, as its calls and connections are keyed by it.
func (s *Set) present(merged mergedByAddress) []Endpoint {
	view := make([]Endpoint, 0, len(merged))
	uids := map[string]string{}
	for _, address := range slices.Sorted(maps.Keys(merged)) {
		endpoint := merged[address]
		if endpoint.State == Removed {
			continue
		}
		if uid, known := s.uids[address]; known {
			endpoint.UID = uid
		}
		uids[address] = endpoint.UID
		endpoint.Sources = endpoint.sources()
		view = append(view, endpoint.Endpoint)
	}
	s.uids = uids
	return view
}
