package main

import (
	"time"
)

// siteGone has a booking site's WebSocket end, and the site come back some seconds later. Calls of the site come to their
// end meanwhile.
func siteGone(w *world) error {
	const (
		rate = 50
		hold = 9500 * time.Millisecond
		away = 5 * time.Second
		left = 5 * time.Second

		after = 15 * time.Second
	)
	pools, err := w.pools(5, 300*time.Millisecond)
	if err != nil {
		return err
	}
	for _, p := range pools {
		p.set(func(p *pool) { p.hold = hold })
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
	before, err := dialSocket(w.rec, address, "rioni")
	if err != nil {
		return err
	}
	began := time.Now()
	pace := func(i int) { time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate))) }
	for i := range rate * 11 {
		before.setup("avail-read", left)
		pace(i + 1)
	}
	time.Sleep(time.Second) // the last set-ups are answered
	s := before
	if w.trouble {
		w.rec.logf("the site's socket ends")
		before.raw.Close()
		time.Sleep(away)
	}
	began = time.Now()
	var sockets []*socket
	var crossed []socketCall
	n := 0
	for i := 0; time.Since(began) < after; i++ {
		if s.isClosed() {
			if s != before {
				lost, again := unansweredOn(w.rec, s)
				n, crossed = n+lost, append(crossed, again...)
			}
			if s, err = dialSocket(w.rec, address, "rioni"); err != nil {
				return err
			}
			s.known = before.calls
			sockets = append(sockets, s)
		}
		if len(crossed) > 0 { // what has crossed a close comes again, beside the calls that are new
			s.again(crossed[0])
			crossed = crossed[1:]
		}
		s.setup("avail-read", left)
		pace(i + 1)
	}
	time.Sleep(6 * time.Second)
	if s != before {
		lost, _ := unansweredOn(w.rec, s)
		n += lost
	}
	sent, answered := 0, 0
	for _, one := range append(sockets, before) {
		for _, set := range one.all() {
			if set.sentAt.After(began) {
				sent++
				answered += min(1, len(set.finals))
			}
		}
	}
	w.rec.sayf("set-ups in the %v after the return: %d on %d new sockets, with a final answer: %d, lost: %d",
		after, sent, len(sockets), answered, n)
	if n > 0 {
		return errBroken
	}
	return nil
}

// unansweredOn are the set-ups of a socket that the controller has ended without answering them: those that are lost, and
// those that crossed the close and are sent again, once.
func unansweredOn(rec *record, s *socket) (lost int, crossed []socketCall) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed.IsZero() {
		return 0, nil
	}
	for _, set := range s.all() {
		open := closed.Sub(set.sentAt)
		switch {
		case len(set.finals) > 0, set.rejected != "", open >= set.left:
		case open <= crossing && !set.resent:
			crossed = append(crossed, set)
		default:
			lost++
			rec.logf("LOST %s: the controller ended the socket %d ms after it and gave no answer, sent again before: %v",
				set.id, open.Milliseconds(), set.resent)
		}
	}
	return lost, crossed
}
