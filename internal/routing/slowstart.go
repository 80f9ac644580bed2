package routing

import "math"

const (
	// slowStartSteps is how often eligibility is looked at during a slow start, in which the capacity grows all the time.
	slowStartSteps = 20
	// roundingError keeps a capacity of 5.9999999 agents from being 5.
	roundingError = 1e-9
)

func (e *endpoint) beginSlowStart(now int64) { e.slowStartFrom = now }

func (e *endpoint) endSlowStart() { e.slowStartFrom = 0 }

func (e *endpoint) inSlowStart() bool { return e.slowStartFrom > 0 }

// slowStartCapacity is how many calls of this controller an endpoint in slow start may hold now: from
// Config.SlowStartCapacity of this controller's part of its agents up to all of them over Config.SlowStartWindow, in
// whole calls, and at least one.
func (r *Router) slowStartCapacity(now int64, e *endpoint) float64 {
	agents := e.agents / float64(r.config.Nodes)
	if agents <= 0 {
		return float64(e.inFlight - e.setups + 1) // not reported yet: one set-up at a time, whose answer reports
	}
	return max(1, math.Floor(agents*min(r.slowStartPart(now, e), 1)+roundingError))
}

// slowStartPart is the part of its capacity that an endpoint in slow start has now; it may be over 1 at the end.
func (r *Router) slowStartPart(now int64, e *endpoint) float64 {
	if r.config.SlowStartWindow <= 0 {
		return 1
	}
	initial := r.config.SlowStartCapacity
	return initial + (1-initial)*float64(now-e.slowStartFrom)/float64(r.config.SlowStartWindow)
}

// nextSlowStartStep is when the capacity of an endpoint in slow start is to be looked at again.
func (r *Router) nextSlowStartStep(now int64, e *endpoint) int64 {
	step := max(r.config.SlowStartWindow/slowStartSteps, 1)
	return min(e.slowStartFrom+r.config.SlowStartWindow, now+step)
}
