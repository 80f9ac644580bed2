// Package sim is a discrete-event simulator of callers, controllers and sync pools, driven by a seed: the same
// scenario, seed and program give the same result, bit for bit. The controllers are dispatch.Engines, so that the
// decision module, what narrows its choice and the rules' guard run as in the daemon; so do the membership and the
// budgets of a fleet.
//
// It is single-threaded and reads no clock: time is simulated, in µs from an origin of an hour.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/invariant"
	"eidertrail/internal/telemetry"
)

// origin is the time of the beginning: what is at 0 means never.
const origin = int64(3_600_000_000)

// gather is how long a controller's turn waits for what comes together, as the daemon's does.
const gather = 1000

// settle is how long after the last caller the world runs on.
const settle = 60_000_000

// Sim is one run.
type Sim struct {
	sc      *Scenario
	rng     [streams]*rand.Rand
	now     int64
	end     int64 // the callers' last
	queue   events
	number  uint64 // of the events, which orders those at one time
	done    int64  // events done
	nodes   []*node
	pools   []*pool
	byUID   map[string]*pool
	rules   *invariant.Checker
	burst   float64
	loss    float64
	classes []float64 // cumulated shares
	shares  []float64 // of the controllers, cumulated; nil: all alike
	calls   int
	out     Result
	names   names
}

// The streams of lots, one for each purpose: a change in one does not move the others.
const (
	lotCalls = iota
	lotNet
	lotHold
	lotFault
	lotFleet
	lotNoise
	streams
)

type event struct {
	at     int64
	number uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// after has something done after so long.
func (s *Sim) after(d int64, do func()) {
	s.number++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.number, do})
}

// node is a controller.
type node struct {
	s        *Sim
	index    int
	name     string
	zone     string
	engine   *dispatch.Engine
	count    *telemetry.Counters
	turnAt   int64          // a turn is due then, 0: none
	still    int64          // it stands still until then
	source   *source        // nil: the list tells of the pools
	standing map[string]int // calls out and standing, by the uid that the merged set gave the pool
	alias    map[string]string

	member *swim.Node
	books  *quota.SharedAllocator
	tickAt int64
}

// caller is one caller's call, with all its tries.
type caller struct {
	class  int
	pool   int
	key    uint64
	first  int64 // of the first try
	tries  int
	node   *node
	window int
}

// attempt is one try of a caller at a controller, and its current attempt at a pool.
type attempt struct {
	id     uint64
	caller *caller
	until  int64
	pick   dispatch.Decision
	pool   *pool
	out    bool // at the pool, or on the way there or back
	serial int  // of the attempts, so that what is late finds that it is
	stands bool
	over   bool // the caller has its final answer
	stood  int64
}

func (a *attempt) name() string { return fmt.Sprintf("%d", a.id) }

