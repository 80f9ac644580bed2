package eidertrail

import (
	"math"
	"time"

	"eidertrail/internal/circuit"
)

// Parameters of the prediction. The paper's symbol stands first where it has one.
const (
	idleScale     = 0.97 // a: below 1 keeps L stable (paper, section 3.2)
	inFlightScale = 1.0  // b: as in the paper
	answeredScale = 1.0  // c: as in the paper
	backlogScale  = 4.0  // with 2 a dozen nodes sustain a queue of a second, with 5 servers idle
)

// predict is P, the completion time of the next attempt at a server whose M is shortest.
func (c *Controller) predict(server *serverRecord, shortest time.Duration) float64 {
	if backlog := server.inFlight.Backlog(); len(backlog) > 0 {
		return float64(c.now-backlog[0].SentAt) + inFlightScale*float64(shortest)*c.loadRatio
	}
	if float64(c.now-server.delay.latestAt) <= c.memory(server) {
		return answeredScale * float64(server.delay.latest)
	}
	return idleScale * float64(shortest) * c.loadRatio
}

// memory is d*R*L, for how long R counts.
// Departure: L is 1 for a tripped server. Its R is a failure or slow answer, long in itself, and L comes from
// the others: the busier they are, the sooner this one is needed.
func (c *Controller) memory(server *serverRecord) float64 {
	memory := memoryFraction * float64(server.delay.latest)
	if server.circuit == circuit.Tripped {
		return memory
	}
	return memory * c.loadRatio
}

// backlogDelay is what the gate adds to P for the attempts behind the oldest.
// Departure: each adds backlogScale*M, or an interval if that is less, as they are served one by one. Without
// it an open gate admits any number until the oldest is 5 M old: bursts, queued calls, recoveries.
func (c *Controller) backlogDelay(server *serverRecord, shortest time.Duration) float64 {
	behind := max(0, len(server.inFlight.Backlog())-1)
	each := backlogScale * float64(shortest)
	if behind > 0 && server.agents > 0 && c.holdingTime > 0 {
		each = min(each, float64(c.interval(server)))
	}
	return each * float64(behind)
}

// observedDelay is P as L takes it.
// Departure: an attempt in flight proves its age and no more; younger than expected it counts as idle. Harms
// where a server slows down under a burst: L rises only when the first attempts are overdue.
func (c *Controller) observedDelay(server *serverRecord, shortest time.Duration) float64 {
	if backlog := server.inFlight.Backlog(); len(backlog) > 0 {
		return max(float64(c.now-backlog[0].SentAt), idleScale*float64(shortest)*c.loadRatio)
	}
	return c.predict(server, shortest)
}

// updateLoadRatio updates L from predictions made with the L before, and this node's traffic ratio.
// Departure: L is at least 1 and over closed circuits under their gate alone: a hung server's oldest attempt
// would raise it until healthy ones are denied. Harms when all slow down at once: L learns of each by itself.
func (c *Controller) updateLoadRatio() {
	var predicted, shortest, agents float64
	for _, server := range c.servers {
		agents += server.agents
		if server.mode != Ready || server.circuit != circuit.Closed {
			continue
		}
		minDelay, _ := server.delay.minDelay(c.now)
		if delay := c.observedDelay(server, minDelay); delay <= gateMultiple*float64(minDelay) {
			predicted += delay
			shortest += float64(minDelay)
		}
	}
	if shortest > 0 {
		c.loadRatio = max(1, predicted/shortest)
	}
	if agents > 0 { // less what comes by chance; calls beyond all agents count as an equal share
		load := c.offeredLoad.Value()
		c.trafficRatio = max(1, float64(c.settings.Nodes)*min(1, (load-math.Sqrt(load))/agents))
	}
}
