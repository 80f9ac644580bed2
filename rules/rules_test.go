package rules

import (
	"strings"
	"testing"
)

// Each broken rule is found, named with its call, and nothing else is.
func TestEachRule(t *testing.T) {
	for want, play := range map[string]func(c *Checker){
		"": func(c *Checker) {
			c.Taken(0, "a", 1000)
			c.Sent(1, "a", "n0", "p")
			c.Ended(2, "a", true)
			c.Sent(302, "a", "n0", "p")
			c.Ended(303, "a", false)
			c.Final(1010, "a", "stands")
			c.Taken(0, "b", 1000)
			c.Left(5, "b")
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
		"drains or is gone":       func(c *Checker) { c.Told(1, "n0", "p", false); c.Sent(52, "a", "n0", "p") },
		"sent after its end":      func(c *Checker) { c.Taken(0, "a", 9); c.Final(1, "a", "x"); c.Sent(2, "a", "n0", "p") },
		"a second final answer":   func(c *Checker) { c.Taken(0, "a", 9); c.Final(1, "a", "x"); c.Final(2, "a", "y") },
		"after its caller left":   func(c *Checker) { c.Taken(0, "a", 9); c.Left(1, "a"); c.Final(2, "a", "y") },
		"late":                    func(c *Checker) { c.Taken(0, "a", 9); c.Final(100, "a", "y") },
		"never taken":             func(c *Checker) { c.Final(1, "a", "y") },
		"taken twice":             func(c *Checker) { c.Taken(0, "a", 9); c.Taken(0, "a", 9); c.Final(1, "a", "y") },
		"call a: no final answer": func(c *Checker) { c.Taken(0, "a", 9) },
	} {
		c := New(Config{Release: 300, Sends: 2, Grace: 50, Late: 20})
		play(c)
		c.Finish(2000)
		n, first := c.Broken()
		if want == "" && n > 0 || want != "" && (n != 1 || !strings.Contains(first[0], want)) {
			t.Errorf("%q: found %v", want, first)
		}
	}
	c := New(Config{Release: 300, Sends: 2, Grace: 50})
	c.Told(1, "n0", "p", false)
	c.Sent(40, "a", "n0", "p")  // within the grace
	c.Sent(900, "b", "n1", "p") // told to another controller
	c.Told(950, "n0", "p", true)
	c.Sent(1000, "c", "n0", "p")
	if n, first := c.Broken(); n > 0 {
		t.Errorf("found %v", first)
	}
}
