package endpointlist

import (
	"fmt"
	"hash/fnv"
)

const (
	// maxGuarded bounds the endpoints that a version guard remembers.
	maxGuarded = 4096
	// maxSeen bounds the events that it recognises. Past it, it starts anew.
	maxSeen = 4096
)

// versionGuard remembers what was delivered of each endpoint, and holds back older lines that would take it back. It
// does no I/O and reads no clock. The zero value remembers nothing yet; it is not safe for concurrent use.
//
// A list whose versions go back, as one that lags or was started anew, repeats old lines: an old "up" would make an
// endpoint eligible that drains or is removed. Such a line cannot be told from the same one in a new count of versions,
// so it is held back in both, until the versions are past the drain's or the line reports a later start.
type versionGuard struct {
	endpoints map[string]*guarded // by UID
	delivered map[eventKey]bool   // the events that were passed on
}

// eventKey is an event's version and a checksum of its content.
type eventKey struct {
	version  int64
	checksum uint64
}

// seen reports whether this very event, by its version and content, was passed on before, and notes it. An event
// without a version never was.
//
// Without it, the older snapshot of a list that lags would remove endpoints that were listed since, with the calls that
// are established there, and bring them back as if they were new.
func (g *versionGuard) seen(e Event) bool {
	if e.Version == 0 {
		return false
	}
	checksum := fnv.New64a()
	_, _ = fmt.Fprintf(checksum, "%v %+v", e.Snapshot, e.Endpoints) // a hash writes without errors
	key := eventKey{e.Version, checksum.Sum64()}
	if g.delivered[key] {
		return true
	}
	if g.delivered == nil || len(g.delivered) >= maxSeen {
		g.delivered = map[eventKey]bool{}
	}
	g.delivered[key] = true
	return false
}

// guarded is what was delivered of one endpoint.
type guarded struct {
	line         Endpoint // the last line passed on; Removed as well once its address was given to another endpoint
	version      int64    // the highest version of an event with a line of it that was passed on
	drainVersion int64    // the same of those that had it drain or go, or gave its address away
	startedAt    int64    // its latest start
}

// pass returns the event of that version as it is to be delivered: lines that are held back are replaced by what was
// delivered last, so that a snapshot still names the endpoint. A line that drains or removes is never held back.
func (g *versionGuard) pass(event Event, version int64) Event {
	if g.endpoints == nil {
		g.endpoints = map[string]*guarded{}
	}
	listed := make(map[string]bool, len(event.Endpoints))
	lines := make([]Endpoint, 0, len(event.Endpoints))
	for _, line := range event.Endpoints {
		listed[line.UID] = true
		if line, known := g.passLine(line, version); known {
			lines = append(lines, line)
		}
	}
	if event.Snapshot {
		for uid, known := range g.endpoints {
			if !listed[uid] {
				known.remove(version)
			}
		}
	}
	event.Endpoints = lines
	return event
}

// passLine returns a line as it is to be delivered; false: nothing is known of an endpoint that it could drain.
func (g *versionGuard) passLine(line Endpoint, version int64) (Endpoint, bool) {
	known := g.endpoints[line.UID]
	if line.Address == "" && known != nil {
		line.Address = known.line.Address
	}
	if line.Address == "" && line.State != Removed {
		return Endpoint{}, false
	}
	if known == nil {
		g.evictRemoved()
		known = &guarded{}
		g.endpoints[line.UID] = known
	} else if line.State == Up && known.outdates(line, version) {
		return known.line, true
	}
	known.line = line
	known.version = max(known.version, version)
	known.startedAt = max(known.startedAt, line.StartedAt)
	if line.State == Up {
		g.takeAddress(line, version)
	} else {
		known.drainVersion = max(known.drainVersion, version)
	}
	return line, true
}

// outdates reports whether an up line of an event of that version is older than what was delivered: than a drain, with
// no later start since, or than a later start.
func (k *guarded) outdates(line Endpoint, version int64) bool {
	if k.line.State != Up {
		return version <= k.drainVersion && line.StartedAt <= k.startedAt
	}
	return version < k.version && line.StartedAt < k.startedAt
}

// remove notes that an event of that version removed the endpoint.
func (k *guarded) remove(version int64) {
	k.line.State = Removed
	k.drainVersion = max(k.drainVersion, version)
}

// takeAddress notes that the line's address is no longer another endpoint's, unless a further line of the same event
// says where that one is.
func (g *versionGuard) takeAddress(line Endpoint, version int64) {
	for uid, known := range g.endpoints {
		if uid != line.UID && known.line.Address == line.Address {
			known.remove(version - 1)
		}
	}
}

// evictRemoved forgets the endpoint that has been removed for longest, by the versions, where the guard is full.
func (g *versionGuard) evictRemoved() {
	if len(g.endpoints) < maxGuarded {
		return
	}
	oldest := ""
	for uid, known := range g.endpoints {
		if known.line.State != Removed {
			continue
		}
		if oldest == "" || known.drainVersion < g.endpoints[oldest].drainVersion {
			oldest = uid
		}
	}
	delete(g.endpoints, oldest)
}
