// Package pool keeps the connections to the sync pools: one a pool, on which
// SIP dialogs are set up, called off and released, and on which the pools tell
// the state of their groups. It implements dispatch.Trunk.
package sippool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/recentset"
	"eidertrail/internal/telemetry"
)

// Config is what a Set is made with.
type Config struct {
	Name           string // in Via
	ConnectTimeout int64  // microseconds
	ReportFree     string // names of the report fields that hold the free agents
	ReportAgents   string // and their number
	ReportCapacity string // and the set-ups a second that the pool can take from all, "" for none
	Clock          dispatch.Clock
	Log            zerolog.Logger
	Counters       *telemetry.Counters

	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnLoadReport is told a pool's state when it comes unasked.
	OnLoadReport func(uid string, s dispatch.LoadReport)
	// OnCapacity is told ReportRate, of any message that carries it.
	OnCapacity func(uid string, rate float64)
	// OnUnmatchedRelease is told of a release by a pool of a call that this process did not set up.
	OnUnmatchedRelease func(id string, cause int)
}

const (
	writeQueue   = 256             // messages waiting for a connection; past it the connection is given up
	writeTimeout = 2 * time.Second // a write that takes longer ends the connection
	readBuffer   = 4096
	redialMin    = 20 * time.Millisecond
	redialMax    = 500 * time.Millisecond
	// dialTimes is how many times the connect time-out a dial may take: a set-up waits for one, and then goes elsewhere.
	// Not more, as a machine that has vanished is noticed between two dials.
	dialTimes = 2
	// deadAfter is how long a pool must refuse connections before what stands there counts as cut. A
	// process that has died refuses at once; one that only holds too many connections soon takes one again.
	deadAfter = 1_000_000
	// restartAfter is how long refusals must have lasted for the next connection to be a new process's: what
	// stood at the old one is cut.
	restartAfter = 100_000
	// silentAfter is the same for a pool to which no connection comes up at all: a cut-off machine may return.
	silentAfter = 5_000_000
	// quietMost is how long a connection on which something is going on may be quiet before it is given up,
	// or steadies times the shortest gap of late between two states of the pool where that is more: how often
	// pools tell it is their site's. Most tell it several times a second, and every state that comes in time
	// leaves less: rhythms times the longest gap of late, never under quietLeast. rhythmOver states halve that
	// gap or so. Guards against a quiet connection taking set-ups for 1.5 s from a pool that speaks every 0.1 s,
	// and against one state that comes late ending the connection of a pool that speaks every second.
	quietMost  = 1_500_000
	quietLeast = 400_000
	rhythms    = 3
	steadies   = 2
	rhythmOver = 16
	lookEvery  = 50 * time.Millisecond
	// messageWithin is how long the rest of a message may take once it has begun.
	messageWithin = 300 * time.Millisecond
	// drainQuiet is quietMost for a pool that drains: it tells its state no more, and the ends of its calls are seldom.
	drainQuiet = 3_500_000
	// drainWrite is how long an INVITE that is being written when a drain is told may still take.
	drainWrite = 300 * time.Millisecond
	// refusedFor is how long a quiet connection is kept whose pool refuses the next. A call that ended after the pool was
	// last heard is to be released within 8 s of its end.
	refusedFor = 7_000_000
	// stuckAfter is from when on a message that has begun has stopped short, for a set-up that times out.
	stuckAfter = 100_000
	// removedAfter is how long after its removal a pool's standing calls wait for the pool's own releases.
	removedAfter = 1_000_000
	// settled is for how long a new connection must have been heard to have told what the pool tells on the next one that
	// is opened, and nowhere after that: releases whose connection was lost.
	settled = 100_000
	// doubtFor is how long after its pool was last heard a call is released whose own release was lost for good, if it
	// was: the rules want that within 8 s of the call's end.
	doubtFor = 7_000_000
	// calledOffFor is how long a called-off dialog waits for its final answer before it is forgotten.
	calledOffFor = 32_000_000
	// mostByes bounds the releases that wait for a connection.
	mostByes = 256
	// mostEnded is how many ended calls are remembered, so that what still comes for them is not a stray.
	mostEnded = 1024
)

