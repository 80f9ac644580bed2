// These are characterisation tests: they record what the engine decides and what the desk tells callers today, so that a
// change of names or structure can be shown to change none of it. The recorded digests and transcripts are in
// testdata/characterization. After a purposeful change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./dispatch -run TestCharacterization
//
// and the commit has to say why they changed.
package dispatch_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/routing"
)

// recorded is the directory of the recorded results.
const recorded = "testdata/characterization"

// compareWithRecorded compares the text of a run with the recorded file, or writes the file when EIDERTRAIL_UPDATE is 1.
func compareWithRecorded(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join(recorded, file)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(recorded, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) || line != wantLines[i] {
			t.Fatalf("%s: first difference in line %d:\ngot  %s\nwant %s", path, i+1, line, strings.Join(wantLines[i:min(i+1, len(wantLines))], ""))
		}
	}
	t.Fatalf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
}

// digest hashes results in an encoding of its own: numbers, reals and words, each with its length or of fixed length.
type digest struct {
	hash    hash.Hash
	encoded []byte
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) number(n int64) { d.encoded = binary.AppendVarint(d.encoded, n) }

func (d *digest) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}

func (d *digest) real(x float64) {
	d.encoded = binary.BigEndian.AppendUint64(d.encoded, math.Float64bits(x))
}

func (d *digest) word(s string) {
	d.number(int64(len(s)))
	d.encoded = append(d.encoded, s...)
}

// sum is the digest of all results so far.
func (d *digest) sum() string {
	d.hash.Write(d.encoded)
	d.encoded = d.encoded[:0]
	return hex.EncodeToString(d.hash.Sum(nil))
}

// digestInTenths plays a case of so many steps and returns a line for each tenth of it: the case's name and the tenth,
// the steps played until then and the digest of all results until then.
func digestInTenths(name string, steps int, play func(d *digest)) string {
	d, lines := newDigest(), &strings.Builder{}
	for i := 1; i <= steps; i++ {
		play(d)
		if i%(steps/10) == 0 {
			fmt.Fprintf(lines, "%s/%02d %d %s\n", name, i/(steps/10), i, d.sum())
		}
	}
	return lines.String()
}

// weighted is a kind of step, drawn as often as its weight says.
type weighted struct {
	weight int
	play   func()
}

// playOne plays a step drawn at random.
func playOne(random *rand.Rand, steps []weighted) {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	drawn := random.IntN(total)
	for _, s := range steps {
		if drawn -= s.weight; drawn < 0 {
			s.play()
			return
		}
	}
}

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// scenario is a site's settings and what narrows the choice of its controller.
type scenario struct {
	name     string
	settings eidertrail.Settings
	routing  *routing.Config // nil: off
	toggled  bool            // routing is taken away and given back
	shares   bool            // budgets are divided by a fleet
	rate     float64         // set-ups a second
}

func baseSettings() eidertrail.Settings {
	return eidertrail.Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, MaxAttempts: 6,
		SlowStartWindow: 10 * time.Second, SlowStartCapacity: 0.3, OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		Classes: []eidertrail.Class{
			{Name: "voice", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, LateFactor: 0.5, MeanHoldingTime: 2 * time.Second},
			{Name: "text", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3, Pools: []int{1, 2}, MeanHoldingTime: time.Second},
			{Name: "order", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 2, Idempotency: eidertrail.NotIdempotent, MeanHoldingTime: 2 * time.Second},
			{Name: "change", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 2, Idempotency: eidertrail.IdempotentByKey, MeanHoldingTime: 2 * time.Second},
		},
	}
}

func otherSettings() eidertrail.Settings {
	s := baseSettings()
	s.Nodes, s.Index, s.MaxAttempts = 4, 1, 1
	s.ReleaseWait, s.RetransmitInterval, s.SlowStartWindow = 500*time.Millisecond, 400*time.Millisecond, 15*time.Second
	return s
}

// routingConfig has a spill share and numbers of agents whose products add up to the same sum in every order.
func routingConfig() *routing.Config {
	return &routing.Config{
		Zone: "batumi", Tiers: map[string][][]string{"batumi": {{"tbilisi"}, {"kutaisi"}}},
		SpillBudget: 0.5, SpillDelay: 100 * millisecond, Window: 10 * second, EjectionThreshold: 0.5, MinSamples: 6,
		EjectionTime: 3 * second, MaxEjectionTime: 20 * second, FlapWindow: 30 * second, SlowStartWindow: 5 * second, SlowStartCapacity: 0.25, Classes: 4, Nodes: 1,
	}
}

