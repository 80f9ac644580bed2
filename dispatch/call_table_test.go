package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/telemetry"
)

func TestCallTable_CallStaysEstablishedUntilTheEndpointEndsIt(t *testing.T) {
	onRig(t, func(r *rig) {
		conn, other := r.connect(), r.connect()
		leg := r.establish(conn, "c1")
		finals := conn.receivedSoFar().finals
		if len(finals) != 1 || finals[0].Kind != FinalEstablished ||
			r.table.EstablishedCalls() != 1 || r.table.PendingSetups() != 0 {
			t.Fatalf("finals %+v", finals)
		}

		// No connection owns the call: its own is gone, so another is notified.
		r.table.Disconnect(conn)
		leg.end()
		synctest.Wait()

		onOther, onOwn := other.receivedSoFar().ends, conn.receivedSoFar().ends
		if len(onOther) != 1 || len(onOwn) != 0 || leg.released != 0 {
			t.Errorf("delivered %v and %v, released %d", onOther, onOwn, leg.released)
		}
	})
}

// An end that was written to a connection whose caller was just closing it was read by nobody.
func TestEndDelivery_EndThatCrossedTheClosingIsRedelivered(t *testing.T) {
	onRig(t, func(r *rig) {
		other, conn := r.connect(), r.connect()
		for _, id := range []string{"c1", "c2"} {
			r.establish(conn, id).end()
			time.Sleep(2 * unreadWindowMicros / 3 * time.Microsecond)
		}
		if ends := conn.receivedSoFar().ends; len(ends) != 2 {
			t.Fatalf("delivered %v", ends)
		}

		r.table.Disconnect(conn)

		if ends := other.receivedSoFar().ends; len(ends) != 1 || ends[0] != "c2" {
			t.Errorf("delivered %v elsewhere, want c2 alone: c1 was read long ago", ends)
		}
	})
}

func TestEndDelivery_EndIsPendingUntilACallerConnects(t *testing.T) {
	onRig(t, func(r *rig) {
		r.connect().refuse()

		r.table.CallEnded("c1", CauseNormal)

		first := r.connect().receivedSoFar().ends
		if len(first) != 1 || r.counters.Get(telemetry.ReleasesPending) != 1 {
			t.Errorf("delivered %v", first)
		}
		if second := r.connect().receivedSoFar().ends; len(second) != 0 {
			t.Errorf("delivered again: %v", second)
		}
	})
}

// An end that is delivered after a while on a connection on which no call was answered yet, and is lost with it, must
// not wait as long again: it must be delivered within 1 s.
func TestEndDelivery_EndIsDeliveredInTimeWhileCallersComeAndGo(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		leg := r.establish(conn, "c1")
		connectAndSetUp := func(id string) *fakeCallerConn {
			unverified := &fakeCallerConn{}
			r.table.Connect(unverified)
			r.setup(unverified, id)
			return unverified
		}
		first := connectAndSetUp("c2")
		r.table.Disconnect(conn)
		leg.end()
		time.Sleep(verifiedWait + 10*time.Millisecond)
		if ends := first.receivedSoFar().ends; len(ends) != 1 {
			t.Fatalf("delivered %v after a while", ends)
		}

		time.Sleep(200 * time.Millisecond)
		r.table.Disconnect(first) // it may not have read it
		time.Sleep(100 * time.Millisecond)
		second := connectAndSetUp("c3")

		if ends := second.receivedSoFar().ends; len(ends) != 1 || ends[0] != "c1" {
			t.Errorf("delivered %v on the next caller's connection, 0.7 s after the end", ends)
		}
	})
}

func TestCallTable_ReleaseEndsTheCallAtItsEndpoint(t *testing.T) {
	onRig(t, func(r *rig) {
		const cause = 31
		conn := r.connect()
		leg := r.establish(conn, "c1")

		if established, err := r.table.Release("c1", cause); !established || err != nil {
			t.Errorf("release: %v, %v", established, err)
		}
		synctest.Wait()

		if ends := conn.receivedSoFar().ends; leg.released != cause || len(ends) != 0 || r.table.EstablishedCalls() != 0 {
			t.Errorf("released with %d, delivered %v", leg.released, ends)
		}
		if _, err := r.table.Release("c1", cause); !errors.Is(err, ErrCallEnded) {
			t.Errorf("second release: %v", err)
		}
		if _, err := r.table.Release("c2", cause); !errors.Is(err, ErrUnknownCall) {
			t.Errorf("release of nobody's call: %v", err)
		}
	})
}

