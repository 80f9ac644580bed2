package invariant

import (
	"strings"
	"testing"
)

// TestChecker_EachRule violates each rule alone: the violation is found and names its call, and nothing else is found.
func TestChecker_EachRule(t *testing.T) {
	for want, test := range map[string]struct {
		rule Rule
		play func(c *Checker)
	}{
		"call a: a second attempt": {RuleSingleAttempt, func(c *Checker) {
			c.AttemptSent(1, "a", "n0", "p")
			c.AttemptSent(2, "a", "n0", "q")
		}},
		"sent for the 3. time": {RuleMaxAttempts, func(c *Checker) {
			c.AttemptSent(1, "a", "n0", "p")
			c.AttemptEnded(1, "a", false)
			c.AttemptSent(2, "a", "n0", "p")
			c.AttemptEnded(2, "a", false)
			c.AttemptSent(3, "a", "n0", "p")
		}},
		"before its release": {RuleReleaseAwaited, func(c *Checker) {
			c.AttemptSent(1, "a", "n0", "p")
			c.AttemptEnded(2, "a", true)
			c.AttemptSent(301, "a", "n0", "p")
		}},
		"drains or is gone": {RuleEndpointOpen, func(c *Checker) {
			c.EndpointNotified(1, "n0", "p", false)
			c.AttemptSent(52, "a", "n0", "p")
		}},
		"sent after its end": {RuleNotAfterAnswer, func(c *Checker) {
			c.CallAccepted(0, "a", 9)
			c.CallAnswered(1, "a", "x")
			c.AttemptSent(2, "a", "n0", "p")
		}},
		"a second final answer": {RuleSingleAnswer, func(c *Checker) {
			c.CallAccepted(0, "a", 9)
			c.CallAnswered(1, "a", "x")
			c.CallAnswered(2, "a", "y")
		}},
		"after its caller left": {RuleCallerPresent, func(c *Checker) {
			c.CallAccepted(0, "a", 9)
			c.CallerGone(1, "a")
			c.CallAnswered(2, "a", "y")
		}},
		"late": {RuleAnswerInTime, func(c *Checker) {
			c.CallAccepted(0, "a", 9)
			c.CallAnswered(100, "a", "y")
		}},
		"never taken": {RuleAnswerExpected, func(c *Checker) { c.CallAnswered(1, "a", "y") }},
		"taken twice": {RuleAcceptedOnce, func(c *Checker) {
			c.CallAccepted(0, "a", 9)
			c.CallAccepted(0, "a", 9)
			c.CallAnswered(1, "a", "y")
		}},
		"call a: no final answer": {RuleAnswered, func(c *Checker) { c.CallAccepted(0, "a", 9) }},
	} {
		c := New(Config{ReleaseWait: 300, MaxAttempts: 2, DrainGrace: 50, AnswerTolerance: 20})
		test.play(c)
		c.Finish(2000)
		if n, first := c.Violations(); n != 1 || !strings.Contains(first[0], want) {
			t.Errorf("%q: found %v", want, first)
		}
		if typed := c.FirstViolations(); len(typed) != 1 || typed[0].Rule != test.rule {
			t.Errorf("%q: found %+v, want one of the rule %v", want, typed, test.rule)
		}
	}
	checkFaultlessTrace(t)
	checkGracePerController(t)
}

// checkFaultlessTrace plays a trace that keeps all rules.
func checkFaultlessTrace(t *testing.T) {
	t.Helper()
	c := New(Config{ReleaseWait: 300, MaxAttempts: 2, DrainGrace: 50, AnswerTolerance: 20})
	c.CallAccepted(0, "a", 1000)
	c.AttemptSent(1, "a", "n0", "p")
	c.AttemptEnded(2, "a", true)
	c.AttemptSent(302, "a", "n0", "p")
	c.AttemptEnded(303, "a", false)
	c.CallAnswered(1010, "a", "stands")
	c.CallAccepted(0, "b", 1000)
	c.CallerGone(5, "b")
	c.Finish(2000)
	if n, first := c.Violations(); n > 0 {
		t.Errorf("found %v", first)
	}
}

// checkGracePerController sends to a pool that drains within the grace, from a controller that was not notified, and
// after the pool has opened again: all keep the rules.
func checkGracePerController(t *testing.T) {
	t.Helper()
	c := New(Config{ReleaseWait: 300, MaxAttempts: 2, DrainGrace: 50})
	c.EndpointNotified(1, "n0", "p", false)
	c.AttemptSent(40, "a", "n0", "p")
	c.AttemptSent(900, "b", "n1", "p")
	c.EndpointNotified(950, "n0", "p", true)
	c.AttemptSent(1000, "c", "n0", "p")
	if n, first := c.Violations(); n > 0 {
		t.Errorf("found %v", first)
	}
}

