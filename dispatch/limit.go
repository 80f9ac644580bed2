package dispatch

import (
	"math"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/routing"
	"eidertrail/internal/slowstart"
	"eidertrail/internal/telemetry"
)

// QuotaSource tell what part of a pool's budget is this controller's now, and take how much of it could be used.
// A budget.Shared is one.
type QuotaSource interface {
	Quota(now int64, pool string) (units, whole int)
	Demand(now int64, pool string, units int)
}

// QuotaConfig is what budgets are held by.
type QuotaConfig struct {
	Source QuotaSource
	// SlowStartFraction is the part of what makes a cold pool fall over that all controllers together may send it.
	SlowStartFraction float64
	// SendWindow is how long after its decision a set-up to a pool with a budget may still leave, µs: a process
	// that stood still in between has no share any more.
	SendWindow int64
}

const (
	// burstOver is the time's worth of set-ups that may be in hand.
	burstOver = 0.25
	// lookAgain is how often what could be used of the shares is told.
	lookAgain = 200_000
	// busyPart of a share used asks for more of it: grow times as much.
	busyPart, grow = 0.8, 1.5
	// rateFresh is for how long a rate that a pool told holds.
	rateFresh = 3_000_000
	// unknownRate is the set-ups a second of a cold pool of which nothing is known yet, for each controller.
	unknownRate = 1.0
)

// limits holds the fleet's budgets of pools against this controller's set-ups: a pool over its share is not
// offered. Only the loop goroutine uses it.
type limits struct {
	cfg   QuotaConfig
	set   eidertrail.Settings
	hold  float64 // seconds
	pools map[string]*limited
	next  int64 // demands are told then
	log   zerolog.Logger
	count *telemetry.Counters
}

// limited is a pool as its budget sees it.
type limited struct {
	born   int64
	agents float64
	told   float64 // the rate that it told, and when
	toldAt int64
	meter  quota.TokenBucket
	sent   int     // set-ups since the last look
	rate   float64 // of them, a second, of late
	share  int     // units, as last logged
}

// SetQuotas has the shares of a fleet's budgets narrow what the module may choose from, from the next turn on.
func (d *Dispatcher) SetQuotas(cfg QuotaConfig) {
	d.post(func(now int64) { d.engine.SetQuotas(now, cfg) })
}

// SetQuotas is Dispatcher.Limit.
func (d *Engine) SetQuotas(now int64, cfg QuotaConfig) {
	l := &limits{cfg: cfg, set: d.set, pools: map[string]*limited{}, log: d.log, count: d.count}
	for _, c := range d.set.Classes {
		l.hold = max(l.hold, c.MeanHoldingTime.Seconds())
	}
	d.route.limits = l
	l.zones(d.route.r)
	for uid, s := range d.servers {
		l.list(uid, s)
	}
	d.retell(now)
}

// ObserveCapacity tells of the set-ups a second that a pool says it can take from all controllers.
func (d *Dispatcher) ObserveCapacity(uid string, rate float64) {
	d.post(func(now int64) { d.engine.ObserveCapacity(now, uid, rate) })
}

// ObserveCapacity is Dispatcher.ObserveRate.
func (d *Engine) ObserveCapacity(now int64, uid string, rate float64) {
	if l := d.route.limits; l != nil && rate >= 0 {
		if p := l.pools[uid]; p != nil {
			p.told, p.toldAt = rate, now
		}
	}
}

func (l *limits) list(uid string, s Endpoint) {
	p := l.pools[uid]
	if p == nil || p.born != s.StartedAt { // a new process: what the old one told says nothing
		l.pools[uid] = &limited{born: s.StartedAt}
	}
}

// roster forgets the pools that are gone.
func (l *limits) roster(servers map[string]Endpoint) {
	if l == nil {
		return
	}
	for uid, s := range servers {
		l.list(uid, s)
	}
	for uid := range l.pools {
		if _, listed := servers[uid]; !listed {
			delete(l.pools, uid)
		}
	}
}

// whole is the set-ups a second that all controllers together may send the pool now; false: no budget.
func (l *limits) whole(now int64, p *limited) (float64, bool) {
	start := slowstart.Profile{InitialCapacity: l.set.SlowStartCapacity, Window: l.set.SlowStartWindow.Microseconds()}
	if part, cold := start.CapacityAt(now - p.born); p.born > 0 && cold {
		warm := 0.0
		if p.agents > 0 && l.hold > 0 {
			warm = p.agents / l.hold
		}
		if p.toldAt > 0 && now-p.toldAt < rateFresh && (warm == 0 || p.told < warm) {
			return p.told, true // what it says that it can take as it is now
		}
		if warm == 0 {
			return unknownRate * float64(l.set.Nodes), true
		}
		return warm * part * l.set.OverloadMultiple * l.cfg.SlowStartFraction, true
	}
	return p.told, p.toldAt > 0 && now-p.toldAt < rateFresh
}

