package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/frontend/health"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

const (
	// stayOpen is how long after SIGTERM set-ups may still come.
	stayOpen = 700 * time.Millisecond
	// killAfter and killDeadlineMost give when SIGKILL may come after SIGTERM: the longest deadline of the
	// classes, counted as killDeadlineMost where it is longer, plus killAfter (the platform's DEPLOY page).
	killAfter        = 700 * time.Millisecond
	killDeadlineMost = 3 * time.Second
	// drainMargin is how long before SIGKILL the last answer must be out.
	drainMargin = 400 * time.Millisecond
	// lastWords is how long the last lines may take to be written.
	lastWords = 200 * time.Millisecond
	// settle is how long at most the first connections to the pools are waited for before a test passes.
	settle = 2 * time.Second
	// mostCalls bounds the platform's calls open or standing at a time.
	mostCalls = 4096
	// mostExtra bounds the connections for health checks, and those that are turned away by the WebSocket front.
	mostExtra = 16
)

// daemon is a running session controller.
type daemon struct {
	log       zerolog.Logger
	count     *telemetry.Counters
	clock     *clock.Clock
	started   int64
	life      int64 // Unix µs of the start: another for each process
	dispatch  *dispatch.Dispatcher
	pools     *sippool.Pools
	desk      *dispatch.CallTable
	callers   *jsonlines.Server
	sockets   *websocket.Server // nil: off
	sources   *sources          // nil: the bulletin alone, straight to the pools
	fleet     *gossip.Runner    // nil: off
	word      *word             // nil: off
	listener  net.Listener
	env       environment
	cfg       *config.Config                  // as last read
	moves     chan endpointlist.AddressChange // holds the latest one that was not taken yet
	stopping  atomic.Bool
	stopLoop  context.CancelFunc
	stopPools context.CancelFunc
	wg        sync.WaitGroup
	broken    chan error        // the platform's listener
	closers   []func()          // of the second front, in order
	addresses map[string]string // where the second front listens, by field
}

// start makes a daemon and opens its listeners.
func start(ctx context.Context, env environment, log zerolog.Logger) (*daemon, error) {
	d := &daemon{
		log: log, count: &telemetry.Counters{}, clock: clock.New(), env: env, moves: make(chan endpointlist.AddressChange, 1),
		broken: make(chan error, 1), addresses: map[string]string{}, life: time.Now().UnixMicro(),
	}
	cfg, err := env.load(d.clock)
	if err != nil {
		return nil, err
	}
	d.cfg = cfg
	f, err := env.files(cfg)
	if err != nil {
		return nil, err
	}
	if f.second != nil && f.second.MaxConnections > cfg.Sockets/4 { // callers and pools need theirs
		return nil, fmt.Errorf("callcontrol: max_connections: want at most a quarter of limits.sockets, %d", cfg.Sockets/4)
	}
	limitMemory(cfg)
	names := 0
	if f.disc != nil {
		names = len(f.disc.Names)
	}
	callers, room := mostCallers(cfg, f.second, names)
	if room < leastPools {
		log.Warn().Int("sockets", cfg.Sockets).Int("callers", callers).Int("pools", room).Msg("few descriptors are left for pools")
	}

	// One bad peer must not fill the log: ten warnings a second.
	limited := log.Sample(&zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: 10, Period: time.Second}})
	if d.dispatch, err = dispatch.New(cfg.Settings, cfg.Seed, cfg.MaxRetryAfter, d.clock, log, d.count); err != nil {
		return nil, err
	}
	loop, stopLoop := context.WithCancel(ctx)
	pools, stopPools := context.WithCancel(ctx)
	d.stopLoop, d.stopPools = stopLoop, stopPools
	d.started = d.clock.Now()
	d.pools = sippool.New(pools, sippool.Config{
		Name: cfg.Name, ConnectTimeout: cfg.ConnectTimeout, ReportFree: cfg.ReportFree, ReportAgents: cfg.ReportAgents,
		Clock: d.clock, Log: limited, Counters: d.count, OnLoadReport: d.dispatch.Observe,
		OnUnmatchedRelease: func(id string, cause int) { d.desk.CallEnded(id, cause) }, ReportCapacity: f.fleet.Rate(), OnCapacity: d.dispatch.ObserveCapacity,
	})
	d.desk = dispatch.NewCallTable(dispatch.CallTableConfig{Dispatcher: d.dispatch, Inviter: d.pools, MaxCalls: mostCalls, UniqueIDs: true, Counters: d.count})
	d.callers = jsonlines.New(jsonlines.Config{
		Calls: d.desk, Clock: d.clock, MaxConnections: callers, Tenants: cfg.Tenants, Ready: d.ready,
		ReleaseUnmatched: d.pools.ReleaseUnmatched, Log: limited, Counters: d.count,
	})
	if d.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		stopLoop()
		stopPools()
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	if f.second != nil {
		err = d.openSecond(f.second, limited)
	}
	if err == nil && f.fleet != nil {
		err = d.join(loop, f.node, f.fleet, limited)
	}
	if err != nil {
		for _, c := range d.closers {
			c()
		}
		d.listener.Close()
		stopLoop()
		stopPools()
		return nil, err
	}
	if f.router != nil {
		d.dispatch.SetRouter(f.router)
	}
	d.wg.Go(func() { d.dispatch.Run(loop) })
	apply := func(e endpointlist.Event) {
		d.pools.Apply(e, func(lines []dispatch.Endpoint) { d.dispatch.UpdateEndpoints(lines, false) })
	}
	if f.disc != nil {
		d.sources = newSources(d.clock, d.pools, d.dispatch, limited, d.count, cfg.Seed)
		d.wg.Go(func() { d.sources.run(pools, f.disc) })
		apply = func(e endpointlist.Event) { d.sources.bulletin(pools, e) }
	}
	for _, e := range cfg.KnownEndpoints.Events {
		apply(e)
	}
	d.wg.Go(func() {
		endpointlist.Watch(pools, endpointlist.Config{
			Address:  cfg.EndpointList,
			Known:    cfg.KnownEndpoints,
			Changes:  d.moves,
			Clock:    d.clock,
			Log:      limited,
			Counters: d.count,
			Deliver:  apply,
		})
	})
	d.wg.Go(func() { d.broken <- d.callers.Serve(d.listener) })
	log.Info().Str("name", cfg.Name).Stringer("listen", d.listener.Addr()).Int("classes", len(cfg.Settings.Classes)).
		Int("memory_mb", cfg.MemoryMB).Int("sockets", cfg.Sockets).Bool("callcontrol", f.second != nil).Bool("discovery", f.disc != nil).Bool("routing", f.router != nil).
		Bool("cluster", f.fleet != nil).
		Strs("report_names", cfg.ReportNames).Str("report_free", cfg.ReportFree).Str("report_agents", cfg.ReportAgents).Msg("serving")
	return d, nil
}

