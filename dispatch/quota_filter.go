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

// QuotaSource returns what part of an endpoint's budget is this controller's now, and takes how much of it could be
// used. A quota.SharedAllocator is one.
type QuotaSource interface {
	Quota(now int64, pool string) (units, total int)
	Demand(now int64, pool string, units int)
}

// QuotaConfig is what quotas are enforced by.
type QuotaConfig struct {
	Source QuotaSource
	// SlowStartFraction is the part of what overloads a warming endpoint that all controllers together may send it.
	SlowStartFraction float64
	// SendWindow is how long after its decision a set-up to an endpoint with a budget may still leave, µs: a process
	// that stalled in between has no quota any more.
	SendWindow int64
}

const (
	// quotaBurstSeconds is the time's worth of set-ups that may be sent at once.
	quotaBurstSeconds = 0.25
	// demandIntervalMicros is how often the demand for quotas is passed on.
	demandIntervalMicros = 200_000
	// highUsage is the used part of a quota from which on more of it is demanded: quotaGrowth times as much.
	highUsage   = 0.8
	quotaGrowth = 1.5
	// quotaLogFraction: a change of a quota by more than this part of the total is logged.
	quotaLogFraction = 20
	// capacityTTLMicros is for how long a capacity that an endpoint reported holds.
	capacityTTLMicros = 3_000_000
	// unknownWarmingRate is the set-ups a second of a warming endpoint of which nothing is known yet, for each controller.
	unknownWarmingRate = 1.0

	microsPerSecond = 1e6
)

// quotaFilter denies the endpoints at which this controller has used up its quota of the fleet's budget.
type quotaFilter struct {
	cfg         QuotaConfig
	settings    eidertrail.Settings
	holdingTime float64 // the longest mean holding time of a class, s
	endpoints   map[string]*quotaEndpoint
	nextDemand  int64 // when the demand is passed on next
	log         zerolog.Logger
	counters    *telemetry.Counters
}

// quotaEndpoint is an endpoint as its budget sees it.
type quotaEndpoint struct {
	startedAt  int64
	agents     float64
	capacity   float64 // set-ups a second, as it last reported
	capacityAt int64   // when it did, 0: never
	bucket     quota.TokenBucket
	sent       int     // set-ups since the demand was last passed on
	sentRate   float64 // recent set-ups a second
	units      int     // of quota, as last logged
}

func newQuotaFilter(
	cfg QuotaConfig,
	settings eidertrail.Settings,
	log zerolog.Logger,
	counters *telemetry.Counters,
) *quotaFilter {
	f := &quotaFilter{
		cfg:       cfg,
		settings:  settings,
		endpoints: map[string]*quotaEndpoint{},
		log:       log,
		counters:  counters,
	}
	for _, class := range settings.Classes {
		f.holdingTime = max(f.holdingTime, class.MeanHoldingTime.Seconds())
	}
	return f
}

// updateEndpoints takes the list and forgets the endpoints that are not in it.
func (f *quotaFilter) updateEndpoints(_ int64, endpoints map[string]Endpoint) {
	for uid, endpoint := range endpoints {
		known := f.endpoints[uid]
		if known == nil || known.startedAt != endpoint.StartedAt { // a new process: its predecessor's reports are void
			f.endpoints[uid] = &quotaEndpoint{startedAt: endpoint.StartedAt}
		}
	}
	for uid := range f.endpoints {
		if _, listed := endpoints[uid]; !listed {
			delete(f.endpoints, uid)
		}
	}
}

func (f *quotaFilter) narrow(now int64, uid string, classes routing.Classes) routing.Classes {
	endpoint := f.endpoints[uid]
	if endpoint == nil {
		return classes
	}
	if _, exhausted := f.exhausted(now, uid, endpoint); exhausted {
		return 0
	}
	return classes
}

// nextChange is when the demand is passed on, or an endpoint whose quota is used up may be sent to again.
func (f *quotaFilter) nextChange(now int64) int64 {
	next := max(f.nextDemand, now+1)
	for uid, endpoint := range f.endpoints {
		if rate, exhausted := f.exhausted(now, uid, endpoint); exhausted {
			if at := endpoint.bucket.NextReady(rate); at > 0 {
				next = min(next, at)
			}
		}
	}
	return next
}

// fleetRate is the set-ups a second that all controllers together may send the endpoint now; false: no budget.
func (f *quotaFilter) fleetRate(now int64, endpoint *quotaEndpoint) (rate float64, limited bool) {
	reported := endpoint.capacityAt > 0 && now-endpoint.capacityAt < capacityTTLMicros
	profile := slowstart.Profile{
		InitialCapacity: f.settings.SlowStartCapacity,
		Window:          f.settings.SlowStartWindow.Microseconds(),
	}
	capacityPart, warming := profile.CapacityAt(now - endpoint.startedAt)
	if endpoint.startedAt <= 0 || !warming {
		return endpoint.capacity, reported
	}
	fullRate := 0.0
	if endpoint.agents > 0 && f.holdingTime > 0 {
		fullRate = endpoint.agents / f.holdingTime
	}
	switch {
	case reported && (fullRate == 0 || endpoint.capacity < fullRate):
		return endpoint.capacity, true // what it can take as it is now
	case fullRate == 0:
		return unknownWarmingRate * float64(f.settings.Nodes), true
	default:
		return fullRate * capacityPart * f.settings.OverloadMultiple * f.cfg.SlowStartFraction, true
	}
}

