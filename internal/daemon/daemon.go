package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/frontend/control"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/handover/runner"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/listener"
	"eidertrail/internal/telemetry"
)

const (
	// maxCalls bounds the platform's calls that are set up or established at a time.
	maxCalls = 4096
	// maxWarningsPerSecond bounds the warnings about one peer or another, so that a bad one cannot fill the log.
	maxWarningsPerSecond = 10
	// maxInfosPerSecond bounds the lines about connections that were closed and set-ups that were not answered.
	maxInfosPerSecond = 100
	// maxEndLinesPerSecond bounds the lines about ends of calls that wait: beside a crowd, whose connections use up those
	// of maxInfosPerSecond, they tell whether callers get them.
	maxEndLinesPerSecond = 20
	// callControlDivisor is the part of limits.sockets, one in so many, that call control's connections may have:
	// callers and pools need theirs.
	callControlDivisor = 4
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
	member     membership

	handover       *runner.Runner
	listener       *listener.Acceptor              // the platform's callers
	control        *control.Server                 // nil: off
	files          *operatorFiles                  // as they were at the start
	built          atomic.Bool                     // the above are there
	servingLogged  atomic.Bool                     // that calls are taken
	listRead       atomic.Bool                     // the endpoint list has answered
	memoryMB       atomic.Int64                    // limits.memory_mb of the configuration as it is now
	webSockets     atomic.Int64                    // max_connections of the call control file as it is now
	addresses      map[string]string               // where operators' addresses and call control listen, by field
	closers        []func()                        // of call control's listeners, in order
	addressChanges chan endpointlist.AddressChange // holds the latest one that was not taken yet
	lifecycle      *lifecycle.Lifecycle
	drains         chan struct{} // holds one while a drain was called for and is not seen to yet

	loop       context.Context    //nolint:containedctx // of the dispatcher, for what begins after the start
	stopLoop   context.CancelFunc // ends the dispatcher
	stopPools  context.CancelFunc // ends the pools and the sources of endpoints
	goroutines sync.WaitGroup
}

// Start reads the files, and builds, opens and starts a daemon. Its parts depend on each other in this order:
//
//  1. The files are read and checked before anything is made: what is wrong with them must end a start without a trace.
//  2. The address for operators is opened: they are answered from then on.
//  3. The listeners are opened, or another process of this controller has agreed that this one takes its place. No
//     call is decided yet: callers' connections wait in the listener's queue.
//  4. build makes the parts from the core outwards: the dispatcher, the pools that report to it, the table of calls
//     that are placed at them, the callers' server that fills the table.
//  5. run starts the dispatcher, then the endpoint sources, which tell it where calls may go, and at last the callers'
//     server. Where another process serves still, connections are accepted only once this one is prepared.
//
// Start returns runner.ErrStopped when ctx is done before the third step is.
func Start(ctx context.Context, options Options, log zerolog.Logger) (*Daemon, error) {
	daemon := newDaemon(options, log)
	var err error
	if daemon.cfg, err = options.readConfig(daemon.clock); err != nil {
		return nil, err
	}
	if daemon.files, err = options.readOperatorFiles(daemon.cfg); err != nil {
		return nil, err
	}
	daemon.memoryMB.Store(int64(daemon.cfg.MemoryMB))
	callControl := daemon.files.callControl
	if callControl != nil && callControl.MaxConnections > daemon.cfg.Sockets/callControlDivisor {
		return nil, &config.FieldError{
			File: config.CallControlFile, Field: "max_connections",
			Reason: fmt.Sprintf("want at most a quarter of limits.sockets, %d", daemon.cfg.Sockets/callControlDivisor),
		}
	}
	if err := daemon.openControl(ctx); err != nil {
		return nil, err
	}
	daemon.handover = runner.New(daemon.handoverConfig())
	if err := daemon.handover.Join(ctx); err != nil {
		daemon.closeAll()
		return nil, err
	}
	// From here on the daemon ends with its own stop, not with the start's context.
	loop, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	pools, stopPools := context.WithCancel(context.WithoutCancel(ctx))
	daemon.loop, daemon.stopLoop, daemon.stopPools = loop, stopLoop, stopPools
	if err := daemon.build(pools); err != nil {
		daemon.abandon()
		return nil, err
	}
	if daemon.files.cluster != nil && daemon.handover.View().Accepting {
		if err := daemon.awaitFleet(ctx); err != nil { // before the first decision, as it has the quotas
			daemon.abandon()
			return nil, err
		}
	}
	daemon.serveCallControl()
	daemon.run(loop, pools)
	daemon.logUnknown(daemon.cfg)
	daemon.handover.Start(replaceable{daemon})
	return daemon, nil
}

