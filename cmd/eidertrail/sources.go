package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
	"eidertrail/internal/telemetry"
)

// drainLook is how often pools that drain are looked at, to end a drain soon after its last call.
const drainLook = 250 * time.Millisecond

// sources merges the bulletin and the SRV names into the pool set: one goroutine owns the membership
// Set, the bulletin's events and the resolvers' answers come to it, and what changes goes to the pools.
type sources struct {
	clock    *clock.Clock
	pools    *sippool.Pools
	dispatch *dispatch.Dispatcher
	log      zerolog.Logger
	count    *telemetry.Counters
	seed     uint64

	events  chan endpointlist.Event
	updates chan srv.Update
	reloads chan *config.Discovery
	done    chan struct{}
}

func newSources(c *clock.Clock, pools *sippool.Pools, d *dispatch.Dispatcher, log zerolog.Logger, count *telemetry.Counters, seed uint64) *sources {
	return &sources{
		clock: c, pools: pools, dispatch: d, log: log, count: count, seed: seed,
		events: make(chan endpointlist.Event), updates: make(chan srv.Update, 32),
		reloads: make(chan *config.Discovery, 1), done: make(chan struct{}),
	}
}

// bulletin hands an event of the bulletin over; it waits until the owner has it, as the bulletin's
// own order of events must hold.
func (s *sources) bulletin(ctx context.Context, e endpointlist.Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	case <-s.done:
	}
}

// reload has a new discovery file taken over; one that was not taken yet is out of date.
func (s *sources) reload(cfg *config.Discovery) {
	select {
	case <-s.reloads:
	default:
	}
	s.reloads <- cfg
}

// run owns the pool set until ctx is done.
func (s *sources) run(ctx context.Context, cfg *config.Discovery) {
	defer close(s.done)
	set, _ := endpointset.New(cfg.EndpointSet()) // checked with the file
	var watchers sync.WaitGroup
	stopWatchers := s.watch(ctx, &watchers, cfg, set)
	defer func() {
		stopWatchers()
		watchers.Wait()
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var seen endpointset.Counts
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			set.UpdateList(s.clock.Now(), e.Snapshot, fromBulletin(e.Endpoints))
		case u := <-s.updates:
			s.take(set, u)
		case next := <-s.reloads:
			stopWatchers()
			watchers.Wait()
			carry(set, next)
			cfg = next
			stopWatchers = s.watch(ctx, &watchers, cfg, set)
		case <-timer.C:
		}
		now := s.clock.Now()
		set.Advance(now, s.pools.Busy)
		if view, changed := set.View(now); changed {
			s.count.Add(telemetry.DNSChanges)
			s.pools.Apply(toBulletin(view), func(lines []dispatch.Endpoint) { s.dispatch.UpdateEndpoints(lines, false) })
			s.log.Info().Str("pools", endpointset.Describe(view)).Msg("pool set") // after: tests rest on it
		}
		c := set.Counts()
		s.count.AddN(telemetry.PoolsConflicting, int64(c.Conflicts-seen.Conflicts))
		s.count.AddN(telemetry.PoolsExpired, int64(c.Expired-seen.Expired))
		seen = c
		wait := time.Hour
		if next := set.Next(); next > 0 {
			wait = time.Duration(max(next-now, 1)) * time.Microsecond
		}
		if set.Draining() {
			wait = min(wait, drainLook)
		}
		timer.Reset(wait)
	}
}

// watch starts a watcher for each name of cfg, and returns what stops them.
func (s *sources) watch(ctx context.Context, wg *sync.WaitGroup, cfg *config.Discovery, set *endpointset.Set) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	r := &srv.Resolver{Server: cfg.Server, Timeout: cfg.Timeout}
	for _, n := range cfg.Names {
		set.AddName(n.SRV, n.Group, n.Zone)
		wg.Go(func() { srv.Watch(ctx, r, cfg.Schedule(), n.SRV, s.clock.Now, s.seed, s.updates) })
	}
	return stop
}

// carry takes a new discovery file over: names that are no longer in it are forgotten, with their pools
// at once; those that stay keep their records until their watchers, started anew, tell them again.
func carry(set *endpointset.Set, next *config.Discovery) {
	keep := map[string]bool{}
	for _, n := range next.Names {
		keep[n.SRV] = true
	}
	for _, name := range set.Names() {
		if !keep[name] {
			set.RemoveName(name)
		}
	}
	set.SetConfig(next.EndpointSet()) // checked with the file
}

// take applies one look-up's outcome.
func (s *sources) take(set *endpointset.Set, u srv.Update) {
	s.count.AddN(telemetry.DNSQueries, int64(u.Answer.Queries))
	s.count.AddN(telemetry.DNSTruncated, int64(u.Answer.Truncated))
	if u.Err != nil {
		s.count.Add(telemetry.DNSFailures)
		if errors.Is(u.Err, srv.ErrBadAnswer) {
			s.count.Add(telemetry.DNSBadAnswers)
		}
		s.log.Warn().Err(u.Err).Str("name", u.Name).Msg("dns look-up failed, the last good set stands")
		return
	}
	set.UpdateRecords(u.At, u.Name, u.Answer.Records)
}

func fromBulletin(pools []endpointlist.Endpoint) []endpointset.ListEntry {
	out := make([]endpointset.ListEntry, len(pools))
	for i, p := range pools {
		out[i] = endpointset.ListEntry{
			UID: p.UID, Address: p.Address, Group: p.Group, Zone: p.Zone, StartedAt: p.StartedAt,
			State: endpointset.State(p.State),
		}
	}
	return out
}

func toBulletin(view []endpointset.Endpoint) endpointlist.Event {
	e := endpointlist.Event{Snapshot: true, Endpoints: make([]endpointlist.Endpoint, len(view))}
	for i, m := range view {
		e.Endpoints[i] = endpointlist.Endpoint{
			UID: m.UID, Address: m.Address, Group: m.Group, Zone: m.Zone, StartedAt: m.StartedAt,
			State: endpointlist.State(m.State),
		}
	}
	return e
}
