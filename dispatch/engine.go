package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/telemetry"
)

// Engine hosts one Controller and what narrows its choice, with the rules' last guard: the table of calls, the
// list of pools, what is due. It has no goroutine, no I/O and no clock: whoever owns it hands in the time and what
// has happened, and lets it take a turn; decisions come by the function that was handed in with their call. The
// Dispatcher runs one in its loop, the simulator one for each controller. Times are µs of one monotonic clock.
type Engine struct {
	set     eidertrail.Settings
	most    int64 // longest time to come back after
	count   *telemetry.Counters
	log     zerolog.Logger // at debug level a trace of all that the module is told and says
	share   atomic.Uint64  // math.Float64bits of the share of calls turned away of late
	shareAt atomic.Int64

	control *eidertrail.Controller
	events  []eidertrail.Event
	actions []eidertrail.Action
	calls   map[uint64]*call
	waiting map[uint64]*call // of them, those without a decision
	servers map[string]Endpoint
	wakes   []wake // soonest first
	route   *router
}

// NewEngine returns an engine. most is the longest time that anybody is told to stay away.
func NewEngine(set eidertrail.Settings, seed uint64, most int64, log zerolog.Logger, count *Counters) (*Engine, error) {
	control, err := eidertrail.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	return &Engine{
		set: set, most: most, count: count, log: log, control: control, calls: map[uint64]*call{},
		waiting: map[uint64]*call{}, servers: map[string]Endpoint{}, route: newRouter(set, log, count),
	}, nil
}

type wake struct {
	at    int64
	token uint64
}

// call is a line of the call table.
type call struct {
	Request
	Decider
	attempt   int  // of the last send, -1 before
	out       bool // an attempt is out or decided upon
	stands    bool
	notBefore int64 // the release after the last attempt is awaited until then
	waitsFrom int64 // it waits for a decision since then
	noRoom    bool
	mayHave   bool   // an attempt may have been carried out
	pool      string // where the last attempt went
	routed    bool   // routing counts it at pool: an attempt out or a call standing
}

// NextDue is when a Turn is wanted though nothing has come, 0: never.
func (d *Engine) NextDue(now int64) int64 {
	due := d.route.next(now)
	if len(d.wakes) > 0 && (due == 0 || d.wakes[0].at < due) {
		due = d.wakes[0].at
	}
	return due
}

// Decider takes the decisions for a call, each in a Turn; it must not block.
type Decider interface{ Decide(Decision) }

// Submit takes a call that wants a place, or one whose attempt was reported and that wants another. It returns who
// gets the decisions: by, or who did when the call was entered first.
func (d *Engine) Submit(now int64, r Request, by Decider) Decider {
	if k := d.calls[r.Call]; k != nil {
		return k.Decider
	}
	k := &call{Request: r, Decider: by, attempt: -1}
	d.calls[r.Call] = k
	d.await(now, k)
	d.events = append(d.events, eidertrail.Call{
		ID: eidertrail.CallID(r.Call), Class: r.Class, Pool: r.Pool, Key: r.Key, Timeout: span(r.Deadline - now),
	})
	return by
}

// Forget drops a call whose final decision was taken.
func (d *Engine) Forget(id uint64) { delete(d.calls, id) }

// await notes that a call waits for a decision from now on.
func (d *Engine) await(now int64, k *call) {
	k.waitsFrom = now
	d.waiting[k.Call] = k
}

// Withdraw ends a call whose caller is gone while it waits for a decision. One that was made meanwhile,
// and that nobody will carry out, is undone.
func (d *Engine) Withdraw(now int64, id uint64) {
	k := d.calls[id]
	if k == nil {
		return
	}
	d.events = append(d.events, eidertrail.CallerGone{Call: eidertrail.CallID(id)})
	if k.out {
		d.events = append(d.events, eidertrail.Outcome{
			Call: eidertrail.CallID(id), Attempt: k.attempt, Status: eidertrail.NotSent, Closed: true,
		})
	}
	d.route.ended(now, k, NotSent)
	delete(d.calls, id)
	delete(d.waiting, id)
}

// Report takes what became of an attempt, or that a standing call has ended.
func (d *Engine) Report(now int64, r Result) {
	id := eidertrail.CallID(r.Call)
	k := d.calls[r.Call]
	if k == nil || !k.out || k.attempt != r.Attempt {
		return
	}
	if r.Outcome == Answered {
		if !k.stands {
			if r.Load != UnknownLoad {
				d.route.report(r.Pool, r.Load.Free, r.Load.Agents)
			}
			d.route.answered(now, k)
			k.stands = true
			d.pressed(now, false)
			d.events = append(d.events, eidertrail.Answered{Call: id, Attempt: r.Attempt, Took: span(r.Took)})
		}
		return
	}
	closed := r.CallerGone || k.stands
	d.route.ended(now, k, r.Outcome)
	if r.CallerGone && !k.stands {
		d.events = append(d.events, eidertrail.CallerGone{Call: id})
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
		o.Status = eidertrail.NotSent
	}
	if r.Load != UnknownLoad {
		o.Report = &eidertrail.Report{Server: eidertrail.ServerID(r.Pool), Free: r.Load.Free, Agents: r.Load.Agents}
		d.route.report(r.Pool, r.Load.Free, r.Load.Agents)
	}
	k.out, k.stands, k.noRoom = false, false, r.Outcome == NoAgent
	k.mayHave = k.mayHave || !r.Outcome.neverRan()
	switch r.Outcome {
	case TimedOut, Reset, Cancelled:
		k.notBefore = now + d.set.ReleaseWait.Microseconds()
	}
	d.events = append(d.events, o)
	if closed {
		delete(d.calls, r.Call)
	} else {
		d.await(now, k)
	}
}

