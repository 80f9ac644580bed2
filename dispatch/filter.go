package dispatch

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// endpointFilter narrows what the module may choose from. It never chooses.
type endpointFilter interface {
	// updateEndpoints takes the complete endpoint list.
	updateEndpoints(now int64, endpoints map[string]Endpoint)
	// narrow returns those of the classes whose set-ups the endpoint, which is up, may get now.
	narrow(now int64, uid string, classes routing.Classes) routing.Classes
	// nextChange is when narrow may change by time alone, 0: never.
	nextChange(now int64) int64
}

// availability is how an endpoint is offered to the module.
type availability struct {
	mode   eidertrail.Mode
	denied routing.Classes
}

// filterChain stands between the endpoint list and the module: an endpoint that is up but that a filter denies to every
// class is offered as draining, so that the module chooses only among the others, and the guard asks again at each
// attempt. Only the engine uses it.
type filterChain struct {
	liveness *livenessFilter
	quota    *quotaFilter     // nil: no budgets are divided
	routing  *routingFilter   // nil: routing is off
	active   []endpointFilter // those of the above that are on; a later one is asked only for what an earlier one leaves

	allClasses routing.Classes
	notified   map[string]availability // what the module was notified of, by endpoint of the list
	log        zerolog.Logger
	counters   *telemetry.Counters
}

// newFilterChain returns the filters of a site's settings, with quotas and routing off.
func newFilterChain(settings eidertrail.Settings, log zerolog.Logger, counters *telemetry.Counters) *filterChain {
	c := &filterChain{
		liveness:   newLivenessFilter(settings.Classes, log, counters),
		allClasses: 1<<len(settings.Classes) - 1,
		notified:   map[string]availability{},
		log:        log,
		counters:   counters,
	}
	c.activate()
	return c
}

// activate lists the filters that are on, in the order in which they are asked.
func (c *filterChain) activate() {
	c.active = []endpointFilter{c.liveness}
	if c.quota != nil {
		c.active = append(c.active, c.quota)
	}
	if c.routing != nil {
		c.active = append(c.active, c.routing)
	}
}

// setRouter turns routing on, or off with nil.
func (c *filterChain) setRouter(router *routing.Router) {
	c.routing = nil
	if router != nil {
		c.routing = newRoutingFilter(router, c.log, c.counters)
	}
	c.divideSpillBudgets()
	c.activate()
}

// setQuotas turns quotas on.
func (c *filterChain) setQuotas(cfg QuotaConfig, settings eidertrail.Settings) {
	c.quota = newQuotaFilter(cfg, settings, c.log, c.counters)
	c.divideSpillBudgets()
	c.activate()
}

// divideSpillBudgets has the fleet divide the zones' spill budgets where it divides budgets.
func (c *filterChain) divideSpillBudgets() {
	if c.quota != nil && c.routing != nil {
		c.routing.router.SetQuotaSource(c.quota.spillQuota)
	}
}

// updateEndpoints takes the complete endpoint list.
func (c *filterChain) updateEndpoints(now int64, endpoints map[string]Endpoint) {
	for _, filter := range c.active {
		filter.updateEndpoints(now, endpoints)
	}
	for uid := range c.notified {
		if _, listed := endpoints[uid]; !listed {
			delete(c.notified, uid)
		}
	}
}

// eligible is the classes for which the module may choose the endpoint, which is up, now.
func (c *filterChain) eligible(now int64, uid string) routing.Classes {
	classes := c.allClasses
	for _, filter := range c.active {
		if classes = filter.narrow(now, uid, classes); classes == 0 {
			break
		}
	}
	return classes
}

// available is how an endpoint of the list is offered now: one that no class may use is offered as draining.
func (c *filterChain) available(now int64, endpoint Endpoint) availability {
	if endpoint.Mode != eidertrail.Ready {
		return availability{mode: endpoint.Mode}
	}
	classes := c.eligible(now, endpoint.UID)
	if classes == 0 {
		return availability{mode: eidertrail.Draining}
	}
	return availability{mode: endpoint.Mode, denied: c.allClasses &^ classes}
}

