package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/invariant"
	"eidertrail/internal/slowstart"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// site is a deployment as the settings give it: what two sites set differently.
type site struct {
	name    string
	release time.Duration
	resend  time.Duration
	cold    time.Duration
	share   float64
	multi   float64
	after   time.Duration
	aim     time.Duration
	give    time.Duration
	told    int // controllers that the settings say there are, 0: as many as there are
}

// sites: one short of agents, with a quick release and no resends, and one short of processors.
var sites = []site{
	{"short of agents", 300 * time.Millisecond, 0, 10 * time.Second, 0.3, 3, 1500 * time.Millisecond, 2 * time.Second, 6 * time.Second, 0},
	{"short of processors", 500 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, 0.29, 3, 3 * time.Second, 1200 * time.Millisecond, 9 * time.Second, 0},
}

func (s site) start() slowstart.Profile {
	return slowstart.Profile{InitialCapacity: s.share, Window: s.cold.Microseconds(), OverloadMultiple: s.multi, OverloadWindow: s.after.Microseconds()}
}

// fleet is several controllers in one bubble that share stand-in pools with processors.
type fleet struct {
	site
	ds    []*Dispatcher
	procs map[string]*fakeplatform.Processor
	mu    sync.Mutex
	rules *invariant.Checker
	late  int // attempts that timed out
	bad   []string
	kinds map[FinalKind]int
	stood int // within the aim
	wg    sync.WaitGroup
	calls int
	sent  map[string][]time.Time // by pool
	first int                    // all calls' first choice, if not 0
	talk  sync.WaitGroup         // of the books
	keep  bool                   // calls stand on
	tick  func()                 // called before each call, if set
	leave time.Duration          // every third caller leaves after this, if not 0
}

// onFleet runs test on nodes controllers of the site; the pools p0, p1, ... are warm and listed.
func onFleet(t *testing.T, s site, nodes, pools int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		f := &fleet{
			site: s, procs: map[string]*fakeplatform.Processor{},
			rules: invariant.New(invariant.Config{ReleaseWait: s.release.Microseconds(), MaxAttempts: 2, Late: 20_000, LeftGrace: 100_000, SlowStart: s.start()}), kinds: map[FinalKind]int{}, sent: map[string][]time.Time{},
		}
		for i := range nodes {
			told := cmp.Or(s.told, nodes)
			set := eidertrail.Settings{
				Nodes: told, Index: i % told, OwnExchange: -1, ReleaseWait: s.release, RetransmitInterval: s.resend, MaxAttempts: 4,
				SlowStartWindow: s.cold, SlowStartCapacity: s.share, OverloadMultiple: s.multi, OverloadWindow: s.after, Tick: time.Millisecond,
				Classes: []eidertrail.Class{{Name: "lookup", LatencyObjective: s.aim, Deadline: s.give, PriorityWeight: 1, MeanHoldingTime: 8 * time.Second}},
			}
			d, err := New(set, 7, 2_000_000, clock.New(), zerolog.Nop(), &telemetry.Counters{})
			if err != nil {
				t.Fatal(err)
			}
			f.ds = append(f.ds, d)
			go d.Run(ctx)
		}
		for i := range pools {
			f.add(fmt.Sprintf("p%d", i), 0)
		}
		synctest.Wait()
		test(f)
		f.wg.Wait()
		stop()
		time.Sleep(time.Second)
		f.rules.Finish(f.ds[0].Now())
		if n, broken := f.rules.Violations(); n > 0 || len(f.bad) > 0 || f.rules.Seen() != f.calls {
			t.Errorf("%d calls taken of %d; %d rules broken: %v %v", f.rules.Seen(), f.calls, n, broken, f.bad)
		}
	})
}

