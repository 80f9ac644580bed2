// These are characterisation tests: they record what the router decides today, so that a change of names or structure
// can be shown to change none of it. The recorded digests and texts are in testdata/characterization. After a
// purposeful change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/routing -run TestCharacterization
//
// and the commit has to say why they changed.
package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/routing"
	"eidertrail/internal/testing/recorded"
)

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
	minute      = 60 * second
)

var zoneNames = []string{"batumi", "tbilisi", "kutaisi", "telavi"}

// scenario is a configuration and what its endpoints are like.
//
// The router adds up budgets of endpoints in no fixed order. So that every order gives the same sum, either all
// endpoints of a scenario have the same number of agents, or its budgets and quotas are halves, quarters and so on.
type scenario struct {
	name   string
	config routing.Config
	agents []float64 // the numbers of agents that endpoints have
	pace   int64     // the usual time between two steps, at most
	leased bool      // a fleet allocates the spill budgets
}

func baseConfig() routing.Config {
	return routing.Config{
		Zone:           "batumi",
		PriorityLevels: map[string][][]string{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}},
		SpillBudget:    0.5, SpillDelay: 100 * millisecond,
		Window: 10 * second, EjectionThreshold: 0.5, MinSamples: 4,
		EjectionTime: 5 * second, MaxEjectionTime: 40 * second, FlapWindow: minute,
		SlowStartWindow: 10 * second, SlowStartCapacity: 0.25, Nodes: 1, Classes: 2,
	}
}

func changed(change func(c *routing.Config)) routing.Config {
	c := baseConfig()
	change(&c)
	return c
}

func scenarios() []scenario {
	mixed, same := []float64{4, 7, 10, 16}, []float64{20}
	return []scenario{
		{name: "base", config: baseConfig(), agents: mixed, pace: 60 * millisecond},
		{name: "deployed", agents: same, pace: 40 * millisecond, config: changed(func(c *routing.Config) {
			c.SpillBudget, c.MinSamples, c.Nodes = 0.3, 8, 3
			c.EjectionTime, c.MaxEjectionTime, c.SlowStartWindow, c.SlowStartCapacity = 10*second, 2*minute, 30*second, 0.1
		})},
		{name: "class tiers", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.Classes, c.Nodes, c.SpillBudget = 4, 2, 0.75
			c.ClassPriorityLevels = map[int]map[string][][]string{
				0: {},
				2: {"batumi": {{"telavi", "kutaisi", "tbilisi"}}},
				3: {"batumi": {{"telavi"}, {"kutaisi"}, {"tbilisi"}}},
			}
		})},
		{name: "every class with tiers", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.ClassPriorityLevels = map[int]map[string][][]string{0: {"batumi": {{"kutaisi"}}}, 1: {"batumi": {{"telavi"}}}}
		})},
		{name: "no times", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.SpillDelay, c.EjectionTime, c.MaxEjectionTime, c.FlapWindow, c.SlowStartWindow, c.SpillBudget = 0, 0, 0, 0, 0, 0.25
		})},
		{name: "no spill", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.SpillBudget, c.MinSamples = 0, 1
		})},
		{name: "own zone alone", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.PriorityLevels, c.Classes = nil, routing.MaxClasses
		})},
		{name: "fleet shares", leased: true, agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.Nodes, c.SpillBudget = 4, 1
		})},
		{name: "many outcomes", agents: []float64{64}, pace: 2 * millisecond, config: changed(func(c *routing.Config) {
			c.Window, c.EjectionThreshold, c.MinSamples = minute, 0.25, 20
			c.EjectionTime, c.SlowStartWindow = 500*millisecond, second
		})},
	}
}

// modelEndpoint is an endpoint as the generator knows it.
type modelEndpoint struct {
	uid, zone  string
	agents     float64
	up, listed bool
	holds      int // set-ups and established calls
}

// world is the random surroundings of one router.
type world struct {
	scenario
	random      *rand.Rand
	router      *routing.Router
	now         int64
	endpoints   []*modelEndpoint
	failing     []bool // by zone
	setups      []*modelEndpoint
	established []*modelEndpoint
	eligible    map[string]routing.Classes // the latest answer of the router
}

