package jsonlines

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/testing/fakeplatform"
)

// An answer that is queued counts as owed: no set-up is open on the connection any more, but closing it as idle would
// lose the answer.
func TestConn_IsNotIdleWithUnwrittenAnswer(t *testing.T) {
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.TimedOut)
		listener, end := r.serveHeld()
		caller := r.newClient(listener.Dial())
		caller.say(strings.Replace(setup, `"1500"`, `"20000"`, 1))
		time.Sleep(idleTimeout - time.Millisecond)
		r.cfg.Calls.AbortPending()
		time.Sleep(100 * time.Millisecond) // past the idle time, within that of the write
		synctest.Wait()
		end() // now it can be written
		want := `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":42}`
		if lines, ended := caller.take(); len(lines) != 1 || lines[0] != want || ended {
			t.Errorf("got %q, closed: %t", lines, ended)
		}
		time.Sleep(2 * idleTimeout)
		if !caller.hasEnded() {
			t.Error("open though idle for long")
		}
	})
}

// A connection with an established call is not closed as idle, as nobody could be notified of the call's end then. It
// makes room only where no other connection can.
func TestConn_IsNotIdleWithEstablishedCalls(t *testing.T) {
	bubble(t, func(r *rig) {
		caller := r.dial()
		caller.say(setup)
		r.want(caller, answer)
		time.Sleep(2*idleTimeout + time.Second)
		close(r.inviter.legs[0].done)
		if lines, ended := caller.take(); len(lines) != 1 || !strings.HasPrefix(lines[0], `{"type":"release"`) || ended {
			t.Errorf("got %q, closed: %t", lines, ended)
		}
		time.Sleep(2 * idleTimeout)
		if !caller.hasEnded() {
			t.Error("open though idle for long, with no call")
		}
	})
	bubble(t, func(r *rig) {
		caller, other := r.dial(), r.dial()
		caller.say(setup)
		r.want(caller, answer)
		other.say(forCall(setup, "0001"))
		r.want(other, forCall(answer, "0001"))
		close(r.inviter.legs[1].done)
		synctest.Wait()
		other.take()
		time.Sleep(2 * time.Second)
		for _, digits := range []string{"0002", "0003", "0004"} { // the first two fill the places, the third needs one
			r.dial().say(forCall(setup, digits))
			synctest.Wait()
		}
		if caller.hasEnded() {
			t.Error("the connection with an established call made room")
		}
		if !other.hasEnded() {
			t.Error("the connection without a call did not make room")
		}
	})
}

// A set-up that lay unread while the process was stalled is read, although the time in which the caller should have
// sent something is over.
func TestReader_ReadsWhatArrivedDuringProcessStall(t *testing.T) {
	for name, before := range map[string]string{
		"idle":       ping + "\n",
		"first line": "",
		"half of it": setup[:40],
	} {
		bubble(t, func(r *rig) {
			listener := &stalledListener{fakeplatform.NewListener(), make(chan struct{}), make(chan struct{})}
			r.serve(listener)
			defer closeListener(t, listener)
			caller := r.newClient(listener.Dial())
			write(caller, before)
			caller.take()
			<-listener.expired
			rest := setup
			if name == "half of it" {
				rest = setup[40:]
			}
			go write(caller, rest+"\n") // it stays unread
			synctest.Wait()
			close(listener.resume)
			if lines, ended := caller.take(); len(lines) != 1 || lines[0] != answer || ended {
				t.Errorf("%s: got %q, closed: %t", name, lines, ended)
			}
		})
	}
}

// Clients that send nothing, or half a line, and stay are owed a close within 3 s.
func TestConn_ClosedWhenLineIsOverdue(t *testing.T) {
	bubble(t, func(r *rig) {
		silent, half, idle, busy := r.dial(), r.dial(), r.dial(), r.dial()
		write(half, setup[:40])
		idle.say(ping)
		r.inviter.setOutcome(dispatch.TimedOut)
		busy.say(strings.Replace(setup, `"1500"`, `"20000"`, 1))
		time.Sleep(3 * time.Second)
		for name, c := range map[string]*client{"silent": silent, "half a line": half} {
			if !c.hasEnded() {
				t.Errorf("%s: open after 3 s", name)
			}
		}
		if idle.hasEnded() {
			t.Error("one that has sent a message is closed after 3 s")
		}
		write(idle, `{"type":"pi`)
		time.Sleep(lineTimeout + time.Second)
		if !idle.hasEnded() {
			t.Error("open with half a line")
		}
		time.Sleep(idleTimeout)
		if busy.hasEnded() {
			t.Error("closed while a set-up is open")
		}
	})
}
