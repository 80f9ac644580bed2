package sippool

import (
	"context"
	"sync"
	"sync/atomic"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
)

// Pools holds the sync pools of the endpoint list, and for a second after their removal those that were removed.
type Pools struct {
	cfg Config
	// start runs a pool's run loop in a goroutine of running.
	start   func(p *pool)
	running sync.WaitGroup
	ended   *endedCalls
	inDoubt *inDoubtCalls

	connections atomic.Int64 // opened so far

	mu    sync.Mutex
	pools map[string]*pool // by UID: an address may pass from one pool to another
}

// New returns an empty set. Its connections end when ctx is done; Wait waits for that.
func New(ctx context.Context, cfg Config) *Pools {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	s := &Pools{
		cfg:   cfg,
		pools: map[string]*pool{},
		ended: newEndedCalls(),

		inDoubt: newInDoubtCalls(),
	}
	s.start = func(p *pool) {
		s.running.Go(func() { p.run(ctx) })
	}
	return s
}

// Wait returns when every goroutine of the set has ended.
func (s *Pools) Wait() { s.running.Wait() }

// Apply takes an event of the endpoint list and calls notify with the endpoints that it changes. From then on no INVITE
// is written to a pool that is draining or removed. A new pool is notified before it is connected to, so that no report
// is received from a pool that nobody knows.
func (s *Pools) Apply(event endpointlist.Event, notify func([]dispatch.Endpoint)) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []dispatch.Endpoint
	var added []*pool
	for _, listed := range event.Endpoints {
		p := s.pools[listed.UID]
		if p == nil {
			if listed.State == endpointlist.Removed {
				continue
			}
			p = newPool(s, listed)
			s.pools[listed.UID] = p
			added = append(added, p)
		}
		p.apply(now, listed)
		changed = append(changed, p.endpoint())
		if listed.State == endpointlist.Up {
			changed = append(changed, s.supersede(now, listed)...)
		}
	}
	if event.Snapshot {
		changed = append(changed, s.removeUnlisted(now, event.Endpoints)...)
	}
	notify(changed)
	for _, p := range added {
		s.start(p)
	}
}

// supersede takes the address of a pool that is up from every other pool and returns those that had it. Without this, a
// call for a pool that has ended would reach the one that now has its address: the list may report the new pool before
// the end of the old one. The caller holds mu.
func (s *Pools) supersede(now int64, listed endpointlist.Endpoint) []dispatch.Endpoint {
	var superseded []dispatch.Endpoint
	for uid, other := range s.pools {
		if uid != listed.UID && other.supersede(now, listed.Address) {
			superseded = append(superseded, other.endpoint())
		}
	}
	return superseded
}

// removeUnlisted removes the pools that a complete list does not hold and returns them. The caller holds mu.
func (s *Pools) removeUnlisted(now int64, list []endpointlist.Endpoint) []dispatch.Endpoint {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.UID] = true
	}
	var removed []dispatch.Endpoint
	for uid, p := range s.pools {
		if !listed[uid] {
			p.remove(now)
			removed = append(removed, p.endpoint())
		}
	}
	return removed
}

// Connected returns how many of the pools that are up have a connection, and how many are up.
func (s *Pools) Connected() (connected, up int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.mu.Lock()
		if p.eligible() { // a superseded pool has no connection to wait for
			up++
			if p.connection != nil {
				connected++
			}
		}
		p.mu.Unlock()
	}
	return connected, up
}

// Status is a listed pool as its connection shows it.
type Status struct {
	UID       string
	Reachable bool // it is up and has a connection
}

// Listed returns the pools that the endpoint list holds, those that drain included.
func (s *Pools) Listed() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make([]Status, 0, len(s.pools))
	for uid, p := range s.pools {
		p.mu.Lock()
		if p.mode() != eidertrail.Removed {
			listed = append(listed, Status{UID: uid, Reachable: p.eligible() && p.connection != nil})
		}
		p.mu.Unlock()
	}
	return listed
}

// EstablishedCalls returns the number of calls that are established.
func (s *Pools) EstablishedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := 0
	for _, p := range s.pools {
		p.mu.Lock()
		calls += len(p.established)
		p.mu.Unlock()
	}
	return calls
}

// Busy reports whether the pool has established calls or pending set-ups: a draining pool is done when it has neither.
// An unknown pool is not busy.
func (s *Pools) Busy(uid string) bool {
	p := s.pool(uid)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.established) > 0 || p.connection != nil && len(p.connection.transactions) > 0
}

// ReleaseUnmatched forwards a caller's release of a call that this process did not set up: the process before a restart
// may have, and only the pools know which of them has it. It does nothing for a call that has ended recently.
func (s *Pools) ReleaseUnmatched(id string, cause int) {
	if s.ended.contains(id) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.mu.Lock()
		if p.connection != nil && p.listed.State != endpointlist.Removed {
			p.connection.send(byeRequest(s.cfg.Name, id, unmatchedUser, cause))
		}
		p.mu.Unlock()
	}
}

// Invite implements dispatch.Inviter.
func (s *Pools) Invite(ctx context.Context, attempt dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	p := s.pool(attempt.Endpoint)
	if p == nil {
		return nil, s.endingNow(dispatch.NotSent)
	}
	return p.invite(ctx, attempt)
}

func (s *Pools) pool(uid string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[uid]
}

// count increments a counter.
func (s *Pools) count(counter telemetry.Counter) { s.cfg.Counters.Add(counter) }

// endingNow returns the ending of an attempt or call that has that outcome now, without a load report.
func (s *Pools) endingNow(outcome dispatch.Outcome) dispatch.Ending {
	return endingAt(s.now(), outcome)
}

func endingAt(now int64, outcome dispatch.Outcome) dispatch.Ending {
	return dispatch.Ending{Outcome: outcome, At: now, Load: dispatch.UnknownLoad}
}
