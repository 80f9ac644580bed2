package dispatch

import (
	"context"
	"errors"
)

// Why a call ends before it is established.
var (
	errCallerLeft = errors.New("dispatch: the caller has left")
	errAborted    = errors.New("dispatch: given up")
)

// Serve takes one call from its set-up to its final answer. ctx is done when the caller leaves, and then no
// answer is owed; or when the call is aborted at the end of the process (errAborted), and then one is.
func Serve(ctx context.Context, d *Dispatcher, inviter Inviter, r Request, s Setup) Final {
	served := servedCall{dispatcher: d, inviter: inviter, request: r, setup: s}
	for served.state != stateFinal {
		served.step(ctx)
	}
	return served.final
}

// servedState is where a call is between its set-up and its final answer:
//
//	deciding ── send ──> inviting ── answered ──> answered ──> final
//	   │  ^                 │
//	   │  └──── retry ─── ended ── the caller has left ──────> final
//	   └── rejected, failed, or the caller has left ─────────> final
type servedState int

const (
	stateDeciding servedState = iota // it waits for the module's decision
	stateInviting                    // an attempt was decided on and starts now
	stateEnded                       // the attempt ended without an answer
	stateAnswered                    // the attempt was answered
	stateFinal                       // the final answer is known
)

// String returns the state's name.
func (s servedState) String() string {
	switch s {
	case stateDeciding:
		return "deciding"
	case stateInviting:
		return "inviting"
	case stateEnded:
		return "ended"
	case stateAnswered:
		return "answered"
	case stateFinal:
		return "final"
	default:
		return "unknown"
	}
}

// servedCall is a call on the way to its final answer.
type servedCall struct {
	dispatcher *Dispatcher
	inviter    Inviter
	request    Request
	setup      Setup

	state      servedState
	attempt    Attempt // the current one, from stateInviting on
	leg        Leg     // in stateAnswered
	result     Result  // of the current attempt, in stateEnded and stateAnswered
	mayHaveRun bool    // an attempt may have been carried out
	errored    bool    // the latest attempt ended with Errored
	final      Final   // in stateFinal
}

// step takes the call from its state to the next.
func (c *servedCall) step(ctx context.Context) {
	switch c.state {
	case stateDeciding:
		c.decide(ctx)
	case stateInviting:
		c.invite(ctx)
	case stateEnded:
		c.reportEnd(ctx)
	case stateAnswered:
		c.establish(ctx)
	case stateFinal:
	}
}

// decide waits for the module's decision.
func (c *servedCall) decide(ctx context.Context) {
	decision, err := c.dispatcher.Pick(ctx, c.request)
	switch {
	case err != nil && ctx.Err() != nil:
		c.finishCancelled(ctx)
	case errors.Is(err, ErrClosed):
		c.finishUnanswered(Final{Kind: FinalCongestion, retryAfter: minRetryAfterMicros})
	case err != nil || decision.Kind == DecisionFail:
		c.finishUnanswered(Final{
			Kind:       FinalTimedOut,
			Errored:    c.errored,
			retryAfter: max(decision.RetryAfter, minRetryAfterMicros),
		})
	case decision.Kind == DecisionReject:
		c.finishUnanswered(Final{
			Kind:       rejectionKind(decision),
			Errored:    c.errored,
			retryAfter: decision.RetryAfter,
		})
	default:
		c.attempt = c.newAttempt(decision)
		c.state = stateInviting
	}
}

// rejectionKind is the kind of the final answer that the module's rejection asks for.
func rejectionKind(decision Decision) FinalKind {
	if decision.NoAgentFree {
		return FinalNoAgent
	}
	return FinalCongestion
}

