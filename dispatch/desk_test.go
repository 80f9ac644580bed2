package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// fakeCaller is a connection that notes what it is told.
type fakeCaller struct {
	mu sync.Mutex
	heard
	// passing, if set, is called when a final answer is about to be taken, with the desk's lock held.
	passing func()
}

type heard struct {
	finals []Final
	overs  []string
	deaf   bool
}

// got is what it was told so far.
func (c *fakeCaller) got() heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

func (c *fakeCaller) plug() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaf = true
}

func (c *fakeCaller) Final(_ string, f Final) bool {
	if c.passing != nil {
		c.passing()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deaf {
		c.finals = append(c.finals, f)
	}
	return !c.deaf
}

func (c *fakeCaller) CallEnded(id string, _ int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deaf {
		c.overs = append(c.overs, id)
	}
	return !c.deaf
}

func (r *rig) connect() *fakeCaller {
	c := &fakeCaller{}
	r.desk.Connect(c)
	r.desk.MarkEstablished(c)
	return c
}

func (r *rig) setup(c *fakeCaller, id string) error {
	err := r.desk.Setup(c, SetupRequest{ID: id, Class: "voice", Number: "7f", Pool: 0, TimeoutMillis: 3000, ReceivedAt: r.Now()})
	synctest.Wait()
	return err
}

func (r *rig) last() *fakeAttempt {
	r.t.Helper()
	r.trunk.mu.Lock()
	defer r.trunk.mu.Unlock()
	if len(r.trunk.sent) == 0 {
		r.t.Fatal("nothing was sent")
	}
	return r.trunk.sent[len(r.trunk.sent)-1]
}

func TestCallStandsUntilThePoolEndsIt(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.connect(), r.connect()
		r.setup(c, "c1")
		r.last().answer("sdp")
		synctest.Wait()
		if len(c.got().finals) != 1 || c.got().finals[0].Kind != FinalEstablished || r.desk.EstablishedCalls() != 1 || r.desk.PendingSetups() != 0 {
			t.Fatalf("finals %+v", c.got().finals)
		}
		// No connection owns the call: its own is gone, so another is told.
		r.desk.Disconnect(c)
		leg := r.last().leg
		leg.ending = Ending{Outcome: Ended, Cause: 16, Load: UnknownLoad}
		close(leg.done)
		synctest.Wait()
		if len(other.got().overs) != 1 || len(c.got().overs) != 0 || leg.released != 0 {
			t.Errorf("told %v and %v, released %d", other.got().overs, c.got().overs, leg.released)
		}
	})
}

// Guards against an end that was written to a connection whose caller was just closing it: nobody read it.
func TestEndThatCrossedTheClosingIsToldAgain(t *testing.T) {
	bubble(t, func(r *rig) {
		other, c := r.connect(), r.connect()
		for _, id := range []string{"c1", "c2"} {
			r.setup(c, id)
			r.last().answer("sdp")
			synctest.Wait()
			leg := r.last().leg
			leg.ending = Ending{Outcome: Ended, Cause: 16, Load: UnknownLoad}
			close(leg.done)
			time.Sleep(2 * crossed / 3 * time.Microsecond)
		}
		if len(c.got().overs) != 2 {
			t.Fatalf("told %v", c.got().overs)
		}
		r.desk.Disconnect(c)
		if got := other.got().overs; len(got) != 1 || got[0] != "c2" {
			t.Errorf("told %v elsewhere, want c2 alone: c1 was long read", got)
		}
	})
}

func TestEndIsKeptUntilSomebodyConnects(t *testing.T) {
	bubble(t, func(r *rig) {
		deaf := r.connect()
		deaf.plug()
		r.desk.CallEnded("c1", 16)
		if c := r.connect(); len(c.got().overs) != 1 || r.count.Get(telemetry.ReleasesPending) != 1 {
			t.Errorf("told %v", c.got().overs)
		}
		if c := r.connect(); len(c.got().overs) != 0 {
			t.Errorf("told again: %v", c.got().overs)
		}
	})
}

