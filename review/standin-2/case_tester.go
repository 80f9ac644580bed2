package main

import (
	"fmt"
	"time"
)

// tester has a call end while its controller restarts: the front's test is connected again before the callers are.
func tester(w *world) error {
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	c, err := w.controller(site{pools: pools, classes: tbilisiClasses()})
	if err != nil {
		return err
	}
	if err := c.start(); err != nil {
		return err
	}
	conn, err := connect(w.rec, "caller", c.listen, nil)
	if err != nil {
		return err
	}
	const calls = 10
	for i := range calls {
		conn.setup("avail-read", i%len(pools), 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	conn.awaitFinals(5 * time.Second)
	if stand := count(conn.all(), func(c call) bool { return c.stands }); stand != calls {
		return fmt.Errorf("only %d calls stand", stand)
	}
	if w.trouble {
		if err := c.restart(); err != nil {
			return err
		}
	}
	began := time.Now()
	// The front's test: a ping each 0.1 s, on one connection. It takes the controller in once one has passed.
	front, err := connect(w.rec, "front's test", c.listen, nil)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			_ = front.ping(newID())
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	for _, p := range pools { // the calls come to their end
		for _, id := range p.standingIDs() {
			p.release(id, 16)
		}
	}
	ended := time.Now()
	time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
	// The callers come 1.5 s after the start, with a call of theirs.
	after, err := connect(w.rec, "caller again", c.listen, conn.calls)
	if err != nil {
		return err
	}
	for time.Since(ended) < 9*time.Second {
		after.setup("avail-read", 0, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	missing := count(conn.all(), func(c call) bool { return c.stands })
	w.rec.sayf("calls that ended: %d, left standing at their callers after 9 s: %d, released on the test's connection: %d",
		calls, missing, len(front.foreign))
	if missing > 0 {
		return errBroken
	}
	return nil
}
