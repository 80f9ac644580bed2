// These are characterisation tests: they record what the router decides today, so that a change of names or structure
// can be shown to change none of it. The recorded digests and texts are in testdata/characterization. After a purposeful
// change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/routing -run TestCharacterization
//
// and the commit has to say why they changed.
package routing_test

import (
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
	"testing"

	"eidertrail/internal/config"
	"eidertrail/internal/remedy"
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
	minute      = 60 * second
)

var zoneNames = []string{"batumi", "tbilisi", "kutaisi", "telavi"}

// scenario is a configuration and what its pools are like.
//
// The router adds up budgets of pools in no fixed order. So that every order gives the same sum, either all pools
// of a scenario have the same number of agents, or its shares are halves, quarters and so on.
type scenario struct {
	name   string
	config routing.Config
	agents []float64 // the numbers of agents that pools have
	pace   int64     // the usual time between two steps, at most
	shares bool      // the spill budgets are divided by a fleet
}

func baseConfig() routing.Config {
	return routing.Config{
		Zone:        "batumi",
		Tiers:       map[string][][]string{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}},
		SpillBudget: 0.5, SpillDelay: 100 * millisecond,
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
			c.ClassTiers = map[int]map[string][][]string{
				0: {},
				2: {"batumi": {{"telavi", "kutaisi", "tbilisi"}}},
				3: {"batumi": {{"telavi"}, {"kutaisi"}, {"tbilisi"}}},
			}
		})},
		{name: "every class with tiers", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.ClassTiers = map[int]map[string][][]string{0: {"batumi": {{"kutaisi"}}}, 1: {"batumi": {{"telavi"}}}}
		})},
		{name: "no times", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.SpillDelay, c.EjectionTime, c.MaxEjectionTime, c.FlapWindow, c.SlowStartWindow, c.SpillBudget = 0, 0, 0, 0, 0, 0.25
		})},
		{name: "no spill", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.SpillBudget, c.MinSamples = 0, 1
		})},
		{name: "own zone alone", agents: mixed, pace: 60 * millisecond, config: changed(func(c *routing.Config) {
			c.Tiers, c.Classes = nil, routing.MaxClasses
		})},
		{name: "fleet shares", agents: mixed, pace: 60 * millisecond, shares: true, config: changed(func(c *routing.Config) {
			c.Nodes, c.SpillBudget = 4, 1
		})},
		{name: "many outcomes", agents: []float64{64}, pace: 2 * millisecond, config: changed(func(c *routing.Config) {
			c.Window, c.EjectionThreshold, c.MinSamples, c.EjectionTime, c.SlowStartWindow = minute, 0.25, 20, 500*millisecond, second
		})},
	}
}

// modelPool is a pool as the generator knows it.
type modelPool struct {
	uid, zone  string
	agents     float64
	up, listed bool
	holds      int // set-ups out and calls standing
}

// world is the random surroundings of one router.
type world struct {
	scenario
	random   *rand.Rand
	router   *routing.Router
	now      int64
	pools    []*modelPool
	failing  []bool // by zone
	flying   []*modelPool
	standing []*modelPool
	eligible map[string]routing.Classes // as last asked
}

func newWorld(t *testing.T, s scenario, seed uint64) *world {
	t.Helper()
	router, err := routing.New(s.config, zoneNames)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), router: router, now: second, failing: make([]bool, len(zoneNames))}
	for i, zone := range append(slices.Clone(zoneNames), "gori") { // no tier names gori
		for n := range 3 {
			w.pools = append(w.pools, &modelPool{
				uid: fmt.Sprintf("%s-%d", zone, n), zone: zone, up: true, listed: n < 2 || i == 0,
				agents: s.agents[w.random.IntN(len(s.agents))],
			})
		}
	}
	if s.shares {
		router.SetQuotaSource(fleetShare)
	}
	w.tellRoster()
	return w
}

// fleetShare is a fleet's share of a zone's budget, which changes with time.
func fleetShare(now int64, zone string) float64 {
	return float64((now/(7*second)+int64(len(zone)))%5) / 4
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) anyPool() *modelPool { return w.pools[w.random.IntN(len(w.pools))] }

