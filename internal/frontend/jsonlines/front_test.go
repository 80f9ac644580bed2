package jsonlines

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// trunk answers every attempt as the test last said.
type trunk struct {
	mu      sync.Mutex
	outcome dispatch.Outcome
	sent    int
	legs    []*leg
}

func (k *trunk) say(o dispatch.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcome = o
}

// first is the first call that stood.
func (k *trunk) first() *leg {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.legs[0]
}

type leg struct {
	done     chan struct{}
	ending   dispatch.Ending
	released int
}

func (l *leg) SDP() string             { return "v=0\r\né" }
func (l *leg) Done() <-chan struct{}   { return l.done }
func (l *leg) Ending() dispatch.Ending { return l.ending }
func (l *leg) Release(cause int)       { l.released = cause }

func (k *trunk) Invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	k.mu.Lock()
	k.sent++
	e := dispatch.Ending{Outcome: k.outcome, At: a.DecidedAt, Load: dispatch.UnknownLoad}
	l := &leg{done: make(chan struct{})}
	if e.Outcome == dispatch.Answered {
		k.legs = append(k.legs, l)
	}
	k.mu.Unlock()
	switch e.Outcome {
	case dispatch.Answered:
		return l, e
	case dispatch.TimedOut: // stays out until the caller leaves
		<-ctx.Done()
		e.Outcome = dispatch.Cancelled
	}
	return nil, e
}

type rig struct {
	*Server
	t      *testing.T
	trunk  *trunk
	in     *fakeplatform.Listener
	ready  bool
	strays []string
}

func bubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) { onRig(t, test) })
}

func onRig(t *testing.T, test func(r *rig)) {
	count, now := &telemetry.Counters{}, clock.New()
	d, err := dispatch.New(eidertrail.Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond,
		Classes: []eidertrail.Class{
			{Name: "voice", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: eidertrail.NotIdempotent},
		},
	}, 1, 2_000_000, now, zerolog.Nop(), count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	d.UpdateEndpoints([]dispatch.Endpoint{{UID: "a"}}, false)
	r := &rig{t: t, trunk: &trunk{}, in: fakeplatform.NewListener(), ready: true}
	r.Server = New(Config{
		Calls: dispatch.NewCallTable(dispatch.CallTableConfig{Dispatcher: d, Inviter: r.trunk, MaxCalls: 100, UniqueIDs: true, Counters: count}),
		Clock: now, MaxConnections: 4, Tenants: []string{"acme"}, Ready: func() bool { return r.ready },
		ReleaseUnmatched: func(id string, _ int) { r.strays = append(r.strays, id) }, Log: zerolog.Nop(), Counters: count,
	})
	served := make(chan error, 1)
	go func() { served <- r.Serve(r.in) }()
	test(r)
	r.in.Close()
	r.cfg.Calls.Close()
	r.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	stop()
}

// client is one connection; what comes in on it is in lines.
type client struct {
	net.Conn
	mu    sync.Mutex
	lines []string
	ended bool
}

// take is what has come in since it was last called, and whether the connection has ended.
func (c *client) take() ([]string, bool) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.lines
	c.lines = nil
	return lines, c.ended
}

func (r *rig) dial() *client { return r.speaking(r.in.Dial()) }

// speaking reads what comes in on a connection.
func (r *rig) speaking(raw net.Conn) *client {
	c := &client{Conn: raw}
	go func() {
		for s := bufio.NewScanner(c); ; {
			more := s.Scan()
			c.mu.Lock()
			if c.ended = !more; more {
				c.lines = append(c.lines, s.Text())
			}
			c.mu.Unlock()
			if !more {
				return
			}
		}
	}()
	return c
}

func (c *client) say(text string) {
	io.WriteString(c, text+"\n")
	synctest.Wait()
}

func (r *rig) want(c *client, lines ...string) {
	r.t.Helper()
	all, _ := c.take()
	if got := strings.Join(all, "\n"); got != strings.Join(lines, "\n") {
		r.t.Fatalf("got\n%s\nwant\n%s", got, strings.Join(lines, "\n"))
	}
}

const (
	setup  = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500","key":"7f3a","extras":"dest:0;width:1;via:-1"},"sdp":"x"}`
	answer = `{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{},"sdp":"v=0\r\né"}`
)

