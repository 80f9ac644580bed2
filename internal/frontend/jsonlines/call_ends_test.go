package jsonlines

import (
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

// A connection on which nothing but a test came gets the end of a call when no caller has come for a while; a caller's
// connection gets it at once.
func TestServer_CallEndIsSentOnTheNextConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		caller := r.dial()
		caller.say(setup)
		r.want(caller, answer)
		caller.Close()
		synctest.Wait()
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
