package dispatch_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/routing"
)

// health is how an endpoint takes set-ups.
type health int

const (
	healthy health = iota
	slow
	unreachable // no connection
	hanging     // no answer and no load reports
	overloaded
)

// modelEndpoint is an endpoint as the generator knows it.
type modelEndpoint struct {
	dispatch.Endpoint
	health health
	agents int
	busy   int
}

func (e *modelEndpoint) load() dispatch.LoadReport {
	return dispatch.LoadReport{Free: float64(max(0, e.agents-e.busy)), Agents: float64(e.agents)}
}

// modelCall is a call as the generator knows it.
type modelCall struct {
	dispatch.Request
	ended    bool // its final answer came, its caller has left, or it was established and has ended
	inFlight *dispatch.Decision
	endpoint *modelEndpoint
}

// event is something that happens at a time; those of one time run in the order in which they were planned.
type event struct {
	at  int64
	run func()
}

// world is the random surroundings of one engine.
type world struct {
	scenario
	random      *rand.Rand
	engine      *dispatch.Engine
	counters    dispatch.Counters
	log         bytes.Buffer
	quotaSource *fleetQuotas
	now         int64
	planned     []event
	endpoints   []*modelEndpoint
	calls       uint64
	digest      *digest
	decided     [3]int // decisions, by kind: send, reject, fail
	final       []uint64
	routed      bool
}

func newWorld(t *testing.T, conditions scenario, seed uint64) *world {
	t.Helper()
	w := &world{
		scenario:    conditions,
		random:      rand.New(rand.NewPCG(seed, 4)),
		now:         100 * second,
		quotaSource: &fleetQuotas{demands: map[string]int{}},
	}
	var err error
	log := zerolog.New(&w.log).Level(zerolog.InfoLevel)
	w.engine, err = dispatch.NewEngine(conditions.settings, seed, 2*second, log, &w.counters)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 9 {
		w.endpoints = append(w.endpoints, &modelEndpoint{agents: 4, Endpoint: dispatch.Endpoint{
			UID: fmt.Sprintf("p%d", i), Group: i % 3,
			Zone: [...]string{"batumi", "tbilisi", "kutaisi", "batumi", "gori"}[i%5], Mode: eidertrail.Ready,
		}})
	}
	w.engine.UpdateEndpoints(w.now, w.listed(), true)
	w.route(t)
	if conditions.quotas {
		w.engine.SetQuotas(w.now, dispatch.QuotaConfig{
			Source: w.quotaSource, SlowStartFraction: 0.5, SendWindow: 250 * millisecond,
		})
	}
	w.plan(w.now, w.arrive)
	w.plan(w.now+second, func() { w.change(t) })
	for _, endpoint := range w.endpoints {
		w.plan(w.now+w.random.Int64N(500*millisecond), func() { w.reportLoad(endpoint) })
	}
	return w
}

// route gives the engine a new router, or none.
func (w *world) route(t *testing.T) {
	t.Helper()
	if w.routing == nil || w.routed && w.toggled {
		w.engine.SetRouter(w.now, nil)
		w.routed = false
		return
	}
	router, err := routing.New(*w.routing, []string{"batumi", "tbilisi", "kutaisi"})
	if err != nil {
		t.Fatal(err)
	}
	w.engine.SetRouter(w.now, router)
	w.routed = true
}

// fleetQuotas are a fleet's quotas that change with time.
type fleetQuotas struct{ demands map[string]int }

func (f *fleetQuotas) Quota(now int64, pool string) (units, total int) {
	return 250 * int((now/(5*second)+int64(pool[len(pool)-1]))%5), 1000
}

func (f *fleetQuotas) Demand(_ int64, pool string, units int) { f.demands[pool] = units }

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// plan has something run at a time, after all that is planned for it already.
func (w *world) plan(at int64, run func()) {
	at = max(at, w.now)
	i := len(w.planned)
	for i > 0 && w.planned[i-1].at > at {
		i--
	}
	w.planned = slices.Insert(w.planned, i, event{at, run})
}