func TestCallAnsweredAndEndedByPool(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(setup)
		r.want(c, answer)
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Reset, Cause: 41, Load: dispatch.UnknownLoad}
		close(l.done)
		r.want(c, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":41}`)
	})
}

func TestReleaseOnAnotherConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		c.Close()
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`)
		r.want(other, `{"type":"released","id":"9b1f03aa5c7e2d41","fields":{}}`)
		if r.trunk.first().released != 16 {
			t.Error("not released towards the pool")
		}
	})
}

// Guards against the ends of calls being lost with the connection in whose queue they were: they were taken
// for ends of calls that everybody knows of.
func TestUnwrittenEndsAreToldElsewhere(t *testing.T) {
	bubble(t, func(r *rig) {
		other := r.dial()
		other.say(strings.Replace(setup, "9b1f", "0000", 1))
		r.want(other, strings.Replace(answer, "9b1f", "0000", 1))
		stuck := r.in.Dial() // it reads its answers, and no further
		lines := bufio.NewReader(stuck)
		for _, id := range []string{"9b1f", "9b20"} {
			io.WriteString(stuck, strings.Replace(setup, "9b1f", id, 1)+"\n")
			if text, err := lines.ReadString('\n'); err != nil || !strings.Contains(text, "answer") {
				t.Fatal(text, err)
			}
		}
		for _, l := range r.trunk.legs[1:] {
			l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, Load: dispatch.UnknownLoad}
			close(l.done)
		}
		time.Sleep(time.Second)
		r.want(other)
		stuck.Close()
		if lines, _ := other.take(); len(lines) != 2 || !strings.Contains(lines[0]+lines[1], "9b1f") || !strings.Contains(lines[0]+lines[1], "9b20") {
			t.Errorf("told %q", lines)
		}
	})
}

// heldListener is a listener whose connections write nothing until hold is closed, whatever becomes of them.
type heldListener struct {
	*fakeplatform.Listener
	hold chan struct{}
}

type heldConn struct {
	net.Conn
	hold chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldConn{c, l.hold}, err
}

func (c heldConn) Write(b []byte) (int, error) {
	<-c.hold
	return c.Conn.Write(b)
}

// held serves connections that write nothing until the returned listener's hold is closed; end does that.
func (r *rig) held() (l heldListener, end func()) {
	l = heldListener{fakeplatform.NewListener(), make(chan struct{})}
	go r.Serve(l)
	return l, func() {
		l.Close()
		close(l.hold)
	}
}

// Guards against a caller's leaving being known only once what is written to it is done with, up to 2 s a line: its
// set-ups went on, and were sent for nobody.
func TestLeavingIsSeenWhileAWriteIsStuck(t *testing.T) {
	for name, last := range map[string]string{
		"read on":             `{"type":"ping","id":"p2","cause":0}`,
		"closed for its line": `nonsense`,
	} {
		bubble(t, func(r *rig) {
			r.trunk.say(dispatch.TimedOut) // the attempt is out until the caller leaves
			l, end := r.held()
			defer end()
			c := l.Dial()
			for _, text := range []string{setup, `{"type":"ping","id":"p1","cause":0}`, last} {
				io.WriteString(c, text+"\n")
				synctest.Wait()
			}
			if open := r.cfg.Calls.PendingSetups(); open != 1 {
				t.Errorf("%s: %d open before the caller leaves", name, open)
			}
			c.Close()
			synctest.Wait()
			if open := r.cfg.Calls.PendingSetups(); open != 0 {
				t.Errorf("%s: %d open after the caller left", name, open)
			}
		})
	}
}

// Guards against an agent that is held for nobody: the answer was still to be written when its caller's connection
// closed, and the call stood on.
func TestUnwrittenAnswerIsReleased(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.in.Dial()                              // it reads nothing
		for _, id := range []string{"9b1f", "9b20"} { // one is being written, one waits
			io.WriteString(c, strings.Replace(setup, "9b1f", id, 1)+"\n")
			synctest.Wait()
		}
		if n := r.cfg.Calls.EstablishedCalls(); n != 2 {
			t.Errorf("%d stand, want 2", n)
		}
		c.Close()
		synctest.Wait()
		for i, l := range r.trunk.legs {
			if l.released != dispatch.CauseNormal {
				t.Errorf("call %d was not released at its pool", i)
			}
		}
		if n := r.cfg.Calls.EstablishedCalls(); n != 0 || r.cfg.Counters.Get(telemetry.AnswersUnwritten) != 2 {
			t.Errorf("%d stand, %d answers unwritten", n, r.cfg.Counters.Get(telemetry.AnswersUnwritten))
		}
	})
}

// Guards against an answer that is queued being lost as its connection counts as idle just then: no set-up is open on it
// any more, but the answer is not written yet.
func TestIdleIsNotWhoseAnswerIsUnwritten(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.TimedOut)
		l, end := r.held()
		c := r.speaking(l.Dial())
		c.say(strings.Replace(setup, `"1500"`, `"20000"`, 1))
		time.Sleep(idleAfter - time.Millisecond)
		r.cfg.Calls.AbortPending()
		time.Sleep(100 * time.Millisecond) // past the idle time, within that of the write
		synctest.Wait()
		end() // now it can be written
		refused := `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":42}`
		if lines, ended := c.take(); len(lines) != 1 || lines[0] != refused || ended {
			t.Errorf("told %q, closed: %t", lines, ended)
		}
		time.Sleep(2 * idleAfter)
		if _, ended := c.take(); !ended {
			t.Error("open though idle for long")
		}
	})
}

