package daemon

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

const (
	// drainPollInterval is how often draining pools are checked, to end a drain soon after its last call.
	drainPollInterval = 250 * time.Millisecond
	// idleWait is how long the owner of the set sleeps at most.
	idleWait = time.Hour
	// lookupQueue is how many look-ups' outcomes wait for the owner.
	lookupQueue = 32
)

// startSources starts what says where calls may go: the endpoint list, and the SRV names of the discovery file, nil for
// none. The endpoints that were known at the start are applied first.
func (d *Daemon) startSources(ctx context.Context, discovery *config.Discovery) {
	deliver := func(event endpointlist.Event) { d.pools.Apply(event, updateEndpoints(d.dispatcher)) }
	if discovery != nil {
		d.sources = newEndpointSources(sourcesConfig{
			clock:      d.clock,
			pools:      d.pools,
			dispatcher: d.dispatcher,
			log:        d.peerLog,
			counters:   d.counters,
			seed:       d.cfg.Seed,
		})
		d.goroutines.Go(func() { d.sources.run(ctx, discovery) })
		deliver = func(event endpointlist.Event) { d.sources.deliver(ctx, event) }
	}
	for _, event := range d.cfg.KnownEndpoints.Events {
		deliver(event)
	}
	d.goroutines.Go(func() {
		endpointlist.Watch(ctx, endpointlist.Config{
			Address:  d.cfg.EndpointList,
			Known:    d.cfg.KnownEndpoints,
			Changes:  d.addressChanges,
			Clock:    d.clock,
			Log:      d.peerLog,
			Counters: d.counters,
			Deliver:  deliver,

			ReadAtOnce: d.handover.View().Successor,
			OnRead:     func() { d.listRead.Store(true) },
		})
	})
}

// updateEndpoints passes the endpoints that calls may go to on to the dispatcher.
func updateEndpoints(dispatcher *dispatch.Dispatcher) func(endpoints []dispatch.Endpoint) {
	return func(endpoints []dispatch.Endpoint) { dispatcher.UpdateEndpoints(endpoints, false) }
}

// endpointSources merges the endpoint list and the SRV names into the endpoint set. The goroutine of run owns the set:
// the list's events and the look-ups' outcomes come to it, and what changes goes to the pools.
type endpointSources struct {
	sourcesConfig

	events  chan endpointlist.Event
	lookups chan srv.Update
	reloads chan *config.Discovery // holds the latest one that was not taken yet
	done    chan struct{}          // closed by run when it ends

	// Of the goroutine of run alone.
	set          *endpointset.Set
	counted      endpointset.Counts // what the counters have of the set's
	watchers     sync.WaitGroup
	stopWatchers context.CancelFunc
}

// sourcesConfig are the parts that endpoint sources work with.
type sourcesConfig struct {
	clock      *clock.Clock
	pools      *sippool.Pools
	dispatcher *dispatch.Dispatcher
	log        zerolog.Logger
	counters   *telemetry.Counters
	seed       uint64 // of the look-ups' jitter
}

func newEndpointSources(cfg sourcesConfig) *endpointSources {
	return &endpointSources{
		sourcesConfig: cfg,
		events:        make(chan endpointlist.Event),
		lookups:       make(chan srv.Update, lookupQueue),
		reloads:       make(chan *config.Discovery, 1),
		done:          make(chan struct{}),
	}
}

// deliver hands over an event of the endpoint list. It waits until the owner has it, as the list's own order of events
// must hold.
func (s *endpointSources) deliver(ctx context.Context, event endpointlist.Event) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	case <-s.done:
	}
}

// reload hands over a new discovery file; one that was not taken yet is out of date.
func (s *endpointSources) reload(file *config.Discovery) {
	select {
	case <-s.reloads:
	default:
	}
	s.reloads <- file
}

// run owns the endpoint set until ctx is done.
func (s *endpointSources) run(ctx context.Context, file *config.Discovery) {
	defer close(s.done)
	s.set, _ = endpointset.New(file.EndpointSet()) // checked with the file
	s.watch(ctx, file)
	defer s.endWatchers()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			s.set.UpdateList(s.clock.Now(), event.Snapshot, toListEntries(event.Endpoints))
		case update := <-s.lookups:
			s.takeLookup(update)
		case next := <-s.reloads:
			s.endWatchers()
			s.takeFile(next)
			s.watch(ctx, next)
		case <-timer.C:
		}
		timer.Reset(s.advance(s.clock.Now()))
	}
}

