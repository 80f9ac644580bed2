package dispatch

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/invariant"
	"eidertrail/internal/routing"
	"eidertrail/internal/slowstart"
	"eidertrail/internal/telemetry"
)

// zoneModel models four zones of two endpoints each, behind one inviter: a zone can fail (connections fail after
// 20 ms), and come back warming up (answers slow and few agents at first, all of them after a warm-up of its own). It
// checks the rules of the wire on every attempt: one in flight at a time, two attempts at most, the wait after a
// time-out, reset or cancel.
type zoneModel struct {
	dispatcher      *Dispatcher
	mu              sync.Mutex
	zoneOf          map[string]string
	failed          map[string]bool
	returnedAt      map[string]time.Time // the zone came back then, warming up
	inFlight        map[string]int       // set-ups in flight and established calls, by endpoint
	rules           *invariant.Checker
	beyondSlowStart int // set-ups for which a warming endpoint had no capacity
	toWarming       int // set-ups sent to warming endpoints
	atHome          int // calls answered in batumi while it was up and warm
}

const (
	zoneAgents          = 20
	zoneSlowStart       = 10 * time.Second // the model's own warm-up
	zoneSlowStartAgents = 3                // at its beginning
	zoneHoldingTime     = 2 * time.Second
	zoneRunTime         = 30 * time.Second
	zoneCallInterval    = 50 * time.Millisecond
	zoneCallsDeadline   = 6 * time.Second
	// zonePromptAnswer is within what time most calls are to be established while a zone has failed.
	zonePromptAnswer = 1500 * time.Millisecond
)

// zoneNames are the zones; batumi is the controller's own.
var zoneNames = []string{"batumi", "tbilisi", "kutaisi", "telavi"}

func newZoneModel(d *Dispatcher) *zoneModel {
	model := &zoneModel{
		dispatcher: d,
		zoneOf:     map[string]string{},
		failed:     map[string]bool{},
		returnedAt: map[string]time.Time{},
		inFlight:   map[string]int{},
		rules: invariant.New(invariant.Config{
			ReleaseWait:      300_000,
			MaxAttempts:      2,
			AnswerTolerance:  20_000,
			AbandonTolerance: 100_000,
			SlowStart: slowstart.Profile{
				InitialCapacity:  float64(zoneSlowStartAgents) / zoneAgents,
				Window:           zoneSlowStart.Microseconds(),
				OverloadMultiple: 3,
				OverloadWindow:   1_500_000,
			},
		}),
	}
	for _, zone := range zoneNames {
		for _, number := range []string{"1", "2"} {
			model.zoneOf[zone[:2]+number] = zone
		}
	}
	return model
}

func (z *zoneModel) endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(z.zoneOf))
	for uid, zone := range z.zoneOf {
		endpoints = append(endpoints, Endpoint{UID: uid, Zone: zone, Mode: eidertrail.Ready})
	}
	return endpoints
}

// capacity is how many calls an endpoint of the zone can take now.
func (z *zoneModel) capacity(zone string) int {
	returnedAt, returned := z.returnedAt[zone]
	if !returned || time.Since(returnedAt) >= zoneSlowStart {
		return zoneAgents
	}
	grown := float64(zoneAgents-zoneSlowStartAgents) * float64(time.Since(returnedAt)) / float64(zoneSlowStart)
	return zoneSlowStartAgents + int(grown)
}

// arrival is how a set-up finds its endpoint.
type arrival struct {
	zone                  string
	failed, warming, full bool
	free                  float64
}

// accepted reports whether the endpoint takes the set-up.
func (a arrival) accepted() bool { return !a.failed && !a.full }

// arrive has a set-up arrive at its endpoint.
func (z *zoneModel) arrive(uid string) arrival {
	z.mu.Lock()
	defer z.mu.Unlock()
	zone := z.zoneOf[uid]
	capacity := z.capacity(zone)
	arrived := arrival{
		zone:    zone,
		failed:  z.failed[zone],
		warming: capacity < zoneAgents,
		full:    z.inFlight[uid] >= capacity,
	}
	if arrived.warming {
		z.toWarming++
	}
	if arrived.full && arrived.warming {
		z.beyondSlowStart++
	}
	if arrived.accepted() {
		z.inFlight[uid]++
	}
	arrived.free = float64(capacity - z.inFlight[uid])
	return arrived
}

