package endpointset

// State is the life of an endpoint, as a source reports it and as the merged set has it.
type State int

// The states, from the least to the most restrictive: the merged state of an endpoint is the most restrictive that any
// source gives it.
const (
	Up       State = iota // takes new calls
	Draining              // keeps its calls, takes no new ones
	Removed               // is not in the merged set
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	default:
		return "removed"
	}
}

// stricterOf is the merged state of an endpoint for which sources report a and b.
func stricterOf(a, b State) State { return max(a, b) }
