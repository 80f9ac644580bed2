// Package dispatch is the blocking facade over the decision module: a call is
// given a place by Pick, what became of it is told by Report, and Tick lets what
// is due happen. One loop goroutine owns the Controller; outside this package
// nobody sees the module's events and actions.
//
// All times are whole microseconds of one monotonic clock, read once a turn.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/stats"
)

// Clock reads microseconds that never move backwards.
type Clock interface{ Now() int64 }

// Counters count what is taken in, sent and answered; the zero value is ready, and they log themselves as
// a zerolog object. Wherever they are asked for, nil does without.
type Counters = stats.Set

// Request is a call that wants a place.
type Request struct {
	Call  uint64 // from NewCall
	Class int
	Pool  int    // the pool of first choice
	Key   uint64 // the number called, 0 for none
	Until int64  // the caller gives up then
}

// Verdict is what Pick decided.
type Verdict int

// The verdicts.
const (
	Go      Verdict = iota // send an attempt, then Report
	Refused                // final: turned away, trying again is harmless
	Failed                 // final: given up
)

// Pick is the decision for a call.
type Pick struct {
	Verdict Verdict
	Pool    string // the uid of the pool that gets the attempt
	Attempt int
	Limit   int64 // the attempt's time-out, 0: until the caller gives up
	At      int64 // when it was decided; outcomes count from here
	LeaveBy int64 // it must not be sent later than this, 0: at any time
	After   int64 // with Refused and Failed: when to come back
	NoRoom  bool  // with Refused: the last attempt found no free agent
}

// Outcome is what became of an attempt.
type Outcome int

// The outcomes.
const (
	Answered      Outcome = iota // the call stands; a further Report ends it
	Ended                        // the call stood and is over
	Errored                      // a signalling fault
	LinesBusy                    // all lines of the number are busy
	NoAgent                      // the pool has no free agent
	ProcessorFull                // the pool's processor is full
	TimedOut
	ConnectFailed // it never reached the pool
	Reset         // the set-up or the standing call was cut
	Cancelled     // called off
	Moot          // never sent
)

// State is a pool's report. What is not told is negative.
type State struct{ Free, Agents float64 }

// Untold is the report that tells nothing.
var Untold = State{-1, -1}

// Result reports on an attempt.
type Result struct {
	Call    uint64
	Attempt int
	Pool    string
	Outcome Outcome
	Took    int64 // since Pick.At
	State   State
	Left    bool // the caller is gone: nothing more is owed
}

// Server is a line of the list of pools.
type Server struct {
	UID   string
	Group int
	Zone  string // for routing, "" if not told
	Born  int64  // clock reading of its start, 0: long ago
	Mode  eidertrail.Mode
}

// ErrClosed tells that the dispatcher has stopped.
var ErrClosed = errors.New("dispatch: closed")

// ErrLate tells that no decision came before the caller gave up.
var ErrLate = errors.New("dispatch: no decision in time")

const (
	queue   = 1024 // messages to the loop; a sender waits when it is full
	perTurn = 256  // messages taken in one turn
	// mostGather bounds how long a turn waits after the first message.
	mostGather = time.Millisecond
	// maxSends is the rule's last guard, whatever the module decides: two sends a call.
	maxSends = 2
	// lateBy is how long after Until, or after Pick, a decision may come before Pick gives up on the module.
	lateBy = 10_000
	// leastAfter is the least time to come back after.
	leastAfter = 100_000
)

// Dispatcher hosts one Controller. Its methods are safe for concurrent use.
type Dispatcher struct {
	clock   Clock
	set     eidertrail.Settings
	most    int64 // longest time to come back after
	count   *stats.Set
	log     zerolog.Logger // at debug level a trace of all that the module is told and says
	gather  time.Duration  // how long a turn waits for more of what comes together
	in      chan func(now int64)
	done    chan struct{}
	stopped sync.Once
	last    atomic.Uint64
	share   atomic.Uint64 // math.Float64bits of the share of calls turned away of late
	shareAt atomic.Int64

	// Owned by the loop.
	control *eidertrail.Controller
	events  []eidertrail.Event
	actions []eidertrail.Action
	calls   map[uint64]*call
	waiting map[uint64]*call // of them, those without a decision
	servers map[string]Server
	wakes   []wake // soonest first
	route   *router
}

type wake struct {
	at    int64
	token uint64
}

// call is a line of the call table.
type call struct {
	Request
	decided   chan Pick // holds one decision
	attempt   int       // of the last send, -1 before
	out       bool      // an attempt is out or decided upon
	stands    bool
	notBefore int64 // the release after the last attempt is awaited until then
	waitsFrom int64 // it waits for a decision since then
	noRoom    bool
	pool      string // where the last attempt went
	routed    bool   // routing counts it at pool: an attempt out or a call standing
}

