package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// crowd has a planned restart under a crowd, which connects and never finishes a request. Calls come to their end beside
// it. Every true request comes on a new connection, one in three taking 2 s to write.
func crowd(w *world) error {
	const (
		calls   = 20
		members = 100
	)
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	c, err := w.controller(site{pools: pools, classes: tbilisiClasses(), half: true})
	if err != nil {
		return err
	}
	if err := c.start(); err != nil {
		return err
	}
	var conns []*caller
	request := func(slow bool) error {
		conn, err := connect(w.rec, fmt.Sprintf("caller%d", len(conns)), c.listen, nil)
		if err != nil {
			return err
		}
		conn.slow = slow
		conns = append(conns, conn)
		go conn.setup("avail-read", 0, 5*time.Second)
		return nil
	}
	for range calls {
		if err := request(false); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	before := conns
	for _, conn := range before {
		if all := conn.all(); len(all) != 1 || !all[0].stands {
			return fmt.Errorf("a call before the trouble does not stand")
		}
	}
	var stop atomic.Bool
	defer stop.Store(true)
	if w.trouble {
		w.rec.logf("a crowd of %d connects", members)
		for range members {
			go member(c.listen, &stop)
		}
		time.Sleep(500 * time.Millisecond)
		if err := c.restart(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range pools {
		for _, id := range p.standingIDs() {
			p.release(id, 16)
		}
	}
	ended := time.Now()
	told := map[string]bool{} // on whatever connection of the callers
	time.Sleep(700 * time.Millisecond)
	for i := 0; time.Since(ended) < 9*time.Second; i++ {
		_ = request(i%3 == 2) // one that finds no place comes again as another
		time.Sleep(time.Second)
	}
	for _, conn := range conns {
		conn.mu.Lock()
		for _, l := range conn.foreign {
			told[l.ID] = true
		}
		conn.mu.Unlock()
	}
	missing := 0
	for _, conn := range before {
		for _, set := range conn.all() {
			if set.stands && !told[set.id] {
				missing++
				w.rec.logf("NOT TOLD %s", set.id)
			}
		}
	}
	answered := 0
	for _, conn := range conns[len(before):] {
		answered += count(conn.all(), func(c call) bool { return len(c.answers) > 0 && c.answers[0].Type == "answer" })
	}
	w.rec.sayf("calls that ended: %d, their callers not told 9 s later: %d; true requests since: %d, answered: %d",
		calls, missing, len(conns)-len(before), answered)
	if missing > 0 {
		return errBroken
	}
	return nil
}

// member is one of the crowd: it connects, sends a part of a request and stays until it is closed, again and again.
func member(address string, stop *atomic.Bool) {
	for !stop.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_, _ = conn.Write([]byte(`{"type":"setup","id":"`))
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		buffer := make([]byte, 512)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		conn.Close()
	}
}
