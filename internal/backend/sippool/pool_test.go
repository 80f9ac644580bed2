package sippool

import (
	"context"
	"net"
	"slices"
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
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// rig is a set with one stand-in pool, p1, that is up. What the pool gets is in got.
type rig struct {
	*Pools
	t       *testing.T
	at      *fakeplatform.Pool
	clock   *clock.Clock
	mu      sync.Mutex
	got     []fakeplatform.Request // under mu
	strays, // under mu, as seen
	seen []string
	lines []dispatch.Endpoint
	dials atomic.Int64
}

// bubble runs a test on a rig in a bubble of its own.
func bubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) { onRig(t, test) })
}

func onRig(t *testing.T, test func(r *rig)) {
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{t: t, at: &fakeplatform.Pool{}, clock: clock.New()}
	r.at.OnRequest = func(q fakeplatform.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.got = append(r.got, q)
	}
	r.Pools = New(ctx, Config{
		Name: "n0", ConnectTimeout: 500_000, ReportFree: "idle", ReportAgents: "circuits", Clock: r.clock,
		Log: zerolog.Nop(), Counters: &telemetry.Counters{}, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			r.dials.Add(1)
			return r.at.Dial(ctx, address)
		},
		OnLoadReport:       func(uid string, s dispatch.LoadReport) { r.note(&r.seen, uid) },
		OnUnmatchedRelease: func(id string, _ int) { r.note(&r.strays, id) },
	})
	r.list("p1", "10.0.0.1:5060", endpointlist.Up)
	synctest.Wait()
	test(r)
	stop()
	r.Wait()
	r.at.Drop()
}

func (r *rig) note(in *[]string, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*in = append(*in, what)
}

func (r *rig) list(uid, address string, state endpointlist.State) {
	r.Apply(endpointlist.Event{Endpoints: []endpointlist.Endpoint{{UID: uid, Address: address, State: state}}},
		func(l []dispatch.Endpoint) { r.lines = l })
}

// sent tells the methods that the pool has got, and takes the last INVITE.
func (r *rig) sent() (string, fakeplatform.Request) {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	var last fakeplatform.Request
	for _, q := range r.got {
		all = append(all, q.Method)
		if q.Method == "INVITE" {
			last = q
		}
	}
	return strings.Join(all, " "), last
}

// invited is an attempt that is on its way: leg and end are valid once done.
type invited struct {
	leave context.CancelFunc
	done  bool
	leg   dispatch.Leg
	end   dispatch.Ending
}

func (r *rig) invite(id string, number int, within time.Duration) *invited {
	now := r.clock.Now()
	a := dispatch.Attempt{
		Setup: dispatch.Setup{ID: id, Number: "7f3a", Class: "voice", SDP: "offer\r\n"},
		Pool:  "p1", Number: number, DecidedAt: now, Deadline: now + within.Microseconds(),
	}
	ctx, leave := context.WithCancel(context.Background())
	x := &invited{leave: leave}
	go func() {
		x.leg, x.end = r.Invite(ctx, a)
		x.done = true
	}()
	synctest.Wait()
	return x
}

func (r *rig) want(x *invited, o dispatch.Outcome) {
	r.t.Helper()
	synctest.Wait()
	if !x.done || x.end.Outcome != o || (x.leg != nil) != (o == dispatch.Answered) {
		r.t.Fatalf("done %v, leg %v, ending %+v; want outcome %d", x.done, x.leg, x.end, o)
	}
}

func (r *rig) wantSent(want string) fakeplatform.Request {
	r.t.Helper()
	got, last := r.sent()
	if got != want {
		r.t.Fatalf("the pool got %q, want %q", got, want)
	}
	return last
}

func TestInviteStandsAndEnds(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		q := r.wantSent("INVITE")
		if q.URI != "sip:7f3a@net" || q.CallID != "c1" || q.Get("subject") != "voice" || string(q.Body) != "offer\r\n" ||
			q.Get("x-patience") != "60000" {
			t.Errorf("INVITE %+v", q.Message)
		}
		q.Answer(180, "", "")
		q.Answer(200, "", "answer\r\n")
		r.want(x, dispatch.Answered)
		if x.leg.SDP() != "answer\r\n" || r.EstablishedCalls() != 1 {
			t.Errorf("description %q, %d standing", x.leg.SDP(), r.EstablishedCalls())
		}
		q.Answer(200, "", "answer\r\n") // said again: acknowledged again
		r.wantSent("INVITE ACK ACK")
		q.Bye(41)
		synctest.Wait()
		<-x.leg.Done()
		if e := x.leg.Ending(); e.Outcome != dispatch.Reset || e.Cause != 41 || r.EstablishedCalls() != 0 {
			t.Errorf("ending %+v", e)
		}
		q.Bye(41) // the second one is of a call that is known to be over
		if synctest.Wait(); len(r.strays) > 0 {
			t.Errorf("strays %v", r.strays)
		}
	})
}

