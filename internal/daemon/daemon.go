package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

const (
	// maxCalls bounds the platform's calls that are set up or established at a time.
	maxCalls = 4096
	// maxWarningsPerSecond bounds the warnings about one peer or another, so that a bad one cannot fill the log.
	maxWarningsPerSecond = 10
	// maxInfosPerSecond bounds the lines about connections that were closed and set-ups that were not answered.
	maxInfosPerSecond = 100
	// callControlDivisor is the part of limits.sockets, one in so many, that call control's connections may have:
	// callers and pools need theirs.
	callControlDivisor = 4
	// memoryLimitQuarters of four quarters are the Go runtime's limit: the rest is for stacks, the kernel's buffers and
	// what the collector has yet to free.
	memoryLimitQuarters, memoryQuarters = 3, 4
	bytesPerMBShift                     = 20
)

// Daemon is a running session controller.
type Daemon struct {
	log         zerolog.Logger
	peerLog     zerolog.Logger // for what peers cause: its warnings are bounded
	counters    *telemetry.Counters
	clock       *clock.Clock
	started     int64 // by clock
	incarnation int64 // Unix µs of the start: another for each process
	options     Options
	cfg         *config.Config // as it was at the start

	dispatcher *dispatch.Dispatcher
	pools      *sippool.Pools
	calls      *dispatch.CallTable
	callers    *jsonlines.Server
	sockets    *websocket.Server // nil: off
	sources    *endpointSources  // nil: the endpoint list alone, straight to the pools
	fleet      *gossip.Runner    // nil: off
	regions    *regionTable      // nil: off

	listener       net.Listener // the platform's callers
	listenerFailed chan error
	addresses      map[string]string               // where call control listens, by field
	closers        []func()                        // of call control's listeners, in order
	addressChanges chan endpointlist.AddressChange // holds the latest one that was not taken yet
	lifecycle      *lifecycle.Lifecycle
	drains         chan struct{} // holds one while a drain was called for and is not seen to yet

	stopLoop   context.CancelFunc // ends the dispatcher and the fleet's gossip
	stopPools  context.CancelFunc // ends the pools and the sources of endpoints
	goroutines sync.WaitGroup
}

// Start reads the files, and builds, opens and starts a daemon. Its parts depend on each other in this order:
//
//  1. The files are read and checked before anything is made: what is wrong with them must end a start without a trace.
//  2. build makes the parts from the core outwards: the dispatcher, the pools that report to it, the table of calls
//     that are placed at them, the callers' server that fills the table.
//  3. open opens the listeners and joins the fleet, which can fail. No call is decided yet: callers' connections wait
//     in the listener's queue, and what call control receives waits for the dispatcher. Quotas and the router are set
//     before the first decision.
//  4. run starts the dispatcher, then the endpoint sources, which tell it where calls may go, and at last the callers'
//     server.
func Start(ctx context.Context, options Options, log zerolog.Logger) (*Daemon, error) {
	daemon := newDaemon(options, log)
	var err error
	if daemon.cfg, err = options.readConfig(daemon.clock); err != nil {
		return nil, err
	}
	files, err := options.readOperatorFiles(daemon.cfg)
	if err != nil {
		return nil, err
	}
	if files.callControl != nil && files.callControl.MaxConnections > daemon.cfg.Sockets/callControlDivisor {
		return nil, &config.FieldError{
			File: config.CallControlFile, Field: "max_connections",
			Reason: fmt.Sprintf("want at most a quarter of limits.sockets, %d", daemon.cfg.Sockets/callControlDivisor),
		}
	}
	loop, stopLoop := context.WithCancel(ctx)
	pools, stopPools := context.WithCancel(ctx)
	daemon.stopLoop, daemon.stopPools = stopLoop, stopPools
	if err = daemon.build(pools, files); err == nil {
		err = daemon.open(loop, files)
	}
	if err != nil {
		daemon.abandon()
		return nil, err
	}
	daemon.run(loop, pools, files)
	daemon.logUnknown(daemon.cfg)
	daemon.logServing(files)
	return daemon, nil
}

func newDaemon(options Options, log zerolog.Logger) *Daemon {
	daemon := &Daemon{
		log: log,
		peerLog: log.Sample(&zerolog.LevelSampler{
			InfoSampler: &zerolog.BurstSampler{Burst: maxInfosPerSecond, Period: time.Second},
			WarnSampler: &zerolog.BurstSampler{Burst: maxWarningsPerSecond, Period: time.Second},
		}),
		counters:       &telemetry.Counters{},
		clock:          clock.New(),
		incarnation:    time.Now().UnixMicro(),
		options:        options,
		listenerFailed: make(chan error, 1),
		addresses:      map[string]string{},
		addressChanges: make(chan endpointlist.AddressChange, 1),
		drains:         make(chan struct{}, 1),
	}
	daemon.lifecycle = lifecycle.New(daemon.clock.Now(), daemon.stateChanged)
	return daemon
}

