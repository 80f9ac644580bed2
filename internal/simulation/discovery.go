package simulation

import (
	"fmt"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
)

// The constants of the look-ups.
const (
	maxDiscoveredEndpoints = 1024
	refreshJitter          = 0.1
	// drainCheckInterval bounds the time between two looks at whether a draining endpoint has ended its calls, µs.
	drainCheckInterval = 250_000
)

// dnsState is what DNS answers in a run.
type dnsState struct {
	removedAt map[*PoolModel]int64 // pools whose record is taken out, and since when
	down      bool                 // look-ups fail
	truncated bool                 // answers arrive truncated, and again over TCP
}

func newDNSState() dnsState { return dnsState{removedAt: map[*PoolModel]int64{}} }

// discovery is a controller's view of the SRV names.
type discovery struct {
	endpoints *endpointset.Set
	schedule  srv.Schedule
	failures  []int // in a row, by kind of pool
	notified  map[string]eidertrail.Mode
	advanceAt int64 // the set has to be advanced then, 0: no time is known
}

// record is a pool's SRV record.
func (s *simulator) record(p *PoolModel) endpointset.Record {
	return endpointset.Record{
		Target:  p.uid + ".pools.example.org",
		Address: p.address,
		TTL:     s.scenario.SRV.TTL.Microseconds(),
	}
}

// records are those that DNS has for a kind of pool.
func (s *simulator) records(kind int) []endpointset.Record {
	var records []endpointset.Record
	for _, p := range s.pools {
		if _, removed := s.dns.removedAt[p]; p.kind == kind && !removed {
			records = append(records, s.record(p))
		}
	}
	return records
}

// startDiscovery begins a controller's look-ups.
func (c *controller) startDiscovery() error {
	sim := c.sim
	settings := sim.scenario.SRV
	set, err := endpointset.New(endpointset.Config{
		MaxStale:     settings.StaleWindow.Microseconds(),
		DrainTimeout: settings.DrainTimeout.Microseconds(),
		TombstoneTTL: 1,
		MaxRecords:   maxDiscoveredEndpoints,
		MaxEndpoints: maxDiscoveredEndpoints,
	})
	if err != nil {
		return fmt.Errorf("sim: srv: %w", err)
	}
	c.discovery = &discovery{
		endpoints: set,
		schedule: srv.Schedule{
			Floor:   settings.Floor.Microseconds(),
			Ceiling: settings.Ceiling.Microseconds(),
			Jitter:  refreshJitter,
		},
		failures: make([]int, len(sim.scenario.Pool)),
		notified: map[string]eidertrail.Mode{},
	}
	if err := c.discovery.schedule.Check(); err != nil {
		return fmt.Errorf("sim: %w", err)
	}
	for kind, p := range sim.scenario.Pool {
		set.AddName(p.Name, p.Group, p.Zone)
		c.query(kind)
	}
	return nil
}

// query queries the name of a kind of pool, and schedules the refresh of its records.
func (c *controller) query(kind int) {
	sim := c.sim
	if sim.now > sim.end+settleTime {
		return
	}
	roundTrip := 2 * sim.random.between(sim.scenario.Network.Near, networkStream)
	if sim.dns.truncated {
		roundTrip += sim.scenario.SRV.TCPDelay.Microseconds() + roundTrip
	}
	sim.after(roundTrip, func() {
		c.receive(func() { c.queryAnswered(kind) })
	})
}

func (c *controller) queryAnswered(kind int) {
	sim, state := c.sim, c.discovery
	jitter := sim.random[networkStream].Float64()
	sim.recorder.result.Queries++
	if sim.dns.down {
		state.failures[kind]++
		sim.after(state.schedule.Retry(state.failures[kind], jitter), func() { c.query(kind) })
		return
	}
	state.failures[kind] = 0
	state.endpoints.UpdateRecords(sim.now, sim.scenario.Pool[kind].Name, sim.records(kind))
	c.mergeEndpoints()
	sim.after(state.schedule.Refresh(sim.scenario.SRV.TTL.Microseconds(), jitter), func() { c.query(kind) })
}

// mergeEndpoints notifies the engine of what has changed in the controller's merged set, and schedules the next change
// that time alone brings.
func (c *controller) mergeEndpoints() {
	sim, state := c.sim, c.discovery
	state.endpoints.Advance(sim.now, func(uid string) bool { return c.inUse[c.uidByEndpoint[uid]] > 0 })
	if view, changed := state.endpoints.View(sim.now); changed {
		updates := c.endpointUpdates(view)
		for _, update := range updates {
			c.endpointNotified(update)
		}
		c.engine.UpdateEndpoints(sim.now, updates, false)
	}
	c.scheduleAdvance()
}

// endpointUpdates are a view of the merged set as updates of the engine, with the pools that it no longer has.
func (c *controller) endpointUpdates(view []endpointset.Endpoint) []dispatch.Endpoint {
	sim := c.sim
	poolAt := map[string]*PoolModel{}
	for _, p := range sim.pools {
		poolAt[p.address] = p
	}
	present := map[string]bool{}
	var updates []dispatch.Endpoint
	for _, member := range view {
		p, mode := poolAt[member.Address], eidertrail.Ready
		if member.State != endpointset.Up {
			mode = eidertrail.Draining
		}
		present[p.uid] = true
		c.uidByEndpoint[member.UID] = p.uid
		updates = append(updates, dispatch.Endpoint{
			UID:       p.uid,
			Group:     member.Group,
			Zone:      member.Zone,
			StartedAt: p.startedAt,
			Mode:      mode,
		})
	}
	for _, p := range sim.pools {
		if !present[p.uid] && c.discovery.notified[p.uid] != eidertrail.Removed {
			updates = append(updates, dispatch.Endpoint{UID: p.uid, Group: p.group, Zone: p.Zone, Mode: eidertrail.Removed})
		}
	}
	return updates
}

// endpointNotified records an update, and how long after the removal of its record the controller learns of it.
func (c *controller) endpointNotified(update dispatch.Endpoint) {
	sim, state := c.sim, c.discovery
	before, known := state.notified[update.UID]
	removedAt := sim.dns.removedAt[sim.poolByUID[update.UID]]
	if (!known || before == eidertrail.Ready) && update.Mode != eidertrail.Ready && removedAt > 0 {
		sim.recorder.recordRemovalNoticed(sim.now - removedAt)
	}
	sim.checker.EndpointNotified(sim.now, c.name, update.UID, update.Mode == eidertrail.Ready)
	state.notified[update.UID] = update.Mode
}

// scheduleAdvance schedules the next merge.
func (c *controller) scheduleAdvance() {
	sim, state := c.sim, c.discovery
	next := state.endpoints.Next()
	if state.endpoints.Draining() {
		next = min(max(next, sim.now+1), sim.now+drainCheckInterval)
	}
	if next <= 0 || next == state.advanceAt {
		return
	}
	state.advanceAt = next
	sim.after(next-sim.now, func() {
		if state.advanceAt == next && sim.now <= sim.end+settleTime {
			state.advanceAt = 0
			c.receive(c.mergeEndpoints)
		}
	})
}