func scenarios() []scenario {
	classTiers := routingConfig()
	classTiers.ClassTiers = map[int]map[string][][]string{1: {}, 2: {"batumi": {{"kutaisi", "tbilisi"}}}}
	return []scenario{
		{name: "routing off", settings: baseSettings(), rate: 16},
		{name: "routing off, another site", settings: otherSettings(), rate: 20},
		{name: "routing on", settings: baseSettings(), routing: routingConfig(), rate: 14},
		{name: "routing on, another site", settings: otherSettings(), routing: routingConfig(), rate: 14},
		{name: "tiers of classes", settings: baseSettings(), routing: classTiers, rate: 14},
		{name: "routing toggled", settings: baseSettings(), routing: routingConfig(), toggled: true, rate: 14},
		{name: "budgets, routing off", settings: otherSettings(), shares: true, rate: 20},
		{name: "budgets, routing on", settings: baseSettings(), routing: routingConfig(), shares: true, rate: 14},
	}
}

// health is how a pool takes set-ups.
type health int

const (
	well health = iota
	slow
	refusing // no connection
	hanging  // no answer and no states
	overloaded
)

// modelPool is a pool as the generator knows it.
type modelPool struct {
	dispatch.Endpoint
	health health
	agents int
	holds  int
}

func (p *modelPool) state() dispatch.LoadReport {
	return dispatch.LoadReport{Free: float64(max(0, p.agents-p.holds)), Agents: float64(p.agents)}
}

// modelCall is a call as the generator knows it.
type modelCall struct {
	dispatch.Request
	over bool // its final answer came, its caller has left, or it stood and has ended
	out  *dispatch.Decision
	pool *modelPool
}

// event is something that happens at a time; those of one time happen in the order in which they were planned.
type event struct {
	at     int64
	happen func()
}

// world is the random surroundings of one engine.
type world struct {
	scenario
	random  *rand.Rand
	engine  *dispatch.Engine
	counts  dispatch.Counters
	log     bytes.Buffer
	fleet   *fleetShares
	now     int64
	planned []event
	pools   []*modelPool
	calls   uint64
	digest  *digest
	seen    [3]int // decisions, by verdict: go, refused, failed
	final   []uint64
	routed  bool
}

