package dispatch

import (
	"cmp"
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

// gossipLoss is the part of the controllers' messages that is lost.
type gossipLoss float64

// divideBudgets has the fleet's controllers divide budgets: their allocators exchange messages with 5 ms of delay, of
// which a part is lost. The exchange ends when the returned function is called.
func (f *fleet) divideBudgets(t *testing.T, loss gossipLoss) (end func()) {
	t.Helper()
	dispatchers := f.dispatchers
	allocators := make([]*quota.SharedAllocator, len(dispatchers))
	for i, dispatcher := range dispatchers {
		allocator, err := quota.NewSharedAllocator(quota.Config{
			Self:        i,
			Members:     len(dispatchers),
			Incarnation: 1,
			OwnedUnits:  1000,
			Reserved:    250,
			TTL:         2_000_000,
			Margin:      500_000,
		}, dispatcher.Now())
		if err != nil {
			t.Fatal(err)
		}
		allocator.SetAlive(slices.Repeat([]bool{true}, len(dispatchers)))
		allocators[i] = allocator
		dispatcher.SetQuotas(quotaConfig(allocator))
	}
	random := rand.New(rand.NewPCG(1, 1))
	done := make(chan struct{})
	f.gossip.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for from, allocator := range allocators {
				for _, message := range allocator.Tick(dispatchers[from].Now()) {
					if random.Float64() >= float64(loss) {
						f.gossip.Go(func() { f.carry(dispatchers, allocators, from, message) })
					}
				}
			}
		}
	})
	return func() { close(done); f.gossip.Wait() }
}

// quotaConfig enforces the quotas of the source.
func quotaConfig(source QuotaSource) QuotaConfig {
	return QuotaConfig{Source: source, SlowStartFraction: 0.5, SendWindow: 250_000}
}

// carry carries a message between two controllers, and the answers back.
func (f *fleet) carry(dispatchers []*Dispatcher, allocators []*quota.SharedAllocator, from int, message quota.Out) {
	time.Sleep(5 * time.Millisecond)
	answers, err := allocators[message.To].Receive(dispatchers[message.To].Now(), from, message.Body)
	f.noteError(err)
	for _, answer := range answers {
		time.Sleep(5 * time.Millisecond)
		_, err := allocators[from].Receive(dispatchers[from].Now(), message.To, answer.Body)
		f.noteError(err)
	}
}

// noteError notes an error, which fails the test at its end.
func (f *fleet) noteError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errors = append(f.errors, err.Error())
}

// busyFleet is who gets the calls, what is lost, and what must come of it.
type busyFleet struct {
	name    string
	loss    gossipLoss
	busy    int  // how many controllers get the calls
	calls   int  // a second, in all
	off     bool // no budgets
	minimum int  // per cent of the calls placed that are established
}

// busyFleetCapacity is the set-ups a second that the endpoint can take.
const busyFleetCapacity = 50

// An endpoint reports the rate that it can take from all controllers. Whoever the calls come to, all controllers
// together keep to it, and one that is busy gets what the others do not use.
func TestQuotaFilter_BusyControllerBorrowsFromIdleOnes(t *testing.T) {
	for _, test := range []busyFleet{
		{"all are busy", 0, 5, 45, false, 90},
		{"one is busy", 0, 1, 45, false, 65},
		{"one is busy, a fifth of the messages is lost", 0.2, 1, 45, false, 60},
		{"no message arrives: a fifth of the rate", 1, 1, 45, false, 15},
		{"twice the rate is asked for", 0, 5, 90, false, 40},
		{"twice the rate is asked for, no budgets", 0, 5, 90, true, 90},
	} {
		t.Run(test.name, func(t *testing.T) {
			onFleet(t, sites[0], 5, 1, func(f *fleet) { test.play(t, f) })
		})
	}
}

func (b busyFleet) play(t *testing.T, f *fleet) {
	t.Helper()
	end := func() {}
	if !b.off {
		end = f.divideBudgets(t, b.loss)
	}
	all := f.dispatchers
	f.beforeCall = func() {
		for _, d := range f.dispatchers {
			d.ObserveCapacity("p0", busyFleetCapacity)
		}
	}
	f.beforeCall()
	f.dispatchers = f.dispatchers[:b.busy]
	f.place(10, 5*time.Second) // and what a start has to wait for is over
	f.running.Wait()
	establishedBefore, callsBefore := f.finals[FinalEstablished], f.calls

	f.place(b.calls, 20*time.Second)
	f.running.Wait()
	f.dispatchers = all
	end()

	established := 100 * (f.finals[FinalEstablished] - establishedBefore) / (f.calls - callsBefore)
	maximum := f.maxArrivals("p0", time.Second)
	t.Logf("%d%% of the calls were established, most in a second %d", established, maximum)
	if established < b.minimum {
		t.Errorf("%d%% of the calls were established, want %d%%", established, b.minimum)
	}
	if (maximum > busyFleetCapacity*5/4+len(f.dispatchers)) != b.off {
		t.Errorf("%d set-ups in one second, the endpoint takes %d", maximum, busyFleetCapacity)
	}
	if b.loss == 1 && established > 40 {
		t.Errorf("%d%% were established with no message: more than a fifth of the rate was used", established)
	}
}