// limitMemory leaves a quarter for stacks, the kernel's buffers and what the collector has yet to free.
func limitMemory(cfg *config.Config) { debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 4 * 3) }

// reload reads the configuration again, and takes over what can change while calls stand: where the
// bulletin is, what it has told, and the memory limit; of the second front's file who may connect. A
// file that makes no sense changes nothing: a session controller goes on with the one that it has.
func (d *daemon) reload() {
	cfg, err := d.env.load(d.clock)
	var second *config.CallControl
	if err == nil && d.sockets != nil {
		second, err = config.LoadCallControl(d.env.callControl)
	}
	var disc *config.Discovery
	if err == nil && d.sources != nil {
		disc, err = config.LoadDiscovery(d.env.discovery)
	}
	var router *routing.Router
	if err == nil && d.env.routing != "" {
		router, err = d.env.router(d.cfg)
	}
	if err != nil {
		d.count.Add(telemetry.BadReloads)
		d.log.Error().Err(err).Msg("new configuration not taken")
		return
	}
	d.count.Add(telemetry.Reloads)
	limitMemory(cfg)
	if second != nil {
		d.sockets.Admit(second.Origins, min(second.MaxConnections, d.cfg.Sockets/4))
	}
	select { // one that was not taken yet is out of date
	case <-d.moves:
	default:
	}
	d.moves <- endpointlist.AddressChange{Address: cfg.EndpointList, Known: cfg.KnownEndpoints}
	if disc != nil {
		d.sources.reload(disc)
	}
	if router != nil {
		d.dispatch.SetRouter(router)
	}
	if cfg.Listen != d.cfg.Listen || cfg.Name != d.cfg.Name || cfg.Sockets != d.cfg.Sockets || !reflect.DeepEqual(cfg.Settings, d.cfg.Settings) {
		d.log.Warn().Msg("name, listen, limits.sockets and settings change only at a restart")
	}
	d.log.Info().Str("bulletin", cfg.EndpointList).Int("memory_mb", cfg.MemoryMB).Int64("known", cfg.KnownEndpoints.Version).Msg("new configuration")
}

// openSecond opens the WebSocket front and what balancers ask. After an error its closers are to be called.
func (d *daemon) openSecond(c *config.CallControl, log zerolog.Logger) error {
	listen := func(field, address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("callcontrol: %s: %w", field, err)
		}
		d.addresses[field] = l.Addr().String()
		d.log.Info().Str("address", d.addresses[field]).Str("field", field).Msg("listening")
		return l, nil
	}
	serve := func(l net.Listener, most int, h http.Handler) {
		l = netutil.LimitListener(l, most)
		s := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
		d.wg.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.Warn().Err(err).Msg("http server ended")
			}
		})
		d.closers = append(d.closers, func() { s.Close() })
	}
	if c.Listen != "" {
		l, err := listen("listen", c.Listen)
		if err != nil {
			return err
		}
		d.sockets = websocket.New(websocket.Config{
			Dispatcher: d.dispatch, Inviter: d.pools, Ready: d.ready, Origins: c.Origins,
			MaxConnections: c.MaxConnections, Log: log, Counters: d.count,
		})
		mux := http.NewServeMux()
		mux.Handle("GET "+c.Path, d.sockets)
		serve(l, c.MaxConnections+mostExtra, mux)
	}
	if c.Health != "" {
		l, err := listen("health", c.Health)
		if err != nil {
			return err
		}
		serve(l, mostExtra, health.Handler(d.status, d.snapshot))
	}
	if c.AgentCheck != "" {
		l, err := listen("agent_check", c.AgentCheck)
		if err != nil {
			return err
		}
		d.wg.Go(func() { health.ServeAgent(l, d.status) })
		d.closers = append(d.closers, func() { l.Close() })
	}
	return nil
}