// newAttempt is the attempt that was decided on.
func (c *servedCall) newAttempt(decision Decision) Attempt {
	attempt := Attempt{
		Setup:     c.setup,
		Endpoint:  decision.Endpoint,
		Number:    decision.Attempt,
		DecidedAt: decision.DecidedAt,
		Deadline:  c.request.Deadline,
		SendBy:    decision.SendBy,

		RetriedUntil: c.request.Deadline,
	}
	if decision.Timeout > 0 {
		attempt.Deadline = min(attempt.Deadline, decision.DecidedAt+decision.Timeout)
	}
	return attempt
}

// invite carries the attempt to its endpoint and waits for its outcome.
func (c *servedCall) invite(ctx context.Context) {
	leg, ending := c.inviter.Invite(ctx, c.attempt)
	c.leg = leg
	c.result = Result{
		Call:       c.request.Call,
		Attempt:    c.attempt.Number,
		Endpoint:   c.attempt.Endpoint,
		Outcome:    ending.Outcome,
		Took:       ending.At - c.attempt.DecidedAt,
		Load:       ending.Load,
		CallerGone: ctx.Err() != nil,
		InDoubt:    ending.InDoubt,
	}
	c.attemptEnded(ending.Outcome)
	if leg == nil {
		c.state = stateEnded
	} else {
		c.state = stateAnswered
	}
}

// attemptEnded notes whether the attempt may have been carried out.
func (c *servedCall) attemptEnded(outcome Outcome) {
	c.mayHaveRun = c.mayHaveRun || !outcome.neverRan()
}

// reportEnd reports an attempt that ended without an answer; the call then waits for a further decision.
func (c *servedCall) reportEnd(ctx context.Context) {
	c.dispatcher.attemptLog.Info().Str("call", c.setup.ID).Str("pool", c.attempt.Endpoint).
		Int("attempt", c.attempt.Number).Str("outcome", c.result.Outcome.name()).
		Bool("caller_gone", c.result.CallerGone).Bool("in_doubt", c.result.InDoubt).Msg("attempt not answered")
	c.dispatcher.Report(c.result)
	if c.result.CallerGone {
		c.finishCancelled(ctx)
		return
	}
	c.errored = c.result.Outcome == Errored
	c.state = stateDeciding
}

// establish reports an attempt that was answered; an answer that crossed the caller's leaving is released.
func (c *servedCall) establish(ctx context.Context) {
	if c.result.CallerGone || c.dispatcher.Now() >= c.request.Deadline {
		c.releaseLate(ctx)
		return
	}
	c.result.Outcome = Answered
	c.dispatcher.Report(c.result)
	c.finish(Final{Kind: FinalEstablished, Call: &EstablishedCall{
		Leg:        c.leg,
		dispatcher: c.dispatcher,
		call:       c.request.Call,
		attempt:    c.attempt,
	}})
}

// releaseLate releases a call whose answer nobody waits for any more.
func (c *servedCall) releaseLate(ctx context.Context) {
	c.leg.Release(CauseNormal)
	c.result.Outcome, c.result.CallerGone = Cancelled, true
	c.dispatcher.Report(c.result)
	if ctx.Err() != nil {
		c.finishCancelled(ctx)
		return
	}
	c.finishUnanswered(Final{Kind: FinalTimedOut, retryAfter: minRetryAfterMicros})
}

// finishCancelled ends a call whose ctx is done.
func (c *servedCall) finishCancelled(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errAborted) {
		c.finishUnanswered(Final{Kind: FinalCongestion, retryAfter: c.dispatcher.engine.maxRetryAfter})
		return
	}
	c.finish(Final{Kind: FinalCallerGone})
}

// finishUnanswered ends a call as its class allows: no other kind than FinalMayHaveRun is right for one that may be
// established at an endpoint and whose class is not idempotent.
func (c *servedCall) finishUnanswered(final Final) {
	if c.mayHaveRun && c.dispatcher.engine.mustNotRepeat(c.request.Class) {
		final = Final{Kind: FinalMayHaveRun, Errored: final.Errored}
	}
	c.finish(final)
}

func (c *servedCall) finish(final Final) {
	c.final = final
	c.state = stateFinal
}