// add lists a pool that started born ago to every controller, 0: long ago.
func (f *fleet) add(uid string, born time.Duration) {
	p := &fakeplatform.Processor{
		Work: 10 * time.Millisecond, MaxWait: 2500 * time.Millisecond, SlowStartCapacity: f.share,
		SlowStartWindow: f.cold, OverloadMultiple: f.multi, OverloadWindow: f.after,
	}
	if born > 0 {
		p.Start(time.Now().Add(-born))
		f.rules.EndpointStarted(f.ds[0].Now()-born.Microseconds(), uid, float64(time.Second)/float64(p.Work))
	}
	f.mu.Lock()
	f.procs[uid] = p
	f.mu.Unlock()
	for _, d := range f.ds {
		l := Endpoint{UID: uid, Group: len(f.procs) - 1, Mode: eidertrail.Ready}
		if born > 0 {
			l.StartedAt = d.Now() - born.Microseconds()
		}
		d.UpdateEndpoints([]Endpoint{l}, false)
		d.Observe(uid, LoadReport{900, 1000})
	}
}

// Invite is a set-up at a pool: it holds the rules against every attempt.
func (f *fleet) Invite(ctx context.Context, a Attempt) (Leg, Ending) {
	f.rules.Sent(f.ds[0].Now(), a.ID, "", a.Pool)
	f.mu.Lock()
	p := f.procs[a.Pool]
	f.sent[a.Pool] = append(f.sent[a.Pool], time.Now())
	f.mu.Unlock()
	d := f.ds[0]
	end := func(o Outcome) Ending {
		f.rules.Ended(d.Now(), a.ID, o == TimedOut || o == Cancelled)
		if o == TimedOut {
			f.mu.Lock()
			f.late++
			f.mu.Unlock()
		}
		return Ending{Outcome: o, At: d.Now(), Load: LoadReport{900, 1000}}
	}
	after, full := p.Arrive(time.Now())
	if full {
		return nil, end(ProcessorFull)
	}
	answered := time.NewTimer(after + 5*time.Millisecond)
	defer answered.Stop()
	until := time.NewTimer(time.Duration(a.Deadline-d.Now()) * time.Microsecond)
	defer until.Stop()
	select {
	case <-answered.C:
		return &zoneLeg{done: make(chan struct{})}, end(Answered)
	case <-until.C: // it still works on it, and will answer
		return nil, end(TimedOut)
	case <-ctx.Done():
		return nil, end(Cancelled)
	}
}

