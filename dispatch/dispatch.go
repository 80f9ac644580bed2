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
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// Clock reads microseconds that never move backwards.
type Clock interface{ Now() int64 }

// Counters count what is taken in, sent and answered; the zero value is ready, and they log themselves as
// a zerolog object. Wherever they are asked for, nil does without.
type Counters = telemetry.Counters

// Request is a call that wants a place.
type Request struct {
	Call     uint64 // from NewCall
	Class    int
	Pool     int    // the pool of first choice
	Key      uint64 // the number called, 0 for none
	Deadline int64  // the caller gives up then
}

// DecisionKind is what Pick decided.
type DecisionKind int

// The verdicts.
const (
	DecisionSend   DecisionKind = iota // send an attempt, then Report
	DecisionReject                     // final: turned away, trying again is harmless
	DecisionFail                       // final: given up
)

// Decision is the decision for a call.
type Decision struct {
	Kind        DecisionKind
	Pool        string // the uid of the pool that gets the attempt
	Attempt     int
	Timeout     int64 // the attempt's time-out, 0: until the caller gives up
	DecidedAt   int64 // when it was decided; outcomes count from here
	SendBy      int64 // it must not be sent later than this, 0: at any time
	RetryAfter  int64 // with Refused and Failed: when to come back
	NoAgentFree bool  // with Refused: the last attempt found no free agent
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
	NotSent       // never sent
)

// neverRan tells whether the outcome proves that the attempt was not carried out.
func (o Outcome) neverRan() bool {
	return o == NoAgent || o == ProcessorFull || o == ConnectFailed || o == NotSent
}

// LoadReport is a pool's report. What is not told is negative.
type LoadReport struct{ Free, Agents float64 }

// UnknownLoad is the report that tells nothing.
var UnknownLoad = LoadReport{-1, -1}

// Result reports on an attempt.
type Result struct {
	Call       uint64
	Attempt    int
	Pool       string
	Outcome    Outcome
	Took       int64 // since Pick.At
	Load       LoadReport
	CallerGone bool // the caller is gone: nothing more is owed
}

// Endpoint is a line of the list of pools.
type Endpoint struct {
	UID       string
	Group     int
	Zone      string // for routing, "" if not told
	StartedAt int64  // clock reading of its start, 0: long ago
	Mode      eidertrail.Mode
}

// ErrClosed tells that the dispatcher has stopped.
var ErrClosed = errors.New("dispatch: closed")

// ErrNoDecision tells that no decision came before the caller gave up.
var ErrNoDecision = errors.New("dispatch: no decision in time")

const (
	queue   = 1024 // messages to the loop; a sender waits when it is full
	perTurn = 256  // messages taken in one turn
	// mostGather bounds how long a turn waits after the first message.
	mostGather = time.Millisecond
	// maxSends is the rule's last guard, whatever the module decides: two sends a call.
	maxSends = 2
	// lateBy is how long after Until, or after Pick, a decision may come before Pick gives up on the module.
	lateBy = 10_000
	// standstill is how late a turn or a decision must be, in µs, for the process to have stood still, and catchUpFor
	// how long the readers of connections then get before anything is decided or sent. A caller that has left must
	// not be sent for 0.1 s later.
	standstill = 50_000
	catchUpFor = 2 * time.Millisecond
	// leastAfter is the least time to come back after.
	leastAfter = 100_000
)

// Dispatcher runs an Engine in one loop goroutine. Its methods are safe for concurrent use.
type Dispatcher struct {
	clock   Clock
	gather  time.Duration // how long a turn waits for more of what comes together
	in      chan func(now int64)
	done    chan struct{}
	stopped sync.Once
	last    atomic.Uint64
	engine  *Engine
}

