// Package simulation is a discrete-event simulator of callers, controllers and pools, driven by a seed: the same
// scenario, seed and program give the same result, bit for bit. The controllers are dispatch.Engines, so the decision
// module, the routing that narrows its choice and the guards of the wire's rules run as in the daemon; so do the
// membership and the quotas of a fleet.
//
// It is single-threaded and reads no clock: time is simulated, in µs from an origin of an hour.
package simulation

import (
	"fmt"

	"eidertrail/internal/invariant"
)

// The simulated times of a run, in µs.
const (
	// origin is the time at which a run starts. It is not 0, since a time of 0 means never.
	origin = int64(3_600_000_000)
	// settleTime is how long after the last caller the run goes on, so that calls can end.
	settleTime = int64(60_000_000)
	// fleetSettleTime is how long after the last caller the controllers of a fleet exchange datagrams.
	fleetSettleTime = settleTime / 2
)

// The tolerances of the checker of the wire's rules.
const (
	maxAttemptsPerRequest = 2
	lateAnswerTolerance   = int64(50_000)  // µs
	abandonTolerance      = int64(100_000) // µs
)

// simulator is one run.
type simulator struct {
	scenario    *Scenario
	random      randomStreams
	now         int64 // µs
	end         int64 // no caller arrives from then on
	timers      timerQueue
	controllers []*controller
	pools       []*PoolModel
	poolByUID   map[string]*PoolModel
	checker     *invariant.Checker
	recorder    *recorder
	dns         dnsState

	burstFactor       float64           // times the rate of new calls
	peerLoss          float64           // the part of the datagrams between controllers that is lost
	classWeights      cumulativeWeights // of the calls, by class
	controllerWeights cumulativeWeights // of the calls, by controller; nil: all alike
	requests          int
}

// Run simulates a scenario.
func Run(scenario *Scenario, seed uint64) (*Result, error) {
	run := newSimulator(scenario, seed)
	for index := range scenario.Controllers {
		c, err := run.newController(index, seed)
		if err != nil {
			return nil, err
		}
		run.controllers = append(run.controllers, c)
	}
	if scenario.Fleet != nil {
		if err := run.joinFleet(seed); err != nil {
			return nil, err
		}
	}
	for _, p := range run.pools {
		run.reportLoad(p)
	}
	for _, e := range scenario.Event {
		run.after(e.At.Microseconds(), func() { run.handleEvent(e) })
	}
	run.scheduleNextCaller()
	run.runTimers()
	run.checker.Finish(run.now)
	return run.recorder.finish(run), nil
}

// newSimulator returns a run without its controllers.
func newSimulator(scenario *Scenario, seed uint64) *simulator {
	run := &simulator{
		scenario:    scenario,
		random:      newRandomStreams(seed),
		now:         origin,
		end:         origin + scenario.Length.Microseconds(),
		poolByUID:   map[string]*PoolModel{},
		recorder:    newRecorder(scenario, seed),
		dns:         newDNSState(),
		burstFactor: 1,
		peerLoss:    scenario.Network.PeerLoss,
		checker: invariant.New(invariant.Config{
			ReleaseWait:      scenario.Settings.ReleaseWait.Microseconds(),
			MaxAttempts:      maxAttemptsPerRequest,
			DrainGrace:       scenario.Settings.DrainGrace.Microseconds(),
			AnswerTolerance:  lateAnswerTolerance,
			AbandonTolerance: abandonTolerance,
			SlowStart:        scenario.Settings.slowStart(),
		}),
	}
	for _, class := range scenario.Class {
		run.classWeights.add(class.Fraction)
	}
	for _, weight := range scenario.Callers.ControllerWeights {
		run.controllerWeights.add(weight)
	}
	run.addPools()
	return run
}

// addPools adds a model for each pool of the scenario.
func (s *simulator) addPools() {
	const addressesPerSubnet = 250
	for kind, spec := range s.scenario.Pool {
		for i := range max(spec.Count, 1) {
			p := NewPoolModel(spec, i)
			subnet, host := len(s.pools)/addressesPerSubnet, len(s.pools)%addressesPerSubnet+1
			p.address = fmt.Sprintf("10.0.%d.%d:5060", subnet, host)
			p.kind = kind
			if s.scenario.SRV != nil {
				p.group = spec.Group // the pools behind one SRV name are one group
			}
			s.pools = append(s.pools, p)
			s.poolByUID[p.uid] = p
		}
	}
}

// runTimers runs what is due until nothing is left, or the settle time is over.
func (s *simulator) runTimers() {
	for {
		due, ok := s.timers.popUntil(s.end + settleTime)
		if !ok {
			return
		}
		s.now = due.at
		s.recorder.result.Events++
		due.action()
	}
}

// after schedules an action in so many µs.
func (s *simulator) after(delay int64, action func()) { s.timers.push(s.now+max(delay, 0), action) }