func (z *zoneModel) Invite(ctx context.Context, attempt Attempt) (Leg, Ending) {
	z.rules.AttemptSent(z.dispatcher.Now(), attempt.ID, "", attempt.Endpoint)
	arrived := z.arrive(attempt.Endpoint)
	end := func(outcome Outcome) Ending {
		z.rules.AttemptEnded(z.dispatcher.Now(), attempt.ID, outcome == Cancelled)
		return Ending{
			Outcome: outcome,
			At:      z.dispatcher.Now(),
			Load:    LoadReport{Free: arrived.free, Agents: zoneAgents},
		}
	}
	delay := 20 * time.Millisecond
	if arrived.warming {
		delay = 200 * time.Millisecond
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		if arrived.accepted() {
			z.release(attempt.Endpoint)
		}
		return nil, end(Cancelled)
	}
	switch {
	case arrived.failed:
		return nil, end(ConnectFailed)
	case arrived.full:
		return nil, end(NoAgent)
	default:
		return z.establish(attempt.Endpoint, arrived), end(Answered)
	}
}

// establish answers a set-up; the call ends after its holding time.
func (z *zoneModel) establish(uid string, arrived arrival) *zoneLeg {
	z.mu.Lock()
	defer z.mu.Unlock()
	if arrived.zone == "batumi" && !arrived.warming {
		z.atHome++
	}
	leg := &zoneLeg{done: make(chan struct{})}
	go func() {
		select {
		case <-time.After(zoneHoldingTime):
		case <-leg.released():
		}
		z.release(uid)
		close(leg.done)
	}()
	return leg
}

func (z *zoneModel) release(uid string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.inFlight[uid]--
}

// setFailed has batumi fail, or come back warming up.
func (z *zoneModel) setFailed(failed bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.failed["batumi"] && !failed {
		z.returnedAt["batumi"] = time.Now()
		for uid, zone := range z.zoneOf {
			if zone == "batumi" {
				z.rules.EndpointStarted(z.dispatcher.Now(), uid, zoneAgents/zoneHoldingTime.Seconds())
			}
		}
	}
	z.failed["batumi"] = failed
}

type zoneLeg struct {
	done        chan struct{}
	releaseOnce sync.Once
	mu          sync.Mutex
	release     chan struct{}
}

// released is closed when the caller has released the call.
func (l *zoneLeg) released() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.release == nil {
		l.release = make(chan struct{})
	}
	return l.release
}

func (l *zoneLeg) SDP() string           { return "v=0\r\n" }
func (l *zoneLeg) Done() <-chan struct{} { return l.done }
func (l *zoneLeg) Ending() Ending {
	return Ending{Outcome: Ended, Load: UnknownLoad, Cause: CauseNormal}
}
func (l *zoneLeg) Release(int) { l.releaseOnce.Do(func() { close(l.released()) }) }

// outage is a time in which batumi has failed; it comes back at its end, warming up.
type outage struct{ from, to time.Duration }

// zonePlan is what happens in a run of 30 s with a call every 50 ms, each established for 2 s.
type zonePlan struct {
	routed     bool
	outages    []outage
	reserved   int           // agents of each endpoint of the first tier that others' calls hold throughout
	leaveAfter time.Duration // every third caller leaves after this, if not 0
}

// oneOutage is batumi failing for 10 s.
func oneOutage() []outage { return []outage{{5 * time.Second, 15 * time.Second}} }

// isFailed reports whether batumi has failed at that time of the run.
func (p zonePlan) isFailed(at time.Duration) bool {
	for _, o := range p.outages {
		if at >= o.from && at < o.to {
			return true
		}
	}
	return false
}

// zoneResult is what was seen in one run of a zonePlan.
type zoneResult struct {
	duringOutage int // calls placed while batumi had failed
	prompt       int // of them, established within zonePromptAnswer
	rejected     int // of them, rejected or failed

	calls, established, left           int
	toWarming, beyondSlowStart, atHome int
	violations                         []string
	abandoned                          invariant.AbandonedRequests
	ramp                               invariant.SlowStartLoad
	routing                            routing.Counts
}

func (r zoneResult) String() string {
	return fmt.Sprintf("calls %d, established %d; while batumi had failed %d, established within 1.5 s %d (%.0f%%), "+
		"rejected %d; set-ups to warming endpoints %d, with no capacity there %d; answered at home while it was up %d; "+
		"zones ejected %d",
		r.calls, r.established, r.duringOutage, r.prompt, 100*float64(r.prompt)/float64(max(r.duringOutage, 1)),
		r.rejected, r.toWarming, r.beyondSlowStart, r.atHome, r.routing.ZonesEjected)
}

// zoneRun is a run of a zonePlan.
type zoneRun struct {
	plan       zonePlan
	dispatcher *Dispatcher
	model      *zoneModel
	startedAt  time.Time
	running    sync.WaitGroup
	mu         sync.Mutex // of result
	result     zoneResult
}