// Guards against the first real day's loss: pools number every answer 1, so an answer to a call's second
// send was taken for nobody's, and every second send timed out.
func TestSecondSendIsAnsweredWithNumberOne(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(503, "blocked", "")
		r.want(x, dispatch.NoAgent)
		x = r.invite("c1", 1, time.Minute)
		q := r.wantSent("INVITE ACK INVITE")
		if q.CSeq != 1 {
			t.Errorf("second INVITE is numbered %d", q.CSeq)
		}
		q.Answer(200, "", "answer\r\n")
		r.want(x, dispatch.Answered)
	})
}

func TestRefusals(t *testing.T) {
	for _, k := range []struct {
		status int
		note   string
		want   dispatch.Outcome
	}{
		{503, "blocked", dispatch.NoAgent},
		{503, "swamped", dispatch.ProcessorFull},
		{486, "occupied", dispatch.LinesBusy},
		{486, "", dispatch.Errored},
		{500, "", dispatch.Errored},
		{480, "", dispatch.NotSent},
		{504, "", dispatch.Reset},
		{302, "", dispatch.Errored},
		{699, "", dispatch.Errored},
	} {
		bubble(t, func(r *rig) {
			x := r.invite("c1", 0, time.Minute)
			r.wantSent("INVITE").Answer(k.status, k.note, "")
			r.want(x, k.want)
			r.wantSent("INVITE ACK")
		})
	}
}

func TestTimeOutCallsOff(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Second)
		r.wantSent("INVITE")
		time.Sleep(time.Second)
		r.want(x, dispatch.TimedOut)
		q := r.wantSent("INVITE CANCEL")
		// Guards against a second send being answered with the first one's answer: both have one Call-ID.
		r.want(r.invite("c1", 1, time.Second), dispatch.NotSent)
		// Guards against an agent held for nobody: a 200 that crosses the CANCEL is acknowledged and released.
		q.Answer(200, "", "late\r\n")
		r.wantSent("INVITE CANCEL ACK BYE")
		if r.EstablishedCalls() != 0 {
			t.Error("the late answer stands")
		}
		r.invite("c1", 1, time.Second) // nothing can be mistaken any more
		r.wantSent("INVITE CANCEL ACK BYE INVITE")
	})
}

func TestCallerLeaves(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		q := r.wantSent("INVITE")
		x.leave()
		r.want(x, dispatch.Cancelled)
		r.wantSent("INVITE CANCEL")
		q.Answer(487, "", "")
		r.wantSent("INVITE CANCEL ACK")
	})
}

func TestReleaseFromOurSide(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		// No connection owns the call: without one the BYE leaves on the next.
		r.at.SetRejecting(true, false)
		r.at.Drop()
		synctest.Wait()
		x.leg.Release(16)
		x.leg.Release(16)
		r.wantSent("INVITE ACK")
		r.at.SetRejecting(false, false)
		time.Sleep(time.Second)
		r.wantSent("INVITE ACK BYE")
		r.mu.Lock()
		defer r.mu.Unlock()
		if c := r.got[2].Cause(); c != 16 {
			t.Errorf("cause %d", c)
		}
	})
}

func TestConnections(t *testing.T) {
	bubble(t, func(r *rig) { // a connection that ends gives up its set-ups, and leaves what stands
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		y := r.invite("c2", 0, time.Minute)
		r.at.Drop()
		r.want(y, dispatch.Reset)
		time.Sleep(time.Second)
		if r.EstablishedCalls() != 1 || r.at.Open() != 1 {
			t.Fatalf("%d standing, %d connections", r.EstablishedCalls(), r.at.Open())
		}
		r.at.Bye("c1", 16) // its release comes on the next connection
		synctest.Wait()
		<-x.leg.Done()
	})
	bubble(t, func(r *rig) { // refused: it never ran; and a process that stays away has cut its calls
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		r.at.SetRejecting(true, false)
		r.at.Drop()
		synctest.Wait()
		y := r.invite("c2", 0, time.Minute)
		time.Sleep(redialMin)
		r.want(y, dispatch.ConnectFailed)
		time.Sleep(7 * time.Second)
		select {
		case <-x.leg.Done():
		default:
			t.Fatal("still stands 7 s after its process ended")
		}
		if e := x.leg.Ending(); e.Outcome != dispatch.Reset || e.Cause != dispatch.CauseCut {
			t.Errorf("ending %+v", e)
		}
	})
	bubble(t, func(r *rig) { // a process that died and came back knows nothing of its calls
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		r.at.SetRejecting(true, false)
		r.at.Drop()
		time.Sleep(300 * time.Millisecond)
		r.at.SetRejecting(false, false)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || r.at.Open() != 1 {
			t.Errorf("%d stand, %d connections", r.EstablishedCalls(), r.at.Open())
		}
	})
	bubble(t, func(r *rig) { // a machine that vanished: its connection stays open and quiet, new ones never come up
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		time.Sleep(10 * time.Second) // quiet, but it takes connections
		synctest.Wait()
		if r.EstablishedCalls() != 1 {
			t.Error("cut while its machine was there")
		}
		r.at.SetRejecting(false, true)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || x.leg.Ending().Outcome != dispatch.Reset {
			t.Errorf("%d stand 8 s after the machine vanished", r.EstablishedCalls())
		}
	})
	bubble(t, func(r *rig) { // silent: the attempt ends with the connect time-out
		r.at.SetRejecting(false, true)
		r.at.Drop()
		synctest.Wait()
		x := r.invite("c1", 0, time.Minute)
		time.Sleep(600 * time.Millisecond)
		r.want(x, dispatch.ConnectFailed)
	})
	bubble(t, func(r *rig) { // a pool that does not read loses its connection, and blocks nobody
		stuck := make(chan struct{})
		r.at.OnRequest = func(fakeplatform.Request) { <-stuck }
		r.invite("c1", 0, time.Minute)
		x := r.invite("c2", 0, time.Minute)
		time.Sleep(3 * time.Second)
		r.want(x, dispatch.Reset)
		close(stuck)
	})
}