func (w *world) tellRoster() {
	var lines []routing.Endpoint
	for _, p := range w.pools {
		if p.listed {
			lines = append(lines, routing.Endpoint{UID: p.uid, Zone: p.zone, Up: p.up})
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
	var allowed []*modelPool
	for _, p := range w.pools {
		if w.eligible[p.uid].Has(class) || !w.router.Manages(p.uid) && p.listed || w.chance(0.005) {
			allowed = append(allowed, p)
		}
	}
	if len(allowed) == 0 {
		return
	}
	p := allowed[w.random.IntN(len(allowed))]
	w.router.Sent(p.uid)
	p.holds++
	w.flying = append(w.flying, p)
}

func take(random *rand.Rand, from *[]*modelPool) *modelPool {
	if len(*from) == 0 {
		return nil
	}
	i := random.IntN(len(*from))
	p := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return p
}

// endAttempt ends a set-up that is out, or has it answered.
func (w *world) endAttempt() {
	p := take(w.random, &w.flying)
	if p == nil {
		return
	}
	fails := 0.04
	if zone := slices.Index(zoneNames, p.zone); zone >= 0 && w.failing[zone] {
		fails = 0.8
	}
	if w.chance(fails) {
		p.holds--
		w.router.Ended(w.now, p.uid, routing.Failure, false)
		return
	}
	if w.chance(0.1) {
		p.holds--
		w.router.Ended(w.now, p.uid, routing.Neutral, false)
		return
	}
	w.router.Answered(w.now, p.uid)
	w.standing = append(w.standing, p)
}

func (w *world) endCall() {
	if p := take(w.random, &w.standing); p != nil {
		p.holds--
		w.router.Ended(w.now, p.uid, routing.Neutral, true)
	}
}

func (w *world) report() {
	p := w.anyPool()
	switch w.random.IntN(8) {
	case 0:
		w.router.Report(p.uid, -1, p.agents)
	case 1:
		w.router.Report(p.uid, 0, -1)
	case 2:
		w.router.Report(p.uid, 0, p.agents)
	case 3:
		w.router.Report("nobody", 3, 3)
	default:
		w.router.Report(p.uid, max(0, p.agents-float64(p.holds)), p.agents)
	}
}

// list changes a pool's line, and at times a whole zone's, or forgets all of them.
func (w *world) list() {
	p := w.anyPool()
	switch w.random.IntN(12) {
	case 0:
		for _, q := range w.pools {
			if q.zone == p.zone {
				q.up = false
			}
		}
	case 1, 2, 3, 4:
		for _, q := range w.pools {
			q.up, q.listed = q.up || w.chance(0.5), q.listed || w.chance(0.5)
		}
	case 5:
		p.listed = !p.listed
	case 6:
		if w.chance(0.1) {
			w.router.UpdateEndpoints(w.now, nil)
			return
		}
	default:
		p.up = !p.up
	}
	w.tellRoster()
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

// odd tells what should not come: ends of what was not sent, and names of nobody.
func (w *world) odd() {
	p := w.anyPool()
	switch w.random.IntN(6) {
	case 0:
		w.router.Ended(w.now, p.uid, routing.Failure, false)
	case 1:
		w.router.Ended(w.now, p.uid, routing.Success, true)
	case 2:
		w.router.Answered(w.now, p.uid)
	case 3:
		w.router.Sent("nobody")
		w.router.Ended(w.now, "nobody", routing.Failure, false)
	case 4:
		w.router.Advance(w.now)
	case 5:
		w.router.Answered(w.now, "nobody")
	}
}

// step plays one random step and notes what the router then says.
func (w *world) step(d *digest) {
	w.pass()
	playOne(w.random, []weighted{
		{38, w.send}, {30, w.endAttempt}, {18, w.endCall}, {8, w.report}, {1, w.list}, {1, w.flipZone}, {3, w.wait}, {1, w.odd},
	})
	d.number(w.now)
	d.number(w.router.Next(w.now))
	if w.chance(0.8) {
		w.eligible = w.router.Eligible(w.now)
		w.noteEligible(d)
		d.number(w.router.Next(w.now))
	}
	w.noteState(d)
}

func (w *world) noteEligible(d *digest) {
	uids := slices.Sorted(maps.Keys(w.eligible))
	d.number(int64(len(uids)))
	for _, uid := range uids {
		d.word(uid)
		d.number(int64(w.eligible[uid]))
		for _, class := range []int{0, 1, w.config.Classes - 1, w.config.Classes} {
			d.flag(w.eligible[uid].Has(class))
		}
	}
}

func (w *world) noteState(d *digest) {
	for _, z := range w.router.Zones() {
		d.word(z.Zone)
		d.number(int64(z.Tier))
		d.flag(z.Ejected)
		d.flag(z.NoEndpoints)
		d.number(z.EjectedUntil)
		d.number(int64(z.WarmingUp))
		d.number(int64(z.InFlight))
		d.real(z.Agents)
	}
	spilled := w.router.Spilled()
	for _, zone := range slices.Sorted(maps.Keys(spilled)) {
		d.word(zone)
		d.real(spilled[zone])
	}
	count := w.router.Counts()
	d.number(int64(count.ZonesEjected))
	d.number(int64(count.Flaps))
	d.number(int64(count.SlowStartCapped))
	d.number(int64(count.SpillCapped))
	d.flag(w.router.Manages(w.anyPool().uid))
}

func TestCharacterization_Decisions(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(t, s, uint64(i+1))
		got.WriteString(digestInTenths(strings.ReplaceAll(s.name, " ", "-"), 8_000, w.step))
		count := w.router.Counts()
		t.Logf("%s: zones out %d, flaps %d, capped by warm-up %d, by spill budget %d", s.name, count.ZonesEjected, count.Flaps,
			count.SlowStartCapped, count.SpillCapped)
	}
	compareWithRecorded(t, "decisions.txt", got.String())
}

// tiersOf is a table with the tiers of the controller's own zone.
func tiersOf(tiers ...[]string) map[string][][]string {
	return map[string][][]string{"batumi": tiers}
}

// errorLine is a case's line in the recorded file: its name, what the error says, and what the operator can do.
func errorLine(name string, err error) string {
	if err == nil {
		return name + " | no error |\n"
	}
	return strings.TrimRight(name+" | "+err.Error()+" | "+remedy.Of(err), " ") + "\n"
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		name   string
		change func(c *routing.Config)
	}{
		{"nothing wrong", func(*routing.Config) {}},
		{"no zone", func(c *routing.Config) { c.Zone = "" }},
		{"unknown zone", func(c *routing.Config) { c.Zone = "poti" }},
		{"spill share below 0", func(c *routing.Config) { c.SpillBudget = -0.1 }},
		{"spill share over 1", func(c *routing.Config) { c.SpillBudget = 1.5 }},
		{"spill share no number", func(c *routing.Config) { c.SpillBudget = math.NaN() }},
		{"spill share 1", func(c *routing.Config) { c.SpillBudget = 1 }},
		{"out share 0", func(c *routing.Config) { c.EjectionThreshold = 0 }},
		{"out share over 1", func(c *routing.Config) { c.EjectionThreshold = 1.01 }},
		{"out share no number", func(c *routing.Config) { c.EjectionThreshold = math.NaN() }},
		{"warm from 0", func(c *routing.Config) { c.SlowStartCapacity = 0 }},
		{"warm from over 1", func(c *routing.Config) { c.SlowStartCapacity = 1.01 }},
		{"warm from no number", func(c *routing.Config) { c.SlowStartCapacity = math.NaN() }},
		{"window 0", func(c *routing.Config) { c.Window = 0 }},
		{"hold negative", func(c *routing.Config) { c.EjectionTime = -1 }},
		{"most hold under hold", func(c *routing.Config) { c.MaxEjectionTime = c.EjectionTime - 1 }},
		{"flap within negative", func(c *routing.Config) { c.FlapWindow = -1 }},
		{"warm up negative", func(c *routing.Config) { c.SlowStartWindow = -1 }},
		{"spill after negative", func(c *routing.Config) { c.SpillDelay = -1 }},
		{"least 0", func(c *routing.Config) { c.MinSamples = 0 }},
		{"nodes 0", func(c *routing.Config) { c.Nodes = 0 }},
		{"classes 0", func(c *routing.Config) { c.Classes = 0 }},
		{"classes 64", func(c *routing.Config) { c.Classes = 64 }},
		{"classes 65", func(c *routing.Config) { c.Classes = 65 }},
		{"tiers of an unknown zone", func(c *routing.Config) { c.Tiers = map[string][][]string{"poti": {{"batumi"}}} }},
		{"empty tier", func(c *routing.Config) { c.Tiers = tiersOf([]string{"tbilisi"}, nil) }},
		{"unknown zone in a tier", func(c *routing.Config) { c.Tiers = tiersOf([]string{"tbilisi", "gori"}) }},
		{"own zone in a tier", func(c *routing.Config) { c.Tiers = tiersOf([]string{"batumi"}) }},
		{"zone in two tiers", func(c *routing.Config) { c.Tiers = tiersOf([]string{"tbilisi"}, []string{"tbilisi"}) }},
		{"class out of range", func(c *routing.Config) { c.ClassTiers = map[int]map[string][][]string{2: nil} }},
		{"unknown zone in a class's tier", func(c *routing.Config) {
			c.ClassTiers = map[int]map[string][][]string{1: tiersOf([]string{"gori"})}
		}},
	} {
		cfg := baseConfig()
		c.change(&cfg)
		_, err := routing.New(cfg, zoneNames)
		got.WriteString(errorLine(c.name, err))
	}
	compareWithRecorded(t, "config-errors.txt", got.String())
}

const goodFile = `zone = "batumi"
zones = ["batumi", "tbilisi", "kutaisi", "telavi"]
[tiers]
batumi = [["tbilisi", "kutaisi"], ["telavi"]]
`

func TestCharacterization_FileErrors(t *testing.T) {
	var got strings.Builder
	many := strings.Repeat(`"z", `, 65)
	for _, c := range []struct{ name, text string }{
		{"nothing wrong", goodFile},
		{"unknown zone", strings.Replace(goodFile, `zone = "batumi"`, `zone = "poti"`, 1)},
		{"no zones", `zone = "batumi"` + "\n"},
		{"65 zones", `zone = "z"` + "\nzones = [" + many + "]\n"},
		{"unknown field", "colour = 1\n" + goodFile},
		{"spill share", "spill_share = 1.2\n" + goodFile},
		{"spill share a word", "spill_share = \"much\"\n" + goodFile},
		{"out share", "out_share = 0.0\n" + goodFile},
		{"warm from", "warm_from = 2.0\n" + goodFile},
		{"window", "window = \"0s\"\n" + goodFile},
		{"window a bad duration", "window = \"ten\"\n" + goodFile},
		{"least", "least = 0\n" + goodFile},
		{"no table", "zone\n"},
		{"unknown zone in a tier", strings.Replace(goodFile, `["telavi"]`, `["gori"]`, 1)},
		{"own zone in a tier", strings.Replace(goodFile, `["telavi"]`, `["batumi"]`, 1)},
		{"tiers of an unknown zone", goodFile + `gori = [["batumi"]]` + "\n"},
		{"class's tier", goodFile + "[class.stop-sell.tiers]\nbatumi = [[\"tbilisi\"], [\"gori\"]]\n"},
		{"unknown class", goodFile + "[class.fax.tiers]\nbatumi = [[\"tbilisi\"]]\n"},
	} {
		file, err := config.ParseRouting(c.text)
		if err == nil {
			_, err = file.Router(1, []string{"voice"})
		}
		got.WriteString(errorLine(c.name, err))
	}
	compareWithRecorded(t, "file-errors.txt", got.String())
}

// outAfter is after how many outcomes, every second of them a failure, a zone goes out; 0 for never.
func outAfter(t *testing.T, least int) int {
	t.Helper()
	router, err := routing.New(changed(func(c *routing.Config) { c.MinSamples = least }), zoneNames)
	if err != nil {
		t.Fatal(err)
	}
	router.UpdateEndpoints(second, []routing.Endpoint{{UID: "b1", Zone: "batumi", Up: true}})
	for n := 1; n <= 1000; n++ {
		router.Sent("b1")
		outcome := routing.Success
		if n%2 == 0 {
			outcome = routing.Failure
		}
		router.Ended(second+int64(n), "b1", outcome, false)
		if router.Counts().ZonesEjected > 0 {
			return n
		}
	}
	return 0
}

func TestCharacterization_OutcomesUntilOut(t *testing.T) {
	var got strings.Builder
	got.WriteString("# least, then after how many outcomes, half of them failures, a zone goes out; 0: never\n")
	for _, least := range []int{1, 2, 3, 8, 255, 256, 257, 500} {
		fmt.Fprintf(&got, "%d %d\n", least, outAfter(t, least))
	}
	compareWithRecorded(t, "outcomes-until-out.txt", got.String())
}
