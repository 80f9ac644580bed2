package simulation

import (
	"eidertrail"
	"eidertrail/dispatch"
)

// loadReport is the state that a pool reports.
func (s *simulator) loadReport(p *PoolModel) dispatch.LoadReport {
	if p.LoadUnreported {
		return dispatch.UnknownLoad
	}
	free, agents := float64(p.FreeAgents()), float64(p.Agents)
	if p.ReportNoise > 0 {
		noise := agents * p.ReportNoise * (2*s.random[reportNoiseStream].Float64() - 1)
		free = min(max(0, free+noise), agents)
	}
	return dispatch.LoadReport{Free: free, Agents: agents}
}

// reportLoad has a pool report its state to all controllers, periodically. A draining pool reports nothing.
func (s *simulator) reportLoad(p *PoolModel) {
	if p.ReportInterval <= 0 {
		return
	}
	interval := p.ReportInterval.Microseconds()
	var report func()
	report = func() {
		if s.now > s.end+settleTime {
			return
		}
		if !p.crashed && !p.partitioned && !p.draining {
			s.sendLoadReports(p)
		}
		s.after(interval, report)
	}
	s.after(s.random[networkStream].Int64N(max(interval, 1)), report)
}

// sendLoadReports sends a pool's state to all controllers.
func (s *simulator) sendLoadReports(p *PoolModel) {
	for _, c := range s.controllers {
		load, delay := s.loadReport(p), s.poolDelay(c, p)
		s.after(delay, func() {
			c.receive(func() { c.engine.Observe(s.now, p.uid, load) })
		})
	}
}

// setupArrived handles the set-up of an attempt at its pool; the answer takes delay on the way back.
func (s *simulator) setupArrived(r *request, attempt int, delay int64) {
	if !r.isInFlight(attempt) {
		return // cancelled on the way
	}
	pool := r.pool
	arrival, answerAfter := pool.Arrive(s.now, &s.scenario.Settings, s.random[faultStream].Float64())
	failAfter := func(wait int64, outcome dispatch.Outcome) {
		s.after(wait+delay, func() { r.attemptEnded(attempt, outcome, s.loadReport(pool)) })
	}
	switch arrival {
	case ArrivalLost:
	case ArrivalRefused:
		s.after(delay+s.scenario.Network.RefusalDelay.microseconds(), func() {
			r.attemptEnded(attempt, dispatch.ConnectFailed, dispatch.UnknownLoad)
		})
	case ArrivalNoAgent:
		failAfter(answerAfter, dispatch.NoAgent)
	case ArrivalOverloaded:
		failAfter(answerAfter, dispatch.ProcessorFull)
	case ArrivalFault:
		failAfter(answerAfter, dispatch.Errored)
	case ArrivalAccepted:
		pool.requests[r] = true
		startedAt := pool.startedAt
		s.after(answerAfter, func() { s.sendAnswer(r, attempt, pool, startedAt, delay) })
	}
}

// sendAnswer sends a pool's answer to an accepted set-up, unless its process has died or the caller has cancelled. The
// request may have an attempt at another pool by now.
func (s *simulator) sendAnswer(r *request, attempt int, p *PoolModel, startedAt, delay int64) {
	if p.startedAt != startedAt || p.crashed {
		r.attemptEnded(attempt, dispatch.Reset, dispatch.UnknownLoad)
		return
	}
	if !p.requests[r] || p.partitioned {
		return
	}
	s.after(delay, func() { s.answerArrived(r, attempt, p, startedAt) })
}

// answerArrived handles a pool's answer at the controller. An answer to a cancelled attempt is ignored: its agent is
// free once the cancel arrives at the pool.
func (s *simulator) answerArrived(r *request, attempt int, p *PoolModel, startedAt int64) {
	if !r.isInFlight(attempt) || r.answered {
		return
	}
	r.controller.receive(func() {
		if !r.isInFlight(attempt) || r.answered {
			return
		}
		if s.now >= r.deadline {
			return // it crossed the caller's cancel
		}
		s.establish(r, p, startedAt)
	})
}

// establish establishes a call, which ends after a holding time.
func (s *simulator) establish(r *request, p *PoolModel, startedAt int64) {
	r.establish(s.now)
	s.checker.AttemptEnded(s.now, r.name(), false)
	s.checker.CallAnswered(s.now, r.name(), string(answerEstablished))
	r.report(dispatch.Answered, s.loadReport(p), false)
	if s.scenario.Fleet != nil && s.scenario.Fleet.ReportCapacity {
		r.controller.engine.ObserveCapacity(s.now, p.uid, p.rate(s.now, &s.scenario.Settings))
	}
	s.recorder.callEstablished(r.caller, s.now)
	mean := float64(s.scenario.Class[r.caller.class].MeanHoldingTime.Microseconds())
	holdingTime := int64(s.random[holdingTimeStream].ExpFloat64() * mean)
	s.after(holdingTime, func() { s.endCall(r, dispatch.Ended, p.startedAt == startedAt) })
}

// endCall ends an established call; its agent is freed if the process that took the call still runs.
func (s *simulator) endCall(r *request, outcome dispatch.Outcome, processRuns bool) {
	if r.state != attemptEstablished {
		return
	}
	p := r.pool
	r.hangUp()
	if processRuns && p.requests[r] {
		p.release(r)
	}
	if outcome == dispatch.Reset {
		s.recorder.callDropped(r.caller, r.establishedAt)
	}
	r.controller.receive(func() { r.report(outcome, s.loadReport(p), false) })
}

// cancel sends the cancel of an attempt: its agent is free once that arrives at the pool.
func (s *simulator) cancel(r *request) {
	p, startedAt := r.pool, r.pool.startedAt
	s.after(s.poolDelay(r.controller, p), func() {
		if p.startedAt == startedAt && p.requests[r] && r.state != attemptEstablished {
			p.release(r)
		}
	})
}

// announce has the endpoint list notify all controllers of a pool's mode, after the list's delay.
func (s *simulator) announce(p *PoolModel, mode eidertrail.Mode) {
	delay := s.random.between(s.scenario.Network.ListDelay, networkStream)
	startedAt := p.startedAt
	for _, c := range s.controllers {
		skew := s.random[networkStream].Int64N(s.scenario.Network.ListSkew.microseconds())
		s.after(delay+skew, func() {
			c.receive(func() {
				s.checker.EndpointNotified(s.now, c.name, p.uid, mode == eidertrail.Ready)
				endpoint := dispatch.Endpoint{UID: p.uid, Group: p.group, Zone: p.Zone, StartedAt: startedAt, Mode: mode}
				c.engine.UpdateEndpoints(s.now, []dispatch.Endpoint{endpoint}, false)
			})
		})
	}
}

// resetCalls resets the calls that are established at a pool, and those that its processor has accepted.
func (s *simulator) resetCalls(p *PoolModel) {
	for _, r := range p.sortedRequests() {
		attempt := r.attempt
		delay := s.poolDelay(r.controller, p)
		if r.state == attemptEstablished {
			s.after(delay, func() { s.endCall(r, dispatch.Reset, false) })
		} else {
			s.after(delay, func() { r.attemptEnded(attempt, dispatch.Reset, dispatch.UnknownLoad) })
		}
	}
}

// restart starts a new process, which is in slow start, in a pool's place.
func (s *simulator) restart(p *PoolModel) {
	p.Restart(s.now)
	s.checker.EndpointStarted(s.now, p.uid, p.fullRate())
}
