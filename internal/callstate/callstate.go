// Package callstate is the life of a call in the ledger of its sender, as a state machine.
//
// A call arrives, is queued, and has at most one attempt in flight, which is answered or fails. A caller may leave at
// any time: the call is then abandoned, and is kept until the outcome of its attempt came. The package records what
// happened; it decides nothing. An event that does not apply to a state leaves it as it is.
package callstate

// State is the state of a call. Its zero value is Arrived.
type State int

// States of a call.
const (
	Arrived     State = iota // not considered yet
	Queued                   // waits for an attempt or its final answer
	InFlight                 // an attempt was sent and has no answer
	Established              // the attempt was answered
	Cancelled                // abandoned with an attempt in flight
	Releasing                // abandoned after its attempt was answered
	Ended                    // nothing is owed and nothing to come
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"arrived", "queued", "in flight", "established", "cancelled", "releasing", "ended"}[s]
}

// AwaitsAnswer reports whether an attempt in flight has no answer.
func (s State) AwaitsAnswer() bool { return s == InFlight || s == Cancelled }

// Abandoned reports whether the caller has left while the attempt's outcome is still to come.
func (s State) Abandoned() bool { return s == Cancelled || s == Releasing }

// Enqueue is the transition of a call that is considered, or whose attempt failed.
func (s *State) Enqueue() { s.move(Queued, Arrived, InFlight, Established) }

// Send is the transition of a queued call whose next attempt is sent.
func (s *State) Send() { s.move(InFlight, Queued) }

// Answer is the transition when the attempt in flight is answered.
func (s *State) Answer() {
	s.move(Established, InFlight)
	s.move(Releasing, Cancelled)
}

// CallerGone is the transition when the caller leaves.
func (s *State) CallerGone() {
	s.move(Cancelled, InFlight)
	s.move(Releasing, Established)
	s.move(Ended, Arrived, Queued)
}

// move changes to the next state from any of those given.
func (s *State) move(next State, from ...State) {
	for _, state := range from {
		if *s == state {
			*s = next
			return
		}
	}
}
