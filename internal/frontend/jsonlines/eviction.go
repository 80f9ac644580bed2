package jsonlines

import (
	"time"

	"eidertrail/internal/telemetry"
)

const (
	// minIdleMicros is how long an established connection must have been idle before it may be evicted.
	minIdleMicros = 1_000_000
	// firstLineGraceMicros is how long a connection that was just opened is kept before those on which no call was
	// answered: its first line may be in the socket, unread.
	firstLineGraceMicros = 100_000
	// evictionFlushTimeout is how long writing what is queued for an evicted connection may take.
	evictionFlushTimeout = 50 * time.Millisecond
)

// evictionRank is how readily a connection is evicted for a new one; the highest goes first.
type evictionRank int

const (
	notEvictable        evictionRank = iota // a set-up is open, or it is in use
	evictableWithCalls                      // idle, but the ends of its calls would have to be sent on another connection
	evictableIdle                           // idle, without calls
	evictableFresh                          // opened just now, no message was received on it yet
	evictableUnproven                       // no call was answered on it
	evictableBeforeLine                     // no message was received on it
)

// String implements fmt.Stringer.
func (r evictionRank) String() string {
	switch r {
	case evictableWithCalls:
		return "idle with calls"
	case evictableIdle:
		return "idle"
	case evictableFresh:
		return "fresh"
	case evictableUnproven:
		return "not established"
	case evictableBeforeLine:
		return "new"
	}
	return "not evictable"
}

// evictOne closes one connection to free its place for a new one, if any may be evicted: the one with the highest
// evictionRank, and of these the one that was idle for longest. It reports whether it did. Without it, clients that
// open connections by the hundred would shut the callers out. The caller holds mu.
//
// The call table takes no set-up on the evicted connection from then on. Without that, a set-up that was read just then
// would be sent for a caller that was disconnected; the caller repeats it, as it crossed the close, and the repeated
// set-up would be rejected as its id is in use.
func (s *Server) evictOne() (evicted bool) {
	for {
		candidate := s.evictionCandidate()
		if candidate == nil {
			return false
		}
		if !s.cfg.Calls.Retire(candidate) {
			continue // a set-up was accepted on it meanwhile
		}
		s.cfg.Counters.Add(telemetry.Shed)
		delete(s.conns, candidate)
		candidate.closeAfterFlush(evictionFlushTimeout, closeEvicted)
		return true
	}
}

// evictionCandidate is the connection to evict next, or nil. The caller holds mu.
func (s *Server) evictionCandidate() *conn {
	var candidate *conn
	var candidateRank evictionRank
	var candidateIdle int64
	for c := range s.conns {
		rank, idle := s.evictionRank(c)
		if rank == notEvictable {
			continue
		}
		if candidate == nil || rank > candidateRank || rank == candidateRank && idle > candidateIdle {
			candidate, candidateRank, candidateIdle = c, rank, idle
		}
	}
	return candidate
}

// evictionRank ranks a connection and gives the time in µs since its last message. The open set-ups are looked at
// before the connection's state, as the first set-up is taken before its connection counts as active.
func (s *Server) evictionRank(c *conn) (rank evictionRank, idleMicros int64) {
	open, calls, established := s.cfg.Calls.ConnState(c)
	idleMicros = s.cfg.Clock.Now() - c.lastActive.Load()
	switch {
	case open > 0:
		return notEvictable, idleMicros
	case c.lifecycle.state() == connNew && idleMicros < firstLineGraceMicros:
		return evictableFresh, idleMicros
	case c.lifecycle.state() == connNew:
		return evictableBeforeLine, idleMicros
	case !established:
		return evictableUnproven, idleMicros
	case idleMicros < minIdleMicros:
		return notEvictable, idleMicros
	case calls > 0:
		return evictableWithCalls, idleMicros
	}
	return evictableIdle, idleMicros
}
