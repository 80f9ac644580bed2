package eidertrail

import (
	"testing"
	"time"

	"eidertrail/internal/circuit"
)

// Otherwise one lost answer shuts a busy server, by its age and then as a failure, while all that was sent later is
// answered.
func TestBacklog_LostAnswerLeavesABusyServerInUse(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	lost, to := node.call(0, 0)
	if to != "a" {
		t.Fatal("not sent")
	}
	for range 12 { // 600 ms: its timeout passes meanwhile
		node.advance(millisecond)
		id, to := node.call(0, 0)
		if to != "a" {
			t.Fatalf("denied with one answer lost, %v after its attempt was sent", node.now-node.c.calls[lost].latest.SentAt)
		}
		node.advance(49 * millisecond)
		node.handle(Answered{Call: id, Took: 49 * millisecond})
	}
	node.handle(Outcome{Call: lost, Status: TimedOut, Took: 600 * millisecond})
	if _, to := node.call(0, 0); to != "a" {
		t.Error("denied once the lost one had timed out")
	}
	// An attempt that was not overtaken fails as before.
	node = newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	id, _ := node.call(0, 0)
	node.advance(600 * millisecond)
	node.handle(Outcome{Call: id, Status: TimedOut, Took: 600 * millisecond})
	if node.server("a").circuit != circuit.Tripped {
		t.Error("a timeout of an attempt that was not overtaken is no failure")
	}
}

// Of a batch that left at one instant an attempt overtaken by a later one is lost too, and a stream of calls that are
// all answered in M does not raise L. Without this a remote server gets two attempts at a time.
func TestBacklog_StreamOfCallsKeepsARemoteServerOpen(t *testing.T) {
	set := settings()
	set.Classes[0].MeanHoldingTime = 400 * millisecond
	node := newTestNode(t, set, pools("a")...)
	node.handle(Report{Server: "a", Free: 80, Agents: 80})
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	type sent struct {
		id CallID
		at time.Duration
	}
	var out []sent
	for n := range 200 { // a pair each 20 ms, answered after 50 ms; the first of each fifth pair is lost
		for i := range 2 {
			id, to := node.call(0, 0)
			if to == "" {
				t.Fatalf("pair %d was not sent with all answered in time, L %.1f", n, node.c.loadRatio)
			}
			if i > 0 || n%5 > 0 {
				out = append(out, sent{id, node.now})
			}
		}
		node.advance(20 * millisecond)
		for len(out) > 0 && node.now-out[0].at >= 50*millisecond {
			node.handle(Answered{Call: out[0].id, Took: node.now - out[0].at})
			out = out[1:]
		}
	}
}

func TestMinDelay_LastsForItsWindow(t *testing.T) {
	server := &serverRecord{}
	for _, test := range []struct{ at, took, want time.Duration }{
		{0, 80 * millisecond, 80 * millisecond},
		{10 * time.Second, 50 * millisecond, 50 * millisecond},
		{20 * time.Second, 90 * millisecond, 50 * millisecond},
		{40 * time.Second, 95 * millisecond, 50 * millisecond},
		{41 * time.Second, 95 * millisecond, 90 * millisecond},
		{90 * time.Second, 200 * millisecond, 200 * millisecond},
		{500 * time.Second, 0, 200 * millisecond},
	} {
		if test.took > 0 {
			server.complete(test.at, test.took)
		}
		if shortest, _ := server.delay.minDelay(test.at); shortest != test.want {
			t.Errorf("at %v: M = %v, want %v", test.at, shortest, test.want)
		}
	}
}

func TestFail_CountsAsTheLargerOfWaitAndTwiceTheThreshold(t *testing.T) {
	for _, test := range []struct{ wait, want time.Duration }{
		{100 * millisecond, 600 * millisecond},
		{2 * time.Second, 2 * time.Second},
	} {
		server := &serverRecord{}
		server.complete(0, 50*millisecond)
		server.fail(time.Second, test.wait, failureMultiple)
		if server.delay.latest != test.want {
			t.Errorf("wait %v: R = %v, want %v", test.wait, server.delay.latest, test.want)
		}
	}
}

// Otherwise a server that answers quickly with faults attracts most calls.
func TestFaults_ManyInARowTripTheCircuit(t *testing.T) {
	for _, test := range []struct {
		cause    Cause
		faults   int
		tripped  bool
		attempts int
	}{{NoCause, 1, false, 2}, {NoCause, faultsToTrip, true, 2}, {LinesBusy, 2 * faultsToTrip, false, 1}} {
		node := newTestNode(t, settings(), pools("a", "b")...)
		node.establish(0, 50*millisecond)
		node.advance(time.Second)
		for range test.faults {
			id, _ := node.call(0, 0)
			node.handle(Outcome{Call: id, Status: Error, Cause: test.cause, Took: 10 * millisecond})
			if want := 2 - test.attempts; node.attempts(id) != test.attempts || node.finalAnswers(id) != want {
				t.Errorf("%+v: %d sends, %d answers", test, node.attempts(id), node.finalAnswers(id))
			}
			if test.attempts == 2 {
				node.advance(50 * millisecond)
				node.handle(Answered{Call: id, Attempt: 1, Took: 50 * millisecond})
			}
		}
		if got := node.server("a").circuit == circuit.Tripped; got != test.tripped {
			t.Errorf("%+v: tripped %v", test, got)
		}
	}
}

// Faults say nothing of the load: what a server does not fail is used at full rate, and one that fails all is denied
// for longer with each fault.
func TestFaults_ServerThatFailsOftenIsUsed(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	sent, server := 0, node.server("a")
	for range 80 { // two sends a call, and each fortieth attempt is answered
		id, to := node.call(0, 0)
		for n := 0; to != ""; n++ {
			if sent++; sent%40 == 0 {
				node.handle(Answered{Call: id, Attempt: n, Took: 50 * millisecond})
				break
			}
			to = ""
			if node.handle(Outcome{Call: id, Attempt: n, Status: Error, Took: 10 * millisecond}); n == 0 {
				to = node.sentTo(id)
			}
		}
		node.advance(20 * millisecond)
	}
	if sent < 140 || server.circuit == circuit.Tripped || server.pace.rate < unpacedRate {
		t.Errorf("%d sends, circuit %v, rate %v", sent, server.circuit, server.pace.rate)
	}
	for server.faults < faultsToTrip+maxFaultPenalty {
		node.handle(Call{ID: 1000 + CallID(server.faults), Timeout: time.Second})
		id := node.lastSend().Call
		if node.sentTo(id) == "" {
			t.Fatal("not tried again")
		}
		node.handle(Outcome{Call: id, Status: Error, Took: 10 * millisecond, Closed: true})
		node.advance(server.delay.latest)
	}
	shortest, _ := server.delay.minDelay(node.now)
	if server.delay.latest != time.Duration(failureMultiple*gateMultiple*maxFaultPenalty*float64(shortest)) {
		t.Errorf("R = %v with M = %v", server.delay.latest, shortest)
	}
}

// Without the bound a node that met a server only while it was overloaded takes that delay for M, and never shuts it.
func TestMinDelay_IsBoundedByTheLatencyObjective(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 900*millisecond)
	server := node.server("a")
	if shortest, _ := server.delay.minDelay(node.now); shortest > 84*millisecond {
		t.Errorf("M = %v, want a threshold of half the shortest objective of 1 s", shortest)
	}
	if server.pace.rate >= unpacedRate || server.circuit != circuit.Tripped {
		t.Errorf("rate %v, circuit %v after 900 ms", server.pace.rate, server.circuit)
	}
}