func TestDrainIsKeptWhenTheInviteIsWritten(t *testing.T) {
	bubble(t, func(r *rig) {
		r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
		if r.lines[0].Mode != eidertrail.Draining {
			t.Errorf("told %+v", r.lines)
		}
		r.want(r.invite("c1", 0, time.Minute), dispatch.NotSent)
		r.wantSent("")
	})
}

// Guards against a set-up decided under a share of a budget leaving after a standstill, when the share is
// another controller's.
func TestASetupThatMustHaveLeftIsNotWritten(t *testing.T) {
	bubble(t, func(r *rig) {
		for late, want := range map[int64]dispatch.Outcome{-1: dispatch.NotSent, 1: dispatch.Answered} {
			now := r.clock.Now()
			x := &invited{}
			go func() {
				x.leg, x.end = r.Invite(context.Background(), dispatch.Attempt{Setup: dispatch.Setup{
					ID:     "c" + string(rune('2'+late)),
					Number: "7f3a", SDP: "offer\r\n",
				}, Pool: "p1", DecidedAt: now, Deadline: now + 1_000_000, SendBy: now + late})
				x.done = true
			}()
			if want == dispatch.Answered {
				_, last := r.sent()
				last.Answer(200, "", "a\r\n")
			}
			r.want(x, want)
		}
		if n := r.cfg.Counters.Get(telemetry.StaleStopped); n != 1 {
			t.Errorf("%d set-ups stopped as stale", n)
		}
	})
}

// Guards against a set-up leaving for a caller that has left, or whose time is over, before the goroutine that calls it
// off has had its turn: the writer asks at that very moment.
func TestLeaveLooksAtTheCallerItself(t *testing.T) {
	bubble(t, func(r *rig) {
		p := r.pools["p1"]
		c, _ := p.current()
		left, leave := context.WithCancel(context.Background())
		leave()
		now := r.clock.Now()
		for name, k := range map[string]struct {
			ctx   context.Context
			until int64
			want  bool
		}{
			"caller left":  {left, now + 1_000_000, false},
			"time is over": {context.Background(), now, false},
			"both in time": {context.Background(), now + 1, true},
		} {
			d := &dialog{pool: p, ctx: k.ctx, until: k.until, reply: make(chan reply, 1)}
			p.mu.Lock()
			c.dialogs[name] = d
			p.mu.Unlock()
			if d.leave(c, name) != k.want {
				t.Errorf("%s: leave is %t", name, !k.want)
			}
			if !k.want && (c.dialogs[name] != nil || (<-d.reply).ending.Outcome != dispatch.NotSent) {
				t.Errorf("%s: is kept, or no proof that it never ran", name)
			}
		}
	})
}

// Guards against an INVITE whose write is held up, as the pool does not read, leaving up to 2 s after a drain was told.
func TestDrainEndsAWriteThatIsHeldUp(t *testing.T) {
	bubble(t, func(r *rig) {
		stuck := make(chan struct{})
		r.at.OnRequest = func(q fakeplatform.Request) {
			r.note(&r.seen, q.Method+" "+q.CallID)
			<-stuck
		}
		r.invite("c1", 0, time.Minute) // is read, and no more is
		synctest.Wait()
		x := r.invite("c2", 0, time.Minute)
		synctest.Wait()
		r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
		time.Sleep(drainWrite + time.Millisecond)
		r.want(x, dispatch.Reset)
		close(stuck)
		synctest.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.seen) == 0 || r.seen[0] != "INVITE c1" || slices.Contains(r.seen, "INVITE c2") {
			t.Errorf("pool got %q", r.seen)
		}
	})
}

