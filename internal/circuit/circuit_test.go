package circuit_test

import (
	"testing"

	"eidertrail/internal/circuit"
)

func TestState_Transitions(t *testing.T) {
	for state, name := range []string{"untested", "closed", "tripped"} {
		from := circuit.State(state)
		if from.String() != name {
			t.Errorf("state %d is called %q, want %q", state, from, name)
		}
		for _, test := range []struct {
			name  string
			event func(*circuit.State)
			want  circuit.State
		}{
			{"a failure", (*circuit.State).Trip, circuit.Tripped},
			{"a completion in time", func(s *circuit.State) { s.Complete(true) }, circuit.Closed},
			{"a slow completion", func(s *circuit.State) { s.Complete(false) }, circuit.Tripped},
		} {
			got := from
			test.event(&got)
			if got != test.want {
				t.Errorf("%s of a circuit %s: now %s, want %s", test.name, from, got, test.want)
			}
		}
	}
}

func TestState_ZeroValueIsUntested(t *testing.T) {
	var state circuit.State
	if state != circuit.Untested {
		t.Errorf("a new circuit is %s", state)
	}
}
