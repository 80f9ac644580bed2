package invariant

// The duties of a process towards the platform and its operators. Times are µs.
const (
	// operatorAnswerTimeout is within what time a call of an operator is answered.
	operatorAnswerTimeout = 1_000_000
	// readyTimeout and restartReadyTimeout are within what time a process is ready after its first start and after others.
	readyTimeout, restartReadyTimeout = 30_000_000, 10_000_000
	// resumeTimeout is within what time a process is ready again after a drain.
	resumeTimeout = 2_000_000
	// replaceTimeout is within what time a process that replaces another one says yes, maxFailedConnections how many
	// connections may be refused, reset or left unread meanwhile.
	replaceTimeout       = 6_000_000
	maxFailedConnections = 2
	// badClientTimeout is within what time a bad client gets a refusal, an error or the end of its connection.
	badClientTimeout = 3_000_000
)

// Resources are what a process holds, and its limits.
type Resources struct {
	MemoryMB, MaxMemoryMB       int
	Descriptors, MaxDescriptors int
}

// ProcessSampled records what a process holds.
func (c *Checker) ProcessSampled(now int64, process string, held Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held.MemoryMB > held.MaxMemoryMB {
		c.report(violated(RuleMemory, now, process, "%d MB of %d", held.MemoryMB, held.MaxMemoryMB))
	}
	if held.Descriptors > held.MaxDescriptors {
		c.report(violated(RuleDescriptors, now, process, "%d descriptors of %d", held.Descriptors, held.MaxDescriptors))
	}
}

// ProcessCrashed records a process that ended though nothing asked it to.
func (c *Checker) ProcessCrashed(now int64, process, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(violated(RuleNoCrash, now, process, "ended unasked: %s", how))
}

// ProcessReady records how long a process took to be ready, or that it is not yet after that time.
func (c *Checker) ProcessReady(now int64, process string, took int64, restart bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := int64(readyTimeout)
	if restart {
		limit = restartReadyTimeout
	}
	if took > limit+c.config.TimeTolerance {
		c.report(violated(RuleReady, now, process, "not ready %.1f s after its start", seconds(took)))
	}
}

// Replacement is what was seen of one process replacing another.
type Replacement struct {
	TookMicros        int64 // from its start to its yes, or to the end of the wait for that
	BecameReady       bool
	FailedConnections int // refused, reset or left unread
}

// ProcessReplaced records that a process has replaced another one.
func (c *Checker) ProcessReplaced(now int64, process string, seen Replacement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !seen.BecameReady || seen.TookMicros > replaceTimeout+c.config.TimeTolerance {
		c.report(violated(RuleReplacedInTime, now, process, "no yes in %.2f s", seconds(seen.TookMicros)))
	}
	if seen.FailedConnections > maxFailedConnections {
		c.report(violated(RuleReplacedUnnoticed, now, process,
			"%d connections refused, reset or unread", seen.FailedConnections))
	}
}

// OperatorAnswered records the answer to an operator's call, or that it got none: ok is whether it was right.
func (c *Checker) OperatorAnswered(now int64, process, call string, took int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.report(violated(RuleOperatorAnswered, now, process, "%s: no answer, or a wrong one", call))
	} else if took > operatorAnswerTimeout+c.config.TimeTolerance {
		c.report(violated(RuleOperatorAnswered, now, process, "%s: answered after %.2f s", call, seconds(took)))
	}
}

// BadClientServed records how long a bad client took to get a refusal, an error or the end of its connection.
func (c *Checker) BadClientServed(now int64, process, client string, took int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if took > badClientTimeout+c.config.TimeTolerance {
		c.report(violated(RuleBadClient, now, process, "%s: nothing for %.2f s", client, seconds(took)))
	}
}

// Reading is a figure that a process told, beside the least and the most that it can have been by what others counted.
type Reading struct {
	Name           string
	Reported       int64
	Min, Max       int64
	ToleratedPart  float64 // of the value
	ToleratedUnits int64   // or this, whichever is more
}

// FigureRead records a figure that a process told.
func (c *Checker) FigureRead(now int64, process string, r Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tolerated := func(value int64) int64 { return max(r.ToleratedUnits, int64(r.ToleratedPart*float64(value))) }
	if r.Reported < r.Min-tolerated(r.Min) || r.Reported > r.Max+tolerated(r.Max) {
		c.report(violated(RuleFigures, now, process, "%s is %d, counted were %d to %d", r.Name, r.Reported, r.Min, r.Max))
	}
}
