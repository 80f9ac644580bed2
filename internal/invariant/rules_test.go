package invariant

import (
	"fmt"
	"strings"
	"testing"

	"eidertrail/internal/slowstart"
)

// Each broken rule is found, named with its call, and nothing else is.
func TestEachRule(t *testing.T) {
	for want, play := range map[string]func(c *Checker){
		"": func(c *Checker) {
			c.CallAccepted(0, "a", 1000)
			c.Sent(1, "a", "n0", "p")
			c.Ended(2, "a", true)
			c.Sent(302, "a", "n0", "p")
			c.Ended(303, "a", false)
			c.Final(1010, "a", "stands")
			c.CallAccepted(0, "b", 1000)
			c.CallerGone(5, "b")
		},
		"call a: a second attempt": func(c *Checker) { c.Sent(1, "a", "n0", "p"); c.Sent(2, "a", "n0", "q") },
		"sent for the 3. time": func(c *Checker) {
			c.Sent(1, "a", "n0", "p")
			c.Ended(1, "a", false)
			c.Sent(2, "a", "n0", "p")
			c.Ended(2, "a", false)
			c.Sent(3, "a", "n0", "p")
		},
		"before its release":      func(c *Checker) { c.Sent(1, "a", "n0", "p"); c.Ended(2, "a", true); c.Sent(301, "a", "n0", "p") },
		"drains or is gone":       func(c *Checker) { c.EndpointNotified(1, "n0", "p", false); c.Sent(52, "a", "n0", "p") },
		"sent after its end":      func(c *Checker) { c.CallAccepted(0, "a", 9); c.Final(1, "a", "x"); c.Sent(2, "a", "n0", "p") },
		"a second final answer":   func(c *Checker) { c.CallAccepted(0, "a", 9); c.Final(1, "a", "x"); c.Final(2, "a", "y") },
		"after its caller left":   func(c *Checker) { c.CallAccepted(0, "a", 9); c.CallerGone(1, "a"); c.Final(2, "a", "y") },
		"late":                    func(c *Checker) { c.CallAccepted(0, "a", 9); c.Final(100, "a", "y") },
		"never taken":             func(c *Checker) { c.Final(1, "a", "y") },
		"taken twice":             func(c *Checker) { c.CallAccepted(0, "a", 9); c.CallAccepted(0, "a", 9); c.Final(1, "a", "y") },
		"call a: no final answer": func(c *Checker) { c.CallAccepted(0, "a", 9) },
	} {
		c := New(Config{ReleaseWait: 300, MaxAttempts: 2, Grace: 50, Late: 20})
		play(c)
		c.Finish(2000)
		n, first := c.Violations()
		if want == "" && n > 0 || want != "" && (n != 1 || !strings.Contains(first[0], want)) {
			t.Errorf("%q: found %v", want, first)
		}
	}
	c := New(Config{ReleaseWait: 300, MaxAttempts: 2, Grace: 50})
	c.EndpointNotified(1, "n0", "p", false)
	c.Sent(40, "a", "n0", "p")  // within the grace
	c.Sent(900, "b", "n1", "p") // told to another controller
	c.EndpointNotified(950, "n0", "p", true)
	c.Sent(1000, "c", "n0", "p")
	if n, first := c.Violations(); n > 0 {
		t.Errorf("found %v", first)
	}
}

// A caller that left, by closing its connection or by cancelling: no attempt of its call, first or further, begins more
// than 0.1 s after. One within it is counted and is no violation, and so is how many waiting calls were sent on 0.3 s
// later, of how many that could have been.
func TestCallersThatLeft(t *testing.T) {
	const ms = 1000
	took := func(c *Checker) { c.CallAccepted(0, "a", 9000*ms) }
	for name, x := range map[string]struct {
		play func(c *Checker)
		want string
		left AbandonedRequests
	}{
		"sent at 0.1 s":            {func(c *Checker) { took(c); c.CallerGone(50*ms, "a"); c.Sent(150*ms, "a", "n0", "p") }, "", AbandonedRequests{1, 0, 1}},
		"sent a microsecond later": {func(c *Checker) { took(c); c.CallerGone(50*ms, "a"); c.Sent(150*ms+1, "a", "n0", "p") }, "after its caller left", AbandonedRequests{1, 0, 0}},
		"sent at 0.11 s":           {func(c *Checker) { took(c); c.CallerGone(50*ms, "a"); c.Sent(160*ms, "a", "n0", "p") }, "call a: sent to p 110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"the time is that of the first word": {func(c *Checker) {
			took(c)
			c.CallerGone(50*ms, "a")
			c.CallerGone(140*ms, "a")
			c.Sent(160*ms, "a", "n0", "p")
		}, "110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"sent before it left": {func(c *Checker) { took(c); c.Sent(50*ms, "a", "n0", "p"); c.CallerGone(50*ms, "a") }, "", AbandonedRequests{}},
		"a further attempt": {func(c *Checker) {
			took(c)
			c.Sent(1*ms, "a", "n0", "p")
			c.Ended(2*ms, "a", false)
			c.CallerGone(10*ms, "a")
			c.Sent(120*ms, "a", "n0", "q")
		}, "110 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"it left while an attempt was out": {func(c *Checker) {
			took(c)
			c.Sent(1*ms, "a", "n0", "p")
			c.CallerGone(10*ms, "a")
			c.Ended(12*ms, "a", true)
			c.Sent(400*ms, "a", "n0", "q")
		}, "390 ms after its caller left", AbandonedRequests{}},
		"sent on 0.3 s later": {func(c *Checker) {
			took(c)
			c.CallerGone(10*ms, "a")
			c.Sent(310*ms, "a", "n0", "p")
		}, "300 ms after its caller left", AbandonedRequests{1, 1, 0}},
		"sent on 1 us sooner": {func(c *Checker) {
			took(c)
			c.CallerGone(10*ms, "a")
			c.Sent(310*ms-1, "a", "n0", "p")
		}, "299 ms after its caller left", AbandonedRequests{1, 0, 0}},
		"never sent":            {func(c *Checker) { took(c); c.CallerGone(10*ms, "a") }, "", AbandonedRequests{1, 0, 0}},
		"it left when answered": {func(c *Checker) { took(c); c.Final(9*ms, "a", "refused"); c.CallerGone(10*ms, "a") }, "", AbandonedRequests{}},
		"never taken":           {func(c *Checker) { c.CallerGone(10*ms, "a") }, "", AbandonedRequests{}},
	} {
		c := New(Config{ReleaseWait: 300, MaxAttempts: 2, LeftGrace: 100 * ms})
		x.play(c)
		n, first := c.Violations()
		if x.want == "" && n > 0 || x.want != "" && (n != 1 || !strings.Contains(first[0], x.want)) {
			t.Errorf("%s: found %v, want %q", name, first, x.want)
		}
		if got := c.Abandoned(); got != x.left {
			t.Errorf("%s: %+v, want %+v", name, got, x.left)
		}
	}
}

