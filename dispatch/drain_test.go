package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

func TestCallTable_AbortPendingAnswersAllSetups(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1")
		r.setup(conn, "c2")
		r.lastAttempt().answer()
		r.list(eidertrail.Removed, eidertrail.Removed)
		r.setup(conn, "c3") // waits for an endpoint

		r.table.AbortPending()
		r.table.Drain(context.Background())

		if finals := conn.receivedSoFar().finals; len(finals) != 3 || r.table.EstablishedCalls() != 1 {
			t.Errorf("finals %+v, %d established", finals, r.table.EstablishedCalls())
		}
	})
}

// A set-up that may have been carried out, of a class that must not be repeated, must not be rejected at the end of the
// process: a rejection says that a retry is harmless.
func TestCallTable_AbortAfterAnAttemptThatMayHaveRun(t *testing.T) {
	const inFlight = Answered // the attempt is still in flight when the process ends
	for _, test := range []struct {
		name        string
		idempotency eidertrail.Idempotency
		first       Outcome // of the first attempt
		loopEnds    bool    // before that outcome is reported; else the table aborts the call
		want        FinalKind
	}{
		{"idempotent, attempt in flight", eidertrail.Idempotent, inFlight, false, FinalCongestion},
		{"not idempotent, attempt in flight", eidertrail.NotIdempotent, inFlight, false, FinalMayHaveRun},
		{"idempotent by key, attempt in flight", eidertrail.IdempotentByKey, inFlight, false, FinalMayHaveRun},
		{"not idempotent, proven not to have run, waiting", eidertrail.NotIdempotent, NoAgent, false, FinalCongestion},
		{"not idempotent, timed out as the loop ends", eidertrail.NotIdempotent, TimedOut, true, FinalMayHaveRun},
		{"not idempotent, proven not to have run, the loop ends", eidertrail.NotIdempotent, NoAgent, true, FinalCongestion},
		{"idempotent, timed out as the loop ends", eidertrail.Idempotent, TimedOut, true, FinalCongestion},
	} {
		onRig(t, func(r *rig) {
			stop := r.replaceDispatcher(withIdempotency(test.idempotency))
			defer stop()
			r.list(eidertrail.Ready, eidertrail.Ready)
			conn := r.connect()
			r.setup(conn, "c1")
			attempt := r.lastAttempt()
			r.list(eidertrail.Ready, eidertrail.Removed) // the call waits once its attempt has ended

			if test.loopEnds {
				stop()
				synctest.Wait()
			}
			if test.first != inFlight {
				attempt.end <- Ending{Outcome: test.first, Load: LoadReport{0, 20}}
				synctest.Wait()
			}
			if !test.loopEnds {
				r.table.AbortPending()
				synctest.Wait()
			}

			finals := conn.receivedSoFar().finals
			if len(finals) != 1 || finals[0].Kind != test.want {
				t.Errorf("%s: finals %+v, want one of kind %v", test.name, finals, test.want)
			}
		})
	}
}

// replaceDispatcher gives the rig a dispatcher and a call table with those settings. The returned function stops the
// dispatcher's loop.
func (r *rig) replaceDispatcher(set eidertrail.Settings) (stop context.CancelFunc) {
	r.t.Helper()
	d, err := New(set, 1, testMaxRetryAfter, r.clock, zerolog.Nop(), r.counters)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	r.Dispatcher, r.inviter.dispatcher = d, d
	r.table = r.newTable()
	return stop
}

// A cancel that comes between AbortPending and the answer must still prevent the answer: the context shows only that
// the call was aborted, as that came first.
func TestCallTable_CancelAfterAbortGetsNoFinalAnswer(t *testing.T) {
	for name, leave := range map[string]func(*rig, *fakeCallerConn){
		"cancel": func(r *rig, _ *fakeCallerConn) {
			if _, err := r.table.Release("c1", CauseNormal); err != nil {
				r.t.Errorf("cancel: %v", err)
			}
		},
		"disconnect": func(r *rig, conn *fakeCallerConn) { r.table.Disconnect(conn) },
	} {
		onRig(t, func(r *rig) {
			conn := r.connect()
			r.setup(conn, "c1")
			hold := make(chan struct{})
			r.inviter.beforeCancelled = func() { <-hold } // both come before the attempt is seen to be called off

			r.table.AbortPending()
			synctest.Wait()
			leave(r, conn)
			close(hold)
			synctest.Wait()

			finals, cancelled := conn.receivedSoFar().finals, r.counters.Get(telemetry.CancelledCalls)
			if len(finals) != 0 || cancelled != 1 || r.table.PendingSetups() != 0 {
				t.Errorf("%s: finals %+v, %d cancelled", name, finals, cancelled)
			}
		})
	}
}

// A call that was answered just as the table aborted it must not be forgotten while it is established: its caller's
// release must be passed on, and its end delivered.
func TestCallTable_AnswerThatCrossesTheAbortEstablishesTheCall(t *testing.T) {
	for _, byPool := range []bool{false, true} {
		onRig(t, func(r *rig) {
			conn := r.connect()
			r.setup(conn, "c1")
			attempt := r.lastAttempt()
			// The table aborts between the answer's arrival and its delivery, under the table's lock.
			call := r.table.calls.find("c1")
			conn.beforeFinal = func() { call.cancel(errAborted) }
			attempt.answer()
			synctest.Wait()
			finals := conn.receivedSoFar().finals
			if len(finals) != 1 || finals[0].Kind != FinalEstablished || r.table.EstablishedCalls() != 1 {
				t.Errorf("finals %+v, %d established", finals, r.table.EstablishedCalls())
				return
			}

			if byPool {
				attempt.leg.end()
				synctest.Wait()
				if ends := conn.receivedSoFar().ends; len(ends) != 1 {
					t.Errorf("the endpoint's end was delivered as %v", ends)
				}
				return
			}
			const cause = 31
			if established, err := r.table.Release("c1", cause); !established || err != nil {
				t.Errorf("release: %v, %v", established, err)
			}
			synctest.Wait()
			if attempt.leg.released != cause {
				t.Error("not released at the endpoint")
			}
		})
	}
}

