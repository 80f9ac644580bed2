package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// Engine hosts one Controller and the filters that narrow its choice, with a last check of the rules before each
// attempt: the calls, the endpoint list, what is due. It has no goroutine, no I/O and no clock: its owner passes in the
// time and what has happened, and steps it; decisions come by the Decider that was passed in with their call. The
// Dispatcher runs one in its loop, the simulator one for each controller. Times are µs of one monotonic clock.
type Engine struct {
	settings      eidertrail.Settings
	maxRetryAfter int64 // µs
	counters      *telemetry.Counters
	log           zerolog.Logger // at debug level a trace of the module's events and actions
	rejections    rejectionRate

	controller *eidertrail.Controller
	events     []eidertrail.Event
	actions    []eidertrail.Action
	calls      map[uint64]*call
	waiting    map[uint64]*call // of them, those without a decision
	endpoints  map[string]Endpoint
	wakeUps    wakeUpQueue
	filters    *filterChain
	avoided    atomic.Pointer[map[string]bool] // endpoints that no set-up may go to; read by any goroutine
}

// minRetryAfterMicros is the shortest time after which a caller is asked to come back.
const minRetryAfterMicros = 100_000

// NewEngine returns an engine. maxRetryAfter bounds the time, in µs, that any caller is asked to stay away.
func NewEngine(
	settings eidertrail.Settings,
	seed uint64,
	maxRetryAfter int64,
	log zerolog.Logger,
	counters *Counters,
) (*Engine, error) {
	controller, err := eidertrail.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	return &Engine{
		settings:      settings,
		maxRetryAfter: maxRetryAfter,
		counters:      counters,
		log:           log,
		controller:    controller,
		calls:         map[uint64]*call{},
		waiting:       map[uint64]*call{},
		endpoints:     map[string]Endpoint{},
		filters:       newFilterChain(settings, log, counters),
	}, nil
}

// Decider takes the decisions for a call, each during a Step; it must not block.
type Decider interface{ Decide(Decision) }

// NextDue is when a Step is wanted though nothing has come, 0: never.
func (e *Engine) NextDue(now int64) int64 {
	return earliest(e.filters.nextChange(now), e.wakeUps.next())
}

// Submit takes a call that wants an endpoint, or one whose attempt was reported and that wants another. It returns who
// gets the decisions: decider, or the one that was passed in when the call was entered first.
func (e *Engine) Submit(now int64, r Request, decider Decider) Decider {
	if c := e.calls[r.Call]; c != nil {
		return c.Decider
	}
	c := &call{Request: r, Decider: decider, attempt: noAttempt}
	e.calls[r.Call] = c
	e.wait(now, c)
	e.events = append(e.events, eidertrail.Call{
		ID:      eidertrail.CallID(r.Call),
		Class:   r.Class,
		Pool:    r.Group,
		Key:     r.Key,
		Timeout: duration(r.Deadline - now),
	})
	return decider
}

// SetProcesses takes how many processes the controller consists of now: two while one replaces the other.
func (e *Engine) SetProcesses(processes int) {
	e.events = append(e.events, eidertrail.Sharing{Processes: processes})
}

// Forget drops a call whose final decision was taken.
func (e *Engine) Forget(id uint64) { delete(e.calls, id) }

// wait notes that a call waits for a decision from now on.
func (e *Engine) wait(now int64, c *call) {
	c.waitsSince = now
	e.waiting[c.Call] = c
}

// Withdraw ends a call whose caller has left while it waits for a decision. A decision that was made meanwhile, and
// that nobody will carry out, is undone.
func (e *Engine) Withdraw(now int64, id uint64) {
	c := e.calls[id]
	if c == nil {
		return
	}
	e.events = append(e.events, eidertrail.CallerGone{Call: eidertrail.CallID(id)})
	if c.state != callWaiting {
		e.events = append(e.events, eidertrail.Outcome{
			Call: eidertrail.CallID(id), Attempt: c.attempt, Status: eidertrail.NotSent, Closed: true,
		})
	}
	e.filters.recordEnded(now, c, NotSent)
	delete(e.calls, id)
	delete(e.waiting, id)
}

// Report takes what became of an attempt, or that an established call has ended.
func (e *Engine) Report(now int64, r Result) {
	c := e.calls[r.Call]
	if c == nil || c.state == callWaiting || c.attempt != r.Attempt {
		return
	}
	if r.Outcome == Answered {
		e.reportAnswered(now, c, r)
		return
	}
	e.reportEnded(now, c, r)
}

