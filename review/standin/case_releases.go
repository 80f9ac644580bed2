package main

import (
	"time"
)

func init() { cases["releases"] = caseReleases }

// caseReleases: callers release the calls that stand, on a new connection, after the controller was killed and started.
func caseReleases(e *env) int {
	const (
		calls    = 100
		left     = 3 * time.Second
		crossing = 50 * time.Millisecond
	)
	pools, targets, err := newPools(e, 3, 100, "detroit")
	if err != nil {
		return e.fail("%v", err)
	}
	for _, p := range pools {
		p.set(func() { p.hold = 30 * time.Second })
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	c := newController(e, "n1", lakes(3), b)
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
	for n := range calls {
		first.setUp(id(1, n), "lookup", left, n%3)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var standing []string
	for _, one := range e.book.all() {
		if len(one.finals) == 1 && one.finals[0] == "answer" {
			standing = append(standing, one.id)
		}
	}
	e.rec.say("%d calls stand", len(standing))
	second := first
	if e.trouble {
		c.kill()
		if err := c.start(b); err != nil {
			return e.fail("%v", err)
		}
		if !c.ready(20 * time.Second) {
			return e.fail("not ready")
		}
		if second, err = dialCaller(e.rec, e.book, "caller B", c.listen); err != nil {
			return e.fail("%v", err)
		}
	}
	for _, p := range pools {
		p.set(func() { p.answerIn = 300 * time.Millisecond })
	}
	done := make(chan struct{})
	go func() {
		setUps(second, 2, 20, 3*time.Second, "lookup", left)
		close(done)
	}()
	time.Sleep(1500 * time.Millisecond)
	for _, callID := range standing {
		if !second.isOpen() || second.release(callID, 16) != nil {
			break
		}
	}
	<-done
	time.Sleep(left + time.Second)
	lost := e.lost(crossing)
	c.appendLog(20)
	passed := map[string]bool{}
	for _, p := range pools {
		p.set(func() {
			for _, callID := range standing {
				if _, ok := p.byes[callID]; ok {
					passed[callID] = true
				}
			}
		})
	}
	e.rec.say("%d set-ups were lost; the releases of %d of %d calls reached a pool", lost, len(passed), len(standing))
	if lost > 0 {
		return broken
	}
	return held
}
