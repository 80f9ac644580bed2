// Package membership keeps the set of sync pools that several sources tell of:
// the bulletin and DNS SRV names. It merges them by address under one rule,
// keeps each DNS record for its lifetime (TTL) and a bounded stale time, lets a
// pool that vanished finish its drain, and forgets all of a pool that is gone.
//
// It does no I/O and reads no clock: every call is given the time, in
// microseconds on the daemon's monotonic clock. It is not safe for concurrent
// use; one goroutine owns a Set.
//
// The rule when sources disagree (docs/membership.md):
//
//   - Adding: any source may add a pool. A pool is up only while every source
//     that names its address says it is up.
//   - Draining: any source may drain a pool. Draining wins over up.
//   - Removing: any source may remove a pool, and a removal by the bulletin
//     stands against DNS for a tombstone time, since DNS caches run behind.
//
// So a pool gets new set-ups only while no source has given it up: a missed pool
// costs capacity, a set-up to a pool that is gone breaks a rule.
package endpointset

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// State is what a source says of a pool, and what the merged set says of it.
type State int

// The states, from the least to the most restrictive: the merged state of a pool
// is the most restrictive that any source gives it.
const (
	Up State = iota
	Draining
	Removed
)

func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	}
	return "removed"
}

// Endpoint is one pool of the merged set.
type Endpoint struct {
	UID       string // stable while the address stays in the set
	Address   string // host:port that is dialled
	Group     int    // the number by which calls and classes name the pool
	Zone      string // its availability zone, "" if not told
	StartedAt int64  // when the process started, µs, or 0: not known
	Priority  uint16 // of its SRV record, 0 for the bulletin
	Weight    uint16 // of its SRV record, 0 for the bulletin
	State     State
	Sources   string // the sources that name it, as "bulletin", "dns" or "bulletin+dns"
}

// ListEntry is one pool as the bulletin tells of it.
type ListEntry struct {
	UID       string
	Address   string // may be empty for a removal
	Group     int
	Zone      string
	StartedAt int64
	State     State
}

// Record is one SRV record of a good answer, its target resolved.
type Record struct {
	Target   string // the SRV target, lower case, without the final dot
	Address  string // ip:port from the target's A or AAAA records and the SRV port
	Priority uint16
	Weight   uint16
	TTL      int64 // µs: the least of the SRV and the address records' TTLs
}

// Config bounds what a Set keeps. Times are in microseconds.
type Config struct {
	// StaleFor is how long a DNS record is kept past its TTL while its name cannot be looked up (RFC 8767).
	StaleFor int64
	// DrainFor is the longest that a pool that vanished from DNS drains before it is removed.
	DrainFor int64
	// Tombstone is how long a removal by the bulletin keeps DNS from adding that address again.
	Tombstone int64
	// MaxRecords bounds the records kept for one name; MostPools the pools of the bulletin.
	MaxRecords, MaxEndpoints int
}

// Counts are what a Set has seen; all only grow.
type Counts struct {
	Conflicts   uint64 // views in which a DNS record was held out, or made to drain, by the bulletin
	Expired     uint64 // DNS records dropped after their TTL and stale time
	Vanished    uint64 // DNS records no longer in a good answer
	Dropped     uint64 // records or pools over the bounds
	Drained     uint64 // pools that finished a drain and were removed
	StaleServed uint64 // views in which a record past its TTL was kept
}

// Set is the merged pool set.
type Set struct {
	cfg     Config
	pools   map[string]*told  // of the bulletin, by uid
	names   map[string]*named // by SRV name
	order   []string          // names in the order they were first told
	uids    map[string]string // address to the uid it was given when it entered the set
	last    []Endpoint        // the last view
	changed bool
	count   Counts
}

type told struct {
	ListEntry
	removedAt int64 // when the bulletin removed it, for the tombstone; 0: it has not
}

type named struct {
	group   int
	zone    string
	records map[string]*entry // by target:port
	good    bool              // at least one good answer came
}

type entry struct {
	Record
	firstSeen  int64
	late       bool  // first seen after the first good answer of its name
	expires    int64 // TTL, then StaleFor
	staleFrom  int64 // its TTL ran out then
	vanishedAt int64 // no longer in a good answer or expired, 0: present
}

// ErrConfig tells of a Config that makes no sense.
var ErrConfig = errors.New("membership: bad config")

// New returns an empty Set.
func New(cfg Config) (*Set, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Set{cfg: cfg, pools: map[string]*told{}, names: map[string]*named{}, uids: map[string]string{}}, nil
}

