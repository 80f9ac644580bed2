// Package routing narrows the pools that the decision module may choose from by zone: the controller's
// own zone first, then its neighbours in tiers; a spill budget on what another zone's pools take of this
// zone's calls; outlier detection of a zone from the pools' own outcomes, with hysteresis so that a zone
// that flaps is not bounced back and forth; and slow start of a pool or zone that returns.
//
// It never chooses a pool: it says which pools are eligible now, and the module chooses among them, as
// it does among pools that do not drain. It does no I/O and reads no clock: every call is given the
// time in µs. A Router is not safe for concurrent use; the dispatcher's loop goroutine owns it.
package routing

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Config is the operator's. Times are in µs.
type Config struct {
	Zone string // the controller's own zone
	// Tiers are, for each zone, the tiers of zones it spills to, nearest first; the zone itself is always
	// the first tier and is not listed.
	Tiers map[string][][]string
	// ClassTiers take the place of Tiers for single classes, by the class's index: a class that must stand may
	// spill further than the rest, one that can wait not at all.
	ClassTiers map[int]map[string][][]string
	// SpillBudget is the most of a tier's capacity (its agents, this controller's share) that calls of this
	// zone may hold in another zone, in flight and standing together: 0 to 1.
	SpillBudget float64
	// SpillDelay: the next tier opens, within its budget, while a call has waited this long for a place in the
	// serving one, and for spillFor more. A zone that the module uses only a set-up at a time, as after a
	// failure, is neither lost nor full.
	SpillDelay        int64
	Window            int64   // the outcomes a zone is judged by are those of this long
	EjectionThreshold float64 // a zone with this share of failures in the window, or more, is out
	MinSamples        int     // outcomes in the window below which a zone is not judged; so many failures in a row take it out
	EjectionTime      int64   // the least time a zone stays out
	MaxEjectionTime   int64   // the most that repeated flaps make the hold
	FlapWindow        int64   // a zone out again within this of its return is a flap: its hold doubles
	SlowStartWindow   int64   // slow start: a returning pool comes to its whole capacity over this long
	SlowStartCapacity float64 // and starts at this share of it: 0 to 1
	Classes           int     // classes of call, 1 to MostClasses
	Nodes             int     // controllers that share the pools: each takes its share of their agents
}

// MaxClasses is the most classes that a Classes can hold.
const MaxClasses = 64

// Classes is a set of classes of call, a bit for each by its index.
type Classes uint64

// Has tells whether the class is in the set.
func (c Classes) Has(class int) bool { return c>>class&1 == 1 }

// ErrConfig tells of a Config that makes no sense; the message names the field.
var ErrConfig = errors.New("routing: bad config")

// Check tells what is wrong with the Config: an unknown zone in the tiers, a zone twice (a cycle back
// to itself or an earlier tier), a share out of range.
func (c Config) Check(zones []string) error {
	known := map[string]bool{}
	for _, z := range zones {
		known[z] = true
	}
	switch {
	case c.Zone == "" || !known[c.Zone]:
		return fmt.Errorf("%w: zone: %q is not a known zone", ErrConfig, c.Zone)
	case !(c.SpillBudget >= 0 && c.SpillBudget <= 1):
		return fmt.Errorf("%w: spill_share: want 0 to 1 (0%% to 100%%)", ErrConfig)
	case !(c.EjectionThreshold > 0 && c.EjectionThreshold <= 1):
		return fmt.Errorf("%w: out_share: want more than 0, at most 1", ErrConfig)
	case !(c.SlowStartCapacity > 0 && c.SlowStartCapacity <= 1):
		return fmt.Errorf("%w: warm_from: want more than 0, at most 1", ErrConfig)
	case c.Window <= 0 || c.EjectionTime < 0 || c.MaxEjectionTime < c.EjectionTime || c.FlapWindow < 0 || c.SlowStartWindow < 0 || c.SpillDelay < 0:
		return fmt.Errorf("%w: spill_after, window, hold, most_hold, flap_within, warm_up: want window > 0, most_hold >= hold >= 0", ErrConfig)
	case c.MinSamples < 1 || c.Nodes < 1:
		return fmt.Errorf("%w: least and nodes: want at least 1", ErrConfig)
	case c.Classes < 1 || c.Classes > MaxClasses:
		return fmt.Errorf("%w: classes: want 1 to %d", ErrConfig, MaxClasses)
	}
	return CheckTiers(c.Tiers, known)
}

