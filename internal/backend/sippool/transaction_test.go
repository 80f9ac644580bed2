package sippool

import (
	"testing"
	"time"

	"eidertrail/dispatch"
)

func (r *rig) transactionState(id string) transactionState {
	p := r.pools["p1"]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connection.transactions[id].state
}

func TestInviteTransaction_StatesOfACancelledAttempt(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Minute)
		invite := r.wantRequests("INVITE")
		if got := r.transactionState("c1"); got != stateCalling {
			t.Errorf("%v after the INVITE", got)
		}

		invite.Answer(180, "", "")
		r.wantRequests("INVITE")
		if got := r.transactionState("c1"); got != stateProceeding {
			t.Errorf("%v after a provisional response", got)
		}

		call.leave()
		r.wantOutcome(call, dispatch.Cancelled)
		if got := r.transactionState("c1"); got != stateCancelling {
			t.Errorf("%v after the caller has left", got)
		}
	})
}

func TestDialog_StatesOfAnAnsweredCall(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.establish("c1")
		d, is := call.leg.(*dialog)
		if !is || d.state != dialogConfirmed {
			t.Fatalf("leg %v after a 200", call.leg)
		}
		call.leg.Release(16)
		if d.state != dialogTerminated {
			t.Errorf("%v after the release", d.state)
		}
	})
}
