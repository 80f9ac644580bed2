package routing

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

const s1 = int64(1_000_000)

var zones = []string{"batumi", "tbilisi", "kutaisi", "telavi"}

func config() Config {
	return Config{
		Zone:        "batumi",
		Tiers:       map[string][][]string{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}},
		SpillBudget: 0.5, Window: 10 * s1, EjectionThreshold: 0.5, MinSamples: 4,
		EjectionTime: 5 * s1, MaxEjectionTime: 40 * s1, FlapWindow: 60 * s1,
		SlowStartWindow: 10 * s1, SlowStartCapacity: 0.2, Nodes: 1, Classes: 2,
	}
}

// rig is a router with two pools a zone, b1/b2 in batumi and so on, each with 10 agents.
func rig(t *testing.T) *Router {
	t.Helper()
	r, err := New(config(), zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(0, roster(nil))
	for _, p := range roster(nil) {
		r.Report(p.UID, 10, 10)
	}
	return r
}

// roster lists every pool up but those down.
func roster(down []string) []Endpoint {
	var out []Endpoint
	for _, z := range zones {
		for _, n := range []string{"1", "2"} {
			uid := z[:2] + n
			out = append(out, Endpoint{UID: uid, Zone: z, Up: !slices.Contains(down, uid) && !slices.Contains(down, z)})
		}
	}
	return out
}

func eligible(r *Router, now int64) string {
	var uids []string
	for uid := range r.Eligible(now) {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	return strings.Join(uids, " ")
}

func TestBadConfigNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"zone":                  func(c *Config) { c.Zone = "poti" },
		"tiers.poti":            func(c *Config) { c.Tiers["poti"] = [][]string{{"batumi"}} },
		"tiers.batumi[1]":       func(c *Config) { c.Tiers["batumi"][1] = []string{"gori"} },
		"spill_share":           func(c *Config) { c.SpillBudget = 1.5 },
		"warm_from":             func(c *Config) { c.SlowStartCapacity = 0 },
		"out_share":             func(c *Config) { c.EjectionThreshold = 0 },
		"least and nodes":       func(c *Config) { c.Nodes = 0 },
		"window, hold":          func(c *Config) { c.MaxEjectionTime = 1 },
		"tiers.batumi[0]: \"ba": func(c *Config) { c.Tiers["batumi"][0] = []string{"batumi"} },
		"tiers.batumi[1]: \"tb": func(c *Config) { c.Tiers["batumi"][1] = []string{"tbilisi"} },
	} {
		c := config()
		c.Tiers = map[string][][]string{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}}
		change(&c)
		_, err := New(c, zones)
		if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func TestOwnZoneFirst(t *testing.T) {
	r := rig(t)
	if got := eligible(r, 0); got != "ba1 ba2" {
		t.Errorf("eligible %q, want batumi's pools alone", got)
	}
}

func TestDarkZoneSpillsToTheNextTierWithinTheBudget(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"batumi"}))
	if got := eligible(r, s1); got != "ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q, want the first tier of neighbours", got)
	}
	// The tier has 40 agents; half of them may hold batumi's calls: 20.
	for i := range 20 {
		r.Sent([]string{"tb1", "tb2", "ku1", "ku2"}[i%4])
	}
	if got := eligible(r, s1); got != "" {
		t.Errorf("eligible %q past the spill budget, want none: refused at once, not sent on", got)
	}
	if r.Counts().SpillCapped == 0 {
		t.Error("the cap is not counted")
	}
	r.Ended(s1, "tb1", Neutral, true) // a spilled call ends
	if got := eligible(r, s1); got != "ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q under the budget again", got)
	}
}

func TestSpillToNearlyFullPools(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"batumi"}))
	for _, uid := range []string{"tb1", "tb2", "ku1", "ku2"} {
		r.Report(uid, 1, 10) // nearly full: their own zones' calls hold 9 of 10
	}
	for range 20 {
		r.Sent("tb1")
	}
	if got := eligible(r, s1); got != "" {
		t.Errorf("eligible %q: the budget counts this zone's calls, whatever the pools' own load", got)
	}
	// When the neighbours are full, the tier after opens, within its own budget.
	for _, uid := range []string{"tb1", "tb2", "ku1", "ku2"} {
		r.Report(uid, 0, 10)
	}
	if got := eligible(r, s1); got != "te1 te2" {
		t.Errorf("eligible %q with the first tier full, want telavi's", got)
	}
}

func TestFullOwnZoneSpills(t *testing.T) {
	r := rig(t)
	r.Report("ba1", 0, 10)
	r.Report("ba2", 0, 10)
	if got := eligible(r, 0); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q with batumi full", got)
	}
	r.Report("ba1", 3, 10)
	if got := eligible(r, 0); got != "ba1 ba2" {
		t.Errorf("eligible %q with room at home again", got)
	}
}