// CheckTiers tells what is wrong with a table of tiers over the known zones.
func CheckTiers(table map[string][][]string, known map[string]bool) error {
	for zone, tiers := range table {
		if !known[zone] {
			return fmt.Errorf("%w: tiers.%s: not a known zone", ErrConfig, zone)
		}
		seen := map[string]bool{zone: true}
		for i, tier := range tiers {
			if len(tier) == 0 {
				return fmt.Errorf("%w: tiers.%s[%d]: empty", ErrConfig, zone, i)
			}
			for _, z := range tier {
				switch {
				case !known[z]:
					return fmt.Errorf("%w: tiers.%s[%d]: %q is not a known zone", ErrConfig, zone, i, z)
				case seen[z]:
					return fmt.Errorf("%w: tiers.%s[%d]: %q comes twice (a cycle)", ErrConfig, zone, i, z)
				}
				seen[z] = true
			}
		}
	}
	return nil
}

// Endpoint is a line of the pool list as routing needs it.
type Endpoint struct {
	UID  string
	Zone string
	Up   bool // listed as up: not draining, not gone
}

// Outcome is what became of a set-up, as routing judges a zone by it.
type Outcome int

// The outcomes. Failures are those that tell of the zone, not of the call: no answer, a reset, no
// connection. A pool that is full is no failure of its zone.
const (
	Success Outcome = iota
	Failure
	Neutral
)

// spillFor is how long a tier that opened for a call that waited stays open.
const spillFor = 1_000_000

// mostOutcomes bounds the outcomes kept for a zone.
const mostOutcomes = 256

type pool struct {
	Endpoint
	agents   float64 // told, 0: not yet
	free     float64 // told, -1: not yet
	busy     int     // set-ups out and calls standing of this controller
	flying   int     // of them, set-ups out
	warmFrom int64   // slow start began then, 0: warm
	seen     bool    // in the last roster
}

type zone struct {
	name     string
	outcomes []outcome // the latest, oldest first
	inRow    int       // failures since the last success
	out      bool
	outUntil int64 // out at least until then
	backAt   int64 // when it last came back, 0: never went out
	hold     int64 // the hold of its last time out
	dark     bool  // no pool of it is up
}

type outcome struct {
	at   int64
	fail bool
}

// Router holds the zones' and pools' state.
type Router struct {
	cfg     Config
	pools   map[string]*pool
	zones   map[string]*zone
	share   func(now int64, zone string) float64 // of a zone's spill budget, nil: one of Nodes equal ones
	rest    Classes                              // those without tiers of their own
	heldAt  int64                                // a call was last seen to have waited for SpillAfter, 0: never
	started bool                                 // a roster came: pools that come later warm up
	count   Counts                               // what happened
}

// Counts is what a Router has seen; all only grow.
type Counts struct {
	ZonesEjected, Flaps uint64
	// SlowStartCapped and SpillCapped count the pools left out of an Eligible by warm-up or spill budget.
	SlowStartCapped, SpillCapped uint64
}

// New returns a Router for the zones named; the Config is checked against them.
func New(cfg Config, zones []string) (*Router, error) {
	if err := cfg.Check(zones); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, pools: map[string]*pool{}, zones: map[string]*zone{}, rest: 1<<cfg.Classes - 1}
	known := map[string]bool{}
	for _, z := range zones {
		r.zones[z] = &zone{name: z}
		known[z] = true
	}
	for class, tiers := range cfg.ClassTiers {
		if !r.rest.Has(class) {
			return nil, fmt.Errorf("%w: class %d: not a class", ErrConfig, class)
		}
		if err := CheckTiers(tiers, known); err != nil {
			return nil, err
		}
		r.rest &^= 1 << class
	}
	return r, nil
}

// Counts returns what the Router has seen.
func (r *Router) Counts() Counts { return r.count }

