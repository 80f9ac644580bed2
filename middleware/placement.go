package middleware

import (
	"sync"

	"eidertrail/dispatch"
)

// contextKey is the key of a request's Placement in its context.
type contextKey struct{}

// Placement is where a request was placed. The handler finds it with FromContext. Report may be called from any
// goroutine.
type Placement struct {
	Pool    string // the uid of the pool that gets the work
	Attempt int    // the number of the attempt

	mu       sync.Mutex
	reported bool // Report was called: outcome is set
	outcome  dispatch.Outcome
	load     dispatch.LoadReport
}

// Report says what became of the attempt, where the status that the handler writes does not show it, and what the pool
// reported of its load (dispatch.UnknownLoad for nothing). The last call before the handler returns counts.
func (p *Placement) Report(outcome dispatch.Outcome, load dispatch.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcome, p.load, p.reported = outcome, load, true
}
