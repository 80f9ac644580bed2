package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// slowLine has one set-up's line arrive in two parts, while another set-up is open on the same connection.
func slowLine(w *world) error {
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	c, err := w.controller(site{pools: pools, classes: tbilisiClasses()})
	if err != nil {
		return err
	}
	if err := c.start(); err != nil {
		return err
	}
	conn, err := connect(w.rec, "caller", c.listen, nil)
	if err != nil {
		return err
	}
	conn.setup("avail-read", 0, 5*time.Second)
	conn.awaitFinals(5 * time.Second)
	if !conn.all()[0].stands {
		return fmt.Errorf("the first call does not stand")
	}
	for _, p := range pools {
		p.set(func(p *pool) { p.wait = 3 * time.Second })
	}
	for range 5 {
		conn.setup("avail-read", 0, 5*time.Second)
	}
	text, _ := json.Marshal(setupLine(newID(), "avail-read", "77", 0, 5*time.Second))
	text = append(text, '\n')
	if err := conn.writeBytes(text[:len(text)/2]); err != nil {
		return err
	}
	w.rec.logf("half of a line is written")
	if w.trouble {
		time.Sleep(2500 * time.Millisecond)
	}
	_ = conn.writeBytes(text[len(text)/2:])
	conn.awaitFinals(7 * time.Second)
	n := lost(w.rec, conn)
	w.rec.sayf("closed by the controller: %v, lost: %d", conn.isClosed(), n)
	if n > 0 {
		return errBroken
	}
	return nil
}
