package endpointset

import "strings"

// Record is one SRV record of a good answer, its target resolved.
type Record struct {
	Target   string // the SRV target, lower case, without the final dot
	Address  string // ip:port from the target's A or AAAA records and the SRV port
	Priority uint16
	Weight   uint16
	TTL      int64 // µs: the least of the SRV and the address records' TTLs
}

// key identifies a record of a name over its answers. It leaves the IP address out: a target may move.
func (r Record) key() string { return r.Target + ":" + port(r.Address) }

// port returns what follows the last colon of an address, or all of it.
func port(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[i+1:]
	}
	return address
}

// recordState is the life of a DNS record.
type recordState int

const (
	recordFresh     recordState = iota // within its TTL
	recordStale                        // past its TTL, kept while its name cannot be looked up (RFC 8767)
	recordExpired                      // past its stale time: its endpoint drains
	recordWithdrawn                    // no longer in a good answer: its endpoint drains
)

// String returns the state's name.
func (s recordState) String() string {
	switch s {
	case recordFresh:
		return "fresh"
	case recordStale:
		return "stale"
	case recordExpired:
		return "expired"
	default:
		return "withdrawn"
	}
}

// endpointState is what a record in the state says of its endpoint.
func (s recordState) endpointState() State {
	if s == recordExpired || s == recordWithdrawn {
		return Draining
	}
	return Up
}

// record is a DNS record over its life.
type record struct {
	Record
	state            recordState
	firstSeen        int64
	afterFirstAnswer bool  // first seen after the first good answer of its name
	expiresAt        int64 // the end of its TTL
	drainingSince    int64 // in recordExpired and recordWithdrawn
}

// refresh takes the record from a good answer, in any state.
func (r *record) refresh(now int64, latest Record) {
	r.Record = latest
	r.state = recordFresh
	r.expiresAt = now + max(latest.TTL, 0)
}

// becomeStale ends the TTL of a fresh record.
func (r *record) becomeStale() { r.state = recordStale }

// expire ends the stale time of a record and begins the drain of its endpoint.
func (r *record) expire(now int64) { r.state, r.drainingSince = recordExpired, now }

// withdraw begins the drain of an endpoint whose record is no longer in a good answer.
func (r *record) withdraw(now int64) { r.state, r.drainingSince = recordWithdrawn, now }

func (r *record) draining() bool { return r.state.endpointState() == Draining }

// nextTransition is when the record changes its state, or is dropped, by time alone.
func (r *record) nextTransition(config Config) int64 {
	switch {
	case r.draining():
		return r.drainingSince + config.DrainTimeout
	case r.state == recordFresh:
		return r.expiresAt
	default:
		return r.expiresAt + config.MaxStale
	}
}

// srvName is a declared SRV name with its records.
type srvName struct {
	group    int
	zone     string
	records  map[string]*record // by Record.key
	answered bool               // a good answer came
}

// UpdateRecords takes a good answer for an SRV name: the complete set of its records. The set may be empty (NXDOMAIN,
// NODATA, or the target "." that RFC 2782 has for a service that is not available).
func (s *Set) UpdateRecords(now int64, name string, records []Record) {
	declared := s.names[name]
	if declared == nil {
		return
	}
	present := s.refreshRecords(now, declared, records)
	for key, rec := range declared.records {
		if !present[key] && !rec.draining() {
			rec.withdraw(now)
			s.counts.Vanished++
		}
	}
	declared.answered = true
	s.changed = true
}

// refreshRecords takes the records of an answer over and returns the keys of those that are kept. Of two records with
// the same target and port the first counts.
func (s *Set) refreshRecords(now int64, name *srvName, records []Record) map[string]bool {
	present := map[string]bool{}
	for _, latest := range records {
		key := latest.key()
		if present[key] {
			continue
		}
		rec := name.records[key]
		if rec == nil {
			if len(name.records) >= s.config.MaxRecords {
				s.counts.Dropped++
				continue
			}
			rec = &record{firstSeen: now, afterFirstAnswer: name.answered}
			name.records[key] = rec
		}
		rec.refresh(now, latest)
		present[key] = true
	}
	return present
}

// advanceRecords moves a name's records to now and drops those whose drain is over.
func (s *Set) advanceRecords(now int64, name *srvName, busy func(uid string) bool) {
	for key, rec := range name.records {
		s.advanceRecord(now, rec)
		if rec.draining() && s.drainEnded(now, rec, busy) {
			delete(name.records, key)
			s.counts.Drained++
			s.changed = true
		}
	}
}

func (s *Set) advanceRecord(now int64, rec *record) {
	switch {
	case rec.draining():
	case now >= rec.expiresAt+s.config.MaxStale:
		rec.expire(now)
		s.counts.Expired++
		s.changed = true
	case rec.state == recordFresh && now >= rec.expiresAt:
		rec.becomeStale()
		s.counts.StaleServed++
	}
}
