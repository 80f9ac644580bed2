package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"eidertrail"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// budgets lets the fleet's controllers divide budgets: their books talk to each other with 5 ms of delay, and
// lose a share of what they say. It ends when the returned function is called.
func (f *fleet) budgets(t *testing.T, loss float64) (books []*quota.SharedAllocator, end func()) {
	rng := rand.New(rand.NewPCG(1, 1))
	ds := f.ds
	for i, d := range f.ds {
		b, err := quota.NewSharedAllocator(quota.Config{
			Self: i, Members: len(f.ds), Incarnation: 1, Unit: 1000, Reserved: 250, TTL: 2_000_000,
			Margin: 500_000,
		}, d.Now())
		if err != nil {
			t.Fatal(err)
		}
		alive := slices.Repeat([]bool{true}, len(f.ds))
		b.SetAlive(alive)
		books = append(books, b)
		d.SetQuotas(QuotaConfig{Source: b, SlowStartFraction: 0.5, SendWindow: 250_000})
	}
	done := make(chan struct{})
	f.talk.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for from, b := range books {
				f.carry(ds, books, from, b.Tick(ds[from].Now()), rng, loss)
			}
		}
	})
	return books, func() { close(done); f.talk.Wait() }
}

func (f *fleet) carry(ds []*Dispatcher, books []*quota.SharedAllocator, from int, out []quota.Out, rng *rand.Rand, loss float64) {
	for _, o := range out {
		if rng.Float64() < loss {
			continue
		}
		f.talk.Go(func() {
			time.Sleep(5 * time.Millisecond)
			answers, err := books[o.To].Receive(ds[o.To].Now(), from, o.Body)
			if err != nil {
				f.mu.Lock()
				f.bad = append(f.bad, err.Error())
				f.mu.Unlock()
			}
			for _, a := range answers {
				time.Sleep(5 * time.Millisecond)
				if _, err := books[from].Receive(ds[from].Now(), o.To, a.Body); err != nil {
					f.mu.Lock()
					f.bad = append(f.bad, err.Error())
					f.mu.Unlock()
				}
			}
		})
	}
}

// A pool tells the rate that it can take from all. Whoever the calls come to, all controllers together keep to
// it, and one that is busy gets what the others do not use.
func TestBusyControllerBorrowsFromIdleOnes(t *testing.T) {
	const rate = 50
	for _, c := range []struct {
		name  string
		loss  float64
		busy  int  // how many controllers get the calls
		calls int  // a second, in all
		off   bool // no budgets
		want  int  // per cent of the calls offered that stand
	}{
		{"all are busy", 0, 5, 45, false, 90},
		{"one is busy", 0, 1, 45, false, 65},
		{"one is busy, a fifth of the messages is lost", 0.2, 1, 45, false, 60},
		{"nobody hears anybody: a fifth of the rate", 1, 1, 45, false, 15},
		{"twice the rate is asked for", 0, 5, 90, false, 40},
		{"twice the rate is asked for, no budgets", 0, 5, 90, true, 90},
	} {
		t.Run(c.name, func(t *testing.T) {
			onFleet(t, sites[0], 5, 1, func(f *fleet) {
				end := func() {}
				if !c.off {
					_, end = f.budgets(t, c.loss)
				}
				tell := func() {
					for _, d := range f.ds {
						d.ObserveCapacity("p0", rate)
					}
				}
				all := f.ds
				f.tick = tell
				tell()
				f.ds = f.ds[:c.busy]
				f.offer(10, 5*time.Second) // and what a start has to wait for is over
				f.wg.Wait()
				before, calls := f.kinds[FinalEstablished], f.calls
				f.offer(c.calls, 20*time.Second)
				f.wg.Wait()
				f.ds = all
				end()
				stood := 100 * (f.kinds[FinalEstablished] - before) / (f.calls - calls)
				t.Logf("%d%% of the calls stood, most in a second %d", stood, f.most("p0", time.Second))
				if stood < c.want {
					t.Errorf("%d%% of the calls stood, want %d%%", stood, c.want)
				}
				if m := f.most("p0", time.Second); (m > rate*5/4+len(f.ds)) != c.off {
					t.Errorf("%d set-ups in one second, the pool takes %d", m, rate)
				}
				if c.loss == 1 && stood > 40 {
					t.Errorf("%d%% stood with nobody heard: more than a fifth of the rate was used", stood)
				}
			})
		})
	}
}

