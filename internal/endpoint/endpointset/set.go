// Package endpointset keeps the set of endpoints merged from two sources: the endpoint list and DNS SRV names. It
// merges them by address, keeps each DNS record for its TTL and a bounded stale time, lets an endpoint that vanished
// finish its drain, and then forgets it.
//
// When the sources disagree (docs/membership.md):
//
//   - Adding: any source may add an endpoint. It is up only while every source that names its address says so.
//   - Draining: any source may drain an endpoint. Draining wins over up.
//   - Removing: any source may remove an endpoint. A removal by the endpoint list holds against DNS for a tombstone
//     time, since DNS caches lag behind.
//
// So an endpoint gets new calls only while no source has given it up: a missed endpoint costs capacity, a call to an
// endpoint that is gone breaks the protocol.
package endpointset

import (
	"maps"
	"slices"
)

// Counts are what a Set has seen; all only grow.
type Counts struct {
	Conflicts   uint64 // merges in which the endpoint list held a DNS record out, or made it drain
	Expired     uint64 // DNS records past their TTL and stale time
	Vanished    uint64 // DNS records no longer in a good answer
	Dropped     uint64 // records or list entries over the bounds
	Drained     uint64 // DNS records whose drain ended
	StaleServed uint64 // DNS records kept past their TTL
}

// Set is the merged endpoint set; New returns a ready one.
//
// It does no I/O and reads no clock: every call is given the time, in microseconds on the daemon's monotonic clock. It
// is not safe for concurrent use; one goroutine owns a Set.
type Set struct {
	config     Config
	listed     map[string]*listedEndpoint // from the endpoint list, by UID
	names      map[string]*srvName
	nameOrder  []string          // of names, as they were first declared
	uids       map[string]string // by address: the UID that the endpoint got when its address entered the set
	lastMerged []Endpoint
	changed    bool // since the last View
	counts     Counts
}

// New returns an empty Set.
func New(config Config) (*Set, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Set{
		config: config,
		listed: map[string]*listedEndpoint{},
		names:  map[string]*srvName{},
		uids:   map[string]string{},
	}, nil
}

// SetConfig changes the bounds and times from the next call on. What is kept over a new bound stays until it goes by
// itself.
func (s *Set) SetConfig(config Config) error {
	if err := config.check(); err != nil {
		return err
	}
	s.config = config
	s.changed = true
	return nil
}

// Names returns the declared SRV names in the order in which they were first declared.
func (s *Set) Names() []string { return slices.Clone(s.nameOrder) }

// Counts returns what the Set has seen.
func (s *Set) Counts() Counts { return s.counts }

// AddName declares an SRV name with the group and zone of its endpoints. A name declared again keeps its records.
func (s *Set) AddName(name string, group int, zone string) {
	if known := s.names[name]; known != nil {
		known.group, known.zone = group, zone
		s.changed = true
		return
	}
	s.names[name] = &srvName{group: group, zone: zone, records: map[string]*record{}}
	s.nameOrder = append(s.nameOrder, name)
}

// RemoveName drops an SRV name and, from the next View on, the endpoints that only it named.
func (s *Set) RemoveName(name string) {
	if _, known := s.names[name]; !known {
		return
	}
	delete(s.names, name)
	s.nameOrder = slices.DeleteFunc(s.nameOrder, func(other string) bool { return other == name })
	s.changed = true
}

// Advance moves the Set to now: records past their TTL become stale, those past the stale time expire and drain, and
// drains and tombstones end. busy says whether calls are established at an endpoint, by UID; a drain ends when none
// are, or after Config.DrainFor.
func (s *Set) Advance(now int64, busy func(uid string) bool) {
	for _, name := range s.nameOrder {
		s.advanceRecords(now, s.names[name], busy)
	}
	maps.DeleteFunc(s.listed, func(_ string, entry *listedEndpoint) bool {
		ended := entry.State == Removed && now >= entry.tombstoneEnd(s.config)
		s.changed = s.changed || ended
		return ended
	})
}

// Next returns when Advance is due: when a record's TTL or stale time runs out, a tombstone ends, or a drain reaches
// its limit. 0 means never.
func (s *Set) Next() int64 {
	var next int64
	consider := func(at int64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, name := range s.names {
		for _, rec := range name.records {
			consider(rec.nextTransition(s.config))
		}
	}
	for _, entry := range s.listed {
		if entry.State == Removed {
			consider(entry.tombstoneEnd(s.config))
		}
	}
	return next
}