func (cfg Config) check() error {
	switch {
	case cfg.StaleFor < 0:
		return fmt.Errorf("%w: stale_for is negative", ErrConfig)
	case cfg.DrainFor < 0:
		return fmt.Errorf("%w: drain_for is negative", ErrConfig)
	case cfg.Tombstone < 0:
		return fmt.Errorf("%w: tombstone is negative", ErrConfig)
	case cfg.MaxRecords < 1 || cfg.MaxEndpoints < 1:
		return fmt.Errorf("%w: most_records and most_pools want at least 1", ErrConfig)
	}
	return nil
}

// SetConfig takes new bounds and times; they hold from the next call on. What is kept over a new bound
// stays until it goes by itself.
func (s *Set) SetConfig(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	s.cfg, s.changed = cfg, true
	return nil
}

// Names are the SRV names declared, in the order they were first.
func (s *Set) Names() []string { return slices.Clone(s.order) }

// Counts returns what the Set has seen.
func (s *Set) Counts() Counts { return s.count }

// AddName declares an SRV name and the group and zone its pools get. A name declared again keeps its records.
func (s *Set) AddName(name string, group int, zone string) {
	if n := s.names[name]; n != nil {
		n.group, n.zone = group, zone
		s.changed = true
		return
	}
	s.names[name] = &named{group: group, zone: zone, records: map[string]*entry{}}
	s.order = append(s.order, name)
}

// RemoveName drops an SRV name and, at the next Advance, the pools only it named.
func (s *Set) RemoveName(name string) {
	if _, ok := s.names[name]; !ok {
		return
	}
	delete(s.names, name)
	s.order = slices.DeleteFunc(s.order, func(n string) bool { return n == name })
	s.changed = true
}

// UpdateList takes an event of the bulletin. With all it is the whole list, and a pool it does not name is
// removed.
func (s *Set) UpdateList(now int64, all bool, pools []ListEntry) {
	if all {
		named := map[string]bool{}
		for _, p := range pools {
			named[p.UID] = true
		}
		for uid, t := range s.pools {
			if !named[uid] && t.State != Removed {
				t.State, t.removedAt = Removed, now
			}
		}
	}
	for _, p := range pools {
		t := s.pools[p.UID]
		if t == nil {
			if p.State == Removed && p.Address == "" {
				continue // nothing to hold out
			}
			if len(s.pools) >= s.cfg.MaxEndpoints {
				s.count.Dropped++
				continue
			}
			t = &told{}
			s.pools[p.UID] = t
		}
		if p.Address == "" {
			p.Address = t.Address
		}
		t.ListEntry = p
		if p.State == Removed {
			if t.removedAt == 0 {
				t.removedAt = now
			}
		} else {
			t.removedAt = 0
		}
	}
	s.changed = true
}

// UpdateRecords takes a good answer for an SRV name: the whole set of its records, which may be empty
// (NXDOMAIN, NODATA, or the target "." that says the service is not here).
func (s *Set) UpdateRecords(now int64, name string, records []Record) {
	n := s.names[name]
	if n == nil {
		return
	}
	late := n.good
	n.good = true
	in := map[string]bool{}
	for _, r := range records {
		key := r.Target + ":" + port(r.Address)
		if in[key] {
			continue // the same target and port twice: the first stands
		}
		e := n.records[key]
		if e == nil {
			if len(n.records) >= s.cfg.MaxRecords {
				s.count.Dropped++
				continue
			}
			e = &entry{firstSeen: now, late: late}
			n.records[key] = e
		}
		in[key] = true
		e.Record = r
		e.expires = now + max(r.TTL, 0)
		e.staleFrom, e.vanishedAt = 0, 0
	}
	for key, e := range n.records {
		if !in[key] && e.vanishedAt == 0 {
			e.vanishedAt = now
			s.count.Vanished++
		}
	}
	s.changed = true
}

// Advance moves the Set to now: records past their TTL are served stale, those past the stale time too
// are expired and drain like vanished ones, and drains end. busy tells whether calls stand at a pool, by
// uid; a drain ends when none do, or after DrainFor.
func (s *Set) Advance(now int64, busy func(uid string) bool) {
	for _, name := range s.order {
		n := s.names[name]
		for key, e := range n.records {
			switch {
			case e.vanishedAt == 0 && now >= e.expires+s.cfg.StaleFor:
				e.vanishedAt = now
				s.count.Expired++
				s.changed = true
			case e.vanishedAt == 0 && now >= e.expires && e.staleFrom == 0:
				e.staleFrom = now
				s.count.StaleServed++
			}
			if e.vanishedAt == 0 {
				continue
			}
			uid := s.uids[e.Address]
			if now >= e.vanishedAt+s.cfg.DrainFor || uid == "" || busy == nil || !busy(uid) {
				delete(n.records, key)
				s.count.Drained++
				s.changed = true
			}
		}
	}
	for uid, t := range s.pools {
		if t.State == Removed && now >= t.removedAt+s.cfg.Tombstone {
			delete(s.pools, uid)
			s.changed = true
		}
	}
}