// Guards against an end being told later than 1 s after it where callers come and go: told after a while to a
// connection on which none was answered yet, and lost with it, it waited as long again.
func TestEndIsToldInTimeWhileCallersComeAndGo(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		r.last().answer("sdp")
		synctest.Wait()
		leg := r.last().leg
		comes := func(id string) *fakeCaller {
			x := &fakeCaller{}
			r.desk.Connect(x)
			r.setup(x, id)
			return x
		}
		first := comes("c2")
		r.desk.Disconnect(c)
		leg.ending = Ending{Outcome: Ended, Cause: 16, Load: UnknownLoad}
		close(leg.done)
		time.Sleep(waitForCaller + 10*time.Millisecond)
		if got := first.got().overs; len(got) != 1 {
			t.Fatalf("told %v after a while", got)
		}
		time.Sleep(200 * time.Millisecond)
		r.desk.Disconnect(first) // it may not have read it
		time.Sleep(100 * time.Millisecond)
		second := comes("c3")
		if got := second.got().overs; len(got) != 1 || got[0] != "c1" {
			t.Errorf("told %v on the next caller's connection, 0.7 s after the end", got)
		}
	})
}

func TestCallerReleases(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		r.last().answer("sdp")
		synctest.Wait()
		if standing, err := r.desk.Release("c1", 31); !standing || err != nil {
			t.Errorf("release: %v, %v", standing, err)
		}
		synctest.Wait()
		if r.last().leg.released != 31 || len(c.got().overs) != 0 || r.desk.EstablishedCalls() != 0 {
			t.Errorf("released with %d, told %v", r.last().leg.released, c.got().overs)
		}
		if _, err := r.desk.Release("c1", 31); err != ErrCallEnded {
			t.Errorf("second release: %v", err)
		}
		if _, err := r.desk.Release("c2", 31); err != ErrUnknown {
			t.Errorf("release of nobody's call: %v", err)
		}
	})
}

func TestCancelGetsNoFinalAnswer(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		if standing, err := r.desk.Release("c1", 16); standing || err != nil {
			t.Errorf("cancel: %v, %v", standing, err)
		}
		synctest.Wait()
		if len(c.got().finals) != 0 || r.desk.PendingSetups() != 0 || r.count.Get(telemetry.CancelledCalls) != 1 {
			t.Errorf("finals %+v", c.got().finals)
		}
	})
}

// Guards against a call that is answered as served although its caller had left: the two crossed.
func TestAnswerCrossesCancel(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		x := r.last()
		r.desk.mu.Lock() // both happen before the desk can look
		x.answer("sdp")
		r.desk.calls["c1"].end(errLeft)
		r.desk.mu.Unlock()
		synctest.Wait()
		if len(c.got().finals) != 0 || x.leg.released != CauseNormal && len(x.end) == 0 {
			t.Errorf("finals %+v, released %d", c.got().finals, x.leg.released)
		}
	})
}

func TestAnswerThatCannotBeToldIsReleased(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		c.plug()
		r.last().answer("sdp")
		synctest.Wait()
		if r.last().leg.released != CauseNormal || r.desk.EstablishedCalls() != 0 {
			t.Error("it stands for nobody")
		}
	})
}

func TestDisconnectCallsOffWhatIsOpen(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		r.desk.Disconnect(c)
		synctest.Wait()
		if r.desk.PendingSetups() != 0 || len(c.got().finals) != 0 {
			t.Errorf("open %d, finals %+v", r.desk.PendingSetups(), c.got().finals)
		}
		if err := r.setup(c, "c2"); err != nil || r.desk.PendingSetups() != 0 {
			t.Errorf("a set-up of a connection that is gone: %v, open %d", err, r.desk.PendingSetups())
		}
	})
}

