package eidertrail

import (
	"math"
	"testing"
	"time"
)

func TestPredict_FollowsTheStatesOfThePaper(t *testing.T) {
	set := settings()
	set.Classes[1].LatencyObjective = 2 * time.Second
	node := newTestNode(t, set, pools("a")...)
	node.establish(0, 100*millisecond)
	server := node.server("a")
	shortest, known := server.delay.minDelay(node.now)
	if !known || shortest != 100*millisecond {
		t.Fatalf("M = %v, %v", shortest, known)
	}
	node.c.loadRatio = 1
	for _, step := range []struct {
		name string
		set  func()
		want time.Duration
	}{
		{"answered: c*R", func() {}, 100 * millisecond},
		{"answered until d*R*L", func() { node.c.now += 50 * millisecond }, 100 * millisecond},
		{"idle: a*M*L", func() { node.c.now += 1 }, 97 * millisecond},
		{"in flight: t + b*M*L, t the oldest's age", func() {
			server.inFlight.Send(node.c.now - 40*millisecond)
			server.inFlight.Send(node.c.now)
		}, 140 * millisecond},
		{"L scales the rest", func() { node.c.loadRatio = 2 }, 240 * millisecond},
	} {
		step.set()
		if got := time.Duration(node.c.predict(server, shortest) + 0.5); got != step.want {
			t.Errorf("%s: P = %v, want %v", step.name, got, step.want)
		}
	}
}

// Without the bounds of L the age of attempts at a hung server raises L until healthy servers are denied.
func TestLoadRatio_HungServerLeavesTheOthersInUse(t *testing.T) {
	node := newTestNode(t, settings(), pools("hung", "b", "c")...)
	for pool := range 3 {
		node.establish(pool, 50*millisecond)
		node.advance(100 * millisecond)
	}
	node.call(0, 0) // never answered
	for range 100 {
		node.advance(20 * millisecond)
		id, to := node.call(0, 1)
		if to == "" {
			oldest := node.server("hung").inFlight.Backlog()[0]
			t.Fatalf("not sent at an age of %v with L %v", node.now-oldest.SentAt, node.c.loadRatio)
		}
		if to != "hung" {
			node.advance(50 * millisecond)
			node.handle(Answered{Call: id, Took: 50 * millisecond})
		}
	}
}

// Otherwise a failure shuts a quick server for as long as L of the others stretches it.
func TestPredict_LoadOfOthersDoesNotStretchAFailure(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	server := node.server("a")
	node.c.loadRatio = 5
	server.fail(node.now, 600*millisecond, failureMultiple)
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{{300 * millisecond, 600}, {300*millisecond + 1, 0.97 * 50 * 5}} {
		node.c.now = node.now + test.after
		got := node.c.predict(server, 50*millisecond) / float64(millisecond)
		if math.Abs(got-test.want) > 1e-6 {
			t.Errorf("%v after the failure: P = %v ms, want %v", test.after, got, test.want)
		}
	}
}
