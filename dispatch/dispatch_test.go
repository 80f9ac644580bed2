package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

func settings() eidertrail.Settings {
	return eidertrail.Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, MaxAttempts: 6,
		SlowStartWindow: 10 * time.Second, SlowStartCapacity: 0.3, OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		Classes: []eidertrail.Class{
			{Name: "voice", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Pools: []int{0, 1}, MeanHoldingTime: 8 * time.Second},
			{Name: "text", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 3, Pools: []int{1}, MeanHoldingTime: 8 * time.Second},
		},
	}
}

// fakeTrunk hands each attempt to the test and ends it as the test says.
type fakeTrunk struct {
	d    *Dispatcher
	mu   sync.Mutex
	sent []*fakeAttempt
	// calledOff, if set, is called when an attempt's caller has left, before Invite returns.
	calledOff func()
}

type fakeAttempt struct {
	Attempt
	end chan Ending
	leg *fakeLeg
}

type fakeLeg struct {
	sdp      string
	done     chan struct{}
	ending   Ending
	released int
}

func (l *fakeLeg) SDP() string           { return l.sdp }
func (l *fakeLeg) Done() <-chan struct{} { return l.done }
func (l *fakeLeg) Ending() Ending        { return l.ending }
func (l *fakeLeg) Release(cause int)     { l.released = cause }

func (f *fakeTrunk) Invite(ctx context.Context, a Attempt) (Leg, Ending) {
	x := &fakeAttempt{Attempt: a, end: make(chan Ending, 1)}
	f.mu.Lock()
	f.sent = append(f.sent, x)
	f.mu.Unlock()
	until := time.NewTimer(time.Duration(a.Deadline-f.d.Now()) * time.Microsecond)
	defer until.Stop()
	select {
	case e := <-x.end:
		e.At = f.d.Now()
		if e.Outcome == Answered {
			return x.leg, e
		}
		return nil, e
	case <-until.C:
		return nil, Ending{Outcome: TimedOut, At: f.d.Now(), Load: UnknownLoad}
	case <-ctx.Done():
		if f.calledOff != nil {
			f.calledOff()
		}
		return nil, Ending{Outcome: Cancelled, At: f.d.Now(), Load: UnknownLoad}
	}
}

func (x *fakeAttempt) answer(sdp string) {
	x.leg = &fakeLeg{sdp: sdp, done: make(chan struct{})}
	x.end <- Ending{Outcome: Answered, Load: UnknownLoad}
}

// rig is a dispatcher that runs, with two pools that are up.
type rig struct {
	*Dispatcher
	t     *testing.T
	trunk *fakeTrunk
	desk  *CallTable
	count *telemetry.Counters
}

func bubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) { onRig(t, test) })
}

func onRig(t *testing.T, test func(r *rig)) { onRigWith(t, settings(), test) }