// A set-up that comes in just after AbortPending, on a connection that still waits for another's answer, must not be
// taken and never answered.
func TestCallTable_SetupAfterAbortIsAnsweredAtOnce(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.table.AbortPending()

		if err := r.attemptSetup(conn, "c1"); err != nil {
			t.Fatal(err)
		}

		finals := conn.receivedSoFar().finals
		if len(finals) != 1 || finals[0].Kind != FinalCongestion || r.table.PendingSetups() != 0 {
			t.Errorf("finals %+v, %d open", finals, r.table.PendingSetups())
		}
		if sent := r.inviter.attempts(); sent != 0 {
			t.Errorf("%d attempts were sent", sent)
		}
	})
}

var allIdempotencies = []eidertrail.Idempotency{
	eidertrail.Idempotent, eidertrail.IdempotentByKey, eidertrail.NotIdempotent,
}

// finalOf sets up a call, plays what becomes of it and returns its final answer.
func (r *rig) finalOf(conn *fakeCallerConn, id string, play func()) Final {
	r.t.Helper()
	r.setup(conn, id)
	play()
	time.Sleep(3 * time.Second)
	synctest.Wait()
	finals := conn.receivedSoFar().finals
	if len(finals) == 0 {
		r.t.Fatalf("%s: no final answer", id)
	}
	return finals[len(finals)-1]
}

// endLast ends the last attempt.
func (r *rig) endLast(outcome Outcome) {
	r.t.Helper()
	r.lastAttempt().end <- Ending{Outcome: outcome, Load: UnknownLoad}
}

// A caller must not be notified that a call was rejected, as if a retry were harmless, when a set-up that must not
// be repeated may have been carried out: at a planned stop too.
func TestCallTable_SetupThatMustNotBeRepeatedIsNotRejected(t *testing.T) {
	for _, idempotency := range allIdempotencies {
		mustNotRepeat := idempotency != eidertrail.Idempotent
		set := withIdempotency(idempotency)
		// A table aborts once: each case has a rig of its own.
		onRigWith(t, set, func(r *rig) {
			final := r.finalOf(r.connect(), "in-flight", r.table.AbortPending)
			if mustNotRepeat && final.Kind != FinalMayHaveRun || !mustNotRepeat && final.Kind != FinalCongestion {
				t.Errorf("idempotency %d, in flight at the stop: %+v", idempotency, final)
			}
		})
		onRigWith(t, set, func(r *rig) {
			r.list(eidertrail.Removed, eidertrail.Removed)
			final := r.finalOf(r.connect(), "waiting", r.table.AbortPending)
			if final.Kind != FinalCongestion {
				t.Errorf("idempotency %d, not sent at the stop: %+v", idempotency, final)
			}
		})
		onRigWith(t, set, func(r *rig) {
			conn := r.connect()
			if mustNotRepeat {
				before := r.inviter.attempts()
				final := r.finalOf(conn, "reset", func() { r.endLast(Reset) })
				sent := r.inviter.attempts() - before
				if final.Kind != FinalMayHaveRun || sent != 1 {
					t.Errorf("idempotency %d, reset: %+v after %d set-ups", idempotency, final, sent)
				}
			}
			final := r.finalOf(conn, "full", func() {
				for range maxAttempts {
					r.endLast(NoAgent)
					synctest.Wait()
				}
			})
			if final.Kind != FinalNoAgent {
				t.Errorf("idempotency %d, no agent: %+v", idempotency, final)
			}
		})
	}
}

// resetInviter resets every attempt, once the dispatcher has stopped.
type resetInviter struct {
	dispatcher *Dispatcher
	stop       func()
}

func (i resetInviter) Invite(context.Context, Attempt) (Leg, Ending) {
	i.stop()
	<-i.dispatcher.done
	return nil, Ending{Outcome: Reset, At: i.dispatcher.Now(), Load: UnknownLoad}
}

// The same for an attempt that ends when nothing decides any more.
func TestServe_SetupThatMustNotBeRepeatedIsNotRejectedAtTheEnd(t *testing.T) {
	for idempotency, want := range map[eidertrail.Idempotency]FinalKind{
		eidertrail.Idempotent:      FinalCongestion,
		eidertrail.IdempotentByKey: FinalMayHaveRun,
		eidertrail.NotIdempotent:   FinalMayHaveRun,
	} {
		synctest.Test(t, func(t *testing.T) {
			d, err := New(withIdempotency(idempotency), 1, testMaxRetryAfter, clock.New(), zerolog.Nop(), nil)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			go d.Run(ctx)
			d.UpdateEndpoints([]Endpoint{{UID: "a"}}, false)
			request := Request{Call: d.NewCall(), Deadline: d.Now() + 3_000_000}
			inviter := resetInviter{dispatcher: d, stop: stop}

			final := Serve(context.Background(), d, inviter, request, Setup{ID: "c1"})

			if final.Kind != want {
				t.Errorf("idempotency %d: %+v", idempotency, final)
			}
		})
	}
}