// Guards against the end of a call being told to nobody: its connection, the only one, had been quiet for idleAfter and was
// closed, though the call stood (split+mass and join+mass, seed 507, a controller of few callers). It makes room only where
// no other can.
func TestIdleIsNotWhoseCallsStand(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(setup)
		r.want(c, answer)
		time.Sleep(2*idleAfter + time.Second)
		close(r.trunk.legs[0].done)
		if lines, ended := c.take(); len(lines) != 1 || !strings.HasPrefix(lines[0], `{"type":"release"`) || ended {
			t.Errorf("told %q, closed: %t", lines, ended)
		}
		time.Sleep(2 * idleAfter)
		if _, ended := c.take(); !ended {
			t.Error("open though idle for long, with no call")
		}
	})
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		other.say(strings.Replace(setup, "9b1f", "0001", 1))
		r.want(other, strings.Replace(answer, "9b1f", "0001", 1))
		close(r.trunk.legs[1].done)
		synctest.Wait()
		other.take()
		time.Sleep(2 * time.Second)
		for _, id := range []string{"0002", "0003", "0004"} { // the first two fill the places, the third needs one
			r.dial().say(strings.Replace(setup, "9b1f", id, 1))
			synctest.Wait()
		}
		if _, ended := c.take(); ended {
			t.Error("the connection whose call stands made room")
		}
		if _, ended := other.take(); !ended {
			t.Error("the connection without a call did not make room")
		}
	})
}

// turnListener is a listener whose connections are read only once turn is closed.
type turnListener struct {
	*fakeplatform.Listener
	turn chan struct{}
}

type turnConn struct {
	net.Conn
	turn chan struct{}
}

func (l turnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return turnConn{c, l.turn}, err
}

func (c turnConn) Read(b []byte) (int, error) {
	<-c.turn
	return c.Conn.Read(b)
}

// Guards against a set-up that lay unread when the drain began, as its reader had no turn yet, being lost: its connection
// was closed as one that is owed nothing.
func TestDrainTakesWhatHasCome(t *testing.T) {
	bubble(t, func(r *rig) {
		l := turnListener{fakeplatform.NewListener(), make(chan struct{})}
		go r.Serve(l)
		c := r.speaking(l.Dial())
		go io.WriteString(c, setup+"\n")
		synctest.Wait()
		drained := make(chan struct{})
		go func() { // as the daemon stops
			r.CatchUp()
			l.Close()
			r.Drain(context.Background())
			close(drained)
		}()
		time.Sleep(lastLook / 2)
		close(l.turn)
		<-drained
		if lines, ended := c.take(); len(lines) != 1 || lines[0] != answer || !ended {
			t.Errorf("told %q, closed: %t", lines, ended)
		}
	})
}

// gateClock stops whoever reads it next, once, after it was armed.
type gateClock struct {
	dispatch.Clock
	when          func() bool // it stops a reading for which this is true
	armed         atomic.Bool
	entered, gate chan struct{}
}

func (c *gateClock) Now() int64 {
	if c.armed.Load() && c.when() && c.armed.CompareAndSwap(true, false) {
		close(c.entered)
		<-c.gate
	}
	return c.Clock.Now()
}

