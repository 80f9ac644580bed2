package simulation

import (
	"cmp"
	"slices"

	"eidertrail/internal/slowstart"
)

const (
	// minServiceFactor bounds from below what service times are multiplied by.
	minServiceFactor = 1e-3
	// rejectionWork is the part of a set-up's service time that rejecting or recognizing one takes: one in so many.
	rejectionWork = 5
	// overloadAnswerDelay is how long an overloaded processor takes to reject a set-up, µs.
	overloadAnswerDelay = 1000
)

// PoolModel is a simulated pool: agents, and one processor that serves set-ups in the order of their arrival. Live runs
// of an experiment use it too. Times are in µs. It is not safe for concurrent use.
type PoolModel struct {
	Pool
	uid     string
	group   int
	kind    int // index of the scenario's section
	address string

	startedAt   int64 // of its process, which then is in slow start; 0: long ago
	crashed     bool
	partitioned bool // its machine is cut off the network
	draining    bool

	serviceFactor    float64 // times the service time
	currentErrorRate float64
	busyAgents       int
	busyUntil        int64             // of the processor
	requests         map[*request]bool // that hold an agent
	slowStartLoad    slowstart.Arrivals
	arrivals         int
	overflowed       int // set-ups that found no agent, or too long a wait for the processor
}

// NewPoolModel returns the pool of an index among those of one section.
func NewPoolModel(spec Pool, index int) *PoolModel {
	return &PoolModel{
		Pool:             spec,
		uid:              spec.uid(index),
		group:            spec.Group + index,
		serviceFactor:    1,
		currentErrorRate: spec.ErrorRate,
		requests:         map[*request]bool{},
	}
}

// UID is the pool's name.
func (p *PoolModel) UID() string { return p.uid }

// GroupNumber is the number by which calls name the pool.
func (p *PoolModel) GroupNumber() int { return p.group }

// StartedAt is when the pool's process started, 0: long ago.
func (p *PoolModel) StartedAt() int64 { return p.startedAt }

// FreeAgents is the number of agents that are free.
func (p *PoolModel) FreeAgents() int { return p.Agents - p.busyAgents }

// ReleaseAgent frees an agent that Arrive took of the process that started then.
func (p *PoolModel) ReleaseAgent(startedAt int64) {
	if p.startedAt == startedAt {
		p.busyAgents--
	}
}

// ScaleServiceTime multiplies the service time.
func (p *PoolModel) ScaleServiceTime(factor float64) { p.serviceFactor *= factor }

// SetErrorRate sets the fraction of the set-ups that fail.
func (p *PoolModel) SetErrorRate(fraction float64) { p.currentErrorRate = fraction }

// Restart starts a new process in the pool's place.
func (p *PoolModel) Restart(now int64) {
	p.startedAt, p.crashed, p.busyAgents, p.busyUntil = now, false, 0, now
	p.slowStartLoad.Restart()
	p.requests = map[*request]bool{}
}

// Arrival is what becomes of a set-up that arrives at a pool.
type Arrival int

// What becomes of a set-up.
const (
	ArrivalAccepted   Arrival = iota // it holds an agent and is answered after a time
	ArrivalRefused                   // nothing listens
	ArrivalLost                      // there is no answer
	ArrivalNoAgent                   // all agents are busy
	ArrivalOverloaded                // the wait for the processor is too long
	ArrivalFault                     // it fails
)

// Arrive handles a set-up, and returns after which time in µs the pool answers it. A set-up fails if the number drawn
// uniformly from [0, 1) is below the error rate.
func (p *PoolModel) Arrive(now int64, settings *Settings, uniform float64) (Arrival, int64) {
	switch {
	case p.partitioned:
		return ArrivalLost, 0
	case p.crashed:
		return ArrivalRefused, 0
	}
	p.arrivals++
	rate := p.countArrival(now, settings)
	wait := max(0, p.busyUntil-now)
	work := int64(1e6 / rate)
	switch {
	case p.MaxWait > 0 && wait > p.MaxWait.Microseconds():
		p.overflowed++
		p.occupy(now, work/rejectionWork)
		return ArrivalOverloaded, overloadAnswerDelay
	case uniform < p.currentErrorRate:
		p.occupy(now, work/2)
		return ArrivalFault, wait + work/2
	case p.busyAgents >= p.Agents:
		p.overflowed++
		p.occupy(now, work/rejectionWork)
		return ArrivalNoAgent, wait + work/rejectionWork
	}
	p.busyAgents++ // from now on: the agent's phone rings
	p.occupy(now, work)
	return ArrivalAccepted, wait + work
}

// retransmitArrived handles the repetition of a set-up that the pool has already: recognizing it takes work.
func (p *PoolModel) retransmitArrived(now int64, settings *Settings) {
	if p.partitioned || p.crashed {
		return
	}
	rate := p.countArrival(now, settings)
	p.occupy(now, int64(1e6/rate)/rejectionWork)
}

// countArrival counts a set-up against the load that a pool in slow start bears, and returns the set-ups a second that
// the pool can handle now.
func (p *PoolModel) countArrival(now int64, settings *Settings) float64 {
	rate := p.fullRate()
	if p.startedAt == 0 {
		return rate
	}
	profile := settings.slowStart()
	capacity, warmingUp := profile.CapacityAt(now - p.startedAt)
	rate *= capacity
	if warmingUp {
		p.slowStartLoad.Add(now, profile, rate)
	}
	return rate
}

// occupy adds work to what the processor has to do.
func (p *PoolModel) occupy(now, work int64) { p.busyUntil = max(p.busyUntil, now) + work }

// fullRate is the set-ups a second that the pool can handle after slow start.
func (p *PoolModel) fullRate() float64 {
	return 1e6 / float64(p.ServiceTime.Microseconds()) / max(p.serviceFactor, minServiceFactor)
}

// rate is the set-ups a second that the pool can handle now.
func (p *PoolModel) rate(now int64, settings *Settings) float64 {
	if p.startedAt == 0 {
		return p.fullRate()
	}
	capacity, _ := settings.slowStart().CapacityAt(now - p.startedAt)
	return p.fullRate() * capacity
}

// release frees the agent that a request holds.
func (p *PoolModel) release(r *request) {
	delete(p.requests, r)
	p.busyAgents--
}

// sortedRequests are the requests that hold agents, in the order of their ids: a map's order would differ between runs.
func (p *PoolModel) sortedRequests() []*request {
	all := make([]*request, 0, len(p.requests))
	for r := range p.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return all
}
