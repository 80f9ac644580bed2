package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/clock"
)

// tableRecorder is a call table in a bubble with a transcript of all that its callers and its endpoints receive.
type tableRecorder struct {
	*dispatch.CallTable
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	start      int64
	callers    map[string]*caller
	mu         sync.Mutex
	attempts   map[string]*attempt // the latest, by the call's id
	messages   []string            // since the last step
	transcript strings.Builder
}

// caller is a connection in memory.
type caller struct {
	recorder *tableRecorder
	name     string
	refuses  bool // it takes nothing more
}

// Final implements dispatch.CallerConn.
func (c *caller) Final(id string, f dispatch.Final) bool {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	var b strings.Builder
	switch f.Kind {
	case dispatch.FinalEstablished:
		b.WriteString("stands, sdp " + f.Call.SDP())
	case dispatch.FinalNoAgent, dispatch.FinalCongestion:
		b.WriteString("turned away")
	case dispatch.FinalTimedOut, dispatch.FinalMayHaveRun:
		b.WriteString("given up")
	case dispatch.FinalCallerGone:
		b.WriteString("gone")
	}
	if retryAfter, harmless := f.RetryAfter(); harmless && retryAfter > 0 {
		fmt.Fprintf(&b, ", come back after %d us", retryAfter)
	}
	for _, mark := range []struct {
		is   bool
		text string
	}{
		{f.Kind == dispatch.FinalNoAgent, ", no room"},
		{f.Kind == dispatch.FinalMayHaveRun, ", may have run"},
		{f.Errored, ", errored"},
		{c.refuses, " (not taken)"},
	} {
		if mark.is {
			b.WriteString(mark.text)
		}
	}
	c.recorder.message("%s <- final %s: %s", c.name, id, b.String())
	return !c.refuses
}

// CallEnded implements dispatch.CallerConn.
func (c *caller) CallEnded(id string, cause int) bool {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	taken := ""
	if c.refuses {
		taken = " (not taken)"
	}
	c.recorder.message("%s <- over %s: cause %d%s", c.name, id, cause, taken)
	return !c.refuses
}

// attempt is a set-up at an endpoint, and the leg once it is answered.
type attempt struct {
	recorder *tableRecorder
	id       string
	sdp      string
	ends     chan dispatch.Ending
	done     chan struct{}
	ending   dispatch.Ending
	ended    bool // Invite has returned
}

// SDP implements dispatch.Leg.
func (a *attempt) SDP() string { return a.sdp }

// Done implements dispatch.Leg.
func (a *attempt) Done() <-chan struct{} { return a.done }

// Ending implements dispatch.Leg.
func (a *attempt) Ending() dispatch.Ending { return a.ending }

// Release implements dispatch.Leg.
func (a *attempt) Release(cause int) {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.recorder.message("pool <- release %s: cause %d", a.id, cause)
}

// Invite implements dispatch.Inviter.
func (r *tableRecorder) Invite(ctx context.Context, sent dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	invited := &attempt{
		recorder: r,
		id:       sent.ID,
		sdp:      "answer to " + sent.SDP,
		ends:     make(chan dispatch.Ending, 1),
		done:     make(chan struct{}),
	}
	r.mu.Lock()
	r.attempts[sent.ID] = invited
	r.message("pool %s <- attempt %d of %s: number %s, class %s, until %d us",
		sent.Endpoint, sent.Number, sent.ID, sent.Setup.Number, sent.Class, sent.Deadline-r.start)
	r.mu.Unlock()
	until := time.NewTimer(time.Duration(sent.Deadline-r.dispatcher.Now()) * time.Microsecond)
	defer until.Stop()
	end := dispatch.Ending{Outcome: dispatch.Cancelled, Load: dispatch.UnknownLoad}
	select {
	case end = <-invited.ends:
	case <-until.C:
		end.Outcome = dispatch.TimedOut
	case <-ctx.Done():
	}
	end.At = r.dispatcher.Now()
	r.mu.Lock()
	invited.ended = true
	r.mu.Unlock()
	if end.Outcome == dispatch.Answered {
		return invited, end
	}
	return nil, end
}

// message notes a message with its time. The caller holds mu.
func (r *tableRecorder) message(format string, values ...any) {
	at := fmt.Sprintf("  %8d us  ", r.dispatcher.Now()-r.start)
	r.messages = append(r.messages, at+fmt.Sprintf(format, values...))
}

// settle waits until every consequence has been played, and writes a step, the messages since the last one and the
// state of the call table. Messages of one step may come in any order: they are sorted.
func (r *tableRecorder) settle(format string, values ...any) {
	synctest.Wait()
	fmt.Fprintf(&r.transcript, format+"\n", values...)
	for _, m := range r.takeMessages() {
		r.transcript.WriteString(m + "\n")
	}
	fmt.Fprintf(&r.transcript, "  open %d, standing %d", r.PendingSetups(), r.EstablishedCalls())
	if r.Idle() {
		r.transcript.WriteString(", idle")
	}
	for _, name := range slices.Sorted(maps.Keys(r.callers)) {
		open, established, verified := r.ConnState(r.callers[name])
		fmt.Fprintf(&r.transcript, "; %s: %d open, %d stand, proven %s", name, open, established, yesOrNo(verified))
	}
	r.transcript.WriteString("\n")
}

// takeMessages returns the messages since it was called last, sorted.
func (r *tableRecorder) takeMessages() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages := r.messages
	r.messages = nil
	slices.Sort(messages)
	return messages
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func textOf(err error) string {
	if err == nil {
		return "taken"
	}
	return err.Error()
}

