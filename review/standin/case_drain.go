package main

import (
	"time"
)

func init() { cases["drain"] = caseDrain }

// caseDrain: a sync pool drains while the bulletin is slow.
func caseDrain(e *env) int {
	const (
		told  = 7 * time.Second
		grace = 500*time.Millisecond + 50*time.Millisecond
		slow  = 3 * time.Second
	)
	pools, targets, err := newPools(e, 5, 60, "tbilisi")
	if err != nil {
		return e.fail("%v", err)
	}
	for _, p := range pools {
		p.set(func() { p.hold = 9 * time.Second })
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	c := newController(e, "n1", tbilisi(5), b)
	if err := c.start(b); err != nil {
		return e.fail("%v", err)
	}
	if !c.ready(20 * time.Second) {
		return e.fail("not ready")
	}
	conn, err := dialCaller(e.rec, e.book, "caller", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	began := time.Now()
	var event time.Time
	for n := 0; time.Since(began) < 24*time.Second; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * 100 * time.Millisecond)))
		conn.setUp(id(1, n), "avail-read", 5*time.Second, n%5)
		switch n {
		case 20:
			if e.trouble {
				e.rec.logf("bulletin: slow from here on: each request waits %v in its line", slow)
				b.mu.Lock()
				b.slow = slow
				b.mu.Unlock()
			}
		case 60:
			draining := targets[0]
			draining.State = "draining"
			event = b.add(draining)
		}
	}
	late, before := 0, 0
	pools[0].set(func() {
		for _, i := range pools[0].invites {
			if i.at.Before(event) {
				before++
			}
			if after := i.at.Sub(event); after > told+grace {
				late++
				e.rec.logf("check: set-up %s came to the draining pool %.3f s after the event", i.id, after.Seconds())
			}
		}
	})
	c.appendLog(10)
	e.rec.say("%d set-ups came to pool1 before its drain, and %d later than 7.55 s after the bulletin held its drain", before, late)
	if before == 0 {
		return e.fail("pool1 was not used")
	}
	if late > 0 {
		return broken
	}
	return held
}
