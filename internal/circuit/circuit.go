// Package circuit holds the states of a circuit breaker for one server, as its client sees it.
//
// The package records what happened and decides nothing: how long a tripped circuit stays open, and how many requests
// an untested or half-open one gets, is the client's policy.
package circuit

// State is the state of a circuit. Its zero value is Untested.
type State int

// States of a circuit.
const (
	Untested State = iota // nothing completed or failed yet
	Closed                // the latest request completed in time
	Tripped               // the latest one failed or was slow: open at first, later half-open
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"untested", "closed", "tripped"}[s] }

// Trip is the transition when a request fails.
func (s *State) Trip() { *s = Tripped }

// Complete is the transition when a request completes, in time or too slowly.
func (s *State) Complete(inTime bool) {
	*s = Tripped
	if inTime {
		*s = Closed
	}
}
