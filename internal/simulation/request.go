package simulation

import (
	"fmt"
	"strconv"

	"eidertrail/dispatch"
)

// finalAnswer is how a request ended for its caller, as the checker of the rules names it.
type finalAnswer string

const (
	answerEstablished finalAnswer = "stands"
	answerRejected    finalAnswer = "refused"
	answerFailed      finalAnswer = "failed"
	answerAbandoned   finalAnswer = "left" // the caller gave the request up
)

// attemptState is the state of a request's current attempt.
type attemptState int

const (
	attemptIdle        attemptState = iota // none is in flight, or the call has ended
	attemptInFlight                        // at the pool, or on the way there or back
	attemptEstablished                     // the call is up
)

// String names the state.
func (s attemptState) String() string {
	switch s {
	case attemptIdle:
		return "idle"
	case attemptInFlight:
		return "in flight"
	case attemptEstablished:
		return "established"
	}
	return fmt.Sprintf("attemptState(%d)", int(s))
}

// request is one request of a caller to a controller, with its current attempt at a pool.
type request struct {
	id            uint64
	caller        *caller
	controller    *controller
	deadline      int64 // the caller waits until then
	answered      bool  // the caller has its final answer, or has given up
	establishedAt int64

	state    attemptState
	decision dispatch.Decision // which started the attempt
	pool     *PoolModel
	attempt  int // number of the attempt; a late message of an earlier attempt is recognized by it
}

// name is the request's id for the checker.
func (r *request) name() string { return strconv.FormatUint(r.id, 10) }

// isInFlight reports whether an attempt is in flight and the current one.
func (r *request) isInFlight(attempt int) bool {
	return r.attempt == attempt && r.state == attemptInFlight
}

// begin starts an attempt at the pool that a decision names.
func (r *request) begin(decision dispatch.Decision) {
	r.decision, r.pool, r.state = decision, r.controller.sim.poolByUID[decision.Endpoint], attemptInFlight
	r.attempt++
	r.controller.inUse[r.pool.uid]++
}

// finish ends the attempt in flight, which did not establish the call.
func (r *request) finish() {
	r.state = attemptIdle
	r.attempt++
	r.controller.inUse[r.pool.uid]--
}

// establish turns the attempt in flight into an established call.
func (r *request) establish(now int64) {
	r.state, r.establishedAt, r.answered = attemptEstablished, now, true
}

// hangUp ends the established call.
func (r *request) hangUp() {
	r.state = attemptIdle
	r.controller.inUse[r.pool.uid]--
}

// report hands the result of the current attempt to the engine.
func (r *request) report(outcome dispatch.Outcome, load dispatch.LoadReport, callerGone bool) {
	now := r.controller.sim.now
	r.controller.engine.Report(now, dispatch.Result{
		Call:       r.id,
		Attempt:    r.decision.Attempt,
		Endpoint:   r.decision.Endpoint,
		Outcome:    outcome,
		Took:       now - r.decision.DecidedAt,
		Load:       load,
		CallerGone: callerGone,
	})
}

// place submits a new request of a caller.
func (c *controller) place(from *caller) {
	sim := c.sim
	class := sim.scenario.Class[from.class]
	waitTime := int64(float64(class.Deadline.Microseconds()) * sim.scenario.Callers.AttemptFraction)
	sim.requests++
	r := &request{id: uint64(sim.requests), caller: from, controller: c, deadline: sim.now + waitTime}
	sim.checker.CallAccepted(sim.now, r.name(), r.deadline)
	sim.recorder.result.Requests++
	c.receive(func() {
		submitted := dispatch.Request{
			Call:     r.id,
			Class:    from.class,
			Group:    from.group,
			Key:      from.key,
			Deadline: r.deadline,
		}
		c.engine.Submit(sim.now, submitted, decisionReceiver{r})
	})
	sim.after(r.deadline-sim.now, r.abandon)
}