// UpdateEndpoints takes the whole list of pools. A pool not in it is gone, and all of its state goes.
func (r *Router) UpdateEndpoints(now int64, pools []Endpoint) {
	for _, p := range r.pools {
		p.seen = false
	}
	for _, l := range pools {
		z := r.zones[l.Zone]
		if z == nil {
			continue // a zone no tier names: the pool is left to the module as it is (see Eligible)
		}
		p := r.pools[l.UID]
		if p == nil {
			p = &pool{free: -1}
			r.pools[l.UID] = p
			if r.started {
				p.warmFrom = now // a pool that comes later starts cold
			}
		} else if l.Up && !p.Up {
			p.warmFrom = now // back from a drain or a restart
		}
		p.Endpoint, p.seen = l, true
	}
	for uid, p := range r.pools {
		if !p.seen {
			delete(r.pools, uid)
		}
	}
	for _, z := range r.zones {
		dark := !slices.ContainsFunc(pools, func(l Endpoint) bool { return l.Zone == z.name && l.Up })
		if dark && !z.dark && r.started {
			r.goOut(now, z)
		}
		z.dark = dark
	}
	r.started = r.started || len(pools) > 0 // an empty list at the start says nothing of later pools
}

// Report takes what a pool told of its agents; a negative value is not told.
func (r *Router) Report(uid string, free, agents float64) {
	if p := r.pools[uid]; p != nil {
		if free >= 0 {
			p.free = free
		}
		if agents >= 0 {
			p.agents = agents
		}
	}
}

// Sent notes a set-up sent to a pool.
func (r *Router) Sent(uid string) {
	if p := r.pools[uid]; p != nil {
		p.busy++
		p.flying++
	}
}

// Ended notes the end of what Sent began: a set-up that did not stand (o its outcome), or a call that
// stood (stood, and o is Neutral).
func (r *Router) Ended(now int64, uid string, o Outcome, stood bool) {
	p := r.pools[uid]
	if p == nil {
		return
	}
	p.busy = max(0, p.busy-1)
	if !stood {
		p.flying = max(0, p.flying-1)
	}
	r.judge(now, p, o)
}

// Answered notes a set-up that stood: a success of its zone. The call holds its place until Ended.
func (r *Router) Answered(now int64, uid string) {
	if p := r.pools[uid]; p != nil {
		p.flying = max(0, p.flying-1)
		r.judge(now, p, Success)
	}
}

func (r *Router) judge(now int64, p *pool, o Outcome) {
	z := r.zones[p.Zone]
	if o == Neutral || z == nil {
		return
	}
	if len(z.outcomes) >= mostOutcomes {
		z.outcomes = z.outcomes[1:]
	}
	z.outcomes = append(z.outcomes, outcome{now, o == Failure})
	for len(z.outcomes) > 0 && now-z.outcomes[0].at > r.cfg.Window {
		z.outcomes = z.outcomes[1:]
	}
	if o == Failure {
		z.inRow++
	} else {
		z.inRow = 0
	}
	fails := 0
	for _, x := range z.outcomes {
		if x.fail {
			fails++
		}
	}
	// Out by a share of failures over the window, or at once by a run of them: a zone that goes dark after
	// a good while has the window full of successes (consecutive failures, as outlier detection does).
	share := len(z.outcomes) >= r.cfg.MinSamples && float64(fails) >= r.cfg.EjectionThreshold*float64(len(z.outcomes))
	if !z.out && (share || z.inRow >= r.cfg.MinSamples) {
		r.goOut(now, z)
	}
}

// goOut takes a zone out for its hold: doubled, up to MostHold, when it comes within FlapWithin of its
// last return.
func (r *Router) goOut(now int64, z *zone) {
	hold := r.cfg.EjectionTime
	if z.backAt > 0 && now-z.backAt <= r.cfg.FlapWindow {
		hold = min(max(2*z.hold, r.cfg.EjectionTime), r.cfg.MaxEjectionTime)
		r.count.Flaps++
	}
	z.out, z.outUntil, z.hold, z.outcomes, z.inRow = true, now+hold, hold, z.outcomes[:0], 0
	r.count.ZonesEjected++
}

// Advance moves time on: a zone whose hold is over and that has pools up comes back, and its pools warm up.
func (r *Router) Advance(now int64) {
	for _, z := range r.zones {
		if z.out && now >= z.outUntil && !z.dark {
			z.out, z.backAt = false, now
			for _, p := range r.pools {
				if p.Zone == z.name {
					p.warmFrom = now
				}
			}
		}
	}
	for _, p := range r.pools {
		if p.warmFrom > 0 && now >= p.warmFrom+r.cfg.SlowStartWindow {
			p.warmFrom = 0
		}
	}
}

