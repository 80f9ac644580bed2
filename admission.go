package eidertrail

import (
	"math"
	"slices"
	"time"

	"eidertrail/internal/circuit"
)

// Parameters of the admission gate and of pacing. Rates are in attempts an interval.
const (
	gateMultiple       = 6.0  // A: as in the paper
	lateGateMultiple   = 2.0  // A for a call that can no longer meet its latency objective
	unpacedRate        = 4.0  // no pace from here on: all nodes together send more than any server takes
	minRate            = 0.04 // lets a server drain that is many times slower than its agents suggest
	minRateFactor      = 0.25 // the least that one slow or failed attempt leaves of it: it may be a stray
	rateIncrease       = 8.0  // factor of a quick completion: two end the pace from all but the lowest rates
	quickFraction      = 0.5  // the part of the gate's threshold within which a completion is quick
	spareAgentsPerNode = 2.0  // free agents for each node that end a shortage of agents, or
	spareAgentFraction = 0.1  // this share of all agents
)

// passesGate reports whether the server may get the call now.
// Departure: unless its circuit is closed, and in slow start, it gets one attempt at a time: a few nodes that
// reopen a server together would fill it again. Harms a node that alone could keep a remote server busy.
func (c *Controller) passesGate(call *callRecord, server *serverRecord) bool {
	if (server.circuit != circuit.Closed || c.inSlowStart(server)) && len(server.inFlight.Backlog()) > 0 {
		return false
	}
	shortest, known := server.delay.minDelay(c.now)
	if !known { // a failure shuts it for d*R as any other server
		latest := float64(max(server.delay.latest, c.settings.RetransmitInterval))
		forgotten := float64(c.now-server.delay.latestAt) > memoryFraction*latest
		return (forgotten || server.circuit == circuit.Untested) && c.paceAdmits(call, server)
	}
	multiple := gateMultiple
	if c.late(call) {
		multiple = lateGateMultiple
	}
	delay := c.predict(server, shortest) + c.backlogDelay(server, shortest)
	return delay <= multiple*float64(shortest) && c.paceAdmits(call, server)
}

// pacing spaces the attempts of one node at one server.
// Departure: with many nodes samples are rare and one call from each is a burst, so a slow or failed attempt
// sets a rate, which quick completions raise again. Harms when one slow attempt was a stray.
type pacing struct {
	rate      float64       // attempts an interval
	credit    float64       // intervals in hand at since
	since     time.Duration // the credit grows from here: the last send, else the start
	reducedAt time.Duration // when the rate was last reduced
}

// adjust changes the rate by a completion; one sent before the last reduction reduces it no further.
func (p *pacing) adjust(now, took time.Duration, threshold float64) {
	switch delay := float64(took); {
	case delay <= quickFraction*threshold:
		p.rate = min(p.rate*rateIncrease, unpacedRate)
	case delay > threshold && now-took >= p.reducedAt:
		p.reduce(now, max(threshold/delay, minRateFactor))
	}
}

// reduce leaves a part of the rate, or of one attempt an interval if it was higher.
func (p *pacing) reduce(now time.Duration, part float64) {
	p.rate, p.reducedAt = max(minRate, min(p.rate, 1)*part), now
}

// paceAdmits reports whether the pace admits the call.
// Departure: credit grows by the call's weight (paper, section 5: the least profitable are shed first) and by
// the node's traffic ratio: others' intervals pass unused. Harms where holding times are overstated.
func (c *Controller) paceAdmits(call *callRecord, server *serverRecord) bool {
	rate := server.pace.rate
	weight := c.trafficRatio * c.weight(call) / max(c.meanWeight.Value(), math.SmallestNonzeroFloat64)
	if server.shortage { // as many agents come free as calls are admitted
		if c.waitsForFirstChoice(call, server) {
			return false
		}
		rate = min(rate, 1)
	}
	if c.inSlowStart(server) && c.settings.OverloadMultiple > 0 {
		rate, weight = c.slowStartPace(server, rate)
	}
	return rate >= unpacedRate ||
		server.pace.credit+float64(c.now-server.pace.since)*rate*weight/float64(c.interval(server)) >= 1
}

// waitsForFirstChoice reports whether the call waits for a working server of its own pool while this one is
// short of agents: elsewhere calls last longer, and two full pools would swap theirs.
func (c *Controller) waitsForFirstChoice(call *callRecord, server *serverRecord) bool {
	working := func(other *serverRecord) bool {
		return other.pool == call.Pool && c.eligible(call, other) && other.circuit != circuit.Tripped
	}
	return server.pool != call.Pool && !c.aboveMeanWeight(call) && slices.ContainsFunc(c.servers, working)
}

// interval is this node's share of the time in which the server can take one call, by the agents planned for
// its load; without a report the fewest of any server, and where none reports agents, by M.
func (c *Controller) interval(server *serverRecord) time.Duration {
	agents := server.agents
	if agents <= 0 {
		agents = c.minAgents
	}
	if agents > 0 && c.holdingTime > 0 {
		if c.inSlowStart(server) {
			agents = plannedLoad(agents)
		}
		return time.Duration(float64(c.settings.Nodes) * float64(c.holdingTime) / agents)
	}
	shortest, known := server.delay.minDelay(c.now)
	if !known {
		shortest = c.maxMinDelay
	}
	if c.inSlowStart(server) {
		shortest = max(shortest, c.settings.OverloadWindow)
	}
	return time.Duration(c.settings.Nodes) * shortest
}

// reopensIn estimates how long the server stays denied by its memory of R or its pace.
func (c *Controller) reopensIn(server *serverRecord) time.Duration {
	opensAt := server.delay.latestAt + time.Duration(c.memory(server))
	if server.pace.rate < unpacedRate || server.shortage || c.inSlowStart(server) {
		rate := max(minRate, min(server.pace.rate, 1)) * c.trafficRatio
		wait := max(0, 1-server.pace.credit) * float64(c.interval(server)) / rate
		opensAt = max(opensAt, server.pace.since+time.Duration(wait))
	}
	return max(0, opensAt-c.now)
}