// Observe takes a pool's state that came unasked.
func (d *Engine) Observe(now int64, uid string, s LoadReport) {
	d.route.beats.RecordReport(now, uid)
	d.route.report(uid, s.Free, s.Agents)
	d.events = append(d.events, eidertrail.Report{Server: eidertrail.ServerID(uid), Free: s.Free, Agents: s.Agents})
}

// UpdateEndpoints takes changed lines of the list of pools, or with whole all of them.
func (d *Engine) UpdateEndpoints(now int64, servers []Endpoint, whole bool) {
	kind := eidertrail.Delta
	if whole {
		kind = eidertrail.Snapshot
		clear(d.servers)
	}
	list := make([]eidertrail.Server, len(servers))
	for i, s := range servers {
		list[i] = eidertrail.Server{ID: eidertrail.ServerID(s.UID), StartedAt: span(s.StartedAt), Mode: s.Mode, Pool: s.Group}
		if d.servers[s.UID] = s; s.Mode == eidertrail.Removed {
			delete(d.servers, s.UID)
		}
	}
	d.route.narrowList(now, d.servers, list)
	d.events = append(d.events, eidertrail.ServerList{Kind: kind, Servers: list})
}

// Step lets the module handle what has come in, and again what its own guards send back.
func (d *Engine) Step(now int64) {
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

func (d *Engine) trace(now int64) {
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

func (d *Engine) carryOut(now int64, a eidertrail.Action) {
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
			d.count.Add(telemetry.GuardStopped)
			d.events = append(d.events, eidertrail.Outcome{Call: a.Call, Attempt: k.attempt, Status: eidertrail.NotSent})
			return
		}
		k.out = true
		delete(d.waiting, k.Call)
		k.Decide(Decision{
			Kind: DecisionSend, Pool: string(a.Server), Attempt: k.attempt, Timeout: a.Timeout.Microseconds(), DecidedAt: now,
			SendBy: d.route.sent(now, k, string(a.Server)),
		})
	case eidertrail.Reject:
		d.final(now, uint64(a.Call), DecisionReject, a.RetryAfter)
	case eidertrail.Fail:
		d.final(now, uint64(a.Call), DecisionFail, a.RetryAfter)
	}
}

// maySend is the last guard of the rules: one attempt at a time, two sends at most or fewer where the site says so, the
// release awaited, no repeat of what must not be repeated, and only to a pool that is listed as up and that the class
// may use.
//
// Guards against a module that repeats a set-up of a class whose effect is not Safe after one that may have been carried
// out, or that sends more often than the site allows.
func (d *Engine) maySend(now int64, k *call, uid string) bool {
	s, listed := d.servers[uid]
	if k.out || k.stands || k.attempt >= min(maxSends, cmp.Or(d.set.MaxAttempts, maxSends)) || k.mayHave && d.once(k.Class) || now < k.notBefore || now >= k.Deadline ||
		!listed || s.Mode != eidertrail.Ready || !d.route.admits(now, uid, k.Class) {
		return false
	}
	pools := d.set.Classes[k.Class].Pools
	return pools == nil || slices.Contains(pools, s.Group)
}

// once tells whether a set-up of the class must not be repeated once it may have been carried out.
func (d *Engine) once(class int) bool {
	return class >= 0 && class < len(d.set.Classes) && d.set.Classes[class].Idempotency != eidertrail.Idempotent
}

func (d *Engine) final(now int64, id uint64, v DecisionKind, after time.Duration) {
	k := d.calls[id]
	if k == nil {
		return
	}
	// The line stays until Pick has taken the answer. Guards against a call being entered a second time,
	// with two more sends, when it is given up between Report and the next Pick (found by FuzzDispatcher).
	d.pressed(now, v != DecisionSend)
	delete(d.waiting, id)
	k.Decide(Decision{Kind: v, RetryAfter: d.after(after), NoAgentFree: k.noRoom})
}

// after is when a caller that is turned away had best come back: what the module estimates, within what
// callers respect.
func (d *Engine) after(estimate time.Duration) int64 {
	return min(max(leastAfter, estimate.Microseconds()), max(leastAfter, d.most))
}

const (
	// shareOver is how many calls the share of those turned away is the mean of.
	shareOver = 32
	// shareHalf is the time in which it halves while nothing comes.
	shareHalf = 5_000_000
)

// pressed takes a final answer into the share of calls turned away. Only the loop calls it.
func (d *Engine) pressed(now int64, turnedAway bool) {
	share, x := d.sharedAt(now), 0.0
	if turnedAway {
		x = 1
	}
	d.share.Store(math.Float64bits(share + (x-share)/shareOver))
	d.shareAt.Store(now)
}

func (d *Engine) sharedAt(now int64) float64 {
	quiet := max(0, now-d.shareAt.Load())
	return math.Float64frombits(d.share.Load()) * math.Exp2(-float64(quiet)/shareHalf)
}
