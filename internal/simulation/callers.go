package simulation

// caller is one caller's call, with all its requests.
type caller struct {
	class      int
	group      int // of pools
	key        uint64
	arrivedAt  int64 // the time of the first request
	retries    int
	controller *controller
	window     int // of the result, in which the caller arrived
}

// scheduleNextCaller schedules the arrival of the next caller.
func (s *simulator) scheduleNextCaller() {
	rate := s.scenario.Callers.Rate * s.burstFactor
	if rate <= 0 {
		return
	}
	gap := int64(s.random[callerStream].ExpFloat64() / rate * 1e6)
	s.after(max(1, gap), func() {
		if s.now >= s.end {
			return
		}
		c := s.newCaller()
		s.recorder.callArrived(c)
		c.controller.place(c)
		s.scheduleNextCaller()
	})
}

// newCaller draws a caller.
func (s *simulator) newCaller() *caller {
	random := s.random[callerStream]
	c := &caller{
		arrivedAt: s.now,
		key:       random.Uint64()>>12 | 1,
		window:    int((s.now - origin) / windowLength),
	}
	c.class = s.classWeights.pick(random.Float64())
	c.controller = s.controllers[s.pickController()]
	c.group = s.pools[random.IntN(len(s.pools))].group
	if groups := s.scenario.Class[c.class].Groups; groups != nil {
		c.group = groups[random.IntN(len(groups))]
	}
	return c
}

// pickController draws the index of the controller that a new caller calls.
func (s *simulator) pickController() int {
	if s.controllerWeights == nil {
		return s.random[callerStream].IntN(len(s.controllers))
	}
	return s.controllerWeights.pick(s.random[callerStream].Float64())
}

// retry has a caller whose request was in vain place another after a backoff, or give up.
func (s *simulator) retry(c *caller, answer finalAnswer, retryAfter int64) {
	s.recorder.requestFailed(answer)
	c.retries++
	deadline := s.scenario.Class[c.class].Deadline.Microseconds()
	if c.retries > s.scenario.Callers.Retries || s.now-c.arrivedAt >= deadline {
		s.recorder.callLost(c)
		return
	}
	backoff := max(s.scenario.Callers.Backoff.Microseconds(), retryAfter)
	s.after(backoff, func() { c.controller.place(c) })
}