func TestWrongSetups(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		good := SetupRequest{ID: "c1", Class: "voice", TimeoutMillis: 1000, ReceivedAt: r.Now()}
		for want, edit := range map[error]func(*SetupRequest){
			ErrID:     func(s *SetupRequest) { s.ID = "a b" },
			ErrClass:  func(s *SetupRequest) { s.Class = "fax" },
			ErrLeft:   func(s *SetupRequest) { s.TimeoutMillis = -1 },
			ErrNumber: func(s *SetupRequest) { s.Number = "1\r\nBYE" },
		} {
			s := good
			edit(&s)
			if err := r.desk.Setup(c, s); err != want {
				t.Errorf("got %v, want %v", err, want)
			}
		}
		if err := r.setup(c, "c1"); err != nil {
			t.Error(err)
		}
		if err := r.desk.Setup(c, SetupRequest{ID: "c1", Class: "fax"}); err != ErrDuplicate { // even one that is wrong otherwise
			t.Errorf("again: %v", err)
		}
		r.desk.most = 1
		if err := r.setup(c, "c2"); err != ErrTooMany {
			t.Errorf("past the bound: %v", err)
		}
	})
}

func TestFinalComesBeforeTheCallerGivesUp(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1") // nobody answers the attempt; the caller gives up after 3 s
		time.Sleep(2990 * time.Millisecond)
		synctest.Wait()
		if len(c.got().finals) != 1 || c.got().finals[0].Kind == FinalEstablished || c.got().finals[0].RetryAfter < leastAfter {
			t.Errorf("finals %+v", c.got().finals)
		}
	})
}

func TestGiveUpAnswersAll(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.setup(c, "c1")
		r.setup(c, "c2")
		r.last().answer("sdp")
		r.list(eidertrail.Removed, eidertrail.Removed)
		r.setup(c, "c3") // waits for a pool
		r.desk.AbortPending()
		r.desk.Drain(context.Background())
		if len(c.got().finals) != 3 || r.desk.EstablishedCalls() != 1 {
			t.Errorf("finals %+v, %d stand", c.got().finals, r.desk.EstablishedCalls())
		}
	})
}

// Guards against a set-up that may have been carried out, of a class that must not be repeated, being refused at
// the end of the process: a refusal says that trying again is harmless.
func TestGivenUpAfterAnAttemptThatMayHaveRun(t *testing.T) {
	const out = Answered // the attempt is still out when the process ends
	for _, e := range []struct {
		name     string
		effect   eidertrail.Idempotency
		first    Outcome // of the first attempt
		loopEnds bool    // before that outcome is reported; else the desk gives the call up
		want     FinalKind
	}{
		{"safe, attempt out", eidertrail.Idempotent, out, false, FinalRejected},
		{"unsafe, attempt out", eidertrail.NotIdempotent, out, false, FinalFailed},
		{"keyed, attempt out", eidertrail.IdempotentByKey, out, false, FinalFailed},
		{"unsafe, proven not to have run, held", eidertrail.NotIdempotent, NoAgent, false, FinalRejected},
		{"unsafe, timed out as the loop ends", eidertrail.NotIdempotent, TimedOut, true, FinalFailed},
		{"unsafe, proven not to have run, the loop ends", eidertrail.NotIdempotent, NoAgent, true, FinalRejected},
		{"safe, timed out as the loop ends", eidertrail.Idempotent, TimedOut, true, FinalRejected},
	} {
		set := settings()
		set.Classes[0].Idempotency = e.effect
		bubble(t, func(r *rig) {
			d, err := New(set, 1, 2_000_000, r.clock, zerolog.Nop(), r.count)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go d.Run(ctx)
			r.Dispatcher, r.trunk.d = d, d
			r.desk = NewCallTable(CallTableConfig{Dispatcher: d, Inviter: r.trunk, MaxCalls: 100, Counters: r.count})
			r.list(eidertrail.Ready, eidertrail.Ready)
			c := r.connect()
			r.setup(c, "c1")
			x := r.last()
			r.list(eidertrail.Ready, eidertrail.Removed) // what comes back is held
			if e.loopEnds {
				stop()
				synctest.Wait()
			}
			if e.first != out {
				x.end <- Ending{Outcome: e.first, Load: LoadReport{0, 20}}
				synctest.Wait()
			}
			if !e.loopEnds {
				r.desk.AbortPending()
				synctest.Wait()
			}
			got := c.got().finals
			if len(got) != 1 || got[0].Kind != e.want || got[0].MayHaveRun != (e.want == FinalFailed) {
				t.Errorf("%s: finals %+v, want one of kind %d", e.name, got, e.want)
			}
		})
	}
}

