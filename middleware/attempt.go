package middleware

import (
	"context"
	"net/http"
	"time"

	"eidertrail/dispatch"
)

// attempt is the one attempt of a request that was placed.
type attempt struct {
	dispatcher *dispatch.Dispatcher
	request    dispatch.Request
	decision   dispatch.Decision
	placement  *Placement
	response   *responseRecorder
	returned   bool // the handler has returned and did not panic
}

func newAttempt(
	dispatcher *dispatch.Dispatcher,
	request dispatch.Request,
	decision dispatch.Decision,
	w http.ResponseWriter,
) *attempt {
	return &attempt{
		dispatcher: dispatcher,
		request:    request,
		decision:   decision,
		placement: &Placement{
			Pool:    decision.Endpoint,
			Attempt: decision.Attempt,
			load:    dispatch.UnknownLoad,
		},
		response: &responseRecorder{ResponseWriter: w, dispatcher: dispatcher},
	}
}

// serve has the handler serve the request until the attempt's timeout, and reports what became of it. The report is
// deferred so that a handler that panics gives its place back too.
func (a *attempt) serve(r *http.Request, next http.Handler) {
	ctx, cancel := context.WithTimeout(r.Context(), a.timeLeft())
	defer cancel()
	defer a.report(ctx, r.Context())
	next.ServeHTTP(a.response, r.WithContext(context.WithValue(ctx, contextKey{}, a.placement)))
	a.returned = true
}

// timeLeft is the time until the attempt's timeout or the request's deadline, whichever is first.
func (a *attempt) timeLeft() time.Duration {
	until := a.request.Deadline
	if a.decision.Timeout > 0 {
		until = min(until, a.decision.DecidedAt+a.decision.Timeout)
	}
	return time.Duration(until-a.dispatcher.Now()) * time.Microsecond
}

// report reports the attempt: one that served the client was answered when the handler began to write, and has ended
// now.
func (a *attempt) report(ctx, client context.Context) {
	result := dispatch.Result{
		Call:       a.request.Call,
		Attempt:    a.decision.Attempt,
		Endpoint:   a.decision.Endpoint,
		CallerGone: true, // nobody waits for a retry
	}
	result.Outcome, result.Load = a.outcome(ctx, client)
	finishedAt := a.response.writtenAt
	if finishedAt == 0 {
		finishedAt = a.dispatcher.Now()
	}
	result.Took = finishedAt - a.decision.DecidedAt
	if result.Outcome == dispatch.Ended || result.Outcome == dispatch.Answered {
		result.Outcome = dispatch.Answered
		a.dispatcher.Report(result)
		result.Outcome, result.Took = dispatch.Ended, a.dispatcher.Now()-a.decision.DecidedAt
	}
	a.dispatcher.Report(result)
}

// outcome is what the handler reported, or else what its status says.
func (a *attempt) outcome(ctx, client context.Context) (dispatch.Outcome, dispatch.LoadReport) {
	a.placement.mu.Lock()
	defer a.placement.mu.Unlock()
	if a.placement.reported {
		return a.placement.outcome, a.placement.load
	}
	return a.statusOutcome(ctx, client), a.placement.load
}

// statusOutcome is what the handler's status says of the attempt. Status 0 is that of a handler that wrote nothing.
func (a *attempt) statusOutcome(ctx, client context.Context) dispatch.Outcome {
	status := a.response.status
	switch {
	case !a.returned: // it panicked
		return dispatch.Errored
	case status == 0 && client.Err() != nil:
		return dispatch.Cancelled
	case status == 0 && ctx.Err() != nil, status == http.StatusGatewayTimeout:
		return dispatch.TimedOut
	case status == http.StatusServiceUnavailable:
		return dispatch.ProcessorFull
	case status == http.StatusTooManyRequests:
		return dispatch.NoAgent
	case status == http.StatusBadGateway:
		return dispatch.Reset
	case status >= http.StatusInternalServerError:
		return dispatch.Errored
	}
	return dispatch.Ended
}