// The most that is ever sent to a cold pool by five controllers together, as a part of what makes it fall over,
// with budgets and without. The module alone shares by how many controllers the settings say there are; where
// they say too few, as when a fleet has grown, only the budgets hold.
func TestBudgetOfAColdPool(t *testing.T) {
	for _, c := range []struct {
		told    int
		budgets bool
	}{{0, false}, {0, true}, {1, false}, {1, true}} {
		budgets := c.budgets
		t.Run(fmt.Sprintf("budgets %v, controllers told %d", budgets, cmp.Or(c.told, 5)), func(t *testing.T) {
			s := sites[1]
			s.told = c.told
			onFleet(t, s, 5, 2, func(f *fleet) {
				end := func() {}
				if budgets {
					_, end = f.budgets(t, 0.1)
				}
				f.offer(170, 5*time.Second)
				f.add("p2", 500*time.Millisecond)
				f.first = 2
				f.offer(230, 2*f.cold)
				f.wg.Wait()
				end()
				w := f.procs["p2"].Worst()
				t.Logf("most sent to the cold pool: %.2f of what makes it fall over; %d of %d calls stood; sent p0 %d p1 %d p2 %d", w, f.kinds[FinalEstablished], f.calls, len(f.sent["p0"]), len(f.sent["p1"]), len(f.sent["p2"]))
				if w == 0 || w > 0.6 && budgets || w > 1 && c.told == 0 {
					t.Errorf("the cold pool got %.2f of what makes it fall over", w)
				}
			})
		})
	}
}

// A decision under a budget carries by when its set-up must have left; others carry none.
func TestLeaveBy(t *testing.T) {
	bubble(t, func(r *rig) {
		place := func() Decision {
			q := r.request(0, time.Second)
			p, err := r.Pick(context.Background(), q)
			if err != nil {
				t.Fatal(err)
			}
			r.Report(Result{Call: q.Call, Pool: p.Pool, Outcome: Answered, Took: 20_000, Load: UnknownLoad})
			return p
		}
		if p := place(); p.SendBy != 0 {
			t.Errorf("without budgets %+v", p)
		}
		b, err := quota.NewSharedAllocator(quota.Config{Members: 1, Unit: 1000, TTL: 2_000_000, Margin: 500_000}, r.Now()-3_000_000)
		if err != nil {
			t.Fatal(err)
		}
		r.SetQuotas(QuotaConfig{Source: b, SlowStartFraction: 0.5, SendWindow: 250_000})
		if p := place(); p.SendBy != 0 {
			t.Errorf("a pool without a budget: %+v", p)
		}
		r.ObserveCapacity("a", 10)
		time.Sleep(200 * time.Millisecond)
		if p := place(); p.Pool != "a" || p.SendBy != p.DecidedAt+250_000 {
			t.Errorf("a pool with a budget: %+v", p)
		}
		time.Sleep(10 * time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		for n := 0; ; n++ { // two and a half set-ups were in hand
			if p := place(); p.Pool == "b" {
				break
			}
			if n == 2 {
				t.Fatal("a pool over its share is offered")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n := r.count.Get(telemetry.GuardStopped); n != 0 {
			t.Errorf("the guard stopped %d sends: the module was not told", n)
		}
	})
}

// A zone's spill budget is divided like a pool's: the one controller of five that spills gets what the others do not
// use, and no more than the whole is held there.
func TestSpillBudgetIsDividedAmongControllers(t *testing.T) {
	for _, c := range []struct {
		name string
		loss float64
		want [2]int // calls held in the neighbour's zone at the end, at the least and at the most
	}{
		{"the others are idle", 0, [2]int{280, 500}},
		{"nobody hears anybody: a fifth", 1, [2]int{90, 101}},
	} {
		t.Run(c.name, func(t *testing.T) {
			onFleet(t, sites[0], 5, 0, func(f *fleet) {
				_, end := f.budgets(t, c.loss)
				for _, d := range f.ds {
					router, err := routing.New(routing.Config{
						Zone: "home", Tiers: map[string][][]string{"home": {{"away"}}}, SpillBudget: 0.5,
						Window: 10_000_000, EjectionThreshold: 0.5, MinSamples: 8, FlapWindow: 1, SlowStartCapacity: 1, Nodes: 5, Classes: 1,
					}, []string{"home", "away"})
					if err != nil {
						t.Fatal(err)
					}
					d.SetRouter(router)
					d.UpdateEndpoints([]Endpoint{{UID: "h", Zone: "home", Mode: eidertrail.Draining}, {UID: "a", Zone: "away", Group: 1, Mode: eidertrail.Ready}}, true)
					d.Observe("a", LoadReport{1000, 1000})
				}
				f.procs["a"] = &fakeplatform.Processor{Work: time.Millisecond, MaxWait: time.Second}
				f.keep = true
				all := f.ds
				f.ds = f.ds[:1]
				f.offer(60, 15*time.Second)
				f.wg.Wait()
				f.ds = all
				end()
				if n := f.kinds[FinalEstablished]; n < c.want[0] || n > c.want[1] {
					t.Errorf("%d calls stand in the other zone, want %v of the 500 of its budget", n, c.want)
				}
			})
		})
	}
}