// New returns a dispatcher; its loop is Run. most is the longest time that anybody is told to stay away.
// A nil clock is the system's monotonic one.
func New(set eidertrail.Settings, seed uint64, most int64, now Clock, log zerolog.Logger, count *Counters) (*Dispatcher, error) {
	if now == nil {
		now = clock.New()
	}
	engine, err := NewEngine(set, seed, most, log, count)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		clock: now, gather: min(mostGather, set.Tick), in: make(chan func(int64), queue), done: make(chan struct{}),
		engine: engine,
	}, nil
}

// Run is the loop. It ends when ctx is done; calls without a decision get ErrClosed.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.stopped.Do(func() { close(d.done) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if due := d.engine.NextDue(d.clock.Now()); due > 0 {
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
		if due := d.engine.NextDue(d.clock.Now()); due > 0 {
			d.catchUp(d.clock.Now() - due)
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
		d.engine.Step(now)
	}
}

// catchUp lets what has come while the process stood still be read, if what was due is that late, in µs. Guards
// against a send for a caller that left meanwhile, of which nothing is known here: timers are looked at first.
func (d *Dispatcher) catchUp(late int64) {
	if late >= standstill {
		time.Sleep(catchUpFor)
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

// RejectionRate is the share of calls that were turned away of late, 0 to 1.
func (d *Dispatcher) RejectionRate() float64 { return d.engine.sharedAt(d.clock.Now()) }

// NewCall numbers a call.
func (d *Dispatcher) NewCall() uint64 { return d.last.Add(1) }

// Now reads the clock.
func (d *Dispatcher) Now() int64 { return d.clock.Now() }

// Pick blocks until the call gets a place or is given up. It is called for a new call, and again after
// each Report that left the call without a place. When ctx is done first the caller has left: nothing
// more is owed for the call, and the error is ctx's.
func (d *Dispatcher) Pick(ctx context.Context, r Request) (Decision, error) {
	ready := make(chan place, 1)
	if !d.post(func(now int64) { ready <- d.engine.Submit(now, r, make(place, 1)).(place) }) {
		return Decision{}, ErrClosed
	}
	var decided place
	select {
	case decided = <-ready:
	case <-d.done:
		return Decision{}, ErrClosed
	}
	late := time.NewTimer(time.Duration(max(0, r.Deadline-d.clock.Now())+lateBy) * time.Microsecond)
	defer late.Stop()
	select {
	case p := <-decided:
		if p.Kind == DecisionSend {
			d.catchUp(d.clock.Now() - p.DecidedAt)
		}
		// Guards against a send for a caller that has left, when the decision was there too.
		if ctx.Err() != nil {
			d.post(func(now int64) { d.engine.Withdraw(now, r.Call) })
			return Decision{}, context.Cause(ctx)
		}
		if p.Kind != DecisionSend {
			d.post(func(int64) { d.engine.Forget(r.Call) })
		}
		return p, nil
	case <-d.done:
		return Decision{}, ErrClosed
	case <-late.C:
		d.post(func(now int64) { d.engine.Withdraw(now, r.Call) })
		return Decision{}, ErrNoDecision
	case <-ctx.Done():
		d.post(func(now int64) { d.engine.Withdraw(now, r.Call) })
		return Decision{}, context.Cause(ctx)
	}
}

// place is where a call's decisions come; it holds one.
type place chan Decision

// Decide never blocks: a decision that nobody took yet gives way to a later one.
func (c place) Decide(p Decision) {
	for {
		select {
		case c <- p:
			return
		default:
		}
		select {
		case <-c:
		default:
		}
	}
}

// Report tells what became of an attempt, or that a standing call has ended.
func (d *Dispatcher) Report(r Result) {
	d.post(func(now int64) { d.engine.Report(now, r) })
}

// Observe tells of a pool's state that came unasked.
func (d *Dispatcher) Observe(uid string, s LoadReport) {
	d.post(func(now int64) { d.engine.Observe(now, uid, s) })
}

// UpdateEndpoints brings changed lines of the list of pools, or with whole all of them.
func (d *Dispatcher) UpdateEndpoints(servers []Endpoint, whole bool) {
	d.post(func(now int64) { d.engine.UpdateEndpoints(now, servers, whole) })
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

func span(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