func newWorld(t *testing.T, s scenario, seed uint64) *world {
	t.Helper()
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 4)), now: 100 * second, fleet: &fleetShares{demands: map[string]int{}}}
	var err error
	w.engine, err = dispatch.NewEngine(s.settings, seed, 2*second, zerolog.New(&w.log).Level(zerolog.InfoLevel), &w.counts)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 9 {
		w.pools = append(w.pools, &modelPool{agents: 4, Endpoint: dispatch.Endpoint{
			UID: fmt.Sprintf("p%d", i), Group: i % 3,
			Zone: [...]string{"batumi", "tbilisi", "kutaisi", "batumi", "gori"}[i%5], Mode: eidertrail.Ready,
		}})
	}
	w.engine.UpdateEndpoints(w.now, w.servers(), true)
	w.route(t)
	if s.shares {
		w.engine.SetQuotas(w.now, dispatch.QuotaConfig{Source: w.fleet, SlowStartFraction: 0.5, SendWindow: 250 * millisecond})
	}
	w.plan(w.now, w.arrive)
	w.plan(w.now+second, func() { w.change(t) })
	for _, p := range w.pools {
		w.plan(w.now+w.random.Int64N(500*millisecond), func() { w.tellState(p) })
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

// fleetShares are a fleet's shares that change with time.
type fleetShares struct{ demands map[string]int }

func (f *fleetShares) Quota(now int64, pool string) (units, whole int) {
	return 250 * int((now/(5*second)+int64(pool[len(pool)-1]))%5), 1000
}

func (f *fleetShares) Demand(_ int64, pool string, units int) { f.demands[pool] = units }

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

// plan has something happen at a time, after all that is planned for it already.
func (w *world) plan(at int64, happen func()) {
	at = max(at, w.now)
	i := len(w.planned)
	for i > 0 && w.planned[i-1].at > at {
		i--
	}
	w.planned = slices.Insert(w.planned, i, event{at, happen})
}

func (w *world) servers() []dispatch.Endpoint {
	var list []dispatch.Endpoint
	for _, p := range w.pools {
		if p.Mode != eidertrail.Removed {
			list = append(list, p.Endpoint)
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
	c := &modelCall{Request: dispatch.Request{
		Call: w.calls, Class: w.random.IntN(len(w.settings.Classes)), Pool: w.random.IntN(5) - 1,
		Key: w.random.Uint64N(50), Deadline: w.now + 200*millisecond + w.random.Int64N(4*second),
	}}
	if w.chance(0.01) {
		c.Deadline = w.now - w.random.Int64N(10*millisecond)
	}
	w.engine.Submit(w.now, c.Request, &decider{w, c})
	if w.chance(0.08) {
		w.plan(w.now+w.random.Int64N(2*second), func() { w.leave(c) })
	}
}

// leave has the caller of a call leave.
func (w *world) leave(c *modelCall) {
	switch {
	case c.over:
	case c.out == nil:
		c.over = true
		w.engine.Withdraw(w.now, c.Call)
	default:
		w.report(c, dispatch.Cancelled, true)
	}
}

// decider notes the decisions for a call and plans what becomes of it.
type decider struct {
	*world
	call *modelCall
}

// Decide implements dispatch.Decider.
func (w *decider) Decide(p dispatch.Decision) {
	w.noteDecision(w.call, p)
	if p.Kind != dispatch.DecisionSend {
		w.call.over = true
		w.final = append(w.final, w.call.Call)
		return
	}
	w.call.out = &p
	i := slices.IndexFunc(w.pools, func(q *modelPool) bool { return q.UID == p.Pool })
	w.call.pool = w.pools[i]
	after, outcome := w.fate(w.call.pool)
	if limit := p.Timeout; limit > 0 && after >= limit {
		after, outcome = limit, dispatch.TimedOut
	}
	if p.DecidedAt+after >= w.call.Deadline {
		after, outcome = max(0, w.call.Deadline-p.DecidedAt), dispatch.TimedOut
	}
	c, attempt := w.call, p.Attempt
	w.plan(w.now+after, func() {
		if c.out != nil && c.out.Attempt == attempt {
			w.end(c, outcome)
		}
	})
}

// fate is when and how a set-up to the pool ends.
func (w *world) fate(p *modelPool) (after int64, outcome dispatch.Outcome) {
	quick := 5*millisecond + w.random.Int64N(30*millisecond)
	switch {
	case p.health == refusing:
		return quick, dispatch.ConnectFailed
	case p.health == hanging:
		return 30 * second, dispatch.TimedOut
	case p.health == overloaded && w.chance(0.6):
		return quick, dispatch.ProcessorFull
	case p.holds >= p.agents:
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
	if p.health == slow {
		return 400*millisecond + w.random.Int64N(2*second), dispatch.Answered
	}
	return quick + w.random.Int64N(100*millisecond), dispatch.Answered
}

// end tells how an attempt ended, or that it was answered; then the end of the call is planned.
func (w *world) end(c *modelCall, outcome dispatch.Outcome) {
	if outcome != dispatch.Answered {
		w.report(c, outcome, false)
		return
	}
	c.pool.holds++
	w.tell(c, dispatch.Answered, false)
	if w.chance(0.01) { // told twice
		w.tell(c, dispatch.Answered, false)
	}
	attempt := c.out.Attempt
	c.out, c.over = nil, true
	pool := c.pool
	w.plan(w.now+int64(w.random.ExpFloat64()*2e6), func() {
		pool.holds--
		outcome := dispatch.Ended
		if w.chance(0.03) {
			outcome = dispatch.Reset
		}
		w.engine.Report(w.now, dispatch.Result{Call: c.Call, Attempt: attempt, Pool: pool.UID, Outcome: outcome, Took: 2 * second, Load: pool.state()})
	})
}

// report tells how an attempt ended that did not stand; the call wants another place, or its caller has left.
func (w *world) report(c *modelCall, outcome dispatch.Outcome, left bool) {
	w.tell(c, outcome, left)
	c.out, c.over = nil, left
	if !left && w.chance(0.9) { // as Serve does; the engine knows the call already
		w.engine.Submit(w.now, c.Request, &decider{w, c})
	}
}

func (w *world) tell(c *modelCall, outcome dispatch.Outcome, left bool) {
	state := c.pool.state()
	if outcome == dispatch.ConnectFailed || outcome == dispatch.TimedOut || w.chance(0.3) {
		state = dispatch.UnknownLoad
	}
	w.engine.Report(w.now, dispatch.Result{
		Call: c.Call, Attempt: c.out.Attempt, Pool: c.pool.UID, Outcome: outcome,
		Took: w.now - c.out.DecidedAt, Load: state, CallerGone: left,
	})
}

// tellState has a pool tell its state unasked, and plans the next time.
func (w *world) tellState(p *modelPool) {
	w.plan(w.now+900*millisecond+w.random.Int64N(100*millisecond), func() { w.tellState(p) })
	if p.health == hanging || p.Mode != eidertrail.Ready && w.chance(0.7) {
		return
	}
	w.engine.Observe(w.now, p.UID, p.state())
	if w.chance(0.3) {
		w.engine.ObserveCapacity(w.now, p.UID, float64(1+w.random.IntN(20)))
	}
}

// change changes pools' health and the list, and at times does what is odd.
func (w *world) change(t *testing.T) {
	t.Helper()
	w.plan(w.now+w.random.Int64N(2*second), func() { w.change(t) })
	p := w.pools[w.random.IntN(len(w.pools))]
	switch w.random.IntN(20) {
	case 14, 15, 16, 17, 18, 19: // all that is wrong passes
		for _, q := range w.pools {
			q.health = well
			if q.Mode != eidertrail.Ready {
				q.Mode, q.StartedAt = eidertrail.Ready, w.now-w.random.Int64N(20*second)
			}
		}
		w.engine.UpdateEndpoints(w.now, w.servers(), true)
	case 0, 1, 2:
		p.health = health(w.random.IntN(5))
	case 3: // a whole zone
		state := health(w.random.IntN(5))
		for _, q := range w.pools {
			if q.Zone == p.Zone {
				q.health = state
			}
		}
	case 4, 5, 6:
		for _, q := range w.pools {
			q.health = well
		}
	case 7:
		p.Mode = eidertrail.Draining
		w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{p.Endpoint}, false)
	case 8:
		p.Mode = eidertrail.Removed
		w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{p.Endpoint}, false)
	case 9, 10: // it comes back as a new process
		if p.Mode != eidertrail.Ready {
			p.Mode, p.StartedAt, p.health = eidertrail.Ready, w.now-w.random.Int64N(second), well
			w.engine.UpdateEndpoints(w.now, []dispatch.Endpoint{p.Endpoint}, false)
		}
	case 11:
		w.engine.UpdateEndpoints(w.now, w.servers(), true)
	case 12:
		if w.toggled {
			w.route(t)
		}
	case 13:
		w.odd()
	}
}

// odd tells of calls and pools that the engine does not know.
func (w *world) odd() {
	w.engine.Observe(w.now, "nobody", dispatch.LoadReport{Free: 1, Agents: 2})
	w.engine.ObserveCapacity(w.now, "nobody", 3)
	w.engine.Withdraw(w.now, w.calls+1000)
	w.engine.Report(w.now, dispatch.Result{Call: w.calls + 1000, Pool: "p1", Outcome: dispatch.Ended, Load: dispatch.UnknownLoad})
	w.engine.Report(w.now, dispatch.Result{Call: w.calls, Attempt: 7, Pool: "p1", Outcome: dispatch.TimedOut, Load: dispatch.UnknownLoad})
	w.engine.Forget(w.calls + 1000)
}

// step moves time on to what is planned or due next, lets it happen and has the engine take a turn, mostly.
func (w *world) step(d *digest) {
	w.digest = d
	due := w.engine.NextDue(w.now)
	d.number(due)
	if due > 0 && due < w.planned[0].at {
		// A loop is late, by up to some milliseconds: what the module wants to look at again every few is not all of it.
		w.now = max(w.now, min(due+w.random.Int64N(20*millisecond), w.planned[0].at))
	} else {
		next := w.planned[0]
		w.planned = slices.Delete(w.planned, 0, 1)
		w.now = max(w.now, next.at)
		next.happen()
		if w.chance(0.1) {
			return // what comes next is weighed together with it
		}
	}
	w.engine.Step(w.now)
	for _, call := range w.final {
		w.engine.Forget(call)
	}
	w.final = w.final[:0]
	w.noteRest()
}

func (w *world) noteDecision(c *modelCall, p dispatch.Decision) {
	d := w.digest
	d.number(w.now)
	d.number(int64(c.Call))
	switch p.Kind {
	case dispatch.DecisionSend:
		d.word("go")
		w.seen[0]++
	case dispatch.DecisionReject:
		d.word("refused")
		w.seen[1]++
	case dispatch.DecisionFail:
		d.word("failed")
		w.seen[2]++
	}
	d.word(p.Pool)
	for _, n := range []int64{int64(p.Attempt), p.Timeout, p.DecidedAt, p.SendBy, p.RetryAfter} {
		d.number(n)
	}
	d.flag(p.NoAgentFree)
}

// noteRest notes what the engine logged in the turn, whose lines may come in any order, and what it asks of a budget.
func (w *world) noteRest() {
	lines := strings.Split(w.log.String(), "\n")
	w.log.Reset()
	slices.Sort(lines)
	for _, line := range lines {
		w.digest.word(line)
	}
	for _, pool := range slices.Sorted(maps.Keys(w.fleet.demands)) {
		w.digest.word(pool)
		w.digest.number(int64(w.fleet.demands[pool]))
	}
	clear(w.fleet.demands)
}

// counted is a line of the counters that are not 0, by name.
func (w *world) counted(name string) string {
	var b strings.Builder
	b.WriteString(name + "/counters")
	counters := w.counts.Snapshot().Counters
	for _, counter := range slices.Sorted(maps.Keys(counters)) {
		if n := counters[counter]; n != 0 {
			fmt.Fprintf(&b, " %s=%d", counter, n)
		}
	}
	return b.String() + "\n"
}

func TestCharacterization_EngineDecisions(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(t, s, uint64(i+1))
		name := strings.ReplaceAll(s.name, " ", "-")
		got.WriteString(digestInTenths(name, 8_000, w.step))
		got.WriteString(w.counted(name))
		t.Logf("%s: %d calls in %d s; decisions: %d go, %d refused, %d failed", s.name, w.calls, w.now/second, w.seen[0], w.seen[1], w.seen[2])
	}
	compareWithRecorded(t, "engine-decisions.txt", got.String())
}

// desk is a desk in a bubble with a transcript of all that its callers and its pools are told.
type desk struct {
	*dispatch.CallTable
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	start      int64
	callers    map[string]*caller
	mu         sync.Mutex
	attempts   map[string]*attempt // the latest, by the call's id
	messages   []string            // since the last step
	transcript strings.Builder
}

// caller is a connection in memory.
type caller struct {
	desk *desk
	name string
	deaf bool
}

// Final implements dispatch.Caller.
func (c *caller) Final(id string, f dispatch.Final) bool {
	c.desk.mu.Lock()
	defer c.desk.mu.Unlock()
	var b strings.Builder
	switch f.Kind {
	case dispatch.FinalEstablished:
		b.WriteString("stands, sdp " + f.Call.SDP())
	case dispatch.FinalRejected:
		b.WriteString("turned away")
	case dispatch.FinalFailed:
		b.WriteString("given up")
	case dispatch.FinalCallerGone:
		b.WriteString("gone")
	}
	if f.RetryAfter > 0 {
		fmt.Fprintf(&b, ", come back after %d us", f.RetryAfter)
	}
	for _, mark := range []struct {
		is   bool
		word string
	}{{f.NoAgentFree, ", no room"}, {f.MayHaveRun, ", may have run"}, {f.Errored, ", errored"}, {c.deaf, " (not taken)"}} {
		if mark.is {
			b.WriteString(mark.word)
		}
	}
	c.desk.message("%s <- final %s: %s", c.name, id, b.String())
	return !c.deaf
}

// CallEnded implements dispatch.Caller.
func (c *caller) CallEnded(id string, cause int) bool {
	c.desk.mu.Lock()
	defer c.desk.mu.Unlock()
	taken := ""
	if c.deaf {
		taken = " (not taken)"
	}
	c.desk.message("%s <- over %s: cause %d%s", c.name, id, cause, taken)
	return !c.deaf
}

// attempt is a set-up at a pool, and the leg once it is answered.
type attempt struct {
	desk   *desk
	id     string
	sdp    string
	ends   chan dispatch.Ending
	done   chan struct{}
	ending dispatch.Ending
	ended  bool // Invite has returned
}

// SDP implements dispatch.Leg.
func (a *attempt) SDP() string { return a.sdp }

// Done implements dispatch.Leg.
func (a *attempt) Done() <-chan struct{} { return a.done }

// Ending implements dispatch.Leg.
func (a *attempt) Ending() dispatch.Ending { return a.ending }

// Release implements dispatch.Leg.
func (a *attempt) Release(cause int) {
	a.desk.mu.Lock()
	defer a.desk.mu.Unlock()
	a.desk.message("pool <- release %s: cause %d", a.id, cause)
}

// Invite implements dispatch.Trunk.
func (k *desk) Invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	x := &attempt{desk: k, id: a.ID, sdp: "answer to " + a.SDP, ends: make(chan dispatch.Ending, 1), done: make(chan struct{})}
	k.mu.Lock()
	k.attempts[a.ID] = x
	k.message("pool %s <- attempt %d of %s: number %s, class %s, until %d us", a.Pool, a.Number, a.ID, a.Setup.Number, a.Class, a.Deadline-k.start)
	k.mu.Unlock()
	until := time.NewTimer(time.Duration(a.Deadline-k.dispatcher.Now()) * time.Microsecond)
	defer until.Stop()
	end := dispatch.Ending{Outcome: dispatch.Cancelled, Load: dispatch.UnknownLoad}
	select {
	case end = <-x.ends:
	case <-until.C:
		end.Outcome = dispatch.TimedOut
	case <-ctx.Done():
	}
	end.At = k.dispatcher.Now()
	k.mu.Lock()
	x.ended = true
	k.mu.Unlock()
	if end.Outcome == dispatch.Answered {
		return x, end
	}
	return nil, end
}

