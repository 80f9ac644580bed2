package eidertrail

import (
	"testing"
	"time"

	"eidertrail/internal/circuit"
)

// Without the bound by the interval a remote server gets two attempts at a time, as the way there is taken for work.
func TestGate_RemoteServerGetsManyAttemptsAtATime(t *testing.T) {
	set := settings()
	set.Classes[0].MeanHoldingTime = 400 * millisecond // 80 agents and 4 nodes: an interval is 20 ms
	set.Classes[1].LatencyObjective = 0
	node := newTestNode(t, set, pools("a")...)
	node.handle(Report{Server: "a", Free: 80, Agents: 80})
	node.establish(0, 100*millisecond)
	node.advance(time.Second)
	before := countAttempts(node.all)
	for range 40 {
		node.call(0, 0)
	}
	// 100 ms and 20 ms for each behind the oldest, up to 600 ms
	if n := countAttempts(node.all) - before; n < 20 || n > 30 {
		t.Errorf("%d in flight at a time, want 26", n)
	}
	node = newTestNode(t, set, pools("a")...) // few agents: M bounds the delay of the backlog
	node.handle(Report{Server: "a", Free: 2, Agents: 2})
	node.establish(0, 100*millisecond)
	node.advance(time.Second)
	before = countAttempts(node.all)
	for range 40 {
		node.call(0, 0)
	}
	if n := countAttempts(node.all) - before; n != 3 {
		t.Errorf("%d in flight at a time at a small server, want 3", n)
	}
}

// Without a pace all nodes reopen a server together after a slow attempt, with one call from each.
func TestPacing_NodesTogetherKeepTheRateOfTheServer(t *testing.T) {
	set := settings()
	set.Nodes, set.Classes[0].MeanHoldingTime = 300, 10*time.Second
	attempts := 0
	for i := range set.Nodes {
		set.Index = i
		node := newTestNode(t, set, pools("a")...)
		node.handle(Report{Server: "a", Free: 900, Agents: 1000})
		node.establish(0, 50*millisecond)
		node.advance(time.Second)
		node.establish(0, 950*millisecond)
		answered := node.lastSend().Call
		for range 24 { // a call every half second; whatever is sent is answered after 700 ms
			node.call(0, 0)
			node.advance(500 * millisecond)
			if s := node.lastSend(); s.Call != answered {
				answered = s.Call
				attempts++
				node.handle(Answered{Call: s.Call, Took: 700 * millisecond})
			}
		}
	}
	// its agents take 100 calls a second, the nodes offer 600
	if attempts > 12*100 || attempts < 300 {
		t.Errorf("%d sends in 12 s, its agents take 1200", attempts)
	}
}

// A node's pace goes by its share of the calls, or busy nodes reject calls for want of an interval while quiet ones let
// theirs pass; all together send what the agents were planned for.
func TestPacing_FollowsTheTrafficRatio(t *testing.T) {
	set := settings()
	// 200 agents: 25 calls a second were planned for, 1.25 a node
	set.Nodes, set.Classes[0].MeanHoldingTime = 20, 8*time.Second
	attempts := func(index int, callGap time.Duration) (count int) {
		set.Index = index
		controller, err := New(set, uint64(index)*977)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		servers := ServerList{Servers: []Server{{ID: "a"}}}
		controller.Handle(now, []Event{servers, Report{Server: "a", Agents: 200}}, nil)
		id := CallID(0)
		for ; now < time.Hour+40*time.Second; now += callGap {
			id++
			actions := controller.Handle(now, []Event{Call{ID: id, Timeout: 900 * millisecond}}, nil)
			for ; len(actions) > 0; actions = actions[1:] {
				if send, ok := actions[0].(Send); ok { // agents are short: one attempt an interval
					count++
					noAgent := Outcome{Call: send.Call, Status: Full, Cause: NoAgent, Closed: true}
					actions = controller.Handle(now, []Event{noAgent}, actions)
				}
			}
		}
		return count
	}
	mean, busy, idle := attempts(1, 800*millisecond), attempts(2, 200*millisecond), attempts(3, 3200*millisecond)
	if busy < 3*mean/2 {
		t.Errorf("%d sends of a node with four times the calls of one with %d", busy, mean)
	}
	if all := 2*busy + 8*mean + 10*idle; all > 40*25*12/10 { // as many calls as were planned for
		t.Errorf("%d sends of all nodes in 40 s, planned for %d", all, 40*25)
	}
}

// Otherwise a few nodes fill a server the moment that it opens.
func TestGate_UntestedOrTrippedServerGetsOneAttemptAtATime(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	first, to := node.call(0, 0)
	held, second := node.call(0, 0)
	if to != "a" || second != "" {
		t.Fatalf("untested: sent to %q and %q", to, second)
	}
	node.advance(50 * millisecond)
	node.handle(CallerGone{Call: held})
	node.handle(Answered{Call: first, Took: 50 * millisecond})
	node.advance(5 * time.Second)
	node.call(0, 0)
	if id, to := node.call(0, 0); to != "a" {
		t.Fatal("a closed circuit lets only one attempt through at a time")
	} else {
		node.handle(Outcome{Call: id, Status: Full, Cause: ProcessorFull, Took: 50 * millisecond})
	}
	if node.server("a").circuit != circuit.Tripped {
		t.Error("not tripped by a failure")
	}
}