func onRigWith(t *testing.T, set eidertrail.Settings, test func(r *rig)) {
	count := &telemetry.Counters{}
	d, err := New(set, 1, 2_000_000, clock.New(), zerolog.Nop(), count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	r := &rig{Dispatcher: d, t: t, trunk: &fakeTrunk{d: d}, count: count}
	r.desk = NewCallTable(CallTableConfig{Dispatcher: d, Inviter: r.trunk, MaxCalls: 100, Counters: count})
	r.list(eidertrail.Ready, eidertrail.Ready)
	synctest.Wait()
	test(r)
	r.desk.Close()
	stop()
	synctest.Wait()
	if _, err := d.Pick(context.Background(), r.request(0, time.Second)); !errors.Is(err, ErrClosed) {
		t.Errorf("Pick after the end: %v", err)
	}
	if err := d.Tick(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("Tick after the end: %v", err)
	}
}

func (r *rig) list(a, b eidertrail.Mode) {
	r.UpdateEndpoints([]Endpoint{{UID: "a", Group: 0, Mode: a}, {UID: "b", Group: 1, Mode: b}}, false)
	r.Observe("a", LoadReport{10, 20})
	r.Observe("b", LoadReport{10, 20})
	synctest.Wait()
}

func (r *rig) request(class int, left time.Duration) Request {
	return Request{Call: r.NewCall(), Class: class, Pool: class, Deadline: r.Now() + left.Microseconds()}
}

func TestPickReportTick(t *testing.T) {
	bubble(t, func(r *rig) {
		q := r.request(0, time.Second)
		p, err := r.Pick(context.Background(), q)
		if err != nil || p.Kind != DecisionSend || p.Pool != "a" || p.Attempt != 0 {
			t.Fatalf("%+v, %v", p, err)
		}
		r.Report(Result{Call: q.Call, Pool: "a", Outcome: NoAgent, Load: LoadReport{0, 20}})
		if p, err = r.Pick(context.Background(), q); err != nil || p.Pool != "b" || p.Attempt != 1 {
			t.Fatalf("second: %+v, %v", p, err)
		}
		r.Report(Result{Call: q.Call, Attempt: 1, Pool: "b", Outcome: NoAgent, Load: UnknownLoad})
		if p, err = r.Pick(context.Background(), q); err != nil || p.Kind != DecisionReject || !p.NoAgentFree || p.RetryAfter < leastAfter {
			t.Fatalf("third: %+v, %v", p, err)
		}
		if err := r.Tick(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

func TestReleaseIsAwaited(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Reset, Cancelled} {
		bubble(t, func(r *rig) {
			q := r.request(0, 5*time.Second)
			r.Pick(context.Background(), q)
			before := r.Now()
			r.Report(Result{Call: q.Call, Pool: "a", Outcome: o, Took: 1000, Load: UnknownLoad})
			p, err := r.Pick(context.Background(), q)
			if waited := p.DecidedAt - before; err != nil || p.Kind != DecisionSend || waited < 300_000 {
				t.Errorf("outcome %d: %+v after %d us, %v", o, p, waited, err)
			}
		})
	}
}

func TestGuardStopsWhatTheModuleMustNotSend(t *testing.T) {
	bubble(t, func(r *rig) {
		k := &call{Request: Request{Call: 1, Class: 1, Deadline: r.Now() + 1000}}
		now := r.Now()
		for name, ok := range map[string]bool{"b": true, "a": false, "nobody": false} { // class text may not go to a
			if got := r.engine.maySend(now, k, name); got != ok {
				t.Errorf("to %s: %v", name, got)
			}
		}
		for name, bad := range map[string]call{
			"out": {Request: k.Request, out: true}, "stands": {Request: k.Request, stands: true},
			"third send": {Request: k.Request, attempt: 2}, "release": {Request: k.Request, notBefore: now + 1},
			"late": {Request: Request{Class: 1, Deadline: now}},
		} {
			if r.engine.maySend(now, &bad, "b") {
				t.Errorf("%s: may be sent", name)
			}
		}
		r.list(eidertrail.Ready, eidertrail.Draining)
		if r.engine.maySend(now, k, "b") {
			t.Error("to a draining pool: may be sent")
		}
		r.list(eidertrail.Ready, eidertrail.Removed)
		if r.engine.maySend(now, k, "b") || len(r.engine.servers) != 1 { // guards against a line kept for each pool that ever was
			t.Errorf("a pool that is gone is still listed: %v", r.engine.servers)
		}
	})
}

// Guards against a module that sends more often than the site allows, or repeats what must not be repeated.
func TestGuardHoldsTheSitesOwnBounds(t *testing.T) {
	set := settings()
	set.MaxAttempts = 1
	set.Classes[1].Idempotency = eidertrail.NotIdempotent
	set.Classes = append(set.Classes, set.Classes[1])
	set.Classes[2].Idempotency = eidertrail.IdempotentByKey
	test := func(r *rig) {
		may := func(class, attempt int, ended ...Outcome) bool {
			now := r.Now()
			q := Request{Call: r.NewCall(), Class: class, Pool: 1, Deadline: now + 1_000_000}
			k := &call{Request: q, Decider: make(place, 1), attempt: attempt}
			r.engine.calls[q.Call] = k
			defer delete(r.engine.calls, q.Call)
			for _, o := range ended {
				k.out = true
				r.engine.Report(now-1_000_000, Result{Call: q.Call, Attempt: k.attempt, Pool: "b", Outcome: o, Load: UnknownLoad})
			}
			return r.engine.maySend(now, k, "b")
		}
		if !may(0, 0) || may(0, 1) {
			t.Error("not the one attempt that the site allows")
		}
		for o, mayRepeat := range map[Outcome]bool{
			Errored: false, LinesBusy: false, TimedOut: false, Reset: false, Cancelled: false,
			NoAgent: true, ProcessorFull: true, ConnectFailed: true, NotSent: true,
		} {
			for class, want := range []bool{true, mayRepeat, mayRepeat} {
				if got := may(class, 0, o); got != want {
					t.Errorf("class %d after outcome %d: %v, want %v", class, o, got, want)
				}
				if got := may(class, 0, o, NotSent); got != want { // a later attempt that never ran proves nothing of it
					t.Errorf("class %d after outcome %d and one that never ran: %v, want %v", class, o, got, want)
				}
			}
		}
		clear(r.engine.waiting)
		r.engine.events = r.engine.events[:0]
	}
	synctest.Test(t, func(t *testing.T) { onRigWith(t, set, test) })
}

func TestCallerLeavesWhileItWaits(t *testing.T) {
	bubble(t, func(r *rig) {
		r.list(eidertrail.Removed, eidertrail.Removed)
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan error, 1)
		q := r.request(0, time.Minute)
		go func() {
			_, err := r.Pick(ctx, q)
			done <- err
		}()
		synctest.Wait()
		leave()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
		synctest.Wait()
		if len(r.engine.calls) != 0 {
			t.Errorf("%d calls left", len(r.engine.calls))
		}
	})
}

// Guards against a decision that nobody carries out holding its server: it crossed the caller's leaving.
func TestDecisionNobodyTakesIsUndone(t *testing.T) {
	bubble(t, func(r *rig) {
		ctx, leave := context.WithCancel(context.Background())
		leave()
		for range 50 {
			if p, err := r.Pick(ctx, r.request(0, time.Minute)); err == nil {
				r.Report(Result{Call: uint64(r.Dispatcher.last.Load()), Attempt: p.Attempt, Outcome: NotSent, Load: UnknownLoad, CallerGone: true})
			}
		}
		synctest.Wait()
		p, err := r.Pick(context.Background(), r.request(0, time.Minute))
		if err != nil || p.Kind != DecisionSend || p.Pool != "a" {
			t.Errorf("after 50 that left: %+v, %v", p, err)
		}
	})
}

// Guards against a send for a caller that has left: the decision and the leaving were both there, and one of them was
// drawn.
func TestDecisionIsNotTakenOnceTheCallerHasLeft(t *testing.T) {
	bubble(t, func(r *rig) {
		ctx, leave := context.WithCancel(context.Background())
		leave()
		for range 50 {
			if p, err := r.Pick(ctx, r.request(0, time.Minute)); err == nil {
				t.Fatalf("%+v for a caller that has left", p)
			}
		}
	})
}

// jumpingClock is a clock that a test sets forward: to the process it is as if it had stood still.
type jumpingClock struct {
	*clock.Clock
	by atomic.Int64 // µs
}

func (c *jumpingClock) Now() int64 { return c.Clock.Now() + c.by.Load() }

// Guards against a caller that leaves while the process stands still being sent for: on waking, what the clock made due
// came before the readers had seen its connection close.
func TestNothingIsSentForWhoLeftInAStandstill(t *testing.T) {
	const still = 700_000
	set := settings()
	set.Tick = 5 * time.Millisecond
	for _, decided := range []bool{false, true} {
		t.Run(fmt.Sprintf("decided %t", decided), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := &jumpingClock{Clock: clock.New()}
				onRigWith(t, set, func(r *rig) {
					d, err := New(set, 1, 2_000_000, now, zerolog.Nop(), r.count)
					if err != nil {
						t.Fatal(err)
					}
					loop, stop := context.WithCancel(context.Background())
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						d.Run(loop)
					}()
					defer func() {
						stop()
						<-ended
					}()
					r.Dispatcher = d
					r.list(eidertrail.Ready, eidertrail.Ready)
					time.Sleep(d.gather)
					q := r.request(0, 5*time.Second)
					if p, err := r.Pick(context.Background(), q); err != nil || p.Pool != "a" {
						t.Errorf("first %+v, %v", p, err)
					}
					outcome, wakes := TimedOut, d.gather // when the loop decides
					if decided {
						outcome = NoAgent
					}
					r.Report(Result{Call: q.Call, Pool: "a", Outcome: outcome, Took: 1000, Load: LoadReport{0, 20}})
					caller, leave := context.WithCancel(context.Background())
					defer leave()
					picked := make(chan error, 1)
					go func() {
						p, err := r.Pick(caller, q)
						if err == nil {
							t.Errorf("sent %+v for who has left", p)
						}
						picked <- err
					}()
					synctest.Wait()
					if decided { // it stands still in the turn that decides
						r.post(func(int64) { now.by.Store(still) })
					} else { // it stands still while the release is awaited: the module's timer is due
						time.Sleep(d.gather)
						synctest.Wait()
						wakes = time.Duration(d.engine.NextDue(now.Now())-now.Now()) * time.Microsecond
						now.by.Store(still)
					}
					// The reader sees the close right after the process wakes.
					time.Sleep(wakes + catchUpFor/2)
					leave()
					if err := <-picked; !errors.Is(err, context.Canceled) {
						t.Errorf("error %v", err)
					}
				})
			})
		})
	}
}