func TestAllZonesButOneLost(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"batumi", "tbilisi", "kutaisi"}))
	if got := eligible(r, s1); got != "te1 te2" {
		t.Errorf("eligible %q, want the last zone", got)
	}
	r.UpdateEndpoints(2*s1, roster([]string{"batumi", "tbilisi", "kutaisi", "telavi"}))
	if got := eligible(r, 2*s1); got != "" {
		t.Errorf("eligible %q with all lost", got)
	}
}

func TestOutlierZoneIsTakenOutByItsFailures(t *testing.T) {
	r := rig(t)
	for i := range 4 {
		r.Sent("ba1")
		o := Failure
		if i == 0 {
			o = Success
		}
		r.Ended(s1, "ba1", o, false)
	}
	if got := eligible(r, s1); got != "ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q with batumi failing three in four", got)
	}
	if got := eligible(r, s1+5*s1-1); got != "ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q within the hold", got)
	}
	// After the hold it warms up, and the spill stays open meanwhile.
	if got := eligible(r, 6*s1); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q after the hold", got)
	}
	if got := eligible(r, 16*s1); got != "ba1 ba2" {
		t.Errorf("eligible %q when warm", got)
	}
}

func TestFlappingZoneIsHeldOutLonger(t *testing.T) {
	r := rig(t)
	now := int64(0)
	var holds []int64
	for range 3 { // dark, back, dark, back ... within a minute
		now += s1
		r.UpdateEndpoints(now, roster([]string{"batumi"}))
		out := now
		now += s1
		r.UpdateEndpoints(now, roster(nil)) // it is back at once, but held out
		for eligible(r, now) != "ba1 ba2" {
			now += s1 / 10
		}
		holds = append(holds, now-out)
	}
	if !(holds[0] >= 5*s1 && holds[1] >= 10*s1 && holds[2] >= 20*s1) {
		t.Errorf("holds %v µs, want at least 5, 10 and 20 s", holds)
	}
	if r.Counts().Flaps != 2 {
		t.Errorf("%d flaps, want 2", r.Counts().Flaps)
	}
	// Long after, a hold is the least again.
	now += 120 * s1
	r.UpdateEndpoints(now, roster([]string{"batumi"}))
	if z := r.Zones()[0]; z.EjectedUntil-now != 5*s1 {
		t.Errorf("hold %d after a quiet time, want 5 s", z.EjectedUntil-now)
	}
}

func TestReturningZoneWarmsUp(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"batumi"}))
	r.UpdateEndpoints(2*s1, roster(nil))
	back := 6 * s1                   // the hold ends at 6 s
	const spill = " ku1 ku2 tb1 tb2" // open while batumi warms
	if got := eligible(r, back); got != "ba1 ba2"+spill {
		t.Fatalf("eligible %q at the end of the hold", got)
	}
	// 20% of 10 agents at first: 2 each.
	for _, uid := range []string{"ba1", "ba1", "ba2", "ba2"} {
		r.Sent(uid)
	}
	if got := eligible(r, back); got != spill[1:] {
		t.Errorf("eligible %q with the warming pools at their capacity", got)
	}
	// Half-way through the warm-up: 60%, 6 each.
	mid := back + 5*s1
	for range 3 {
		r.Sent("ba1")
	}
	if got := eligible(r, mid); got != "ba1 ba2"+spill {
		t.Errorf("eligible %q half-way, 5 of 6 held", got)
	}
	r.Sent("ba1")
	if got := eligible(r, mid); got != "ba2"+spill {
		t.Errorf("eligible %q half-way, 6 of 6 held at ba1", got)
	}
	if got := eligible(r, back+10*s1); got != "ba1 ba2" {
		t.Errorf("eligible %q when warm", got)
	}
}

// Never over the warm-up capacity: at every step a pool that is eligible holds less than its capacity.
func TestWarmUpIsNeverExceeded(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"ba1"}))
	r.UpdateEndpoints(2*s1, roster(nil)) // ba1 returns from a drain: it warms, ba2 does not
	for now := 2 * s1; now < 12*s1; now += s1 / 10 {
		e := r.Eligible(now)
		p := r.pools["ba1"]
		if e["ba1"] != 0 {
			if float64(p.busy) >= r.warmCap(now, p) && p.warmFrom > 0 {
				t.Fatalf("at %d ba1 is eligible holding %d of %.1f", now, p.busy, r.warmCap(now, p))
			}
			r.Sent("ba1")
		}
	}
}