func newDaemon(options Options, log zerolog.Logger) *Daemon {
	daemon := &Daemon{
		log:            log,
		peerLog:        sampled(log, maxInfosPerSecond, maxWarningsPerSecond),
		counters:       &telemetry.Counters{},
		clock:          clock.New(),
		incarnation:    time.Now().UnixMicro(),
		options:        options,
		addresses:      map[string]string{},
		addressChanges: make(chan endpointlist.AddressChange, 1),
		drains:         make(chan struct{}, 1),
	}
	daemon.lifecycle = lifecycle.New(daemon.clock.Now(), daemon.stateChanged)
	return daemon
}

// sampled returns a log that takes so many infos, and so many warnings, a second.
func sampled(log zerolog.Logger, infos, warnings uint32) zerolog.Logger {
	return log.Sample(&zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{Burst: infos, Period: time.Second},
		WarnSampler: &zerolog.BurstSampler{Burst: warnings, Period: time.Second},
	})
}

// build makes the parts that every daemon has; the pools end with their context. It starts nothing.
func (d *Daemon) build(pools context.Context) error {
	files := d.files
	available := d.limits(d.handover.View())
	limitMemory(available)
	limits := d.divideDescriptors(available)
	var err error
	d.dispatcher, err = dispatch.New(d.cfg.Settings, d.cfg.Seed, d.cfg.MaxRetryAfter, d.clock, d.log, d.counters)
	if err != nil {
		return err
	}
	d.counters.SetClasses(d.cfg.Classes)
	if d.handover.View().Halved {
		d.dispatcher.SetProcesses(processesPerController)
	}
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
		MaxCalls:   available.calls,
		UniqueIDs:  true,
		RelayEnd:   d.handover.Relay,
		AnnounceID: d.handover.AnnounceCallID,
		Draining:   d.rejectsSetups,
		Log:        d.peerLog,
		EndLog:     sampled(d.log, maxEndLinesPerSecond, maxEndLinesPerSecond),
		Counters:   d.counters,
	})
	d.listener = d.handover.Acceptor(callersField)
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

// divideDescriptors divides the descriptors, and warns where little is left for pools.
func (d *Daemon) divideDescriptors(available limits) connectionLimits {
	srvNames := 0
	if d.files.discovery != nil {
		srvNames = len(d.files.discovery.Names)
	}
	divided := divideDescriptors(d.cfg, available, d.files.callControl, srvNames)
	if divided.pools < minPoolConnections && !available.halved {
		d.log.Warn().Int("sockets", available.sockets).Int("callers", divided.callers).Int("pools", divided.pools).
			Msg("few descriptors left for pools")
	}
	return divided
}

// abandon gives up what was made until build failed.
func (d *Daemon) abandon() {
	d.closeAll()
	d.handover.Close()
	d.stopLoop()
	d.stopPools()
}

// closeAll closes what operators and call control use.
func (d *Daemon) closeAll() {
	for _, closeListener := range d.closers {
		closeListener()
	}
}

// run starts the goroutines. The dispatcher runs first, as the others wait for its answers.
func (d *Daemon) run(loop, pools context.Context) {
	if d.files.router != nil {
		d.dispatcher.SetRouter(d.files.router)
	}
	d.goroutines.Go(func() { d.dispatcher.Run(loop) })
	d.startSources(pools, d.files.discovery)
	d.goroutines.Go(func() { d.drainClients(pools) })
	d.goroutines.Go(func() { _ = d.callers.Serve(d.listener) }) // until its listener is closed
	d.built.Store(true)
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

func (d *Daemon) logServing() {
	files := d.files
	d.log.Info().Str("name", d.cfg.Name).Stringer("listen", d.listener.Addr()).
		Int("classes", len(d.cfg.Settings.Classes)).Int("memory_mb", d.cfg.MemoryMB).Int("sockets", d.cfg.Sockets).
		Bool("callcontrol", files.callControl != nil).Bool("discovery", files.discovery != nil).
		Bool("routing", files.router != nil).Bool("cluster", files.cluster != nil).
		Strs("report_names", d.cfg.ReportNames).Str("report_free", d.cfg.ReportFree).
		Str("report_agents", d.cfg.ReportAgents).Msg("serving")
}