// Guards against the drain of a pool whose address is another's by now, told late, making the address its own again and
// the new pool gone for good; and against a test being held up by a pool that has no address any more.
func TestALateDrainTakesNoAddressBack(t *testing.T) {
	bubble(t, func(r *rig) {
		r.list("p2", "10.0.0.1:5060", endpointlist.Up)
		r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
		synctest.Wait()
		for _, l := range r.lines {
			if l.UID == "p2" || l.Mode != eidertrail.Removed {
				t.Errorf("told %+v", l)
			}
		}
		if connected, up := r.Connected(); connected != 1 || up != 1 {
			t.Errorf("%d connected of %d", connected, up)
		}
	})
}

// A set-up that waits in the pool's queue when the drain is told is the pool's: its answer stands, and is cut
// only by the pool. Nothing new goes there; one that waits in vain is called off.
func TestDrainWhileASetupWaitsInThePoolsQueue(t *testing.T) {
	bubble(t, func(r *rig) {
		x, y := r.invite("c1", 0, time.Minute), r.invite("c2", 0, time.Second)
		synctest.Wait()
		r.mu.Lock()
		waits := r.got[0]
		r.mu.Unlock()
		r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
		r.want(r.invite("c3", 0, time.Minute), dispatch.NotSent)
		time.Sleep(500 * time.Millisecond)
		waits.Answer(200, "", "a\r\n")
		synctest.Wait()
		first, second := x, y
		if waits.CallID == "c2" {
			first, second = y, x
		}
		r.want(first, dispatch.Answered)
		second.leave()
		r.want(second, dispatch.Cancelled)
		if got, _ := r.sent(); strings.Count(got, "INVITE") != 2 || strings.Count(got, "CANCEL") != 1 {
			t.Errorf("pool got %q", got)
		}
	})
}

// Guards against a call meant for a pool that has gone reaching the one that has its address now.
func TestAddressPassesToAnotherPool(t *testing.T) {
	bubble(t, func(r *rig) {
		r.list("p2", "10.0.0.1:5060", endpointlist.Up)
		if len(r.lines) != 2 || r.lines[1].UID != "p1" || r.lines[1].Mode != eidertrail.Removed {
			t.Errorf("told %+v", r.lines)
		}
		x := r.invite("c1", 0, 2*time.Second) // it names p1
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got, _ := r.sent(); x.leg != nil || got != "" {
			t.Errorf("leg %v, pool got %q", x.leg, got)
		}
	})
}

func TestRemovedPoolCutsItsCalls(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		r.Apply(endpointlist.Event{Snapshot: true}, func(l []dispatch.Endpoint) { r.lines = l })
		if r.lines[0].Mode != eidertrail.Removed {
			t.Errorf("told %+v", r.lines)
		}
		time.Sleep(3 * time.Second)
		<-x.leg.Done()
	})
}

// Guards against every pool that was ever listed keeping a goroutine, a connection and its tables for good.
func TestNothingIsKeptOfPoolsThatAreGone(t *testing.T) {
	bubble(t, func(r *rig) {
		for i, uid := range []string{"p2", "p3", "p4"} { // each takes the address of the one before
			old := []string{"p1", "p2", "p3"}[i]
			r.list(uid, "10.0.0.1:5060", endpointlist.Up)
			r.list(old, "", endpointlist.Removed)
			time.Sleep(2 * time.Second)
		}
		r.list("p1", "", endpointlist.Removed) // said again, of one that is forgotten
		synctest.Wait()
		if len(r.Pools.pools) != 1 || r.at.Open() != 1 {
			t.Fatalf("%d pools kept, %d connections, want those of p4", len(r.Pools.pools), r.at.Open())
		}
		r.list("p4", "", endpointlist.Removed)
		x := r.invite("c1", 0, time.Minute)
		r.want(x, dispatch.NotSent)
		time.Sleep(2 * time.Second)
		r.Wait() // every goroutine has ended, though the set lives on
		r.list("p4", "10.0.0.1:5060", endpointlist.Up)
		synctest.Wait()
		if connected, _ := r.Connected(); connected != 1 {
			t.Error("a pool that is listed again is not connected to")
		}
	})
	bubble(t, func(r *rig) { // an attempt that waits for a connection to a pool that goes waits no longer
		r.at.SetRejecting(false, true)
		r.at.Drop()
		synctest.Wait()
		x := r.invite("c1", 0, time.Minute)
		r.list("p1", "", endpointlist.Removed)
		y := r.invite("c2", 0, time.Minute)
		time.Sleep(2 * time.Second)
		r.want(x, dispatch.ConnectFailed)
		r.want(y, dispatch.ConnectFailed)
		if r.Pools.pools["p1"] != nil {
			t.Error("the pool is kept")
		}
	})
}

