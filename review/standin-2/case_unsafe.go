package main

import (
	"fmt"
	"time"
)

// unsafeCause has the answer to a set-up get lost, of a class that must not be set up twice. The site sends a call again
// that was refused so that trying again is harmless.
func unsafeCause(w *world) error {
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	classes := tbilisiClasses()
	classes[1].effect = "unsafe"
	c, err := w.controller(site{pools: pools, classes: classes})
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
	s, err := dialSocket(w.rec, address, "rioni")
	if err != nil {
		return err
	}
	const work = 10
	lostAnswers := map[string]bool{}
	harmless := 0
	for i := range work {
		if w.trouble && i%5 == 0 {
			for _, p := range pools {
				p.set(func(p *pool) { p.silent = func(setup) bool { return true } })
			}
		}
		set := s.setup("stop-sell", 2*time.Second)
		for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			if all := s.all(); len(all[len(all)-1].finals) > 0 {
				break
			}
		}
		for _, p := range pools {
			p.set(func(p *pool) { p.silent = nil })
		}
		all := s.all()
		last := all[len(all)-1]
		if len(last.finals) == 0 {
			return fmt.Errorf("no final answer to %s", set.id)
		}
		final := last.finals[0]
		ran := 0
		for _, p := range pools {
			p.set(func(p *pool) {
				for _, one := range p.setups {
					if one.number == set.id {
						ran++
					}
				}
			})
		}
		if final.Type != "answer" && ran > 0 {
			lostAnswers[set.id] = true
			if final.Cause == 34 || final.Cause == 42 || final.Cause == 102 {
				w.rec.logf("BROKEN %s has run, and its caller is told %s, cause %d, retry_after_ms %d: trying again is harmless",
					set.id, final.Type, final.Cause, final.RetryAfter)
				harmless++
			}
		}
	}
	w.rec.sayf("set-ups: %d, run without an answer to the caller: %d, of them told that trying again is harmless: %d",
		work, len(lostAnswers), harmless)
	if harmless > 0 {
		return errBroken
	}
	return nil
}