// SetOldestWait tells since when the call that has waited longest for a place has done so, 0: none waits.
func (r *Router) SetOldestWait(now, since int64) {
	if since > 0 && now-since >= r.cfg.SpillDelay {
		r.heldAt = now
	}
}

// waited tells whether calls waited for a place in the serving tier of late.
func (r *Router) waited(now int64) bool { return r.heldAt > 0 && now < r.heldAt+spillFor }

// Manages tells whether the pool is in a zone of the file: the others are left to the module as they are.
func (r *Router) Manages(uid string) bool { return r.pools[uid] != nil }

// Next is when eligibility may change by time alone: a hold ends, a warm-up steps on. 0: nothing waits.
func (r *Router) Next(now int64) int64 {
	var next int64
	soonest := func(t int64) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if r.waited(now) {
		soonest(r.heldAt + spillFor)
	}
	for _, z := range r.zones {
		if z.out {
			soonest(z.outUntil)
		}
	}
	for _, p := range r.pools {
		if p.warmFrom > 0 { // the capacity grows all through: look again every twentieth of the warm-up
			soonest(min(p.warmFrom+r.cfg.SlowStartWindow, now+max(r.cfg.SlowStartWindow/20, 1)))
		}
	}
	return next
}

// Tiers are the controller's tiers, for the classes that have none of their own: its own zone, then its
// neighbours'.
func (r *Router) Tiers() [][]string { return r.tiers(r.cfg.Tiers) }

func (r *Router) tiers(table map[string][][]string) [][]string {
	return append([][]string{{r.cfg.Zone}}, table[r.cfg.Zone]...)
}

// Eligible returns the pools that the module may send new set-ups to now, by uid, and of which classes.
// A pool is eligible for a class when it is up, its zone is in one of the class's tiers and not out, the tier
// serves, the pool is under its warm-up capacity, and, outside the controller's own zone, the tier is under its
// spill budget, which all classes share. Pools that it does not judge are not in it.
func (r *Router) Eligible(now int64) map[string]Classes {
	r.Advance(now)
	out := map[string]Classes{}
	for class, table := range r.cfg.ClassTiers {
		r.offer(now, r.tiers(table), 1<<class, out)
	}
	if r.rest != 0 {
		r.offer(now, r.Tiers(), r.rest, out)
	}
	return out
}

// offer adds the classes, which share the tiers, to the pools that they may use now.
func (r *Router) offer(now int64, tiers [][]string, classes Classes, out map[string]Classes) {
	tierOf := map[string]int{}
	for i, tier := range tiers {
		for _, z := range tier {
			tierOf[z] = i
		}
	}
	serving := -1 // the first tier with a zone that can take calls
	for i, tier := range tiers {
		if slices.ContainsFunc(tier, func(z string) bool { return r.open(z) }) {
			serving = i
			break
		}
	}
	// Spill to the tiers past the serving one opens only while all of its pools are full, while it warms
	// up, as a zone that returns cannot take all at once and may fail again, or to the next one while calls
	// wait in vain for a place there.
	last := serving
	if serving >= 0 {
		for last < len(tiers)-1 && (r.full(tiers[last]) || r.warming(tiers[last]) || last == serving && r.waited(now)) {
			last++
		}
	}
	spill := map[int]bool{}
	for i := max(serving, 0); i <= last; i++ {
		if i > 0 {
			spill[i] = r.spillRoom(now, tiers[i])
		}
	}
	for uid, p := range r.pools {
		if !p.Up {
			continue
		}
		t, named := tierOf[p.Zone]
		switch {
		case !named || serving < 0 || t < serving || t > last || !r.open(p.Zone):
		case t > 0 && !spill[t]:
			r.count.SpillCapped++
		case p.warmFrom > 0 && float64(p.busy) >= r.warmCap(now, p):
			r.count.SlowStartCapped++
		default:
			out[uid] |= classes
		}
	}
}

// open tells whether a zone may take calls: not out, and with a pool up.
func (r *Router) open(name string) bool {
	z := r.zones[name]
	return z != nil && !z.out && !z.dark
}

