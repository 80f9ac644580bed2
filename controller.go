// Package eidertrail decides, for one access node, where each call is set up and which calls are turned
// away. Its types, events and actions stand in api.go.
//
// The mechanism is Angelin and Arvidsson's: the sender keeps a delay memory for every call server, predicts
// from it the completion time of the next set-up, and passes a server over while that prediction exceeds A
// times the quickest completion seen. Everything the node decides is decided in this file.
package eidertrail

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// The constants of the policy. Ratios have no unit; what has one comes from Settings.
const (
	scaleIdle     = 0.97             // a: below 1 keeps L stable (paper, 3.2)
	scaleOut      = 1.0              // b: as in the paper
	scaleAnswered = 1.0              // c: as in the paper
	freshFor      = 0.5              // d: as in the paper, forgets fast when load falls
	gateMultiple  = 6.0              // A: as in the paper; held by the design
	leastOver     = 30 * time.Second // window of M: the design's
	failMultiple  = 2.0              // a failure counts as at least this many A*M: the design's
	mostSends     = 2                // sends a call may have: the design's

	mostOfAim  = 0.5  // the part of the shortest aim the bar may reach: later leaves no time to go wrong
	lineSpare  = 3.0  // square roots of the load that a cold server's lines count as over that load
	openLift   = 4.0  // turns' worth of set-ups from each node is more than any server takes: no pace
	leastLift  = 0.04 // the least pace, in turns: a server many times slower than its lines tell drains
	mostCut    = 0.25 // the most that one slow or failed set-up takes off the pace: it may be a stray
	quickLift  = 8.0  // what a quick completion multiplies a pace by: two open it from all but the least
	quickShare = 0.5  // the part of the bar within which a completion is quick
	usualOver  = 64.0 // how many calls the worth of the usual call is the mean of
	noneFree   = 0.01 // the free agents of a pool that has none, or of which none are told
	// standMultiple is how many of the longest M that counts a Wake must be late for a standstill.
	standMultiple = 2
	// aheadWeight is the most that each set-up out behind the oldest adds to P, in quickest times: other
	// nodes have as many out there. 2 lets a dozen nodes keep a queue of a second, 5 idles.
	aheadWeight = 4.0
	// faultsInRow signalling faults without a completion shut the server, mostRow more of them for longest.
	// Guards against half of all agents standing idle for seconds because their pool fails four set-ups in
	// five at once: twenty in a row came every few seconds there, by chance.
	faultsInRow, mostRow = 60, 16
	// errorsOver is the part that the latest set-up has in a server's share of faults, and mostErrors the
	// share from which on calls worth more than the usual one rather go elsewhere.
	errorsOver, mostErrors = 1.0 / 16, 0.3
	// busyShare is the part of a class's deadline for which a busy number is first left alone, busyMost
	// bounds its doubling and is how many times its wait a number is remembered, mostBusy bounds the numbers.
	busyShare, busyMost, mostBusy = 0.05, 8, 4096
	// agentsToSpare free agents for each node end a shortage of agents, or spareShare of all.
	agentsToSpare, spareShare = 2.0, 0.1
	// coldMargin is the part of a cold server's fall multiple that as many nodes of equal calls use up at
	// its start: half leaves room for repeats and chance. coldEnd is the pace, in turns, that it comes to
	// by the end of its cold time: half as much again as planned. coldMost is the most that nodes may use.
	coldMargin, coldEnd, coldMost = 0.5, 1.5, 0.8
	// lateMultiple takes the place of A for a call that can no longer stand within its aim.
	lateMultiple = 2.0
	holdShare    = 0.7   // the part of a class's aim for which a call may be held before it is sent
	recheck      = 2     // how often held calls are looked at again, in ticks
	askAgain     = 0.125 // the part of AskWithin after which a failed request for the list is repeated
)

// Controller decides for one access node. It is not safe for concurrent use.
type Controller struct {
	set        Settings
	seed       uint64        // of the lots
	hold       time.Duration // longest mean hold of a class
	mostM      time.Duration // M is at most this
	usual, met float64       // worth of the usual call, and the calls that it is the mean of
	offered    float64       // calls of the last hold or so, the older the less
	offeredAt  time.Duration // when the latest of them came
	lead       float64       // this node's calls, in the mean node's: at least 1
	now        time.Duration
	load       float64 // L, the load ratio
	servers    map[ServerID]*server
	order      []*server // in the order of first listing
	listed     int       // servers ever listed, which numbers them
	fewest     float64   // agents that any server ever told, 0: none did
	calls      map[CallID]*call
	heard      map[uint64]time.Duration // numbers tried in vain, and when first
	heardOrder []*call
	pulse      time.Duration         // a Wake later than this shows a standstill
	stood      time.Duration         // how long the node has just stood still
	mostLeft   []time.Duration       // the most time that a call of each class was given
	busy       map[uint64]busyNumber // numbers whose lines were all busy
	waiting    []*call               // not out, not standing: to be placed or answered
	actions    []Action
	wakeAt     time.Duration // when the next Wake that was asked for is due, 0: none
	token      uint64
	askAt      time.Duration // when the list is asked for again, 0: never
}

