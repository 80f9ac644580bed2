package endpointset

// ListEntry is one endpoint of the endpoint list.
type ListEntry struct {
	UID       string
	Address   string // may be empty for a removal
	Group     int
	Zone      string
	StartedAt int64
	State     State
}

// listedEndpoint is an entry of the endpoint list. A removed one stays as a tombstone that keeps DNS from adding its
// address again.
type listedEndpoint struct {
	ListEntry
	removedAt int64 // in State Removed
}

// update takes the entry's latest line. One without an address keeps the address known before.
func (l *listedEndpoint) update(now int64, entry ListEntry) {
	if entry.Address == "" {
		entry.Address = l.Address
	}
	if entry.State == Removed {
		l.remove(now)
	}
	l.ListEntry = entry
}

// remove makes the entry a tombstone. The tombstone of an entry that is removed already is not prolonged.
func (l *listedEndpoint) remove(now int64) {
	if l.State != Removed {
		l.State, l.removedAt = Removed, now
	}
}

func (l *listedEndpoint) tombstoneEnd(config Config) int64 { return l.removedAt + config.TombstoneTTL }

// UpdateList takes a watch event of the endpoint list. With snapshot it is the complete list, and an endpoint that it
// does not name is removed.
func (s *Set) UpdateList(now int64, snapshot bool, entries []ListEntry) {
	if snapshot {
		s.removeUnlisted(now, entries)
	}
	for _, entry := range entries {
		s.updateEntry(now, entry)
	}
	s.changed = true
}

func (s *Set) removeUnlisted(now int64, entries []ListEntry) {
	named := map[string]bool{}
	for _, entry := range entries {
		named[entry.UID] = true
	}
	for uid, entry := range s.listed {
		if !named[uid] {
			entry.remove(now)
		}
	}
}

func (s *Set) updateEntry(now int64, entry ListEntry) {
	known := s.listed[entry.UID]
	if known == nil {
		if entry.State == Removed && entry.Address == "" {
			return // no address to hold out
		}
		if len(s.listed) >= s.config.MaxEndpoints {
			s.counts.Dropped++
			return
		}
		known = &listedEndpoint{}
		s.listed[entry.UID] = known
	}
	known.update(now, entry)
}