// Pools is the sync pools that are listed, and for a second those that were removed.
type Pools struct {
	cfg Config
	ctx context.Context
	wg  sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool // by uid: an address may pass from one pool to another

	// endedMu guards ended alone. Calls end while mu is held too, when Apply is told that a pool's process has started
	// anew: under mu, Apply would wait for itself.
	endedMu sync.Mutex
	ended   *recentset.Set
}

// New returns an empty set. Its connections end when ctx is done; Wait waits for that.
func New(ctx context.Context, cfg Config) *Pools {
	if cfg.Dial == nil {
		dialer := net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pools{cfg: cfg, ctx: ctx, pools: map[string]*pool{}, ended: recentset.New(mostEnded)}
}

// Wait returns when every goroutine of the set has ended.
func (s *Pools) Wait() { s.wg.Wait() }

// Apply takes an event of the bulletin and tells the lines of the list that it changes. From then on no
// INVITE is written to a pool that drains or is gone. A new pool is told of before it is connected to,
// so that nothing is heard from a pool of which nobody knows.
func (s *Pools) Apply(e endpointlist.Event, tell func([]dispatch.Endpoint)) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []dispatch.Endpoint
	var fresh []*pool
	listed := map[string]bool{}
	for _, l := range e.Endpoints {
		listed[l.UID] = true
		p := s.pools[l.UID]
		if p == nil && l.State == endpointlist.Removed {
			continue
		}
		if p == nil {
			p = newPool(s, l)
			s.pools[l.UID] = p
			fresh = append(fresh, p)
		}
		p.apply(now, l)
		lines = append(lines, p.line())
		// Guards against a call for a pool that has gone reaching the one that now has its address:
		// the bulletin tells of the new one first when it runs behind with the other's end.
		for uid, other := range s.pools {
			if uid != l.UID && l.State == endpointlist.Up && other.supersede(now, l.Address) {
				lines = append(lines, other.line())
			}
		}
	}
	if e.Snapshot {
		for uid, p := range s.pools {
			if !listed[uid] {
				gone := p.told()
				gone.State = endpointlist.Removed
				p.apply(now, gone)
				lines = append(lines, p.line())
			}
		}
	}
	tell(lines)
	for _, p := range fresh {
		s.wg.Add(1)
		go p.run()
	}
}

// Connected tells how many of the pools that are up have a connection, and how many are up.
func (s *Pools) Connected() (connected, up int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.mu.Lock()
		if p.eligible() { // one whose address is another's now has no connection to wait for
			up++
			if p.conn != nil {
				connected++
			}
		}
		p.mu.Unlock()
	}
	return connected, up
}

// EstablishedCalls is the number of calls that stand.
func (s *Pools) EstablishedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.pools {
		p.mu.Lock()
		n += len(p.standing)
		p.mu.Unlock()
	}
	return n
}

// Busy tells whether calls stand at the pool or set-ups are out there: a pool that drains is done when
// neither is so. An unknown pool is not busy.
func (s *Pools) Busy(uid string) bool {
	s.mu.Lock()
	p := s.pools[uid]
	s.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.standing) > 0 || p.conn != nil && len(p.conn.dialogs) > 0
}

// ReleaseUnmatched passes on a caller's release of a call that this process did not set up: it may have
// been by the one before a restart, and only the pools know where it stands. It does nothing for a
// call that has just ended.
func (s *Pools) ReleaseUnmatched(id string, cause int) {
	if s.isEnded(id) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.mu.Lock()
		if p.conn != nil && p.listed.State != endpointlist.Removed {
			p.conn.send(bye(s.cfg.Name, id, "stray", cause))
		}
		p.mu.Unlock()
	}
}

// remember notes a call that is over.
func (s *Pools) remember(id string) {
	s.endedMu.Lock()
	defer s.endedMu.Unlock()
	s.ended.Add(id)
}

func (s *Pools) isEnded(id string) bool {
	s.endedMu.Lock()
	defer s.endedMu.Unlock()
	return s.ended.Contains(id)
}