func (w *world) listed() []dispatch.Endpoint {
	var list []dispatch.Endpoint
	for _, endpoint := range w.endpoints {
		if endpoint.Mode != eidertrail.Removed {
			list = append(list, endpoint.Endpoint)
		}
	}
	return list
}

// arrive enters a new call and plans the next, in bursts at times.
func (w *world) arrive() {
	gap := w.random.ExpFloat64() / w.rate
	if w.now/(4*second)%3 == 0 {
		gap /= 3
	}
	w.plan(w.now+int64(gap*1e6), w.arrive)
	w.calls++
	call := &modelCall{Request: dispatch.Request{
		Call: w.calls, Class: w.random.IntN(len(w.settings.Classes)), Group: w.random.IntN(5) - 1,
		Key: w.random.Uint64N(50), Deadline: w.now + 200*millisecond + w.random.Int64N(4*second),
	}}
	if w.chance(0.01) {
		call.Deadline = w.now - w.random.Int64N(10*millisecond)
	}
	w.engine.Submit(w.now, call.Request, &decider{w, call})
	if w.chance(0.08) {
		w.plan(w.now+w.random.Int64N(2*second), func() { w.leave(call) })
	}
}

// leave has the caller of a call leave.
func (w *world) leave(call *modelCall) {
	switch {
	case call.ended:
	case call.inFlight == nil:
		call.ended = true
		w.engine.Withdraw(w.now, call.Call)
	default:
		w.report(call, dispatch.Cancelled, true)
	}
}

// decider notes the decisions for a call and plans what becomes of it.
type decider struct {
	*world
	call *modelCall
}

// Decide implements dispatch.Decider.
func (w *decider) Decide(decision dispatch.Decision) {
	w.noteDecision(w.call, decision)
	if decision.Kind != dispatch.DecisionSend {
		w.call.ended = true
		w.final = append(w.final, w.call.Call)
		return
	}
	w.call.inFlight = &decision
	i := slices.IndexFunc(w.endpoints, func(endpoint *modelEndpoint) bool { return endpoint.UID == decision.Endpoint })
	w.call.endpoint = w.endpoints[i]
	after, outcome := w.fate(w.call.endpoint)
	if limit := decision.Timeout; limit > 0 && after >= limit {
		after, outcome = limit, dispatch.TimedOut
	}
	if decision.DecidedAt+after >= w.call.Deadline {
		after, outcome = max(0, w.call.Deadline-decision.DecidedAt), dispatch.TimedOut
	}
	call, attempt := w.call, decision.Attempt
	w.plan(w.now+after, func() {
		if call.inFlight != nil && call.inFlight.Attempt == attempt {
			w.end(call, outcome)
		}
	})
}

// fate is when and how a set-up to the endpoint ends.
func (w *world) fate(endpoint *modelEndpoint) (after int64, outcome dispatch.Outcome) {
	quick := 5*millisecond + w.random.Int64N(30*millisecond)
	switch {
	case endpoint.health == unreachable:
		return quick, dispatch.ConnectFailed
	case endpoint.health == hanging:
		return 30 * second, dispatch.TimedOut
	case endpoint.health == overloaded && w.chance(0.6):
		return quick, dispatch.ProcessorFull
	case endpoint.busy >= endpoint.agents:
		return quick, dispatch.NoAgent
	}
	switch w.random.IntN(60) {
	case 0:
		return quick, dispatch.Errored
	case 1:
		return quick, dispatch.LinesBusy
	case 2:
		return quick, dispatch.Reset
	case 3:
		return 0, dispatch.NotSent
	}
	if endpoint.health == slow {
		return 400*millisecond + w.random.Int64N(2*second), dispatch.Answered
	}
	return quick + w.random.Int64N(100*millisecond), dispatch.Answered
}

