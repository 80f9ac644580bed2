// Package rules checks a trace of calls against the rules that hold on the wire: one final answer for each call
// taken, in time and never after its caller left; never two attempts out; so many sends at most; the release
// awaited; nothing new to a pool that drains or is gone. The simulator, the tests' stand-ins and the lab use it.
//
// It reads no clock: times are µs of one clock, handed in. It is safe for concurrent use.
package rules

import (
	"fmt"
	"sort"
	"sync"
)

// Config is what the rules are held to. Times are in µs.
type Config struct {
	Release int64 // after a time-out, reset or cancel a call is not sent again for this long
	Sends   int   // a call may have
	Grace   int64 // after it was told that a pool drains or is gone, a controller may still send there
	Late    int64 // after the caller's patience an answer may still come, for the way
}

// mostKept bounds the violations that are kept; all are counted.
const mostKept = 100

// Checker holds what has happened. The zero value is not ready: New makes one.
type Checker struct {
	cfg    Config
	mu     sync.Mutex
	calls  map[string]*call
	gone   map[string]int64 // by controller and pool: since when it was told not to send there
	broken []string
	count  int
	seen   int
}

type call struct {
	until   int64
	out     bool
	sends   int
	freeAt  int64 // not sent again before
	finals  int
	left    bool
	expects bool // it was taken
}

// New returns a checker.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, calls: map[string]*call{}, gone: map[string]int64{}}
}

func (c *Checker) fail(now int64, id, format string, args ...any) {
	if c.count++; len(c.broken) < mostKept {
		c.broken = append(c.broken, fmt.Sprintf("%.3f s: call %s: %s", float64(now)/1e6, id, fmt.Sprintf(format, args...)))
	}
}

func (c *Checker) get(id string) *call {
	k := c.calls[id]
	if k == nil {
		k = &call{}
		c.calls[id] = k
	}
	return k
}

// Taken notes a call that a controller took: its caller waits until then.
func (c *Checker) Taken(now int64, id string, until int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	if k.expects {
		c.fail(now, id, "taken twice")
	}
	k.until, k.expects = until, true
	c.seen++
}

// Told notes that a controller was told of a pool's state: open, or that it drains or is gone.
func (c *Checker) Told(now int64, controller, pool string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := controller + "\x00" + pool
	if open {
		delete(c.gone, at)
	} else if _, was := c.gone[at]; !was {
		c.gone[at] = now
	}
}

// Sent notes an attempt that leaves.
func (c *Checker) Sent(now int64, id, controller, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	switch since, is := c.gone[controller+"\x00"+pool]; {
	case k.out:
		c.fail(now, id, "a second attempt is out, at %s", pool)
	case k.sends >= c.cfg.Sends:
		c.fail(now, id, "sent for the %d. time", k.sends+1)
	case now < k.freeAt:
		c.fail(now, id, "sent again %d ms before its release", (k.freeAt-now+999)/1000)
	case is && now > since+c.cfg.Grace:
		c.fail(now, id, "sent to %s, which drains or is gone since %.3f s", pool, float64(since)/1e6)
	case k.finals > 0 || k.left:
		c.fail(now, id, "sent after its end")
	}
	k.out = true
	k.sends++
}

// Ended notes the end of an attempt; release tells that it was a time-out, a reset or a cancel.
func (c *Checker) Ended(now int64, id string, release bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	k.out = false
	if release {
		k.freeAt = now + c.cfg.Release
	}
}

// Final notes a final answer.
func (c *Checker) Final(now int64, id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	switch k.finals++; {
	case !k.expects:
		c.fail(now, id, "answered (%s), and was never taken", answer)
	case k.finals > 1:
		c.fail(now, id, "a second final answer (%s)", answer)
	case k.left:
		c.fail(now, id, "answered (%s) after its caller left", answer)
	case now > k.until+c.cfg.Late:
		c.fail(now, id, "answered (%s) %d ms late", answer, (now-k.until)/1000)
	}
}

// Left notes that the caller gave its call up: no answer is owed any more.
func (c *Checker) Left(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(id).left = true
}

// Finish notes the end of the trace: every call must have its answer.
func (c *Checker) Finish(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var without []string
	for id, k := range c.calls {
		if k.expects && k.finals == 0 && !k.left {
			without = append(without, id)
		}
	}
	sort.Strings(without)
	for _, id := range without {
		c.fail(now, id, "no final answer")
	}
}

// Broken is how often a rule was broken, and the first of the violations.
func (c *Checker) Broken() (count int, first []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, append([]string(nil), c.broken...)
}

// Seen is how many calls were taken.
func (c *Checker) Seen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}