// full tells whether every pool of a tier that is up has told it has no free agent, or holds its capacity.
func (r *Router) full(tier []string) bool {
	any := false
	for _, p := range r.pools {
		if !p.Up || !slices.Contains(tier, p.Zone) || !r.open(p.Zone) {
			continue
		}
		any = true
		if p.free != 0 && !(p.agents > 0 && float64(p.busy) >= p.agents/float64(r.cfg.Nodes)) {
			return false
		}
	}
	return any
}

// warming tells whether a pool of the tier is in its warm-up.
func (r *Router) warming(tier []string) bool {
	for _, p := range r.pools {
		if p.Up && p.warmFrom > 0 && slices.Contains(tier, p.Zone) && r.open(p.Zone) {
			return true
		}
	}
	return false
}

// spillRoom tells whether the calls that this controller holds in a tier are under its budget.
func (r *Router) spillRoom(now int64, tier []string) bool {
	var busy, flying, agents, allowed float64
	for _, p := range r.pools {
		if p.Up && slices.Contains(tier, p.Zone) {
			busy += float64(p.busy)
			flying += float64(p.flying)
			agents += p.agents
			allowed += r.cfg.SpillBudget * p.agents * r.shareOf(now, p.Zone)
		}
	}
	if agents == 0 {
		return flying < 1 // not told yet: one set-up at a time, whose answer tells
	}
	return busy < allowed
}

// SetQuotaSource has the fleet's shares of zones' spill budgets take the place of equal ones; nil: equal ones.
func (r *Router) SetQuotaSource(of func(now int64, zone string) float64) { r.share = of }

func (r *Router) shareOf(now int64, zone string) float64 {
	if r.share != nil {
		return r.share(now, zone)
	}
	return 1 / float64(r.cfg.Nodes)
}

// Spilled is, for each zone that this controller spills to, the part of the zone's whole spill budget that its calls
// there hold.
func (r *Router) Spilled() map[string]float64 {
	out := map[string]float64{}
	for _, tier := range r.Tiers()[1:] {
		for _, z := range tier {
			var busy, agents float64
			for _, p := range r.pools {
				if p.Zone == z && p.Up {
					busy += float64(p.busy)
					agents += p.agents
				}
			}
			if budget := r.cfg.SpillBudget * agents; budget > 0 {
				out[z] = busy / budget
			}
		}
	}
	return out
}

// warmCap is what a warming pool may hold of this controller's calls now: from WarmFrom of its share of
// agents up to all of it over WarmUp, in whole set-ups, and at least one.
func (r *Router) warmCap(now int64, p *pool) float64 {
	share := 1.0
	if r.cfg.SlowStartWindow > 0 {
		share = r.cfg.SlowStartCapacity + (1-r.cfg.SlowStartCapacity)*float64(now-p.warmFrom)/float64(r.cfg.SlowStartWindow)
	}
	agents := p.agents / float64(r.cfg.Nodes)
	if agents <= 0 {
		return float64(p.busy - p.flying + 1) // not told yet: one set-up at a time, whose answer tells
	}
	return max(1, math.Floor(agents*min(share, 1)+1e-9)) // whole set-ups; the nudge keeps 5.9999999 from being 5
}

// ZoneState is what a zone's state is, for logs and counters.
type ZoneState struct {
	Zone         string
	Tier         int // -1: in no tier of this controller
	Ejected      bool
	NoEndpoints  bool
	EjectedUntil int64 // out until then
	WarmingUp    int   // pools warming up
	InFlight     int   // set-ups out and calls standing of this controller
	Agents       float64
}

// Zones returns each zone's state, in the order of the tiers, then by name.
func (r *Router) Zones() []ZoneState {
	var out []ZoneState
	tiered := map[string]bool{}
	add := func(name string, tier int) {
		z := r.zones[name]
		s := ZoneState{Zone: name, Tier: tier, Ejected: z.out, NoEndpoints: z.dark, EjectedUntil: z.outUntil}
		for _, p := range r.pools {
			if p.Zone == name {
				s.InFlight += p.busy
				s.Agents += p.agents
				if p.warmFrom > 0 {
					s.WarmingUp++
				}
			}
		}
		out = append(out, s)
		tiered[name] = true
	}
	for i, tier := range r.Tiers() {
		for _, z := range tier {
			add(z, i)
		}
	}
	var rest []string
	for name := range r.zones {
		if !tiered[name] {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	for _, name := range rest {
		add(name, -1)
	}
	return out
}
