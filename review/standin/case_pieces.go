package main

import (
	"time"
)

func init() { cases["pieces"] = casePieces }

// casePieces: a caller's connection falls quiet for 3 s in the middle of a message, while other set-ups are open on it.
func casePieces(e *env) int {
	const (
		waitAtPool = 2500 * time.Millisecond
		quiet      = 3 * time.Second
		left       = 5 * time.Second
		slack      = 500 * time.Millisecond
		crossing   = 50 * time.Millisecond
	)
	pools, targets, err := newPools(e, 5, 60, "tbilisi")
	if err != nil {
		return e.fail("%v", err)
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
	way, err := newProxy(e.rec, "the way from the caller", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	conn, err := dialCaller(e.rec, e.book, "caller", way.addr)
	if err != nil {
		return e.fail("%v", err)
	}
	for _, p := range pools {
		p.set(func() { p.answerIn = 300 * time.Millisecond })
	}
	setUps(conn, 1, 5, 3*time.Second, "avail-read", left)
	time.Sleep(time.Second)
	for _, p := range pools {
		p.set(func() { p.answerIn = waitAtPool })
	}
	// What the caller sends up to the cut has passed whole; what it sends afterwards waits behind the cut message.
	const whole = 7
	for n := range whole + 1 {
		if n == whole && e.trouble {
			way.cut(60, quiet)
		}
		conn.setUp(id(2, n), "avail-read", left, n%5)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(left + slack + time.Second)
	lost, open := 0, 0
	closedAt := conn.closedByController()
	for n := range whole {
		one := e.book.get(id(2, n))
		if len(one.finals) == 1 {
			continue
		}
		open++
		if !closedAt.IsZero() && closedAt.Sub(one.sentAt) > crossing && closedAt.Before(one.sentAt.Add(left)) {
			lost++
			e.rec.logf("check: %s was sent %.3f s before its connection was closed, and has no answer", one.id, closedAt.Sub(one.sentAt).Seconds())
		}
	}
	c.appendLog(20)
	e.rec.say("%d set-ups were sent whole before the cut; %d have no answer, %d of them as the controller closed their connection", whole, open, lost)
	if lost > 0 {
		return broken
	}
	return held
}