// message notes a message with its time. The caller holds mu.
func (k *desk) message(format string, values ...any) {
	k.messages = append(k.messages, fmt.Sprintf("  %8d us  ", k.dispatcher.Now()-k.start)+fmt.Sprintf(format, values...))
}

// settle waits until all has been told that follows, and writes a step, what was told since the last one and what the
// desk then holds. Messages of one step may come in any order: they are sorted.
func (k *desk) settle(format string, values ...any) {
	synctest.Wait()
	fmt.Fprintf(&k.transcript, format+"\n", values...)
	for _, m := range k.takeMessages() {
		k.transcript.WriteString(m + "\n")
	}
	fmt.Fprintf(&k.transcript, "  open %d, standing %d", k.PendingSetups(), k.EstablishedCalls())
	if k.Idle() {
		k.transcript.WriteString(", idle")
	}
	for _, name := range slices.Sorted(maps.Keys(k.callers)) {
		open, stands, proven := k.ConnState(k.callers[name])
		fmt.Fprintf(&k.transcript, "; %s: %d open, %d stand, proven %s", name, open, stands, yesOrNo(proven))
	}
	k.transcript.WriteString("\n")
}

// takeMessages returns what was told since it was called last, sorted.
func (k *desk) takeMessages() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	messages := k.messages
	k.messages = nil
	slices.Sort(messages)
	return messages
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func textOf(err error) string {
	if err == nil {
		return "taken"
	}
	return err.Error()
}