// ready tells whether a test passes: the pools that are up are connected, or were given time to.
func (d *daemon) ready() bool {
	if d.stopping.Load() {
		return false
	}
	connected, up := d.pools.Connected()
	return connected == up || d.clock.Now()-d.started > settle.Microseconds()
}

// status is what balancers are told.
func (d *daemon) status(ctx context.Context) health.Status {
	live := d.dispatch.Tick(ctx) == nil
	return health.Status{Live: live, Ready: d.ready(), Draining: d.stopping.Load(), RejectionRate: d.dispatch.RejectionRate()}
}

// snapshot is what GET /counters tells: the counters, and which start of the process they count from.
func (d *daemon) snapshot() any {
	return struct {
		Life int64 `json:"life"`
		telemetry.Snapshot
	}{d.life, d.count.Snapshot()}
}

// counters logs the counters.
func (d *daemon) counters() {
	open, standing := d.desk.PendingSetups(), d.desk.EstablishedCalls()
	if d.sockets != nil {
		open, standing = open+d.sockets.PendingSetups(), standing+d.sockets.EstablishedCalls()
	}
	connected, up := d.pools.Connected()
	if d.fleet != nil {
		for i, m := range d.fleet.Members() {
			line := d.log.Info().Int("member", i).Stringer("is", m.State).Uint64("incarnation", m.Incarnation).
				Int64("for_us", d.clock.Now()-m.Since).Int("health", d.fleet.Health())
			if d.word != nil {
				line = line.Str("region", d.word.Regions()[i])
			}
			line.Msg("member state")
		}
	}
	d.log.Info().EmbedObject(d.count).Int("open", open).Int("standing", standing).
		Int("pools_connected", connected).Int("pools_up", up).Msg("counters")
}

// signals are what the daemon is told from outside.
type signals struct{ term, print, hup chan os.Signal }

// serve runs until a signal on term, and then ends in order. Signals on print log the counters, those on
// hup have the configuration read again.
func (d *daemon) serve(s signals) error {
	for {
		select {
		case <-s.hup:
			d.reload()
			continue
		case <-s.print:
			d.counters()
			continue
		case err := <-d.broken:
			d.stop(0)
			return fmt.Errorf("listener: %w", errors.Join(err, net.ErrClosed))
		case sig := <-s.term:
			d.log.Info().Stringer("signal", sig).Int("open", d.desk.PendingSetups()).Int("standing", d.desk.EstablishedCalls()).Msg("stopping")
			d.stop(stayOpen)
			return nil
		}
	}
}

// drainWithin is how long after SIGTERM the last answer may take: before the earliest SIGKILL, which comes
// with the site's longest deadline (at most killDeadlineMost) plus killAfter. Guards against a site whose
// classes give up sooner than 3 s being killed with answers still owed. 3.3 s on both sites served today.
func drainWithin(classes []eidertrail.Class) time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, killDeadlineMost)+killAfter-drainMargin, stayOpen)
}

// stop ends the daemon: for a while set-ups may still come and are taken like any other; then no more
// connections are taken, what was taken is answered, and everything ends.
func (d *daemon) stop(stay time.Duration) {
	d.stopping.Store(true)
	drain, cancel := context.WithTimeout(context.Background(), drainWithin(d.cfg.Settings.Classes))
	defer cancel()
	var sockets sync.WaitGroup
	if d.sockets != nil {
		sockets.Go(func() { d.sockets.Shutdown(drain) })
	}
	time.Sleep(stay)
	d.callers.CatchUp()
	d.listener.Close()
	d.callers.Drain(drain)
	d.desk.AbortPending() // what has no final answer by now gets one
	last, cancelLast := context.WithTimeout(context.Background(), lastWords)
	defer cancelLast()
	d.callers.Drain(last)
	sockets.Wait()
	if d.fleet != nil {
		d.fleet.Leave()
	}
	d.stopLoop()
	d.stopPools()
	if d.sources != nil {
		<-d.sources.done // it hands the pools no more changes
	}
	d.desk.Close()
	d.callers.Close()
	for _, f := range d.closers {
		f()
	}
	d.pools.Wait()
	d.wg.Wait()
	if d.fleet != nil {
		d.fleet.Wait()
	}
	d.counters()
	d.log.Info().Msg("stopped")
}