// reportAnswered establishes the call; a second answer changes nothing.
func (e *Engine) reportAnswered(now int64, reported *call, r Result) {
	if reported.state == callEstablished {
		return
	}
	if r.Load != UnknownLoad {
		e.filters.observeLoad(r.Endpoint, r.Load)
	}
	e.filters.recordAnswered(now, reported)
	reported.state = callEstablished
	e.rejections.record(now, false)
	e.events = append(e.events, eidertrail.Answered{
		Call: eidertrail.CallID(r.Call), Attempt: r.Attempt, Took: duration(r.Took),
	})
}

// reportEnded ends an attempt that was not answered, or an established call.
func (e *Engine) reportEnded(now int64, reported *call, r Result) {
	id := eidertrail.CallID(r.Call)
	wasEstablished := reported.state == callEstablished
	closed := r.CallerGone || wasEstablished
	e.filters.recordEnded(now, reported, r.Outcome)
	if r.CallerGone && !wasEstablished {
		e.events = append(e.events, eidertrail.CallerGone{Call: id})
	}
	event := eidertrail.Outcome{
		Call:    id,
		Attempt: r.Attempt,
		Status:  r.Outcome.status(),
		Cause:   r.Outcome.cause(),
		Took:    duration(r.Took),
		Closed:  closed,
		InDoubt: r.InDoubt,
	}
	if r.Load != UnknownLoad {
		event.Report = &eidertrail.Report{
			Server: eidertrail.ServerID(r.Endpoint),
			Free:   r.Load.Free,
			Agents: r.Load.Agents,
		}
		e.filters.observeLoad(r.Endpoint, r.Load)
	}
	if r.InDoubt {
		reported.inDoubtAt = r.Endpoint
	}
	reported.attemptEnded(r.Outcome, now+e.settings.ReleaseWait.Microseconds())
	e.events = append(e.events, event)
	if closed {
		delete(e.calls, r.Call)
	} else {
		e.wait(now, reported)
	}
}

// Observe takes a load report that an endpoint sent unasked.
func (e *Engine) Observe(now int64, uid string, load LoadReport) {
	e.filters.recordHeartbeat(now, uid)
	e.filters.observeLoad(uid, load)
	e.events = append(e.events, eidertrail.Report{
		Server: eidertrail.ServerID(uid), Free: load.Free, Agents: load.Agents,
	})
}

// ObserveCapacity takes the set-ups a second that an endpoint says it can take from all controllers together.
func (e *Engine) ObserveCapacity(now int64, uid string, rate float64) {
	e.filters.observeCapacity(now, uid, rate)
}

// SetRouter has routing narrow the module's choice from the next Step on; nil takes it away.
func (e *Engine) SetRouter(now int64, r *routing.Router) {
	e.filters.setRouter(r)
	e.renotify(now)
}

// SetQuotas has this controller's quotas of the fleet's budgets narrow the module's choice from the next Step on.
func (e *Engine) SetQuotas(now int64, cfg QuotaConfig) {
	e.filters.setQuotas(cfg, e.settings)
	e.renotify(now)
}

// renotify notifies the module of every endpoint again, as the filters now offer it.
func (e *Engine) renotify(now int64) {
	listed := make([]Endpoint, 0, len(e.endpoints))
	for _, endpoint := range e.endpoints {
		listed = append(listed, endpoint)
	}
	slices.SortFunc(listed, func(a, b Endpoint) int { return cmp.Compare(a.UID, b.UID) })
	e.notify(now, eidertrail.Delta, listed)
}

// UpdateEndpoints takes changed lines of the endpoint list, or the complete list if snapshot is set.
func (e *Engine) UpdateEndpoints(now int64, endpoints []Endpoint, snapshot bool) {
	kind := eidertrail.Delta
	if snapshot {
		kind = eidertrail.Snapshot
		clear(e.endpoints)
	}
	for _, endpoint := range endpoints {
		if endpoint.Mode == eidertrail.Removed {
			delete(e.endpoints, endpoint.UID)
		} else {
			e.endpoints[endpoint.UID] = endpoint
		}
	}
	e.notify(now, kind, endpoints)
}