// Invite implements dispatch.Trunk.
func (s *Pools) Invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	s.mu.Lock()
	p := s.pools[a.Pool]
	s.mu.Unlock()
	if p == nil {
		return nil, s.ending(dispatch.NotSent)
	}
	return p.invite(ctx, a)
}

func (s *Pools) ending(o dispatch.Outcome) dispatch.Ending {
	return dispatch.Ending{Outcome: o, At: s.cfg.Clock.Now(), Load: dispatch.UnknownLoad}
}

// pool is one sync pool. Lock order: Set.mu, pool.mu.
type pool struct {
	set  *Pools
	uid  string
	kick chan struct{} // wakes run

	mu         sync.Mutex
	listed     endpointlist.Endpoint
	superseded bool // its address is another's now
	removedAt  int64
	conn       *conn
	dialled    chan struct{}   // closed at the end of the next dial, whatever it brings
	downSince  int64           // nothing was heard since then, 0: there is a connection
	refusedAt  int64           // the first refusal since then, 0: none
	rhythm     atomic.Int64    // the longest time of late from one state to the next, 0: not known
	steady     atomic.Int64    // the shortest
	standing   map[string]*leg // by Call-ID: no connection owns them
	heardAt    int64           // when a settled connection was last heard, of those that have ended
	// muteAt is when the latest connection was opened that ended before it was settled, and muteSince when the pool was
	// last heard before the first of those in a row; 0: none since a settled one.
	muteAt, muteSince int64
	byes              []item // releases that wait for a connection
}

func newPool(s *Pools, l endpointlist.Endpoint) *pool {
	return &pool{
		set: s, uid: l.UID, listed: l, kick: make(chan struct{}, 1), dialled: make(chan struct{}),
		downSince: s.cfg.Clock.Now(), standing: map[string]*leg{},
	}
}

func (p *pool) told() endpointlist.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// apply takes a line of the list.
func (p *pool) apply(now int64, l endpointlist.Endpoint) {
	p.mu.Lock()
	moved := l.Address != "" && l.Address != p.listed.Address
	restarted := l.StartedAt != p.listed.StartedAt && l.StartedAt > 0
	if l.Address == "" {
		l.Address = p.listed.Address
	}
	p.listed = l
	if l.State == endpointlist.Removed {
		if p.removedAt == 0 {
			p.removedAt = now
		}
	} else if l.State == endpointlist.Up || moved {
		// Guards against the drain of a pool whose address is another's by now, told late, making it that pool's again.
		p.removedAt, p.superseded = 0, false
	}
	// Guards against an INVITE whose write is held up, as the pool does not read, leaving long after the drain was told.
	if l.State != endpointlist.Up && p.conn != nil && p.conn.inviting.Load() {
		p.conn.raw.SetWriteDeadline(time.Now().Add(drainWrite))
	}
	var cut []*leg
	if restarted { // what stood in the old process was cut with it
		for _, g := range p.standing {
			if g.answeredAt < l.StartedAt {
				cut = append(cut, g)
			}
		}
	}
	if moved && p.conn != nil {
		p.conn.close()
	}
	p.mu.Unlock()
	p.cut(cut)
	p.wake()
}

// supersede tells whether the pool was thought to be at an address that is now another's.
func (p *pool) supersede(now int64, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed.Address != address || p.superseded || p.listed.State == endpointlist.Removed {
		return false
	}
	p.superseded, p.removedAt = true, now
	if p.conn != nil {
		p.conn.close()
	}
	return true
}

func (p *pool) line() dispatch.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := dispatch.Endpoint{UID: p.uid, Group: p.listed.Group, Zone: p.listed.Zone, StartedAt: p.listed.StartedAt, Mode: eidertrail.Ready}
	switch {
	case p.superseded || p.listed.State == endpointlist.Removed:
		l.Mode = eidertrail.Removed
	case p.listed.State == endpointlist.Draining:
		l.Mode = eidertrail.Draining
	}
	return l
}

// eligible tells whether an INVITE may be written now. The caller holds mu.
func (p *pool) eligible() bool { return p.listed.State == endpointlist.Up && !p.superseded }

