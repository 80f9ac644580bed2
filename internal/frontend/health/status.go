// Package health reports the state of the session controller to load balancers: as HAProxy's agent-check line over TCP
// (ServeAgent), and as liveness and readiness over HTTP (Handler).
//
// Liveness says that the loop goroutine runs, readiness that the controller can serve. A controller that drains is live
// and not ready.
package health

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

// checkTimeout bounds a check, and the writing of an agent's line.
const checkTimeout = 2 * time.Second

// The reasons that are sent, over TCP and HTTP alike.
const (
	reasonNotLive  = "loop does not turn"
	reasonDraining = "stopping"
	reasonNotReady = "not ready"
)

// Status is the state of the session controller.
type Status struct {
	Live     bool // its loop goroutine runs
	Ready    bool // it can serve
	Draining bool // it sends its clients away, and finishes what it has
	// DrainReason says why it drains; "" says that it is about to end.
	DrainReason string
	// RejectionRate is the share of calls that it rejected of late, 0 to 1.
	RejectionRate float64
}

// Check gives the current status. It must return before ctx is done.
type Check func(ctx context.Context) Status

// AgentLine is the line of HAProxy's agent-check protocol: a state, and a weight in percent that falls with the share
// of calls rejected, so that an overloaded controller gets fewer. The weight is 1 at least: with 0 HAProxy would drain
// the server.
func (s Status) AgentLine() string {
	switch {
	case !s.Live:
		return "down #" + reasonNotLive + "\n"
	case s.Draining:
		return "drain #" + s.drainReason() + "\n"
	case !s.Ready:
		return "down #" + reasonNotReady + "\n"
	}
	const half = 0.5 // rounds to the nearest percent
	weight := int(100*(1-s.RejectionRate) + half)
	return fmt.Sprintf("up ready %d%%\n", max(1, min(100, weight)))
}

func (s Status) drainReason() string { return cmp.Or(s.DrainReason, reasonDraining) }

// liveness gives the answer of /live.
func (s Status) liveness() (ok bool, reason string) {
	if !s.Live {
		return false, reasonNotLive
	}
	return true, "live"
}

// readiness gives the answer of /ready.
func (s Status) readiness() (ok bool, reason string) {
	switch {
	case !s.Live:
		return false, reasonNotLive
	case s.Draining:
		return false, s.drainReason()
	case !s.Ready:
		return false, reasonNotReady
	}
	return true, "ready"
}
