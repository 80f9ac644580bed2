package jsonlines

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/testing/fakeplatform"
)

// A set-up that lay unread when the drain began, as its reader was not scheduled yet, is answered: without CatchUp its
// connection would be closed as one that is owed nothing.
func TestServer_CatchUpTakesUnreadSetUps(t *testing.T) {
	bubble(t, func(r *rig) {
		listener := unreadListener{fakeplatform.NewListener(), make(chan struct{})}
		r.serve(listener)
		caller := r.newClient(listener.Dial())
		go write(caller, setup+"\n")
		synctest.Wait()
		drained := make(chan struct{})
		go func() { // as the daemon stops
			r.CatchUp()
			closeListener(t, listener)
			r.Drain(context.Background())
			close(drained)
		}()
		time.Sleep(readGrace / 2)
		close(listener.gate)
		<-drained
		if lines, ended := caller.take(); len(lines) != 1 || lines[0] != answer || !ended {
			t.Errorf("got %q, closed: %t", lines, ended)
		}
	})
}

// In a planned stop a connection that is owed nothing is closed at once, and one that is owed an answer once it has it.
// Callers that go on sending on every connection that is open get an answer or a close, never silence.
func TestServer_DrainClosesEachConnectionOnceItIsOwedNothing(t *testing.T) {
	bubble(t, func(r *rig) {
		idle, established, waiting := r.dial(), r.dial(), r.dial()
		established.say(setup)
		r.want(established, answer)
		r.inviter.setOutcome(dispatch.TimedOut)
		waiting.say(forCall(setup, "0001"))
		drained := make(chan struct{})
		go func() {
			r.Drain(context.Background())
			close(drained)
		}()
		for _, c := range []*client{idle, established} {
			if lines, ended := c.take(); len(lines) > 0 || !ended {
				t.Errorf("owed nothing: got %q, closed: %t", lines, ended)
			}
		}
		// The connection that stays open gets more calls, and each its answer.
		r.inviter.setOutcome(dispatch.Answered)
		waiting.say(forCall(setup, "0002"))
		r.want(waiting, forCall(answer, "0002"))
		time.Sleep(time.Second)
		r.cfg.Calls.AbortPending()
		if lines, ended := waiting.take(); len(lines) != 1 || !strings.Contains(lines[0], `"cause":42`) || !ended {
			t.Errorf("aborted: got %q, closed: %t", lines, ended)
		}
		<-drained
		if lines, ended := r.dial().take(); len(lines) > 0 || !ended { // it was on its way
			t.Errorf("late: got %q, closed: %t", lines, ended)
		}
		if r.cfg.Calls.EstablishedCalls() != 2 {
			t.Errorf("%d established calls, want 2", r.cfg.Calls.EstablishedCalls())
		}
	})
}

// A server drains at most once, and takes no connection after it was closed.
func TestServer_LifecycleOnlyMovesForward(t *testing.T) {
	bubble(t, func(r *rig) {
		if got := r.lifecycle.State(); got != lifecycle.Serving {
			t.Errorf("a new server is %s", got)
		}
		r.Drain(context.Background())
		stopped := r.lifecycle.Status()
		if stopped.State != lifecycle.Stopping {
			t.Errorf("after Drain it is %s", stopped.State)
		}
		if err := r.lifecycle.Drain(r.cfg.Clock.Now()); err == nil {
			t.Error("it drains for an operator after it has stopped")
		}
		r.Close()
		r.Drain(context.Background())
		if got := r.lifecycle.Status(); got != stopped {
			t.Errorf("after Close and Drain it is %+v, was %+v", got, stopped)
		}
		if lines, ended := r.dial().take(); len(lines) > 0 || !ended {
			t.Errorf("a connection after Close: got %q, closed: %t", lines, ended)
		}
	})
}