// New returns the controller of one access node, or an error that names the setting that makes no sense.
// The seed parts the lots of nodes that see the same; equal settings, seeds and events give equal actions.
func New(set Settings, seed uint64) (*Controller, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	c := &Controller{
		set: set, seed: seed + uint64(set.Index), load: 1, lead: 1,
		servers: map[ServerID]*server{}, calls: map[CallID]*call{},
		heard: map[uint64]time.Duration{}, busy: map[uint64]busyNumber{},
		mostLeft: make([]time.Duration, len(set.Classes)),
	}
	if set.PollEndpoints {
		c.askAt = 1
	}
	for _, k := range set.Classes {
		m := time.Duration(float64(k.LatencyObjective) * mostOfAim / gateMultiple)
		if c.mostM == 0 || 0 < m && m < c.mostM {
			c.mostM = m
		}
		c.hold = max(c.hold, k.MeanHoldingTime)
	}
	c.pulse = standMultiple * max(c.mostM, set.Tick, time.Millisecond)
	return c, nil
}

func check(set *Settings) error {
	switch {
	case len(set.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case set.Nodes < 1:
		return fmt.Errorf("settings: Nodes is %d, want at least 1", set.Nodes)
	case set.Index < 0 || set.Index >= set.Nodes:
		return fmt.Errorf("settings: Index is %d, want 0 to %d", set.Index, set.Nodes-1)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"Release", float64(set.ReleaseWait)},
		{"Resend", float64(set.RetransmitInterval)},
		{"Tick", float64(set.Tick)},
		{"MaxAttempts", float64(set.MaxAttempts)},
		{"AskWithin", float64(set.PollInterval)},
		{"Cold", float64(set.SlowStartWindow)},
		{"ColdShare", set.SlowStartCapacity},
		{"FallMultiple", set.OverloadMultiple},
		{"FallAfter", float64(set.OverloadWindow)},
	} {
		if !(f.v >= 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("settings: %s is %v, want 0 or more", f.name, f.v)
		}
	}
	for i, k := range set.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.MeanHoldingTime < 0 || !(k.PriorityWeight >= 0) || !(k.LateFactor >= 0) {
			return fmt.Errorf("settings: Classes[%d]: Aim, Deadline, Hold or a worth makes no sense", i)
		}
		if slices.ContainsFunc(k.Pools, func(p int) bool { return p < 0 }) {
			return fmt.Errorf("settings: Classes[%d].Pools has a negative index", i)
		}
	}
	return nil
}

// Handle takes the events of one batch, all at the reading now, and appends what is to be done to actions.
func (c *Controller) Handle(now time.Duration, events []Event, actions []Action) []Action {
	c.now, c.actions = now, actions
	c.stood = c.standstill()
	for _, e := range events {
		switch e := e.(type) {
		case Call:
			c.accept(e)
		case Answered:
			c.answered(e)
		case Outcome:
			c.outcome(e)
		case CallerGone:
			c.hangUp(e.Call)
		case ServerList:
			c.list(e)
		case Report:
			c.report(e)
		case Wake:
			if c.wakeAt <= now {
				c.wakeAt = 0
			}
		}
	}
	if c.set.PollEndpoints && c.askAt > 0 && now >= c.askAt {
		c.askAt = 0
		c.actions = append(c.actions, Watch{})
	}
	c.place()
	c.wake()
	actions, c.actions = c.actions, nil
	return actions
}

// ---- Layer 1: delay memory, one for each incarnation of a server ----

type (
	sample struct{ at, took time.Duration }
	server struct {
		id       ServerID
		index    int // of all ever listed
		pool     int
		born     time.Duration
		mode     Mode
		bar      uint64        // classes barred from it, a bit each
		least    []sample      // candidates for M, oldest first, rising in took
		mostM    time.Duration // M counts as no more than this, 0: no bound
		out      []*call       // set-ups out, oldest first
		sent     int           // set-ups sent, which numbers them
		passed   int           // number of the latest that completed
		r        time.Duration // R, the latest completion
		rAt      time.Duration // when R was seen
		seen     bool          // R holds something
		onTrial  bool          // the last set-up failed or ended over the gate
		faults   int           // signalling faults since the last completion
		errors   float64       // share of faults among the set-ups of late
		free     float64       // free agents as last told, -1: never
		agents   float64       // their number, 0: not told
		scarce   bool          // agents are short
		lift     float64       // pace, in set-ups a turn
		phase    float64       // turns in hand at paceFrom
		paceFrom time.Duration // the pace counts from here: the last send, else the start
		cutAt    time.Duration // when the pace was last cut
	}
)