func (p *pool) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// cut ends standing calls of which the pool will tell nothing more.
func (p *pool) cut(legs []*leg) {
	for _, g := range legs {
		if g.end(dispatch.Ending{Outcome: dispatch.Reset, At: p.set.cfg.Clock.Now(), Load: dispatch.UnknownLoad, Cause: dispatch.CauseCut}) {
			p.set.cfg.Counters.Add(telemetry.CutCalls)
		}
	}
}

// cutIfDead ends what stands at a pool that has been out of reach for too long or is gone.
func (p *pool) cutIfDead() {
	now := p.set.cfg.Clock.Now()
	p.mu.Lock()
	dead := p.removedAt > 0 && now-p.removedAt >= removedAfter
	if p.downSince > 0 {
		dead = dead || p.refusedAt > 0 && now-p.refusedAt >= deadAfter || now-p.downSince >= silentAfter
	}
	var legs []*leg
	if dead {
		legs = p.legs()
		p.byes = nil
	}
	p.mu.Unlock()
	p.lose(legs)
}

// unsettled notes that a connection has ended before it could tell the releases that were lost with the one before.
// The caller holds mu.
func (p *pool) unsettled(c *conn) {
	if c.heard.Load()-c.openedAt >= settled {
		p.heardAt, p.muteAt, p.muteSince = c.heard.Load(), 0, 0
		return
	}
	if p.muteSince == 0 {
		p.muteSince = p.heardAt
	}
	p.muteAt = c.openedAt
}

// settle is told that a connection is heard and settled. What stood before one that was opened and never settled may be
// over: the pool has told the end on that one, as the next that was opened, and tells it on no further one.
//
// Guards against the end of a call never being told, when two connections in a row fall quiet: it was lost, seconds
// after its end, and would have stood here for ever.
func (p *pool) settle(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.muteSince > 0 && now < p.muteSince+doubtFor {
		for _, g := range p.standing {
			if g.answeredAt < p.muteAt && g.doubtBy == 0 {
				g.doubtBy = p.muteSince + doubtFor
			}
		}
	}
	p.muteAt, p.muteSince = 0, 0
}

// cutDoubted releases, towards both sides, the calls whose end may have been lost, once it would have to be told.
func (p *pool) cutDoubted(now int64) {
	p.mu.Lock()
	var legs []*leg
	for _, g := range p.standing {
		if g.doubtBy > 0 && now >= g.doubtBy {
			legs = append(legs, g)
		}
	}
	p.mu.Unlock()
	for _, g := range legs {
		p.set.cfg.Counters.Add(telemetry.UncertainCalls)
		p.set.cfg.Log.Warn().Str("pool", p.uid).Str("call", g.id).Msg("end of call may have been lost, it is released")
		g.release(dispatch.Ending{Outcome: dispatch.Reset, At: now, Load: dispatch.UnknownLoad, Cause: dispatch.CauseCut})
	}
}

// forget drops a pool that is gone, once nothing stands there and its connection is closed, and tells
// whether it did. Guards against every pool that was ever listed keeping a goroutine, its tables and its
// place in each search. Listed again it is a new one.
func (p *pool) forget() bool {
	now := p.set.cfg.Clock.Now()
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removedAt == 0 || now-p.removedAt < removedAfter || len(p.standing) > 0 || p.conn != nil {
		return false
	}
	delete(p.set.pools, p.uid)
	close(p.dialled) // whoever still wants a connection gets none
	return true
}

// undialled tells those who wait for a connection that none is coming.
func (p *pool) undialled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialled)
	p.dialled = make(chan struct{})
}

// legs are the calls that stand. The caller holds mu.
func (p *pool) legs() []*leg {
	var legs []*leg
	for _, g := range p.standing {
		legs = append(legs, g)
	}
	return legs
}

// lose cuts calls, and says so.
func (p *pool) lose(legs []*leg) {
	if len(legs) > 0 {
		p.set.cfg.Log.Warn().Str("pool", p.uid).Int("calls", len(legs)).Msg("pool lost, its calls are cut")
	}
	p.cut(legs)
}
