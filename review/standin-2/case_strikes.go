package main

import (
	"fmt"
	"time"
)

// strikes has a site call through one socket while callers offer more calls than there are agents. A call for which no
// agent comes free in its time has failed, and the site's cancel at that time crosses the final answer.
func strikes(w *world) error {
	const (
		left   = 1500 * time.Millisecond
		hold   = 9500 * time.Millisecond
		oneWay = 25 * time.Millisecond
	)
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	const agents = 80 // of a pool
	capacity := float64(len(pools)*agents) / hold.Seconds()
	offered := 0.7 * capacity // a quiet day: 62 to 80%
	if w.trouble {
		offered = 1.2 * capacity // the worst days: 110 to 120%
	}
	for _, p := range pools {
		p.set(func(p *pool) { p.agents, p.hold = agents, hold })
	}
	c, err := w.controller(site{pools: pools, classes: tbilisiClasses()})
	if err != nil {
		return err
	}
	address, err := c.withCallControl()
	if err != nil {
		return err
	}
	if err := c.start(); err != nil {
		return err
	}
	far, err := startDelay(address, oneWay)
	if err != nil {
		return err
	}
	s, err := dialSocket(w.rec, far, "rioni")
	if err != nil {
		return err
	}
	w.rec.logf("%.1f calls a second are offered, there are agents for %.1f", offered, capacity)
	interval := time.Duration(float64(time.Second) / offered)
	for began := time.Now(); time.Since(began) < 50*time.Second && !s.isClosed(); time.Sleep(interval) {
		set := s.setup("avail-read", left)
		time.AfterFunc(left, func() { s.giveUp(set) })
	}
	time.Sleep(left + time.Second)
	n, answered, failed := 0, 0, 0
	s.mu.Lock()
	closed, status := s.closed, s.status
	s.mu.Unlock()
	for _, set := range s.all() {
		switch {
		case len(set.finals) > 1:
			w.rec.logf("LOST %s: %d final answers", set.id, len(set.finals))
			n++
		case len(set.finals) == 1 && set.finals[0].Type == "answer":
			answered++
		case len(set.finals) == 1:
			failed++
		case set.givenUp, set.rejected != "":
		case !closed.IsZero() && closed.Sub(set.sentAt) > crossing+2*oneWay && closed.Before(set.sentAt.Add(set.left)):
			w.rec.logf("LOST %s: the controller closed the socket %d ms after it, with %d ms left, and gave no answer",
				set.id, closed.Sub(set.sentAt).Milliseconds(), set.sentAt.Add(set.left).Sub(closed).Milliseconds())
			n++
		}
	}
	if answered < 100 {
		return fmt.Errorf("only %d calls were answered", answered)
	}
	w.rec.sayf("set-ups: %d, answered: %d, refused or failed: %d, errors: %v, closed by the controller: %v (%d), lost: %d",
		len(s.all()), answered, failed, s.errors, !closed.IsZero(), status, n)
	if n > 0 {
		return errBroken
	}
	return nil
}