// end reports how an attempt ended, or that it was answered; then the end of the call is planned.
func (w *world) end(call *modelCall, outcome dispatch.Outcome) {
	if outcome != dispatch.Answered {
		w.report(call, outcome, false)
		return
	}
	call.endpoint.busy++
	w.passOn(call, dispatch.Answered, false)
	if w.chance(0.01) { // reported twice
		w.passOn(call, dispatch.Answered, false)
	}
	attempt := call.inFlight.Attempt
	call.inFlight, call.ended = nil, true
	endpoint := call.endpoint
	w.plan(w.now+int64(w.random.ExpFloat64()*2e6), func() {
		endpoint.busy--
		outcome := dispatch.Ended
		if w.chance(0.03) {
			outcome = dispatch.Reset
		}
		w.engine.Report(w.now, dispatch.Result{
			Call:     call.Call,
			Attempt:  attempt,
			Endpoint: endpoint.UID,
			Outcome:  outcome,
			Took:     2 * second,
			Load:     endpoint.load(),
		})
	})
}

// report reports how an attempt ended that was not answered; the call wants another, or its caller has left.
func (w *world) report(call *modelCall, outcome dispatch.Outcome, left bool) {
	w.passOn(call, outcome, left)
	call.inFlight, call.ended = nil, left
	if !left && w.chance(0.9) { // as Serve does; the engine knows the call already
		w.engine.Submit(w.now, call.Request, &decider{w, call})
	}
}

func (w *world) passOn(call *modelCall, outcome dispatch.Outcome, left bool) {
	state := call.endpoint.load()
	if outcome == dispatch.ConnectFailed || outcome == dispatch.TimedOut || w.chance(0.3) {
		state = dispatch.UnknownLoad
	}
	w.engine.Report(w.now, dispatch.Result{
		Call: call.Call, Attempt: call.inFlight.Attempt, Endpoint: call.endpoint.UID, Outcome: outcome,
		Took: w.now - call.inFlight.DecidedAt, Load: state, CallerGone: left,
	})
}

// reportLoad has an endpoint report its load unasked, and plans the next time.
func (w *world) reportLoad(endpoint *modelEndpoint) {
	w.plan(w.now+900*millisecond+w.random.Int64N(100*millisecond), func() { w.reportLoad(endpoint) })
	if endpoint.health == hanging || endpoint.Mode != eidertrail.Ready && w.chance(0.7) {
		return
	}
	w.engine.Observe(w.now, endpoint.UID, endpoint.load())
	if w.chance(0.3) {
		w.engine.ObserveCapacity(w.now, endpoint.UID, float64(1+w.random.IntN(20)))
	}
}

// change changes endpoints' health and the list, and at times does what is odd.
func (w *world) change(t *testing.T) {
	t.Helper()
	w.plan(w.now+w.random.Int64N(2*second), func() { w.change(t) })
	endpoint := w.endpoints[w.random.IntN(len(w.endpoints))]
	switch w.random.IntN(20) {
	case 14, 15, 16, 17, 18, 19: // all faults pass
		for _, other := range w.endpoints {
			other.health = healthy
			if other.Mode != eidertrail.Ready {
				other.Mode, other.StartedAt = eidertrail.Ready, w.now-w.random.Int64N(20*second)
			}
		}
		w.engine.UpdateEndpoints(w.now, w.listed(), true)
	case 0, 1, 2:
		endpoint.health = health(w.random.IntN(5))
	case 3: // a whole zone
		state := health(w.random.IntN(5))
		for _, other := range w.endpoints {
			if other.Zone == endpoint.Zone {
				other.health = state
			}
		}
	case 4, 5, 6:
		for _, other := range w.endpoints {
			other.health = healthy
		}
	case 7:
		endpoint.Mode = eidertrail.Draining
		w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{endpoint.Endpoint}, false)
	case 8:
		endpoint.Mode = eidertrail.Removed
		w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{endpoint.Endpoint}, false)
	case 9, 10: // it comes back as a new process
		if endpoint.Mode != eidertrail.Ready {
			endpoint.Mode, endpoint.StartedAt, endpoint.health = eidertrail.Ready, w.now-w.random.Int64N(second), healthy
			w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{endpoint.Endpoint}, false)
		}
	case 11:
		w.engine.UpdateEndpoints(w.now, w.listed(), true)
	case 12:
		if w.toggled {
			w.route(t)
		}
	case 13:
		w.odd()
	}
}

