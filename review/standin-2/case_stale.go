package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// The rule on drains, on sockets: 7 s until news of the bulletin counts as told, 0.5 s to stop, 0.05 s more for sockets.
const drainLimit = 7*time.Second + 500*time.Millisecond + 50*time.Millisecond

// stale has the DNS server fall silent, and then the bulletin remove a pool that DNS had named too.
func stale(w *world) error {
	const service, target = "_sip._tcp.g0.pools.example.org", "a.pools.example.org"
	pools, err := w.pools(2, 20*time.Millisecond)
	if err != nil {
		return err
	}
	s := site{pools: pools, classes: tbilisiClasses()}
	c, err := w.controller(s)
	if err != nil {
		return err
	}
	address, err := net.ResolveTCPAddr("tcp", pools[0].addr)
	if err != nil {
		return err
	}
	server, err := startDNS(w.rec, service, target, address.IP, address.Port, 5)
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
	conn, err := connect(w.rec, "caller", c.listen, nil)
	if err != nil {
		return err
	}
	began := time.Now()
	var told time.Time
	for i := 0; time.Since(began) < 90*time.Second; i++ {
		switch {
		case i == 15: // 3 s
			if w.trouble {
				server.silence()
			}
		case i == 25: // 5 s
			c.bulletin.tell(s.target(0, "removed"))
			told = time.Now()
			if !w.trouble {
				server.withdraw()
			}
		}
		conn.setup("avail-read", 0, 5*time.Second)
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * 200 * time.Millisecond)))
	}
	late := 0
	pools[0].set(func(p *pool) {
		for _, one := range p.setups {
			if after := one.at.Sub(told); after > drainLimit {
				if late++; late <= 5 {
					w.rec.logf("BROKEN set-up %s at pool0 %d ms after the bulletin removed it", one.id, after.Milliseconds())
				}
			}
		}
	})
	w.rec.sayf("set-ups at a pool that was removed, later than %v after the bulletin's event: %d of %d calls",
		drainLimit, late, len(conn.all()))
	if late > 0 {
		return errBroken
	}
	return nil
}
