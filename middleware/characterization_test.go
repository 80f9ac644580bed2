// The tests of this file are characterisation tests: they record how requests are rejected (status, header, body) and
// which outcome of an attempt the handler's status stands for, so that a change of names or shape in the code can be
// shown to change nothing else. The recorded files are in testdata/characterization. On a purposeful change they are
// written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./middleware -run TestCharacterization
//
// and the commit has to say why they changed.
package middleware_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
	"eidertrail/middleware"
)

// admission is a dispatcher with one pool, and what it logs of its decisions.
type admission struct {
	dispatcher *dispatch.Dispatcher
	count      *telemetry.Counters
	trace      *bytes.Buffer
	stop       context.CancelFunc
}

// newAdmission starts a dispatcher; it is to be called in a bubble of synctest.
func newAdmission(t *testing.T) *admission {
	t.Helper()
	admission := &admission{count: &telemetry.Counters{}, trace: &bytes.Buffer{}}
	classes := []eidertrail.Class{{
		Name:             "read",
		LatencyObjective: 2 * time.Second,
		Deadline:         6 * time.Second,
		PriorityWeight:   1,
		MeanHoldingTime:  time.Second,
	}}
	settings := eidertrail.Settings{Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, Classes: classes}
	var err error
	log := zerolog.New(admission.trace)
	admission.dispatcher, err = dispatch.New(settings, 1, 5_000_000, clock.New(), log, admission.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	admission.stop = stop
	go admission.dispatcher.Run(ctx)
	admission.dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a"}}, false)
	synctest.Wait()
	return admission
}

// admit is the middleware for calls that have so long.
func (a *admission) admit(left time.Duration, handler http.HandlerFunc) http.Handler {
	return middleware.Admission(middleware.Config{
		Dispatcher: a.dispatcher, Counters: a.count,
		Classify: func(r *http.Request) (middleware.Call, error) {
			if r.URL.Query().Has("bad") {
				return middleware.Call{}, errors.New("bad: not wanted <here>")
			}
			return middleware.Call{Number: "7f3a", Pool: -1, Timeout: left}, nil
		},
	})(handler)
}

// answerText is an answer's status, header and body.
func answerText(w *httptest.ResponseRecorder) string {
	var out strings.Builder
	fmt.Fprintf(&out, "  status %d\n", w.Code)
	for _, name := range slices.Sorted(maps.Keys(w.Header())) {
		for _, value := range w.Header()[name] {
			fmt.Fprintf(&out, "  %s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&out, "  body %s\n", strconv.Quote(w.Body.String()))
	return out.String()
}

// countsText is what was counted, in the order of the names.
func countsText(set *telemetry.Counters) string {
	counters := set.Snapshot().Counters
	var names []string
	for name, value := range counters {
		if value != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, "  counted %s %d\n", name, counters[name])
	}
	return out.String()
}

// rejection is a request that no handler gets.
type rejection struct {
	name   string
	path   string
	left   time.Duration
	before func(a *admission, leave context.CancelFunc)
}

func TestCharacterization_RejectedRequests(t *testing.T) {
	removePool := func(a *admission, _ context.CancelFunc) {
		a.dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a", Mode: eidertrail.Removed}}, false)
	}
	rejections := []rejection{
		{"not to be classified", "/rooms?bad", time.Second, func(*admission, context.CancelFunc) {}},
		{"no pool", "/rooms", time.Second, removePool},
		{"no pool and a long wait", "/rooms", time.Minute, removePool},
		{"no time left", "/rooms", 0, func(*admission, context.CancelFunc) {}},
		{"the dispatcher has stopped", "/rooms", time.Second, func(a *admission, _ context.CancelFunc) { a.stop() }},
		{"the client has left", "/rooms", time.Second, func(a *admission, leave context.CancelFunc) {
			removePool(a, leave)
			leave()
		}},
	}
	var out strings.Builder
	for _, r := range rejections {
		synctest.Test(t, func(t *testing.T) {
			a := newAdmission(t)
			defer a.stop()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			r.before(a, leave)
			synctest.Wait()
			w := httptest.NewRecorder()
			h := a.admit(r.left, func(http.ResponseWriter, *http.Request) { t.Errorf("%s: served", r.name) })
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, r.path, nil).WithContext(ctx))
			fmt.Fprintf(&out, "%s\n%s%s", r.name, answerText(w), countsText(a.count))
		})
	}
	recorded.Compare(t, "rejected.txt", out.String())
}

// namedOutcome is an outcome as the recorded file names it.
type namedOutcome struct {
	outcome dispatch.Outcome
	name    string
}

// namedOutcomes are all outcomes.
var namedOutcomes = []namedOutcome{
	{dispatch.Ended, "answered, then ended"},
	{dispatch.Errored, "signalling error"},
	{dispatch.LinesBusy, "lines busy"},
	{dispatch.NoAgent, "no agent"},
	{dispatch.ProcessorFull, "processor full"},
	{dispatch.TimedOut, "timed out"},
	{dispatch.ConnectFailed, "connect failed"},
	{dispatch.Reset, "reset"},
	{dispatch.Cancelled, "cancelled"},
	{dispatch.NotSent, "never sent"},
}

// work is what a handler does with a request. It may end the client's context with leave.
type work struct {
	name string
	do   func(w http.ResponseWriter, r *http.Request, leave context.CancelFunc)
}

// workTime is how long the handlers work before they answer.
const workTime = 40 * time.Millisecond

// statusWork is a handler that answers with a status.
func statusWork(status int) work {
	return work{fmt.Sprintf("status %d", status), func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
		time.Sleep(workTime)
		w.WriteHeader(status)
	}}
}

