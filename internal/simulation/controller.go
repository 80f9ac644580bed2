package simulation

import (
	"fmt"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

const (
	// stepDelay is how long a controller waits for more input before a step of its engine, as the daemon does, µs.
	stepDelay = 1000
	// maxEngineCalls bounds the calls that an engine holds.
	maxEngineCalls = 2_000_000
)

// controller is one controller: an engine, its view of the pools, and its place in the fleet.
type controller struct {
	sim          *simulator
	index        int
	name         string
	zone         string
	engine       *dispatch.Engine
	counters     *telemetry.Counters
	stepAt       int64 // a step of the engine is due then, 0: none
	stalledUntil int64 // the process does nothing until then

	discovery     *discovery        // nil: the endpoint list announces the pools
	inUse         map[string]int    // requests in flight and established, by the pool's uid
	uidByEndpoint map[string]string // the pool's uid, by that of the endpoint in the merged set

	member   *swim.Node             // nil outside a fleet
	quotas   *quota.SharedAllocator // nil without leases
	gossipAt int64                  // the member's next tick
}

// newController returns the controller of an index, which knows the pools of the endpoint list or discovers them.
func (s *simulator) newController(index int, seed uint64) (*controller, error) {
	created := &controller{
		sim:           s,
		index:         index,
		name:          fmt.Sprintf("n%d", index),
		zone:          s.scenario.zone(index),
		counters:      &telemetry.Counters{},
		inUse:         map[string]int{},
		uidByEndpoint: map[string]string{},
	}
	settings := s.scenario.settings(index)
	var err error
	created.engine, err = dispatch.NewEngine(settings, seed, maxEngineCalls, zerolog.Nop(), created.counters)
	if err != nil {
		return nil, fmt.Errorf("sim: %w", err)
	}
	router, err := s.scenario.router(index)
	if err != nil {
		return nil, fmt.Errorf("sim: %w", err)
	}
	if router != nil {
		created.engine.SetRouter(s.now, router)
	}
	if s.scenario.SRV != nil {
		created.engine.UpdateEndpoints(s.now, nil, true)
		return created, created.startDiscovery()
	}
	created.engine.UpdateEndpoints(s.now, created.initialEndpoints(), true)
	created.wake()
	return created, nil
}

// initialEndpoints are all pools, ready.
func (c *controller) initialEndpoints() []dispatch.Endpoint {
	sim := c.sim
	endpoints := make([]dispatch.Endpoint, 0, len(sim.pools))
	for _, p := range sim.pools {
		ready := dispatch.Endpoint{UID: p.uid, Group: p.group, Zone: p.Zone, Mode: eidertrail.Ready}
		endpoints = append(endpoints, ready)
		sim.checker.EndpointNotified(sim.now, c.name, p.uid, true)
	}
	return endpoints
}

// wake schedules a step of the engine soon. All input that arrives until then is handled by the same step.
func (c *controller) wake() { c.scheduleStep(c.sim.now + stepDelay) }

// scheduleStep schedules a step of the engine, unless one is due earlier.
func (c *controller) scheduleStep(at int64) {
	at = max(at, c.stalledUntil)
	if c.stepAt > 0 && c.stepAt <= at {
		return
	}
	c.stepAt = at
	c.sim.after(at-c.sim.now, func() {
		if c.stepAt == at { // else an earlier step was scheduled since
			c.step()
		}
	})
}

func (c *controller) step() {
	now := c.sim.now
	c.stepAt = 0
	if c.stalledUntil > now {
		c.scheduleStep(c.stalledUntil)
		return
	}
	c.engine.Step(now)
	if next := c.engine.NextDue(now); next > 0 {
		c.scheduleStep(max(next, now+1))
	}
}

// receive handles input of the controller: now, or once a stall of its process is over.
func (c *controller) receive(handle func()) {
	if c.stalledUntil > c.sim.now {
		c.sim.after(c.stalledUntil-c.sim.now, func() { c.receive(handle) })
		return
	}
	handle()
	c.wake()
}