// advance does what is due in the set, applies its changes, and returns when to be called next.
func (s *endpointSources) advance(now int64) time.Duration {
	s.set.Advance(now, s.pools.Busy)
	if view, changed := s.set.View(now); changed {
		s.counters.Add(telemetry.DNSChanges)
		s.pools.Apply(toListEvent(view), updateEndpoints(s.dispatcher))
		s.log.Info().Str("pools", endpointset.Describe(view)).Msg("pool set") // when it is applied, as tests rely on
	}
	counts := s.set.Counts()
	s.counters.AddN(telemetry.PoolsConflicting, int64(counts.Conflicts-s.counted.Conflicts))
	s.counters.AddN(telemetry.PoolsExpired, int64(counts.Expired-s.counted.Expired))
	s.counted = counts
	wait := idleWait
	if next := s.set.Next(); next > 0 {
		wait = time.Duration(max(next-now, 1)) * time.Microsecond
	}
	if s.set.Draining() {
		wait = min(wait, drainPollInterval)
	}
	return wait
}

// watch starts a watcher for each name of the file.
func (s *endpointSources) watch(ctx context.Context, file *config.Discovery) {
	ctx, s.stopWatchers = context.WithCancel(ctx)
	resolver := &srv.Resolver{Server: file.Server, Timeout: file.Timeout}
	for _, name := range file.Names {
		s.set.AddName(name.SRV, name.Group, name.Zone)
		s.watchers.Go(func() {
			srv.Watch(ctx, resolver, file.Schedule(), name.SRV, s.clock.Now, s.seed, s.lookups)
		})
	}
}

// endWatchers ends the watchers and waits for them.
func (s *endpointSources) endWatchers() {
	s.stopWatchers()
	s.watchers.Wait()
}

// takeFile takes over a new discovery file. Names that are no longer in it are removed, with their pools, at once;
// those that stay keep their records until their watchers, started again, look them up.
func (s *endpointSources) takeFile(file *config.Discovery) {
	listed := map[string]bool{}
	for _, name := range file.Names {
		listed[name.SRV] = true
	}
	for _, name := range s.set.Names() {
		if !listed[name] {
			s.set.RemoveName(name)
		}
	}
	_ = s.set.SetConfig(file.EndpointSet()) // checked with the file
}

// takeLookup applies the outcome of one look-up.
func (s *endpointSources) takeLookup(update srv.Update) {
	s.counters.AddN(telemetry.DNSQueries, int64(update.Answer.Queries))
	s.counters.AddN(telemetry.DNSTruncated, int64(update.Answer.Truncated))
	if update.Err != nil {
		s.counters.Add(telemetry.DNSFailures)
		if errors.Is(update.Err, srv.ErrBadAnswer) {
			s.counters.Add(telemetry.DNSBadAnswers)
		}
		s.log.Warn().Err(update.Err).Str("name", update.Name).Msg("dns lookup failed, last good records kept")
		return
	}
	s.set.UpdateRecords(update.At, update.Name, update.Answer.Records)
}

func toListEntries(endpoints []endpointlist.Endpoint) []endpointset.ListEntry {
	entries := make([]endpointset.ListEntry, len(endpoints))
	for i, endpoint := range endpoints {
		entries[i] = endpointset.ListEntry{
			UID:       endpoint.UID,
			Address:   endpoint.Address,
			Group:     endpoint.Group,
			Zone:      endpoint.Zone,
			StartedAt: endpoint.StartedAt,
			State:     endpointset.State(endpoint.State),
		}
	}
	return entries
}

func toListEvent(view []endpointset.Endpoint) endpointlist.Event {
	event := endpointlist.Event{Snapshot: true, Endpoints: make([]endpointlist.Endpoint, len(view))}
	for i, endpoint := range view {
		event.Endpoints[i] = endpointlist.Endpoint{
			UID:       endpoint.UID,
			Address:   endpoint.Address,
			Group:     endpoint.Group,
			Zone:      endpoint.Zone,
			StartedAt: endpoint.StartedAt,
			State:     endpointlist.State(endpoint.State),
		}
	}
	return event
}
