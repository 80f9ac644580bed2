package jsonlines

import (
	"strings"
	"testing"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

func TestServer_CallIsAnsweredAndEndedByPool(t *testing.T) {
	bubble(t, func(r *rig) {
		caller := r.dial()
		caller.say(setup)
		r.want(caller, answer)
		r.inviter.first().end(dispatch.Reset, 41)
		r.want(caller, release41)
	})
}

func TestServer_ReleaseOnAnotherConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		caller, other := r.dial(), r.dial()
		caller.say(setup)
		r.want(caller, answer)
		caller.Close()
		other.say(release16)
		r.want(other, `{"type":"released","id":"9b1f03aa5c7e2d41","fields":{}}`)
		if r.inviter.first().released != 16 {
			t.Error("not released towards the pool")
		}
	})
}

// A set-up whose cancel came first, on another connection whose reader was scheduled earlier, is not sent.
func TestSetUp_CancelledByEarlierRelease(t *testing.T) {
	bubble(t, func(r *rig) {
		caller, other := r.dial(), r.dial()
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		caller.say(setup)
		time.Sleep(3 * time.Second)
		if lines, ended := caller.take(); len(lines) > 0 || ended || r.inviter.sent != 0 {
			t.Errorf("got %q, closed: %t, %d sent", lines, ended, r.inviter.sent)
		}
		if n := r.cfg.Counters.Get(telemetry.CancelledCalls); n != 1 {
			t.Errorf("%d cancelled", n)
		}
		caller.say(forCall(setup, "0001")) // another is served
		if lines, _ := caller.take(); len(lines) != 1 || lines[0] != forCall(answer, "0001") {
			t.Errorf("another: got %q", lines)
		}
	})
}

// One answer is owed for an id, on the connection of its set-up; a second set-up with it is rejected. An id is used
// once.
func TestSetUp_CancelAndDuplicate(t *testing.T) {
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.TimedOut)
		caller, other := r.dial(), r.dial()
		caller.say(setup)
		other.say(setup)
		r.want(other, release41)
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		time.Sleep(3 * time.Second)
		r.want(caller)
		r.want(other)
		other.say(setup)
		r.want(other, release41)
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		other.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		if len(r.unmatched) != 1 || r.unmatched[0] != "00000000000000aa" { // the other is known to have ended
			t.Errorf("unmatched %v", r.unmatched)
		}
	})
}

// Where callers respect a wait, a rejection names one; nothing did, and they dialled again at once.
func TestFinal_RejectionNamesTheWait(t *testing.T) {
	for _, test := range []struct {
		respected bool
		fields    string
	}{
		{false, `"fields":{}`},
		{true, `"fields":{"wait":"2000"}`}, // the longest, as the set-up is aborted
	} {
		bubble(t, func(r *rig) {
			r.cfg.RetryAfter = test.respected
			r.inviter.setOutcome(dispatch.TimedOut)
			caller := r.dial()
			caller.say(setup)
			r.cfg.Calls.AbortPending()
			lines, _ := caller.take()
			if text := strings.Join(lines, ""); !strings.Contains(text, test.fields+`,"cause":42`) || len(lines) != 1 {
				t.Errorf("respected: %t, got %q", test.respected, lines)
			}
		})
	}
}
