package eidertrail

import (
	"time"

	"eidertrail/internal/average"
	"eidertrail/internal/circuit"
	"eidertrail/internal/inflight"
	"eidertrail/internal/slidingmin"
)

// Parameters of the delay memory and of signalling faults. The paper's symbol stands first where it has one.
const (
	memoryFraction  = 0.5              // d: the part of R for which R counts; as in the paper
	minDelayWindow  = 30 * time.Second // window of M
	maxGateFraction = 0.5              // the part of the shortest latency objective that A*M may reach
	failureMultiple = 2.0              // a failure counts as a completion of at least this many A*M
	faultsToTrip    = 60               // in a row; 20 come by chance where a server fails 4 attempts in 5
	maxFaultPenalty = 16               // each further one adds a failure's length to R, up to this many
	faultRateGain   = 1.0 / 16         // weight of the latest attempt in a server's share of faults
	maxFaultRate    = 0.3              // calls above the mean weight avoid a server with a larger share
)

// serverRecord is what the node knows of one incarnation of a server.
// Departure: attempts sent before one that was answered are not in its backlog: their answers are lost, and
// their age would deny a busy server to calls until they time out. Harms where attempts overtake others.
type serverRecord struct {
	id         ServerID
	index      int // in the order of first listing; a key of its random draws
	pool       int
	startedAt  time.Duration
	mode       Mode
	denied     uint64 // classes that must not be sent there, a bit each
	delay      delayMemory
	circuit    circuit.State // one attempt at a time unless it is closed
	pace       pacing
	inFlight   inflight.Queue
	faults     int          // signalling faults since the last completion
	faultRate  average.Rate // of the latest attempts
	freeAgents float64      // as last reported, -1: never
	agents     float64      // their number, 0: not reported
	shortage   bool         // agents are short
}

// delayMemory holds the completion times of one incarnation of a server.
type delayMemory struct {
	completions slidingmin.Window
	maxMinDelay time.Duration // M counts as no more than this, 0: no bound
	latest      time.Duration // R: the latest completion time, or what a failure counts as
	latestAt    time.Duration // when R was recorded
}

// minDelay is M, the shortest completion time of late, and whether there is any.
// Departure: M is bounded, or a node that met a server only while it was overloaded would have a gate so wide
// that every call is late. Harms a server that honestly takes a twelfth of an objective: it is used less.
func (d *delayMemory) minDelay(now time.Duration) (time.Duration, bool) {
	shortest, known := d.completions.Min(now, minDelayWindow)
	if d.maxMinDelay > 0 {
		shortest = min(shortest, d.maxMinDelay)
	}
	return shortest, known
}

// complete records a completion. It closes the circuit, or trips it when it took longer than the gate allows.
func (s *serverRecord) complete(now, took time.Duration) {
	s.faults = 0
	s.delay.completions.Add(now, took)
	s.delay.latest, s.delay.latestAt = took, now
	shortest, _ := s.delay.minDelay(now)
	threshold := gateMultiple * float64(shortest)
	s.circuit.Complete(float64(took) <= threshold)
	s.pace.adjust(now, took, threshold)
}

// fail trips the circuit. It counts as a completion of multiple times A*M, or of wait if that is longer.
func (s *serverRecord) fail(now, wait time.Duration, multiple float64) {
	if shortest, known := s.delay.minDelay(now); known {
		wait = max(wait, time.Duration(multiple*gateMultiple*float64(shortest)))
	}
	s.delay.latest, s.delay.latestAt = wait, now
	s.circuit.Trip()
}

// fault counts a signalling fault. It is no completion, or a server that fails fast would attract every call,
// and says nothing of the load: only many in a row trip the circuit.
func (s *serverRecord) fault(now, took time.Duration) {
	if s.faults++; s.faults >= faultsToTrip {
		s.fail(now, took, failureMultiple*float64(min(s.faults-faultsToTrip+1, maxFaultPenalty)))
	}
}

func (s *serverRecord) faulty() bool { return s.faultRate.Value() > maxFaultRate }
