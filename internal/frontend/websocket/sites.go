package websocket

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/coder/websocket"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

const (
	maxSites        = 64
	maxCallsPerSite = 2048
	callIDBytes     = 8
)

// callID names a call towards the pools: two sites may choose the same id.
func callID(string) string {
	var id [callIDBytes]byte
	_, _ = rand.Read(id[:]) // it never fails: the program would end instead
	return hex.EncodeToString(id[:])
}

// register adds a socket of a site, evicting another one where it has to and can, and reports whether it did. The
// caller owes serving.Done and unregister.
func (s *Server) register(site string) (*socket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sockets) >= s.cfg.MaxConnections {
		s.evictOne()
	}
	if !s.takesSockets() || len(s.sockets) >= s.cfg.MaxConnections {
		return nil, false
	}
	calls, ok := s.callTable(site)
	if !ok {
		return nil, false
	}
	s.lastNumber++
	c := newSocket(s, s.lastNumber, site, calls)
	s.sockets[c] = struct{}{}
	s.serving.Add(1)
	return c, true
}

// callTable is the call table of a site, a new one for a new site. It reports false when there are too many sites. The
// caller holds mu.
func (s *Server) callTable(site string) (*dispatch.CallTable, bool) {
	if calls := s.sites[site]; calls != nil {
		return calls, true
	}
	if len(s.sites) >= maxSites {
		return nil, false
	}
	calls := dispatch.NewCallTable(dispatch.CallTableConfig{
		Dispatcher:    s.cfg.Dispatcher,
		Inviter:       s.cfg.Inviter,
		MaxCalls:      maxCallsPerSite,
		CallID:        callID,
		NotifyAllEnds: true,
		Draining:      s.rejectsSetups,
		Log:           s.cfg.Log,
		EndLog:        s.cfg.Log,
		Counters:      s.cfg.Counters,
	})
	s.sites[site] = calls
	return calls, true
}

// rejectsSetups reports whether set-ups are rejected: the server stops, or the drain that an operator called for is so
// old.
func (s *Server) rejectsSetups() bool {
	status := s.cfg.Lifecycle.Status()
	return status.State == lifecycle.Stopping || status.RejectsSetups(s.cfg.Dispatcher.Now())
}

// evictOne closes the oldest socket on which no message was accepted, if there is one, and no other. Without it,
// clients that open sockets and leave them would shut sites out. The caller holds mu.
func (s *Server) evictOne() {
	var candidate *socket
	for c := range s.sockets {
		if c.lifecycle.state() == socketNew && (candidate == nil || c.number < candidate.number) {
			candidate = c
		}
	}
	if candidate != nil {
		s.cfg.Counters.Add(telemetry.Shed)
		delete(s.sockets, candidate)
		candidate.finish(websocket.StatusTryAgainLater, "room is needed and nothing was said")
	}
}

// unregister removes a socket, and its site with it when no socket or call of the site is left.
func (s *Server) unregister(c *socket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sockets, c)
	for other := range s.sockets {
		if other.calls == c.calls {
			return
		}
	}
	if c.calls.Idle() {
		delete(s.sites, c.site)
	}
}

func (s *Server) callTables() []*dispatch.CallTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	tables := make([]*dispatch.CallTable, 0, len(s.sites))
	for _, calls := range s.sites {
		tables = append(tables, calls)
	}
	return tables
}
