package eidertrail

import "math"

// Parameters of slow start.
const (
	slowStartMargin      = 0.5 // the part of its overload multiple used at first: room for retries and chance
	slowStartEndRate     = 1.5 // attempts an interval reached at the end: half as much again as planned
	maxSlowStartFraction = 0.8 // the most that a node may use of its equal part of what the server can take
	agentReserve         = 3.0 // square roots of the planned load that a server's agents exceed it by
)

// inSlowStart reports whether the server may not have its full capacity yet.
func (c *Controller) inSlowStart(server *serverRecord) bool {
	return server.startedAt > 0 && c.now < server.startedAt+c.settings.SlowStartWindow
}

// slowStartPace bounds a rate, and the weight it counts with, by the server's age, whatever its completions
// and the call's weight. While calls outnumber agents the nodes' traffic ratios sum to more than the nodes.
func (c *Controller) slowStartPace(server *serverRecord, rate float64) (bounded, weight float64) {
	age := float64(c.now-server.startedAt) / float64(c.settings.SlowStartWindow)
	initial := c.settings.SlowStartCapacity * c.settings.OverloadMultiple
	rate = min(rate, slowStartMargin*initial+max(0, slowStartEndRate-slowStartMargin*initial)*age)
	capacity := initial + (c.settings.OverloadMultiple-initial)*age
	return rate, min(c.trafficRatio, maxSlowStartFraction*capacity/rate) / float64(c.processes)
}

// plannedLoad solves agents = load + agentReserve*sqrt(load) for the load.
func plannedLoad(agents float64) float64 {
	root := math.Sqrt(agents+agentReserve*agentReserve/4) - agentReserve/2
	return root * root
}
