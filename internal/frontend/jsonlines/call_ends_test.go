package jsonlines

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

// placeAndLeave has a caller whose call is established close its connection.
func (r *rig) placeAndLeave() {
	r.t.Helper()
	caller := r.dial()
	caller.say(setup)
	r.want(caller, answer)
	caller.Close()
	synctest.Wait()
}

// A connection on which nothing but a test came gets the end of a call when no caller has come for a while; a caller's
// connection gets it at once.
func TestServer_CallEndIsSentOnTheNextConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		r.placeAndLeave()
		r.inviter.first().end(dispatch.Ended, 16)
		synctest.Wait()
		tester := r.dial()
		r.want(tester)
		time.Sleep(500 * time.Millisecond)
		r.want(tester, release16)
	})
}

// The end of a call does not go to a tester, who knows of no calls, while callers are connected.
func TestServer_CallEndIsNotSentToTesters(t *testing.T) {
	bubble(t, func(r *rig) {
		caller, other := r.dial(), r.dial()
		caller.say(setup)
		r.want(caller, answer)
		other.say(forCall(setup, "0000"))
		r.want(other, forCall(answer, "0000"))
		tester := r.dial() // the youngest
		tester.say(ping)
		tester.take()
		caller.Close()
		synctest.Wait()
		r.inviter.first().end(dispatch.Ended, 16)
		r.want(other, release16)
		time.Sleep(time.Second)
		r.want(tester)
	})
}

// The end of a call does not go to a client that only looks like a caller.
func TestServer_CallEndIsNotSentToConnectionsNeverServed(t *testing.T) {
	bubble(t, func(r *rig) {
		caller, other, unserved := r.dial(), r.dial(), r.dial()
		caller.say(setup)
		r.want(caller, answer)
		other.say(forCall(setup, "0000"))
		r.want(other, forCall(answer, "0000"))
		r.inviter.setOutcome(dispatch.Errored) // pools can make nothing of what the youngest wants
		unserved.say(forCall(setup, "0001"))
		unserved.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		time.Sleep(3 * time.Second)
		unserved.take()
		caller.Close()
		synctest.Wait()
		r.inviter.first().end(dispatch.Ended, 16)
		r.want(other, release16)
		r.want(unserved)
	})
}

// strangers are signs of life that anybody may give, by name.
func strangers() map[string]string {
	return map[string]string{
		"nothing":                      "",
		"a part of a set-up":           setup[:40],
		"a ping":                       ping + "\n",
		"a set-up that was refused":    forCall(strings.Replace(setup, "voice", "none", 1), "00f1") + "\n",
		"a release of an unknown call": `{"type":"release","id":"00000000000000f2","fields":{},"cause":16}` + "\n",
		"a line that was refused":      `{"type":"release","id":"00000000000000f3","fields":[]}` + "\n",
	}
}

// The end of a call was written to a connection of a crowd and forgotten: the callers that came later never got it.
func TestServer_CallEndReachesACallerThatComesAfterACrowd(t *testing.T) {
	for name, shown := range strangers() {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.placeAndLeave()
				for range 2 {
					write(r.dial(), shown)
					synctest.Wait()
				}
				r.inviter.first().end(dispatch.Ended, 16)
				time.Sleep(700 * time.Millisecond)

				next := r.dial()
				next.say(forCall(setup, "0000"))

				lines, _ := next.take()
				if !slices.Contains(lines, release16) {
					t.Errorf("a caller that is answered 0.7 s after the end got %q", lines)
				}
			})
		})
	}
}

// A caller whose set-up takes 2 s to write, beside a crowd, gets the end within 1 s of it where its connection is new.
func TestServer_CallEndReachesACallerWhileItWritesItsSetup(t *testing.T) {
	bubble(t, func(r *rig) {
		r.placeAndLeave()
		write(r.dial(), setup[:40])
		r.inviter.first().end(dispatch.Ended, 16)
		time.Sleep(700 * time.Millisecond)

		slow := r.dial()
		write(slow, setup[:40])
		time.Sleep(100 * time.Millisecond)

		r.want(slow, release16)
	})
}

// The end of an established call is never delivered with a cause that says, before or in place of the call's answer,
// that the set-up may be sent again: the call has run.
func TestCallEnd_CauseNeverReadsAsARejection(t *testing.T) {
	for cause, want := range map[int]int{16: 16, 31: 31, 34: 41, 41: 41, 42: 41, 102: 41} {
		wantEnd := fmt.Sprintf(`{"type":"release","id":%q,"fields":{},"cause":%d}`, callID, want)
		bubble(t, func(r *rig) {
			caller := r.dial()
			caller.say(setup)
			r.want(caller, answer)
			r.inviter.first().end(dispatch.Ended, cause)
			r.want(caller, wantEnd)
		})
		bubble(t, func(r *rig) { // of a call that an earlier process set up
			caller := r.dial()
			caller.say(forCall(setup, "0000"))
			caller.take()
			r.cfg.Calls.CallEnded(callID, cause)
			r.want(caller, wantEnd)
		})
	}
}