// completed records a completion of the set-up sent to s.
func (s *server) completed(now, took time.Duration) {
	for n := len(s.least); n > 0 && s.least[n-1].took >= took; n-- {
		s.least = s.least[:n-1]
	}
	s.least = append(s.least, sample{now, took})
	s.r, s.rAt, s.seen = took, now, true
	s.faults = 0
	m, _ := s.quickest(now)
	s.onTrial = float64(took) > gateMultiple*float64(m)
	s.move(now, took, m)
}

// queue is the set-ups out that the server may still be at work on, oldest first.
//
// Departure: a set-up that one sent later has passed is not in it: its answer is lost, and says nothing of
// the next. Guards against one lost answer shutting a busy server until its time-out, with half of its
// agents free. It can harm where set-ups overtake each other by habit: its oldest are told of late.
func (s *server) queue() []*call {
	i := 0
	for i < len(s.out) && s.strayed(s.out[i]) {
		i++
	}
	return s.out[i:]
}

func (s *server) strayed(k *call) bool { return k.nth < s.passed }

// shut keeps the server shut as after a completion of so many A*M; then one set-up at a time tries it.
func (s *server) shut(now, wait time.Duration, multiple float64) {
	if m, known := s.quickest(now); known {
		wait = max(wait, time.Duration(multiple*gateMultiple*float64(m)))
	}
	s.r, s.rAt, s.seen, s.onTrial = wait, now, true, true
}

// quickest is M. The last sample stays when all are older than the window.
//
// Departure: M counts as no more than what puts the bar at half the shortest aim, or a node that met a
// server only while it was jammed holds a gate so wide that every call is late. It can harm where the
// quickest set-up honestly takes longer than a twelfth of an aim: such a server is used less.
func (s *server) quickest(now time.Duration) (time.Duration, bool) {
	for len(s.least) > 1 && now-s.least[0].at > leastOver {
		s.least = s.least[1:]
	}
	if len(s.least) == 0 {
		return 0, false
	}
	if m := s.least[0].took; s.mostM == 0 || m <= s.mostM {
		return m, true
	}
	return s.mostM, true
}

func (s *server) forget(k *call) {
	s.out = slices.DeleteFunc(s.out, func(o *call) bool { return o == k })
}

// ---- Layer 2: prediction P and load ratio L ----

// predict is P, the completion time of the next set-up at s, which has an M of m.
func (c *Controller) predict(s *server, m time.Duration) float64 {
	switch {
	case len(s.queue()) > 0:
		return float64(c.now-s.queue()[0].sentAt) + scaleOut*float64(m)*c.load
	case s.seen && float64(c.now-s.rAt) <= freshFor*float64(s.r)*c.stretch(s):
		return scaleAnswered * float64(s.r)
	}
	return scaleIdle * float64(m) * c.load
}

// behind is what the gate adds to P for the set-ups out at s after the oldest.
//
// Departure: each counts as a further aheadWeight quickest times, or a turn where that is less, as they
// are worked off one by one: an open gate would else admit any number until the oldest is 5 M old. It
// covers bursts, held calls let go together and reopening.
func (c *Controller) behind(s *server, m time.Duration) float64 {
	n := len(s.queue())
	if n == 0 {
		return 0
	}
	each := aheadWeight * float64(m)
	if s.agents > 0 && c.hold > 0 {
		each = min(each, float64(c.turn(s)))
	}
	return each * float64(n-1)
}

// stretch is the L in d*R*L. Departure: it is 1 for a server on trial, whose R is a failure or a slow
// answer, long in itself, while L tells of the others: the busier they are, the sooner this one is needed.
func (c *Controller) stretch(s *server) float64 {
	if s.onTrial {
		return 1
	}
	return c.load
}

// proven is P as L takes it.
//
// Departure: a set-up out proves its age and no more; younger than expected it counts as idle. It can harm
// where a server slows down under a burst: L tells of it only when the first are overdue.
func (c *Controller) proven(s *server, m time.Duration) float64 {
	if q := s.queue(); len(q) > 0 {
		return max(float64(c.now-q[0].sentAt), scaleIdle*float64(m)*c.load)
	}
	return c.predict(s, m)
}