// notify has the filters take the endpoint list and notifies the module of some of its lines.
func (e *Engine) notify(now int64, kind eidertrail.ListKind, endpoints []Endpoint) {
	e.filters.updateEndpoints(now, e.endpoints)
	servers := make([]eidertrail.Server, len(endpoints))
	for i, endpoint := range endpoints {
		servers[i] = e.filters.offer(now, endpoint)
	}
	e.publishAvoided()
	e.events = append(e.events, eidertrail.ServerList{Kind: kind, Servers: servers})
}

func (e *Engine) publishAvoided() {
	avoided := e.filters.avoided()
	e.avoided.Store(&avoided)
}

// Step has the module handle what has come, and then what the guard sends back.
func (e *Engine) Step(now int64) {
	e.filters.observeWaiting(now, e.waiting)
	if changed := e.filters.changedOffers(now, e.endpoints); len(changed) > 0 {
		e.events = append(e.events, eidertrail.ServerList{Kind: eidertrail.Delta, Servers: changed})
		e.publishAvoided()
	}
	e.filters.reportState(now)
	for token, due := e.wakeUps.takeDue(now); due; token, due = e.wakeUps.takeDue(now) {
		e.events = append(e.events, eidertrail.Wake{Token: token})
	}
	for len(e.events) > 0 {
		e.actions = e.controller.Handle(duration(now), e.events, e.actions[:0])
		if e.log.GetLevel() <= zerolog.DebugLevel {
			e.trace(now)
		}
		clear(e.events)
		e.events = e.events[:0]
		for _, action := range e.actions {
			e.perform(now, action)
		}
	}
}

// trace logs the module's events and actions.
func (e *Engine) trace(now int64) {
	for _, event := range e.events {
		if outcome, is := event.(eidertrail.Outcome); is && outcome.Report != nil {
			e.log.Debug().Int64("us", now).Msgf("event %T %+v %+v", event, event, *outcome.Report)
			continue
		}
		e.log.Debug().Int64("us", now).Msgf("event %T %+v", event, event)
	}
	for _, action := range e.actions {
		e.log.Debug().Int64("us", now).Msgf("action %T %+v", action, action)
	}
}

func (e *Engine) perform(now int64, action eidertrail.Action) {
	switch action := action.(type) {
	case eidertrail.WakeAt:
		e.wakeUps.add(wakeUp{at: now + action.In.Microseconds() + 1, token: action.Token})
	case eidertrail.Send:
		e.send(now, action)
	case eidertrail.Reject:
		e.decideFinal(now, uint64(action.Call), DecisionReject, action.RetryAfter)
	case eidertrail.Fail:
		e.decideFinal(now, uint64(action.Call), DecisionFail, action.RetryAfter)
	}
}

// send passes on the decision to send an attempt, unless the guard stops it.
func (e *Engine) send(now int64, action eidertrail.Send) {
	sent := e.calls[uint64(action.Call)]
	if sent == nil {
		return
	}
	uid := string(action.Server)
	sent.attempt++
	if !e.maySend(now, sent, uid) {
		e.counters.Add(telemetry.GuardStopped)
		e.events = append(e.events, eidertrail.Outcome{
			Call: action.Call, Attempt: sent.attempt, Status: eidertrail.NotSent,
		})
		return
	}
	sent.state = callSent
	sent.endpoint = uid
	delete(e.waiting, sent.Call)
	sent.Decide(Decision{
		Kind:      DecisionSend,
		Endpoint:  uid,
		Attempt:   sent.attempt,
		Timeout:   action.Timeout.Microseconds(),
		DecidedAt: now,
		SendBy:    e.filters.recordSent(now, sent),
	})
}

// decideFinal passes on a final decision. The call stays until Pick has taken it: a call that is given up between
// Report and the next Pick would otherwise be entered a second time, with attempts of its own.
func (e *Engine) decideFinal(now int64, id uint64, kind DecisionKind, retryAfter time.Duration) {
	c := e.calls[id]
	if c == nil {
		return
	}
	e.rejections.record(now, true)
	delete(e.waiting, id)
	c.Decide(Decision{Kind: kind, RetryAfter: e.boundRetryAfter(retryAfter), NoAgentFree: c.noAgentFree})
}

// boundRetryAfter is the module's estimate within what callers respect, in µs.
func (e *Engine) boundRetryAfter(estimate time.Duration) int64 {
	return min(max(minRetryAfterMicros, estimate.Microseconds()), max(minRetryAfterMicros, e.maxRetryAfter))
}

// earliest is the earlier of two times of which 0 stands for never.
func earliest(a, b int64) int64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	default:
		return min(a, b)
	}
}
