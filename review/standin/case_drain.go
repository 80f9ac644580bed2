package main

import (
	"fmt"
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
	p1, err1 := newPool(e.rec, "pool1", 100)
	p2, err2 := newPool(e.rec, "pool2", 100)
	if err1 != nil || err2 != nil {
		return e.fail("%v %v", err1, err2)
	}
	var targets []target
	for i, p := range []*pool{p1, p2} {
		p.hold = 3 * time.Second
		targets = append(targets, target{UID: fmt.Sprintf("s-%08x", i+1), Endpoint: p.addr, AZ: "tbilisi", Model: "std", Group: i, State: "up"})
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	s := tbilisi(2)
	c := newController(e, "n1", s, b)
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
	for n := 0; time.Since(began) < 16*time.Second; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * 100 * time.Millisecond)))
		conn.setUp(id(1, n), "avail-read", 5*time.Second, n%2)
		if e.trouble && n == 10 {
			e.rec.logf("bulletin: slow from here on: each request waits %v in its line", slow)
			b.mu.Lock()
			b.slow = slow
			b.mu.Unlock()
		}
		if n == 40 {
			draining := targets[0]
			draining.State = "draining"
			event = b.add(draining)
		}
	}
	late := 0
	p1.set(func() {
		for _, i := range p1.invites {
			if after := i.at.Sub(event); after > told+grace {
				late++
				e.rec.logf("check: set-up %s came to the draining pool %.3f s after the event", i.id, after.Seconds())
			}
		}
	})
	c.appendLog(10)
	e.rec.say("%d set-ups came to the draining pool later than 7.55 s after its drain was in the bulletin", late)
	if late > 0 {
		return broken
	}
	return held
}
