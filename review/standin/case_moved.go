package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

func init() { cases["moved"] = caseMoved }

// caseMoved: one of four sync pools that DNS lists is replaced by a new one under its name, at another address.
func caseMoved(e *env) int {
	const (
		count   = 4
		ttl     = 2
		hold    = 9 * time.Second
		bound   = 8*time.Second + 50*time.Millisecond
		srvName = "_sip._tcp.g0.pools.example.org"
	)
	pools, _, err := newPools(e, count, 100, "detroit")
	if err != nil {
		return e.fail("%v", err)
	}
	var targets []srvTarget
	for i, p := range pools {
		p.set(func() { p.hold = hold })
		_, port, _ := net.SplitHostPort(p.addr)
		number, _ := strconv.Atoi(port)
		targets = append(targets, srvTarget{fmt.Sprintf("p%d.pools.example.org", i+1), net.IPv4(127, 0, 0, 1), number})
	}
	replaced := pools[0]
	next, err := newPoolAt(e.rec, "the new pool1", 100, net.JoinHostPort("127.0.0.2", strconv.Itoa(targets[0].port)))
	if err != nil {
		return e.fail("%v", err)
	}
	next.set(func() { next.hold = hold })
	b, err := newBulletin(e.rec, []target{})
	if err != nil {
		return e.fail("%v", err)
	}
	names, err := newDNS(e.rec, srvName, ttl)
	if err != nil {
		return e.fail("%v", err)
	}
	names.set(targets...)
	c := newController(e, "n1", lakes(1), b)
	file := filepath.Join(c.dir, "discovery.toml")
	text := fmt.Sprintf("server = \"%s\"\nrefresh_floor = \"1s\"\nrefresh_ceiling = \"1m\"\nstale_for = \"30s\"\ndrain_for = \"30s\"\n\n[[name]]\nsrv = \"%s\"\ngroup = 0\n", names.addr, srvName)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return e.fail("%v", err)
	}
	c.args = "--discovery " + file
	if err := c.start(b); err != nil {
		return e.fail("%v", err)
	}
	if !c.ready(20 * time.Second) {
		return e.fail("not ready")
	}
	time.Sleep(time.Second)
	conn, err := dialCaller(e.rec, e.book, "caller", c.listen)
	if err != nil {
		return e.fail("%v", err)
	}
	setUps(conn, 1, 10, 3*time.Second, "lookup", 3*time.Second)
	time.Sleep(500 * time.Millisecond)
	if at := len(replaced.standing()); at < 3 {
		return e.fail("only %d calls stand at pool1", at)
	}
	if e.trouble {
		e.rec.logf("pool1 is replaced: it takes no new calls, and goes on until its calls have ended")
		targets[0].ip = net.IPv4(127, 0, 0, 2)
		names.set(targets...)
	}
	setUps(conn, 2, 5, 3*time.Second, "lookup", 3*time.Second)
	time.Sleep(hold + bound + time.Second)
	stood, missing, late := 0, 0, 0
	for _, p := range append(pools, next) {
		p.set(func() {
			for callID, end := range p.ended {
				one := e.book.get(callID)
				if len(one.finals) != 1 || one.finals[0] != "answer" {
					continue
				}
				stood++
				switch {
				case one.released.IsZero():
					missing++
					e.rec.logf("check: %s ended at %s, and its caller was not told within %.1f s", callID, p.name, time.Since(end).Seconds())
				case one.released.Sub(end) > bound:
					late++
					e.rec.logf("check: %s ended at %s, and its caller was told %.1f s later", callID, p.name, one.released.Sub(end).Seconds())
				}
			}
		})
	}
	c.appendLog(15)
	e.rec.say("%d calls stood and have ended; of %d of them the caller was not told, of %d later than after 8.05 s", stood, missing, late)
	if stood < 20 {
		return e.fail("too few calls")
	}
	if missing+late > 0 {
		return broken
	}
	return held
}