// What all controllers together, and the repeats of their set-ups, send a cold pool within any stretch of the fall's
// length is held to what the settings allow at its age, N, with 2 root N + 2 for chance.
func TestColdPoolsBudget(t *testing.T) {
	const second = 1_000_000
	// Of 16 set-ups a second it does 8 at first: N is 16 then, 17.6 a second later, 24 half-way, and with chance 26,
	// 27.99 and 35.8.
	start := slowstart.Profile{InitialCapacity: 0.5, Window: 10 * second, OverloadMultiple: 2, OverloadWindow: second}
	const born = 100 * second
	n := 0
	send := func(c *Checker, at int64, times int) {
		for range times {
			n++
			id, controller := fmt.Sprint(n), fmt.Sprint("n", n%30)
			c.Sent(born+at, id, controller, "p")
			c.Ended(born+at, id, false)
		}
	}
	for name, x := range map[string]struct {
		play   func(c *Checker)
		broken int
		sent   int
	}{
		"all that it bears at its start":            {func(c *Checker) { send(c, 0, 26) }, 0, 26},
		"one over":                                  {func(c *Checker) { send(c, 0, 27) }, 1, 27},
		"two over":                                  {func(c *Checker) { send(c, 0, 28) }, 2, 28},
		"within the stretch, one over":              {func(c *Checker) { send(c, 0, 26); send(c, second, 2) }, 1, 28},
		"within the stretch":                        {func(c *Checker) { send(c, 0, 26); send(c, second, 1) }, 0, 27},
		"the stretch is past":                       {func(c *Checker) { send(c, 0, 26); send(c, second+1, 27) }, 0, 53},
		"half-way":                                  {func(c *Checker) { send(c, 5*second, 35) }, 0, 35},
		"half-way, one over":                        {func(c *Checker) { send(c, 5*second, 36) }, 1, 36},
		"just not warm":                             {func(c *Checker) { send(c, 10*second-1, 60) }, 15, 60},
		"warm":                                      {func(c *Checker) { send(c, 10*second, 60) }, 0, 0},
		"before its start":                          {func(c *Checker) { send(c, -1, 60) }, 0, 0},
		"the process before counts for itself":      {func(c *Checker) { send(c, 0, 26); c.EndpointStarted(born+1, "p", 16); send(c, 1, 26) }, 0, 52},
		"so does another pool":                      {func(c *Checker) { send(c, 0, 26); c.EndpointStarted(born, "q", 16); c.Sent(born, "x", "n0", "q") }, 0, 27},
		"repeats are work":                          {func(c *Checker) { send(c, 0, 20); repeat(c, born, 6) }, 0, 26},
		"repeats are work, one over":                {func(c *Checker) { send(c, 0, 20); repeat(c, born, 7) }, 1, 27},
		"a pool that was never told of as starting": {func(c *Checker) { c.Sent(born, "x", "n0", "r") }, 0, 0},
	} {
		c := New(Config{MaxAttempts: 2, SlowStart: start})
		c.EndpointStarted(born, "p", 16)
		x.play(c)
		if got, first := c.Violations(); got != x.broken || got > 0 && !strings.Contains(first[0], "cold pool p") {
			t.Errorf("%s: %d violations, want %d: %v", name, got, x.broken, first)
		}
		if r := c.Ramp(); r.Sent != x.sent || (r.Worst > 1) != (x.broken > 0) {
			t.Errorf("%s: %+v, want %d sent", name, r, x.sent)
		}
	}
	c := New(Config{MaxAttempts: 2, SlowStart: start})
	for i := range mostCold + 1 {
		c.EndpointStarted(born, fmt.Sprint("p", i), 16)
	}
	if got, first := c.Violations(); got != 1 || !strings.Contains(first[0], "is not watched") {
		t.Errorf("%d violations %v: one cold pool more than can be watched is one", got, first)
	}
	c.EndpointStarted(born+10*second, "p", 16) // the others are warm
	if got, _ := c.Violations(); got != 1 || len(c.cold) != 1 {
		t.Errorf("%d violations, %d pools watched, want the new one alone", got, len(c.cold))
	}
}

func repeat(c *Checker, at int64, times int) {
	for range times {
		c.Repeated(at, "1", "p")
	}
}
