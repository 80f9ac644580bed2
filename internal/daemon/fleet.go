package daemon

import (
	"context"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/config"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
)

const (
	// protocolInterval is the time between two Ticks of the protocols between the members.
	protocolInterval = 100 * time.Millisecond
	// sendWindowDivisor is the part of a lease's margin within which a call that was admitted has to be sent: half of it,
	// so that the lender uses its quota again only after that.
	sendWindowDivisor = 2
)

// joinFleet makes the controller a member of its fleet until ctx ends. Where the fleet divides quotas, they limit what
// the decision module may choose from; where it has regions, they are exchanged.
func (d *Daemon) joinFleet(ctx context.Context, node swim.Config, file *config.Cluster) error {
	started := time.Now().UnixMilli() // the incarnation: higher at each start
	cfg := gossip.Config{
		Node:             node,
		Listen:           d.cfg.PeerListen,
		Peers:            d.cfg.Peers,
		Fleet:            file.Fleet,
		Incarnation:      uint64(started),
		Seed:             d.cfg.Seed,
		Clock:            d.clock,
		Log:              d.peerLog,
		Counters:         d.counters,
		ProtocolInterval: protocolInterval,
	}
	var allocator *quota.SharedAllocator
	var err error
	if file.Budget != nil {
		allocator, err = quota.NewSharedAllocator(file.Budget.Allocator(node, uint32(started)), d.clock.Now())
		if err != nil {
			return err
		}
		cfg.Protocols = append(cfg.Protocols, &quotaProtocol{allocator: allocator, counters: d.counters})
	}
	if file.Region != "" {
		if d.regions, err = d.newRegionTable(node, file, uint64(started)); err != nil {
			return err
		}
		cfg.Protocols = append(cfg.Protocols, d.regions)
	}
	if d.fleet, err = gossip.Start(ctx, cfg); err != nil {
		return err
	}
	if allocator != nil {
		d.dispatcher.SetQuotas(dispatch.QuotaConfig{
			Source:            drainedQuotas{QuotaSource: allocator, lifecycle: d.lifecycle},
			SlowStartFraction: file.Budget.SlowStartFraction,
			SendWindow:        file.Budget.Margin.Microseconds() / sendWindowDivisor,
		})
	}
	return nil
}

// aliveMembers are the members that are alive, by number.
func aliveMembers(members []swim.Member) []bool {
	alive := make([]bool, len(members))
	for i, member := range members {
		alive[i] = member.State == swim.Alive
	}
	return alive
}