// Guards against a pool that refuses connections, as one that has just died does, being dialled once for
// every call that is tried there.
func TestCallsDoNotSetThePaceOfDialling(t *testing.T) {
	bubble(t, func(r *rig) {
		r.at.SetRejecting(true, false)
		r.at.Drop()
		synctest.Wait()
		before := r.dials.Load()
		for range 1000 {
			r.invite("c1", 0, time.Minute)
			time.Sleep(time.Millisecond)
		}
		if n := r.dials.Load() - before; n < 10 || n > 51 {
			t.Errorf("dialled %d times in a second", n)
		}
	})
}

func TestStraysAndStates(t *testing.T) {
	bubble(t, func(r *rig) {
		r.at.Notify("idle:12;circuits:40;reduce:-1;recent_ms:x")
		r.at.Bye("00000000000000aa", 16) // stood before a restart of ours
		synctest.Wait()
		if len(r.seen) != 1 || len(r.strays) != 1 || r.strays[0] != "00000000000000aa" {
			t.Errorf("seen %v, strays %v", r.seen, r.strays)
		}
		r.ReleaseUnmatched("00000000000000aa", 16) // it has just ended: nothing to pass on
		r.wantSent("")
		r.ReleaseUnmatched("00000000000000bb", 16)
		r.wantSent("BYE")
	})
}

func TestBadMessagesFromAPool(t *testing.T) {
	bubble(t, func(r *rig) {
		r.at.Send("DANCE sip:x@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 DANCE\r\nContent-Length: 0\r\n\r\n")
		r.at.Send("SIP/2.0 200 OK\r\nCall-ID: nobody\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
		if got, _ := r.sent(); got != "ACK BYE" || r.at.Open() != 1 { // the answer to no set-up is released
			t.Errorf("pool got %q", got)
		}
		r.at.Send("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n") // framing is lost: a new connection
		time.Sleep(time.Second)
		x := r.invite("c1", 0, time.Minute)
		_, q := r.sent()
		q.Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
	})
}

// Guards against answers that were spoilt on their way: none is passed on as served, the connection is of no
// more use, also for the other set-ups on it, and what may have run is released at its pool. A message that
// stopped short used to hold the connection for good: every set-up timed out, and no end of a call was heard.
func TestSpoiltAnswersEndTheConnection(t *testing.T) {
	head := "SIP/2.0 200 OK\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\n"
	for name, text := range map[string]string{
		"noise":        "\x00\xff\x17noise\r\n\r\n\r\n\r\n",
		"version":      strings.Replace(head, "2.0", "9.9", 1) + "Content-Length: 3\r\n\r\na\r\n",
		"header":       head + "no colon\r\nContent-Length: 3\r\n\r\na\r\n",
		"length":       head + "Content-Length: x\r\n\r\na\r\n",
		"3 GB":         head + "Content-Length: 3000000000\r\n\r\na\r\n",
		"endless line": head + "X: " + strings.Repeat("y", 20<<10),
		"stops short":  head + "Content-Length: 300\r\n\r\na\r\n",
		"half a head":  head[:20],
		"too short":    head + "Content-Length: 2\r\n\r\na\r\n",
		"swallows":     head + "Content-Length: 50\r\n\r\na\r\nSIP/2.0 200 OK\r\nCall-ID: c2\r\nCSeq: 1 INVITE\r\n\r\n",
		"body noise":   head + "Content-Length: 6\r\n\r\n\x00\xff\xfe\x01\r\n",
		"empty":        head + "Content-Length: 0\r\n\r\n",
		"refusal":      "SIP/2.0 503 X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 6\r\n\r\n\x00\xff\xfe\x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				x, y := r.invite("c1", 0, time.Minute), r.invite("c2", 0, time.Minute)
				r.wantSent("INVITE INVITE")
				r.at.Send(text)
				time.Sleep(messageWithin + 100*time.Millisecond)
				r.want(x, dispatch.Reset)
				r.want(y, dispatch.Reset)
				if got, _ := r.sent(); !strings.HasSuffix(got, "BYE BYE") || r.EstablishedCalls() != 0 {
					t.Errorf("pool got %q, %d stand", got, r.EstablishedCalls())
				}
			})
		})
	}
}

// Guards against a connection that stays open but on which nothing comes any more: what is out on it is
// settled, and the next one hears of the ends of calls. A pool tells them on the next connection that is
// opened and on no further one: a second one used to be opened only to see whether it comes up, and the ends
// of up to 38 calls a day were lost with it.
func TestQuietConnectionIsReplaced(t *testing.T) {
	bubble(t, func(r *rig) {
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE")
		time.Sleep(2 * time.Second)
		r.want(x, dispatch.Reset)
		if got, _ := r.sent(); got != "INVITE BYE" {
			t.Errorf("pool got %q", got)
		}
		if n := r.at.Dialled(); n != 2 {
			t.Errorf("%d connections were opened, want the quiet one and the next", n)
		}
	})
}

