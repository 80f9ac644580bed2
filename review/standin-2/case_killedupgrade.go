package main

import (
	"fmt"
	"syscall"
	"time"
)

// killedUpgrade has a second process replace the first, the first be told to stop, and the second be killed 0.1 s later.
// New connections come until 0.4 s after the signal, each with three set-ups at once.
func killedUpgrade(w *world) error {
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	first, err := w.controller(site{pools: pools, classes: tbilisiClasses()})
	if err != nil {
		return err
	}
	if err := first.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	second := *first
	second.name = "second"
	if second.control, err = freeAddress(); err != nil {
		return err
	}
	w.controllers = append(w.controllers, &second)
	if err := second.start(); err != nil {
		return err
	}
	signalled := time.Now()
	w.rec.logf("SIGTERM to the first process")
	if err := first.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		second.kill()
	}
	var conns []*caller
	for time.Since(signalled) < 400*time.Millisecond {
		conn, err := connect(w.rec, fmt.Sprintf("caller%d", len(conns)), first.listen, nil)
		if err == nil {
			for i := range 3 {
				conn.setup("avail-read", i, 5*time.Second)
			}
			conns = append(conns, conn)
		}
		time.Sleep(25 * time.Millisecond)
	}
	for _, conn := range conns {
		conn.awaitFinals(5 * time.Second)
	}
	n := lost(w.rec, conns...)
	w.rec.sayf("connections of 0.1 to 0.4 s after SIGTERM: %d, their set-ups without an answer but for each connection's first: %d",
		len(conns), n)
	if n > 0 {
		return errBroken
	}
	return nil
}