// New returns a dispatcher; its loop is Run. most is the longest time that anybody is told to stay away.
// A nil clock is the system's monotonic one.
func New(set eidertrail.Settings, seed uint64, most int64, now Clock, log zerolog.Logger, count *Counters) (*Dispatcher, error) {
	if now == nil {
		now = clock.New()
	}
	control, err := eidertrail.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	return &Dispatcher{
		clock: now, set: set, most: most, gather: min(mostGather, set.Tick), count: count, log: log, control: control,
		in: make(chan func(int64), queue), done: make(chan struct{}),
		calls: map[uint64]*call{}, waiting: map[uint64]*call{}, servers: map[string]Server{}, route: newRouter(set, log, count),
	}, nil
}

// Run is the loop. It ends when ctx is done; calls without a decision get ErrClosed.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.stopped.Do(func() { close(d.done) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due := d.route.next(d.clock.Now())
		if len(d.wakes) > 0 && (due == 0 || d.wakes[0].at < due) {
			due = d.wakes[0].at
		}
		if due > 0 {
			timer.Reset(time.Duration(max(0, due-d.clock.Now())) * time.Microsecond)
		} else {
			timer.Reset(time.Hour)
		}
		var first func(int64)
		select {
		case <-ctx.Done():
			return
		case first = <-d.in:
		case <-timer.C:
		}
		// What comes together is to be weighed together, as in the simulator's ticks. Guards against held
		// calls going to a second choice because its state came some microseconds before the others'.
		if first != nil {
			time.Sleep(d.gather)
		}
		now := d.clock.Now()
		if first != nil {
			first(now)
		}
		for n := 0; n < perTurn && len(d.in) > 0; n++ {
			(<-d.in)(now)
		}
		d.turn(now)
	}
}

// post hands f to the loop; it tells whether the loop will run it, unless it stops first.
func (d *Dispatcher) post(f func(now int64)) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.in <- f:
		return true
	case <-d.done:
		return false
	}
}

const (
	// shareOver is how many calls the share of those turned away is the mean of.
	shareOver = 32
	// shareHalf is the time in which it halves while nothing comes.
	shareHalf = 5_000_000
)

// pressed takes a final answer into the share of calls turned away. Only the loop calls it.
func (d *Dispatcher) pressed(now int64, turnedAway bool) {
	share, x := d.sharedAt(now), 0.0
	if turnedAway {
		x = 1
	}
	d.share.Store(math.Float64bits(share + (x-share)/shareOver))
	d.shareAt.Store(now)
}

func (d *Dispatcher) sharedAt(now int64) float64 {
	quiet := max(0, now-d.shareAt.Load())
	return math.Float64frombits(d.share.Load()) * math.Exp2(-float64(quiet)/shareHalf)
}

// TurnedAway is the share of calls that were turned away of late, 0 to 1.
func (d *Dispatcher) TurnedAway() float64 { return d.sharedAt(d.clock.Now()) }

// NewCall numbers a call.
func (d *Dispatcher) NewCall() uint64 { return d.last.Add(1) }

// Now reads the clock.
func (d *Dispatcher) Now() int64 { return d.clock.Now() }

// Pick blocks until the call gets a place or is given up. It is called for a new call, and again after
// each Report that left the call without a place. When ctx is done first the caller has left: nothing
// more is owed for the call, and the error is ctx's.
func (d *Dispatcher) Pick(ctx context.Context, r Request) (Pick, error) {
	ready := make(chan chan Pick, 1)
	if !d.post(func(now int64) { ready <- d.enter(now, r) }) {
		return Pick{}, ErrClosed
	}
	var decided chan Pick
	select {
	case decided = <-ready:
	case <-d.done:
		return Pick{}, ErrClosed
	}
	late := time.NewTimer(time.Duration(max(0, r.Until-d.clock.Now())+lateBy) * time.Microsecond)
	defer late.Stop()
	select {
	case p := <-decided:
		if p.Verdict != Go {
			d.post(func(int64) { delete(d.calls, r.Call) })
		}
		return p, nil
	case <-d.done:
		return Pick{}, ErrClosed
	case <-late.C:
		d.post(func(now int64) { d.leave(now, r.Call) })
		return Pick{}, ErrLate
	case <-ctx.Done():
		d.post(func(now int64) { d.leave(now, r.Call) })
		return Pick{}, context.Cause(ctx)
	}
}

// enter tells the module of a new call, and finds the place where its decisions come.
func (d *Dispatcher) enter(now int64, r Request) chan Pick {
	if k := d.calls[r.Call]; k != nil {
		return k.decided
	}
	k := &call{Request: r, decided: make(chan Pick, 1), attempt: -1}
	d.calls[r.Call] = k
	d.await(now, k)
	d.events = append(d.events, eidertrail.Call{
		ID: eidertrail.CallID(r.Call), Class: r.Class, Pool: r.Pool, Key: r.Key, Left: span(r.Until - now),
	})
	return k.decided
}