// Guards against a call that is over standing here for ever: its pool told the end on a connection that had fallen quiet
// and again on the next that was opened, as it does, which was quiet from the start; it tells it on no further one.
func TestEndLostOnTwoQuietConnections(t *testing.T) {
	for _, k := range []struct {
		name  string
		quiet bool // the second connection too
		want  bool // that the first call is released
	}{{"two in a row", true, true}, {"one", false, false}} {
		t.Run(k.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				speak := func(long time.Duration) { // the pool tells its state ten times a second
					for range long / (100 * time.Millisecond) {
						r.at.Notify("idle:12;circuits:40")
						time.Sleep(100 * time.Millisecond)
					}
					synctest.Wait()
				}
				speak(2 * time.Second)
				x := r.invite("c1", 0, time.Minute)
				r.wantSent("INVITE").Answer(200, "", "a\r\n")
				r.want(x, dispatch.Answered)
				speak(time.Second)
				last := r.clock.Now()
				for r.at.Dialled() < 2 { // the first falls quiet
					time.Sleep(10 * time.Millisecond)
				}
				if k.quiet {
					y := r.invite("c2", 0, 300*time.Millisecond)
					for r.at.Dialled() < 3 {
						time.Sleep(10 * time.Millisecond)
					}
					r.want(y, dispatch.TimedOut)
				}
				speak(300 * time.Millisecond)
				z := r.invite("c3", 0, time.Minute)
				_, q := r.sent()
				q.Answer(200, "", "a\r\n")
				r.want(z, dispatch.Answered)
				ended := func(x *invited) bool {
					select {
					case <-x.leg.Done():
						return true
					default:
						return false
					}
				}
				for r.clock.Now() < last+7_900_000 {
					speak(100 * time.Millisecond)
					if now := r.clock.Now(); ended(x) && now < last+6_900_000 {
						t.Fatalf("released %d ms after the pool was last heard: it may still stand", (now-last)/1000)
					}
				}
				if ended(x) != k.want || ended(z) {
					t.Errorf("released: the call before %t, want %t; the call after %t, want false", ended(x), k.want, ended(z))
				}
				if got, _ := r.sent(); k.want && (x.leg.Ending().Cause != dispatch.CauseCut || !strings.HasSuffix(got, "BYE")) {
					t.Errorf("ending %+v, the pool got %q", x.leg.Ending(), got)
				}
			})
		})
	}
}

// Guards against set-ups going out for 1.5 s on a connection that went quiet, to a pool that speaks ten times a
// second; and against taking a pool that speaks seldom for quiet.
func TestQuietIsByThePoolsOwnRhythm(t *testing.T) {
	bubble(t, func(r *rig) {
		for range 20 {
			r.at.Notify("idle:12;circuits:40")
			time.Sleep(100 * time.Millisecond)
		}
		x := r.invite("c1", 0, time.Minute)
		time.Sleep(time.Duration(quietLeast)*time.Microsecond + 100*time.Millisecond)
		r.want(x, dispatch.Reset)
		if n := r.at.Dialled(); n != 2 {
			t.Errorf("%d connections were opened, want the quiet one and the next", n)
		}
		for range 10 { // a longer gap is learnt at once
			r.at.Notify("idle:12;circuits:40")
			time.Sleep(450 * time.Millisecond)
		}
		y := r.invite("c2", 0, time.Minute)
		time.Sleep(700 * time.Millisecond)
		if synctest.Wait(); y.done || r.at.Dialled() != 2 {
			t.Errorf("done %v, %d connections: given up though its gaps are long", y.done, r.at.Dialled())
		}
	})
}

// Guards against one state that comes late ending the connection of a pool whose site has it tell its state
// every second, which 1.5 s did.
func TestQuietOfAPoolThatSpeaksSeldom(t *testing.T) {
	bubble(t, func(r *rig) {
		for range 20 {
			r.at.Notify("idle:12;circuits:40")
			time.Sleep(time.Second)
		}
		x := r.invite("c1", 0, time.Minute)
		time.Sleep(1900 * time.Millisecond)
		if n := r.at.Dialled(); n != 1 {
			t.Errorf("%d connections: given up before two of its states were due", n)
		}
		time.Sleep(200 * time.Millisecond)
		r.want(x, dispatch.Reset)
	})
}

// Guards against the quiet before a set-up being held against it.
func TestAnIdleConnectionIsNotQuiet(t *testing.T) {
	bubble(t, func(r *rig) {
		time.Sleep(10 * time.Second)
		x := r.invite("c1", 0, time.Minute)
		time.Sleep(time.Second)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		if n := r.at.Dialled(); n != 1 {
			t.Errorf("%d connections were opened", n)
		}
	})
}

