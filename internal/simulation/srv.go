package simulation

import (
	"fmt"
	"time"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
)

// SRV has the controllers take their pools from DNS SRV names, one for each kind of pool, in place of the list.
type SRV struct {
	TTL      time.Duration `toml:"ttl"`
	Floor    time.Duration `toml:"floor"`     // refreshes and retries, at the least
	Ceiling  time.Duration `toml:"ceiling"`   // and at the most
	StaleFor time.Duration `toml:"stale_for"` // records are kept past their TTL while look-ups fail
	DrainFor time.Duration `toml:"drain_for"` // a vanished pool drains for, at the most
	TCP      time.Duration `toml:"tcp"`       // what an answer that is truncated takes more
}

// The kinds of event that only a scenario with SRV names has.
const (
	Unlist   = "unlist"   // the pool's record is taken out, and put in again after For
	Mute     = "dns_down" // look-ups fail
	Truncate = "truncate" // every answer comes truncated, and again over TCP
)

// names are the SRV names of a run: what DNS says now.
type names struct {
	unlisted  map[*pool]bool
	changedAt map[*pool]int64 // when the pool's record was last taken out
	down      bool
	truncated bool
}

// source is a controller's view of the names.
type source struct {
	set      *endpointset.Set
	schedule srv.Schedule
	failures []int // in a row, by kind
	told     map[string]eidertrail.Mode
	at       int64 // Advance is due then
}

// record is a pool's.
func (s *Sim) record(p *pool) endpointset.Record {
	return endpointset.Record{Target: p.uid + ".pools.example.org", Address: p.address, TTL: s.sc.SRV.TTL.Microseconds()}
}

// resolve begins a controller's look-ups.
func (s *Sim) resolve(n *node) error {
	c := s.sc.SRV
	set, err := endpointset.New(endpointset.Config{
		StaleFor: c.StaleFor.Microseconds(), DrainFor: c.DrainFor.Microseconds(),
		Tombstone: 1, MaxRecords: 1024, MaxEndpoints: 1024,
	})
	if err != nil {
		return fmt.Errorf("sim: srv: %w", err)
	}
	n.source = &source{
		set: set, schedule: srv.Schedule{Floor: c.Floor.Microseconds(), Ceiling: c.Ceiling.Microseconds(), Jitter: 0.1},
		failures: make([]int, len(s.sc.Pool)), told: map[string]eidertrail.Mode{},
	}
	if err := n.source.schedule.Check(); err != nil {
		return fmt.Errorf("sim: %w", err)
	}
	for kind, p := range s.sc.Pool {
		set.AddName(p.Name, p.Group, p.Zone)
		s.lookUp(n, kind)
	}
	return nil
}

// lookUp asks for a kind's name, and comes again when its records' lifetime is nearly over.
func (s *Sim) lookUp(n *node, kind int) {
	if s.now > s.end+settle {
		return
	}
	took := 2 * s.within(s.sc.Net.Near, lotNet)
	if s.names.truncated {
		took += s.sc.SRV.TCP.Microseconds() + took
	}
	s.after(took, func() {
		n.hear(func() {
			x, u := n.source, s.rng[lotNet].Float64()
			s.out.Queries++
			if s.names.down {
				x.failures[kind]++
				s.after(x.schedule.Retry(x.failures[kind], u), func() { s.lookUp(n, kind) })
				return
			}
			x.failures[kind] = 0
			var records []endpointset.Record
			for _, p := range s.pools {
				if p.kind == kind && !s.names.unlisted[p] {
					records = append(records, s.record(p))
				}
			}
			x.set.UpdateRecords(s.now, s.sc.Pool[kind].Name, records)
			s.merge(n)
			s.after(x.schedule.Refresh(s.sc.SRV.TTL.Microseconds(), u), func() { s.lookUp(n, kind) })
		})
	})
}

// merge tells the controller what has changed in its merged set, and comes again when that is due.
func (s *Sim) merge(n *node) {
	x := n.source
	x.set.Advance(s.now, func(uid string) bool { return n.standing[n.alias[uid]] > 0 })
	if view, changed := x.set.View(s.now); changed {
		at := map[string]*pool{}
		for _, p := range s.pools {
			at[p.address] = p
		}
		now := map[string]eidertrail.Mode{}
		var lines []dispatch.Endpoint
		for _, m := range view {
			p, mode := at[m.Address], eidertrail.Ready
			if m.State != endpointset.Up {
				mode = eidertrail.Draining
			}
			now[p.uid] = mode
			n.alias[m.UID] = p.uid
			lines = append(lines, dispatch.Endpoint{UID: p.uid, Group: m.Group, Zone: m.Zone, StartedAt: p.born, Mode: mode})
		}
		for _, p := range s.pools {
			if _, is := now[p.uid]; !is && x.told[p.uid] != eidertrail.Removed {
				now[p.uid] = eidertrail.Removed
				lines = append(lines, dispatch.Endpoint{UID: p.uid, Group: p.group, Zone: p.Zone, Mode: eidertrail.Removed})
			}
		}
		for _, l := range lines {
			if was, is := x.told[l.UID]; (!is || was == eidertrail.Ready) && l.Mode != eidertrail.Ready && s.names.changedAt[s.byUID[l.UID]] > 0 {
				s.out.Lag = max(s.out.Lag, float64(s.now-s.names.changedAt[s.byUID[l.UID]])/1000)
			}
			s.rules.EndpointNotified(s.now, n.name, l.UID, l.Mode == eidertrail.Ready)
			x.told[l.UID] = l.Mode
		}
		n.engine.UpdateEndpoints(s.now, lines, false)
	}
	next := x.set.Next()
	if x.set.Draining() {
		next = min(max(next, s.now+1), s.now+250_000)
	}
	if next > 0 && next != x.at {
		x.at = next
		s.after(next-s.now, func() {
			if x.at == next && s.now <= s.end+settle {
				x.at = 0
				n.hear(func() { s.merge(n) })
			}
		})
	}
}