// Guards against a final answer after the caller's cancel: the cancel came between GiveUp and the answer, and the
// call was taken for given up alone, as that came first.
func TestCancelAfterGiveUpGetsNoFinalAnswer(t *testing.T) {
	for name, leave := range map[string]func(*rig, *fakeCaller){
		"cancel":     func(r *rig, _ *fakeCaller) { r.desk.Release("c1", CauseNormal) },
		"disconnect": func(r *rig, c *fakeCaller) { r.desk.Disconnect(c) },
	} {
		bubble(t, func(r *rig) {
			c := r.connect()
			r.setup(c, "c1")
			hold := make(chan struct{})
			r.trunk.calledOff = func() { <-hold } // both come before the attempt is seen to be called off
			r.desk.AbortPending()
			synctest.Wait()
			leave(r, c)
			close(hold)
			synctest.Wait()
			if got := c.got().finals; len(got) != 0 || r.count.Get(telemetry.CancelledCalls) != 1 || r.desk.PendingSetups() != 0 {
				t.Errorf("%s: finals %+v, %d cancelled", name, got, r.count.Get(telemetry.CancelledCalls))
			}
		})
	}
}

// Guards against a call that was answered just as the desk gave it up being forgotten while it stands: the caller's
// release was not passed on, and its end not told.
func TestAnswerCrossesGiveUp(t *testing.T) {
	for _, byPool := range []bool{false, true} {
		bubble(t, func(r *rig) {
			c := r.connect()
			r.setup(c, "c1")
			x := r.last()
			// The desk gives up between the answer's arrival and its passing on, under the desk's lock.
			call := r.desk.calls["c1"]
			c.passing = func() { call.end(errGivenUp) }
			x.answer("sdp")
			synctest.Wait()
			if got := c.got().finals; len(got) != 1 || got[0].Kind != FinalEstablished || r.desk.EstablishedCalls() != 1 {
				t.Errorf("finals %+v, %d stand", got, r.desk.EstablishedCalls())
				return
			}
			if byPool {
				x.leg.ending = Ending{Outcome: Ended, Cause: 16, Load: UnknownLoad}
				close(x.leg.done)
				synctest.Wait()
				if got := c.got().overs; len(got) != 1 {
					t.Errorf("the pool's end was told as %v", got)
				}
				return
			}
			if standing, err := r.desk.Release("c1", 31); !standing || err != nil {
				t.Errorf("release: %v, %v", standing, err)
			}
			synctest.Wait()
			if x.leg.released != 31 {
				t.Error("not released at the pool")
			}
		})
	}
}

// Guards against a set-up that comes in just after GiveUp, on a connection that still waits for another's answer,
// being taken and never answered: nothing gave it up any more.
func TestSetUpAfterGiveUpIsAnsweredAtOnce(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.connect()
		r.desk.AbortPending()
		if err := r.setup(c, "c1"); err != nil {
			t.Fatal(err)
		}
		if got := c.got().finals; len(got) != 1 || got[0].Kind != FinalRejected || r.desk.PendingSetups() != 0 {
			t.Errorf("finals %+v, %d open", got, r.desk.PendingSetups())
		}
		if r.trunk.mu.Lock(); len(r.trunk.sent) != 0 {
			t.Errorf("%d attempts were sent", len(r.trunk.sent))
		}
		r.trunk.mu.Unlock()
	})
}