// Guards against set-ups going out on a connection on which one has just timed out with nothing heard since, and
// against a release that was swallowed by it: the next one brings it.
func TestATimeOutWithNothingHeardEndsTheConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		z := r.invite("c0", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(z, dispatch.Answered)
		time.Sleep(100 * time.Millisecond)
		x := r.invite("c1", 0, 300*time.Millisecond)
		y := r.invite("c2", 0, time.Minute)
		z.leg.Release(16)
		time.Sleep(310 * time.Millisecond)
		r.want(x, dispatch.TimedOut)
		r.want(y, dispatch.Reset)
		got, _ := r.sent()
		// A release that was just being written when the connection was closed is said again on the next.
		if n := strings.Count(got, "BYE"); r.at.Dialled() != 2 || !strings.HasPrefix(got, "INVITE ACK INVITE INVITE BYE") || n < 4 || n > 5 {
			t.Errorf("%d connections, the pool got %q", r.at.Dialled(), got)
		}
	})
	bubble(t, func(r *rig) { // something was heard, but a message has stopped short since
		x := r.invite("c1", 0, 300*time.Millisecond)
		r.at.Notify("idle:12;circuits:40")
		time.Sleep(100 * time.Millisecond)
		r.at.Send("SIP/2.0 200 OK\r\nCall-")
		time.Sleep(210 * time.Millisecond)
		r.want(x, dispatch.Reset) // of the connection: it is no sign of the pool's load
		if got, _ := r.sent(); got != "INVITE BYE" && got != "INVITE BYE BYE" || r.at.Dialled() != 2 {
			t.Errorf("%d connections, the pool got %q", r.at.Dialled(), got)
		}
	})
	bubble(t, func(r *rig) { // something was heard: one answer is lost, no more
		x := r.invite("c1", 0, 300*time.Millisecond)
		r.wantSent("INVITE")
		time.Sleep(100 * time.Millisecond)
		r.at.Notify("idle:12;circuits:40")
		time.Sleep(210 * time.Millisecond)
		r.want(x, dispatch.TimedOut)
		r.wantSent("INVITE CANCEL")
		if r.at.Dialled() != 1 {
			t.Errorf("%d connections", r.at.Dialled())
		}
	})
}