// await notes that a call waits for a decision from now on.
func (d *Dispatcher) await(now int64, k *call) {
	k.waitsFrom = now
	d.waiting[k.Call] = k
}

// leave ends a call whose caller is gone while it waits for a decision. One that was made meanwhile,
// and that nobody will carry out, is undone.
func (d *Dispatcher) leave(now int64, id uint64) {
	k := d.calls[id]
	if k == nil {
		return
	}
	d.events = append(d.events, eidertrail.HangUp{Call: eidertrail.CallID(id)})
	if k.out {
		d.events = append(d.events, eidertrail.Outcome{
			Call: eidertrail.CallID(id), Attempt: k.attempt, Status: eidertrail.Moot, Closed: true,
		})
	}
	d.route.ended(now, k, Moot)
	delete(d.calls, id)
	delete(d.waiting, id)
}

// Report tells what became of an attempt, or that a standing call has ended.
func (d *Dispatcher) Report(r Result) {
	d.post(func(now int64) { d.report(now, r) })
}

func (d *Dispatcher) report(now int64, r Result) {
	id := eidertrail.CallID(r.Call)
	k := d.calls[r.Call]
	if k == nil || !k.out || k.attempt != r.Attempt {
		return
	}
	if r.Outcome == Answered {
		if !k.stands {
			if r.State != Untold {
				d.route.report(r.Pool, r.State.Free, r.State.Agents)
			}
			d.route.answered(now, k)
			k.stands = true
			d.pressed(now, false)
			d.events = append(d.events, eidertrail.Answered{Call: id, Attempt: r.Attempt, Took: span(r.Took)})
		}
		return
	}
	closed := r.Left || k.stands
	d.route.ended(now, k, r.Outcome)
	if r.Left && !k.stands {
		d.events = append(d.events, eidertrail.HangUp{Call: id})
	}
	o := eidertrail.Outcome{Call: id, Attempt: r.Attempt, Took: span(r.Took), Closed: closed}
	switch r.Outcome {
	case Ended:
		o.Status = eidertrail.Ended
	case Errored:
		o.Status = eidertrail.Error
	case LinesBusy:
		o.Status, o.Cause = eidertrail.Error, eidertrail.LinesBusy
	case NoAgent:
		o.Status, o.Cause = eidertrail.Full, eidertrail.NoAgent
	case ProcessorFull:
		o.Status, o.Cause = eidertrail.Full, eidertrail.ProcessorFull
	case TimedOut:
		o.Status = eidertrail.TimedOut
	case ConnectFailed:
		o.Status = eidertrail.ConnectFailed
	case Reset:
		o.Status = eidertrail.Reset
	case Cancelled:
		o.Status = eidertrail.Cancelled
	default:
		o.Status = eidertrail.Moot
	}
	if r.State != Untold {
		o.Report = &eidertrail.Report{Server: eidertrail.ServerID(r.Pool), Free: r.State.Free, Agents: r.State.Agents}
		d.route.report(r.Pool, r.State.Free, r.State.Agents)
	}
	k.out, k.stands, k.noRoom = false, false, r.Outcome == NoAgent
	switch r.Outcome {
	case TimedOut, Reset, Cancelled:
		k.notBefore = now + d.set.Release.Microseconds()
	}
	d.events = append(d.events, o)
	if closed {
		delete(d.calls, r.Call)
	} else {
		d.await(now, k)
	}
}

// Observe tells of a pool's state that came unasked.
func (d *Dispatcher) Observe(uid string, s State) {
	d.post(func(now int64) {
		d.route.beats.Told(now, uid)
		d.route.report(uid, s.Free, s.Agents)
		d.events = append(d.events, eidertrail.Report{Server: eidertrail.ServerID(uid), Free: s.Free, Agents: s.Agents})
	})
}

// Roster brings changed lines of the list of pools, or with whole all of them.
func (d *Dispatcher) Roster(servers []Server, whole bool) {
	d.post(func(now int64) {
		kind := eidertrail.Delta
		if whole {
			kind = eidertrail.Whole
			clear(d.servers)
		}
		list := make([]eidertrail.Server, len(servers))
		for i, s := range servers {
			list[i] = eidertrail.Server{ID: eidertrail.ServerID(s.UID), Born: span(s.Born), Mode: s.Mode, Pool: s.Group}
			if d.servers[s.UID] = s; s.Mode == eidertrail.Gone {
				delete(d.servers, s.UID)
			}
		}
		d.route.narrowList(now, d.servers, list)
		d.events = append(d.events, eidertrail.ServerList{Kind: kind, Servers: list})
	})
}

