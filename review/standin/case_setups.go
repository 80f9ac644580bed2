package main

import (
	"fmt"
	"time"
)

func init() { cases["setups"] = caseSetups }

// caseSetups: a caller opens a new connection and sets calls up on it, 100 a second, while all processors are slow.
func caseSetups(e *env) int {
	const (
		calmWait = 20 * time.Millisecond
		slowWait = 2 * time.Second
		left     = 3 * time.Second
		slack    = 500 * time.Millisecond
		crossing = 50 * time.Millisecond
	)
	pools, targets, err := newPools(e, 2, 400, "detroit")
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
	setUps(first, 1, 20, 3*time.Second, "lookup", left)
	if e.trouble {
		e.rec.logf("all processors are slow from here on: a set-up waits for %v", slowWait)
		for _, p := range pools {
			p.set(func() { p.answerIn = slowWait })
		}
	}
	second, err := dialCaller(e.rec, e.book, "caller B", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	setUps(second, 2, 100, 5*time.Second, "lookup", left)
	if e.trouble {
		e.rec.logf("the processors are as before")
	}
	for _, p := range pools {
		p.set(func() { p.answerIn = calmWait })
	}
	time.Sleep(left + slack + time.Second)
	lost := e.lost(crossing)
	c.appendLog(10)
	e.rec.say("%d set-ups were sent, %d were lost: their connection was closed by the controller without an answer", len(e.book.all()), lost)
	if len(e.book.all()) < 100 {
		return e.fail("too few set-ups")
	}
	if lost > 0 {
		return broken
	}
	return held
}

// newPools starts pools, and gives the lines of the bulletin for them.
func newPools(e *env, count, agents int, zone string) ([]*pool, []target, error) {
	var pools []*pool
	var targets []target
	for i := range count {
		p, err := newPool(e.rec, fmt.Sprintf("pool%d", i+1), agents)
		if err != nil {
			return nil, nil, err
		}
		pools = append(pools, p)
		targets = append(targets, target{UID: fmt.Sprintf("s-%08x", i+1), Endpoint: p.addr, AZ: zone, Model: "std", Group: i, State: "up"})
	}
	return pools, targets, nil
}

// setUps sends so many set-ups a second on a connection, while it is open.
func setUps(conn *caller, group, rate int, length time.Duration, class string, left time.Duration) {
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		if !conn.isOpen() || !conn.setUp(id(group, n), class, left, n%2) {
			return
		}
	}
}

// lost counts the set-ups without an answer whose connection the controller has closed before their time was over.
// Those that crossed the close, and the first one on its connection, do not count; nor do second answers, which no case
// has seen.
func (e *env) lost(crossing time.Duration) int {
	lost := 0
	seen := map[*caller]bool{}
	for _, one := range e.book.all() {
		isFirst := !seen[one.conn]
		seen[one.conn] = true
		closedAt := one.conn.closedByController()
		switch {
		case one.gaveUp:
		case len(one.finals) > 1:
			lost++
			e.rec.logf("check: %s has %d final answers", one.id, len(one.finals))
		case len(one.finals) == 1 || closedAt.IsZero() || isFirst:
		case closedAt.Sub(one.sentAt) <= crossing || closedAt.After(one.sentAt.Add(one.left)):
		default:
			lost++
			e.rec.logf("check: %s was sent %.3f s before its connection was closed, and has no answer", one.id, closedAt.Sub(one.sentAt).Seconds())
		}
	}
	return lost
}