func TestTurnedAwayShareFallsWithTime(t *testing.T) {
	bubble(t, func(r *rig) {
		r.list(eidertrail.Removed, eidertrail.Removed)
		for range 20 {
			r.Pick(context.Background(), r.request(0, 10*time.Millisecond))
		}
		before := r.RejectionRate()
		time.Sleep(10 * time.Second)
		if after := r.RejectionRate(); before < 0.3 || after > before/3 {
			t.Errorf("share %v, 10 s later %v", before, after)
		}
	})
}

// FuzzDispatcher checks random steps of a few calls against a model of what the rules allow: one attempt
// out at a time, two sends at most, the release awaited, nobody draining, one final answer a call.
func FuzzDispatcher(f *testing.F) {
	fakeplatform.Fuzz(f, []string{"000000010102", "00020103020404", "0005020001000301", "000101060001", "0006000002010301", "0007010200030104"},
		func(t *testing.T, script []byte) {
			onRig(t, func(r *rig) {
				type modelled struct {
					q           Request
					out, final  bool
					sends, last int
					notBefore   int64
				}
				var calls []*modelled
				ready := map[string]bool{"a": true, "b": true}
				var mu sync.Mutex // of calls and ready
				pick := func(m *modelled) {
					p, err := r.Pick(context.Background(), m.q)
					mu.Lock()
					defer mu.Unlock()
					if err != nil || m.final {
						t.Errorf("pick: %v, already final: %v", err, m.final)
						return
					}
					if p.Kind != DecisionSend {
						m.final = true
						return
					}
					if m.out || m.sends >= 2 || p.DecidedAt < m.notBefore || !ready[p.Pool] || m.q.Class == 1 && p.Pool != "b" {
						t.Errorf("sent to %s: %+v", p.Pool, *m)
					}
					m.out, m.last = true, p.Attempt
					m.sends++
				}
				end := func(b byte, o Outcome) {
					if len(calls) == 0 {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if m := calls[int(b)%len(calls)]; m.out {
						m.out = false
						if o == TimedOut || o == Reset || o == Cancelled {
							m.notBefore = r.Now() + 300_000
						}
						r.Report(Result{Call: m.q.Call, Attempt: m.last, Outcome: o, Took: 1000, Load: UnknownLoad})
						go pick(m)
					}
				}
				steps := []func(byte){
					func(b byte) {
						m := &modelled{q: r.request(int(b)%2, time.Duration(b)*20*time.Millisecond)}
						calls = append(calls, m)
						go pick(m)
					},
					func(b byte) { end(b, NoAgent) },
					func(b byte) { end(b, TimedOut) },
					func(b byte) { end(b, Outcome(int(b)%int(NotSent-Errored+1))+Errored) },
					func(b byte) { time.Sleep(time.Duration(b) * 10 * time.Millisecond) },
					func(b byte) {
						mu.Lock()
						ready["a"], ready["b"] = b&1 == 0, b&2 == 0
						mu.Unlock()
						r.list(eidertrail.Mode(b&1), eidertrail.Mode(b>>1&1))
					},
				}
				fakeplatform.Play(script, steps, func() {})
				time.Sleep(10 * time.Second) // every caller has given up by now
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				for _, m := range calls {
					if !m.final && !m.out {
						t.Errorf("no final answer: %+v", *m)
					}
				}
			})
		})
}

// Guards against a call being entered a second time, with two more sends: it was given up between Report
// and the next Pick, when nobody waited.
func TestGivenUpBetweenReportAndPick(t *testing.T) {
	bubble(t, func(r *rig) {
		q := r.request(0, time.Second)
		for n := range 2 {
			r.Pick(context.Background(), q)
			r.Report(Result{Call: q.Call, Attempt: n, Outcome: NoAgent, Load: UnknownLoad})
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if p, err := r.Pick(context.Background(), q); err != nil || p.Kind == DecisionSend {
			t.Errorf("third pick: %+v, %v", p, err)
		}
		if synctest.Wait(); len(r.engine.calls) != 0 {
			t.Errorf("%d calls left", len(r.engine.calls))
		}
	})
}

// Guards against a held call going to its second choice because news of that pool came some microseconds
// before news of its first: on the calm day the states of all pools come one after the other.
func TestNewsThatComesTogetherIsWeighedTogether(t *testing.T) {
	set := settings()
	set.Tick = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) { onRigWith(t, set, testNews) })
}

