package simulation

import (
	"fmt"

	"eidertrail/dispatch"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
)

const (
	// probeTimeoutPercent is a probe's timeout, in percent of the probe interval.
	probeTimeoutPercent = 30
	// The quota of a pool in units, and the part of it that is not leased.
	quotaUnits, reservedQuotaUnits = 1000, 250
	// defaultSlowStartFraction is the part of a warming pool's quota that is used where the scenario sets none.
	defaultSlowStartFraction = 0.5
	// quotaTickInterval is how often a controller renews its leases, µs.
	quotaTickInterval = 100_000
)

// joinFleet makes the controllers members of one fleet that divides quotas if the scenario has a lease.
func (s *simulator) joinFleet(seed uint64) error {
	for _, c := range s.controllers {
		if err := c.join(seed); err != nil {
			return fmt.Errorf("sim: fleet: %w", err)
		}
	}
	for _, c := range s.controllers {
		c.gossip()
		if c.quotas != nil {
			c.renewLeases()
		}
	}
	return nil
}

// join starts a controller's membership, and its quotas if there is a lease.
func (c *controller) join(seed uint64) error {
	sim := c.sim
	fleet := sim.scenario.Fleet
	cfg := swim.DefaultConfig(c.index, len(sim.controllers))
	if fleet.ProbeInterval > 0 {
		cfg.ProbeInterval = fleet.ProbeInterval.Microseconds()
		cfg.ProbeTimeout = cfg.ProbeInterval * probeTimeoutPercent / 100
	}
	var err error
	if c.member, err = swim.New(cfg, 1, seed, sim.now); err != nil {
		return err
	}
	if fleet.Lease <= 0 {
		return nil
	}
	c.quotas, err = quota.NewSharedAllocator(quota.Config{
		Self:        c.index,
		Members:     len(sim.controllers),
		Incarnation: 1,
		OwnedUnits:  quotaUnits,
		Reserved:    reservedQuotaUnits,
		TTL:         fleet.Lease.Microseconds(),
		Margin:      fleet.Margin.Microseconds(),
	}, sim.now)
	if err != nil {
		return err
	}
	fraction := fleet.SlowStartFraction
	if fraction <= 0 {
		fraction = defaultSlowStartFraction
	}
	c.engine.SetQuotas(sim.now, dispatch.QuotaConfig{
		Source:            c.quotas,
		SlowStartFraction: fraction,
		SendWindow:        fleet.Margin.Microseconds() / 2,
	})
	return nil
}

// gossip sends the datagrams that a member has ready, and schedules its next tick.
func (c *controller) gossip() {
	sim := c.sim
	out, changes := c.member.Take()
	for _, datagram := range out {
		sim.sendDatagram(datagram.To, func(to *controller) {
			to.member.Tick(sim.now)
			to.member.Receive(sim.now, datagram.Message)
		})
	}
	for _, change := range changes {
		sim.recorder.memberChanged(sim.now, c.name, change)
	}
	if len(changes) > 0 && c.quotas != nil {
		c.quotas.SetAlive(c.aliveMembers())
	}
	at := max(c.member.Next(), sim.now+1)
	c.gossipAt = at
	sim.after(at-sim.now, func() {
		if c.gossipAt != at || sim.now > sim.end+fleetSettleTime {
			return
		}
		c.receive(func() {
			c.member.Tick(sim.now)
			c.gossip()
		})
	})
}

// aliveMembers reports by index which members a controller holds alive.
func (c *controller) aliveMembers() []bool {
	alive := make([]bool, len(c.sim.controllers))
	for i, m := range c.member.View() {
		alive[i] = m.State == swim.Alive
	}
	return alive
}

// renewLeases renews a controller's leases of quotas, now and from then on.
func (c *controller) renewLeases() {
	sim := c.sim
	c.sendQuotaMessages(c.quotas.Tick(sim.now))
	sim.after(quotaTickInterval, func() {
		if sim.now <= sim.end+fleetSettleTime {
			c.receive(c.renewLeases)
		}
	})
}

// sendQuotaMessages sends messages of a controller's allocator, and the answers to them.
func (c *controller) sendQuotaMessages(out []quota.Out) {
	sim := c.sim
	for _, message := range out {
		sim.sendDatagram(message.To, func(to *controller) {
			if answers, err := to.quotas.Receive(sim.now, c.index, message.Body); err == nil {
				to.sendQuotaMessages(answers)
			}
		})
	}
}
