package main

import (
	"fmt"
	"time"
)

// newConnection has callers open a new connection, and send on it as many calls as one controller gets, while the pools'
// processors have as long a wait as they may have.
func newConnection(w *world) error {
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
	// A connection with ordinary calls first: the controller knows the pools.
	before, err := connect(w.rec, "before", c.listen, nil)
	if err != nil {
		return err
	}
	for i := range 40 {
		before.setup("avail-read", i%len(pools), 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	before.awaitFinals(5 * time.Second)
	if answered := count(before.all(), func(c call) bool { return c.stands }); answered < 30 {
		return fmt.Errorf("only %d of the calls before stand", answered)
	}
	if w.trouble {
		w.rec.logf("from now on a set-up waits 2500 ms at the pools' processors")
		for _, p := range pools {
			p.set(func(p *pool) { p.wait = 2500 * time.Millisecond })
		}
	}
	conn, err := connect(w.rec, "new", c.listen, nil)
	if err != nil {
		return err
	}
	for i := 0; i < 150 && !conn.isClosed(); i++ { // 50 a second for 3 s
		conn.setup("avail-read", i%len(pools), 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	conn.awaitFinals(6 * time.Second)
	all := conn.all()
	answered := count(all, func(c call) bool { return len(c.answers) > 0 && c.answers[0].Type == "answer" })
	refused := count(all, func(c call) bool { return len(c.answers) > 0 && c.answers[0].Type == "release" })
	n := lost(w.rec, before, conn)
	w.rec.sayf("set-ups on the new connection: %d sent, %d answered, %d refused or failed, closed by the controller: %v, lost: %d",
		len(all), answered, refused, conn.isClosed(), n)
	if n > 0 {
		return errBroken
	}
	return nil
}