// TestChecker_CallerGone: after a caller has left, by closing its connection or by cancelling, no attempt of its call,
// first or further, begins more than 0.1 s later. One within it is counted and is no violation, and so is how many
// waiting calls were sent 0.3 s later, of how many that could have been.
func TestChecker_CallerGone(t *testing.T) {
	const millisecond = 1000 // µs
	accept := func(c *Checker) { c.CallAccepted(0, "a", 9000*millisecond) }
	for name, test := range map[string]struct {
		play func(c *Checker)
		want string
		left AbandonedRequests
	}{
		"sent at 0.1 s": {func(c *Checker) {
			accept(c)
			c.CallerGone(50*millisecond, "a")
			c.AttemptSent(150*millisecond, "a", "n0", "p")
		}, "", AbandonedRequests{1, 0, 1}},
		"sent a microsecond later": {func(c *Checker) {
			accept(c)
			c.CallerGone(50*millisecond, "a")
			c.AttemptSent(150*millisecond+1, "a", "n0", "p")
		}, "after its caller left", AbandonedRequests{1, 0, 0}},
		"sent at 0.11 s": {func(c *Checker) {
			accept(c)
			c.CallerGone(50*millisecond, "a")
			c.AttemptSent(160*millisecond, "a", "n0", "p")
		}, "call a: sent to p 110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"the first notice counts": {func(c *Checker) {
			accept(c)
			c.CallerGone(50*millisecond, "a")
			c.CallerGone(140*millisecond, "a")
			c.AttemptSent(160*millisecond, "a", "n0", "p")
		}, "110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"sent before it left": {func(c *Checker) {
			accept(c)
			c.AttemptSent(50*millisecond, "a", "n0", "p")
			c.CallerGone(50*millisecond, "a")
		}, "", AbandonedRequests{}},
		"a further attempt": {func(c *Checker) {
			accept(c)
			c.AttemptSent(1*millisecond, "a", "n0", "p")
			c.AttemptEnded(2*millisecond, "a", false)
			c.CallerGone(10*millisecond, "a")
			c.AttemptSent(120*millisecond, "a", "n0", "q")
		}, "110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"it left while an attempt was in flight": {func(c *Checker) {
			accept(c)
			c.AttemptSent(1*millisecond, "a", "n0", "p")
			c.CallerGone(10*millisecond, "a")
			c.AttemptEnded(12*millisecond, "a", true)
			c.AttemptSent(400*millisecond, "a", "n0", "q")
		}, "390 ms after its caller left", AbandonedRequests{}},
		"sent 0.3 s later": {func(c *Checker) {
			accept(c)
			c.CallerGone(10*millisecond, "a")
			c.AttemptSent(310*millisecond, "a", "n0", "p")
		}, "300 ms after its caller left", AbandonedRequests{1, 1, 0}},
		"sent a microsecond sooner": {func(c *Checker) {
			accept(c)
			c.CallerGone(10*millisecond, "a")
			c.AttemptSent(310*millisecond-1, "a", "n0", "p")
		}, "299 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"never sent": {func(c *Checker) {
			accept(c)
			c.CallerGone(10*millisecond, "a")
		}, "", AbandonedRequests{1, 0, 0}},
		"it left when answered": {func(c *Checker) {
			accept(c)
			c.CallAnswered(9*millisecond, "a", "refused")
			c.CallerGone(10*millisecond, "a")
		}, "", AbandonedRequests{}},
		"never accepted": {func(c *Checker) { c.CallerGone(10*millisecond, "a") }, "", AbandonedRequests{}},
	} {
		c := New(Config{ReleaseWait: 300, MaxAttempts: 2, AbandonTolerance: 100 * millisecond})
		test.play(c)
		n, first := c.Violations()
		if test.want == "" && n > 0 || test.want != "" && (n != 1 || !strings.Contains(first[0], test.want)) {
			t.Errorf("%s: found %v, want %q", name, first, test.want)
		}
		if got := c.Abandoned(); got != test.left {
			t.Errorf("%s: %+v, want %+v", name, got, test.left)
		}
	}
}

// Order between connections goes by when messages were sent, not by when an observer that is late comes to them.
func TestChecker_AttemptAndAnswerAreOrderedByTheirTimes(t *testing.T) {
	for _, test := range []struct {
		name             string
		earliest, latest int64 // of the attempt
		answered         int64
		answerSeenFirst  bool
		want             int
	}{
		{"sent before the answer, seen after it", 90, 90, 100, true, 0},
		{"may have been sent before the answer", 90, 110, 100, true, 0},
		{"sent after the answer", 110, 110, 100, true, 1},
		{"sent after the answer, seen before it", 110, 110, 100, false, 1},
		{"sent as the answer came", 100, 100, 100, true, 1},
	} {
		c := New(Config{MaxAttempts: 2})
		c.CallAccepted(1, "c1", 1000)
		attempt := func() { c.AttemptSentBetween(test.earliest, test.latest, "c1", "n0", "s-0") }
		if !test.answerSeenFirst {
			attempt()
		}
		c.CallAnswered(test.answered, "c1", "deferred")
		if test.answerSeenFirst {
			attempt()
		}
		if count, first := c.Violations(); count != test.want {
			t.Errorf("%s: %v, want %d violations", test.name, first, test.want)
		}
	}
}
