package routing

// Endpoint is a line of the endpoint list as routing needs it.
type Endpoint struct {
	UID  string
	Zone string
	Up   bool // neither draining nor removed
}

// unreported stands for a number of free agents that the endpoint has not reported yet.
const unreported = -1

// endpoint is an Endpoint of a configured zone and this controller's load on it.
type endpoint struct {
	Endpoint
	listed        bool    // in the latest endpoint list
	agents        float64 // as reported, 0: not yet
	free          float64 // agents, as reported, or unreported
	inFlight      int     // set-ups and established calls of this controller, each of which holds an agent
	setups        int     // of them, set-ups without an outcome
	slowStartFrom int64   // when its slow start began, 0: at full capacity
}

// isFull reports whether the endpoint has no free agent, or whether this controller, one of so many nodes, holds its
// part of the agents.
func (e *endpoint) isFull(nodes int) bool {
	return e.free == 0 || e.agents > 0 && float64(e.inFlight) >= e.agents/float64(nodes)
}

// Report takes what an endpoint reported of its agents; a negative number is one that it did not report.
func (r *Router) Report(uid string, free, agents float64) {
	e := r.endpoints[uid]
	if e == nil {
		return
	}
	if free >= 0 {
		e.free = free
	}
	if agents >= 0 {
		e.agents = agents
	}
}

// Sent takes a set-up that was sent to an endpoint.
func (r *Router) Sent(uid string) {
	if e := r.endpoints[uid]; e != nil {
		e.inFlight++
		e.setups++
	}
}

// Answered takes the answer of a set-up, a success of its zone. The call holds its agent until Ended.
func (r *Router) Answered(now int64, uid string) {
	if e := r.endpoints[uid]; e != nil {
		e.setups = max(0, e.setups-1)
		r.recordOutcome(now, e, Success)
	}
}

// Ended takes the end of what Sent began: with established the end of a call, whose outcome is Neutral, else the
// outcome of a set-up that was not answered.
func (r *Router) Ended(now int64, uid string, outcome Outcome, established bool) {
	e := r.endpoints[uid]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if !established {
		e.setups = max(0, e.setups-1)
	}
	r.recordOutcome(now, e, outcome)
}
