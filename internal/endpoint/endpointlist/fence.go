package endpointlist

import (
	"fmt"
	"hash/fnv"
)

const (
	// mostFenced bounds the pools that a fence remembers.
	mostFenced = 4096
	// mostSeen bounds the events that it knows again. When they are over it starts anew.
	mostSeen = 4096
)

// fence remembers what was told of each pool, and holds back older lines that would take it back. It does no I/O
// and reads no clock. The zero value remembers nothing yet; it is not safe for concurrent use.
//
// Guards against a bulletin whose numbers go back, as one that lags or was started anew: an old "up" told once more
// made a pool that drains or is gone eligible again. Such a line cannot be told from the same one in a new count, so
// it is held back in both, until the numbers are past the drain's or the line tells of a later start.
type fence struct {
	pools map[string]*fenced // by uid
	told  map[stamp]bool     // the events that were passed on
}

// stamp is an event's number and a checksum of what it says.
type stamp struct {
	no  int64
	sum uint64
}

// seen tells whether this very event, by its number and what it says, was passed on before, and notes it. An event
// without a number never was.
//
// Guards against the older list of a bulletin that lags having pools that were told since gone for a while, with
// what stands there, and known again as if they were new.
func (f *fence) seen(e Event) bool {
	if e.Version == 0 {
		return false
	}
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%v %+v", e.Snapshot, e.Endpoints)
	s := stamp{e.Version, sum.Sum64()}
	if f.told[s] {
		return true
	}
	if f.told == nil || len(f.told) >= mostSeen {
		f.told = map[stamp]bool{}
	}
	f.told[s] = true
	return false
}

// fenced is what was told of one pool.
type fenced struct {
	line     Endpoint // the last line that was passed on; Removed as well once its address was told as another's
	no       int64    // the highest number of an event with a line of it that was passed on
	drainNo  int64    // the same of those that had it drain or go, or gave its address away
	lastBorn int64    // the latest start told
}

// pass returns the event numbered no as it is to be told: lines that are held back are replaced by what was told
// last, so that a whole list still names the pool. A line that has a pool drain or go is never held back.
func (f *fence) pass(e Event, no int64) Event {
	if f.pools == nil {
		f.pools = map[string]*fenced{}
	}
	listed := make(map[string]bool, len(e.Endpoints))
	lines := make([]Endpoint, 0, len(e.Endpoints))
	for _, l := range e.Endpoints {
		listed[l.UID] = true
		t := f.pools[l.UID]
		if l.Address == "" && t != nil {
			l.Address = t.line.Address
		}
		if l.Address == "" && l.State != Removed {
			continue // nothing is known of it that could drain
		}
		switch {
		case t == nil:
			f.makeRoom()
			t = &fenced{}
			f.pools[l.UID] = t
		case l.State == Up && t.outdates(l, no):
			lines = append(lines, t.line)
			continue
		}
		t.line, t.no, t.lastBorn = l, max(t.no, no), max(t.lastBorn, l.StartedAt)
		if l.State != Up {
			t.drainNo = max(t.drainNo, no)
		} else {
			f.takeOver(l, no)
		}
		lines = append(lines, l)
	}
	if e.Snapshot {
		for uid, t := range f.pools {
			if !listed[uid] {
				t.gone(no)
			}
		}
	}
	e.Endpoints = lines
	return e
}

// outdates tells whether an up line of the event numbered no is older than what was told: than a drain, with no
// later start since, or than a later start.
func (t *fenced) outdates(l Endpoint, no int64) bool {
	if t.line.State != Up {
		return no <= t.drainNo && l.StartedAt <= t.lastBorn
	}
	return no < t.no && l.StartedAt < t.lastBorn
}

func (t *fenced) gone(no int64) {
	t.line.State, t.drainNo = Removed, max(t.drainNo, no)
}

// takeOver notes that l's address is no longer another's, unless a further line of the same event says where that is.
func (f *fence) takeOver(l Endpoint, no int64) {
	for uid, t := range f.pools {
		if uid != l.UID && t.line.Address == l.Address {
			t.gone(no - 1)
		}
	}
}

// makeRoom forgets the pool that has been gone for longest, by the numbers, if there is no room for another.
func (f *fence) makeRoom() {
	if len(f.pools) < mostFenced {
		return
	}
	oldest := ""
	for uid, t := range f.pools {
		if t.line.State == Removed && (oldest == "" || t.drainNo < f.pools[oldest].drainNo) {
			oldest = uid
		}
	}
	delete(f.pools, oldest)
}