// outOfAgents returns a node whose only server has just answered the call with NoAgent.
func outOfAgents(t *testing.T) (*testNode, CallID) {
	t.Helper()
	set := settings()
	set.Classes[0].MeanHoldingTime = 10 * time.Second
	node := newTestNode(t, set, pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	node.handle(Report{Server: "a", Free: 0, Agents: 100})
	id, _ := node.call(0, 0)
	node.handle(Outcome{Call: id, Status: Full, Cause: NoAgent, Took: 20 * millisecond})
	return node, id
}

// Otherwise servers out of agents are taken for slow ones, and tried again at once.
func TestShortage_NoAgentIsNotAFailure(t *testing.T) {
	node, id := outOfAgents(t)
	if server := node.server("a"); server.circuit == circuit.Tripped || server.delay.latest != 50*millisecond {
		t.Errorf("circuit %v, R %v", server.circuit, server.delay.latest)
	}
	if node.attempts(id) != 1 || node.finalAnswers(id) != 0 {
		t.Error("tried again at once, or rejected")
	}
	node.advance(401 * millisecond) // 4 nodes, 100 agents, 10 s a call
	if node.attempts(id) != 2 {
		t.Error("the call was not sent to the same server again after an interval")
	}
}

// Otherwise two pools short of agents swap their calls, which last longer at their second choice.
func TestShortage_CallsWaitForTheirFirstChoice(t *testing.T) {
	set := settings()
	set.Classes[0].MeanHoldingTime = 10 * time.Second
	for _, test := range []struct {
		class   int
		mode    Mode
		tripped bool
		want    ServerID
	}{
		{0, Ready, false, ""},
		{1, Ready, false, "b"},
		{0, Draining, false, "b"},
		{0, Removed, false, "b"},
		{0, Ready, true, "b"},
	} {
		node := newTestNode(t, set, pools("a", "b")...)
		for range 64 { // the mean weight is that of class 0
			node.handle(Call{ID: 1000, Timeout: time.Millisecond})
			node.handle(CallerGone{Call: 1000})
		}
		for pool := range 2 {
			node.establish(pool, 50*millisecond)
		}
		node.advance(time.Second)
		a, b := node.server("a"), node.server("b")
		a.agents, b.agents, a.shortage, b.shortage = 100, 100, true, true
		a.mode, a.pace.credit, a.pace.since = test.mode, 0, node.now
		a.delay.latest, a.delay.latestAt = time.Second, node.now
		if test.tripped {
			a.circuit.Trip()
		}
		if _, to := node.call(test.class, 0); to != test.want {
			t.Errorf("%+v: sent to %q", test, to)
		}
	}
}

// A connection that breaks ends all attempts in flight on it. If each of them reduced the rate, a server with most of
// all agents would be denied; one that has crashed is found by the next attempt.
func TestPacing_BrokenConnectionReducesNoRate(t *testing.T) {
	set := settings()
	set.Classes[0].MeanHoldingTime = time.Second
	node := newTestNode(t, set, pools("a")...)
	node.handle(Report{Server: "a", Free: 100, Agents: 100})
	for range 3 {
		node.establish(0, 20*millisecond)
	}
	resets := make([]Event, 0, 3)
	for range 3 {
		id, to := node.call(0, 0)
		if to != "a" {
			t.Fatal("a server with a closed circuit gets no call")
		}
		resets = append(resets, Outcome{Call: id, Status: Reset, Took: millisecond, Closed: true})
	}
	node.advance(10 * millisecond)
	node.handle(resets...)
	first, to := node.call(0, 0)
	if to != "a" {
		t.Fatal("no attempt tries the server")
	}
	if _, to := node.call(0, 0); to != "" {
		t.Error("a second attempt was sent beside the first")
	}
	node.advance(20 * millisecond)
	if node.handle(Answered{Call: first, Took: 20 * millisecond}); countAttempts(node.last) != 1 {
		t.Error("the queued call is not sent once the first is answered")
	}
	if _, to := node.call(0, 0); to != "a" {
		t.Error("the circuit did not close again")
	}

	node = newTestNode(t, settings(), pools("a")...)
	node.establish(0, 20*millisecond)
	for range 2 { // the next attempt is reset too: that is a failure
		id, to := node.call(0, 0)
		if to != "a" {
			t.Fatal("a server that was reset once is not tried")
		}
		node.advance(10 * millisecond)
		node.handle(Outcome{Call: id, Status: Reset, Took: 10 * millisecond, Closed: true})
	}
	if _, to := node.call(0, 0); to != "" {
		t.Error("a server that is reset again and again is not denied")
	}
}

// Otherwise a server that completed nothing and asks for a pause is tried again at once by every node.
func TestGate_FailureShutsAnUntestedServer(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	id, _ := node.call(0, 0)
	node.handle(Outcome{Call: id, Status: Full, Cause: ProcessorFull, RetryAfter: 5 * time.Second, Took: 7 * millisecond})
	retried, _ := node.call(0, 0)
	node.handle(CallerGone{Call: retried})
	node.advance(2400 * millisecond)
	retried, _ = node.call(0, 0) // queued
	if node.attempts(retried) != 0 {
		t.Error("tried again within d*R")
	}
	node.advance(200 * millisecond)
	if node.attempts(retried) != 1 {
		t.Error("not tried again after d*R")
	}
}

// While agents are short one call goes in each interval, until enough are reported free.
func TestShortage_IsPaced(t *testing.T) {
	node, _ := outOfAgents(t)
	node.call(0, 0)
	node.call(0, 0)
	before := countAttempts(node.all)
	node.advance(450 * millisecond) // one interval of 400 ms
	if n := countAttempts(node.all) - before; n != 1 {
		t.Errorf("%d sends in the first interval, want 1", n)
	}
	node.handle(Report{Server: "a", Free: 50, Agents: 100})
	if n := countAttempts(node.all) - before; n != 3 {
		t.Errorf("%d sends once agents are free, want 3", n)
	}
}