// odd reports on calls and endpoints that the engine does not know.
func (w *world) odd() {
	w.engine.Observe(w.now, "nobody", dispatch.LoadReport{Free: 1, Agents: 2})
	w.engine.ObserveCapacity(w.now, "nobody", 3)
	w.engine.Withdraw(w.now, w.calls+1000)
	w.engine.Report(w.now, dispatch.Result{
		Call: w.calls + 1000, Endpoint: "p1", Outcome: dispatch.Ended, Load: dispatch.UnknownLoad,
	})
	w.engine.Report(w.now, dispatch.Result{
		Call: w.calls, Attempt: 7, Endpoint: "p1", Outcome: dispatch.TimedOut, Load: dispatch.UnknownLoad,
	})
	w.engine.Forget(w.calls + 1000)
}

// step moves time on to what is planned or due next, lets it run and mostly steps the engine.
func (w *world) step(d *digest) {
	w.digest = d
	due := w.engine.NextDue(w.now)
	d.number(due)
	if due > 0 && due < w.planned[0].at {
		// A loop is late, by up to some milliseconds: not only the frequent wake-ups of the module are due then.
		w.now = max(w.now, min(due+w.random.Int64N(20*millisecond), w.planned[0].at))
	} else {
		next := w.planned[0]
		w.planned = slices.Delete(w.planned, 0, 1)
		w.now = max(w.now, next.at)
		next.run()
		if w.chance(0.1) {
			return // what comes next is decided on together with it
		}
	}
	w.engine.Step(w.now)
	for _, call := range w.final {
		w.engine.Forget(call)
	}
	w.final = w.final[:0]
	w.noteRest()
}

func (w *world) noteDecision(call *modelCall, decision dispatch.Decision) {
	results := w.digest
	results.number(w.now)
	results.number(int64(call.Call))
	switch decision.Kind {
	case dispatch.DecisionSend:
		results.text("go")
		w.decided[0]++
	case dispatch.DecisionReject:
		results.text("refused")
		w.decided[1]++
	case dispatch.DecisionFail:
		results.text("failed")
		w.decided[2]++
	}
	results.text(decision.Endpoint)
	for _, n := range []int64{
		int64(decision.Attempt), decision.Timeout, decision.DecidedAt, decision.SendBy, decision.RetryAfter,
	} {
		results.number(n)
	}
	results.flag(decision.NoAgentFree)
}

// noteRest notes what the engine logged in the step, whose lines may come in any order, and its demand for quotas.
func (w *world) noteRest() {
	lines := strings.Split(asRecorded(w.log.String()), "\n")
	w.log.Reset()
	slices.Sort(lines)
	for _, line := range lines {
		w.digest.text(line)
	}
	for _, pool := range slices.Sorted(maps.Keys(w.quotaSource.demands)) {
		w.digest.text(pool)
		w.digest.number(int64(w.quotaSource.demands[pool]))
	}
	clear(w.quotaSource.demands)
}

// asRecorded gives log messages and fields the words that they had when the digests were recorded.
func asRecorded(log string) string {
	return strings.NewReplacer(
		`"message":"pool stopped reporting"`, `"message":"pool tells its state no more"`,
		`"message":"quota changed"`, `"message":"share"`,
		`,"total":`, `,"whole":`,
	).Replace(log)
}

// counted is a line of the counters that are not 0, by name.
func (w *world) counted(name string) string {
	var b strings.Builder
	b.WriteString(name + "/counters")
	counters := w.counters.Snapshot().Counters
	for _, counter := range slices.Sorted(maps.Keys(counters)) {
		if n := counters[counter]; n != 0 {
			fmt.Fprintf(&b, " %s=%d", counter, n)
		}
	}
	return b.String() + "\n"
}

func TestCharacterization_EngineDecisions(t *testing.T) {
	var got strings.Builder
	for i, conditions := range scenarios() {
		w := newWorld(t, conditions, uint64(i+1))
		name := strings.ReplaceAll(conditions.name, " ", "-")
		got.WriteString(digestInTenths(name, 8_000, w.step))
		got.WriteString(w.counted(name))
		t.Logf("%s: %d calls in %d s; decisions: %d send, %d reject, %d fail",
			conditions.name, w.calls, w.now/second, w.decided[0], w.decided[1], w.decided[2])
	}
	recorded.Compare(t, "engine-decisions.txt", got.String())
}
