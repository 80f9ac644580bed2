package main

import (
	"fmt"
	"time"
)

// hangUps has callers end the calls of before a planned restart, at the rate at which calls come and go, on a connection
// on which they also set up new calls.
func hangUps(w *world) error {
	pools, err := w.pools(5, 200*time.Millisecond)
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
	const standing, rate = 350, 50
	before, err := connect(w.rec, "before", c.listen, nil)
	if err != nil {
		return err
	}
	for i := range standing {
		before.setup("avail-read", i%len(pools), 5*time.Second)
		time.Sleep(time.Second / rate)
	}
	before.awaitFinals(5 * time.Second)
	var ids []string
	for _, set := range before.all() {
		if set.stands {
			ids = append(ids, set.id)
		}
	}
	if len(ids) < standing*3/4 {
		return fmt.Errorf("only %d of %d calls stand", len(ids), standing)
	}
	if w.trouble {
		if err := c.restart(); err != nil {
			return err
		}
	} else {
		before.close()
	}
	conn, err := connect(w.rec, "after", c.listen, before.calls)
	if err != nil {
		return err
	}
	conn.setup("avail-read", 0, 5*time.Second)
	conn.awaitFinals(5 * time.Second)
	w.rec.logf("the callers end the %d calls that stand", len(ids))
	released := map[string]bool{}
	for i, id := range ids {
		if conn.isClosed() {
			break
		}
		if conn.release(id) == nil {
			released[id] = true
		}
		conn.setup("avail-read", i%len(pools), 5*time.Second)
		time.Sleep(time.Second / rate)
	}
	conn.awaitFinals(6 * time.Second)
	time.Sleep(time.Second)
	left := 0
	for _, p := range pools {
		for _, id := range p.standingIDs() {
			if released[id] {
				w.rec.logf("LEFT STANDING at %s: %s, which its caller has ended", p.name, id)
				left++
			}
		}
	}
	n := lost(w.rec, conn)
	all := conn.all()
	w.rec.sayf("calls of before: %d, ended by their callers: %d, left standing at the pools all the same: %d; "+
		"new set-ups: %d, closed by the controller: %v, lost: %d", len(ids), len(released), left, len(all), conn.isClosed(), n)
	if n > 0 { // what is left standing is told and not judged
		return errBroken
	}
	return nil
}