// offer places rate calls a second on the controllers in turn, for so long.
func (f *fleet) offer(rate int, long time.Duration) {
	for began := time.Now(); time.Since(began) < long; {
		if f.tick != nil {
			f.tick()
		}
		d := f.ds[f.calls%len(f.ds)]
		n := f.calls
		id := fmt.Sprint(n)
		r := Request{Call: d.NewCall(), Pool: cmp.Or(f.first, f.calls/len(f.ds)%max(len(f.procs), 1)), Deadline: d.Now() + f.give.Microseconds()}
		f.calls++
		f.wg.Go(func() {
			at := time.Now()
			f.rules.CallAccepted(d.Now(), id, r.Deadline)
			ctx, hangUp := context.WithCancel(context.Background())
			defer hangUp()
			if f.leave > 0 && n%3 == 0 {
				defer time.AfterFunc(f.leave, func() { f.rules.CallerGone(d.Now(), id); hangUp() }).Stop()
			}
			final := Serve(ctx, d, f, r, Setup{ID: id})
			if final.Kind != FinalCallerGone {
				f.rules.Final(d.Now(), id, fmt.Sprint(final.Kind))
			}
			f.mu.Lock()
			f.kinds[final.Kind]++
			if final.Kind == FinalEstablished && !f.keep {
				final.Call.End(CauseNormal)
			}
			if final.Kind == FinalEstablished && time.Since(at) <= f.aim {
				f.stood++
			}
			f.mu.Unlock()
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// most is the most set-ups that the pool got within any stretch of so long.
func (f *fleet) most(pool string, long time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, first := 0, 0
	for i, at := range f.sent[pool] {
		for at.Sub(f.sent[pool][first]) > long {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A cold pool is not pushed over by what several controllers send it together, on either site, while the
// others are near full: each knows only how many they are, and the settings' cold start.
func TestSeveralControllersSpareAColdPool(t *testing.T) {
	for _, s := range sites {
		for _, nodes := range []int{1, 5, 9} {
			t.Run(fmt.Sprintf("%s, %d controllers", s.name, nodes), func(t *testing.T) {
				onFleet(t, s, nodes, 2, func(f *fleet) {
					f.offer(170, 5*time.Second)
					f.add("p2", 500*time.Millisecond)
					f.offer(230, 2*s.cold)
					f.wg.Wait()
					if w := f.procs["p2"].Worst(); w > 1 || w == 0 {
						t.Errorf("the cold pool got %.2f of what makes it fall over", w)
					}
					if ramp := f.rules.Ramp(); ramp.Starts != 1 || ramp.Sent == 0 {
						t.Errorf("%+v: the rules were not held to the cold pool", ramp)
					}
					if f.kinds[FinalEstablished] < f.calls*7/10 {
						t.Errorf("%d of %d calls stood", f.kinds[FinalEstablished], f.calls)
					}
				})
			})
		}
	}
}

// Callers leave while their calls wait for a place, and while an attempt is out at a pool that is slow: what is not
// out is not sent any more.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 5, 2, func(f *fleet) {
				f.leave = 150 * time.Millisecond
				f.offer(150, 2*time.Second)
				for _, p := range f.procs {
					p.Slow(20)
				}
				f.offer(150, 5*time.Second)
				for _, p := range f.procs {
					p.Slow(1)
				}
				f.offer(150, 2*time.Second)
				f.wg.Wait()
				left := f.rules.Abandoned()
				t.Logf("%+v, %d were gone", left, f.kinds[FinalCallerGone])
				if left.Waiting < 20 || f.kinds[FinalCallerGone] <= left.Waiting {
					t.Errorf("%d callers left while their call waited, of %d that left: want 20, and some with an attempt out", left.Waiting, f.kinds[FinalCallerGone])
				}
				if left.SentOn > 0 {
					t.Errorf("%d of %d calls were sent on 0.3 s after their caller had left", left.SentOn, left.Waiting)
				}
			})
		})
	}
}

// All pools turn three times slower together: calls still stand, most of what they can take, and the
// controllers open up again once they are quick.
func TestAllPoolsSlowTogether(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 5, 3, func(f *fleet) {
				slow := func(times float64) {
					for _, p := range f.procs {
						p.Slow(times)
					}
				}
				part := func(rate int, long time.Duration) (stood, calls int) {
					f.wg.Wait()
					before, of := f.stood, f.calls
					f.offer(rate, long)
					f.wg.Wait()
					return f.stood - before, f.calls - of
				}
				part(180, 10*time.Second)
				slow(3) // of 300 set-ups a second they take 100
				if stood, calls := part(180, 10*time.Second); stood < 600 {
					t.Errorf("slow: %d of %d calls stood in time, want 600 of the 1000 that the pools could take", stood, calls)
				}
				slow(1)
				part(180, 3*time.Second)
				if stood, calls := part(180, 10*time.Second); stood < calls*9/10 {
					t.Errorf("quick again: %d of %d calls stood in time", stood, calls)
				}
			})
		})
	}
}

// An attempt that timed out at a pool that goes on working on it and answers: the call is not sent again
// within the site's release wait, and is sent once more after it.
func TestNoResendWithinTheSitesReleaseWait(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 1, 2, func(f *fleet) {
				f.offer(50, 2*time.Second) // their quickest is known: set-ups are timed
				for _, p := range f.procs {
					p.Slow(400)
				}
				f.offer(20, time.Second)
				f.wg.Wait()
				if f.late == 0 {
					t.Error("no attempt timed out")
				}
			})
		})
	}
}
