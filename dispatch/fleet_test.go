package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
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
	name               string
	releaseWait        time.Duration
	retransmitInterval time.Duration
	slowStartWindow    time.Duration
	slowStartCapacity  float64
	overloadMultiple   float64
	overloadWindow     time.Duration
	latencyObjective   time.Duration
	deadline           time.Duration
	configured         int // controllers that the settings say there are, 0: as many as there are
}

// sites: one short of agents, with a quick release and no retransmissions, and one short of processors.
var sites = []site{
	{
		name:              "short of agents",
		releaseWait:       300 * time.Millisecond,
		slowStartWindow:   10 * time.Second,
		slowStartCapacity: 0.3,
		overloadMultiple:  3,
		overloadWindow:    1500 * time.Millisecond,
		latencyObjective:  2 * time.Second,
		deadline:          6 * time.Second,
	},
	{
		name:               "short of processors",
		releaseWait:        500 * time.Millisecond,
		retransmitInterval: 400 * time.Millisecond,
		slowStartWindow:    15 * time.Second,
		slowStartCapacity:  0.29,
		overloadMultiple:   3,
		overloadWindow:     3 * time.Second,
		latencyObjective:   1200 * time.Millisecond,
		deadline:           9 * time.Second,
	},
}

func (s site) slowStart() slowstart.Profile {
	return slowstart.Profile{
		InitialCapacity:  s.slowStartCapacity,
		Window:           s.slowStartWindow.Microseconds(),
		OverloadMultiple: s.overloadMultiple,
		OverloadWindow:   s.overloadWindow.Microseconds(),
	}
}

// settings is the settings of one of the site's controllers.
func (s site) settings(index, controllers int) eidertrail.Settings {
	configured := cmp.Or(s.configured, controllers)
	return eidertrail.Settings{
		Nodes:              configured,
		Index:              index % configured,
		OwnExchange:        -1,
		ReleaseWait:        s.releaseWait,
		RetransmitInterval: s.retransmitInterval,
		MaxAttempts:        4,
		SlowStartWindow:    s.slowStartWindow,
		SlowStartCapacity:  s.slowStartCapacity,
		OverloadMultiple:   s.overloadMultiple,
		OverloadWindow:     s.overloadWindow,
		Tick:               time.Millisecond,
		Classes: []eidertrail.Class{{
			Name:             "lookup",
			LatencyObjective: s.latencyObjective,
			Deadline:         s.deadline,
			PriorityWeight:   1,
			MeanHoldingTime:  8 * time.Second,
		}},
	}
}

// fleet is several controllers in one bubble that share fake endpoints with processors.
type fleet struct {
	site
	dispatchers []*Dispatcher
	processors  map[string]*fakeplatform.Processor
	firstChoice int           // all calls' first choice, if not 0
	keepCalls   bool          // calls stay established
	beforeCall  func()        // called before each call, if set
	leaveAfter  time.Duration // every third caller leaves after this, if not 0

	mu       sync.Mutex
	rules    *invariant.Checker
	timedOut int // attempts
	errors   []string
	finals   map[FinalKind]int
	inTime   int // calls established within the latency objective
	calls    int
	sent     map[string][]time.Time // by endpoint
	running  sync.WaitGroup         // the calls
	gossip   sync.WaitGroup         // the messages of the controllers' allocators
}

// onFleet runs test on so many controllers of the site; the endpoints p0, p1, ... are warm and listed.
func onFleet(t *testing.T, deployment site, controllers, endpoints int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		f := &fleet{
			site:       deployment,
			processors: map[string]*fakeplatform.Processor{},
			rules: invariant.New(invariant.Config{
				ReleaseWait:      deployment.releaseWait.Microseconds(),
				MaxAttempts:      2,
				AnswerTolerance:  20_000,
				AbandonTolerance: 100_000,
				SlowStart:        deployment.slowStart(),
			}),
			finals: map[FinalKind]int{},
			sent:   map[string][]time.Time{},
		}
		for i := range controllers {
			const seed = 7
			set, counters := deployment.settings(i, controllers), &telemetry.Counters{}
			d, err := New(set, seed, testMaxRetryAfter, clock.New(), zerolog.Nop(), counters)
			if err != nil {
				t.Fatal(err)
			}
			f.dispatchers = append(f.dispatchers, d)
			go d.Run(ctx)
		}
		for i := range endpoints {
			f.add(fmt.Sprintf("p%d", i), 0)
		}
		synctest.Wait()
		test(f)
		f.running.Wait()
		stop()
		time.Sleep(time.Second)
		f.rules.Finish(f.dispatchers[0].Now())
		n, violations := f.rules.Violations()
		if n > 0 || len(f.errors) > 0 || f.rules.AcceptedCalls() != f.calls {
			t.Errorf("%d calls taken of %d; %d rules broken: %v %v", f.rules.AcceptedCalls(), f.calls, n, violations, f.errors)
		}
	})
}