func (r *rig) gate(when func() bool) *gateClock {
	c := &gateClock{Clock: r.cfg.Clock, when: when, entered: make(chan struct{}), gate: make(chan struct{})}
	r.cfg.Clock = c
	return c
}

// Guards against a connection making room for another although its first set-up has just been taken: it had said
// nothing yet, as that was noted after the set-up.
func TestFirstSetUpKeepsItsConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.TimedOut)
		g := r.gate(func() bool { return r.cfg.Calls.PendingSetups() > 0 }) // the reading after the set-up was taken
		c := r.dial()
		g.armed.Store(true)
		go io.WriteString(c, setup+"\n")
		<-g.entered
		var silent []*client
		for range 4 { // the last one wants a place
			time.Sleep(time.Millisecond)
			silent = append(silent, r.dial())
			synctest.Wait()
		}
		if _, ended := c.take(); ended || r.cfg.Calls.PendingSetups() != 1 {
			t.Errorf("it had to make room; %d open", r.cfg.Calls.PendingSetups())
		}
		if _, ended := silent[0].take(); !ended {
			t.Error("the oldest that said nothing is still there")
		}
		close(g.gate)
	})
}

// Guards against a set-up being taken on a connection that has just been closed to make room: it was sent for nobody,
// and its caller, who sends what crossed a close again, was told that the id was in use.
func TestSetUpThatCrossesTheCloseMayComeAgain(t *testing.T) {
	bubble(t, func(r *rig) {
		r.cfg.MaxConnections = 1
		l, end := r.held() // its closing is seen late
		defer end()
		g := r.gate(func() bool { return true })
		c := l.Dial()
		io.WriteString(c, `{"type":"ping","id":"p","cause":0}`+"\n")
		synctest.Wait()
		g.armed.Store(true)
		io.WriteString(c, setup+"\n")
		<-g.entered // it is read, and not taken yet
		other := r.dial()
		synctest.Wait()
		close(g.gate)
		synctest.Wait()
		if r.trunk.sent != 0 || r.cfg.Calls.PendingSetups() != 0 {
			t.Errorf("%d sent, %d open for a connection that was closed", r.trunk.sent, r.cfg.Calls.PendingSetups())
		}
		other.say(setup)
		if lines, _ := other.take(); len(lines) != 1 || lines[0] != answer {
			t.Errorf("sent again: told %q", lines)
		}
	})
}

// Guards against an answer that is queued being lost with its connection, when that has to make room: no set-up is open
// on it any more, but the answer is not written yet.
func TestWhatMakesRoomIsWrittenItsAnswer(t *testing.T) {
	bubble(t, func(r *rig) {
		r.cfg.MaxConnections = 1
		l, end := r.held()
		c := r.speaking(l.Dial())
		c.say(strings.Replace(setup, "voice", "fax", 1))
		other := r.dial()
		synctest.Wait()
		end() // now it can be written
		refused := `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":41}`
		if lines, ended := c.take(); len(lines) != 1 || lines[0] != refused || !ended {
			t.Errorf("told %q, closed: %t", lines, ended)
		}
		other.say(setup)
		if lines, _ := other.take(); len(lines) != 1 || lines[0] != answer {
			t.Errorf("the other: told %q", lines)
		}
	})
	bubble(t, func(r *rig) { // one that does not read gets no more time
		r.cfg.MaxConnections = 1
		c := r.in.Dial()
		io.WriteString(c, strings.Replace(setup, "voice", "fax", 1)+"\n")
		synctest.Wait()
		r.dial()
		time.Sleep(shedWithin)
		synctest.Wait()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("it is still open")
		}
	})
}

// lateListener is a listener on whose connections the first read that was waited for too long tells so late: expired is
// closed when it ends, and it returns once resume is.
type lateListener struct {
	*fakeplatform.Listener
	expired, resume chan struct{}
}

type lateConn struct {
	net.Conn
	l    *lateListener
	once *sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c, l, &sync.Once{}}, err
}

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(func() {
			close(c.l.expired)
			<-c.l.resume
		})
	}
	return n, err
}

