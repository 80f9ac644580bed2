package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// moved has a sync pool be found by DNS SRV, and its target's address become that of another machine. The pool that had
// the address before goes on until its calls have come to their end.
func moved(w *world) error {
	const calls = 20
	old, next, port, err := w.twoHosts()
	if err != nil {
		return err
	}
	c, err := w.controller(site{classes: tbilisiClasses(), groups: 1})
	if err != nil {
		return err
	}
	const service, target = "_sip._tcp.g0.pools.example.org", "a.pools.example.org"
	server, err := startDNS(w.rec, service, target, net.IPv4(127, 0, 0, 1), port, 2)
	if err != nil {
		return err
	}
	file := filepath.Join(c.folder, "discovery.toml")
	text := fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\ngroup = 0\n", server.addr, service)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	c.args = " --discovery " + file
	if err := c.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	conn, err := connect(w.rec, "caller", c.listen, nil)
	if err != nil {
		return err
	}
	for range calls {
		conn.setup("avail-read", 0, 5*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	conn.awaitFinals(5 * time.Second)
	if stand := count(conn.all(), func(c call) bool { return c.stands }); stand != calls {
		return fmt.Errorf("only %d calls stand", stand)
	}
	if w.trouble {
		server.move(net.IPv4(127, 0, 0, 2))
	}
	time.Sleep(5 * time.Second)
	for _, id := range old.standingIDs() {
		old.release(id, 16)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(9 * time.Second)
	missing := count(conn.all(), func(c call) bool { return c.stands })
	w.rec.sayf("calls that ended: %d, left standing at their callers 9 s later: %d, calls at the other machine: %d",
		calls, missing, len(next.setups))
	if missing > 0 {
		return errBroken
	}
	return nil
}

// twoHosts starts a pool on each of two loopback addresses, on one port.
func (w *world) twoHosts() (one, two *pool, port int, err error) {
	for range 20 {
		if one, err = startPoolAt("old", "127.0.0.1:0", 20*time.Millisecond, w.rec); err != nil {
			return nil, nil, 0, err
		}
		address, err := net.ResolveTCPAddr("tcp", one.addr)
		if err != nil {
			return nil, nil, 0, err
		}
		other := fmt.Sprintf("127.0.0.2:%d", address.Port)
		if two, err = startPoolAt("new", other, 20*time.Millisecond, w.rec); err == nil {
			return one, two, address.Port, nil
		}
	}
	return nil, nil, 0, fmt.Errorf("no port is free on both addresses: %w", err)
}