// The most that is ever sent to a warming endpoint by five controllers together, as a part of what overloads it, with
// budgets and without. The module alone divides by how many controllers the settings say there are; where they say too
// few, as when a fleet has grown, only the budgets hold.
func TestQuotaFilter_BudgetOfAWarmingEndpoint(t *testing.T) {
	for _, test := range []struct {
		configured int // controllers that the settings say there are, 0: as many as there are
		budgets    bool
	}{{0, false}, {0, true}, {1, false}, {1, true}} {
		name := fmt.Sprintf("budgets %v, controllers configured %d", test.budgets, cmp.Or(test.configured, 5))
		t.Run(name, func(t *testing.T) {
			s := sites[1]
			s.configured = test.configured
			onFleet(t, s, 5, 2, func(f *fleet) {
				end := func() {}
				if test.budgets {
					end = f.divideBudgets(t, 0.1)
				}
				f.place(170, 5*time.Second)
				f.add("p2", 500*time.Millisecond)
				f.firstChoice = 2
				f.place(230, 2*f.slowStartWindow)
				f.running.Wait()
				end()

				worst := f.processors["p2"].MaxLoad()
				t.Logf("most sent to the warming endpoint: %.2f of what overloads it; %d of %d calls were established; "+
					"sent p0 %d p1 %d p2 %d",
					worst, f.finals[FinalEstablished], f.calls, len(f.sent["p0"]), len(f.sent["p1"]), len(f.sent["p2"]))
				if worst == 0 || worst > 0.6 && test.budgets || worst > 1 && test.configured == 0 {
					t.Errorf("the warming endpoint got %.2f of what overloads it", worst)
				}
			})
		})
	}
}

// pickAndAnswer has a call sent and answered, and returns the decision.
func (r *rig) pickAndAnswer() Decision {
	r.t.Helper()
	q := r.request(0, time.Second)
	decision := r.pick(q)
	r.Report(Result{Call: q.Call, Endpoint: decision.Endpoint, Outcome: Answered, Took: 20_000, Load: UnknownLoad})
	return decision
}

// A decision under a budget carries by when its set-up must have left; others carry none.
func TestQuotaFilter_DecisionUnderABudgetCarriesSendBy(t *testing.T) {
	onRig(t, func(r *rig) {
		if decision := r.pickAndAnswer(); decision.SendBy != 0 {
			t.Errorf("without budgets %+v", decision)
		}
		allocator, err := quota.NewSharedAllocator(quota.Config{
			Members: 1, OwnedUnits: 1000, TTL: 2_000_000, Margin: 500_000,
		}, r.Now()-3_000_000)
		if err != nil {
			t.Fatal(err)
		}
		cfg := quotaConfig(allocator)
		r.SetQuotas(cfg)
		if decision := r.pickAndAnswer(); decision.SendBy != 0 {
			t.Errorf("an endpoint without a budget: %+v", decision)
		}
		r.ObserveCapacity("a", 10)
		time.Sleep(200 * time.Millisecond)
		if decision := r.pickAndAnswer(); decision.Endpoint != "a" || decision.SendBy != decision.DecidedAt+cfg.SendWindow {
			t.Errorf("an endpoint with a budget: %+v", decision)
		}
		time.Sleep(20 * time.Millisecond)
		for sent := 0; ; sent++ { // two and a half set-ups may be sent at once
			if decision := r.pickAndAnswer(); decision.Endpoint == "b" {
				break
			}
			if sent == 2 {
				t.Fatal("an endpoint over its quota is offered")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if stopped := r.counters.Get(telemetry.GuardStopped); stopped != 0 {
			t.Errorf("the guard stopped %d sends: the module was not notified", stopped)
		}
	})
}

// A zone's spill budget is divided like an endpoint's: the one controller of five that spills gets what the others do
// not use, and no more than the total is established there.
func TestQuotaFilter_SpillBudgetIsDividedAmongControllers(t *testing.T) {
	for _, test := range []struct {
		name             string
		loss             gossipLoss
		minimum, maximum int // calls established in the neighbour's zone at the end
	}{
		{"the others are idle", 0, 280, 500},
		{"no message arrives: a fifth", 1, 90, 101},
	} {
		t.Run(test.name, func(t *testing.T) {
			onFleet(t, sites[0], 5, 0, func(f *fleet) {
				end := f.divideBudgets(t, test.loss)
				for _, d := range f.dispatchers {
					spillToNeighbour(t, d)
				}
				f.processors["a"] = &fakeplatform.Processor{ServiceTime: time.Millisecond, MaxWait: time.Second}
				f.keepCalls = true
				all := f.dispatchers
				f.dispatchers = f.dispatchers[:1]
				f.place(60, 15*time.Second)
				f.running.Wait()
				f.dispatchers = all
				end()

				if established := f.finals[FinalEstablished]; established < test.minimum || established > test.maximum {
					t.Errorf("%d calls are established in the other zone, want %d to %d of the 500 of its budget",
						established, test.minimum, test.maximum)
				}
			})
		})
	}
}

// spillToNeighbour gives a controller a zone whose endpoint drains, and a neighbour with a spill budget.
func spillToNeighbour(t *testing.T, dispatcher *Dispatcher) {
	t.Helper()
	router, err := routing.New(routing.Config{
		Zone:              "home",
		PriorityLevels:    map[string][][]string{"home": {{"away"}}},
		SpillBudget:       0.5,
		Window:            10_000_000,
		EjectionThreshold: 0.5,
		MinSamples:        8,
		FlapWindow:        1,
		SlowStartCapacity: 1,
		Nodes:             5,
		Classes:           1,
	}, []string{"home", "away"})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.SetRouter(router)
	dispatcher.UpdateEndpoints([]Endpoint{
		{UID: "h", Zone: "home", Mode: eidertrail.Draining},
		{UID: "a", Zone: "away", Group: 1, Mode: eidertrail.Ready},
	}, true)
	dispatcher.Observe("a", LoadReport{1000, 1000})
}