// Guards against a set-up being lost that lay unread while the process stood still: on waking, the time in which the
// caller should have spoken was over, and its connection was closed with the set-up in it.
func TestWhatCameInAStandstillIsRead(t *testing.T) {
	for name, before := range map[string]string{
		"idle":       `{"type":"ping","id":"p","cause":0}` + "\n",
		"first line": "",
		"half of it": setup[:40],
	} {
		bubble(t, func(r *rig) {
			l := &lateListener{fakeplatform.NewListener(), make(chan struct{}), make(chan struct{})}
			go r.Serve(l)
			defer l.Close()
			c := r.speaking(l.Dial())
			io.WriteString(c, before)
			c.take()
			<-l.expired
			rest := setup
			if name == "half of it" {
				rest = setup[40:]
			}
			go io.WriteString(c, rest+"\n") // it lies there
			synctest.Wait()
			close(l.resume)
			if lines, ended := c.take(); len(lines) != 1 || lines[0] != answer || ended {
				t.Errorf("%s: told %q, closed: %t", name, lines, ended)
			}
		})
	}
}

func TestEndIsToldOnTheNextConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(setup)
		r.want(c, answer)
		c.Close()
		synctest.Wait()
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, Load: dispatch.UnknownLoad}
		close(l.done)
		synctest.Wait()
		// A connection that only tests is told when no caller has come for a while; a caller at once.
		over := `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`
		tester := r.dial()
		r.want(tester)
		time.Sleep(500 * time.Millisecond)
		r.want(tester, over)
	})
}

// Guards against the end of a call being told to a tester, who knows of no calls, while callers are there.
func TestTestersAreNotToldOfCalls(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		other.say(strings.Replace(setup, "9b1f", "0000", 1))
		r.want(other, strings.Replace(answer, "9b1f", "0000", 1))
		tester := r.dial() // the youngest
		tester.say(`{"type":"ping","id":"p","cause":0}`)
		tester.take()
		c.Close()
		synctest.Wait()
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, Load: dispatch.UnknownLoad}
		close(l.done)
		r.want(other, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`)
		time.Sleep(time.Second)
		r.want(tester)
	})
}

// A planned stop: what is owed nothing is closed at once, what is owed an answer once it has it, and callers that go
// on sending on every connection that stays open get an answer or a close, never silence.
func TestDrainEndsEachConnectionOnceItIsOwedNothing(t *testing.T) {
	bubble(t, func(r *rig) {
		idle, stood, waits := r.dial(), r.dial(), r.dial()
		stood.say(setup)
		r.want(stood, answer)
		r.trunk.say(dispatch.TimedOut)
		waits.say(strings.Replace(setup, "9b1f", "0001", 1))
		drained := make(chan struct{})
		go func() {
			r.Drain(context.Background())
			close(drained)
		}()
		for _, c := range []*client{idle, stood} {
			if lines, ended := c.take(); len(lines) > 0 || !ended {
				t.Errorf("owed nothing: told %q, closed: %t", lines, ended)
			}
		}
		// The connection that stays open gets more calls, and each its answer.
		r.trunk.say(dispatch.Answered)
		waits.say(strings.Replace(setup, "9b1f", "0002", 1))
		r.want(waits, strings.Replace(answer, "9b1f", "0002", 1))
		time.Sleep(time.Second)
		r.cfg.Calls.AbortPending()
		if lines, ended := waits.take(); len(lines) != 1 || !strings.Contains(lines[0], `"cause":42`) || !ended {
			t.Errorf("given up: told %q, closed: %t", lines, ended)
		}
		<-drained
		if lines, ended := r.dial().take(); len(lines) > 0 || !ended { // it was on its way
			t.Errorf("late: told %q, closed: %t", lines, ended)
		}
		if r.cfg.Calls.EstablishedCalls() != 2 {
			t.Errorf("%d calls stand, want 2", r.cfg.Calls.EstablishedCalls())
		}
	})
}

func TestRefusalNamesNoRoom(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.NoAgent)
		c := r.dial()
		c.say(setup)
		time.Sleep(1500 * time.Millisecond)
		r.want(c, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":34}`)
	})
}