func TestCallTable_CancelledCallGetsNoFinalAnswer(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1")

		if established, err := r.table.Release("c1", CauseNormal); established || err != nil {
			t.Errorf("cancel: %v, %v", established, err)
		}
		synctest.Wait()

		finals := conn.receivedSoFar().finals
		if len(finals) != 0 || r.table.PendingSetups() != 0 || r.counters.Get(telemetry.CancelledCalls) != 1 {
			t.Errorf("finals %+v", finals)
		}
	})
}

// A call whose caller has left must not be answered as established when the two cross.
func TestCallTable_AnswerThatCrossesTheCancelIsReleased(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1")
		attempt := r.lastAttempt()

		r.table.mu.Lock() // both happen before the table can look
		attempt.answer()
		r.table.calls.find("c1").cancel(errCallerLeft)
		r.table.mu.Unlock()
		synctest.Wait()

		finals := conn.receivedSoFar().finals
		if len(finals) != 0 || attempt.leg.released != CauseNormal && len(attempt.end) == 0 {
			t.Errorf("finals %+v, released %d", finals, attempt.leg.released)
		}
	})
}

func TestCallTable_AnswerThatCannotBeDeliveredIsReleased(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1")
		conn.refuse()

		attempt := r.lastAttempt()
		attempt.answer()
		synctest.Wait()

		if attempt.leg.released != CauseNormal || r.table.EstablishedCalls() != 0 {
			t.Error("it is established for nobody")
		}
	})
}

func TestCallTable_DisconnectCallsOffOpenSetups(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1")

		r.table.Disconnect(conn)
		synctest.Wait()

		if finals := conn.receivedSoFar().finals; r.table.PendingSetups() != 0 || len(finals) != 0 {
			t.Errorf("open %d, finals %+v", r.table.PendingSetups(), finals)
		}
		if err := r.attemptSetup(conn, "c2"); err != nil || r.table.PendingSetups() != 0 {
			t.Errorf("a set-up of a connection that is gone: %v, open %d", err, r.table.PendingSetups())
		}
	})
}

func TestCallTable_SetupRejectsInvalidRequests(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		valid := SetupRequest{ID: "c1", Class: "voice", TimeoutMillis: 1000, ReceivedAt: r.Now()}
		for want, invalidate := range map[error]func(*SetupRequest){
			ErrInvalidID:      func(s *SetupRequest) { s.ID = "a b" },
			ErrUnknownClass:   func(s *SetupRequest) { s.Class = "fax" },
			ErrInvalidTimeout: func(s *SetupRequest) { s.TimeoutMillis = -1 },
			ErrInvalidNumber:  func(s *SetupRequest) { s.Number = "1\r\nBYE" },
		} {
			request := valid
			invalidate(&request)
			if err := r.table.Setup(conn, request); !errors.Is(err, want) {
				t.Errorf("got %v, want %v", err, want)
			}
		}
		if err := r.attemptSetup(conn, "c1"); err != nil {
			t.Error(err)
		}
		// Even one that is wrong otherwise.
		if err := r.table.Setup(conn, SetupRequest{ID: "c1", Class: "fax"}); !errors.Is(err, ErrDuplicateID) {
			t.Errorf("again: %v", err)
		}
		r.table.admission.maxCalls = 1
		if err := r.attemptSetup(conn, "c2"); !errors.Is(err, ErrTooManyCalls) || errors.Is(err, ErrNotEstablished) {
			t.Errorf("past the bound: %v", err)
		}
	})
}

func TestCallTable_FinalAnswerComesBeforeTheDeadline(t *testing.T) {
	onRig(t, func(r *rig) {
		conn := r.connect()
		r.setup(conn, "c1") // nobody answers the attempt; the caller stops waiting after 3 s

		time.Sleep(2990 * time.Millisecond)
		synctest.Wait()

		finals := conn.receivedSoFar().finals
		if len(finals) != 1 || finals[0].Kind == FinalEstablished {
			t.Fatalf("finals %+v", finals)
		}
		if retryAfter, harmless := finals[0].RetryAfter(); !harmless || retryAfter < minRetryAfterMicros {
			t.Errorf("a retry is harmless: %t, after %d µs", harmless, retryAfter)
		}
	})
}