// bodyWork is a handler that answers with a body alone.
func bodyWork(name string, body []byte) work {
	return work{name, func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
		_, _ = w.Write(body) // the recorder takes everything
	}}
}

// otherWork are handlers that do something else than answer with one status.
func otherWork() []work {
	wait := func(r *http.Request) { <-r.Context().Done() }
	type handler = func(http.ResponseWriter, *http.Request, context.CancelFunc)
	report := func(o dispatch.Outcome, s dispatch.LoadReport) handler {
		return func(w http.ResponseWriter, r *http.Request, _ context.CancelFunc) {
			time.Sleep(workTime)
			middleware.FromContext(r.Context()).Report(o, s)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	all := []work{
		bodyWork("a body without a status", []byte("rooms")),
		bodyWork("an empty body without a status", nil),
		{"nothing", func(http.ResponseWriter, *http.Request, context.CancelFunc) { time.Sleep(workTime) }},
		{"status 103, then 503", func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			w.WriteHeader(http.StatusEarlyHints)
			time.Sleep(workTime)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"status 103 and nothing", func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			w.WriteHeader(http.StatusEarlyHints)
		}},
		{"status 200, then 503 and more work", func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			time.Sleep(workTime)
			w.WriteHeader(http.StatusOK)
			w.WriteHeader(http.StatusServiceUnavailable)
			time.Sleep(workTime)
		}},
		{"status 503 and more work", func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			time.Sleep(workTime)
			w.WriteHeader(http.StatusServiceUnavailable)
			time.Sleep(workTime)
		}},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request, _ context.CancelFunc) { wait(r) }},
		{"status 200 after the time", func(w http.ResponseWriter, r *http.Request, _ context.CancelFunc) {
			wait(r)
			w.WriteHeader(http.StatusOK)
		}},
		{"status 500 after the time", func(w http.ResponseWriter, r *http.Request, _ context.CancelFunc) {
			wait(r)
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{"the client leaves before the answer", func(_ http.ResponseWriter, r *http.Request, leave context.CancelFunc) {
			time.Sleep(workTime)
			leave()
			wait(r)
		}},
		{"the client leaves, then status 200", func(w http.ResponseWriter, r *http.Request, leave context.CancelFunc) {
			time.Sleep(workTime)
			leave()
			wait(r)
			w.WriteHeader(http.StatusOK)
		}},
		{"a panic", func(http.ResponseWriter, *http.Request, context.CancelFunc) {
			time.Sleep(workTime)
			panic(http.ErrAbortHandler)
		}},
		{"a panic after status 200", func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			w.WriteHeader(http.StatusOK)
			panic(http.ErrAbortHandler)
		}},
		{"status 500 and a report of answered", report(dispatch.Answered, dispatch.UnknownLoad)},
		{"status 500 and a report of ended with a state", report(dispatch.Ended, dispatch.LoadReport{Free: 3, Agents: 8})},
	}
	reports := make([]work, len(namedOutcomes))
	for i, o := range namedOutcomes {
		reports[i] = work{"status 500 and a report of " + o.name, report(o.outcome, dispatch.UnknownLoad)}
	}
	return slices.Concat(all, reports)
}

// served is what the middleware made of one request.
type served struct {
	trace    string
	answer   string
	counts   string
	limit    time.Duration // from the request to the end of the handler's context
	answered time.Duration // from the request to the first status or body
	took     time.Duration // from the request to the handler's end
}

// timedWriter notes when the first final status or body is written.
type timedWriter struct {
	http.ResponseWriter
	began time.Time
	at    time.Duration // -1 before
}