// Guards against a failure passing for a refusal on the wire, where causes 34, 42 and 102 say that trying again is
// harmless: the set-up may have been carried out and must not be repeated.
func TestFailureThatMayHaveRunIsNoRefusal(t *testing.T) {
	for _, e := range []struct {
		class   string
		outcome dispatch.Outcome
		want    string
	}{
		{"voice", dispatch.TimedOut, `"cause":42}`}, // the attempt is out until the desk gives the call up
		{"once", dispatch.TimedOut, `"cause":41}`},
		{"once", dispatch.Errored, `"cause":41}`},
		{"once", dispatch.NoAgent, `"cause":34}`},
	} {
		bubble(t, func(r *rig) {
			r.trunk.say(e.outcome)
			c := r.dial()
			c.say(strings.Replace(setup, "voice", e.class, 1))
			time.Sleep(1400 * time.Millisecond)
			r.cfg.Calls.AbortPending()
			if lines, _ := c.take(); len(lines) != 1 || !strings.HasSuffix(lines[0], e.want) {
				t.Errorf("%s, outcome %d: told %q, want %s", e.class, e.outcome, lines, e.want)
			}
		})
	}
}

// Guards against a set-up being sent whose cancel came first: on another connection, whose reader had its turn earlier.
func TestCancelThatOvertakesItsSetUp(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		c.say(setup)
		time.Sleep(3 * time.Second)
		if lines, ended := c.take(); len(lines) > 0 || ended || r.trunk.sent != 0 {
			t.Errorf("told %q, closed: %t, %d sent", lines, ended, r.trunk.sent)
		}
		if n := r.cfg.Counters.Get(telemetry.CancelledCalls); n != 1 {
			t.Errorf("%d cancelled", n)
		}
		c.say(strings.Replace(setup, "9b1f", "0001", 1)) // another is served
		if lines, _ := c.take(); len(lines) != 1 || lines[0] != strings.Replace(answer, "9b1f", "0001", 1) {
			t.Errorf("another: told %q", lines)
		}
	})
}

// Guards against a cause that says that trying again is harmless (34, 42, 102), for a set-up that must not be repeated
// and may have been carried out.
func TestWhatMayHaveRunOnceHasFailed(t *testing.T) {
	for _, k := range []struct {
		class   string
		outcome dispatch.Outcome
		cause   int
	}{{"voice", dispatch.Reset, 102}, {"once", dispatch.Reset, 41}, {"once", dispatch.NoAgent, 34}} {
		bubble(t, func(r *rig) {
			r.trunk.say(k.outcome)
			c := r.dial()
			c.say(strings.NewReplacer("voice", k.class, `"1500"`, `"200"`).Replace(setup)) // no time for the release wait
			time.Sleep(1500 * time.Millisecond)
			r.want(c, fmt.Sprintf(`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":%d}`, k.cause))
		})
	}
}

func TestCancelAndDuplicate(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.TimedOut)
		c, other := r.dial(), r.dial()
		c.say(setup)
		other.say(setup) // one answer is owed for the id, on its own connection; whoever takes it too is told off
		r.want(other, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":41}`)
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		time.Sleep(3 * time.Second)
		r.want(c)
		r.want(other)
		other.say(setup) // a name is used once
		r.want(other, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":41}`)
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		other.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		if len(r.strays) != 1 || r.strays[0] != "00000000000000aa" { // the other is known to be over
			t.Errorf("strays %v", r.strays)
		}
	})
}

func TestPing(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(`{"type":"ping","id":"p1","fields":{},"cause":0}`)
		r.want(c, `{"type":"pong","id":"p1","fields":{},"cause":1}`)
		r.ready = false
		c.say(`{"type":"ping","id":"p2","fields":{},"cause":0}`)
		r.want(c, `{"type":"pong","id":"p2","fields":{},"cause":0}`)
	})
}

func TestBadLines(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		for _, text := range []string{`{"type":"dance","id":"x"}`, ``, `{"type":"progress","id":"x"}`} {
			c.say(text)
		}
		r.want(c)
		refused := `{"type":"release","id":"00000000000000c1","fields":{},"cause":41}`
		head := `{"type":"setup","id":"00000000000000c1","fields":`
		for _, text := range []string{
			`{"class":"fax","left":1}`, `{"class":"voice"}`, `{"class":"voice","left":"soon"}`, `{"class":"voice","left":-5}`,
			`{"class":"voice","left":1,"key":"a b"}`, `7`, `{"class":"voice","left":9,"tenant":"nobody"}`,
			`{"class":"voice","left":9,"extras":"x"}`, `{"class":"voice","left":9,"extras":"dest:nan;width:1"}`,
			`{"class":"voice","left":9,"extras":"dest:-3;width:1"}`, `{"class":"voice","left":9,"extras":"dest:0;width:0"}`,
		} {
			c.say(head + text + `}`)
			r.want(c, refused)
		}
		c.say(setup) // the connection still serves
		r.want(c, answer)
		c.say(strings.Repeat("x", 2*linecodec.MaxLine)) // framing is lost
		if _, ended := c.take(); !ended {
			t.Error("still open after a line of 32 KiB")
		}
	})
}

