package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/config"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// protocolInterval is the time between two Ticks of the protocols between the members.
const protocolInterval = 100 * time.Millisecond

// join makes the controller a member of its fleet, and has the budgets that the fleet divides narrow what the
// module may choose from.
func (d *daemon) join(ctx context.Context, node swim.Config, fleet *config.Cluster, log zerolog.Logger) error {
	started := time.Now().UnixMilli()
	cfg := gossip.Config{
		Node: node, Listen: d.cfg.PeerListen, Peers: d.cfg.Peers, Fleet: fleet.Fleet,
		Incarnation: uint64(started), Seed: d.cfg.Seed, Clock: d.clock, Log: log, Counters: d.count,
		ProtocolInterval: protocolInterval,
	}
	var books *quota.SharedAllocator
	var err error
	if fleet.Budget != nil {
		if books, err = quota.NewSharedAllocator(fleet.Budget.Allocator(node, uint32(started)), d.clock.Now()); err != nil {
			return err
		}
		cfg.Protocols = append(cfg.Protocols, &leases{books: books, count: d.count})
	}
	if fleet.Region != "" {
		if d.word, err = newWord(node, fleet, uint64(started), d.cfg.Seed, d.clock.Now(), log, d.count); err != nil {
			return err
		}
		cfg.Protocols = append(cfg.Protocols, d.word)
	}
	if d.fleet, err = gossip.Start(ctx, cfg); err != nil {
		return err
	}
	if books != nil {
		d.dispatch.SetQuotas(dispatch.QuotaConfig{
			Source: books, SlowStartFraction: fleet.Budget.SlowStartFraction,
			SendWindow: fleet.Budget.Margin.Microseconds() / 2,
		})
	}
	return nil
}

// leases are the fleet's budgets, as a protocol of the gossip.
type leases struct {
	books   *quota.SharedAllocator
	count   *telemetry.Counters
	answers []quota.Out // owed to what has come since the last time; bounded by what comes in 0.1 s
	counted quota.Counts
}

// MembersChanged implements gossip.Protocol.
func (l *leases) MembersChanged(_ int64, members []swim.Member) { l.books.SetAlive(living(members)) }

// living tells which members are held alive.
func living(members []swim.Member) []bool {
	alive := make([]bool, len(members))
	for i, m := range members {
		alive[i] = m.State == swim.Alive
	}
	return alive
}

// Receive implements gossip.Protocol.
func (l *leases) Receive(now int64, from int, body []byte) (bool, error) {
	if !quota.IsMessage(body) {
		return false, nil
	}
	out, err := l.books.Receive(now, from, body)
	l.answers = append(l.answers, out...)
	return true, err
}

// Tick implements gossip.Protocol.
func (l *leases) Tick(now int64, send gossip.Send) {
	for _, o := range append(l.answers, l.books.Tick(now)...) {
		send(o.To, o.Body)
	}
	l.answers = l.answers[:0]
	c := l.books.Counts()
	l.count.AddN(telemetry.LeasesRequested, int64(c.Requested-l.counted.Requested))
	l.count.AddN(telemetry.LeasesGranted, int64(c.Granted-l.counted.Granted))
	l.counted = c
}