// add lists an endpoint of that age to every controller, 0: started long ago.
func (f *fleet) add(uid string, age time.Duration) {
	processor := &fakeplatform.Processor{
		ServiceTime:       10 * time.Millisecond,
		MaxWait:           2500 * time.Millisecond,
		SlowStartCapacity: f.slowStartCapacity,
		SlowStartWindow:   f.slowStartWindow,
		OverloadMultiple:  f.overloadMultiple,
		OverloadWindow:    f.overloadWindow,
	}
	if age > 0 {
		processor.Start(time.Now().Add(-age))
		startedAt := f.dispatchers[0].Now() - age.Microseconds()
		f.rules.EndpointStarted(startedAt, uid, float64(time.Second)/float64(processor.ServiceTime))
	}
	f.mu.Lock()
	f.processors[uid] = processor
	f.mu.Unlock()
	for _, d := range f.dispatchers {
		endpoint := Endpoint{UID: uid, Group: len(f.processors) - 1, Mode: eidertrail.Ready}
		if age > 0 {
			endpoint.StartedAt = d.Now() - age.Microseconds()
		}
		d.UpdateEndpoints([]Endpoint{endpoint}, false)
		d.Observe(uid, LoadReport{900, 1000})
	}
}

// slow has every endpoint work that many times slower than it can.
func (f *fleet) slow(times float64) {
	for _, processor := range f.processors {
		processor.SetServiceFactor(times)
	}
}

// Invite is a set-up at an endpoint: it checks every attempt against the rules.
func (f *fleet) Invite(ctx context.Context, attempt Attempt) (Leg, Ending) {
	d := f.dispatchers[0]
	f.rules.AttemptSent(d.Now(), attempt.ID, "", attempt.Endpoint)
	f.mu.Lock()
	processor := f.processors[attempt.Endpoint]
	f.sent[attempt.Endpoint] = append(f.sent[attempt.Endpoint], time.Now())
	f.mu.Unlock()
	delay, full := processor.Arrive(time.Now())
	if full {
		return nil, f.ended(attempt, ProcessorFull)
	}
	answered := time.NewTimer(delay + 5*time.Millisecond)
	defer answered.Stop()
	deadline := time.NewTimer(duration(attempt.Deadline - d.Now()))
	defer deadline.Stop()
	select {
	case <-answered.C:
		return &zoneLeg{done: make(chan struct{})}, f.ended(attempt, Answered)
	case <-deadline.C: // it still works on it, and will answer
		return nil, f.ended(attempt, TimedOut)
	case <-ctx.Done():
		return nil, f.ended(attempt, Cancelled)
	}
}

// ended is the ending of an attempt with that outcome.
func (f *fleet) ended(a Attempt, outcome Outcome) Ending {
	now := f.dispatchers[0].Now()
	f.rules.AttemptEnded(now, a.ID, outcome == TimedOut || outcome == Cancelled)
	if outcome == TimedOut {
		f.mu.Lock()
		f.timedOut++
		f.mu.Unlock()
	}
	return Ending{Outcome: outcome, At: now, Load: LoadReport{900, 1000}}
}