func TestPoolDroppingDuringWarmUpStartsAgain(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"ba1"}))
	r.UpdateEndpoints(2*s1, roster(nil))
	r.UpdateEndpoints(7*s1, roster([]string{"ba1"})) // half-way, it drops
	r.UpdateEndpoints(8*s1, roster(nil))
	if p := r.pools["ba1"]; p.warmFrom != 8*s1 {
		t.Errorf("warm from %d, want the new start", p.warmFrom)
	}
	r.UpdateEndpoints(9*s1, slices.DeleteFunc(roster(nil), func(p Endpoint) bool { return p.UID == "ba1" }))
	if _, kept := r.pools["ba1"]; kept {
		t.Error("a gone pool's state is kept")
	}
}

func TestZoneReturningWhileItsSpillStands(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, roster([]string{"batumi"}))
	for range 6 {
		r.Sent("tb1")
		r.Answered(s1, "tb1")
	}
	r.UpdateEndpoints(2*s1, roster(nil))
	if got := eligible(r, 6*s1); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q when batumi is back, warming", got)
	}
	if got := eligible(r, 16*s1); got != "ba1 ba2" {
		t.Fatalf("eligible %q when batumi is back and warm", got)
	}
	if z := r.Zones(); z[1].Zone != "tbilisi" || z[1].InFlight != 6 {
		t.Errorf("the spilled calls stand on where they are: %+v", z[1])
	}
	for range 6 {
		r.Ended(17*s1, "tb1", Neutral, true)
	}
	if z := r.Zones(); z[1].InFlight != 0 {
		t.Errorf("%+v", z[1])
	}
}

func TestZoneNoTierNamesIsLeftToTheModule(t *testing.T) {
	r := rig(t)
	r.UpdateEndpoints(s1, append(roster(nil), Endpoint{UID: "x1", Zone: "poti", Up: true}))
	if got := eligible(r, s1); got != "ba1 ba2" || r.Manages("x1") || !r.Manages("te1") {
		t.Errorf("eligible %q, judged %v: a pool of a zone not configured is not routing's", got, r.Manages("x1"))
	}
}

func TestTiersOfAClass(t *testing.T) {
	cfg := config()
	cfg.Classes = 3
	cfg.ClassTiers = map[int]map[string][][]string{1: {"batumi": {{"telavi"}}}, 2: {}}
	r, err := New(cfg, zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(0, roster([]string{"batumi"}))
	for _, p := range roster(nil) {
		r.Report(p.UID, 10, 10)
	}
	e := r.Eligible(s1)
	// Class 0 has the general tiers, class 1 its own, class 2 spills nowhere.
	for uid, want := range map[string]Classes{"tb1": 0b001, "ku2": 0b001, "te1": 0b010, "ba1": 0} {
		if e[uid] != want {
			t.Errorf("%s: classes %b, want %b", uid, e[uid], want)
		}
	}
	cfg.ClassTiers[3] = nil
	if _, err := New(cfg, zones); !errors.Is(err, ErrConfig) {
		t.Errorf("tiers of a class that there is not: %v", err)
	}
}

// Guards against calls being refused while the neighbours idle: the own zone was neither lost nor full, but the
// module sent it one set-up at a time.
func TestCallsThatWaitOpenTheNextTier(t *testing.T) {
	r := rig(t)
	r.cfg.SpillDelay = s1 / 10
	for _, c := range []struct {
		now, since int64
		want       string
	}{
		{10 * s1, 0, "ba1 ba2"},
		{10 * s1, 10*s1 - s1/20, "ba1 ba2"},
		{10 * s1, 10*s1 - s1/10, "ba1 ba2 ku1 ku2 tb1 tb2"},
		{10*s1 + spillFor - 1, 0, "ba1 ba2 ku1 ku2 tb1 tb2"},
		{10*s1 + spillFor, 0, "ba1 ba2"},
	} {
		r.SetOldestWait(c.now, c.since)
		if got := eligible(r, c.now); got != c.want {
			t.Errorf("at %d, waiting since %d: %q, want %q", c.now, c.since, got, c.want)
		}
	}
}

func TestNextIsTheEndOfAHoldOrAWarmUp(t *testing.T) {
	r := rig(t)
	if next := r.Next(0); next != 0 {
		t.Errorf("next %d with nothing waiting", next)
	}
	r.UpdateEndpoints(s1, roster([]string{"batumi"}))
	if next := r.Next(s1); next != 6*s1 {
		t.Errorf("next %d, want the end of the hold", next)
	}
}

func TestPoolsOfTheFirstListAreWarm(t *testing.T) {
	r, err := New(config(), zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(0, nil) // as when routing is put in before the list comes
	r.UpdateEndpoints(s1, roster(nil))
	if got := eligible(r, s1); got != "ba1 ba2" {
		t.Errorf("eligible %q: pools of the first list that has any are warm", got)
	}
}