// ownRate is this controller's part of the endpoint's fleetRate; false: no budget.
func (f *quotaFilter) ownRate(now int64, uid string, endpoint *quotaEndpoint) (rate float64, limited bool) {
	fleetRate, limited := f.fleetRate(now, endpoint)
	if !limited {
		return 0, false
	}
	fraction, _ := f.quotaOf(now, uid)
	return fleetRate * fraction, true
}

// exhausted reports whether the quota of the endpoint is used up for now, and this controller's rate there.
func (f *quotaFilter) exhausted(now int64, uid string, endpoint *quotaEndpoint) (rate float64, exhausted bool) {
	rate, limited := f.ownRate(now, uid, endpoint)
	return rate, limited && !endpoint.bucket.Ready(now, rate, rate*quotaBurstSeconds)
}

// quotaOf is this controller's quota of a budget now, as a fraction and in units.
func (f *quotaFilter) quotaOf(now int64, budget string) (fraction float64, units int) {
	units, total := f.cfg.Source.Quota(now, budget)
	return float64(units) / float64(max(total, 1)), units
}

// spillBudget is the name of a zone's spill budget among the fleet's.
func spillBudget(zone string) string { return "spill/" + zone }

// spillQuota is this controller's quota of a zone's spill budget, as a fraction. It bounds what is newly set up: the
// calls that are established there when a borrowed quota runs out stay.
func (f *quotaFilter) spillQuota(now int64, zone string) float64 {
	fraction, _ := f.quotaOf(now, spillBudget(zone))
	return fraction
}

// recordSent takes a set-up that is sent and returns by when it must have left, 0: no budget.
func (f *quotaFilter) recordSent(now int64, uid string) int64 {
	endpoint := f.endpoints[uid]
	if endpoint == nil {
		return 0
	}
	endpoint.sent++
	if _, limited := f.fleetRate(now, endpoint); !limited {
		return 0
	}
	endpoint.bucket.Take()
	return now + f.cfg.SendWindow
}

// observeAgents takes how many agents an endpoint reports.
func (f *quotaFilter) observeAgents(uid string, agents float64) {
	if endpoint := f.endpoints[uid]; endpoint != nil && agents > 0 {
		endpoint.agents = agents
	}
}

// observeCapacity takes the set-ups a second that an endpoint says it can take.
func (f *quotaFilter) observeCapacity(now int64, uid string, rate float64) {
	if endpoint := f.endpoints[uid]; endpoint != nil && rate >= 0 {
		endpoint.capacity, endpoint.capacityAt = rate, now
	}
}

// reportDemand passes on, once an interval, how much of the quotas could be used. router is nil where routing is off.
func (f *quotaFilter) reportDemand(now int64, router *routing.Router) {
	if now < f.nextDemand {
		return
	}
	elapsed := float64(demandIntervalMicros) / microsPerSecond
	if f.nextDemand > 0 {
		elapsed += float64(now-f.nextDemand) / microsPerSecond
	}
	f.nextDemand = now + demandIntervalMicros
	if router != nil {
		f.demandSpill(now, router)
	}
	for uid, endpoint := range f.endpoints {
		endpoint.sentRate += (float64(endpoint.sent)/elapsed - endpoint.sentRate) * min(1, elapsed)
		endpoint.sent = 0
		f.demandEndpoint(now, uid, endpoint)
	}
}

// demandSpill passes on how much of the zones' spill budgets could be used.
func (f *quotaFilter) demandSpill(now int64, router *routing.Router) {
	for zone, used := range router.Spilled() {
		fraction, units := f.quotaOf(now, spillBudget(zone))
		f.cfg.Source.Demand(now, spillBudget(zone), demand(used, fraction, units))
	}
}

// demandEndpoint passes on how much of an endpoint's budget could be used, and logs a large change of the quota.
func (f *quotaFilter) demandEndpoint(now int64, uid string, endpoint *quotaEndpoint) {
	rate, limited := f.ownRate(now, uid, endpoint)
	if !limited {
		f.cfg.Source.Demand(now, uid, 0)
		return
	}
	units, total := f.cfg.Source.Quota(now, uid)
	f.cfg.Source.Demand(now, uid, demand(endpoint.sentRate, rate, units))
	change := units - endpoint.units
	if max(change, -change) <= total/quotaLogFraction {
		return
	}
	endpoint.units = units
	f.counters.Add(telemetry.QuotaChanges)
	f.log.Info().
		Str("pool", uid).
		Int("units", units).
		Int("total", total).
		Float64("rate", math.Round(rate*10)/10).
		Msg("quota changed")
}

// demand is how many units could be used where a quota of so many units allows a limit, of which a part is used.
func demand(used, limit float64, units int) int {
	if limit <= 0 {
		return 0
	}
	if used >= highUsage*limit {
		return int(math.Ceil(quotaGrowth * float64(units)))
	}
	return int(math.Ceil(used / limit * float64(units)))
}