func newWorld(tb testing.TB, chosen scenario, seed uint64) *world {
	tb.Helper()
	router, err := routing.New(chosen.config, zoneNames)
	if err != nil {
		tb.Fatal(err)
	}
	w := &world{
		scenario: chosen,
		random:   rand.New(rand.NewPCG(seed, 1)),
		router:   router,
		now:      second,
		failing:  make([]bool, len(zoneNames)),
	}
	for i, zone := range append(slices.Clone(zoneNames), "gori") { // gori is not configured
		for n := range 3 {
			w.endpoints = append(w.endpoints, &modelEndpoint{
				uid: fmt.Sprintf("%s-%d", zone, n), zone: zone, up: true, listed: n < 2 || i == 0,
				agents: chosen.agents[w.random.IntN(len(chosen.agents))],
			})
		}
	}
	if chosen.leased {
		router.SetQuotaSource(fleetQuota)
	}
	w.updateEndpoints()
	return w
}

// fleetQuota is this controller's quota of a zone's budget in a fleet, which changes with time.
func fleetQuota(now int64, zone string) float64 {
	return float64((now/(7*second)+int64(len(zone)))%5) / 4
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

func (w *world) anyEndpoint() *modelEndpoint { return w.endpoints[w.random.IntN(len(w.endpoints))] }

func (w *world) updateEndpoints() {
	var lines []routing.Endpoint
	for _, endpoint := range w.endpoints {
		if endpoint.listed {
			lines = append(lines, routing.Endpoint{UID: endpoint.uid, Zone: endpoint.zone, Up: endpoint.up})
		}
	}
	w.router.UpdateEndpoints(w.now, lines)
}

// pass moves time on: mostly a little, at times to when the router says that something changes, at times far.
func (w *world) pass() {
	switch drawn := w.random.IntN(200); {
	case drawn < 20: // nothing passes
	case drawn < 24:
		if next := w.router.Next(w.now); next > 0 && next-w.now < 10*second {
			w.now = next
		}
	case drawn < 25:
		w.now += w.random.Int64N(15 * second)
	default:
		w.now += w.random.Int64N(w.pace)
	}
}

// send sends where the router lets the class, at times where it does not.
func (w *world) send() {
	class := w.random.IntN(w.config.Classes)
	var allowed []*modelEndpoint
	for _, endpoint := range w.endpoints {
		if w.eligible[endpoint.uid].Has(class) || !w.router.Manages(endpoint.uid) && endpoint.listed || w.chance(0.005) {
			allowed = append(allowed, endpoint)
		}
	}
	if len(allowed) == 0 {
		return
	}
	endpoint := allowed[w.random.IntN(len(allowed))]
	w.router.Sent(endpoint.uid)
	endpoint.holds++
	w.setups = append(w.setups, endpoint)
}

func take(random *rand.Rand, from *[]*modelEndpoint) *modelEndpoint {
	if len(*from) == 0 {
		return nil
	}
	i := random.IntN(len(*from))
	endpoint := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return endpoint
}

// endAttempt ends a set-up, or has it answered.
func (w *world) endAttempt() {
	endpoint := take(w.random, &w.setups)
	if endpoint == nil {
		return
	}
	fails := 0.04
	if zone := slices.Index(zoneNames, endpoint.zone); zone >= 0 && w.failing[zone] {
		fails = 0.8
	}
	if w.chance(fails) {
		endpoint.holds--
		w.router.Ended(w.now, endpoint.uid, routing.Failure, false)
		return
	}
	if w.chance(0.1) {
		endpoint.holds--
		w.router.Ended(w.now, endpoint.uid, routing.Neutral, false)
		return
	}
	w.router.Answered(w.now, endpoint.uid)
	w.established = append(w.established, endpoint)
}

func (w *world) endCall() {
	if endpoint := take(w.random, &w.established); endpoint != nil {
		endpoint.holds--
		w.router.Ended(w.now, endpoint.uid, routing.Neutral, true)
	}
}

func (w *world) report() {
	endpoint := w.anyEndpoint()
	switch w.random.IntN(8) {
	case 0:
		w.router.Report(endpoint.uid, -1, endpoint.agents)
	case 1:
		w.router.Report(endpoint.uid, 0, -1)
	case 2:
		w.router.Report(endpoint.uid, 0, endpoint.agents)
	case 3:
		w.router.Report("nobody", 3, 3)
	default:
		w.router.Report(endpoint.uid, max(0, endpoint.agents-float64(endpoint.holds)), endpoint.agents)
	}
}

// changeList changes an endpoint's line, and at times those of all of a zone, or gives the router an empty list.
func (w *world) changeList() {
	endpoint := w.anyEndpoint()
	switch w.random.IntN(12) {
	case 0:
		for _, other := range w.endpoints {
			if other.zone == endpoint.zone {
				other.up = false
			}
		}
	case 1, 2, 3, 4:
		for _, other := range w.endpoints {
			other.up, other.listed = other.up || w.chance(0.5), other.listed || w.chance(0.5)
		}
	case 5:
		endpoint.listed = !endpoint.listed
	case 6:
		if w.chance(0.1) {
			w.router.UpdateEndpoints(w.now, nil)
			return
		}
	default:
		endpoint.up = !endpoint.up
	}
	w.updateEndpoints()
}

func (w *world) flipZone() {
	zone := w.random.IntN(len(zoneNames))
	w.failing[zone] = !w.failing[zone] && w.chance(0.6)
}

func (w *world) wait() {
	if w.chance(0.3) {
		w.router.SetOldestWait(w.now, 0)
		return
	}
	w.router.SetOldestWait(w.now, max(1, w.now-w.random.Int64N(250*millisecond)))
}

// odd plays what should not come: ends of what was not sent, and unknown endpoints.
func (w *world) odd() {
	endpoint := w.anyEndpoint()
	switch w.random.IntN(6) {
	case 0:
		w.router.Ended(w.now, endpoint.uid, routing.Failure, false)
	case 1:
		w.router.Ended(w.now, endpoint.uid, routing.Success, true)
	case 2:
		w.router.Answered(w.now, endpoint.uid)
	case 3:
		w.router.Sent("nobody")
		w.router.Ended(w.now, "nobody", routing.Failure, false)
	case 4:
		w.router.Advance(w.now)
	case 5:
		w.router.Answered(w.now, "nobody")
	}
}

// step plays one random step and records what the router then returns.
func (w *world) step(results *recorded.Digest) {
	w.pass()
	recorded.PlayOne(w.random, []recorded.WeightedStep{
		{Weight: 38, Play: w.send},
		{Weight: 30, Play: w.endAttempt},
		{Weight: 18, Play: w.endCall},
		{Weight: 8, Play: w.report},
		{Weight: 1, Play: w.changeList},
		{Weight: 1, Play: w.flipZone},
		{Weight: 3, Play: w.wait},
		{Weight: 1, Play: w.odd},
	})
	results.Number(w.now)
	results.Number(w.router.Next(w.now))
	if w.chance(0.8) {
		w.eligible = w.router.Eligible(w.now)
		w.noteEligible(results)
		results.Number(w.router.Next(w.now))
	}
	w.noteState(results)
}

func (w *world) noteEligible(results *recorded.Digest) {
	uids := slices.Sorted(maps.Keys(w.eligible))
	results.Number(int64(len(uids)))
	for _, uid := range uids {
		results.Text(uid)
		results.Number(int64(w.eligible[uid]))
		for _, class := range []int{0, 1, w.config.Classes - 1, w.config.Classes} {
			results.Flag(w.eligible[uid].Has(class))
		}
	}
}

func (w *world) noteState(results *recorded.Digest) {
	for _, z := range w.router.Zones() {
		results.Text(z.Zone)
		results.Number(int64(z.Level))
		results.Flag(z.State.Ejected())
		results.Flag(!z.State.HasEndpoints())
		results.Number(z.EjectedUntil)
		results.Number(int64(z.WarmingUp))
		results.Number(int64(z.InFlight))
		results.Real(z.Agents)
	}
	spilled := w.router.Spilled()
	for _, zone := range slices.Sorted(maps.Keys(spilled)) {
		results.Text(zone)
		results.Real(spilled[zone])
	}
	count := w.router.Counts()
	results.Number(int64(count.ZonesEjected))
	results.Number(int64(count.Flaps))
	results.Number(int64(count.SlowStartCapped))
	results.Number(int64(count.SpillCapped))
	results.Flag(w.router.Manages(w.anyEndpoint().uid))
}

func TestCharacterization_Decisions(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(t, s, uint64(i+1))
		got.WriteString(recorded.DigestInTenths(strings.ReplaceAll(s.name, " ", "-"), 8_000, w.step))
		count := w.router.Counts()
		t.Logf("%s: zones ejected %d, flaps %d, capped by slow start %d, by spill budget %d",
			s.name, count.ZonesEjected, count.Flaps, count.SlowStartCapped, count.SpillCapped)
	}
	recorded.Compare(t, "decisions.txt", got.String())
}