// allowed is this controller's rate at the pool; false: no budget.
func (l *limits) allowed(now int64, uid string, p *limited) (rate float64, limited bool) {
	all, limited := l.whole(now, p)
	if !limited {
		return 0, false
	}
	part, _ := l.part(now, uid)
	return all * part, true
}

// over tells whether the pool is over this controller's rate there, which is the rate.
func (l *limits) over(now int64, uid string, p *limited) (rate float64, over bool) {
	rate, is := l.allowed(now, uid, p)
	return rate, is && !p.meter.Ready(now, rate, rate*burstOver)
}

// ready tells whether a set-up may go to the pool now.
func (l *limits) ready(now int64, uid string) bool {
	if l == nil || l.pools[uid] == nil {
		return true
	}
	_, over := l.over(now, uid, l.pools[uid])
	return !over
}

// took takes a set-up that goes, and tells by when it must have left; 0: no budget.
func (l *limits) took(now int64, uid string) int64 {
	if l == nil {
		return 0
	}
	p := l.pools[uid]
	if p == nil {
		return 0
	}
	p.sent++
	if _, is := l.whole(now, p); !is {
		return 0
	}
	p.meter.Take()
	return now + l.cfg.SendWindow
}

func (l *limits) agents(uid string, agents float64) {
	if l != nil && agents > 0 && l.pools[uid] != nil {
		l.pools[uid].agents = agents
	}
}

// spill is the name of a zone's spill budget among the fleet's.
func spill(zone string) string { return "spill/" + zone }

// zones has a router's spill budgets shared by the fleet. What stands there when a borrowed share runs out stands on:
// a share bounds what is newly set up.
func (l *limits) zones(r *routing.Router) {
	if l == nil || r == nil {
		return
	}
	r.SetQuotaSource(func(now int64, zone string) float64 {
		part, _ := l.part(now, spill(zone))
		return part
	})
}

// part is this controller's share of a whole now, and in units.
func (l *limits) part(now int64, name string) (part float64, units int) {
	units, whole := l.cfg.Source.Quota(now, name)
	return float64(units) / float64(max(whole, 1)), units
}

// wants is what could be used of a share of so many units, of which a part is used.
func wants(used, share float64, units int) int {
	if share <= 0 {
		return 0
	}
	if used >= busyPart*share {
		return int(math.Ceil(grow * float64(units)))
	}
	return int(math.Ceil(used / share * float64(units)))
}

// look tells, every lookAgain, what could be used of the shares.
func (l *limits) look(now int64, r *routing.Router) {
	if l == nil || now < l.next {
		return
	}
	long := float64(lookAgain) / 1e6
	if l.next > 0 {
		long += float64(now-l.next) / 1e6
	}
	l.next = now + lookAgain
	l.lookAtZones(now, r)
	for uid, p := range l.pools {
		p.rate += (float64(p.sent)/long - p.rate) * min(1, long)
		p.sent = 0
		rate, is := l.allowed(now, uid, p)
		if !is {
			l.cfg.Source.Demand(now, uid, 0)
			continue
		}
		units, whole := l.cfg.Source.Quota(now, uid)
		l.cfg.Source.Demand(now, uid, wants(p.rate, rate, units))
		if d := units - p.share; d > whole/20 || -d > whole/20 {
			p.share = units
			l.count.Add(telemetry.QuotaChanges)
			l.log.Info().Str("pool", uid).Int("units", units).Int("whole", whole).Float64("rate", math.Round(rate*10)/10).Msg("share")
		}
	}
}

// lookAtZones tells what could be used of zones' spill budgets. The caller is look.
func (l *limits) lookAtZones(now int64, r *routing.Router) {
	if r == nil {
		return
	}
	for zone, used := range r.Spilled() {
		part, units := l.part(now, spill(zone))
		l.cfg.Source.Demand(now, spill(zone), wants(used, part, units))
	}
}

// due is when the loop is wanted: when demands are told, or a pool over its share may be sent to again.
func (l *limits) due(now int64) int64 {
	if l == nil {
		return 0
	}
	at := max(l.next, now+1)
	for uid, p := range l.pools {
		if rate, over := l.over(now, uid, p); over {
			if n := p.meter.Next(rate); n > 0 {
				at = min(at, n)
			}
		}
	}
	return at
}