// abandon has the caller give a request up that has no final answer yet.
func (r *request) abandon() {
	if r.answered {
		return
	}
	c := r.controller
	sim := c.sim
	r.answered = true
	sim.checker.CallerGone(sim.now, r.name())
	c.receive(func() {
		if r.state != attemptInFlight {
			c.engine.Withdraw(sim.now, r.id)
			return
		}
		r.finish()
		sim.cancel(r)
		sim.checker.AttemptEnded(sim.now, r.name(), true)
		r.report(dispatch.Cancelled, dispatch.UnknownLoad, true)
	})
	sim.retry(r.caller, answerAbandoned, 0)
}

// decisionReceiver takes the engine's decisions on a request.
type decisionReceiver struct{ *request }

// Decide carries a decision out.
func (d decisionReceiver) Decide(decision dispatch.Decision) {
	r := d.request
	switch {
	case r.answered:
	case decision.Kind == dispatch.DecisionSend:
		r.send(decision)
	default:
		r.giveUp(decision)
	}
}

// giveUp answers the caller after a decision not to send the request.
func (r *request) giveUp(decision dispatch.Decision) {
	sim := r.controller.sim
	r.controller.engine.Forget(r.id)
	r.answered = true
	var answer finalAnswer
	switch decision.Kind {
	case dispatch.DecisionReject:
		answer = answerRejected
	case dispatch.DecisionFail:
		answer = answerFailed
	}
	sim.checker.CallAnswered(sim.now, r.name(), string(answer))
	sim.retry(r.caller, answer, decision.RetryAfter)
}

// send starts an attempt and its timeout.
func (r *request) send(decision dispatch.Decision) {
	sim := r.controller.sim
	r.begin(decision)
	attempt := r.attempt
	sim.checker.AttemptSent(sim.now, r.name(), r.controller.name, decision.Endpoint)
	sim.recorder.result.Attempts++
	delay := sim.poolDelay(r.controller, r.pool)
	sim.after(delay, func() { sim.setupArrived(r, attempt, delay) })
	if sim.scenario.Settings.Retransmits {
		r.retransmit(attempt, delay, sim.scenario.Settings.RetransmitInterval.Microseconds())
	}
	limit := r.deadline
	if decision.Timeout > 0 {
		limit = min(limit, decision.DecidedAt+decision.Timeout)
	}
	if limit < r.deadline {
		sim.after(limit-sim.now, func() { r.attemptTimedOut(attempt) })
	}
}

func (r *request) attemptTimedOut(attempt int) {
	if !r.isInFlight(attempt) {
		return
	}
	r.controller.sim.cancel(r)
	r.attemptEnded(attempt, dispatch.TimedOut, dispatch.UnknownLoad)
}

// retransmit has the sender's transaction layer repeat a set-up that has no answer, with an interval that doubles each
// time (RFC 3261, section 17.1.1.2).
func (r *request) retransmit(attempt int, delay, interval int64) {
	if interval <= 0 {
		return
	}
	sim := r.controller.sim
	sim.after(interval, func() {
		if !r.isInFlight(attempt) || r.answered {
			return
		}
		sim.checker.AttemptRetransmitted(sim.now, r.name(), r.pool.uid)
		sim.after(delay, func() { r.pool.retransmitArrived(sim.now, &sim.scenario.Settings) })
		r.retransmit(attempt, delay, 2*interval)
	})
}

// attemptEnded ends an attempt that did not establish the call, and reports it to the engine.
func (r *request) attemptEnded(attempt int, outcome dispatch.Outcome, load dispatch.LoadReport) {
	if !r.isInFlight(attempt) || r.answered {
		return
	}
	r.finish()
	released := outcome == dispatch.TimedOut || outcome == dispatch.Reset || outcome == dispatch.Cancelled
	sim := r.controller.sim
	r.controller.receive(func() {
		sim.checker.AttemptEnded(sim.now, r.name(), released)
		r.report(outcome, load, false)
	})
}
