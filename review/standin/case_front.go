package main

import (
	"time"
)

func init() { cases["front"] = caseFront }

// caseFront: calls end while the controller is down; after its start the front tests it on a connection of its own.
func caseFront(e *env) int {
	const (
		left  = 3 * time.Second
		bound = 8*time.Second + 50*time.Millisecond
	)
	pools, targets, err := newPools(e, 2, 100, "detroit")
	if err != nil {
		return e.fail("%v", err)
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	c := newController(e, "n1", lakes(2), b)
	if err := c.start(b); err != nil {
		return e.fail("%v", err)
	}
	if !c.ready(20 * time.Second) {
		return e.fail("not ready")
	}
	first, err := dialCaller(e.rec, e.book, "caller A", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	setUps(first, 1, 5, 2*time.Second, "lookup", left)
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		c.kill()
	}
	ends := map[string]time.Time{}
	for _, p := range pools {
		for _, callID := range p.standing() {
			p.endCall(callID)
			ends[callID] = time.Now()
		}
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		if err := c.start(b); err != nil {
			return e.fail("%v", err)
		}
	}
	var front *caller
	wait(5*time.Second, func() bool {
		var err error
		front, err = dialCaller(e.rec, newBook(), "front", c.listen)
		return err == nil
	})
	began := time.Now()
	for time.Since(began) < 1500*time.Millisecond {
		front.ping()
		time.Sleep(100 * time.Millisecond)
	}
	second, err := dialCaller(e.rec, e.book, "caller B", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	setUps(second, 2, 5, 3*time.Second, "lookup", left)
	time.Sleep(bound)
	missing := 0
	for callID := range ends {
		one := e.book.get(callID)
		if one.released.IsZero() {
			missing++
		}
	}
	c.appendLog(20)
	e.rec.say("%d calls ended while the controller was away or idle; of %d of them no caller was told", len(ends), missing)
	if missing > 0 {
		return broken
	}
	return held
}
