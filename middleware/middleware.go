// Package middleware puts the decision module before HTTP handlers, as func(http.Handler) http.Handler for net/http,
// chi and whatever else takes that form.
//
// Each request is a call: it is placed at a pool, or rejected with 503 and Retry-After. A request that was placed has
// one attempt, as there can be no second once a handler has begun to answer. What the handler made of it is reported to
// the dispatcher: read from the status it wrote, unless it calls Placement.Report.
package middleware

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

const microsPerSecond = 1_000_000

// Call says what a request asks for.
type Call struct {
	Class   int           // index in the settings' classes
	Number  string        // what is called, such as a hotel; "" for none
	Pool    int           // the pool of first choice, -1 for none
	Timeout time.Duration // how long the client waits, from the moment the request is classified
}

// Config is what Admission is made with.
type Config struct {
	// Dispatcher places the requests. Its Run has to be running.
	Dispatcher *dispatch.Dispatcher
	// Classify reads a request. An error is answered with 400 and its text.
	Classify func(r *http.Request) (Call, error)
	// Counters count the requests that were admitted and rejected; nil does without.
	Counters *dispatch.Counters
}

// Admission returns the middleware. The context of a handler that is called has the request's Placement, and ends at
// the attempt's timeout. A request whose client disconnects before it is placed gets no
// answer.
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
	request := c.newRequest(call)
	decision, err := c.Dispatcher.Pick(r.Context(), request)
	if err != nil && r.Context().Err() != nil {
		return // the client has disconnected
	}
	if err != nil || decision.Kind != dispatch.DecisionSend {
		c.reject(w, decision)
		return
	}
	c.Counters.Add(telemetry.HTTPAdmitted)
	newAttempt(c.Dispatcher, request, decision, w).serve(r, next)
}

func (c *Config) newRequest(call Call) dispatch.Request {
	var key uint64
	if call.Number != "" {
		key = dispatch.NumberKey(call.Number)
	}
	return dispatch.Request{
		Call:     c.Dispatcher.NewCall(),
		Class:    call.Class,
		Group:    call.Pool,
		Key:      key,
		Deadline: c.Dispatcher.Now() + call.Timeout.Microseconds(),
	}
}

// reject answers a request that was not placed. Without a decision there is no time for a retry, and it is 1 s.
func (c *Config) reject(w http.ResponseWriter, decision dispatch.Decision) {
	c.Counters.Add(telemetry.HTTPRejected)
	w.Header().Set("Retry-After", strconv.FormatInt(retryAfterSeconds(decision.RetryAfter), 10))
	http.Error(w, "refused: too busy", http.StatusServiceUnavailable)
}

// retryAfterSeconds rounds µs up to whole seconds, one at least.
func retryAfterSeconds(micros int64) int64 {
	return max(1, (micros+microsPerSecond-1)/microsPerSecond)
}

// FromContext is the placement of a request that was admitted, or nil.
func FromContext(ctx context.Context) *Placement {
	placement, _ := ctx.Value(contextKey{}).(*Placement)
	return placement
}