func (w *timedWriter) note(status int) {
	if w.at < 0 && status >= http.StatusOK {
		w.at = time.Since(w.began)
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *timedWriter) WriteHeader(status int) {
	w.note(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *timedWriter) Write(b []byte) (int, error) {
	w.note(http.StatusOK)
	return w.ResponseWriter.Write(b)
}

// serveOne has the middleware serve one request with a handler.
func serveOne(t *testing.T, job work) served {
	t.Helper()
	var out served
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(t)
		defer admission.stop()
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		began := time.Now()
		recorder := httptest.NewRecorder()
		timed := &timedWriter{recorder, began, -1}
		handler := admission.admit(time.Second, func(w http.ResponseWriter, r *http.Request) {
			defer func() { out.took = time.Since(began) }()
			if p := middleware.FromContext(r.Context()); p == nil || p.Pool != "a" || p.Attempt != 0 {
				t.Errorf("%s: placed at %v", job.name, p)
			}
			until, _ := r.Context().Deadline()
			out.limit = until.Sub(began)
			job.do(w, r, leave)
		})
		func() {
			defer func() {
				if reason := recover(); reason != nil {
					if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
						panic(reason)
					}
				}
			}()
			handler.ServeHTTP(timed, httptest.NewRequest(http.MethodGet, "/rooms", nil).WithContext(ctx))
		}()
		synctest.Wait()
		if out.answered = timed.at; out.answered < 0 {
			out.answered = out.took
		}
		out.trace, out.answer, out.counts = admission.trace.String(), answerText(recorder), countsText(admission.count)
	})
	return out
}

// reportOne has a dispatcher place the same call and reports an outcome of it with the times of a request that the
// middleware served. It returns the log of the dispatcher's decisions.
func reportOne(t *testing.T, outcome dispatch.Outcome, load dispatch.LoadReport, times served) string {
	t.Helper()
	var trace string
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(t)
		defer admission.stop()
		dispatcher := admission.dispatcher
		request := dispatch.Request{
			Call:     dispatcher.NewCall(),
			Group:    -1,
			Key:      dispatch.NumberKey("7f3a"),
			Deadline: dispatcher.Now() + 1_000_000,
		}
		pick, err := dispatcher.Pick(context.Background(), request)
		if err != nil || pick.Kind != dispatch.DecisionSend {
			t.Fatalf("not placed: %v", err)
		}
		time.Sleep(times.took)
		result := dispatch.Result{
			Call: request.Call, Attempt: pick.Attempt, Endpoint: pick.Endpoint, Outcome: outcome, Load: load, CallerGone: true,
			Took: times.answered.Microseconds(),
		}
		if outcome == dispatch.Ended {
			result.Outcome = dispatch.Answered
			dispatcher.Report(result)
			result.Outcome, result.Took = dispatch.Ended, times.took.Microseconds()
		}
		dispatcher.Report(result)
		synctest.Wait()
		trace = admission.trace.String()
	})
	return trace
}

// addresses are what the log tells of where a report is kept, which differs from run to run.
var addresses = regexp.MustCompile(`0x[0-9a-f]+`)

// withoutAddresses is a log without what differs from run to run.
func withoutAddresses(trace string) string { return addresses.ReplaceAllString(trace, "address") }

// reportedOutcome is the name of the outcome that was reported: the one with which a dispatcher that is given it
// directly takes the same decisions. The logs compared are of one and the same program; their wording is not recorded.
func reportedOutcome(t *testing.T, s served) string {
	t.Helper()
	var found []string
	for _, state := range []dispatch.LoadReport{dispatch.UnknownLoad, {Free: 3, Agents: 8}} {
		for _, o := range namedOutcomes {
			if withoutAddresses(reportOne(t, o.outcome, state, s)) != withoutAddresses(s.trace) {
				continue
			}
			name := o.name
			if state != dispatch.UnknownLoad {
				name += ", with the pool's state"
			}
			found = append(found, name)
		}
	}
	return strings.Join(found, " or ")
}

func TestCharacterization_ReportedOutcomes(t *testing.T) {
	statuses := []int{
		200, 201, 204, 301, 400, 404, 409, 428, 429, 430, 499,
		500, 501, 502, 503, 504, 505, 599, 600, 999,
	}
	statusWorks := make([]work, len(statuses))
	for i, status := range statuses {
		statusWorks[i] = statusWork(status)
	}
	var out strings.Builder
	for _, job := range slices.Concat(statusWorks, otherWork()) {
		s := serveOne(t, job)
		name := reportedOutcome(t, s)
		if name == "" {
			t.Errorf("%s: no outcome explains what was reported:\n%s", job.name, s.trace)
		}
		fmt.Fprintf(&out, "%s\n  reported: %s\n  limit %d µs, answered after %d µs, ended after %d µs\n%s%s",
			job.name, name, s.limit.Microseconds(), s.answered.Microseconds(), s.took.Microseconds(), s.answer, s.counts)
	}
	recorded.Compare(t, "outcomes.txt", out.String())
}
