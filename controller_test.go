package eidertrail

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"eidertrail/internal/circuit"
)

// Otherwise a node that stalled takes its own pause for slow answers and shuts the servers, and the calls that came
// meanwhile look fresh.
func TestProcessStall_IsNotTakenForTheServers(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	id, _ := node.call(0, 0)
	node.now += 2 * time.Second // no Wake was answered
	node.handle(Answered{Call: id, Took: 2 * time.Second}, Call{ID: 90, Timeout: 2100 * millisecond})
	server := node.server("a")
	if server.delay.latest != 50*millisecond || server.circuit == circuit.Tripped || server.pace.rate < unpacedRate {
		t.Errorf("R %v, circuit %v, rate %v: the stall was taken for the server's",
			server.delay.latest, server.circuit, server.pace.rate)
	}
	if age := node.now - node.c.calls[90].arrivedAt; age != 900*millisecond {
		t.Errorf("a call with 2.1 of 3 s left counts as %v old", age)
	}
	id, _ = node.call(0, 0)
	node.advance(700 * millisecond)
	node.handle(Answered{Call: id, Took: 700 * millisecond})
	if server.delay.latest != 700*millisecond || server.pace.rate >= unpacedRate {
		t.Errorf("R %v, rate %v after a slow answer without a stall", server.delay.latest, server.pace.rate)
	}
}

func TestServerList_DrainingOrRemovedServerGetsNoCall(t *testing.T) {
	for name, l := range map[string]ServerList{
		"draining":       {Kind: Delta, Servers: []Server{{ID: "a", Mode: Draining}}},
		"gone":           {Kind: Delta, Servers: []Server{{ID: "a", Mode: Removed}}},
		"missing":        {Kind: Snapshot, Servers: []Server{{ID: "b", Pool: 1}}},
		"cached without": {Kind: Cached, Servers: []Server{{ID: "b", Pool: 1}}},
	} {
		node := newTestNode(t, settings(), pools("a", "b")...)
		node.handle(l)
		for range 20 {
			if _, to := node.call(0, 0); to == "a" {
				t.Errorf("%s: a call was sent to it", name)
			}
		}
	}
	node := newTestNode(t, settings(), pools("a")...)
	node.handle(ServerList{Kind: Failed})
	if _, to := node.call(0, 0); to != "a" {
		t.Error("a failed request for the list must leave the old one in force")
	}
}

// Otherwise the table grows while servers are replaced by new ones, and each call looks through all that ever were.
func TestServerList_KeepsNothingOfRemovedServers(t *testing.T) {
	node := newTestNode(t, settings(), pools("a", "s0")...)
	for i := range 50 {
		old, next := ServerID(fmt.Sprintf("s%d", i)), ServerID(fmt.Sprintf("s%d", i+1))
		id, to := node.call(0, 1)
		if to != old {
			t.Fatalf("call %d went to %q", i, to)
		}
		node.handle(ServerList{Kind: Delta, Servers: []Server{{ID: old, Mode: Removed}, {ID: next, Pool: 1}}})
		node.handle(Outcome{Call: id, Status: Reset}) // of the attempt in flight at the removed one
		node.advance(time.Second)
		if node.attempts(id) != 2 {
			t.Fatalf("call %d: %d sends", i, node.attempts(id))
		}
		node.handle(Answered{Call: id, Attempt: 1, Took: 50 * millisecond})
		node.handle(Outcome{Call: id, Attempt: 1, Status: Ended, Closed: true})
	}
	if len(node.c.servers) != 2 || len(node.c.serversByID) != 2 {
		t.Errorf("%d servers in order, %d in the table, want the 2 that are listed",
			len(node.c.servers), len(node.c.serversByID))
	}
	if node.c.servers[0].index == node.c.servers[1].index {
		t.Error("two servers have the same draws")
	}
}

func TestServerList_NewIncarnationHasNoDelayMemory(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.handle(ServerList{Kind: Delta, Servers: []Server{{ID: "a", StartedAt: node.now}}})
	if _, known := node.server("a").delay.minDelay(node.now); known {
		t.Error("M of the old incarnation was kept")
	}
}

func TestHandle_IgnoresStaleAndUnknownEvents(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.handle(
		Answered{Call: 99}, Outcome{Call: 99}, CallerGone{Call: 99},
		Wake{Token: 5}, Report{Server: "nowhere", Free: 3},
	)
	if len(node.last) != 0 {
		t.Errorf("unknown ids were acted upon: %v", node.last)
	}
	id, _ := node.call(0, 0)
	node.handle(CallerGone{Call: id})
	node.handle(Outcome{Call: id, Status: Cancelled, Closed: true, Took: 10 * millisecond})
	if node.finalAnswers(id) != 0 || len(node.c.calls) != 0 || node.server("a").inFlight.Len() != 0 {
		t.Error("an abandoned call got a final answer, or is still kept")
	}
	id, _ = node.call(0, 0)
	node.handle(Outcome{Call: id, Status: Ended, Closed: true, Took: 10 * millisecond}, CallerGone{Call: id})
	if node.finalAnswers(id) != 0 || len(node.c.calls) != 0 {
		t.Error("CallerGone in the batch that ended the call was acted upon")
	}
	node.handle(Call{ID: 500, Class: 17, Timeout: time.Second})
	if node.finalAnswers(500) != 1 {
		t.Error("a call of an unknown class gets no answer")
	}
}

func TestHandle_SameEventsGiveSameActions(t *testing.T) {
	play := func() []Action {
		node := newTestNode(t, settings(), pools("a", "b", "c")...)
		for i := range 400 {
			node.advance(time.Duration(i%7) * 3 * millisecond)
			id, to := node.call(i%2, i%3)
			if to != "" && i%5 != 0 {
				node.handle(Answered{Call: id, Took: time.Duration(20+i%90) * millisecond})
			}
		}
		return node.all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("two runs of the same events differ")
	}
}
