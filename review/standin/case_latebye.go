package main

import (
	"time"
)

func init() { cases["latebye"] = caseLateBye }

// caseLateBye: the open connection to a sync pool falls quiet for 2 s, and goes on then.
func caseLateBye(e *env) int {
	const (
		quiet = 2 * time.Second
		hold  = 9 * time.Second
		bound = 8*time.Second + 50*time.Millisecond
		left  = 5 * time.Second
	)
	pools, targets, err := newPools(e, 2, 60, "tbilisi")
	if err != nil {
		return e.fail("%v", err)
	}
	for _, p := range pools {
		p.set(func() { p.hold = hold })
	}
	way, err := newProxy(e.rec, "the way to pool1", pools[0].addr)
	if err != nil {
		return e.fail("%v", err)
	}
	targets[0].Endpoint = way.addr
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	s := tbilisi(2)
	s.allowed = [][]int{{0}, {1}, {1}}
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
	setUps(conn, 1, 5, 3*time.Second, "avail-read", left)
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		way.hold(quiet)
	}
	setUps(conn, 2, 5, 5*time.Second, "avail-read", left)
	time.Sleep(hold + bound + time.Second)
	stood, cut, missing := 0, 0, 0
	for _, p := range pools {
		p.set(func() {
			over := map[string]time.Time{}
			for callID, at := range p.ended {
				over[callID] = at
			}
			for callID, at := range p.cut {
				over[callID] = at
			}
			for callID, at := range over {
				one := e.book.get(callID)
				if len(one.finals) != 1 || one.finals[0] != "answer" {
					continue
				}
				stood++
				if !p.cut[callID].IsZero() {
					cut++
					e.rec.logf("check: %s was cut at %s by a release from the session controller; its caller has released nothing", callID, p.name)
				}
				if one.released.IsZero() || one.released.Sub(at) > bound {
					missing++
					e.rec.logf("check: %s is over at %s since %.1f s, and its caller was not told in time", callID, p.name, time.Since(at).Seconds())
				}
			}
		})
	}
	c.appendLog(15)
	e.rec.say("%d calls stood and are over; %d of them were cut by a release that no caller sent; of %d the caller was not told", stood, cut, missing)
	if stood < 20 {
		return e.fail("too few calls")
	}
	if missing > 0 {
		return broken
	}
	return held
}
