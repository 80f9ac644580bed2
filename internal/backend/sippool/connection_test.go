package sippool

import (
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/testing/fakeplatform"
)

func TestConnection_EndAbortsTransactionsAndKeepsCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		established := r.establish("c1")
		pending := r.invite("c2", 0, time.Minute)
		r.remote.CloseConnections()
		r.wantOutcome(pending, dispatch.Reset)
		time.Sleep(time.Second)
		if r.EstablishedCalls() != 1 || r.remote.OpenConnections() != 1 {
			t.Fatalf("%d established, %d connections", r.EstablishedCalls(), r.remote.OpenConnections())
		}
		r.remote.Bye("c1", 16) // comes on the next connection
		synctest.Wait()
		<-established.leg.Done()
	})
}

func TestConnection_RejectedFailsAttemptsAndThenTerminatesCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		established := r.establish("c1")
		r.remote.SetRejecting(true, false)
		r.remote.CloseConnections()
		synctest.Wait()
		pending := r.invite("c2", 0, time.Minute)
		time.Sleep(minRedialDelay)
		r.wantOutcome(pending, dispatch.ConnectFailed)
		time.Sleep(7 * time.Second)
		select {
		case <-established.leg.Done():
		default:
			t.Fatal("still established 7 s after its process ended")
		}
		if e := established.leg.Ending(); e.Outcome != dispatch.Reset || e.Cause != dispatch.CauseCut {
			t.Errorf("ending %+v", e)
		}
	})
}

func TestConnection_ToARestartedProcessTerminatesCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.establish("c1")
		r.remote.SetRejecting(true, false)
		r.remote.CloseConnections()
		time.Sleep(300 * time.Millisecond)
		r.remote.SetRejecting(false, false)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || r.remote.OpenConnections() != 1 {
			t.Errorf("%d established, %d connections", r.EstablishedCalls(), r.remote.OpenConnections())
		}
	})
}

// The connection of a machine that has vanished stays open and silent, and no new one comes up.
func TestConnection_ToAVanishedMachineTerminatesCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.establish("c1")
		time.Sleep(10 * time.Second) // silent, but it accepts connections
		synctest.Wait()
		if r.EstablishedCalls() != 1 {
			t.Error("terminated while its machine was there")
		}
		r.remote.SetRejecting(false, true)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		if r.EstablishedCalls() != 0 || call.leg.Ending().Outcome != dispatch.Reset {
			t.Errorf("%d established 8 s after the machine vanished", r.EstablishedCalls())
		}
	})
}

func TestConnection_ThatNeverComesUpFailsTheAttemptAtTheConnectTimeout(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.remote.SetRejecting(false, true)
		r.remote.CloseConnections()
		synctest.Wait()
		call := r.invite("c1", 0, time.Minute)
		time.Sleep(600 * time.Millisecond)
		r.wantOutcome(call, dispatch.ConnectFailed)
	})
}

func TestConnection_PoolThatDoesNotReadIsDisconnected(t *testing.T) {
	inBubble(t, func(r *rig) {
		blocked := make(chan struct{})
		r.remote.OnRequest = func(fakeplatform.Request) { <-blocked }
		r.invite("c1", 0, time.Minute)
		call := r.invite("c2", 0, time.Minute)
		time.Sleep(3 * time.Second)
		r.wantOutcome(call, dispatch.Reset)
		close(blocked)
	})
}
