package main

import (
	"fmt"
	"time"
)

// ends has a controller be killed and come back some seconds later. Calls come to their end at the pools meanwhile; the
// pools release them on the connections that it opens.
func ends(w *world) error {
	const (
		rate  = 50
		hold  = 9500 * time.Millisecond
		away  = 8 * time.Second
		left  = 5 * time.Second
		after = 15 * time.Second
	)
	pools, err := w.pools(5, 300*time.Millisecond)
	if err != nil {
		return err
	}
	for _, p := range pools {
		p.set(func(p *pool) { p.hold = hold })
	}
	c, err := w.controller(site{pools: pools, classes: tbilisiClasses()})
	if err != nil {
		return err
	}
	if err := c.start(); err != nil {
		return err
	}
	before, err := connect(w.rec, "before", c.listen, nil)
	if err != nil {
		return err
	}
	began := time.Now()
	pace := func(i int) { time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate))) }
	for i := range rate * 10 {
		before.setup("avail-read", i%len(pools), left)
		pace(i + 1)
	}
	conn := before
	if w.trouble {
		c.kill()
		w.rec.logf("the controller is away for %v", away)
		time.Sleep(away)
		if err := c.start(); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
	}
	returned := time.Now()
	began = returned
	var conns []*caller
	var crossed []call
	n := 0
	for i := 0; time.Since(began) < after; i++ {
		if conn.isClosed() {
			if conn != before {
				lost, again := unanswered(w.rec, conn, pools)
				n, crossed = n+lost, append(crossed, again...)
			}
			if conn, err = connect(w.rec, fmt.Sprintf("after%d", len(conns)), c.listen, before.calls); err != nil {
				return err
			}
			conns = append(conns, conn)
		}
		if len(crossed) > 0 { // what has crossed a close comes again, beside the calls that are new
			conn.again(crossed[0])
			crossed = crossed[1:]
		}
		conn.setup("avail-read", i%len(pools), left)
		pace(i + 1)
	}
	conn.awaitFinals(6 * time.Second)
	if conn != before {
		lost, _ := unanswered(w.rec, conn, pools)
		n += lost
	}
	sent, answered := 0, 0
	for _, one := range append(conns, before) {
		for _, set := range one.all() {
			if set.sentAt.After(returned) {
				sent++
				answered += min(1, len(set.answers))
			}
		}
	}
	still := map[string]bool{}
	for _, p := range pools {
		for _, id := range p.standingIDs() {
			still[id] = true
		}
	}
	// Ends of calls of before that their callers have not been told: all have been over for longer than 8 s by now.
	missing := count(before.all(), func(c call) bool {
		return c.stands && !still[c.id] && time.Since(c.finalAt) > hold+8050*time.Millisecond
	})
	w.rec.sayf("set-ups in the %v after the return: %d on %d new connections, with a final answer: %d, lost: %d; "+
		"calls of before that are over for 8 s and stand at their callers: %d", after, sent, len(conns), answered, n, missing)
	if n > 0 || missing > 0 {
		return errBroken
	}
	return nil
}

// unanswered are the set-ups of a connection that the controller has ended without answering them: those that are lost by
// the pages, and those that crossed the close and are sent again, once. The first request on a connection is excused
// unless it was sent on to a pool.
func unanswered(rec *record, conn *caller, pools []*pool) (lost int, crossed []call) {
	if !conn.isClosed() {
		return 0, nil
	}
	reached := map[string]bool{}
	for _, p := range pools {
		p.set(func(p *pool) {
			for _, one := range p.setups {
				reached[one.id] = true
			}
		})
	}
	for _, set := range conn.all() {
		open := conn.closedAt.Sub(set.sentAt)
		switch {
		case len(set.answers) > 0, open >= set.left:
		case open <= crossing && !set.resent:
			crossed = append(crossed, set)
		case set.first && !set.resent && !reached[set.id]:
		default:
			lost++
			rec.logf("LOST %s: the controller ended the connection %d ms after it and gave no answer, sent again before: %v",
				set.id, open.Milliseconds(), set.resent)
		}
	}
	return lost, crossed
}
