package sippool

import (
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointlist"
)

// The tests of this file are of a draining pool: it sends no load reports and soon accepts no new connections, while
// its calls stay established and their releases come on the connections that it has. Its unresponsive connection must
// not be closed: the next one would be refused, and its calls would count as lost with their process.

// establishAtRejecting sets up a call at p1, which accepts no connections from then on.
func (r *rig) establishAtRejecting() *pendingInvite {
	r.t.Helper()
	r.remote.Notify("idle:12;circuits:40")
	call := r.establish("c1")
	r.remote.SetRejecting(true, false)
	return call
}

func TestRejectingPool_KeepsItsConnectionAndCalls(t *testing.T) {
	for name, listed := range map[string]bool{"the drain is listed": true, "the drain is not listed yet": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				call := r.establishAtRejecting()
				if listed {
					r.list("p1", "10.0.0.1:5060", endpointlist.Draining)
				}
				time.Sleep(6 * time.Second)
				synctest.Wait()
				if r.EstablishedCalls() != 1 || r.remote.OpenConnections() != 1 {
					t.Fatalf("%d established, %d connections", r.EstablishedCalls(), r.remote.OpenConnections())
				}
				r.remote.Bye("c1", 16)
				synctest.Wait()
				<-call.leg.Done()
				if e := call.leg.Ending(); e.Outcome != dispatch.Ended {
					t.Errorf("ended as %+v", e)
				}
			})
		})
	}
}

func TestRejectingPool_LosesItsCallsWhenItsConnectionsAreReset(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.establishAtRejecting()
		time.Sleep(6 * time.Second)
		r.remote.CloseConnections()
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || call.leg.Ending().Cause != dispatch.CauseCut {
			t.Errorf("%d established 1.2 s after the process has ended", r.EstablishedCalls())
		}
	})
}

func TestRejectingPool_LosesItsCallsWhenTheResetIsLost(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.establishAtRejecting()
		time.Sleep(8 * time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || call.leg.Ending().Cause != dispatch.CauseCut {
			t.Errorf("%d established 8 s after the last message", r.EstablishedCalls())
		}
	})
}

func TestRejectingPool_KeepsItsCallsWhenAnAttemptTimesOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.establishAtRejecting()
		time.Sleep(100 * time.Millisecond)
		timedOut := r.invite("c2", 0, 300*time.Millisecond)
		time.Sleep(2 * time.Second)
		r.wantOutcome(timedOut, dispatch.TimedOut)
		if r.EstablishedCalls() != 1 || r.remote.OpenConnections() != 1 {
			t.Fatalf("%d established, %d connections after a time-out", r.EstablishedCalls(), r.remote.OpenConnections())
		}
	})
}

// The next connection is open before the unresponsive one is closed, and is served.
func TestRejectingPool_IsConnectedToWhenItAcceptsConnections(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.establishAtRejecting()
		time.Sleep(4 * time.Second)
		r.remote.SetRejecting(false, false)
		time.Sleep(time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 1 || r.remote.AcceptedConnections() < 2 {
			t.Fatalf("%d established, %d connections were opened", r.EstablishedCalls(), r.remote.AcceptedConnections())
		}
		r.remote.Bye("c1", 16)
		synctest.Wait()
		if r.EstablishedCalls() != 0 {
			t.Error("the release on the next connection was not received")
		}
	})
}