func testNews(r *rig) {
	r.list(eidertrail.Draining, eidertrail.Draining)
	q := r.request(0, time.Second)
	q.Pool = 1
	placed := make(chan Decision, 1)
	go func() {
		p, _ := r.Pick(context.Background(), q)
		placed <- p
	}()
	synctest.Wait()
	time.Sleep(50 * time.Millisecond)
	r.UpdateEndpoints([]Endpoint{{UID: "a", Group: 0}}, false)
	time.Sleep(100 * time.Microsecond)
	r.UpdateEndpoints([]Endpoint{{UID: "b", Group: 1}}, false)
	if p := <-placed; p.Kind != DecisionSend || p.Pool != "b" {
		r.t.Errorf("placed at %+v, first choice is b", p)
	}
}

// Guards against set-ups going on to a pool that has begun to drain until the list says so: it stops telling
// its state at once, and what is set up there from then on is cut when it stops.
func TestAPoolThatStopsTellingItsStateIsNotOffered(t *testing.T) {
	for _, c := range []struct {
		name         string
		class        int
		aTells       bool
		bTells       bool
		first, after string // where the call went before, and goes now
	}{
		{"a is silent", 0, false, true, "a", "b"},
		{"both are silent: this controller may be what does not hear", 0, false, false, "a", "a"},
		{"none is", 0, true, true, "a", "a"},
		{"b is silent, and the only pool of the class", 1, true, false, "b", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				place := func(when, want string) {
					q := r.request(c.class, time.Second)
					p, err := r.Pick(context.Background(), q)
					if err != nil || p.Pool != want {
						t.Errorf("%s: %+v, %v, want pool %s", when, p, err, want)
					}
					r.Report(Result{Call: q.Call, Pool: p.Pool, Outcome: Answered, Took: 20_000, Load: UnknownLoad})
				}
				tell := func(a, b bool) {
					if a {
						r.Observe("a", LoadReport{10, 20})
					}
					if b {
						r.Observe("b", LoadReport{10, 20})
					}
					time.Sleep(500 * time.Millisecond)
				}
				for range 10 {
					tell(true, true)
				}
				place("before", c.first)
				tell(c.aTells, c.bTells)
				place("overdue", c.after)
				tell(true, true)
				place("told again", c.first)
				if got, want := r.count.Get(telemetry.SilentPools) > 0, c.first != c.after; got != want {
					t.Errorf("counted as silent: %v, want %v", got, want)
				}
			})
		})
	}
}