// Guards against calls being cut that stand: a pool that drains tells its state no more and takes no new connections
// after a while, and the ends of its calls come on those that it has. Its quiet connection used to be closed, the next
// was refused, and what stood there counted as a dead process's a second later, also before the list told of the drain.
func TestCallsStandAtAPoolThatDrainsAndRefuses(t *testing.T) {
	stand := func(r *rig) *invited {
		r.at.Notify("idle:12;circuits:40")
		x := r.invite("c1", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(x, dispatch.Answered)
		r.at.SetRejecting(true, false)
		return x
	}
	for name, told := range map[string]bool{"told": true, "not told yet": false} {
		bubble(t, func(r *rig) {
			x := stand(r)
			if told {
				r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
			}
			time.Sleep(6 * time.Second)
			synctest.Wait()
			if r.EstablishedCalls() != 1 || r.at.Open() != 1 {
				t.Fatalf("%s: %d stand, %d connections", name, r.EstablishedCalls(), r.at.Open())
			}
			r.at.Bye("c1", 16)
			synctest.Wait()
			<-x.leg.Done()
			if e := x.leg.Ending(); e.Outcome != dispatch.Ended {
				t.Errorf("%s: ended as %+v", name, e)
			}
		})
	}
	bubble(t, func(r *rig) { // the process stops: its connections are reset, its calls are cut
		x := stand(r)
		time.Sleep(6 * time.Second)
		r.at.Drop()
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || x.leg.Ending().Cause != dispatch.CauseCut {
			t.Errorf("%d stand 1.2 s after the process has stopped", r.EstablishedCalls())
		}
	})
	bubble(t, func(r *rig) { // it has stopped, and its reset was lost
		x := stand(r)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || x.leg.Ending().Cause != dispatch.CauseCut {
			t.Errorf("%d stand 8 s after the pool was last heard", r.EstablishedCalls())
		}
	})
	bubble(t, func(r *rig) { // a set-up that times out in the quiet takes no call with it
		stand(r)
		time.Sleep(100 * time.Millisecond)
		y := r.invite("c2", 0, 300*time.Millisecond)
		time.Sleep(2 * time.Second)
		r.want(y, dispatch.TimedOut)
		if r.EstablishedCalls() != 1 || r.at.Open() != 1 {
			t.Fatalf("%d stand, %d connections after a time-out", r.EstablishedCalls(), r.at.Open())
		}
	})
	bubble(t, func(r *rig) { // it takes connections again: the next is open before the quiet one is closed, and served
		stand(r)
		time.Sleep(4 * time.Second)
		r.at.SetRejecting(false, false)
		time.Sleep(time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 1 || r.at.Dialled() < 2 {
			t.Fatalf("%d stand, %d connections were opened", r.EstablishedCalls(), r.at.Dialled())
		}
		r.at.Bye("c1", 16)
		synctest.Wait()
		if r.EstablishedCalls() != 0 {
			t.Error("the end told on the next connection was not heard")
		}
	})
}

// Guards against a connection that comes up late being given up a moment before and dialled anew: a set-up does not wait
// for it, the next one finds it.
func TestALateConnectionIsWaitedFor(t *testing.T) {
	bubble(t, func(r *rig) {
		come := make(chan struct{})
		dial := r.cfg.Dial
		var dials atomic.Int64
		r.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			select {
			case <-come:
				return dial(ctx, address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		r.at.Drop()
		synctest.Wait()
		time.Sleep(redialMin)
		x := r.invite("c1", 0, time.Minute)
		time.Sleep(time.Duration(r.cfg.ConnectTimeout) * time.Microsecond)
		r.want(x, dispatch.ConnectFailed)
		time.Sleep(300 * time.Millisecond)
		close(come)
		synctest.Wait()
		y := r.invite("c2", 0, time.Minute)
		r.wantSent("INVITE").Answer(200, "", "a\r\n")
		r.want(y, dispatch.Answered)
		if n := dials.Load(); n != 1 {
			t.Errorf("%d dials", n)
		}
	})
}

// Guards against our own release of a first send, said again on the next connection as the pool has not said that
// it heard it, ending the call that stands there by the second: both have one Call-ID, and the caller was told
// nothing (a day of bad answers and silent pools).
func TestAReleaseOfTheFirstSendSparesTheSecond(t *testing.T) {
	bubble(t, func(r *rig) {
		time.Sleep(100 * time.Millisecond)
		x := r.invite("c1", 0, 300*time.Millisecond)
		time.Sleep(310 * time.Millisecond)
		r.want(x, dispatch.TimedOut) // with nothing heard: the release leaves on the next connection
		time.Sleep(300 * time.Millisecond)
		y := r.invite("c1", 1, time.Minute)
		r.wantSent("INVITE BYE INVITE").Answer(200, "", "a\r\n")
		r.want(y, dispatch.Answered)
		time.Sleep(5 * time.Second) // it goes quiet too
		synctest.Wait()
		if got, _ := r.sent(); got != "INVITE BYE INVITE ACK" || r.EstablishedCalls() != 1 || r.at.Dialled() < 3 {
			t.Errorf("pool got %q on %d connections, %d stand", got, r.at.Dialled(), r.EstablishedCalls())
		}
	})
}

// FuzzDialog checks random steps of one call's dialogs with the pool against a model of their states:
// never two set-ups at once, a leg exactly when a 200 came first, and a BYE for every other 200.
func FuzzDialog(f *testing.F) {
	fakeplatform.Fuzz(f, []string{
		"000100", "0002001300", "000310", "00040010", "0001000500", "00060001", "0003020100", "000700",
		"00600060700000",
	},
		func(t *testing.T, script []byte) {
			onRig(t, func(r *rig) {
				var x *invited
				number, legs := 0, 0
				// outside tells whether an INVITE is out at the pool, and whether the latest was released, by what the
				// pool has seen.
				outside := func() (out, released bool) {
					r.mu.Lock()
					defer r.mu.Unlock()
					for _, q := range r.got {
						switch q.Method {
						case "INVITE":
							if out {
								t.Fatal("two set-ups out")
							}
							out, released = true, false
						case "ACK", "CANCEL", "BYE": // a BYE on the next connection, where this one was given up as quiet
							out, released = false, released || q.Method == "BYE"
						}
					}
					return out, released
				}
				last := func() (q fakeplatform.Request) { _, q = r.sent(); return q }
				steps := []func(byte){
					func(byte) {
						if x == nil || x.done && x.leg == nil {
							x = r.invite("c1", number, time.Second)
							number++
						}
					},
					func(byte) {
						if q := last(); q.Message != nil {
							q.Answer(200, "", "a\r\n")
						}
					},
					func(b byte) {
						if q := last(); q.Message != nil {
							q.Answer(300+int(b)*399/255, "blocked", "")
						}
					},
					func(byte) { time.Sleep(1100 * time.Millisecond) },
					func(byte) {
						if x != nil {
							x.leave()
						}
					},
					func(byte) {
						if q := last(); q.Message != nil {
							q.Bye(16)
						}
					},
					func(byte) {
						r.at.Drop()
						synctest.Wait()
						r.mu.Lock()
						r.got = nil
						r.mu.Unlock()
					},
					func(byte) { r.list("p1", "10.0.0.1:5060", endpointlist.Draining) },
					func(byte) { r.list("p1", "10.0.0.1:5060", endpointlist.Up) },
				}
				fakeplatform.Play(script, steps, func() {
					out, released := outside()
					if x != nil && x.done && out {
						t.Fatal("ended, and still out")
					}
					if x != nil && x.done && x.leg != nil {
						legs = 1
					}
					if n := r.EstablishedCalls(); n > legs || n > 0 && released {
						t.Fatalf("%d stand, %d were handed over, released %v", n, legs, released)
					}
				})
				if x != nil {
					x.leave()
					synctest.Wait()
					if !x.done {
						t.Fatal("an attempt never ended")
					}
				}
			})
		})
}