// build makes the parts that every daemon has; the pools end with their context. It opens nothing and starts nothing.
func (d *Daemon) build(pools context.Context, files *operatorFiles) error {
	limitMemory(d.cfg)
	limits := d.divideDescriptors(files)
	var err error
	d.dispatcher, err = dispatch.New(d.cfg.Settings, d.cfg.Seed, d.cfg.MaxRetryAfter, d.clock, d.log, d.counters)
	if err != nil {
		return err
	}
	d.counters.SetClasses(d.cfg.Classes)
	d.dispatcher.LogAttempts(d.peerLog)
	d.started = d.clock.Now()
	d.pools = sippool.New(pools, sippool.Config{
		Name:               d.cfg.Name,
		ConnectTimeout:     d.cfg.ConnectTimeout,
		ReportFree:         d.cfg.ReportFree,
		ReportAgents:       d.cfg.ReportAgents,
		Clock:              d.clock,
		Log:                d.peerLog,
		Counters:           d.counters,
		OnLoadReport:       d.dispatcher.Observe,
		OnUnmatchedRelease: func(id string, cause int) { d.calls.CallEnded(id, cause) },
		ReportCapacity:     files.cluster.Rate(),
		OnCapacity:         d.dispatcher.ObserveCapacity,
	})
	d.calls = dispatch.NewCallTable(dispatch.CallTableConfig{
		Dispatcher: d.dispatcher,
		Inviter:    d.pools,
		MaxCalls:   maxCalls,
		UniqueIDs:  true,
		Draining:   d.rejectsSetups,
		Log:        d.peerLog,
		Counters:   d.counters,
	})
	d.callers = jsonlines.New(jsonlines.Config{
		Calls:            d.calls,
		Clock:            d.clock,
		MaxConnections:   limits.callers,
		Tenants:          d.cfg.Tenants,
		RetryAfter:       d.cfg.RetryAfter,
		Lifecycle:        d.lifecycle,
		Ready:            d.ready,
		ReleaseUnmatched: d.pools.ReleaseUnmatched,
		Log:              d.peerLog,
		Counters:         d.counters,
	})
	return nil
}

// divideDescriptors divides limits.sockets, and warns where little is left for pools.
func (d *Daemon) divideDescriptors(files *operatorFiles) connectionLimits {
	srvNames := 0
	if files.discovery != nil {
		srvNames = len(files.discovery.Names)
	}
	limits := divideDescriptors(d.cfg, files.callControl, srvNames)
	if limits.pools < minPoolConnections {
		d.log.Warn().Int("sockets", d.cfg.Sockets).Int("callers", limits.callers).Int("pools", limits.pools).
			Msg("few descriptors left for pools")
	}
	return limits
}

// open opens the listeners and joins the fleet, whose gossip ends with loop.
func (d *Daemon) open(loop context.Context, files *operatorFiles) error {
	var err error
	if d.listener, err = (&net.ListenConfig{}).Listen(loop, "tcp", d.cfg.Listen); err != nil {
		return config.WrapError(config.PlatformFile, "listen", err)
	}
	if d.cfg.Control != "" {
		if err := d.openControl(loop); err != nil {
			return err
		}
	}
	if files.callControl != nil {
		if err := d.openCallControl(loop, files.callControl); err != nil {
			return err
		}
	}
	if files.cluster != nil {
		if err := d.joinFleet(loop, files.node, files.cluster); err != nil {
			return err
		}
	}
	return nil
}

// abandon gives up what build and open have made until one of them failed.
func (d *Daemon) abandon() {
	for _, closeListener := range d.closers {
		closeListener()
	}
	if d.listener != nil {
		d.listener.Close()
	}
	d.stopLoop()
	d.stopPools()
}

// run starts the goroutines. The dispatcher runs first, as the others wait for its answers.
func (d *Daemon) run(loop, pools context.Context, files *operatorFiles) {
	if files.router != nil {
		d.dispatcher.SetRouter(files.router)
	}
	d.goroutines.Go(func() { d.dispatcher.Run(loop) })
	d.startSources(pools, files.discovery)
	d.goroutines.Go(func() { d.drainClients(pools) })
	d.goroutines.Go(func() { d.listenerFailed <- d.callers.Serve(d.listener) })
}

// logUnknown names the keys of the configuration and the platform's variables that this program does not know: they may
// ask for what it does not do.
func (d *Daemon) logUnknown(cfg *config.Config) {
	if len(cfg.UnknownKeys) > 0 {
		d.log.Warn().Strs("keys", cfg.UnknownKeys).Msg("configuration keys not known")
	}
	if variables := config.UnknownVariables(); len(variables) > 0 {
		d.log.Warn().Strs("variables", variables).Msg("environment variables not known")
	}
}

func (d *Daemon) logServing(files *operatorFiles) {
	d.log.Info().Str("name", d.cfg.Name).Stringer("listen", d.listener.Addr()).
		Int("classes", len(d.cfg.Settings.Classes)).Int("memory_mb", d.cfg.MemoryMB).Int("sockets", d.cfg.Sockets).
		Bool("callcontrol", files.callControl != nil).Bool("discovery", files.discovery != nil).
		Bool("routing", files.router != nil).Bool("cluster", files.cluster != nil).
		Strs("report_names", d.cfg.ReportNames).Str("report_free", d.cfg.ReportFree).
		Str("report_agents", d.cfg.ReportAgents).Msg("serving")
}

// limitMemory sets the Go runtime's limit by limits.memory_mb.
func limitMemory(cfg *config.Config) {
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << bytesPerMBShift / memoryQuarters * memoryLimitQuarters)
}