func (r *tableRecorder) connect(name string) {
	r.callers[name] = &caller{recorder: r, name: name}
	r.Connect(r.callers[name])
	r.settle("%s connects", name)
}

func (r *tableRecorder) markEstablished(name string) {
	r.MarkEstablished(r.callers[name])
	r.settle("%s is proven", name)
}

func (r *tableRecorder) disconnect(name string) {
	r.Disconnect(r.callers[name])
	delete(r.callers, name)
	r.settle("%s disconnects", name)
}

func (r *tableRecorder) refuse(name string) {
	r.callers[name].refuses = true
	r.settle("%s takes no more", name)
}

// setup sends a set-up with those changes.
func (r *tableRecorder) setup(name, id string, changes ...setupChange) {
	request := dispatch.SetupRequest{
		ID:            id,
		Class:         "voice",
		Number:        "7f",
		Group:         0,
		TimeoutMillis: 3000,
		ReceivedAt:    r.dispatcher.Now(),
		SDP:           "offer",
	}
	for _, change := range changes {
		change(&request)
	}
	err := r.Setup(r.callers[name], request)
	r.settle("%s sets up %s: %s; owned %s", name, id, textOf(err), yesOrNo(r.Owns(r.callers[name], id)))
}

// attempt is the latest attempt of a call.
func (r *tableRecorder) attempt(id string) *attempt {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.attempts[id]
	if latest == nil {
		r.t.Fatalf("nothing was sent for %s; so far:\n%s", id, r.transcript.String())
	}
	return latest
}

// isInFlight reports whether an attempt of the call is in flight.
func (r *tableRecorder) isInFlight(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[id] != nil && !r.attempts[id].ended
}

// endAttempt ends the attempt of a call that is in flight.
func (r *tableRecorder) endAttempt(id, words string, outcome dispatch.Outcome) {
	r.attempt(id).ends <- dispatch.Ending{Outcome: outcome, Load: dispatch.UnknownLoad}
	r.settle("the attempt of %s ends: %s", id, words)
}

func (r *tableRecorder) answer(id string) {
	r.attempt(id).ends <- dispatch.Ending{Outcome: dispatch.Answered, Load: dispatch.UnknownLoad}
	r.settle("the pool answers %s", id)
}

func (r *tableRecorder) endCall(id string, cause int) {
	established := r.attempt(id)
	established.ending = dispatch.Ending{
		Outcome: dispatch.Ended, At: r.dispatcher.Now(), Cause: cause, Load: dispatch.UnknownLoad,
	}
	close(established.done)
	r.settle("the pool ends %s: cause %d", id, cause)
}

func (r *tableRecorder) release(id string, cause int) {
	established, err := r.Release(id, cause)
	r.settle("release of %s: cause %d: %s, standing %s", id, cause, textOf(err), yesOrNo(established))
}

func (r *tableRecorder) sleep(period time.Duration) {
	time.Sleep(period)
	r.settle("%d ms pass", period.Milliseconds())
}

// tableCase is a run of a call table: a name, what the table is made with, and what is played.
type tableCase struct {
	name   string
	config dispatch.CallTableConfig
	play   func(r *tableRecorder)
}

// recordTable plays a case in a bubble and returns its transcript.
func recordTable(t *testing.T, test tableCase) string {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		settings := baseSettings()
		counters := &dispatch.Counters{}
		dispatcher, err := dispatch.New(settings, 1, 2*second, clock.New(), zerolog.Nop(), counters)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go dispatcher.Run(ctx)
		recorder := &tableRecorder{
			t:          t,
			dispatcher: dispatcher,
			start:      dispatcher.Now(),
			callers:    map[string]*caller{},
			attempts:   map[string]*attempt{},
		}
		config := test.config
		config.Dispatcher, config.Inviter, config.Counters = dispatcher, recorder, counters
		if config.MaxCalls == 0 {
			config.MaxCalls = 100
		}
		recorder.CallTable = dispatch.NewCallTable(config)
		defer recorder.Close()
		dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a", Group: 0}, {UID: "b", Group: 1}}, true)
		dispatcher.Observe("a", dispatch.LoadReport{Free: 10, Agents: 20})
		dispatcher.Observe("b", dispatch.LoadReport{Free: 10, Agents: 20})
		synctest.Wait()
		test.play(recorder)
		recorder.Close()
		recorder.settle("the desk closes")
		transcript = "== " + test.name + "\n" + recorder.transcript.String()
		transcript += counterLines(counters)
	})
	return transcript
}

// counterLines has a line for each counter that is not 0, by name.
func counterLines(counters *dispatch.Counters) string {
	var lines strings.Builder
	counts := counters.Snapshot().Counters
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if n := counts[name]; n != 0 {
			fmt.Fprintf(&lines, "counter %s %d\n", name, n)
		}
	}
	return lines.String()
}

// setupChange changes a set-up before it is sent.
type setupChange func(s *dispatch.SetupRequest)

func timeout(millis float64) setupChange {
	return func(s *dispatch.SetupRequest) { s.TimeoutMillis = millis }
}

func class(name string) setupChange {
	return func(s *dispatch.SetupRequest) { s.Class = name }
}

func number(called string) setupChange {
	return func(s *dispatch.SetupRequest) { s.Number = called }
}

func TestCharacterization_CallTableTranscripts(t *testing.T) {
	var got strings.Builder
	for _, test := range tableCases() {
		got.WriteString(recordTable(t, test))
	}
	recorded.Compare(t, "desk-transcripts.txt", got.String())
}
