package websocket_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
	"eidertrail/internal/testing/frontendtest"
)

// attemptEnd is how every attempt of a call ends, and whether that proves that it was not carried out.
type attemptEnd struct {
	name     string
	outcome  dispatch.Outcome
	neverRan bool
	noPool   bool // no attempt is made at all
}

var attemptEnds = []attemptEnd{
	{name: "error", outcome: dispatch.Errored},
	{name: "lines busy", outcome: dispatch.LinesBusy},
	{name: "no agent", outcome: dispatch.NoAgent, neverRan: true},
	{name: "processor full", outcome: dispatch.ProcessorFull, neverRan: true},
	{name: "no answer", outcome: dispatch.TimedOut},
	{name: "connect failed", outcome: dispatch.ConnectFailed, neverRan: true},
	{name: "reset", outcome: dispatch.Reset},
	{name: "cancelled", outcome: dispatch.Cancelled},
	{name: "not sent", outcome: dispatch.NotSent, neverRan: true},
	{name: "no pool", noPool: true, neverRan: true},
}

// callEnd is what ends a call beside its attempts.
type callEnd struct {
	name  string
	apply func(b *bothFronts)
}

var callEnds = []callEnd{
	{"its time", func(*bothFronts) {}},
	{"the stop aborts it", (*bothFronts).abort},
	{"the decision loop ends", func(b *bothFronts) { b.stopDispatcher() }},
	{"an operator's drain", func(b *bothFronts) {
		if err := b.lifecycle.Drain(b.dispatcher.Now()); err != nil {
			b.t.Error(err)
		}
	}},
}

// observedFinal is a final answer as its caller reads it, and how it is counted; retryAfter is 0 where it names none.
type observedFinal struct {
	cause      int
	retryAfter int64
	outcome    telemetry.Outcome // in the operators' figures
}

func (f observedFinal) String() string {
	return fmt.Sprintf("cause %d, retry after %d ms, counted as %v", f.cause, f.retryAfter, f.outcome)
}

// says reports whether the cause, the time and the figure all say that a retry is harmless, or all that it is not.
func (f observedFinal) says(harmless bool) bool {
	byCause := f.cause == 34 || f.cause == 42 || f.cause == 102
	byTime := f.retryAfter > 0
	byFigure := f.outcome == telemetry.OutcomeDeferred
	return byCause == harmless && byTime == harmless && byFigure == harmless
}

// A set-up that may have run and must not be repeated is never answered as one that may be sent again, over either
// front: what both say of every final answer is compared.
func TestFinal_RetryIsAllowedOnlyWhereNothingHasRun(t *testing.T) {
	for _, class := range []struct {
		name       string
		repeatable bool
	}{{"read", true}, {"keyed", false}, {"once", false}} {
		for _, attempts := range attemptEnds {
			for _, ending := range callEnds {
				name := fmt.Sprintf("class %s, %s, ended by %s", class.name, attempts.name, ending.name)
				t.Run(name, func(t *testing.T) {
					socket := finalVia(t, viaWebSocket, class.name, attempts, ending)
					line := finalVia(t, viaJSONLines, class.name, attempts, ending)
					if socket != line {
						t.Errorf("over WebSocket %v, over JSON lines %v", socket, line)
					}
					harmless := attempts.neverRan || class.repeatable
					for front, observed := range map[string]observedFinal{"WebSocket": socket, "JSON lines": line} {
						if observed.cause == 0 || !observed.says(harmless) {
							t.Errorf("over %s: %v; a retry is harmless: %t", front, observed, harmless)
						}
					}
				})
			}
		}
	}
}

// finalVia plays one call over a front and returns its final answer.
func finalVia(
	t *testing.T,
	call func(b *bothFronts, class string, ending callEnd) observedFinal,
	class string,
	attempts attemptEnd,
	ending callEnd,
) (observed observedFinal) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b, stop := newBothFronts(t)
		defer stop()
		b.pools.Outcome = attempts.outcome
		if attempts.noPool {
			b.roster(eidertrail.Removed)
		}
		observed = call(b, class, ending)
		observed.outcome = b.countedOutcome()
	})
	return observed
}

// bothFronts is a WebSocket server and a JSON lines server on one dispatcher and one lifecycle.
type bothFronts struct {
	*service
	calls   *dispatch.CallTable    // of the JSON lines server
	callers *fakeplatform.Listener // where that takes connections
}

