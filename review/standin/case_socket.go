package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["socket"] = caseSocket }

// caseSocket: a site releases its calls, one by one, on its socket after the controller was killed and started again.
func caseSocket(e *env) int {
	const (
		calls = 80
		left  = 3 * time.Second
		slack = 500 * time.Millisecond
	)
	pools, targets, err := newPools(e, 3, 100, "detroit")
	if err != nil {
		return e.fail("%v", err)
	}
	b, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	c := newController(e, "n1", lakes(3), b)
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
	socket, err := dialSite(e.rec, book, "socket 1", listen, "rates")
	if err != nil {
		return e.fail("%v", err)
	}
	for n := range calls {
		socket.setUp(fmt.Sprintf("c%d", n), "lookup", left)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var standing []string
	book.mu.Lock()
	for _, one := range book.order {
		if len(one.finals) == 1 && one.finals[0] == "answer" {
			standing = append(standing, one.id)
		}
	}
	book.mu.Unlock()
	e.rec.say("%d calls stand", len(standing))
	if len(standing) < 70 {
		return e.fail("too few calls stand")
	}
	if e.trouble {
		c.kill()
		if err := c.start(b); err != nil {
			return e.fail("%v", err)
		}
		if !c.ready(20 * time.Second) {
			return e.fail("not ready")
		}
		if socket, err = dialSite(e.rec, book, "socket 2", listen, "rates"); err != nil {
			return e.fail("%v", err)
		}
	}
	for _, p := range pools {
		p.set(func() { p.answerIn = 300 * time.Millisecond })
	}
	began := time.Now()
	for n := 0; time.Since(began) < 9*time.Second && socket.isOpen(); n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * 100 * time.Millisecond)))
		if n < len(standing) && !socket.release(standing[n]) {
			break
		}
		if !socket.setUp(fmt.Sprintf("d%d", n), "lookup", left) {
			break
		}
	}
	time.Sleep(left + slack + 500*time.Millisecond)
	lost, accepted := 0, 0
	book.mu.Lock()
	defer book.mu.Unlock()
	for _, one := range book.order {
		crossed := !one.socket.isOpen() && one.socket.closedAt.Sub(one.sentAt) <= 50*time.Millisecond
		if one.rejected != "" || crossed {
			continue
		}
		accepted++
		if len(one.finals) != 1 {
			lost++
			e.rec.logf("check: %s has %d final answers; its socket was closed %.3f s after it was sent", one.id, len(one.finals), one.socket.closedAt.Sub(one.sentAt).Seconds())
		}
	}
	c.appendLog(10)
	e.rec.say("%d set-ups were accepted, %d of them have not exactly one final answer; errors: %v", accepted, lost, book.errors)
	if lost > 0 {
		return broken
	}
	return held
}