// Tick makes the loop take a turn now and returns when it has: what is due is done, and the loop lives.
func (d *Dispatcher) Tick(ctx context.Context) error {
	turned := make(chan struct{})
	if !d.post(func(int64) { close(turned) }) {
		return ErrClosed
	}
	select {
	case <-turned:
		return nil
	case <-d.done:
		return ErrClosed
	case <-ctx.Done():
		return fmt.Errorf("dispatch: tick: %w", ctx.Err())
	}
}

// turn lets the module handle what has come in, and again what its own guards send back.
func (d *Dispatcher) turn(now int64) {
	d.route.waits(now, d.waiting)
	d.events = d.route.narrow(now, d.servers, d.events)
	for len(d.wakes) > 0 && d.wakes[0].at <= now {
		d.events = append(d.events, eidertrail.Wake{Token: d.wakes[0].token})
		d.wakes = d.wakes[1:]
	}
	for len(d.events) > 0 {
		d.actions = d.control.Handle(span(now), d.events, d.actions[:0])
		if d.log.GetLevel() <= zerolog.DebugLevel {
			d.trace(now)
		}
		clear(d.events)
		d.events = d.events[:0]
		for _, a := range d.actions {
			d.carryOut(now, a)
		}
	}
}

func (d *Dispatcher) trace(now int64) {
	for _, e := range d.events {
		if o, is := e.(eidertrail.Outcome); is && o.Report != nil {
			d.log.Debug().Int64("us", now).Msgf("event %T %+v %+v", e, e, *o.Report)
			continue
		}
		d.log.Debug().Int64("us", now).Msgf("event %T %+v", e, e)
	}
	for _, a := range d.actions {
		d.log.Debug().Int64("us", now).Msgf("action %T %+v", a, a)
	}
}

func (d *Dispatcher) carryOut(now int64, a eidertrail.Action) {
	switch a := a.(type) {
	case eidertrail.WakeAt:
		w := wake{now + a.In.Microseconds() + 1, a.Token}
		i, _ := slices.BinarySearchFunc(d.wakes, w, func(a, b wake) int { return int(min(1, max(-1, a.at-b.at))) })
		d.wakes = slices.Insert(d.wakes, i, w)
	case eidertrail.Send:
		k := d.calls[uint64(a.Call)]
		if k == nil {
			return
		}
		k.attempt++
		if !d.maySend(now, k, string(a.Server)) {
			d.count.Add(stats.GuardStopped)
			d.events = append(d.events, eidertrail.Outcome{Call: a.Call, Attempt: k.attempt, Status: eidertrail.Moot})
			return
		}
		k.out = true
		delete(d.waiting, k.Call)
		k.decide(Pick{Verdict: Go, Pool: string(a.Server), Attempt: k.attempt, Limit: a.Limit.Microseconds(), At: now,
			LeaveBy: d.route.sent(now, k, string(a.Server))})
	case eidertrail.Refuse:
		d.final(now, uint64(a.Call), Refused, a.After)
	case eidertrail.Fail:
		d.final(now, uint64(a.Call), Failed, a.After)
	}
}

// maySend is the last guard of the rules: one attempt at a time, two sends at most, the release
// awaited, and only to a pool that is listed as up and that the class may use.
func (d *Dispatcher) maySend(now int64, k *call, uid string) bool {
	s, listed := d.servers[uid]
	if k.out || k.stands || k.attempt >= maxSends || now < k.notBefore || now >= k.Until ||
		!listed || s.Mode != eidertrail.Ready || !d.route.admits(now, uid, k.Class) {
		return false
	}
	pools := d.set.Classes[k.Class].Pools
	return pools == nil || slices.Contains(pools, s.Group)
}

func (d *Dispatcher) final(now int64, id uint64, v Verdict, after time.Duration) {
	k := d.calls[id]
	if k == nil {
		return
	}
	// The line stays until Pick has taken the answer. Guards against a call being entered a second time,
	// with two more sends, when it is given up between Report and the next Pick (found by FuzzDispatcher).
	d.pressed(now, v != Go)
	delete(d.waiting, id)
	k.decide(Pick{Verdict: v, After: d.after(after), NoRoom: k.noRoom})
}

// decide never blocks: a decision that nobody took yet gives way to a later one.
func (k *call) decide(p Pick) {
	for {
		select {
		case k.decided <- p:
			return
		default:
		}
		select {
		case <-k.decided:
		default:
		}
	}
}

// after is when a caller that is turned away had best come back: what the module estimates, within what
// callers respect.
func (d *Dispatcher) after(estimate time.Duration) int64 {
	return min(max(leastAfter, estimate.Microseconds()), max(leastAfter, d.most))
}

func span(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