// Guards against a caller being told that a call was refused, which says that trying again is harmless, when a set-up
// that must not be repeated may have been carried out: at a planned stop too.
func TestWhatMustNotBeRepeatedIsNotRefused(t *testing.T) {
	for _, effect := range []eidertrail.Idempotency{eidertrail.Idempotent, eidertrail.IdempotentByKey, eidertrail.NotIdempotent} {
		set := settings()
		set.Classes[0].Idempotency = effect
		once := effect != eidertrail.Idempotent
		test := func(r *rig, stop string) { // a desk gives up once
			c := r.connect()
			last := func(id string, end func()) Final {
				r.setup(c, id)
				end()
				time.Sleep(3 * time.Second)
				synctest.Wait()
				finals := c.got().finals
				if len(finals) == 0 {
					t.Fatalf("effect %d, %s: no final answer", effect, id)
				}
				return finals[len(finals)-1]
			}
			ends := func(o Outcome) func() { return func() { r.last().end <- Ending{Outcome: o, Load: UnknownLoad} } }
			switch stop {
			case "out":
				if f := last("stop-out", r.desk.AbortPending); once && (f.Kind != FinalFailed || !f.MayHaveRun) || !once && (f.Kind != FinalRejected || f.MayHaveRun) {
					t.Errorf("effect %d, out at the stop: %+v", effect, f)
				}
				return
			case "waits":
				r.list(eidertrail.Removed, eidertrail.Removed)
				if f := last("stop-waits", r.desk.AbortPending); f.Kind != FinalRejected || f.MayHaveRun {
					t.Errorf("effect %d, not sent at the stop: %+v", effect, f)
				}
				return
			}
			if once {
				sent := len(r.trunk.sent)
				if f := last("reset", ends(Reset)); f.Kind != FinalFailed || !f.MayHaveRun || len(r.trunk.sent) != sent+1 {
					t.Errorf("effect %d, reset: %+v after %d set-ups", effect, f, len(r.trunk.sent)-sent)
				}
			}
			if f := last("full", func() {
				for range maxSends {
					ends(NoAgent)()
					synctest.Wait()
				}
			}); f.Kind != FinalRejected || f.MayHaveRun || !f.NoAgentFree {
				t.Errorf("effect %d, no agent: %+v", effect, f)
			}
		}
		for _, stop := range []string{"", "out", "waits"} {
			synctest.Test(t, func(t *testing.T) { onRigWith(t, set, func(r *rig) { test(r, stop) }) })
		}
	}
}

// resetTrunk resets every attempt, once the dispatcher has stopped.
type resetTrunk struct {
	d    *Dispatcher
	stop func()
}

func (k resetTrunk) Invite(context.Context, Attempt) (Leg, Ending) {
	k.stop()
	<-k.d.done
	return nil, Ending{Outcome: Reset, At: k.d.Now(), Load: UnknownLoad}
}

// The same for an attempt that ends when nothing decides any more.
func TestWhatMustNotBeRepeatedIsNotRefusedAtTheEnd(t *testing.T) {
	for effect, want := range map[eidertrail.Idempotency]FinalKind{eidertrail.Idempotent: FinalRejected, eidertrail.IdempotentByKey: FinalFailed, eidertrail.NotIdempotent: FinalFailed} {
		set := settings()
		set.Classes[0].Idempotency = effect
		synctest.Test(t, func(t *testing.T) {
			d, err := New(set, 1, 2_000_000, clock.New(), zerolog.Nop(), nil)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			go d.Run(ctx)
			d.UpdateEndpoints([]Endpoint{{UID: "a"}}, false)
			r := Request{Call: d.NewCall(), Deadline: d.Now() + 3_000_000}
			if f := Serve(context.Background(), d, resetTrunk{d, stop}, r, Setup{ID: "c1"}); f.Kind != want || f.MayHaveRun != (want == FinalFailed) {
				t.Errorf("effect %d: %+v", effect, f)
			}
		})
	}
}