// Guards against bad clients that are left with no word and no close, and against what a pool cannot read
// reaching it: it would close the connection on which the set-ups of others are out.
func TestWhatCannotBeAnsweredClosesTheConnection(t *testing.T) {
	for _, text := range []string{
		`nonsense`, `[]`, `7`, `{"a":1}`, `{"type":"setup","id":"","fields":{"class":"voice","left":"9"}}`,
		setup + "\n" + setup, // two set-ups under one name
		strings.Repeat(`{"type":"release","id":"x"}`+"\n", mostStrikes),
	} {
		bubble(t, func(r *rig) {
			r.trunk.say(dispatch.TimedOut)
			c := r.dial()
			c.say(text)
			if lines, ended := c.take(); !ended || len(lines) > 0 {
				t.Errorf("%.60q: got %v, ended %v", text, lines, ended)
			}
		})
	}
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(strings.Replace(setup, "9b1f03aa5c7e2d41", "a-name.pools+cannot-read", 1))
		r.want(c, `{"type":"release","id":"a-name.pools+cannot-read","fields":{},"cause":41}`)
		if len(r.trunk.legs) > 0 {
			t.Error("it reached a pool")
		}
	})
}

// Guards against clients that say nothing, or half a line, and stay: they are owed a close within 3 s.
func TestSilentClientsAreClosedInTime(t *testing.T) {
	bubble(t, func(r *rig) {
		silent, half, idle, busy := r.dial(), r.dial(), r.dial(), r.dial()
		io.WriteString(half, setup[:40])
		idle.say(`{"type":"ping","id":"p","cause":0}`)
		r.trunk.say(dispatch.TimedOut)
		busy.say(strings.Replace(setup, `"1500"`, `"20000"`, 1))
		time.Sleep(3 * time.Second)
		for name, c := range map[string]*client{"silent": silent, "half a line": half} {
			if _, ended := c.take(); !ended {
				t.Errorf("%s: open after 3 s", name)
			}
		}
		if _, ended := idle.take(); ended {
			t.Error("one that has spoken is closed after 3 s")
		}
		io.WriteString(idle, `{"type":"pi`)
		time.Sleep(lineWithin + time.Second)
		if _, ended := idle.take(); !ended {
			t.Error("open with half a line")
		}
		time.Sleep(idleAfter)
		if _, ended := busy.take(); ended {
			t.Error("closed while a set-up is open")
		}
	})
}