// place places rate calls a second on the controllers in turn, for that long.
func (f *fleet) place(rate int, period time.Duration) {
	for startedAt := time.Now(); time.Since(startedAt) < period; {
		if f.beforeCall != nil {
			f.beforeCall()
		}
		number := f.calls
		d := f.dispatchers[number%len(f.dispatchers)]
		firstChoice := cmp.Or(f.firstChoice, number/len(f.dispatchers)%max(len(f.processors), 1))
		r := Request{Call: d.NewCall(), Group: firstChoice, Deadline: d.Now() + f.deadline.Microseconds()}
		f.calls++
		f.running.Go(func() { f.serve(d, number, r) })
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// serve takes one call to its final answer.
func (f *fleet) serve(dispatcher *Dispatcher, number int, r Request) {
	id := strconv.Itoa(number)
	startedAt := time.Now()
	f.rules.CallAccepted(dispatcher.Now(), id, r.Deadline)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if f.leaveAfter > 0 && number%3 == 0 {
		timer := time.AfterFunc(f.leaveAfter, func() {
			f.rules.CallerGone(dispatcher.Now(), id)
			leave()
		})
		defer timer.Stop()
	}
	final := Serve(ctx, dispatcher, f, r, Setup{ID: id})
	if final.Kind != FinalCallerGone {
		f.rules.CallAnswered(dispatcher.Now(), id, fmt.Sprint(final.Kind))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finals[final.Kind]++
	if final.Kind != FinalEstablished {
		return
	}
	if !f.keepCalls {
		final.Call.End(CauseNormal)
	}
	if time.Since(startedAt) <= f.latencyObjective {
		f.inTime++
	}
}

// maxArrivals is the most set-ups that the endpoint got within any stretch of that length.
func (f *fleet) maxArrivals(uid string, window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	maximum, first := 0, 0
	for i, at := range f.sent[uid] {
		for at.Sub(f.sent[uid][first]) > window {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// A warming endpoint is not overloaded by what several controllers send it together, on either site, while the others
// are near full: each controller knows only how many they are, and the settings' slow start.
func TestFleet_SeveralControllersSpareAWarmingEndpoint(t *testing.T) {
	for _, s := range sites {
		for _, controllers := range []int{1, 5, 9} {
			t.Run(fmt.Sprintf("%s, %d controllers", s.name, controllers), func(t *testing.T) {
				onFleet(t, s, controllers, 2, func(f *fleet) {
					f.place(170, 5*time.Second)
					f.add("p2", 500*time.Millisecond)
					f.place(230, 2*s.slowStartWindow)
					f.running.Wait()

					if worst := f.processors["p2"].MaxLoad(); worst > 1 || worst == 0 {
						t.Errorf("the warming endpoint got %.2f of what overloads it", worst)
					}
					if ramp := f.rules.SlowStartLoad(); ramp.Starts != 1 || ramp.Sent == 0 {
						t.Errorf("%+v: the rules were not checked on the warming endpoint", ramp)
					}
					if f.finals[FinalEstablished] < f.calls*7/10 {
						t.Errorf("%d of %d calls were established", f.finals[FinalEstablished], f.calls)
					}
				})
			})
		}
	}
}

// Callers leave while their calls wait for an endpoint, and while an attempt is in flight at one that is slow: what is
// not in flight is not sent any more.
func TestFleet_NothingIsSentForCallersThatLeft(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 5, 2, func(f *fleet) {
				f.leaveAfter = 150 * time.Millisecond
				f.place(150, 2*time.Second)
				f.slow(20)
				f.place(150, 5*time.Second)
				f.slow(1)
				f.place(150, 2*time.Second)
				f.running.Wait()

				abandoned, left := f.rules.Abandoned(), f.finals[FinalCallerGone]
				t.Logf("%+v, %d have left", abandoned, left)
				if abandoned.Waiting < 20 || left <= abandoned.Waiting {
					t.Errorf("%d callers left while their call waited, of %d that left: "+
						"want 20, and some with an attempt in flight", abandoned.Waiting, left)
				}
				if abandoned.Forwarded > 0 {
					t.Errorf("%d of %d calls were sent on 0.3 s after their caller had left",
						abandoned.Forwarded, abandoned.Waiting)
				}
			})
		})
	}
}

// All endpoints turn three times slower together: calls are still established, most of what the endpoints can take, and
// the controllers open up again once they are quick.
func TestFleet_AllEndpointsSlowTogether(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 5, 3, func(f *fleet) {
				place := func(rate int, period time.Duration) (inTime, calls int) {
					f.running.Wait()
					inTimeBefore, callsBefore := f.inTime, f.calls
					f.place(rate, period)
					f.running.Wait()
					return f.inTime - inTimeBefore, f.calls - callsBefore
				}
				place(180, 10*time.Second)
				f.slow(3) // of 300 set-ups a second they take 100
				if inTime, calls := place(180, 10*time.Second); inTime < 600 {
					t.Errorf("slow: %d of %d calls were established in time, "+
						"want 600 of the 1000 that the endpoints could take", inTime, calls)
				}
				f.slow(1)
				place(180, 3*time.Second)
				if inTime, calls := place(180, 10*time.Second); inTime < calls*9/10 {
					t.Errorf("quick again: %d of %d calls were established in time", inTime, calls)
				}
			})
		})
	}
}

// An attempt timed out at an endpoint that goes on working on it and answers: the call is not sent again within the
// site's release wait, and is sent once more after it.
func TestFleet_NoRetryWithinTheSitesReleaseWait(t *testing.T) {
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			onFleet(t, s, 1, 2, func(f *fleet) {
				f.place(50, 2*time.Second) // their quickest is known: set-ups are timed
				f.slow(400)
				f.place(20, time.Second)
				f.running.Wait()

				if f.timedOut == 0 {
					t.Error("no attempt timed out")
				}
			})
		})
	}
}
