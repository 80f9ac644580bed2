package jsonlines

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
)

func TestPing_AnsweredWithReadiness(t *testing.T) {
	bubble(t, func(r *rig) {
		tester := r.dial()
		tester.say(`{"type":"ping","id":"p1","fields":{},"cause":0}`)
		r.want(tester, `{"type":"pong","id":"p1","fields":{},"cause":1}`)
		r.ready = false
		tester.say(`{"type":"ping","id":"p2","fields":{},"cause":0}`)
		r.want(tester, `{"type":"pong","id":"p2","fields":{},"cause":0}`)
	})
}

func TestMessages_InvalidOnesAreRejected(t *testing.T) {
	bubble(t, func(r *rig) {
		caller := r.dial()
		for _, text := range []string{`{"type":"dance","id":"x"}`, ``, `{"type":"progress","id":"x"}`} {
			caller.say(text)
		}
		r.want(caller)
		head := `{"type":"setup","id":"00000000000000c1","fields":`
		for _, fields := range []string{
			`{"class":"fax","left":1}`,
			`{"class":"voice"}`,
			`{"class":"voice","left":"soon"}`,
			`{"class":"voice","left":-5}`,
			`{"class":"voice","left":1,"key":"a b"}`,
			`7`,
			`{"class":"voice","left":9,"tenant":"nobody"}`,
			`{"class":"voice","left":9,"extras":"x"}`,
			`{"class":"voice","left":9,"extras":"dest:nan;width:1"}`,
			`{"class":"voice","left":9,"extras":"dest:-3;width:1"}`,
			`{"class":"voice","left":9,"extras":"dest:0;width:0"}`,
		} {
			caller.say(head + fields + `}`)
			r.want(caller, `{"type":"release","id":"00000000000000c1","fields":{},"cause":41}`)
		}
		caller.say(setup) // the connection still serves
		r.want(caller, answer)
		caller.say(strings.Repeat("x", 2*linecodec.MaxLine)) // framing is lost
		if !caller.hasEnded() {
			t.Error("still open after a line of 32 KiB")
		}
	})
}

// Clients that send what cannot be answered are closed.
func TestConn_ClosedByWhatCannotBeAnswered(t *testing.T) {
	for _, text := range []string{
		`nonsense`,
		`[]`,
		`7`,
		`{"a":1}`,
		`{"type":"setup","id":"","fields":{"class":"voice","left":"9"}}`,
		setup + "\n" + setup, // two set-ups with one id
		strings.Repeat(`{"type":"release","id":"x"}`+"\n", maxFaults),
	} {
		bubble(t, func(r *rig) {
			r.inviter.setOutcome(dispatch.TimedOut)
			caller := r.dial()
			caller.say(text)
			if lines, ended := caller.take(); !ended || len(lines) > 0 {
				t.Errorf("%.60q: got %v, ended %v", text, lines, ended)
			}
		})
	}
	// What a pool cannot read does not reach it: the pool would close the connection, with the set-ups of others that
	// are out on it.
	bubble(t, func(r *rig) {
		caller := r.dial()
		caller.say(strings.Replace(setup, callID, "a-name.pools+cannot-read", 1))
		r.want(caller, `{"type":"release","id":"a-name.pools+cannot-read","fields":{},"cause":41}`)
		if len(r.inviter.legs) > 0 {
			t.Error("it reached a pool")
		}
	})
}

// One connection does not take the capacity of the others: its open set-ups are bounded, and while pools can make
// nothing of them it gets no more of the pools' time.
func TestSetUp_FloodIsRejectedAtOnce(t *testing.T) {
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.TimedOut)
		caller := r.dial()
		for i := range 80 {
			write(caller, forCall(setup, fmt.Sprintf("%04x", i))+"\n")
		}
		lines, _ := caller.take()
		if len(lines) != 16 || !strings.Contains(lines[0], `"cause":42`) {
			t.Errorf("%d rejected: %v", len(lines), lines)
		}
		caller.Close()
		synctest.Wait()
		if open, _, _ := r.cfg.Calls.ConnState(nil); open != 0 || r.cfg.Calls.PendingSetups() != 0 {
			t.Errorf("%d open", r.cfg.Calls.PendingSetups())
		}
	})
	bubble(t, func(r *rig) {
		r.inviter.setOutcome(dispatch.Errored)
		caller := r.dial()
		for i := range 6 {
			caller.say(forCall(setup, fmt.Sprintf("f%03x", i)))
			time.Sleep(3 * time.Second)
		}
		if lines, _ := caller.take(); len(lines) != 6 || r.inviter.sent < 4 || r.inviter.sent > 8 {
			t.Errorf("%d sent, got %v", r.inviter.sent, lines)
		}
	})
}