func (k *desk) connect(name string) {
	k.callers[name] = &caller{desk: k, name: name}
	k.Connect(k.callers[name])
	k.settle("%s connects", name)
}

func (k *desk) prove(name string) {
	k.MarkEstablished(k.callers[name])
	k.settle("%s is proven", name)
}

func (k *desk) disconnect(name string) {
	k.Disconnect(k.callers[name])
	delete(k.callers, name)
	k.settle("%s disconnects", name)
}

func (k *desk) plug(name string) {
	k.callers[name].deaf = true
	k.settle("%s takes no more", name)
}

// setup sets a call up; change, if any, changes it first.
func (k *desk) setup(name, id string, change ...func(c *dispatch.SetupRequest)) {
	c := dispatch.SetupRequest{ID: id, Class: "voice", Number: "7f", Pool: 0, TimeoutMillis: 3000, ReceivedAt: k.dispatcher.Now(), SDP: "offer"}
	for _, f := range change {
		f(&c)
	}
	err := k.Setup(k.callers[name], c)
	k.settle("%s sets up %s: %s; owned %s", name, id, textOf(err), yesOrNo(k.Owns(k.callers[name], id)))
}

// attempt is the latest attempt of a call.
func (k *desk) attempt(id string) *attempt {
	k.t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.attempts[id]
	if x == nil {
		k.t.Fatalf("nothing was sent for %s; so far:\n%s", id, k.transcript.String())
	}
	return x
}

