package sippool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

func TestInvite_IsEstablishedAndReleasedByThePool(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Minute)
		invite := r.wantRequests("INVITE")
		if invite.URI != "sip:7f3a@net" || invite.CallID != "c1" || invite.Get("subject") != "voice" ||
			string(invite.Body) != "offer\r\n" || invite.Get("x-patience") != "60000" {
			t.Errorf("INVITE %+v", invite.Message)
		}
		invite.Answer(180, "", "")
		invite.Answer(200, "", "answer\r\n")
		r.wantOutcome(call, dispatch.Answered)
		if call.leg.SDP() != "answer\r\n" || r.EstablishedCalls() != 1 {
			t.Errorf("description %q, %d established", call.leg.SDP(), r.EstablishedCalls())
		}

		invite.Answer(200, "", "answer\r\n") // a retransmission is acknowledged again
		r.wantRequests("INVITE ACK ACK")

		invite.Bye(41)
		synctest.Wait()
		<-call.leg.Done()
		if e := call.leg.Ending(); e.Outcome != dispatch.Reset || e.Cause != 41 || r.EstablishedCalls() != 0 {
			t.Errorf("ending %+v", e)
		}

		invite.Bye(41) // of a call that has ended recently
		if synctest.Wait(); len(r.unmatched) > 0 {
			t.Errorf("unmatched %v", r.unmatched)
		}
	})
}

// Pools number every response 1: if a second attempt had another sequence number, its responses would match no INVITE.
func TestInvite_SecondAttemptHasSequenceNumberOne(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Minute)
		r.wantRequests("INVITE").Answer(503, "blocked", "")
		r.wantOutcome(call, dispatch.NoAgent)

		call = r.invite("c1", 1, time.Minute)
		invite := r.wantRequests("INVITE ACK INVITE")
		if invite.CSeq != 1 {
			t.Errorf("second INVITE is numbered %d", invite.CSeq)
		}
		invite.Answer(200, "", "answer\r\n")
		r.wantOutcome(call, dispatch.Answered)
	})
}

func TestInvite_FailureResponses(t *testing.T) {
	for _, test := range []struct {
		status int
		note   string
		want   dispatch.Outcome
	}{
		{503, "blocked", dispatch.NoAgent},
		{503, "swamped", dispatch.ProcessorFull},
		{486, "occupied", dispatch.LinesBusy},
		{486, "", dispatch.Errored},
		{500, "", dispatch.Errored},
		{480, "", dispatch.NotSent},
		{504, "", dispatch.Reset},
		{302, "", dispatch.Errored},
		{699, "", dispatch.Errored},
	} {
		t.Run(fmt.Sprintf("%d %s", test.status, test.note), func(t *testing.T) {
			inBubble(t, func(r *rig) {
				call := r.invite("c1", 0, time.Minute)
				r.wantRequests("INVITE").Answer(test.status, test.note, "")
				r.wantOutcome(call, test.want)
				r.wantRequests("INVITE ACK")
			})
		})
	}
}

func TestInvite_TimeoutCancels(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Second)
		r.wantRequests("INVITE")
		time.Sleep(time.Second)
		r.wantOutcome(call, dispatch.TimedOut)
		invite := r.wantRequests("INVITE CANCEL")

		// Both attempts have one Call-ID: a second one now could be answered with the response to the first.
		r.wantOutcome(r.invite("c1", 1, time.Second), dispatch.NotSent)

		// A 200 that crosses the CANCEL is acknowledged and released, or an agent would be reserved for nobody.
		invite.Answer(200, "", "late\r\n")
		r.wantRequests("INVITE CANCEL ACK BYE")
		if r.EstablishedCalls() != 0 {
			t.Error("the late answer is established")
		}

		r.invite("c1", 1, time.Second) // the first attempt has had its final response
		r.wantRequests("INVITE CANCEL ACK BYE INVITE")
	})
}

func TestInvite_CallerLeavingCancels(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Minute)
		invite := r.wantRequests("INVITE")
		call.leave()
		r.wantOutcome(call, dispatch.Cancelled)
		r.wantRequests("INVITE CANCEL")
		invite.Answer(487, "", "")
		r.wantRequests("INVITE CANCEL ACK")
	})
}

// An INVITE that was decided under a quota must not be sent after a process stall, when the quota is another
// controller's.
func TestInvite_IsNotWrittenAfterSendBy(t *testing.T) {
	inBubble(t, func(r *rig) {
		for margin, want := range map[int64]dispatch.Outcome{-1: dispatch.NotSent, 1: dispatch.Answered} {
			now := r.clock.Now()
			attempt := dispatch.Attempt{
				Setup:     dispatch.Setup{ID: "c" + string(rune('2'+margin)), Number: "7f3a", SDP: "offer\r\n"},
				Endpoint:  "p1",
				DecidedAt: now,
				Deadline:  now + 1_000_000,
				SendBy:    now + margin,
			}
			call := &pendingInvite{}
			go func() {
				call.leg, call.ending = r.Invite(context.Background(), attempt)
				call.done = true
			}()
			if want == dispatch.Answered {
				r.lastInvite().Answer(200, "", "a\r\n")
			}
			r.wantOutcome(call, want)
		}
		if n := r.cfg.Counters.Get(telemetry.StaleStopped); n != 1 {
			t.Errorf("%d set-ups stopped as stale", n)
		}
	})
}

// The goroutine that cancels an attempt may not have run yet when the writer asks for permission.
func TestEnterCalling_ChecksCallerAndDeadline(t *testing.T) {
	inBubble(t, func(r *rig) {
		connection, _ := r.pools["p1"].current()
		now := r.clock.Now()
		for name, test := range map[string]struct {
			callerLeft bool
			deadline   int64
			want       bool
		}{
			"the caller has left":         {true, now + 1_000_000, false},
			"the deadline has come":       {false, now, false},
			"both caller and time remain": {false, now + 1, true},
		} {
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if test.callerLeft {
				leave()
			}
			attempt := dispatch.Attempt{Setup: dispatch.Setup{ID: name}, Deadline: test.deadline}
			transaction := newInviteTransaction(ctx, connection, attempt)
			connection.pool.mu.Lock()
			connection.transactions[name] = transaction
			connection.pool.mu.Unlock()

			if transaction.enterCalling() != test.want {
				t.Errorf("%s: enterCalling is %t", name, !test.want)
			}

			if test.want {
				continue
			}
			if connection.transactions[name] != nil || (<-transaction.result).ending.Outcome != dispatch.NotSent {
				t.Errorf("%s: is kept, or its outcome is not that it was never sent", name)
			}
		}
	})
}
