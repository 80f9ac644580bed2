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
	"eidertrail/internal/remedy"
	"eidertrail/internal/telemetry"
)

// leasesEvery is how often shares of the fleet's budgets are asked for.
const leasesEvery = 100_000

// part is one of the protocols between the members. The gossip loop alone calls it; nothing may block.
type part interface {
	// members tells who is there, whenever that has changed.
	members(now int64, members []swim.Member)
	// receive takes a member's body, and tells whether it is this protocol's.
	receive(now int64, from int, body []byte) (own bool, err error)
	// every is called each leasesEvery, and sends what is due.
	every(now int64, send func(to int, body []byte))
}

// join makes the controller a member of its fleet, and has the budgets that the fleet divides narrow what the
// module may choose from.
func (d *daemon) join(ctx context.Context, node swim.Config, fleet *config.Cluster, log zerolog.Logger) error {
	started := time.Now().UnixMilli()
	cfg := gossip.Config{
		Node: node, Listen: d.cfg.PeerListen, Peers: d.cfg.Peers, Fleet: fleet.Fleet,
		Incarnation: uint64(started), Seed: d.cfg.Seed, Clock: d.clock, Log: log, Counters: d.count,
	}
	var parts []part
	var books *quota.SharedAllocator
	var err error
	if fleet.Budget != nil {
		if books, err = quota.NewSharedAllocator(fleet.Budget.Allocator(node, uint32(started)), d.clock.Now()); err != nil {
			return err
		}
		parts = append(parts, &leases{books: books, count: d.count})
	}
	if fleet.Region != "" {
		if d.word, err = newWord(node, fleet, uint64(started), d.cfg.Seed, d.clock.Now(), log, d.count); err != nil {
			return err
		}
		parts = append(parts, d.word)
	}
	if len(parts) > 0 {
		d.carry(&cfg, parts, log)
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

// carry has the gossip loop carry the parts' messages. A body that is none of theirs is another program's, which knows
// more, and is passed over.
func (d *daemon) carry(cfg *gossip.Config, parts []part, log zerolog.Logger) {
	cfg.View = func(now int64, members []swim.Member) {
		for _, p := range parts {
			p.members(now, members)
		}
	}
	cfg.Receive = func(now int64, from int, body []byte) {
		for _, p := range parts {
			own, err := p.receive(now, from, body)
			if err != nil {
				d.count.Add(telemetry.PeerBad)
				log.Warn().Err(err).Int("member", from).Str("remedy", remedy.Of(err)).Msg("bad message of a member")
			}
			if own {
				return
			}
		}
	}
	cfg.EveryMicros = leasesEvery
	cfg.Every = func(now int64, send func(to int, body []byte)) {
		for _, p := range parts {
			p.every(now, send)
		}
	}
}

// leases are the fleet's budgets.
type leases struct {
	books   *quota.SharedAllocator
	count   *telemetry.Counters
	answers []quota.Out // owed to what has come since the last time; bounded by what comes in 0.1 s
	counted quota.Counts
}

func (l *leases) members(_ int64, members []swim.Member) { l.books.SetAlive(living(members)) }

// living tells which members are held alive.
func living(members []swim.Member) []bool {
	alive := make([]bool, len(members))
	for i, m := range members {
		alive[i] = m.State == swim.Alive
	}
	return alive
}

func (l *leases) receive(now int64, from int, body []byte) (bool, error) {
	if !quota.IsMessage(body) {
		return false, nil
	}
	out, err := l.books.Receive(now, from, body)
	l.answers = append(l.answers, out...)
	return true, err
}

func (l *leases) every(now int64, send func(to int, body []byte)) {
	for _, o := range append(l.answers, l.books.Tick(now)...) {
		send(o.To, o.Body)
	}
	l.answers = l.answers[:0]
	c := l.books.Counts()
	l.count.AddN(telemetry.LeasesRequested, int64(c.Requested-l.counted.Requested))
	l.count.AddN(telemetry.LeasesGranted, int64(c.Granted-l.counted.Granted))
	l.counted = c
}
