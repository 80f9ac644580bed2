// Package lifecycle holds the one state of a session controller that everything asks that says whether the controller
// takes work: the callers' ping, the WebSocket front, health checks, the operators' calls, the fleet and the stop.
//
//	starting ── Serve ──> serving
//	    ^  │                 │
//	    │  └──── Drain ──────┴──> lame duck
//	    └──────── Resume ────────────┘
//	any of them ── Replace ──> replaced ── TakeBack ──> starting, or lame duck where it was that before
//	any of them ── Stop ──> stopping
//
// A controller that resumes or takes its place back starts again, so that it takes work only once its pools are
// connected, or had time to.
//
// The state machine (Next) and the schedule of a drain (Status) are pure. Lifecycle makes them safe for concurrent use.
package lifecycle

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// State is the state of a session controller.
type State int

// The states.
const (
	Starting State = iota // its pools are not connected yet
	Serving
	LameDuck // an operator empties it: it takes no new work and does not end
	Replaced // another process serves in its place: it takes no new work and does not end by itself
	Stopping // it is about to end
)

// String returns the state's name, as logs and operators see it.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case LameDuck:
		return "lame duck"
	case Replaced:
		return "replaced"
	case Stopping:
		return "stopping"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// Transition is a named way from one state to another.
type Transition int

// The transitions.
const (
	Serve    Transition = iota // the pools are connected, or had time to
	Drain                      // an operator calls the controller to drain
	Resume                     // an operator ends the drain
	Replace                    // another process serves in this one's place
	TakeBack                   // that process serves no more
	Stop                       // the process is asked to end
)

// String returns the transition's name.
func (t Transition) String() string {
	switch t {
	case Serve:
		return "serve"
	case Drain:
		return "drain"
	case Resume:
		return "resume"
	case Replace:
		return "replace"
	case TakeBack:
		return "take back"
	case Stop:
		return "stop"
	}
	return fmt.Sprintf("Transition(%d)", int(t))
}

// ErrStopping is returned for a transition of a controller that is about to end.
var ErrStopping = errors.New("lifecycle: the controller is stopping")

// ErrReplaced is returned to an operator who ends the drain of a process in whose place another one serves.
var ErrReplaced = errors.New("lifecycle: another process serves in this one's place, call it there")

// Next is the state after a transition. A transition that has nothing to do leaves the state as it is. The errors are
// ErrStopping, as nothing leads back from a stop, and ErrReplaced.
func Next(from State, transition Transition) (State, error) {
	if from == Stopping {
		if transition == Stop {
			return Stopping, nil
		}
		return Stopping, ErrStopping
	}
	switch {
	case transition == Stop:
		return Stopping, nil
	case transition == Replace:
		return Replaced, nil
	case transition == TakeBack && from == Replaced:
		return Starting, nil
	case from == Replaced && transition == Resume:
		return Replaced, ErrReplaced
	case from == Replaced: // it is emptied already
		return Replaced, nil
	case transition == Drain:
		return LameDuck, nil
	case transition == Resume && from == LameDuck:
		return Starting, nil
	case transition == Serve && from == Starting:
		return Serving, nil
	}
	return from, nil
}

// Change is a change of the state.
type Change struct {
	From, To   State
	Transition Transition
	At         int64 // µs
}

// Lifecycle is a controller's status, safe for concurrent use.
type Lifecycle struct {
	onChange func(Change)

	mu     sync.Mutex // held by transitions
	status atomic.Pointer[Status]
}

// New returns the lifecycle of a controller that starts now. onChange is called with each change, in order, and must
// not call the lifecycle; nil does without.
func New(now int64, onChange func(Change)) *Lifecycle {
	l := &Lifecycle{onChange: onChange}
	l.status.Store(&Status{State: Starting, Since: now})
	return l
}

// Status returns the current status.
func (l *Lifecycle) Status() Status { return *l.status.Load() }

// State returns the current state.
func (l *Lifecycle) State() State { return l.status.Load().State }

// Serve notes that a controller that starts is ready.
func (l *Lifecycle) Serve(now int64) { _ = l.take(now, Serve, 0) } // one that is stopping goes on stopping

// Drain has the controller emptied. A second call changes nothing.
func (l *Lifecycle) Drain(now int64) error { return l.take(now, Drain, 0) }

// Resume ends a drain.
func (l *Lifecycle) Resume(now int64) error { return l.take(now, Resume, 0) }

// Replace has the process emptied, as another one serves in its place.
func (l *Lifecycle) Replace(now int64) { _ = l.take(now, Replace, 0) } // one that is stopping goes on stopping

// TakeBack has the process serve again after Replace.
func (l *Lifecycle) TakeBack(now int64) { _ = l.take(now, TakeBack, 0) } // as for Replace

// Stop has the controller end; callers may use their connections for acceptFor microseconds more.
func (l *Lifecycle) Stop(now, acceptFor int64) { _ = l.take(now, Stop, acceptFor) } // a second one changes nothing

func (l *Lifecycle) take(now int64, transition Transition, acceptFor int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.Status()
	to, err := Next(status.State, transition)
	if transition == TakeBack && status.drainedBefore && err == nil {
		to = LameDuck
	}
	if err != nil || to == status.State {
		return err
	}
	next := status.enter(to, now, acceptFor)
	l.status.Store(&next)
	if l.onChange != nil {
		l.onChange(Change{From: status.State, To: to, Transition: transition, At: now})
	}
	return nil
}
