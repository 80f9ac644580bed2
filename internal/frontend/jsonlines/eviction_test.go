package jsonlines

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

// A connection whose first set-up has just been taken makes no room, although it counts as new until its message is
// handled.
func TestEviction_SparesConnectionWithFirstSetUp(t *testing.T) {
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.TimedOut)
		// The reading after the set-up was taken is stopped.
		clock := r.gateClock(func() bool { return r.cfg.Calls.PendingSetups() > 0 })
		caller := r.dial()
		clock.armed.Store(true)
		go write(caller, setup+"\n")
		<-clock.entered
		silent := make([]*client, 4) // the last one needs a place
		for i := range silent {
			time.Sleep(time.Millisecond)
			silent[i] = r.dial()
			synctest.Wait()
		}
		if caller.hasEnded() || r.cfg.Calls.PendingSetups() != 1 {
			t.Errorf("it had to make room; %d open", r.cfg.Calls.PendingSetups())
		}
		if !silent[0].hasEnded() {
			t.Error("the oldest on which nothing came is still there")
		}
		close(clock.gate)
	})
}

// A set-up that is read while its connection makes room is not taken. Without that, it would be sent for nobody, and
// its caller, who repeats what crossed a close, would be rejected as the id is in use.
func TestEviction_SetUpThatCrossesTheCloseMayBeRepeated(t *testing.T) {
	bubble(t, func(r *rig) {
		r.cfg.MaxConnections = 1
		listener, end := r.serveHeld() // its closing is seen late
		defer end()
		clock := r.gateClock(func() bool { return true })
		raw := listener.Dial()
		write(raw, ping+"\n")
		synctest.Wait()
		clock.armed.Store(true)
		write(raw, setup+"\n")
		<-clock.entered // it is read, and not taken yet
		other := r.dial()
		synctest.Wait()
		close(clock.gate)
		synctest.Wait()
		if r.inviter.sent != 0 || r.cfg.Calls.PendingSetups() != 0 {
			t.Errorf("%d sent, %d open for a connection that was closed", r.inviter.sent, r.cfg.Calls.PendingSetups())
		}
		other.say(setup)
		if lines, _ := other.take(); len(lines) != 1 || lines[0] != answer {
			t.Errorf("repeated: got %q", lines)
		}
	})
}

// A connection that makes room is written what is queued for it: no set-up is open on it any more, but the answer is
// not written yet. One that does not read gets no more time.
func TestEviction_WritesQueuedAnswers(t *testing.T) {
	bubble(t, func(r *rig) {
		r.cfg.MaxConnections = 1
		listener, end := r.serveHeld()
		caller := r.newClient(listener.Dial())
		caller.say(strings.Replace(setup, "voice", "fax", 1))
		other := r.dial()
		synctest.Wait()
		end() // now it can be written
		if lines, ended := caller.take(); len(lines) != 1 || lines[0] != release41 || !ended {
			t.Errorf("got %q, closed: %t", lines, ended)
		}
		other.say(setup)
		if lines, _ := other.take(); len(lines) != 1 || lines[0] != answer {
			t.Errorf("the other: got %q", lines)
		}
	})
	bubble(t, func(r *rig) {
		r.cfg.MaxConnections = 1
		raw := r.listener.Dial()
		write(raw, strings.Replace(setup, "voice", "fax", 1)+"\n")
		synctest.Wait()
		r.dial()
		time.Sleep(evictionFlushTimeout)
		synctest.Wait()
		if _, err := raw.Read(make([]byte, 1)); err == nil {
			t.Error("it is still open")
		}
	})
}

// Connections on which nothing came make room first, then those that were never served; one with an open set-up never
// does. Without that, clients that open connections by the hundred would shut the callers out.
func TestEviction_OrderOfConnections(t *testing.T) {
	bubble(t, func(r *rig) {
		served, silent, unserved, busy := r.dial(), r.dial(), r.dial(), r.dial()
		served.say(setup)
		r.want(served, answer)
		unserved.say(ping)
		unserved.take()
		r.inviter.setOutcome(dispatch.TimedOut)
		busy.say(forCall(setup, "0000"))
		time.Sleep(1100 * time.Millisecond)
		connect := func() {
			r.dial().say(forCall(setup, fmt.Sprintf("%04x", time.Now().Nanosecond()%9999)))
		}
		connect()
		if !silent.hasEnded() || unserved.hasEnded() || served.hasEnded() {
			t.Error("the silent one had to make room")
		}
		time.Sleep(time.Microsecond)
		connect()
		if !unserved.hasEnded() || served.hasEnded() {
			t.Error("the one that was never served had to make room")
		}
		time.Sleep(time.Microsecond)
		connect()
		if !served.hasEnded() {
			t.Error("the idle one had to make room")
		}
		if late := r.dial(); !late.hasEnded() || busy.hasEnded() {
			t.Error("accepted though all have open set-ups")
		}
	})
}

func TestEvictionRank_IsNamed(t *testing.T) {
	for rank, want := range map[evictionRank]string{
		notEvictable:        "not evictable",
		evictableWithCalls:  "idle with calls",
		evictableIdle:       "idle",
		evictableUnproven:   "not established",
		evictableBeforeLine: "new",
	} {
		if got := rank.String(); got != want {
			t.Errorf("rank %d is %q, want %q", int(rank), got, want)
		}
	}
}

// A crowd that had sent refused set-ups stayed, and a caller's new connection was closed with its set-up unread in it.
func TestEviction_SparesANewConnectionBesideACrowdThatWasRefused(t *testing.T) {
	bubble(t, func(r *rig) {
		refused := strings.Replace(setup, "voice", "none", 1)
		crowd := make([]*client, r.cfg.MaxConnections)
		for i := range crowd {
			crowd[i] = r.dial()
			crowd[i].say(forCall(refused, fmt.Sprintf("%04d", i)))
		}
		time.Sleep(time.Second)
		caller := r.dial()
		time.Sleep(10 * time.Millisecond)
		r.dial().say(forCall(refused, "00f1"))
		if caller.hasEnded() {
			t.Error("the caller's connection was closed for one of a crowd 10 ms after it was opened")
		}

		time.Sleep(time.Second) // it says nothing: it is one of them
		r.dial()
		if !caller.hasEnded() {
			t.Error("a connection on which nothing came for a second is still there")
		}
	})
}
