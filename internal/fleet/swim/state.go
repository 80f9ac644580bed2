package swim

import "fmt"

// State is the state of a member as another holds it. Of two claims with the same incarnation, the one with the later
// state takes precedence.
type State uint8

// The states.
const (
	Unknown State = iota // nothing was received from it since this node's start
	Alive
	Suspect // probes failed; it is declared dead unless it refutes the suspicion in time
	Dead
	Left // it announced that it leaves
	stateCount
)

func (s State) String() string {
	switch s {
	case Unknown:
		return "unknown"
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// present reports whether a member in this state is probed and counted as part of the fleet.
func (s State) present() bool { return s == Alive || s == Suspect }

// absent reports whether a member in this state may be alive again without this node's knowledge.
func (s State) absent() bool { return s == Dead || s == Unknown }