// isOut tells whether an attempt of the call is out.
func (k *desk) isOut(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attempts[id] != nil && !k.attempts[id].ended
}

// refuse ends the attempt of a call that is out.
func (k *desk) refuse(id, words string, outcome dispatch.Outcome) {
	k.attempt(id).ends <- dispatch.Ending{Outcome: outcome, Load: dispatch.UnknownLoad}
	k.settle("the attempt of %s ends: %s", id, words)
}

func (k *desk) answer(id string) {
	k.attempt(id).ends <- dispatch.Ending{Outcome: dispatch.Answered, Load: dispatch.UnknownLoad}
	k.settle("the pool answers %s", id)
}

func (k *desk) endAtPool(id string, cause int) {
	x := k.attempt(id)
	x.ending = dispatch.Ending{Outcome: dispatch.Ended, At: k.dispatcher.Now(), Cause: cause, Load: dispatch.UnknownLoad}
	close(x.done)
	k.settle("the pool ends %s: cause %d", id, cause)
}

func (k *desk) release(id string, cause int) {
	standing, err := k.Release(id, cause)
	k.settle("release of %s: cause %d: %s, standing %s", id, cause, textOf(err), yesOrNo(standing))
}

func (k *desk) sleep(long time.Duration) {
	time.Sleep(long)
	k.settle("%d ms pass", long.Milliseconds())
}

// run is a run of a desk: a name, what the desk is made with, and what happens.
type run struct {
	name   string
	config dispatch.CallTableConfig
	play   func(k *desk)
}

