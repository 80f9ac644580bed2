package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/cluster"
	"eidertrail/cluster/budget"
	"eidertrail/cluster/gossip"
	"eidertrail/config"
	"eidertrail/dispatch"
	"eidertrail/internal/stats"
)

// leasesEvery is how often shares of the fleet's budgets are asked for.
const leasesEvery = 100_000

// join makes the controller a member of its fleet, and has the budgets that the fleet divides narrow what the
// module may choose from.
func (d *daemon) join(ctx context.Context, node cluster.Config, fleet *config.Cluster, log zerolog.Logger) error {
	started := time.Now().UnixMilli()
	cfg := gossip.Config{Node: node, Listen: d.cfg.PeerListen, Peers: d.cfg.Peers, Fleet: fleet.Fleet,
		Incarnation: uint64(started), Seed: d.cfg.Seed, Clock: d.clock, Log: log, Count: d.count}
	var books *budget.Shared
	if fleet.Budget != nil {
		var err error
		if books, err = budget.NewShared(fleet.Budget.Ledger(node, uint32(started)), d.clock.Now()); err != nil {
			return err
		}
		d.books(&cfg, books, log)
	}
	var err error
	if d.fleet, err = gossip.Start(ctx, cfg); err != nil {
		return err
	}
	if books != nil {
		d.dispatch.Limit(dispatch.LimitConfig{Shares: books, ColdPart: fleet.Budget.ColdPart,
			LeaveWithin: fleet.Budget.Margin.Microseconds() / 2})
	}
	return nil
}

// books lets the loop that hears the members keep the books.
func (d *daemon) books(cfg *gossip.Config, books *budget.Shared, log zerolog.Logger) {
	var answers []budget.Out // owed to what has come since the last time; bounded by what comes in 0.1 s
	cfg.View = func(_ int64, members []cluster.Member) {
		alive := make([]bool, len(members))
		for i, m := range members {
			alive[i] = m.State == cluster.Alive
		}
		books.Members(alive)
	}
	cfg.Receive = func(now int64, from int, body []byte) {
		out, err := books.Receive(now, from, body)
		if err != nil {
			d.count.Add(stats.PeerBad)
			log.Warn().Err(err).Int("member", from).Msg("bad lease message")
		}
		answers = append(answers, out...)
	}
	var counted budget.Counts
	cfg.EveryMicros = leasesEvery
	cfg.Every = func(now int64, send func(to int, body []byte)) {
		for _, o := range append(answers, books.Tick(now)...) {
			send(o.To, o.Body)
		}
		answers = answers[:0]
		c := books.Counts()
		d.count.AddN(stats.LeasesAsked, int64(c.Asked-counted.Asked))
		d.count.AddN(stats.LeasesGranted, int64(c.Granted-counted.Granted))
		counted = c
	}
}
