// Package rules checks a trace of calls against the rules that hold on the wire: one final answer for each call
// taken, in time and never after its caller left; never two attempts out; so many sends at most; the release
// awaited; nothing new to a pool that drains or is gone, nor for a caller that has left; a cold pool not sent more than
// it bears, by all controllers together. The simulator, the tests' stand-ins and the lab use it.
//
// It reads no clock: times are µs of one clock, handed in. It is safe for concurrent use.
package invariant

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"eidertrail/internal/slowstart"
)

// Config is what the rules are held to. Times are in µs.
type Config struct {
	ReleaseWait int64 // after a time-out, reset or cancel a call is not sent again for this long
	MaxAttempts int   // a call may have
	Grace       int64 // after it was told that a pool drains or is gone, a controller may still send there
	Late        int64 // after the caller's patience an answer may still come, for the way
	// LeftGrace is how long after its caller left, by closing its connection or by cancelling, an attempt of a call,
	// first or further, may still begin.
	LeftGrace int64
	// SlowStart is how pools' processes start, and what they bear while cold; with After 0 none is held to it.
	SlowStart slowstart.Profile
}

const (
	// mostKept bounds the violations that are kept; all are counted.
	mostKept = 100
	// mostCold bounds the cold pools that are watched at a time; one more is a violation.
	mostCold = 1024
	// sentOnAfter is how long after its caller left a waiting call that is sent on all the same counts as such, µs.
	sentOnAfter = 300_000
	// chance square roots of what a cold pool is allowed, and as many set-ups, are put down to chance.
	chance = 2
)

// Checker holds what has happened. The zero value is not ready: New makes one.
type Checker struct {
	cfg    Config
	mu     sync.Mutex
	calls  map[string]*call
	gone   map[string]int64 // by controller and pool: since when it was told not to send there
	cold   map[string]*coldPool
	broken []string
	count  int
	seen   int
	left   AbandonedRequests
	ramp   Ramp
}

// AbandonedRequests counts callers that left, and what was sent for them.
type AbandonedRequests struct {
	Waiting int // left while their call was taken and had neither an attempt out nor its answer
	SentOn  int // of those calls, sent on 0.3 s or more after
	Within  int // attempts begun within LeftGrace
}

// Ramp is what was sent to pools while they were cold, repeats included.
type Ramp struct {
	Starts  int     // cold starts that were told
	Sent    int     // set-ups
	Worst   float64 // the most within Start.After, as a part of what was allowed and chance on top: over 1 is a violation
	WorstAt string  // the pool
}

// coldPool is a pool whose process has started and is not warm yet.
type coldPool struct {
	born int64
	rate float64 // set-ups of mean work that it can do a second once warm
	load slowstart.Arrivals
}

type call struct {
	until   int64
	out     bool
	sends   int
	freeAt  int64 // not sent again before
	finals  int
	left    bool
	leftAt  int64
	waited  bool // when its caller left
	sentOn  bool // and counted so
	expects bool // it was taken
}

// New returns a checker.
func New(cfg Config) *Checker {
	return &Checker{cfg: cfg, calls: map[string]*call{}, gone: map[string]int64{}, cold: map[string]*coldPool{}}
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

// CallAccepted notes a call that a controller took: its caller waits until then.
func (c *Checker) CallAccepted(now int64, id string, until int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	if k.expects {
		c.fail(now, id, "taken twice")
	}
	k.until, k.expects = until, true
	c.seen++
}

// EndpointNotified notes that a controller was told of a pool's state: open, or that it drains or is gone.
func (c *Checker) EndpointNotified(now int64, controller, pool string, open bool) {
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
	case k.sends >= c.cfg.MaxAttempts:
		c.fail(now, id, "sent for the %d. time", k.sends+1)
	case now < k.freeAt:
		c.fail(now, id, "sent again %d ms before its release", (k.freeAt-now+999)/1000)
	case is && now > since+c.cfg.Grace:
		c.fail(now, id, "sent to %s, which drains or is gone since %.3f s", pool, float64(since)/1e6)
	case k.finals > 0:
		c.fail(now, id, "sent after its end")
	case k.left && now > k.leftAt+c.cfg.LeftGrace:
		c.fail(now, id, "sent to %s %d ms after its caller left", pool, (now-k.leftAt)/1000)
	case k.left:
		c.left.Within++
	}
	if k.waited && !k.sentOn && now >= k.leftAt+sentOnAfter {
		k.sentOn = true
		c.left.SentOn++
	}
	k.out = true
	k.sends++
	c.work(now, id, pool)
}

// Repeated notes that a set-up that is out was sent again by the sender's stack: work at its pool, and no attempt.
func (c *Checker) Repeated(now int64, id, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work(now, id, pool)
}

// EndpointStarted notes that a pool's process started at born, cold, and can do so many set-ups of mean work a second once
// it is warm. It counts for all that is sent there from then on, whoever was told of the start.
func (c *Checker) EndpointStarted(born int64, pool string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp.Starts++
	for uid, p := range c.cold {
		if born-p.born >= c.cfg.SlowStart.Window {
			delete(c.cold, uid)
		}
	}
	if c.cold[pool] == nil && len(c.cold) >= mostCold {
		c.fail(born, "-", "cold pool %s is not watched: %d others are", pool, mostCold)
		return
	}
	c.cold[pool] = &coldPool{born: born, rate: rate}
}

// work holds what reaches a pool to what it bears while it is cold. A time before its start belongs to the process
// before. The caller holds mu.
func (c *Checker) work(now int64, id, pool string) {
	p := c.cold[pool]
	if p == nil || now < p.born {
		return
	}
	part, cold := c.cfg.SlowStart.CapacityAt(now - p.born)
	if !cold {
		delete(c.cold, pool)
		return
	}
	c.ramp.Sent++
	rate := p.rate * part
	n := c.cfg.SlowStart.MaxArrivals(rate)
	most := n + chance*math.Sqrt(n) + chance
	got := float64(p.load.Add(now, c.cfg.SlowStart, rate))
	if got/most > c.ramp.Worst {
		c.ramp.Worst, c.ramp.WorstAt = got/most, pool
	}
	if got > most {
		c.fail(now, id, "cold pool %s, %.3f s old, got %.0f set-ups within %.3f s: it bears %.1f, by chance %.1f", pool,
			float64(now-p.born)/1e6, got, float64(c.cfg.SlowStart.OverloadWindow)/1e6, n, most)
	}
}

// Ended notes the end of an attempt; release tells that it was a time-out, a reset or a cancel.
func (c *Checker) Ended(now int64, id string, release bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	k.out = false
	if release {
		k.freeAt = now + c.cfg.ReleaseWait
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

// CallerGone notes that the caller closed its connection or cancelled: no answer is owed any more, and soon nothing is to be
// sent. now is when the caller did so, not when a controller learned of it.
func (c *Checker) CallerGone(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.get(id)
	if k.left {
		return
	}
	k.left, k.leftAt = true, now
	if k.waited = k.expects && !k.out && k.finals == 0; k.waited {
		c.left.Waiting++
	}
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

// Violations is how often a rule was broken, and the first of the violations.
func (c *Checker) Violations() (count int, first []string) {
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

// Abandoned is what came of the callers that left.
func (c *Checker) Abandoned() AbandonedRequests {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// Ramp is what was sent to cold pools.
func (c *Checker) Ramp() Ramp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ramp
}
