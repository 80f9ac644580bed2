package jsonlines

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// fakeInviter ends every attempt with the outcome that the test last set.
type fakeInviter struct {
	mu      sync.Mutex
	outcome dispatch.Outcome
	sent    int
	legs    []*fakeLeg // of the calls that were answered
}

func (f *fakeInviter) setOutcome(outcome dispatch.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcome = outcome
}

// first is the leg of the first call that was answered.
func (f *fakeInviter) first() *fakeLeg {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.legs[0]
}

// Invite implements dispatch.Inviter. An attempt with the outcome TimedOut stays out until the caller cancels it.
func (f *fakeInviter) Invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	f.mu.Lock()
	f.sent++
	ending := dispatch.Ending{Outcome: f.outcome, At: a.DecidedAt, Load: dispatch.UnknownLoad}
	leg := &fakeLeg{done: make(chan struct{})}
	if ending.Outcome == dispatch.Answered {
		f.legs = append(f.legs, leg)
	}
	f.mu.Unlock()
	switch ending.Outcome {
	case dispatch.Answered:
		return leg, ending
	case dispatch.TimedOut:
		<-ctx.Done()
		ending.Outcome = dispatch.Cancelled
	}
	return nil, ending
}

// fakeLeg is a call at a pool.
type fakeLeg struct {
	done     chan struct{}
	ending   dispatch.Ending
	released int
}

func (l *fakeLeg) SDP() string             { return "v=0\r\né" }
func (l *fakeLeg) Done() <-chan struct{}   { return l.done }
func (l *fakeLeg) Ending() dispatch.Ending { return l.ending }
func (l *fakeLeg) Release(cause int)       { l.released = cause }

// end has the pool end the call.
func (l *fakeLeg) end(outcome dispatch.Outcome, cause int) {
	l.ending = dispatch.Ending{Outcome: outcome, Cause: cause, Load: dispatch.UnknownLoad}
	close(l.done)
}

// rig is a server with one pool, for at most four connections.
type rig struct {
	*Server
	t         *testing.T
	inviter   *fakeInviter
	listener  *fakeplatform.Listener
	ready     bool
	unmatched []string // ids of releases that went on to the pools
}

// bubble runs a test on a rig with synctest's clock.
func bubble(t *testing.T, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runRig(t, test) })
}

func runRig(t *testing.T, test func(r *rig)) {
	t.Helper()
	counters, now := &telemetry.Counters{}, clock.New()
	dispatcher := newDispatcher(t, now, counters)
	ctx, stop := context.WithCancel(context.Background())
	go dispatcher.Run(ctx)
	dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a"}}, false)
	state := lifecycle.New(now.Now(), nil)
	state.Serve(now.Now())
	r := &rig{t: t, inviter: &fakeInviter{}, listener: fakeplatform.NewListener(), ready: true}
	r.Server = New(Config{
		Calls: dispatch.NewCallTable(dispatch.CallTableConfig{
			Dispatcher: dispatcher,
			Inviter:    r.inviter,
			MaxCalls:   100,
			UniqueIDs:  true,
			Draining:   func() bool { return state.Status().RejectsSetups(now.Now()) },
			Counters:   counters,
		}),
		Clock:            now,
		Lifecycle:        state,
		MaxConnections:   4,
		Tenants:          []string{"acme"},
		Ready:            func() bool { return r.ready },
		ReleaseUnmatched: func(id string, _ int) { r.unmatched = append(r.unmatched, id) },
		Log:              zerolog.Nop(),
		Counters:         counters,
	})
	served := make(chan error, 1)
	go func() { served <- r.Serve(r.listener) }()
	test(r)
	closeListener(t, r.listener)
	r.cfg.Calls.Close()
	r.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	stop()
}

func newDispatcher(t *testing.T, now dispatch.Clock, counters *telemetry.Counters) *dispatch.Dispatcher {
	t.Helper()
	class := eidertrail.Class{
		Name:             "voice",
		LatencyObjective: 2 * time.Second,
		Deadline:         6 * time.Second,
		PriorityWeight:   1,
	}
	once := class
	once.Name, once.Idempotency = "once", eidertrail.NotIdempotent
	dispatcher, err := dispatch.New(eidertrail.Settings{
		Nodes:       1,
		OwnExchange: -1,
		ReleaseWait: 300 * time.Millisecond,
		Classes:     []eidertrail.Class{class, once},
	}, 1, 2_000_000, now, zerolog.Nop(), counters)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

func closeListener(t *testing.T, l net.Listener) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Errorf("closing a listener: %v", err)
	}
}

// serve has the server accept from another listener too.
func (r *rig) serve(l net.Listener) {
	go func() { _ = r.Serve(l) }() // it returns nil, or fails the test by what the connections miss
}

// client is one connection; what comes in on it is in lines.
type client struct {
	net.Conn
	mu    sync.Mutex
	lines []string
	ended bool
}

func (r *rig) dial() *client { return r.newClient(r.listener.Dial()) }

// newClient reads what comes in on a connection.
func (r *rig) newClient(raw net.Conn) *client {
	c := &client{Conn: raw}
	go c.scan()
	return c
}

func (c *client) scan() {
	scanner := bufio.NewScanner(c)
	for {
		more := scanner.Scan()
		c.mu.Lock()
		if c.ended = !more; more {
			c.lines = append(c.lines, scanner.Text())
		}
		c.mu.Unlock()
		if !more {
			return
		}
	}
}

// take is what has come in since it was last called, and whether the connection has ended.
func (c *client) take() (lines []string, ended bool) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	lines = c.lines
	c.lines = nil
	return lines, c.ended
}

func (c *client) hasEnded() bool {
	_, ended := c.take()
	return ended
}

// say sends a line, and waits until it is handled.
func (c *client) say(text string) {
	write(c, text+"\n")
	synctest.Wait()
}

// write writes to a connection that may be closed: what the server makes of it is checked by what comes back.
func write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

// want compares what has come in with the lines wanted.
func (r *rig) want(c *client, lines ...string) {
	r.t.Helper()
	received, _ := c.take()
	if got := strings.Join(received, "\n"); got != strings.Join(lines, "\n") {
		r.t.Fatalf("got\n%s\nwant\n%s", got, strings.Join(lines, "\n"))
	}
}

const (
	callID = "9b1f03aa5c7e2d41"
	setup  = `{"type":"setup","id":"` + callID + `","fields":{"class":"voice","left":"1500","key":"7f3a",` +
		`"extras":"dest:0;width:1;via:-1"},"sdp":"x"}`
	answer    = `{"type":"answer","id":"` + callID + `","fields":{},"sdp":"v=0\r\né"}`
	release16 = `{"type":"release","id":"` + callID + `","fields":{},"cause":16}`
	release41 = `{"type":"release","id":"` + callID + `","fields":{},"cause":41}`
	ping      = `{"type":"ping","id":"p","cause":0}`
)

// forCall is a line for another call, whose id begins with four other digits.
func forCall(line, digits string) string { return strings.Replace(line, "9b1f", digits, 1) }
