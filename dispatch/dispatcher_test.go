package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
)

func TestDispatcher_PickReportTick(t *testing.T) {
	onRig(t, func(r *rig) {
		request := r.request(0, time.Second)
		decision, err := r.Pick(context.Background(), request)
		if err != nil || decision.Kind != DecisionSend || decision.Endpoint != "a" || decision.Attempt != 0 {
			t.Fatalf("%+v, %v", decision, err)
		}

		r.Report(Result{Call: request.Call, Endpoint: "a", Outcome: NoAgent, Load: LoadReport{0, 20}})
		decision, err = r.Pick(context.Background(), request)
		if err != nil || decision.Endpoint != "b" || decision.Attempt != 1 {
			t.Fatalf("second: %+v, %v", decision, err)
		}

		r.Report(Result{Call: request.Call, Attempt: 1, Endpoint: "b", Outcome: NoAgent, Load: UnknownLoad})
		decision, err = r.Pick(context.Background(), request)
		if err != nil || decision.Kind != DecisionReject ||
			!decision.NoAgentFree || decision.RetryAfter < minRetryAfterMicros {
			t.Fatalf("third: %+v, %v", decision, err)
		}
		if err := r.Tick(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

func TestDispatcher_ReleaseIsAwaitedBeforeARetry(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Reset, Cancelled} {
		onRig(t, func(r *rig) {
			q := r.request(0, 5*time.Second)
			r.pick(q)
			before := r.Now()

			r.Report(Result{Call: q.Call, Endpoint: "a", Outcome: outcome, Took: 1000, Load: UnknownLoad})
			decision, err := r.Pick(context.Background(), q)

			waited := decision.DecidedAt - before
			if err != nil || decision.Kind != DecisionSend || waited < settings().ReleaseWait.Microseconds() {
				t.Errorf("outcome %d: %+v after %d us, %v", outcome, decision, waited, err)
			}
		})
	}
}

func TestDispatcher_CallerLeavesWhileItsCallWaits(t *testing.T) {
	onRig(t, func(r *rig) {
		r.list(eidertrail.Removed, eidertrail.Removed)
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan error, 1)
		q := r.request(0, time.Minute)
		go func() {
			_, err := r.Pick(ctx, q)
			done <- err
		}()
		synctest.Wait()

		leave()

		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
		synctest.Wait()
		if len(r.engine.calls) != 0 {
			t.Errorf("%d calls left", len(r.engine.calls))
		}
	})
}

// A decision that crossed its caller's leaving, and that nobody carries out, must not hold its endpoint.
func TestDispatcher_DecisionThatNobodyTakesIsUndone(t *testing.T) {
	onRig(t, func(r *rig) {
		ctx, leave := context.WithCancel(context.Background())
		leave()
		for range 50 {
			if decision, err := r.Pick(ctx, r.request(0, time.Minute)); err == nil {
				r.Report(Result{
					Call:       r.lastCall.Load(),
					Attempt:    decision.Attempt,
					Outcome:    NotSent,
					Load:       UnknownLoad,
					CallerGone: true,
				})
			}
		}
		synctest.Wait()

		decision, err := r.Pick(context.Background(), r.request(0, time.Minute))

		if err != nil || decision.Kind != DecisionSend || decision.Endpoint != "a" {
			t.Errorf("after 50 that left: %+v, %v", decision, err)
		}
	})
}

// Where the decision and the caller's leaving are both there, no attempt may be sent, whichever is seen first.
func TestDispatcher_DecisionIsNotTakenOnceTheCallerHasLeft(t *testing.T) {
	onRig(t, func(r *rig) {
		ctx, leave := context.WithCancel(context.Background())
		leave()
		for range 50 {
			if decision, err := r.Pick(ctx, r.request(0, time.Minute)); err == nil {
				t.Fatalf("%+v for a caller that has left", decision)
			}
		}
	})
}

// jumpingClock is a clock that a test sets forward: to the process it is as if it had stalled.
type jumpingClock struct {
	*clock.Clock
	stalledFor atomic.Int64 // µs
}

func (c *jumpingClock) Now() int64 { return c.Clock.Now() + c.stalledFor.Load() }

const testStallMicros = 700_000

// A caller that leaves while the process stalls must not be sent for: when the process goes on, timers that are due run
// before the readers have seen its connection close.
func TestDispatcher_NothingIsSentForCallersThatLeftDuringAStall(t *testing.T) {
	for _, decided := range []bool{false, true} {
		t.Run(fmt.Sprintf("decided %t", decided), func(t *testing.T) {
			set := settings()
			set.Tick = 5 * time.Millisecond
			onRigWith(t, set, func(r *rig) { testStall(r, set, decided) })
		})
	}
}

// testStall stalls the process in the iteration that decides, or while a release is awaited.
func testStall(r *rig, set eidertrail.Settings, decided bool) {
	now := &jumpingClock{Clock: clock.New()}
	defer r.runOn(set, now)()
	r.list(eidertrail.Ready, eidertrail.Ready)
	time.Sleep(r.gatherDelay)
	request := r.request(0, 5*time.Second)
	if decision, err := r.Pick(context.Background(), request); err != nil || decision.Endpoint != "a" {
		r.t.Errorf("first %+v, %v", decision, err)
	}
	outcome, resumesAfter := TimedOut, r.gatherDelay // when the loop decides
	if decided {
		outcome = NoAgent
	}
	r.Report(Result{Call: request.Call, Endpoint: "a", Outcome: outcome, Took: 1000, Load: LoadReport{0, 20}})
	caller, leave := context.WithCancel(context.Background())
	defer leave()
	picked := make(chan error, 1)
	go func() {
		decision, err := r.Pick(caller, request)
		if err == nil {
			r.t.Errorf("sent %+v for a caller that has left", decision)
		}
		picked <- err
	}()
	synctest.Wait()
	if decided {
		r.post(func(int64) { now.stalledFor.Store(testStallMicros) })
	} else { // the module's timer is due
		time.Sleep(r.gatherDelay)
		synctest.Wait()
		resumesAfter = duration(r.engine.NextDue(now.Now()) - now.Now())
		now.stalledFor.Store(testStallMicros)
	}

	// The reader sees the close right after the process goes on.
	time.Sleep(resumesAfter + stallRecoveryDelay/2)
	leave()

	if err := <-picked; !errors.Is(err, context.Canceled) {
		r.t.Errorf("error %v", err)
	}
}

// runOn gives the rig a dispatcher on that clock; the returned function stops it and waits for its end.
func (r *rig) runOn(set eidertrail.Settings, now Clock) (stop func()) {
	r.t.Helper()
	d, err := New(set, 1, testMaxRetryAfter, now, zerolog.Nop(), r.counters)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(ctx)
	}()
	r.Dispatcher = d
	return func() {
		cancel()
		<-ended
	}
}

func TestDispatcher_RejectionRateFallsWithTime(t *testing.T) {
	onRig(t, func(r *rig) {
		r.list(eidertrail.Removed, eidertrail.Removed)
		for range 20 {
			r.pick(r.request(0, 10*time.Millisecond))
		}
		before := r.RejectionRate()

		time.Sleep(10 * time.Second)

		if after := r.RejectionRate(); before < 0.3 || after > before/3 {
			t.Errorf("rate %v, 10 s later %v", before, after)
		}
	})
}

// A call that is given up between Report and the next Pick, when nobody waits, must not be entered a second time, with
// two more attempts.
func TestDispatcher_CallGivenUpBetweenReportAndPick(t *testing.T) {
	onRig(t, func(r *rig) {
		q := r.request(0, time.Second)
		for attempt := range 2 {
			r.pick(q)
			r.Report(Result{Call: q.Call, Attempt: attempt, Outcome: NoAgent, Load: UnknownLoad})
			synctest.Wait()
		}

		time.Sleep(time.Second)

		if decision, err := r.Pick(context.Background(), q); err != nil || decision.Kind == DecisionSend {
			t.Errorf("third pick: %+v, %v", decision, err)
		}
		if synctest.Wait(); len(r.engine.calls) != 0 {
			t.Errorf("%d calls left", len(r.engine.calls))
		}
	})
}

// A waiting call must not get its second choice because an update of that endpoint came some microseconds before one of
// its first.
func TestDispatcher_UpdatesThatComeTogetherAreDecidedOnTogether(t *testing.T) {
	set := settings()
	set.Tick = 5 * time.Millisecond
	onRigWith(t, set, func(r *rig) {
		r.list(eidertrail.Draining, eidertrail.Draining)
		q := r.request(0, time.Second)
		q.Group = 1
		decisions := make(chan Decision, 1)
		go func() {
			decision, err := r.Pick(context.Background(), q)
			if err != nil {
				t.Errorf("pick: %v", err)
			}
			decisions <- decision
		}()
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)

		r.UpdateEndpoints([]Endpoint{{UID: "a", Group: 0}}, false)
		time.Sleep(100 * time.Microsecond)
		r.UpdateEndpoints([]Endpoint{{UID: "b", Group: 1}}, false)

		if decision := <-decisions; decision.Kind != DecisionSend || decision.Endpoint != "b" {
			t.Errorf("sent to %+v, first choice is b", decision)
		}
	})
}