// offer returns the line of the list as the module sees it, and notes that the module is notified of it.
func (c *filterChain) offer(now int64, endpoint Endpoint) eidertrail.Server {
	available := c.available(now, endpoint)
	c.notified[endpoint.UID] = available
	return endpoint.server(available)
}

// changedOffers returns the endpoints whose availability has changed since the module was last notified of it.
func (c *filterChain) changedOffers(now int64, endpoints map[string]Endpoint) []eidertrail.Server {
	c.forgetEligible()
	var changed []eidertrail.Server
	for uid, endpoint := range endpoints {
		available := c.available(now, endpoint)
		if c.notified[uid] != available {
			c.notified[uid] = available
			changed = append(changed, endpoint.server(available))
		}
	}
	slices.SortFunc(changed, func(a, b eidertrail.Server) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// avoided returns the endpoints of the list that no set-up may go to now.
func (c *filterChain) avoided() map[string]bool {
	avoided := map[string]bool{}
	for uid, available := range c.notified {
		if available.mode != eidertrail.Ready {
			avoided[uid] = true
		}
	}
	return avoided
}

// admits reports whether a set-up of the class may go to the endpoint now.
func (c *filterChain) admits(now int64, uid string, class int) bool {
	if _, known := c.notified[uid]; !known {
		return true // not listed with the filters: the guard checks the list itself
	}
	c.forgetEligible() // what was sent in this step counts
	admitted := c.eligible(now, uid).Has(class)
	if !admitted {
		c.counters.Add(telemetry.RouteStopped)
	}
	return admitted
}

// forgetEligible drops what routing has computed for this reading of the clock.
func (c *filterChain) forgetEligible() {
	if c.routing != nil {
		c.routing.forgetEligible()
	}
}

// nextChange is when what is offered may change by time alone, 0: never.
func (c *filterChain) nextChange(now int64) int64 {
	next := int64(0)
	for _, filter := range c.active {
		next = earliest(next, filter.nextChange(now))
	}
	return next
}

// reportState passes on the demand for quotas, and logs and counts what has changed.
func (c *filterChain) reportState(now int64) {
	var router *routing.Router
	if c.routing != nil {
		router = c.routing.router
	}
	if c.quota != nil {
		c.quota.reportDemand(now, router)
	}
	c.liveness.logChanges(now)
	if c.routing != nil {
		c.routing.logChanges()
	}
}

// observeWaiting takes the calls that wait for a decision.
func (c *filterChain) observeWaiting(now int64, waiting map[uint64]*call) {
	if c.routing != nil {
		c.routing.observeWaiting(now, waiting)
	}
}

// recordHeartbeat takes the time at which an endpoint reported unasked.
func (c *filterChain) recordHeartbeat(now int64, uid string) {
	c.liveness.monitor.RecordReport(now, uid)
}

// observeLoad takes an endpoint's load report.
func (c *filterChain) observeLoad(uid string, load LoadReport) {
	if c.quota != nil {
		c.quota.observeAgents(uid, load.Agents)
	}
	if c.routing != nil {
		c.routing.router.Report(uid, load.Free, load.Agents)
	}
}

// observeCapacity takes the set-ups a second that an endpoint says it can take from all controllers together.
func (c *filterChain) observeCapacity(now int64, uid string, rate float64) {
	if c.quota != nil {
		c.quota.observeCapacity(now, uid, rate)
	}
}

// recordSent takes an attempt that is sent and returns by when it must have left, 0: at any time.
func (c *filterChain) recordSent(now int64, sent *call) int64 {
	if c.routing != nil {
		c.routing.recordSent(sent)
	}
	if c.quota != nil {
		return c.quota.recordSent(now, sent.endpoint)
	}
	return 0
}

// recordAnswered takes an attempt that was answered.
func (c *filterChain) recordAnswered(now int64, answered *call) {
	if c.routing != nil {
		c.routing.recordAnswered(now, answered)
	}
}

// recordEnded takes the end of an attempt that was not answered, or of an established call.
func (c *filterChain) recordEnded(now int64, ended *call, outcome Outcome) {
	if c.routing != nil {
		c.routing.recordEnded(now, ended, outcome)
	}
}