// weigh brings L up to date from the predictions made with the L before.
//
// Departure: L is over the servers that are open and not on trial, and at least 1: a hung server's oldest
// set-up would swell L until most healthy servers were shut, and decay by a would shrink it to nothing.
// It can harm when all servers slow down at once: L learns of each only when it is seen slow by itself.
func (c *Controller) weigh() {
	var sumP, sumM, lines float64
	for _, s := range c.order {
		lines += s.agents
		if s.mode != Ready || s.onTrial {
			continue
		}
		if m, known := s.quickest(c.now); known {
			if p := c.proven(s, m); p <= gateMultiple*float64(m) {
				sumP += p
				sumM += float64(m)
			}
		}
	}
	if sumM > 0 {
		c.load = max(1, sumP/sumM)
	}
	if lines > 0 { // by more than chance
		c.lead = max(1, float64(c.set.Nodes)*min(1, (c.offered-math.Sqrt(c.offered))/lines))
	}
}

// ---- Layer 3: the gate ----

// Departure: a server without an M, a cold one, or one whose last set-up failed or ended over the gate,
// gets one set-up at a time (it is on trial) until one completes under the gate: a few nodes that reopen a
// server together would fill it again. It can harm a single node that alone could keep a far server busy.
func (c *Controller) passes(k *call, s *server) bool {
	m, known := s.quickest(c.now)
	if (!known || s.onTrial || c.cold(s)) && len(s.queue()) > 0 {
		return false
	}
	if !known { // with a failure behind it, it is shut for d*R like any other (id5ef9c)
		shut := s.onTrial && float64(c.now-s.rAt) <= freshFor*float64(max(s.r, c.set.RetransmitInterval))
		return !shut && c.paced(k, s)
	}
	bar := gateMultiple
	if c.late(k) {
		bar = lateMultiple
	}
	return c.predict(s, m)+c.behind(s, m) <= bar*float64(m) && c.paced(k, s)
}

// Departure: with many nodes each one's samples are rare and one call from each is a heap. So a slow or
// failed set-up sets a pace, and quick completions lift it: so many set-ups a turn, a turn being this
// node's share of the time in which the server can take one. Calls of more worth than usual have their
// turn sooner (5: the least profitable first). It can harm when one slow set-up was a stray.
//
// While agents are short the pace is one turn: as many come free as are asked for. A usual call then waits
// for its first choice, if that works: elsewhere it lasts longer, and two full pools would swap their calls.
//
// A node that takes more than its equals of the calls that all lines were planned for has its turns sooner:
// quiet ones let theirs pass, and all turns sum to no more. It can harm where holds are told too long.
//
// Guard: a cold server is not pushed over. Its pace grows with its age, from half of what it can bear at
// the least (ColdShare, FallMultiple), whatever its completions say and whatever a call is worth. Leads sum
// to more than the nodes while calls outnumber the lines: none takes over coldMost of an equal's part.
func (c *Controller) paced(k *call, s *server) bool {
	lift, weight := s.lift, c.lead*c.worth(k)/max(c.usual, math.SmallestNonzeroFloat64)
	if s.scarce {
		lift = min(lift, 1)
		first := func(t *server) bool { return t.pool == k.Pool && c.allowed(k, t) && !t.onTrial }
		if s.pool != k.Pool && !c.dear(k) && slices.ContainsFunc(c.order, first) {
			return false
		}
	}
	if c.cold(s) && c.set.OverloadMultiple > 0 {
		age, least := float64(c.now-s.born)/float64(c.set.SlowStartWindow), c.set.SlowStartCapacity*c.set.OverloadMultiple
		lift = min(lift, coldMargin*least+max(0, coldEnd-coldMargin*least)*age)
		weight = min(c.lead, coldMost*(least+(c.set.OverloadMultiple-least)*age)/lift)
	}
	return lift >= openLift || s.phase+float64(c.now-s.paceFrom)*lift*weight/float64(c.turn(s)) >= 1
}

// turn is this node's share of the time in which the server can take one call: its lines were
// planned for the load that it can bear. Until they are told they count as the fewest that any
// server ever told; where none are told a server takes one call in a quickest time.
func (c *Controller) turn(s *server) time.Duration {
	agents := s.agents
	if agents <= 0 {
		agents = c.fewest
	}
	if agents > 0 && c.hold > 0 {
		if c.cold(s) {
			root := math.Sqrt(agents+lineSpare*lineSpare/4) - lineSpare/2 // root*(root+lineSpare) is agents
			agents = root * root
		}
		return time.Duration(float64(c.set.Nodes) * float64(c.hold) / agents)
	}
	m, known := s.quickest(c.now)
	if !known {
		m = c.mostM
	}
	if c.cold(s) {
		m = max(m, c.set.OverloadWindow)
	}
	return time.Duration(c.set.Nodes) * m
}