// Run plays a scenario.
func Run(sc *Scenario, seed uint64) (*Result, error) {
	s := &Sim{
		sc: sc, now: origin, end: origin + sc.Length.Microseconds(), byUID: map[string]*pool{}, burst: 1, loss: sc.Net.Loss,
		rules: invariant.New(invariant.Config{
			ReleaseWait: sc.Settings.Release.Microseconds(), MaxAttempts: 2,
			Grace: sc.Settings.Grace.Microseconds(), Late: 50_000, LeftGrace: 100_000, SlowStart: sc.Settings.start(),
		}),
	}
	for i := range s.rng {
		s.rng[i] = rand.New(rand.NewPCG(seed, uint64(i)+1))
	}
	total := 0.0
	for _, c := range sc.Class {
		total += c.Share
		s.classes = append(s.classes, total)
	}
	total = 0
	for _, share := range sc.Callers.Shares {
		total += share
		s.shares = append(s.shares, total)
	}
	s.names = names{unlisted: map[*pool]bool{}, changedAt: map[*pool]int64{}}
	for kind, p := range sc.Pool {
		for i := range max(p.Count, 1) {
			x := NewModel(p, i)
			x.address = fmt.Sprintf("10.0.%d.%d:5060", len(s.pools)/250, len(s.pools)%250+1)
			if x.kind = kind; sc.SRV != nil {
				x.group = p.Group // a name's pools are one group
			}
			s.pools = append(s.pools, x)
			s.byUID[x.uid] = x
		}
	}
	s.out.begin(sc, seed)
	for i := range sc.Controllers {
		n, err := s.newNode(i, seed)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	if sc.Fleet != nil {
		if err := s.join(seed); err != nil {
			return nil, err
		}
	}
	for _, p := range s.pools {
		s.tell(p)
	}
	for _, e := range sc.Event {
		s.after(e.At.Microseconds(), func() { s.happen(e) })
	}
	s.next()
	s.play()
	s.rules.Finish(s.now)
	s.out.finish(s)
	return &s.out, nil
}

func (s *Sim) newNode(i int, seed uint64) (*node, error) {
	n := &node{s: s, index: i, name: fmt.Sprintf("n%d", i), zone: s.sc.zone(i), count: &telemetry.Counters{}, standing: map[string]int{}, alias: map[string]string{}}
	var err error
	if n.engine, err = dispatch.NewEngine(s.sc.settings(i), seed, 2_000_000, zerolog.Nop(), n.count); err != nil {
		return nil, fmt.Errorf("sim: %w", err)
	}
	router, err := s.sc.router(i)
	if err != nil {
		return nil, fmt.Errorf("sim: %w", err)
	}
	if router != nil {
		n.engine.SetRouter(s.now, router)
	}
	if s.sc.SRV != nil {
		n.engine.UpdateEndpoints(s.now, nil, true)
		return n, s.resolve(n)
	}
	var list []dispatch.Endpoint
	for _, p := range s.pools {
		list = append(list, dispatch.Endpoint{UID: p.uid, Group: p.group, Zone: p.Zone, Mode: eidertrail.Ready})
		s.rules.EndpointNotified(s.now, n.name, p.uid, true)
	}
	n.engine.UpdateEndpoints(s.now, list, true)
	n.wake()
	return n, nil
}

// play does what is due until nothing is left, or the world has settled.
func (s *Sim) play() {
	for len(s.queue) > 0 && s.queue[0].at <= s.end+settle {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.done++
		e.do()
	}
}

// ---- controllers ----

// wake has the controller take a turn soon; what comes until then is weighed together.
func (n *node) wake() { n.turn(n.s.now + gather) }

func (n *node) turn(at int64) {
	at = max(at, n.still)
	if n.turnAt > 0 && n.turnAt <= at {
		return
	}
	n.turnAt = at
	n.s.after(at-n.s.now, func() {
		if n.turnAt != at {
			return // an earlier one was asked for since
		}
		n.turnAt = 0
		if n.still > n.s.now {
			n.turn(n.still)
			return
		}
		n.engine.Step(n.s.now)
		if next := n.engine.NextDue(n.s.now); next > 0 {
			n.turn(max(next, n.s.now+1))
		}
	})
}

// hear does something at the controller: now, or when it goes on.
func (n *node) hear(do func()) {
	if n.still > n.s.now {
		n.s.after(n.still-n.s.now, func() { n.hear(do) })
		return
	}
	do()
	n.wake()
}

// setUp takes a caller's try.
func (n *node) setUp(c *caller) {
	s := n.s
	class := s.sc.Class[c.class]
	s.calls++
	a := &attempt{id: uint64(s.calls), caller: c, until: s.now + int64(float64(class.Deadline.Microseconds())*s.sc.Callers.TryShare)}
	s.rules.CallAccepted(s.now, a.name(), a.until)
	s.out.Tries++
	n.hear(func() {
		n.engine.Submit(s.now, dispatch.Request{Call: a.id, Class: c.class, Pool: c.pool, Key: c.key, Deadline: a.until},
			deciding{n, a})
	})
	s.after(a.until-s.now, func() { // the caller gives this try up
		if a.over || a.stands {
			return
		}
		a.over = true
		s.rules.CallerGone(s.now, a.name())
		n.hear(func() {
			if a.out {
				a.out = false
				a.serial++
				n.standing[a.pool.uid]--
				s.callOff(n, a)
				s.rules.Ended(s.now, a.name(), true)
				n.engine.Report(s.now, dispatch.Result{
					Call: a.id, Attempt: a.pick.Attempt, Pool: a.pick.Pool,
					Outcome: dispatch.Cancelled, Took: s.now - a.pick.DecidedAt, Load: dispatch.UnknownLoad, CallerGone: true,
				})
				return
			}
			n.engine.Withdraw(s.now, a.id)
		})
		s.again(c, "left", 0)
	})
}

// deciding takes the decisions for an attempt's call.
type deciding struct {
	*node
	a *attempt
}

func (d deciding) Decide(p dispatch.Decision) { d.decided(d.a, p) }

// decided carries a decision out.
func (n *node) decided(a *attempt, p dispatch.Decision) {
	s := n.s
	if a.over {
		return
	}
	if p.Kind != dispatch.DecisionSend {
		n.engine.Forget(a.id)
		a.over = true
		answer := map[dispatch.DecisionKind]string{dispatch.DecisionReject: "refused", dispatch.DecisionFail: "failed"}[p.Kind]
		s.rules.Final(s.now, a.name(), answer)
		s.again(a.caller, answer, p.RetryAfter)
		return
	}
	a.pick, a.pool, a.out = p, s.byUID[p.Pool], true
	a.serial++
	serial := a.serial
	s.rules.Sent(s.now, a.name(), n.name, p.Pool)
	s.out.Sends++
	limit := a.until
	if p.Timeout > 0 {
		limit = min(limit, p.DecidedAt+p.Timeout)
	}
	n.standing[a.pool.uid]++
	way := s.way(n, a.pool)
	s.after(way, func() { s.arrive(n, a, serial, way) })
	if s.sc.Settings.Repeats {
		s.repeat(n, a, serial, way, s.sc.Settings.Resend.Microseconds())
	}
	if limit < a.until {
		s.after(limit-s.now, func() { // the attempt times out
			if a.serial != serial || !a.out || a.stands {
				return
			}
			s.callOff(n, a)
			n.ended(a, serial, dispatch.TimedOut, dispatch.UnknownLoad)
		})
	}
}

// repeat has the sender's stack send a set-up again once it has been out for so long without an answer, and again at
// doubling gaps.
func (s *Sim) repeat(n *node, a *attempt, serial int, way, gap int64) {
	if gap <= 0 {
		return
	}
	s.after(gap, func() {
		if a.serial != serial || !a.out || a.over {
			return
		}
		s.rules.Repeated(s.now, a.name(), a.pool.uid)
		s.after(way, func() { a.pool.repeated(s.now, &s.sc.Settings) })
		s.repeat(n, a, serial, way, 2*gap)
	})
}

// ended reports the end of an attempt that does not stand.
func (n *node) ended(a *attempt, serial int, o dispatch.Outcome, state dispatch.LoadReport) {
	s := n.s
	if a.serial != serial || !a.out || a.over {
		return
	}
	a.out = false
	a.serial++
	n.standing[a.pool.uid]--
	release := o == dispatch.TimedOut || o == dispatch.Reset || o == dispatch.Cancelled
	n.hear(func() {
		s.rules.Ended(s.now, a.name(), release)
		n.engine.Report(s.now, dispatch.Result{
			Call: a.id, Attempt: a.pick.Attempt, Pool: a.pick.Pool, Outcome: o,
			Took: s.now - a.pick.DecidedAt, Load: state,
		})
	})
}

// ---- pools ----

// way is how long a message takes from a controller to a pool, or back.
func (s *Sim) way(n *node, p *pool) int64 {
	r := s.sc.Net.Near
	if n.zone != p.Zone {
		r = s.sc.Net.Far
	}
	return s.within(r, lotNet)
}

func (s *Sim) within(r [2]Duration, lot int) int64 {
	least, most := int64(r[0])/1000, int64(r[1])/1000
	return least + s.rng[lot].Int64N(most-least+1)
}

// told is the state that a pool tells.
func (s *Sim) told(p *pool) dispatch.LoadReport {
	if p.Untold {
		return dispatch.UnknownLoad
	}
	free, agents := float64(p.Agents-p.held), float64(p.Agents)
	if p.Noise > 0 {
		free = min(max(0, free+agents*p.Noise*(2*s.rng[lotNoise].Float64()-1)), agents)
	}
	return dispatch.LoadReport{Free: free, Agents: agents}
}

// arrive is a set-up at its pool.
func (s *Sim) arrive(n *node, a *attempt, serial int, way int64) {
	if a.serial != serial || !a.out {
		return // called off on its way
	}
	p := a.pool
	v, after := p.Arrive(s.now, &s.sc.Settings, s.rng[lotFault].Float64())
	born := p.born
	back := func(o dispatch.Outcome, d int64) {
		s.after(d+way, func() { n.ended(a, serial, o, s.told(p)) })
	}
	switch v {
	case Silent:
	case Refused:
		s.after(way+int64(s.sc.Net.Refuse)/1000, func() { n.ended(a, serial, dispatch.ConnectFailed, dispatch.UnknownLoad) })
	case NoAgent:
		back(dispatch.NoAgent, after)
	case Swamped:
		back(dispatch.ProcessorFull, after)
	case Fault:
		back(dispatch.Errored, after)
	case Taken:
		p.standing[a] = true
		s.after(after, func() {
			if p.born != born || p.down { // it died meanwhile
				n.ended(a, serial, dispatch.Reset, dispatch.UnknownLoad)
				return
			}
			if !p.standing[a] || p.cut {
				return
			}
			s.after(way, func() { s.answered(n, a, serial, p, born) })
		})
	}
}

// answered is a pool's answer at its controller.
func (s *Sim) answered(n *node, a *attempt, serial int, p *pool, born int64) {
	if a.serial != serial || !a.out || a.over {
		return // called off: its agent is free once the pool hears of it
	}
	n.hear(func() {
		if a.serial != serial || !a.out || a.over || a.stands {
			return
		}
		if s.now >= a.until { // it crossed the caller's leaving
			return
		}
		a.stands, a.out = true, false
		a.stood = s.now
		a.over = true
		s.rules.Ended(s.now, a.name(), false)
		s.rules.Final(s.now, a.name(), "stands")
		n.engine.Report(s.now, dispatch.Result{
			Call: a.id, Attempt: a.pick.Attempt, Pool: a.pick.Pool,
			Outcome: dispatch.Answered, Took: s.now - a.pick.DecidedAt, Load: s.told(p),
		})
		if n.s.sc.Fleet != nil && n.s.sc.Fleet.Rates {
			rate, _ := p.rate(s.now, &s.sc.Settings)
			n.engine.ObserveCapacity(s.now, p.uid, rate)
		}
		s.out.stand(a.caller, s.now)
		hold := int64(s.rng[lotHold].ExpFloat64() * float64(s.sc.Class[a.caller.class].Hold.Microseconds()))
		s.after(hold, func() { s.over(n, a, p, born, dispatch.Ended) })
	})
}

// over ends a standing call.
func (s *Sim) over(n *node, a *attempt, p *pool, born int64, o dispatch.Outcome) {
	if !a.stands {
		return
	}
	a.stands = false
	n.standing[p.uid]--
	if p.born == born && p.standing[a] {
		delete(p.standing, a)
		p.held--
	}
	if o == dispatch.Reset {
		s.out.cut(a.caller, a.stood)
	}
	n.hear(func() {
		n.engine.Report(s.now, dispatch.Result{
			Call: a.id, Attempt: a.pick.Attempt, Pool: a.pick.Pool, Outcome: o,
			Took: s.now - a.pick.DecidedAt, Load: s.told(p),
		})
	})
}

// callOff tells the pool that an attempt is given up: its agent is free once it hears.
func (s *Sim) callOff(n *node, a *attempt) {
	p, born := a.pool, a.pool.born
	s.after(s.way(n, p), func() {
		if p.born == born && p.standing[a] && !a.stands {
			delete(p.standing, a)
			p.held--
		}
	})
}

// tell has a pool tell its state to all controllers, again and again. One that drains does not.
func (s *Sim) tell(p *pool) {
	if p.Tell <= 0 {
		return
	}
	var again func()
	again = func() {
		if s.now > s.end+settle {
			return
		}
		if !p.down && !p.cut && !p.draining && !p.gone {
			for _, n := range s.nodes {
				state, way := s.told(p), s.way(n, p)
				s.after(way, func() { n.hear(func() { n.engine.Observe(s.now, p.uid, state) }) })
			}
		}
		s.after(p.Tell.Microseconds(), again)
	}
	s.after(s.rng[lotNet].Int64N(max(p.Tell.Microseconds(), 1)), again)
}

// list has all controllers told a pool's state, late.
func (s *Sim) list(p *pool, mode eidertrail.Mode) {
	late := s.within(s.sc.Net.List, lotNet)
	born := p.born
	for _, n := range s.nodes {
		s.after(late+s.rng[lotNet].Int64N(int64(s.sc.Net.Apart)/1000), func() {
			n.hear(func() {
				s.rules.EndpointNotified(s.now, n.name, p.uid, mode == eidertrail.Ready)
				n.engine.UpdateEndpoints(s.now, []dispatch.Endpoint{{UID: p.uid, Group: p.group, Zone: p.Zone, StartedAt: born, Mode: mode}}, false)
			})
		})
	}
}

// cutAll ends what stands at a pool, and what is on its way there, with a reset.
func (s *Sim) cutAll(p *pool) {
	for _, a := range p.calls() {
		n, serial, born := a.caller.node, a.serial, p.born
		way := s.way(n, p)
		if a.stands {
			s.after(way, func() { s.over(n, a, p, born-1, dispatch.Reset) })
		} else {
			s.after(way, func() { n.ended(a, serial, dispatch.Reset, dispatch.UnknownLoad) })
		}
	}
}

// start is a new, cold process in a pool's place.
func (s *Sim) start(p *pool) {
	p.Start(s.now)
	warm := 1e6 / float64(p.Work.Microseconds()) / max(p.slow, 1e-3)
	s.rules.EndpointStarted(s.now, p.uid, warm)
}

// happen is an event of the scenario.
func (s *Sim) happen(e Event) {
	s.out.note(s, e)
	var where []*pool
	for _, p := range s.pools {
		if (e.Pool == "" || p.uid == e.Pool) && (e.Zone == "" || p.Zone == e.Zone) {
			where = append(where, p)
		}
	}
	long := e.For.Microseconds()
	later := func(do func()) {
		if long > 0 {
			s.after(long, do)
		}
	}
	switch e.Kind {
	case Burst:
		s.burst *= e.Times
		later(func() { s.burst /= e.Times })
	case Lose:
		was := s.loss
		s.loss = e.Share
		later(func() { s.loss = was })
	case Mute:
		s.names.down = true
		later(func() { s.names.down = false })
	case Truncate:
		s.names.truncated = true
		later(func() { s.names.truncated = false })
	case Stand:
		n := s.nodes[0]
		n.still = s.now + long
	}
	for _, p := range where {
		switch e.Kind {
		case Slow:
			p.slow *= e.Times
			later(func() { p.slow /= e.Times })
		case Errors:
			was := p.errors
			p.errors = e.Share
			later(func() { p.errors = was })
		case Unlist:
			s.names.unlisted[p], s.names.changedAt[p] = true, s.now
			later(func() { delete(s.names.unlisted, p); delete(s.names.changedAt, p) })
		case Vanish:
			p.cut = true
			later(func() { p.cut = false })
		case Crash:
			p.down = true
			s.cutAll(p)
			s.list(p, eidertrail.Removed)
			later(func() {
				s.start(p)
				s.list(p, eidertrail.Ready)
			})
		case Replace:
			p.draining = true
			s.list(p, eidertrail.Draining)
			later(func() {
				s.cutAll(p)
				p.draining = false
				s.start(p)
				s.list(p, eidertrail.Ready)
			})
		}
	}
}

// ---- callers ----

// next has the next caller come.
func (s *Sim) next() {
	rate := s.sc.Callers.Rate * s.burst
	if rate <= 0 {
		return
	}
	s.after(max(1, int64(s.rng[lotCalls].ExpFloat64()/rate*1e6)), func() {
		if s.now >= s.end {
			return
		}
		r := s.rng[lotCalls]
		c := &caller{first: s.now, key: r.Uint64()>>12 | 1, window: int((s.now - origin) / windowLong)}
		share := r.Float64() * s.classes[len(s.classes)-1]
		c.class, _ = slices.BinarySearch(s.classes, math.Nextafter(share, math.Inf(1)))
		c.class = min(c.class, len(s.classes)-1)
		c.node = s.nodes[s.controller()]
		c.pool = s.pools[r.IntN(len(s.pools))].group
		if groups := s.sc.Class[c.class].Groups; groups != nil {
			c.pool = groups[r.IntN(len(groups))]
		}
		s.out.place(c)
		c.node.setUp(c)
		s.next()
	})
}

// controller draws the controller that a new caller calls.
func (s *Sim) controller() int {
	if s.shares == nil {
		return s.rng[lotCalls].IntN(len(s.nodes))
	}
	lot := s.rng[lotCalls].Float64() * s.shares[len(s.shares)-1]
	i, _ := slices.BinarySearch(s.shares, math.Nextafter(lot, math.Inf(1)))
	return min(i, len(s.shares)-1)
}

// again lets a caller whose try was in vain dial again, or give up.
func (s *Sim) again(c *caller, answer string, after int64) {
	s.out.vain(answer)
	c.tries++
	if c.tries > s.sc.Callers.Retries || s.now-c.first >= s.sc.Class[c.class].Deadline.Microseconds() {
		s.out.lost(c)
		return
	}
	s.after(max(s.sc.Callers.Backoff.Microseconds(), after), func() { c.node.setUp(c) })
}

// ---- the fleet ----

// join has the controllers know each other, and divide budgets if there is a lease.
func (s *Sim) join(seed uint64) error {
	f := s.sc.Fleet
	for i, n := range s.nodes {
		cfg := swim.Default(i, len(s.nodes))
		if f.Interval > 0 {
			cfg.Interval = f.Interval.Microseconds()
			cfg.Timeout = cfg.Interval * 3 / 10
		}
		var err error
		if n.member, err = swim.New(cfg, 1, seed, s.now); err != nil {
			return fmt.Errorf("sim: fleet: %w", err)
		}
		if f.Lease > 0 {
			if n.books, err = quota.NewSharedAllocator(quota.Config{
				Self: i, Members: len(s.nodes), Incarnation: 1, Unit: 1000, Reserved: 250,
				TTL: f.Lease.Microseconds(), Margin: f.Margin.Microseconds(),
			}, s.now); err != nil {
				return fmt.Errorf("sim: fleet: %w", err)
			}
			part := f.ColdPart
			if part <= 0 {
				part = 0.5
			}
			n.engine.SetQuotas(s.now, dispatch.QuotaConfig{Source: n.books, SlowStartFraction: part, SendWindow: f.Margin.Microseconds() / 2})
		}
	}
	for _, n := range s.nodes {
		s.gossip(n)
		if n.books != nil {
			s.lease(n)
		}
	}
	return nil
}

// gossip sends what a member wants sent, and comes again when it is due.
func (s *Sim) gossip(n *node) {
	out, changes := n.member.Take()
	for _, o := range out {
		s.send(o.To, func(to *node) {
			to.member.Tick(s.now)
			to.member.Receive(s.now, o.Message)
		})
	}
	for _, c := range changes {
		s.out.member(s, n, c)
	}
	if len(changes) > 0 && n.books != nil {
		alive := make([]bool, len(s.nodes))
		for i, m := range n.member.View() {
			alive[i] = m.State == swim.Alive
		}
		n.books.SetAlive(alive)
	}
	at := max(n.member.Next(), s.now+1)
	n.tickAt = at
	s.after(at-s.now, func() {
		if n.tickAt != at || s.now > s.end+settle/2 {
			return
		}
		n.hear(func() { n.member.Tick(s.now); s.gossip(n) })
	})
}

// send has a datagram arrive at a member, or be lost.
func (s *Sim) send(to int, arrives func(n *node)) {
	s.out.Datagrams++
	if s.rng[lotFleet].Float64() < s.loss {
		return
	}
	n := s.nodes[to]
	s.after(s.within(s.sc.Net.Peers, lotFleet), func() { n.hear(func() { arrives(n); s.gossip(n) }) })
}

// lease keeps a member's books.
func (s *Sim) lease(n *node) {
	var post func(from *node, out []quota.Out)
	post = func(from *node, out []quota.Out) {
		for _, o := range out {
			s.send(o.To, func(to *node) {
				if answers, err := to.books.Receive(s.now, from.index, o.Body); err == nil {
					post(to, answers)
				}
			})
		}
	}
	post(n, n.books.Tick(s.now))
	s.after(100_000, func() {
		if s.now <= s.end+settle/2 {
			n.hear(func() { s.lease(n) })
		}
	})
}
