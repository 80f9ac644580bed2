package jsonlines

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eidertrail/dispatch"
)

func TestFinal_RejectionWithoutFreeAgentHasCause34(t *testing.T) {
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.NoAgent)
		caller := r.dial()
		caller.say(setup)
		time.Sleep(1500 * time.Millisecond)
		r.want(caller, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":34}`)
	})
}

// On the wire causes 34, 42 and 102 say that a retry is harmless: a set-up that may have run and must not be repeated
// gets none of them.
func TestFinal_FailureThatMayHaveRunIsNoRejection(t *testing.T) {
	for _, testCase := range []struct {
		class   string
		outcome dispatch.Outcome
		want    string
	}{
		{"voice", dispatch.TimedOut, `"cause":42}`}, // the attempt is out until the call is aborted
		{"once", dispatch.TimedOut, `"cause":41}`},
		{"once", dispatch.Errored, `"cause":41}`},
		{"once", dispatch.NoAgent, `"cause":34}`},
	} {
		bubble(t, func(r *rig) {
			r.inviter.setOutcome(testCase.outcome)
			caller := r.dial()
			caller.say(strings.Replace(setup, "voice", testCase.class, 1))
			time.Sleep(1400 * time.Millisecond)
			r.cfg.Calls.AbortPending()
			if lines, _ := caller.take(); len(lines) != 1 || !strings.HasSuffix(lines[0], testCase.want) {
				t.Errorf("%s, outcome %d: got %q, want %s", testCase.class, testCase.outcome, lines, testCase.want)
			}
		})
	}
}

// A set-up that was reset and must not be repeated gets no cause that says that a retry is harmless (34, 42, 102). The
// caller waits for less than the release wait here.
func TestFinal_ResetCallThatMayHaveRunHasCause41(t *testing.T) {
	for _, testCase := range []struct {
		class   string
		outcome dispatch.Outcome
		cause   int
	}{
		{"voice", dispatch.Reset, 102},
		{"once", dispatch.Reset, 41},
		{"once", dispatch.NoAgent, 34},
	} {
		bubble(t, func(r *rig) {
			r.inviter.setOutcome(testCase.outcome)
			caller := r.dial()
			caller.say(strings.NewReplacer("voice", testCase.class, `"1500"`, `"200"`).Replace(setup))
			time.Sleep(1500 * time.Millisecond)
			r.want(caller, fmt.Sprintf(`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":%d}`, testCase.cause))
		})
	}
}