// move lifts or cuts the pace by a completion; what was sent before the last cut cuts no more.
func (s *server) move(now, took, m time.Duration) {
	bar := gateMultiple * float64(m)
	switch x := float64(took); {
	case x <= quickShare*bar:
		s.lift = min(s.lift*quickLift, openLift)
	case x > bar && now-took >= s.cutAt:
		s.cut(now, max(bar/x, mostCut))
	}
}

// cut leaves a part of the pace, or of one turn if the server was open.
func (s *server) cut(now time.Duration, part float64) {
	s.lift, s.cutAt = max(leastLift, min(s.lift, 1)*part), now
}

// lot is a number in [0, 1) that is the same whenever the call is looked at for the server.
func (c *Controller) lot(id CallID, s *server) float64 {
	x := c.seed ^ uint64(id)*0x9e3779b97f4a7c15 ^ uint64(s.index)<<32
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// ---- Layer 4: the order of pools ----

// choose returns the server that gets the call now, or nil.
func (c *Controller) choose(k *call) *server {
	if !k.weighed { // L moves with each new call, not each time that a held one is looked at
		k.weighed = true
		c.weigh()
	}
	var best *server
	for _, s := range c.order {
		if !c.allowed(k, s) || !c.passes(k, s) {
			continue
		}
		if best == nil || c.before(k, s, best) {
			best = s
		}
	}
	return best
}

// before orders pools: one that has not failed the call, first choice, then most free agents.
func (c *Controller) before(k *call, s, t *server) bool {
	if (s == k.tried) != (t == k.tried) {
		return t == k.tried
	}
	if c.dear(k) && (s.errors > mostErrors) != (t.errors > mostErrors) {
		return t.errors > mostErrors
	}
	if (s.pool == k.Pool) != (t.pool == k.Pool) {
		return s.pool == k.Pool
	}
	return c.draw(k, s) > c.draw(k, t)
}

// draw ranks pools of second choice.
//
// Departure: by lot, weighted by their free agents: all nodes are told the same numbers at once, and would
// send to the same pool until told again. It can harm where only one pool has room: some go elsewhere.
func (c *Controller) draw(k *call, s *server) float64 {
	return math.Log(c.lot(k.ID, s)) / max(s.free, noneFree)
}

func (c *Controller) allowed(k *call, s *server) bool {
	if s.mode != Ready || s.pool == c.set.OwnExchange || s.bar>>k.Class&1 == 1 {
		return false
	}
	if k.Transit {
		return s.pool == k.Pool
	}
	pools := c.set.Classes[k.Class].Pools
	return pools == nil || slices.Contains(pools, s.pool)
}

// ---- Layer 5: the call ledger, the only place that sends and answers ----

type call struct {
	Call
	cameAt    time.Duration
	until     time.Duration // the caller gives up
	holdUntil time.Duration // it is refused when it has not been sent by then
	notBefore time.Duration // the release is awaited until then
	sends     int
	sentAt    time.Duration
	nth       int     // of the set-ups sent to that server
	at        *server // where an attempt is out or the call stands
	tried     *server // where the last attempt failed
	out       bool
	stands    bool
	weighed   bool // L was brought up to date for it
	over      bool // ended for the caller; only the attempt's outcome is still to come
	mayHave   bool // an attempt may have been carried out
}

func (c *Controller) accept(e Call) {
	if c.calls[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(c.set.Classes) || c.leftAlone(e.Key) {
		c.actions = append(c.actions, Reject{Call: e.ID, RetryAfter: max(0, c.busy[e.Key].until-c.now)})
		return
	}
	k := &call{Call: e, cameAt: c.now, until: c.now + e.Timeout}
	class := &c.set.Classes[e.Class]
	c.mostLeft[e.Class] = max(c.mostLeft[e.Class], e.Timeout)
	k.cameAt -= min(c.stood, c.mostLeft[e.Class]-e.Timeout)
	if h, known := c.heard[e.Key]; known && c.now < h+class.Deadline {
		k.cameAt = h
	}
	k.holdUntil = k.cameAt + time.Duration(holdShare*float64(class.LatencyObjective))
	if c.late(k) {
		k.holdUntil = c.now + time.Duration(holdShare*float64(e.Timeout))
	}
	c.calls[e.ID] = k
	age := float64(c.now-c.offeredAt) / float64(max(c.hold, 1))
	c.offered, c.offeredAt = 1+c.offered*math.Exp(-age), c.now
	c.met = min(c.met+1, usualOver)
	c.usual += (c.worth(k) - c.usual) / c.met
	c.waiting = append(c.waiting, k)
}

func (c *Controller) place() {
	if len(c.waiting) == 0 {
		return
	}
	slices.SortStableFunc(c.waiting, func(a, b *call) int {
		return cmp.Or(-cmp.Compare(c.worth(a), c.worth(b)), cmp.Compare(a.cameAt, b.cameAt))
	})
	held := c.waiting[:0]
	for _, k := range c.waiting {
		if k.over {
			continue
		}
		if c.now < k.notBefore && k.notBefore < k.until {
			held = append(held, k)
			continue
		}
		var s *server
		if c.mayStillSend(k) {
			s = c.choose(k)
		}
		switch {
		case s != nil && !(s == k.tried && c.dear(k) && c.mayHold(k)):
			c.send(k, s)
		case c.mayHold(k):
			held = append(held, k)
		default:
			c.turnAway(k)
		}
	}
	clear(c.waiting[len(held):])
	c.waiting = held
}

// dear tells whether a call is worth more than the usual one: it is not to be spent on a pool that fails.
func (c *Controller) dear(k *call) bool { return c.worth(k) > c.usual }

// Departure: a call that no server may get now is held, not refused, while it could still stand within its
// aim; of the held calls those of most worth go first. It could harm callers who would rather go elsewhere.
func (c *Controller) mayHold(k *call) bool {
	return c.now < min(k.until, k.holdUntil) && k.sends < mostSends && !k.Transit &&
		c.mayRepeat(k)
}

// worth is what the call earns if it is sent now.
func (c *Controller) worth(k *call) float64 {
	class := &c.set.Classes[k.Class]
	if c.late(k) {
		return class.PriorityWeight * class.LateFactor
	}
	return class.PriorityWeight
}

func (c *Controller) late(k *call) bool {
	return c.now >= k.cameAt+c.set.Classes[k.Class].LatencyObjective
}

// Departure: a call to a number tried in vain within the class's deadline is taken for the same caller
// dialling again, and its aim runs from the first try; past the aim it is worth little, is sent last and
// passes a lower bar (the paper, 3.3 and 5). It can harm where one number serves many: their calls look late.
func (c *Controller) inVain(k *call) {
	if k.Key == 0 {
		return
	}
	if _, known := c.heard[k.Key]; !known {
		c.heard[k.Key] = k.cameAt
		c.heardOrder = append(c.heardOrder, k)
	}
	for len(c.heardOrder) > 0 {
		old := c.heardOrder[0]
		if c.now < old.cameAt+c.set.Classes[old.Class].Deadline {
			break
		}
		if c.heard[old.Key] == old.cameAt {
			delete(c.heard, old.Key)
		}
		c.heardOrder = c.heardOrder[1:]
	}
}

func (c *Controller) mayStillSend(k *call) bool {
	most := min(mostSends, cmp.Or(c.set.MaxAttempts, mostSends))
	return k.notBefore <= c.now && c.now < k.until && k.sends < most && c.mayRepeat(k)
}

// mayRepeat is false once a set-up that must not be repeated may have been carried out.
func (c *Controller) mayRepeat(k *call) bool {
	return !k.mayHave || c.set.Classes[k.Class].Idempotency == Idempotent
}

// send starts an attempt. Rule 2 rests on place: only calls without an attempt are in waiting.
func (c *Controller) send(k *call, s *server) {
	k.sends++
	s.sent++
	k.at, k.out, k.sentAt, k.nth = s, true, c.now, s.sent
	s.out = append(s.out, k)
	s.phase, s.paceFrom = 0, c.now
	c.actions = append(c.actions, Send{Call: k.ID, Server: s.id, Timeout: c.limit(s)})
}

// limit is how long an attempt is waited for.
//
// Departure: it ends at failMultiple*A*M, the time that a failure counts as, and not when the caller gives
// up: a lost set-up would else hold its server shut, by its age, for as long. It can harm where a processor
// turns slower at once by more than that multiple: its set-ups are given up a moment too soon, once.
func (c *Controller) limit(s *server) time.Duration {
	m, known := s.quickest(c.now)
	if !known {
		return 0
	}
	return max(2*c.set.RetransmitInterval, time.Duration(failMultiple*gateMultiple*float64(m)))
}

// turnAway is the final answer to a call that does not get through.
func (c *Controller) turnAway(k *call) {
	delete(c.calls, k.ID)
	c.inVain(k)
	after := c.comeBack(k)
	if c.now >= k.until || !c.mayRepeat(k) {
		c.actions = append(c.actions, Fail{Call: k.ID, RetryAfter: after})
		return
	}
	c.actions = append(c.actions, Reject{Call: k.ID, RetryAfter: after})
}

// comeBack estimates when the call had best be tried again: when the first of the servers that it may
// use is likely past what shuts it now, a memory of R or the pace; for a busy number, after its while.
func (c *Controller) comeBack(k *call) time.Duration {
	if c.leftAlone(k.Key) {
		return c.busy[k.Key].until - c.now
	}
	// With no server that it may use, about when calls that stand have ended.
	best := cmp.Or(c.hold, c.set.Classes[k.Class].Deadline)
	for _, s := range c.order {
		if !c.allowed(k, s) {
			continue
		}
		open := s.rAt + time.Duration(freshFor*float64(s.r)*c.stretch(s))
		if s.lift < openLift || s.scarce || c.cold(s) {
			lift := max(leastLift, min(s.lift, 1)) * c.lead
			open = max(open, s.paceFrom+time.Duration(max(0, 1-s.phase)*float64(c.turn(s))/lift))
		}
		best = min(best, max(0, open-c.now))
	}
	return best
}

// attempt finds the call whose attempt this is, or nil for anything stale.
func (c *Controller) attempt(id CallID, number int) *call {
	k := c.calls[id]
	if k == nil || k.at == nil || number != k.sends-1 {
		return nil
	}
	return k
}

func (c *Controller) answered(e Answered) {
	k := c.attempt(e.Call, e.Attempt)
	if k == nil || !k.out {
		return
	}
	k.out, k.stands = false, true
	delete(c.heard, k.Key)
	k.at.forget(k)
	k.at.errors *= 1 - errorsOver
	k.at.passed = max(k.at.passed, k.nth)
	c.completed(k.at, e.Took)
}

// completed takes a completion for the delay memory, unless the node's own standstill is in it.
func (c *Controller) completed(s *server, took time.Duration) {
	if c.stood == 0 {
		s.completed(c.now, took)
	}
}

func (c *Controller) outcome(e Outcome) {
	if e.Report != nil {
		c.report(*e.Report)
	}
	k := c.attempt(e.Call, e.Attempt)
	if k == nil {
		return
	}
	s := k.at
	if k.out {
		s.forget(k)
		s.errors *= 1 - errorsOver
		if e.Status == Error && e.Cause != LinesBusy {
			s.errors += errorsOver
		}
		switch {
		case e.Status == Ended || e.Status == Error && e.Cause == LinesBusy:
			c.completed(s, e.Took)
		case e.Status == Cancelled && k.over, e.Status == NotSent:
		case e.Status == Full && e.Cause == NoAgent:
			// Departure: 'no agent' says nothing of the processor, so it is not a failure for R. Until
			// agents to spare are told the node keeps the pace of one turn. It covers lines that run short
			// wherever servers are lost or calls last long. It can harm where many agents come free at once.
			s.free, s.scarce = 0, true
		case e.Status == Error:
			// A signalling fault is no completion, however quickly it comes back, or a server that fails
			// fast draws every call (i0a9b13). Nor does it tell of load: only many in a row shut the server.
			if s.faults++; s.faults >= faultsInRow {
				s.shut(c.now, e.Took, failMultiple*float64(min(s.faults-faultsInRow+1, mostRow)))
			}
		case (e.Status == TimedOut || e.Status == Reset) && s.strayed(k): // no failure of the server
		case e.Status == Reset && (!s.onTrial || k.sentAt < s.cutAt): // one set-up tries the next connection
			s.onTrial, s.cutAt = true, c.now
		default: // no answer: a completion time well over the gate
			s.shut(c.now, max(e.Took, e.RetryAfter), failMultiple)
			s.cut(c.now, mostCut)
		}
	}
	k.out, k.stands, k.at = false, false, nil
	if e.Closed || k.over {
		delete(c.calls, k.ID)
		return
	}
	switch e.Status {
	case TimedOut, Reset, Cancelled:
		k.mayHave = true
		k.notBefore = c.now + c.set.ReleaseWait + c.set.Tick // a tick more: the rule is to the nanosecond
	case Error:
		k.mayHave = true
		if e.Cause == LinesBusy {
			k.sends = mostSends // the number is busy everywhere
			c.numberBusy(k)
		}
	}
	if e.Cause != NoAgent { // an agent may come free there before the call's time is up
		k.tried = s
	}
	c.waiting = append(c.waiting, k)
}

func (c *Controller) hangUp(id CallID) {
	k := c.calls[id]
	if k == nil {
		return
	}
	k.over = true
	if !k.stands {
		c.inVain(k)
	}
	if k.at == nil {
		delete(c.calls, id)
	}
}

// Departure: a number whose lines are all busy is tried again only after a while, doubled while it stays
// busy; calls to it in between are refused at once. It can harm a number busy for a moment only.
type busyNumber struct{ until, wait time.Duration }

func (c *Controller) numberBusy(k *call) {
	if k.Key == 0 {
		return
	}
	least := time.Duration(busyShare * float64(c.set.Classes[k.Class].Deadline))
	if len(c.busy) >= mostBusy {
		clear(c.busy)
	}
	wait := min(max(2*c.busy[k.Key].wait, least), busyMost*least)
	c.busy[k.Key] = busyNumber{c.now + wait, wait}
}

// leftAlone tells whether the number is not to be tried now; one long past its while is forgotten.
func (c *Controller) leftAlone(key uint64) bool {
	b, known := c.busy[key]
	if known && c.now > b.until+busyMost*b.wait {
		delete(c.busy, key)
	}
	return known && c.now < b.until
}

// ---- Layer 6: what is told of the servers, and guards ----

func (c *Controller) list(e ServerList) {
	if e.Kind == Failed {
		c.askAt = c.now + time.Duration(askAgain*float64(c.set.PollInterval))
		return
	}
	if e.Kind != Delta {
		for _, s := range c.order {
			s.mode = Removed
		}
	}
	for _, l := range e.Servers {
		s := c.servers[l.ID]
		if s == nil {
			s = &server{id: l.ID, index: c.listed, free: -1, born: l.StartedAt}
			c.listed++
			c.start(s)
			c.servers[l.ID] = s
			c.order = append(c.order, s)
		} else if s.born != l.StartedAt { // a new incarnation: what the old one did says nothing
			*s = server{
				id: s.id, index: s.index, free: s.free, agents: s.agents, born: l.StartedAt,
				out: s.out, sent: s.sent,
			}
			c.start(s)
		}
		s.mode, s.pool, s.bar = l.Mode, l.Pool, l.DeniedClasses
	}
	// Nothing is kept of a server that is gone, but by the calls that are out or stand there.
	c.order = slices.DeleteFunc(c.order, func(s *server) bool { return s.mode == Removed })
	maps.DeleteFunc(c.servers, func(_ ServerID, s *server) bool { return s.mode == Removed })
}

// start opens a new incarnation; the phase of its pace is drawn by lot.
func (c *Controller) start(s *server) {
	s.lift, s.mostM = openLift, c.mostM
	s.phase, s.paceFrom = c.lot(0, s), c.now
}

func (c *Controller) report(e Report) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	if e.Free >= 0 {
		s.free = e.Free
	}
	if e.Agents >= 0 {
		if s.agents == 0 { // told to all nodes at once: the time before is not to be spent at once
			s.paceFrom = c.now
		}
		if s.agents = e.Agents; e.Agents > 0 && (c.fewest == 0 || e.Agents < c.fewest) {
			c.fewest = e.Agents
		}
	}
	if e.Free > min(agentsToSpare*float64(c.set.Nodes), spareShare*s.agents) {
		s.scarce = false
	}
}

// Departure: after a standstill of this node, seen by a Wake far too late, completion times hold its own
// pause and teach nothing, and calls count from when they came, by the time that they have left of the
// most that one of their class was given. It can harm where wakes are late by habit: little is learnt.
func (c *Controller) standstill() time.Duration {
	if late := c.now - c.wakeAt; c.wakeAt > 0 && late > c.pulse {
		return late
	}
	return 0
}

// cold tells whether the server may not be warm yet.
func (c *Controller) cold(s *server) bool { return s.born > 0 && c.now < s.born+c.set.SlowStartWindow }

// wake asks for the next Wake, when something that waits may be due.
func (c *Controller) wake() {
	next := c.askAt
	if len(c.calls) > 0 && (next == 0 || c.now+c.pulse < next) { // a standstill shows by this one
		next = c.now + c.pulse
	}
	for _, k := range c.waiting {
		at := min(k.holdUntil, k.until, c.now+recheck*max(c.set.Tick, time.Millisecond))
		if k.notBefore > c.now {
			at = min(k.notBefore, k.until)
		}
		if next == 0 || at < next {
			next = at
		}
	}
	if next == 0 || c.wakeAt > c.now && c.wakeAt <= next {
		return
	}
	c.wakeAt = max(next, c.now+1)
	c.token++
	c.actions = append(c.actions, WakeAt{Token: c.token, In: c.wakeAt - c.now})
}