func newBothFronts(t *testing.T) (b *bothFronts, stop func()) {
	t.Helper()
	sockets, stopService := newService(t, &frontendtest.Journal{})
	sockets.count.SetClasses([]string{"read", "once", "keyed"})
	b = &bothFronts{service: sockets, callers: fakeplatform.NewListener()}
	b.calls = dispatch.NewCallTable(dispatch.CallTableConfig{
		Dispatcher: b.dispatcher,
		Inviter:    b.pools,
		MaxCalls:   10,
		Counters:   b.count,
	})
	lines := jsonlines.New(jsonlines.Config{
		Calls:            b.calls,
		Clock:            clock.New(),
		Lifecycle:        b.lifecycle,
		MaxConnections:   4,
		RetryAfter:       true,
		Ready:            func() bool { return true },
		ReleaseUnmatched: func(string, int) {},
		Log:              zerolog.Nop(),
		Counters:         b.count,
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = lines.Serve(b.callers) // it ends with its listener
	}()
	return b, func() {
		_ = b.callers.Close() // it always closes
		<-served
		b.calls.Close()
		lines.Close()
		stopService()
	}
}

// countedOutcome is the outcome of the one call that was counted.
func (b *bothFronts) countedOutcome() (counted telemetry.Outcome) {
	b.t.Helper()
	total := int64(0)
	for _, one := range b.count.ClassOutcomes() {
		total += one.Count
		if one.Count > 0 {
			counted = one.Outcome
		}
	}
	if total != 1 {
		b.t.Errorf("%d outcomes are counted of one call", total)
	}
	return counted
}

// abort ends what is pending as the daemon's stop does.
func (b *bothFronts) abort() {
	overdue, cancel := context.WithCancel(context.Background())
	cancel()
	b.calls.AbortPending()
	b.server.Shutdown(overdue)
}

// settle lets the call begin, ends it and lets its time pass.
func (b *bothFronts) settle(ending callEnd) {
	synctest.Wait()
	ending.apply(b)
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

func viaWebSocket(b *bothFronts, class string, ending callEnd) observedFinal {
	b.t.Helper()
	c := b.open("a")
	c.writeFrame(lastFrame|text, strings.Replace(setup, "read", class, 1))
	b.settle(ending)
	frames, _ := c.take()
	var message struct {
		Type       string
		Cause      int
		RetryAfter int64 `json:"retry_after_ms"`
	}
	b.readOne(frames, "message: ", &message)
	if message.Type != "refused" && message.Type != "failed" {
		b.t.Errorf("over WebSocket a message of type %q", message.Type)
	}
	return observedFinal{cause: message.Cause, retryAfter: message.RetryAfter}
}

func viaJSONLines(b *bothFronts, class string, ending callEnd) observedFinal {
	b.t.Helper()
	c := &client{Conn: b.callers.Dial()}
	defer c.Close()
	go c.readAll()
	_, _ = fmt.Fprintf(c, `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":%q,"left":"1500","key":"7f3a",`+
		`"extras":"dest:0"},"sdp":"v=0\r\n"}`+"\n", class)
	b.settle(ending)
	c.mu.Lock()
	received := strings.TrimSuffix(string(c.got), "\n")
	c.mu.Unlock()
	var message struct {
		Type   string
		Cause  int
		Fields struct{ Wait string }
	}
	b.readOne(strings.Split(received, "\n"), "", &message)
	observed := observedFinal{cause: message.Cause}
	if message.Fields.Wait != "" {
		var err error
		if observed.retryAfter, err = strconv.ParseInt(message.Fields.Wait, 10, 64); err != nil {
			b.t.Error(err)
		}
	}
	return observed
}

// readOne reads the one message with a prefix: a second one would be a second final answer.
func (b *bothFronts) readOne(received []string, prefix string, message any) {
	b.t.Helper()
	found := 0
	for _, one := range received {
		if content, is := strings.CutPrefix(one, prefix); is && content != "" {
			found++
			if err := json.Unmarshal([]byte(content), message); err != nil {
				b.t.Errorf("%q: %v", content, err)
			}
		}
	}
	if found != 1 {
		b.t.Errorf("%d messages: %q", found, received)
	}
}
