// Package middleware puts the decision module before HTTP handlers, as
// func(http.Handler) http.Handler for net/http, chi and what else takes that
// form. Each request is a call: it is placed at a pool or refused with 503 and
// Retry-After, and what the handler made of it is reported.
package middleware

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

// Call says what a request asks for.
type Call struct {
	Class   int           // place in the settings' classes
	Number  string        // what is called, such as a hotel; "" for none
	Pool    int           // the pool of first choice, -1 for none
	Timeout time.Duration // how long its client waits
}

// Config is what Admission is made with.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	// Classify reads a request. An error is answered with 400.
	Classify func(r *http.Request) (Call, error)
	Counters *dispatch.Counters
}

// Placement is where a request was placed. The handler finds it with FromContext.
type Placement struct {
	Pool    string // the uid of the pool that gets the work
	Attempt int

	mu       sync.Mutex
	outcome  dispatch.Outcome
	reported bool
	state    dispatch.LoadReport
}

// Report says what became of the attempt, where the status that the handler writes would not tell it.
func (p *Placement) Report(o dispatch.Outcome, s dispatch.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcome, p.state, p.reported = o, s, true
}

type contextKey struct{}

// FromContext is the placement of a request that was admitted, or nil.
func FromContext(ctx context.Context) *Placement {
	p, _ := ctx.Value(contextKey{}).(*Placement)
	return p
}

// Admission returns the middleware. A request has one attempt: once a handler has begun to answer there
// is no second. The handler's context ends at the attempt's time-out.
func Admission(c Config) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, next) })
	}
}

func (c *Config) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	call, err := c.Classify(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d := c.Dispatcher
	key := uint64(0)
	if call.Number != "" {
		key = dispatch.NumberKey(call.Number)
	}
	q := dispatch.Request{
		Call: d.NewCall(), Class: call.Class, Pool: call.Pool, Key: key,
		Deadline: d.Now() + call.Timeout.Microseconds(),
	}
	pick, err := d.Pick(r.Context(), q)
	if err != nil && r.Context().Err() != nil {
		return // the client is gone
	}
	if err != nil || pick.Kind != dispatch.DecisionSend {
		c.Counters.Add(telemetry.HTTPRejected)
		after := pick.RetryAfter
		if err != nil && !errors.Is(err, dispatch.ErrNoDecision) {
			after = 0
		}
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (after+999_999)/1_000_000), 10))
		http.Error(w, "refused: too busy", http.StatusServiceUnavailable)
		return
	}
	c.Counters.Add(telemetry.HTTPAdmitted)
	until := q.Deadline
	if pick.Timeout > 0 {
		until = min(until, pick.DecidedAt+pick.Timeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(until-d.Now())*time.Microsecond)
	defer cancel()
	p := &Placement{Pool: pick.Pool, Attempt: pick.Attempt, state: dispatch.UnknownLoad}
	wrapped := &writer{ResponseWriter: w, d: d}
	report := dispatch.Result{Call: q.Call, Attempt: pick.Attempt, Pool: pick.Pool, CallerGone: true}
	// Deferred so that a handler that panics gives its place back too.
	done := false
	defer func() {
		p.mu.Lock()
		report.Outcome, report.Load = p.outcome, p.state
		if !p.reported {
			report.Outcome = outcome(ctx, r.Context(), wrapped.status, done)
		}
		p.mu.Unlock()
		took := wrapped.at
		if took == 0 {
			took = d.Now()
		}
		report.Took = took - pick.DecidedAt
		if report.Outcome == dispatch.Ended || report.Outcome == dispatch.Answered {
			report.Outcome = dispatch.Answered
			d.Report(report)
			report.Outcome, report.Took = dispatch.Ended, d.Now()-pick.DecidedAt
		}
		d.Report(report)
	}()
	next.ServeHTTP(wrapped, r.WithContext(context.WithValue(ctx, contextKey{}, p)))
	done = true
}

// outcome is what a handler's status says of the attempt.
func outcome(ctx, client context.Context, status int, done bool) dispatch.Outcome {
	switch {
	case !done: // it panicked
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
	case status >= 500:
		return dispatch.Errored
	}
	return dispatch.Ended
}

// writer notes the status and when it was written: from then on the call stands.
type writer struct {
	http.ResponseWriter
	d      *dispatch.Dispatcher
	status int
	at     int64
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if w.status == 0 && status >= 200 {
		w.status, w.at = status, w.d.Now()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status, w.at = http.StatusOK, w.d.Now()
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the writer within.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