// playDesk plays a run in a bubble and returns its transcript.
func playDesk(t *testing.T, r run) string {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		settings := baseSettings()
		count := &dispatch.Counters{}
		d, err := dispatch.New(settings, 1, 2*second, clock.New(), zerolog.Nop(), count)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go d.Run(ctx)
		k := &desk{t: t, dispatcher: d, start: d.Now(), callers: map[string]*caller{}, attempts: map[string]*attempt{}}
		c := r.config
		c.Dispatcher, c.Inviter, c.Counters = d, k, count
		if c.MaxCalls == 0 {
			c.MaxCalls = 100
		}
		k.CallTable = dispatch.NewCallTable(c)
		defer k.Close()
		d.UpdateEndpoints([]dispatch.Endpoint{{UID: "a", Group: 0}, {UID: "b", Group: 1}}, true)
		d.Observe("a", dispatch.LoadReport{Free: 10, Agents: 20})
		d.Observe("b", dispatch.LoadReport{Free: 10, Agents: 20})
		synctest.Wait()
		r.play(k)
		k.Close()
		k.settle("the desk closes")
		transcript = "== " + r.name + "\n" + k.transcript.String()
		counters := count.Snapshot().Counters
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			if n := counters[name]; n != 0 {
				transcript += fmt.Sprintf("counter %s %d\n", name, n)
			}
		}
	})
	return transcript
}

func left(ms float64) func(c *dispatch.SetupRequest) {
	return func(c *dispatch.SetupRequest) { c.TimeoutMillis = ms }
}

func class(name string) func(c *dispatch.SetupRequest) {
	return func(c *dispatch.SetupRequest) { c.Class = name }
}

func number(n string) func(c *dispatch.SetupRequest) {
	return func(c *dispatch.SetupRequest) { c.Number = n }
}