// Guards against the ends of calls being told to clients that only look like callers: the bench's rude day
// lost 71 of them.
func TestEndsAreNotToldToThoseThatWereNeverServed(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other, rude := r.dial(), r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		other.say(strings.Replace(setup, "9b1f", "0000", 1))
		r.want(other, strings.Replace(answer, "9b1f", "0000", 1))
		r.trunk.say(dispatch.Errored) // pools can make nothing of what the youngest wants
		rude.say(strings.Replace(setup, "9b1f", "0001", 1))
		rude.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		time.Sleep(3 * time.Second)
		rude.take()
		c.Close()
		synctest.Wait()
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, Load: dispatch.UnknownLoad}
		close(l.done)
		r.want(other, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`)
		r.want(rude)
	})
}

// Guards against one connection taking the places of the others: it gets so many set-ups at a time, and
// while pools can make nothing of them it gets no more of the pools' time.
func TestFloodsAreRefusedAtOnce(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.TimedOut)
		c := r.dial()
		for i := range 80 {
			io.WriteString(c, strings.Replace(setup, "9b1f", fmt.Sprintf("%04x", i), 1)+"\n")
		}
		lines, _ := c.take()
		if len(lines) != 16 || !strings.Contains(lines[0], `"cause":42`) {
			t.Errorf("%d refused: %v", len(lines), lines)
		}
		c.Close()
		synctest.Wait()
		if open, _, _ := r.cfg.Calls.ConnState(nil); open != 0 || r.cfg.Calls.PendingSetups() != 0 {
			t.Errorf("%d open", r.cfg.Calls.PendingSetups())
		}
	})
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.Errored)
		bad := r.dial()
		for i := range 6 {
			bad.say(strings.Replace(setup, "9b1f", fmt.Sprintf("f%03x", i), 1))
			time.Sleep(3 * time.Second)
		}
		if lines, _ := bad.take(); len(lines) != 6 || r.trunk.sent < 4 || r.trunk.sent > 8 {
			t.Errorf("%d sent, told %v", r.trunk.sent, lines)
		}
	})
}

// Guards against clients that open connections by hundreds shutting callers out: those that said nothing
// make room first, then those that were never served; what has an open set-up never does.
func TestConnectionsAreBounded(t *testing.T) {
	bubble(t, func(r *rig) {
		served, silent, unserved, busy := r.dial(), r.dial(), r.dial(), r.dial()
		served.say(setup)
		r.want(served, answer)
		unserved.say(`{"type":"ping","id":"p","cause":0}`)
		unserved.take()
		r.trunk.say(dispatch.TimedOut)
		busy.say(strings.Replace(setup, "9b1f", "0000", 1))
		time.Sleep(1100 * time.Millisecond)
		ended := func(c *client) bool { _, is := c.take(); return is }
		speak := func() *client {
			c := r.dial()
			c.say(strings.Replace(setup, "9b1f", fmt.Sprintf("%04x", time.Now().Nanosecond()%9999), 1))
			return c
		}
		speak()
		if !ended(silent) || ended(unserved) || ended(served) {
			t.Error("the silent one had to make room")
		}
		time.Sleep(time.Microsecond)
		speak()
		if !ended(unserved) || ended(served) {
			t.Error("the one that was never served had to make room")
		}
		time.Sleep(time.Microsecond)
		speak()
		if !ended(served) {
			t.Error("the quiet one had to make room")
		}
		if c := r.dial(); !ended(c) || ended(busy) {
			t.Error("taken though all have open set-ups")
		}
	})
}

// FuzzConnection checks random steps on two connections against a model: at most one final answer for
// each set-up, none after a cancel, and a release only of what stood.
func FuzzConnection(f *testing.F) {
	fakeplatform.Fuzz(f, []string{"00010100", "000002010300", "010001100500", "0004020006", "040100020005", "03000100010104"},
		func(t *testing.T, script []byte) {
			onRig(t, func(r *rig) {
				finals, setups, cancelled := map[string]int{}, map[string]bool{}, map[string]bool{}
				conns := []*client{r.dial(), r.dial()}
				ended := func(c *client) bool {
					c.mu.Lock()
					defer c.mu.Unlock()
					return c.ended
				}
				at := func(b byte) *client { return conns[int(b)%2] }
				id := func(b byte) string { return "00000000000000c" + string('0'+b>>1%4) }
				steps := []func(byte){
					func(b byte) {
						if !ended(at(b)) && !setups[id(b)] {
							setups[id(b)] = true
							at(b).say(strings.Replace(setup, "9b1f03aa5c7e2d41", id(b), 1))
						}
					},
					func(b byte) {
						if !ended(at(b)) {
							at(b).say(`{"type":"release","id":"` + id(b) + `","cause":16}`)
							cancelled[id(b)] = setups[id(b)] && finals[id(b)] == 0
						}
					},
					func(b byte) {
						r.trunk.say([]dispatch.Outcome{dispatch.Answered, dispatch.NoAgent, dispatch.TimedOut}[b%3])
					},
					func(b byte) { at(b).Close(); conns[int(b)%2] = r.dial() },
					func(b byte) { time.Sleep(time.Duration(b) * 20 * time.Millisecond) },
					func(b byte) { at(b).say(string(rune(b)) + `{"type":"setup","id":"` + id(b) + `"`) },
				}
				fakeplatform.Play(script, steps, func() {
					for _, c := range conns {
						lines, _ := c.take()
						for _, text := range lines {
							m, err := linecodec.Parse([]byte(text))
							if err != nil {
								t.Fatal(err)
							}
							if m.Type == "answer" || m.Type == "release" {
								if finals[m.ID]++; finals[m.ID] > 1 || !setups[m.ID] || cancelled[m.ID] {
									t.Fatalf("%d finals, set up %v, cancelled %v: %s", finals[m.ID], setups[m.ID], cancelled[m.ID], text)
								}
							}
						}
					}
				})
			})
		})
}
