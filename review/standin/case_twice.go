package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["twice"] = caseTwice }

// caseTwice: answers to set-ups that must not be repeated never arrive; their sites go by what they are told.
func caseTwice(e *env) int {
	const left = 2100 * time.Millisecond
	pools, targets, err := newPools(e, 5, 60, "tbilisi")
	if err != nil {
		return e.fail("%v", err)
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	s := tbilisi(5)
	s.unsafe = "stop-sell"
	c := newController(e, "n1", s, b)
	listen := freePort()
	file := filepath.Join(c.dir, "callcontrol.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("listen = \"%s\"\npath = \"/call-control\"\nmax_connections = 64\n", listen)), 0o600); err != nil {
		return e.fail("%v", err)
	}
	c.args = "-callcontrol " + file
	if err := c.start(b); err != nil {
		return e.fail("%v", err)
	}
	if !c.ready(20 * time.Second) {
		return e.fail("not ready")
	}
	book := newSiteBook()
	socket, err := dialSite(e.rec, book, "socket", listen, "rates")
	if err != nil {
		return e.fail("%v", err)
	}
	conn, err := dialCaller(e.rec, e.book, "caller", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	for n := range 10 {
		socket.setUp(fmt.Sprintf("a%d", n), "stop-sell", left)
		conn.setUp(id(1, n), "stop-sell", left, n%5)
		time.Sleep(100 * time.Millisecond)
	}
	lose := func(on bool) {
		for _, p := range pools {
			p.set(func() { p.lose = on })
		}
	}
	// Three calls at each front, of which the answers are lost.
	for n := range 3 {
		lose(e.trouble)
		socket.setUp(fmt.Sprintf("b%d", n), "stop-sell", left)
		conn.setUp(id(2, n), "stop-sell", left, n)
		time.Sleep(200 * time.Millisecond)
		lose(false)
		time.Sleep(left)
	}
	time.Sleep(time.Second)
	// Each front's callers send again what they were told may be sent again.
	ran := func() int {
		total := 0
		for _, p := range pools {
			p.set(func() { total += p.ran })
		}
		return total
	}
	before, invited, invitedLines, failed := ran(), 0, 0, 0
	book.mu.Lock()
	var again []string
	for _, one := range book.order[10:] {
		if len(one.finals) == 1 && one.finals[0] != "answer" {
			e.rec.logf("check: %s has run at a pool; its final answer: %s, cause %d, retry after %v", one.id, one.finals[0], one.cause, one.retryAfter)
			if one.cause == 34 || one.cause == 42 || one.cause == 102 {
				invited++
				again = append(again, one.id+"-again")
			}
		}
	}
	book.mu.Unlock()
	for n := range 3 {
		one := e.book.get(id(2, n))
		if len(one.finals) != 1 || one.finals[0] == "answer" {
			continue
		}
		switch one.finals[0] {
		case "release 34", "release 42", "release 102":
			invitedLines++
		default:
			failed++
		}
		e.rec.logf("check: %s has run at a pool; its final answer over JSON lines: %s", one.id, one.finals[0])
	}
	for _, name := range again {
		socket.setUp(name, "stop-sell", left)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(left)
	twice := ran() - before
	c.appendLog(20)
	e.rec.say("set-ups that had run and whose callers were told that a retry is harmless: %d over WebSocket, %d over JSON lines (%d failed there); sent again, %d of them ran a second time", invited, invitedLines, failed, twice)
	if invited+invitedLines > 0 {
		return broken
	}
	return held
}