func deskRuns() []run {
	return []run{
		{"a call stands until its pool ends it", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.sleep(20 * time.Millisecond)
			k.answer("c1")
			k.sleep(time.Second)
			k.endAtPool("c1", 16)
			k.release("c1", 16)
		}},
		{"a call is released by its caller, twice", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.answer("c1")
			k.release("c1", 31)
			k.release("c1", 31)
			k.release("nobody's", 16)
			k.setup("x", "c1")
		}},
		{"the callers are told of all ends", dispatch.CallTableConfig{NotifyAllEnds: true}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.answer("c1")
			k.release("c1", 31)
		}},
		{"a set-up is cancelled", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.release("c1", 16)
			k.release("c1", 16)
		}},
		{"a cancel comes before its set-up, an id names one call", dispatch.CallTableConfig{UniqueIDs: true}, func(k *desk) {
			k.connect("x")
			k.release("c1", 16)
			k.setup("x", "c1")
			k.setup("x", "c1")
			k.setup("x", "c2")
			k.answer("c2")
			k.endAtPool("c2", 17)
			k.setup("x", "c2")
			k.release("c2", 16)
			k.release("a b", 16)
		}},
		{"ids in use", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.connect("y")
			k.setup("x", "c1")
			k.setup("x", "c1")
			k.setup("y", "c1")
			k.answer("c1")
			k.setup("y", "c1", class("fax"))
			k.endAtPool("c1", 16)
			k.setup("y", "c1")
			k.answer("c1")
		}},
		{"set-ups that make no sense", dispatch.CallTableConfig{MaxCalls: 2}, func(k *desk) {
			k.connect("x")
			for _, id := range []string{"", "a b", strings.Repeat("a", 65), strings.Repeat("a", 64)} {
				k.setup("x", id)
			}
			k.setup("x", "c1", class("fax"))
			k.setup("x", "c1", left(-1))
			k.setup("x", "c1", left(2e9))
			k.setup("x", "c1", left(math.NaN()))
			k.setup("x", "c1", number("1\r\nBYE"))
			k.setup("x", "c1", func(c *dispatch.SetupRequest) { c.SDP = strings.Repeat("v", 15<<10+1) })
			k.setup("x", "c1", number(""))
			k.setup("x", "c2")
		}},
		{"an attempt ends, the next is answered", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.refuse("c1", "no agent", dispatch.NoAgent)
			k.answer("c1")
			k.endAtPool("c1", 16)
		}},
		{"both attempts end without an agent", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.refuse("c1", "no agent", dispatch.NoAgent)
			k.refuse("c1", "no agent", dispatch.NoAgent)
			k.sleep(3 * time.Second)
		}},
		{"pools make nothing of the set-ups of a connection", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			for i := range 6 {
				id := fmt.Sprintf("c%d", i)
				k.setup("x", id, left(2000))
				for k.isOut(id) {
					k.refuse(id, "errored", dispatch.Errored)
					k.sleep(500 * time.Millisecond)
				}
				k.sleep(10 * time.Second)
			}
		}},
		{"a time-out, then the release wait", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1", left(2000))
			k.refuse("c1", "timed out", dispatch.TimedOut)
			k.sleep(250 * time.Millisecond)
			k.sleep(100 * time.Millisecond)
			k.sleep(3 * time.Second)
		}},
		{"a reset of what must not be repeated", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1", class("order"))
			k.refuse("c1", "reset", dispatch.Reset)
			k.sleep(3 * time.Second)
		}},
		{"nobody answers", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1", left(500))
			k.sleep(479 * time.Millisecond)
			k.sleep(2 * time.Millisecond)
			k.setup("x", "c2", left(0))
			k.setup("x", "c3", left(20))
			k.sleep(time.Second)
		}},
		{"a connection goes", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.connect("y")
			k.setup("x", "c1")
			k.answer("c1")
			k.setup("x", "c2")
			k.disconnect("x")
			k.endAtPool("c1", 16)
			k.sleep(390 * time.Millisecond)
			k.sleep(20 * time.Millisecond)
		}},
		{"an end that crossed the closing is told again", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.connect("y")
			k.prove("y")
			for _, id := range []string{"c1", "c2"} {
				k.setup("x", id)
				k.answer(id)
				k.endAtPool(id, 16)
				k.sleep(167 * time.Millisecond)
			}
			k.disconnect("x")
		}},
		{"ends wait for a connection", dispatch.CallTableConfig{}, func(k *desk) {
			k.CallEnded("earlier", 16)
			k.settle("a call of before a restart is over")
			k.connect("x")
			k.sleep(399 * time.Millisecond)
			k.sleep(2 * time.Millisecond)
			k.setup("x", "c1")
			k.answer("c1")
			k.plug("x")
			k.endAtPool("c1", 16)
			k.CallEnded("c1", 16)
			k.settle("its pool ends c1 again")
			k.connect("y")
			k.prove("y")
			k.RedeliverEnd("c1", 16)
			k.settle("c1's end could not be written")
		}},
		{"an answer is not taken", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.plug("x")
			k.answer("c1")
			k.release("c1", 16)
		}},
		{"an answer is not written whole", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.AnswerLost("c1")
			k.settle("c1's answer, which did not come, was not written")
			k.answer("c1")
			k.AnswerLost("c1")
			k.settle("c1's answer was not written")
			k.AnswerLost("c1")
			k.settle("c1's answer was not written")
		}},
		{"all is given up", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c3")
			k.answer("c3")
			k.setup("x", "c4", class("order"))
			k.setup("x", "c1")
			k.setup("x", "c2")
			k.AbortPending()
			k.settle("the desk gives up")
			k.setup("x", "c5")
			k.endAtPool("c3", 16)
		}},
		{"a connection retires", dispatch.CallTableConfig{}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1")
			k.settle("x retires: %s", yesOrNo(k.Retire(k.callers["x"])))
			k.answer("c1")
			k.settle("x retires: %s", yesOrNo(k.Retire(k.callers["x"])))
			k.settle("x retires: %s", yesOrNo(k.Retire(k.callers["x"])))
			k.setup("x", "c2")
			k.connect("y")
			k.endAtPool("c1", 16)
			k.sleep(400 * time.Millisecond)
		}},
		{"pools know the calls by other names", dispatch.CallTableConfig{CallID: func(id string) string { return "site-" + id }}, func(k *desk) {
			k.connect("x")
			k.setup("x", "c1", class("text"), number("desk.seven"))
			k.answer("site-c1")
			k.endAtPool("site-c1", 41)
		}},
		{"an unproven connection floods", dispatch.CallTableConfig{MaxCalls: 1000}, func(k *desk) {
			k.connect("x")
			taken, refused := 0, map[string]int{}
			for i := range 70 {
				c := dispatch.SetupRequest{ID: fmt.Sprintf("c%d", i), Class: "voice", TimeoutMillis: 1000, ReceivedAt: k.dispatcher.Now()}
				if err := k.Setup(k.callers["x"], c); err != nil {
					refused[err.Error()]++
				} else {
					taken++
				}
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			k.takeMessages() // which of so many gets a place depends on the order of goroutines
			for _, text := range slices.Sorted(maps.Keys(refused)) {
				k.settle("%d refused: %s", refused[text], text)
			}
			k.settle("%d taken", taken)
		}},
	}
}

func TestCharacterization_DeskTranscripts(t *testing.T) {
	var got strings.Builder
	for _, r := range deskRuns() {
		got.WriteString(playDesk(t, r))
	}
	compareWithRecorded(t, "desk-transcripts.txt", got.String())
}
