package jsonlines_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"eidertrail/dispatch"
)

func TestCharacterization_Closes(t *testing.T) {
	faults := func(line string, times int) func(p *platform) {
		return func(p *platform) {
			c := p.dial()
			for range times {
				p.say(c, line)
			}
		}
	}
	play(t, "closes.txt", defaultSetting(), []scenario{
		{"a silent caller", func(p *platform) {
			p.dial()
			p.wait(2504 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"half a first line", func(p *platform) {
			p.write(p.dial(), setup[:40])
			p.wait(2504 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"half a later line", func(p *platform) {
			c := p.dial()
			p.say(c, `{"type":"ping","id":"p"}`)
			p.wait(100 * time.Millisecond)
			p.write(c, setup[:40])
			p.wait(2004 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"idle", func(p *platform) {
			p.say(p.dial(), `{"type":"ping","id":"p"}`)
			p.wait(8004 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"idle while a call stands, and after it", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.wait(20 * time.Second)
			p.say(c, release)
			p.wait(8006 * time.Millisecond)
		}},
		{"idle while a set-up is open, and after it", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			p.say(p.dial(), strings.Replace(setup, "1500", "9000", 1))
			p.wait(8500 * time.Millisecond)
			p.wait(12 * time.Second)
		}},
		{"empty lines", faults("", 17)},
		{"unknown types", faults(`{"type":"dance"}`, 17)},
		{"releases of names that no pool can read", faults(`{"type":"release","id":"x"}`, 17)},
		{"set-ups that cannot be", faults(strings.Replace(setup, "voice", "fax", 1), 17)},
		{"releases of unknown calls", func(p *platform) {
			c := p.dial()
			for i := range 82 {
				p.say(c, numbered(release, i))
			}
			p.wait(time.Second)
			other := p.dial()
			for i := range 34 {
				p.say(other, numbered(release, i+1000))
			}
		}},
		{"more connections than there may be", func(p *platform) {
			for range 9 {
				p.dial()
				time.Sleep(time.Millisecond)
			}
			p.observe()
			for _, c := range p.callers[1:] {
				p.say(c, `{"type":"ping","id":"p"}`)
				time.Sleep(time.Millisecond) // the one that was quiet for longest makes room
			}
			time.Sleep(2 * time.Second)
			p.dial()
			p.observe()
		}},
		{"a planned stop", func(running *platform) {
			idle, established, open := running.dial(), running.dial(), running.dial()
			running.say(idle, `{"type":"ping","id":"p"}`)
			running.say(established, setup)
			running.pools.Outcome = dispatch.TimedOut
			running.say(open, numbered(setup, 1))
			running.Add("the front drains")
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				running.front.Drain(context.Background())
			}()
			running.observe()
			running.pools.Outcome = dispatch.Answered
			running.say(open, numbered(setup, 2))
			running.Add("everything is given up")
			running.calls.AbortPending()
			running.observe()
			<-drained
		}},
	})
}

func TestCharacterization_Floods(t *testing.T) {
	s := defaultSetting()
	s.calls = 70
	play(t, "floods.txt", s, []scenario{
		{"set-ups of a connection that had none answered", func(p *platform) {
			p.pools.Outcome, p.pools.Muted = dispatch.TimedOut, true
			c := p.dial()
			for i := range 82 {
				p.say(c, numbered(setup, i))
			}
		}},
		{"more calls than there may be, on a connection that is served", func(p *platform) {
			c := p.dial()
			p.say(c, numbered(setup, 1000))
			p.pools.Outcome, p.pools.Muted = dispatch.TimedOut, true
			for i := range 90 {
				p.say(c, numbered(setup, i))
			}
		}},
		{"set-ups that pools can make nothing of", func(p *platform) {
			p.pools.Outcome = dispatch.Errored
			c := p.dial()
			for i := range 6 {
				p.say(c, numbered(setup, i))
				p.wait(3 * time.Second)
			}
		}},
	})
}
