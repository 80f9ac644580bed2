package invariant

import (
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/slowstart"
)

const (
	second = int64(1_000_000) // µs
	// startedAt is when the pool of the slow start tests starts.
	startedAt = 100 * second
)

// halfCapacity is a profile of which a pool of 16 set-ups a second bears 16 within a second at its start, 17.6 a second
// later and 24 half-way: with the allowance for chance 26, 27.99 and 35.8.
func halfCapacity() slowstart.Profile {
	return slowstart.Profile{InitialCapacity: 0.5, Window: 10 * second, OverloadMultiple: 2, OverloadWindow: second}
}

// sendFrom has the 30 controllers send set-ups to the pool, each of a call of its own.
func sendFrom(c *Checker, after int64, setups int) {
	for range setups {
		n := len(c.calls) + 1
		id, controller := strconv.Itoa(n), "n"+strconv.Itoa(n%30)
		c.AttemptSent(startedAt+after, id, controller, "p")
		c.AttemptEnded(startedAt+after, id, false)
	}
}

// retransmit has a sender repeat a set-up.
func retransmit(c *Checker, at int64, times int) {
	for range times {
		c.AttemptRetransmitted(at, "1", "p")
	}
}

// TestChecker_SlowStartBudget: what all controllers together, with the retransmissions of their set-ups, send a pool in
// slow start within any overload window is checked against what the settings allow at its age, N, and 2 root N + 2 for
// chance.
func TestChecker_SlowStartBudget(t *testing.T) {
	for name, test := range map[string]struct {
		play     func(c *Checker)
		violated int
		sent     int
	}{
		"all that it bears at its start": {func(c *Checker) { sendFrom(c, 0, 26) }, 0, 26},
		"one over":                       {func(c *Checker) { sendFrom(c, 0, 27) }, 1, 27},
		"two over":                       {func(c *Checker) { sendFrom(c, 0, 28) }, 2, 28},
		"within the window, one over": {func(c *Checker) {
			sendFrom(c, 0, 26)
			sendFrom(c, second, 2)
		}, 1, 28},
		"within the window": {func(c *Checker) {
			sendFrom(c, 0, 26)
			sendFrom(c, second, 1)
		}, 0, 27},
		"the window is past": {func(c *Checker) {
			sendFrom(c, 0, 26)
			sendFrom(c, second+1, 27)
		}, 0, 53},
		"half-way":                {func(c *Checker) { sendFrom(c, 5*second, 35) }, 0, 35},
		"half-way, one over":      {func(c *Checker) { sendFrom(c, 5*second, 36) }, 1, 36},
		"just before the end":     {func(c *Checker) { sendFrom(c, 10*second-1, 60) }, 15, 60},
		"after the slow start":    {func(c *Checker) { sendFrom(c, 10*second, 60) }, 0, 0},
		"before the slow start":   {func(c *Checker) { sendFrom(c, -1, 60) }, 0, 0},
		"a pool without a record": {func(c *Checker) { c.AttemptSent(startedAt, "x", "n0", "r") }, 0, 0},
		"the process before has a budget of its own": {func(c *Checker) {
			sendFrom(c, 0, 26)
			c.EndpointStarted(startedAt+1, "p", 16)
			sendFrom(c, 1, 26)
		}, 0, 52},
		"so has another pool": {func(c *Checker) {
			sendFrom(c, 0, 26)
			c.EndpointStarted(startedAt, "q", 16)
			c.AttemptSent(startedAt, "x", "n0", "q")
		}, 0, 27},
		"retransmissions are work": {func(c *Checker) {
			sendFrom(c, 0, 20)
			retransmit(c, startedAt, 6)
		}, 0, 26},
		"retransmissions are work, one over": {func(c *Checker) {
			sendFrom(c, 0, 20)
			retransmit(c, startedAt, 7)
		}, 1, 27},
	} {
		c := New(Config{MaxAttempts: 2, SlowStart: halfCapacity()})
		c.EndpointStarted(startedAt, "p", 16)
		test.play(c)
		if got, first := c.Violations(); got != test.violated || got > 0 && !strings.Contains(first[0], "cold pool p") {
			t.Errorf("%s: %d violations, want %d: %v", name, got, test.violated, first)
		}
		if r := c.SlowStartLoad(); r.Sent != test.sent || (r.Worst > 1) != (test.violated > 0) {
			t.Errorf("%s: %+v, want %d sent", name, r, test.sent)
		}
	}
	checkWarmingPoolsBounded(t)
}

// checkWarmingPoolsBounded starts one pool more than can be watched, which is a violation, and another after the slow
// start of the others, which is watched in their place.
func checkWarmingPoolsBounded(t *testing.T) {
	t.Helper()
	c := New(Config{MaxAttempts: 2, SlowStart: halfCapacity()})
	for i := range maxWarmingPools + 1 {
		c.EndpointStarted(startedAt, "p"+strconv.Itoa(i), 16)
	}
	if got, first := c.Violations(); got != 1 || !strings.Contains(first[0], "is not watched") {
		t.Errorf("%d violations %v: one pool more than can be watched is one", got, first)
	}
	c.EndpointStarted(startedAt+10*second, "p", 16)
	if got, _ := c.Violations(); got != 1 || len(c.slowStart.pools) != 1 {
		t.Errorf("%d violations, %d pools watched, want the new one alone", got, len(c.slowStart.pools))
	}
}