// runZones plays the plan.
func runZones(t *testing.T, plan zonePlan) zoneResult {
	t.Helper()
	var result zoneResult
	synctest.Test(t, func(t *testing.T) {
		d, err := New(zoneSettings(), 1, testMaxRetryAfter, clock.New(), traceLog(), &telemetry.Counters{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go d.Run(ctx)
		run := &zoneRun{plan: plan, dispatcher: d, model: newZoneModel(d)}
		result = run.play(t)
	})
	return result
}

// zoneSettings are the settings of the one class stop-sell.
func zoneSettings() eidertrail.Settings {
	set := settings()
	set.Classes = []eidertrail.Class{{
		Name:             "stop-sell",
		LatencyObjective: zonePromptAnswer,
		Deadline:         zoneCallsDeadline,
		PriorityWeight:   5,
		MeanHoldingTime:  zoneHoldingTime,
		Idempotency:      eidertrail.Idempotent,
	}}
	return set
}

// traceLog logs to standard error where EIDERTRAIL_TRACE is set.
func traceLog() zerolog.Logger {
	if os.Getenv("EIDERTRAIL_TRACE") != "" {
		return zerolog.New(os.Stderr)
	}
	return zerolog.Nop()
}

// play plays the plan of the run.
func (run *zoneRun) play(t *testing.T) zoneResult {
	t.Helper()
	model := run.model
	run.dispatcher.UpdateEndpoints(model.endpoints(), true)
	for uid, zone := range model.zoneOf {
		if zone == "tbilisi" || zone == "kutaisi" {
			model.inFlight[uid] = run.plan.reserved
		}
	}
	var router *routing.Router
	if run.plan.routed {
		router = newZoneRouter(t)
		run.dispatcher.SetRouter(router)
	}
	run.startedAt = time.Now()
	for number := 0; time.Since(run.startedAt) < zoneRunTime; number++ {
		model.setFailed(run.plan.isFailed(time.Since(run.startedAt)))
		run.running.Go(func() { run.serve(number) })
		time.Sleep(zoneCallInterval)
	}
	run.running.Wait()
	model.rules.Finish(run.dispatcher.Now())
	result := run.result
	_, result.violations = model.rules.Violations()
	result.abandoned, result.ramp = model.rules.Abandoned(), model.rules.SlowStartLoad()
	result.toWarming, result.beyondSlowStart, result.atHome = model.toWarming, model.beyondSlowStart, model.atHome
	if router != nil {
		result.routing = router.Counts()
	}
	return result
}

func newZoneRouter(t *testing.T) *routing.Router {
	t.Helper()
	router, err := routing.New(routing.Config{
		Zone:              "batumi",
		PriorityLevels:    map[string][][]string{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}},
		SpillBudget:       0.5,
		Window:            10_000_000,
		EjectionThreshold: 0.5,
		MinSamples:        4,
		EjectionTime:      5_000_000,
		MaxEjectionTime:   40_000_000,
		SpillDelay:        100_000,
		FlapWindow:        60_000_000,
		SlowStartWindow:   10_000_000,
		SlowStartCapacity: 0.1,
		Nodes:             1,
		Classes:           1,
	}, zoneNames)
	if err != nil {
		t.Fatal(err)
	}
	return router
}

// serve takes one call to its end.
func (run *zoneRun) serve(number int) {
	dispatcher, rules, id := run.dispatcher, run.model.rules, strconv.Itoa(number)
	placedAt := time.Since(run.startedAt)
	deadline := dispatcher.Now() + zoneCallsDeadline.Microseconds()
	r := Request{Call: dispatcher.NewCall(), Class: 0, Group: -1, Deadline: deadline}
	rules.CallAccepted(dispatcher.Now(), id, r.Deadline)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if run.plan.leaveAfter > 0 && number%3 == 0 {
		timer := time.AfterFunc(run.plan.leaveAfter, func() {
			rules.CallerGone(dispatcher.Now(), id)
			leave()
		})
		defer timer.Stop()
	}
	final := Serve(ctx, dispatcher, run.model, r, Setup{ID: id})
	if final.Kind != FinalCallerGone {
		rules.CallAnswered(dispatcher.Now(), id, fmt.Sprint(final.Kind))
	}
	run.count(final, placedAt, time.Since(run.startedAt)-placedAt)
	if final.Kind == FinalEstablished {
		final.Call.WaitEnd(context.Background(), nil)
	}
}

// count counts the final answer to a call that was placed at that time of the run and answered after delay.
func (run *zoneRun) count(final Final, placedAt, delay time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	result := &run.result
	duringOutage := run.plan.isFailed(placedAt)
	result.calls++
	if duringOutage {
		result.duringOutage++
	}
	switch final.Kind {
	case FinalEstablished:
		result.established++
		if duringOutage && delay <= zonePromptAnswer {
			result.prompt++
		}
	case FinalCallerGone:
		result.left++
	case FinalNoAgent, FinalCongestion, FinalTimedOut, FinalMayHaveRun:
		if duringOutage {
			result.rejected++
		}
	}
}
