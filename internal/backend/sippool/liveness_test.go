package sippool

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

// A connection that stays open but on which nothing is received any more is replaced: its attempts end, and the next
// connection brings the releases. The pool sends them on the next one that is opened and on no later one, so that none
// may be opened only to see whether it comes up.
func TestLiveness_UnresponsiveConnectionIsReplaced(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, time.Minute)
		r.wantRequests("INVITE")
		time.Sleep(2 * time.Second)
		r.wantOutcome(call, dispatch.Reset)
		if got, _ := r.requests(); got != "INVITE BYE" {
			t.Errorf("pool got %q", got)
		}
		if n := r.remote.AcceptedConnections(); n != 2 {
			t.Errorf("%d connections were opened, want the unresponsive one and the next", n)
		}
	})
}

// A pool that reports ten times a second is unresponsive sooner than one that reports seldom.
func TestLiveness_TimeoutFollowsReportIntervals(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.report(2 * time.Second)
		call := r.invite("c1", 0, time.Minute)
		time.Sleep(minUnresponsiveTimeout + 100*time.Millisecond)
		r.wantOutcome(call, dispatch.Reset)
		if n := r.remote.AcceptedConnections(); n != 2 {
			t.Errorf("%d connections were opened, want the unresponsive one and the next", n)
		}

		for range 10 { // one longer interval suffices
			r.remote.Notify("idle:12;circuits:40")
			time.Sleep(450 * time.Millisecond)
		}
		other := r.invite("c2", 0, time.Minute)
		time.Sleep(700 * time.Millisecond)
		if synctest.Wait(); other.done || r.remote.AcceptedConnections() != 2 {
			t.Errorf("done %v, %d connections: closed though its intervals are long", other.done, r.remote.AcceptedConnections())
		}
	})
}

// One late report must not end the connection of a pool that reports every second, as a timeout of 1.5 s would.
func TestLiveness_PoolThatReportsEverySecond(t *testing.T) {
	inBubble(t, func(r *rig) {
		for range 20 {
			r.remote.Notify("idle:12;circuits:40")
			time.Sleep(time.Second)
		}
		call := r.invite("c1", 0, time.Minute)
		time.Sleep(1900 * time.Millisecond)
		if n := r.remote.AcceptedConnections(); n != 1 {
			t.Errorf("%d connections: closed before two of its reports were due", n)
		}
		time.Sleep(200 * time.Millisecond)
		r.wantOutcome(call, dispatch.Reset)
	})
}

// The silence before a set-up does not count.
func TestLiveness_IdleConnectionIsNotUnresponsive(t *testing.T) {
	inBubble(t, func(r *rig) {
		time.Sleep(10 * time.Second)
		call := r.invite("c1", 0, time.Minute)
		time.Sleep(time.Second)
		r.wantRequests("INVITE").Answer(200, "", "a\r\n")
		r.wantOutcome(call, dispatch.Answered)
		if n := r.remote.AcceptedConnections(); n != 1 {
			t.Errorf("%d connections were opened", n)
		}
	})
}

// No INVITE is sent any longer on a connection on which one has timed out with nothing received since, and the next
// connection brings the releases that may be lost with it.
func TestTimeout_SilentConnectionIsClosed(t *testing.T) {
	inBubble(t, func(r *rig) {
		established := r.establish("c0")
		time.Sleep(100 * time.Millisecond)
		timedOut := r.invite("c1", 0, 300*time.Millisecond)
		pending := r.invite("c2", 0, time.Minute)
		established.leg.Release(16)
		time.Sleep(310 * time.Millisecond)
		r.wantOutcome(timedOut, dispatch.TimedOut)
		r.wantOutcome(pending, dispatch.Reset)
		got, _ := r.requests()
		// A release that was being written when the connection was closed is sent again on the next.
		byes := strings.Count(got, "BYE")
		wantPrefix := "INVITE ACK INVITE INVITE BYE"
		if r.remote.AcceptedConnections() != 2 || !strings.HasPrefix(got, wantPrefix) || byes < 4 || byes > 5 {
			t.Errorf("%d connections, the pool got %q", r.remote.AcceptedConnections(), got)
		}
	})
}

// Something was received, but a message has stopped short since. That is no sign of the pool's load.
func TestTimeout_ConnectionWithAPartialMessageIsClosed(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, 300*time.Millisecond)
		r.remote.Notify("idle:12;circuits:40")
		time.Sleep(100 * time.Millisecond)
		r.remote.Send("SIP/2.0 200 OK\r\nCall-")
		time.Sleep(210 * time.Millisecond)
		r.wantOutcome(call, dispatch.Reset)
		if got, _ := r.requests(); got != "INVITE BYE" && got != "INVITE BYE BYE" || r.remote.AcceptedConnections() != 2 {
			t.Errorf("%d connections, the pool got %q", r.remote.AcceptedConnections(), got)
		}
	})
}

// Something was received: one response is lost, no more.
func TestTimeout_ResponsiveConnectionStaysOpen(t *testing.T) {
	inBubble(t, func(r *rig) {
		call := r.invite("c1", 0, 300*time.Millisecond)
		r.wantRequests("INVITE")
		time.Sleep(100 * time.Millisecond)
		r.remote.Notify("idle:12;circuits:40")
		time.Sleep(210 * time.Millisecond)
		r.wantOutcome(call, dispatch.TimedOut)
		r.wantRequests("INVITE CANCEL")
		if r.remote.AcceptedConnections() != 1 {
			t.Errorf("%d connections", r.remote.AcceptedConnections())
		}
	})
}
