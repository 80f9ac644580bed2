package routing

// Outcome is what became of a set-up, as routing judges its zone by it.
type Outcome int

// The outcomes. A Failure is a fault of the zone, not of the call: no answer, a reset, no connection. An endpoint
// without a free agent is no failure of its zone.
const (
	Success Outcome = iota
	Failure
	Neutral // is not counted
)

// maxSamples bounds the outcomes kept for a zone.
const maxSamples = 256

// sample is an outcome that is not Neutral.
type sample struct {
	at     int64
	failed bool
}

// outcomeWindow holds a zone's latest outcomes. The zero value is ready.
type outcomeWindow struct {
	samples             []sample // oldest first
	consecutiveFailures int
}

// add takes an outcome and drops those that are older than the window.
func (w *outcomeWindow) add(latest sample, window int64) {
	if len(w.samples) >= maxSamples {
		w.samples = w.samples[1:]
	}
	w.samples = append(w.samples, latest)
	for len(w.samples) > 0 && latest.at-w.samples[0].at > window {
		w.samples = w.samples[1:]
	}
	if latest.failed {
		w.consecutiveFailures++
	} else {
		w.consecutiveFailures = 0
	}
}

func (w *outcomeWindow) clear() {
	w.samples = w.samples[:0]
	w.consecutiveFailures = 0
}

func (w *outcomeWindow) failures() int {
	count := 0
	for _, s := range w.samples {
		if s.failed {
			count++
		}
	}
	return count
}

// isOutlier reports whether the outcomes eject their zone: by the part of failures among them, or by as many failures
// in a row as make a judgement. Without the second, a zone that fails after a good time would be kept until the
// window is rid of its successes.
func (w *outcomeWindow) isOutlier(threshold float64, minSamples int) bool {
	if w.consecutiveFailures >= minSamples {
		return true
	}
	count := len(w.samples)
	return count >= minSamples && float64(w.failures()) >= threshold*float64(count)
}

// recordOutcome judges an endpoint's zone by an outcome.
func (r *Router) recordOutcome(now int64, e *endpoint, outcome Outcome) {
	if outcome == Neutral {
		return
	}
	z := r.zones[e.Zone]
	z.outcomes.add(sample{at: now, failed: outcome == Failure}, r.config.Window)
	if !z.state.Ejected() && z.outcomes.isOutlier(r.config.EjectionThreshold, r.config.MinSamples) {
		r.eject(now, z)
	}
}
