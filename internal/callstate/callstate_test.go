package callstate_test

import (
	"testing"

	"eidertrail/internal/callstate"
)

func TestState_Transitions(t *testing.T) {
	enqueue, send := (*callstate.State).Enqueue, (*callstate.State).Send
	answer, callerGone := (*callstate.State).Answer, (*callstate.State).CallerGone
	for _, test := range []struct {
		name  string
		event func(*callstate.State)
		want  map[callstate.State]callstate.State // states that are not named stay
	}{
		{"Enqueue", enqueue, map[callstate.State]callstate.State{
			callstate.Arrived:     callstate.Queued,
			callstate.InFlight:    callstate.Queued,
			callstate.Established: callstate.Queued,
		}},
		{"Send", send, map[callstate.State]callstate.State{
			callstate.Queued: callstate.InFlight,
		}},
		{"Answer", answer, map[callstate.State]callstate.State{
			callstate.InFlight:  callstate.Established,
			callstate.Cancelled: callstate.Releasing,
		}},
		{"CallerGone", callerGone, map[callstate.State]callstate.State{
			callstate.Arrived:     callstate.Ended,
			callstate.Queued:      callstate.Ended,
			callstate.InFlight:    callstate.Cancelled,
			callstate.Established: callstate.Releasing,
		}},
	} {
		for from := callstate.Arrived; from <= callstate.Ended; from++ {
			want, moves := test.want[from]
			if !moves {
				want = from
			}
			got := from
			test.event(&got)
			if got != want {
				t.Errorf("%s of a call %s: now %s, want %s", test.name, from, got, want)
			}
		}
	}
}

func TestState_Classification(t *testing.T) {
	for state, want := range map[callstate.State]struct {
		name                    string
		awaitsAnswer, abandoned bool
	}{
		callstate.Arrived:     {"arrived", false, false},
		callstate.Queued:      {"queued", false, false},
		callstate.InFlight:    {"in flight", true, false},
		callstate.Established: {"established", false, false},
		callstate.Cancelled:   {"cancelled", true, true},
		callstate.Releasing:   {"releasing", false, true},
		callstate.Ended:       {"ended", false, false},
	} {
		if got := state.String(); got != want.name {
			t.Errorf("state %d is called %q, want %q", int(state), got, want.name)
		}
		if got := state.AwaitsAnswer(); got != want.awaitsAnswer {
			t.Errorf("%s: AwaitsAnswer() = %v, want %v", state, got, want.awaitsAnswer)
		}
		if got := state.Abandoned(); got != want.abandoned {
			t.Errorf("%s: Abandoned() = %v, want %v", state, got, want.abandoned)
		}
	}
}