// Next is when Advance had best be called again: when a record's TTL or stale time runs out, a tombstone
// ends, or a drain may end (at the latest). 0: nothing waits.
func (s *Set) Next() int64 {
	var next int64
	soonest := func(t int64) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, n := range s.names {
		for _, e := range n.records {
			switch {
			case e.vanishedAt != 0:
				soonest(e.vanishedAt + s.cfg.DrainFor)
			case e.staleFrom == 0:
				soonest(e.expires)
			default:
				soonest(e.expires + s.cfg.StaleFor)
			}
		}
	}
	for _, t := range s.pools {
		if t.State == Removed {
			soonest(t.removedAt + s.cfg.Tombstone)
		}
	}
	return next
}

// Draining tells whether any pool drains, so that Advance should be called often to end drains.
func (s *Set) Draining() bool {
	return slices.ContainsFunc(s.last, func(m Endpoint) bool { return m.State == Draining })
}

// View returns the merged set, ordered by address, and whether it changed since the last View.
// Pools that no source names, or that are removed, are not in it.
func (s *Set) View(now int64) ([]Endpoint, bool) {
	if !s.changed {
		return s.last, false
	}
	s.changed = false
	type merged struct {
		Endpoint
		fromBulletin, fromDNS bool
	}
	by := map[string]*merged{}
	at := func(address string) *merged {
		m := by[address]
		if m == nil {
			m = &merged{Endpoint: Endpoint{Address: address}}
			by[address] = m
		}
		return m
	}
	// The bulletin first: its uid, group and start are the pool's.
	uids := slices.Sorted(maps.Keys(s.pools))
	for _, uid := range uids {
		t := s.pools[uid]
		if t.Address == "" {
			continue
		}
		m := at(t.Address)
		if m.fromBulletin && t.State == Removed {
			continue // a removed pool does not hold out one that took its address since
		}
		m.fromBulletin = true
		m.UID, m.Group, m.Zone, m.StartedAt, m.State = uid, t.Group, t.Zone, t.StartedAt, t.State
	}
	for _, name := range s.order {
		n := s.names[name]
		for _, key := range slices.Sorted(maps.Keys(n.records)) {
			e := n.records[key]
			m := at(e.Address)
			state := Up
			if e.vanishedAt != 0 {
				state = Draining
			}
			if m.fromBulletin && m.State > state {
				s.count.Conflicts++
			}
			if !m.fromBulletin && !m.fromDNS {
				m.UID, m.Group, m.Zone = "dns:"+name+"/"+key, n.group, n.zone
				if e.late {
					m.StartedAt = e.firstSeen // a record that comes after the first answer is a new process: it starts cold
				}
			}
			if !m.fromDNS || e.Priority < m.Priority {
				m.Priority, m.Weight = e.Priority, e.Weight
			}
			m.fromDNS = true
			m.State = max(m.State, state)
		}
	}
	view := make([]Endpoint, 0, len(by))
	kept := map[string]string{}
	for _, address := range slices.Sorted(maps.Keys(by)) {
		m := by[address]
		if m.State == Removed {
			continue
		}
		if uid, ok := s.uids[address]; ok {
			m.UID = uid // the first uid stands while the address stays: pools are keyed by it
		}
		kept[address] = m.UID
		m.Sources = strings.Join(slices.DeleteFunc([]string{pick(m.fromBulletin, "bulletin"), pick(m.fromDNS, "dns")},
			func(x string) bool { return x == "" }), "+")
		view = append(view, m.Endpoint)
	}
	s.uids = kept
	if slices.Equal(view, s.last) {
		return s.last, false
	}
	s.last = view
	return view, true
}

func pick(b bool, s string) string {
	if b {
		return s
	}
	return ""
}

func port(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[i+1:]
	}
	return address
}

// Order sorts members as RFC 2782 tells a client to try them: the lowest priority first, and within one
// priority by weight, highest first, then by address. The weighted random draw of RFC 2782 is the
// decision module's to make among the pools it is offered; this order is for logs and tests.
func Order(ms []Endpoint) {
	slices.SortStableFunc(ms, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -cmp.Compare(a.Weight, b.Weight), strings.Compare(a.Address, b.Address))
	})
}

// Describe is a short line of a view for logs.
func Describe(ms []Endpoint) string {
	var b strings.Builder
	for i, m := range ms {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(m.UID + "@" + m.Address + "/" + m.State.String() + "/g" + strconv.Itoa(m.Group) + "/" + m.Sources)
	}
	return b.String()
}
