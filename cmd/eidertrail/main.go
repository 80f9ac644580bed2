// Command eidertrail is one real session controller of the platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/bulletin"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/front"
	"eidertrail/internal/pool"
	"eidertrail/internal/stats"
)

const (
	// stayOpen is how long after SIGTERM set-ups may still come.
	stayOpen = 700 * time.Millisecond
	// mostDrain is when after SIGTERM the last answer must be out: SIGKILL may come at 3.7 s.
	mostDrain = 3300 * time.Millisecond
	// settle is how long at most the first connections to the pools are waited for before a test passes.
	settle = 2 * time.Second
)

func main() {
	callControl := flag.String("callcontrol", "", "file that gives the addresses of the WebSocket front; none: off")
	verbose := flag.Bool("v", false, "log more")
	flag.Parse()
	level := zerolog.InfoLevel
	if *verbose {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if err := run(*callControl, log); err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail:", err)
		os.Exit(1)
	}
}

func run(callControl string, log zerolog.Logger) error {
	now := clock.New()
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return fmt.Errorf("config: RELAY_CONFIG: not set")
	}
	cfg, err := config.Load(path, now)
	if err != nil {
		return err
	}
	if listen := os.Getenv("RELAY_LISTEN"); listen != "" {
		cfg.Listen = listen
	}
	// Three quarters leave room for stacks, the kernel's buffers and what the collector has yet to free.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 4 * 3)

	term := make(chan os.Signal, 2)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	print := make(chan os.Signal, 1)
	signal.Notify(print, syscall.SIGUSR1)
	defer signal.Stop(term)
	defer signal.Stop(print)

	count := &stats.Set{}
	// One bad peer must not fill the log: ten warnings a second.
	limited := log.Sample(&zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: 10, Period: time.Second}})
	d, err := dispatch.New(cfg.Settings, cfg.Seed, cfg.MaxRetryAfter, now, log, count)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	var callers *front.Front
	pools := pool.NewSet(ctx, pool.Config{
		Name: cfg.Name, ConnectTimeout: cfg.ConnectTimeout, ReportFree: cfg.ReportFree, ReportAgents: cfg.ReportAgents,
		Clock: now, Log: limited, Count: count, Observe: d.Observe,
		Stray: func(id string, cause int) { callers.Release(id, cause) },
	})
	start := now.Now()
	ready := func() bool {
		connected, up := pools.Connected()
		return connected == up || now.Now()-start > settle.Microseconds()
	}
	callers = front.New(front.Config{
		Dispatch: d, Trunk: pools, Classes: cfg.Classes, MostConnections: cfg.Sockets / 2,
		Ready: ready, ReleaseStray: pools.ReleaseStray, Log: limited, Count: count,
	})
	apply := func(e bulletin.Event) {
		pools.Apply(e, func(lines []dispatch.Server) { d.Roster(lines, false) })
	}

	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	loop := make(chan struct{})
	go func() {
		defer close(loop)
		d.Run(ctx)
	}()
	for _, e := range cfg.Known.Items {
		apply(e)
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if cfg.Bulletin != "" {
			bulletin.Watch(ctx, cfg.Bulletin, cfg.Known.No, now, limited, count, apply)
		}
	}()
	served := make(chan error, 1)
	go func() { served <- callers.Serve(listener) }()
	log.Info().Str("name", cfg.Name).Str("listen", cfg.Listen).Int("classes", len(cfg.Classes)).Msg("serving")

	for {
		select {
		case <-print:
			log.Info().EmbedObject(count).Int("open", callers.Open()).Int("standing", pools.Standing()).Msg("counters")
			continue
		case err := <-served:
			if err != nil {
				return err
			}
		case s := <-term:
			log.Info().Stringer("signal", s).Int("open", callers.Open()).Int("standing", pools.Standing()).Msg("stopping")
		}
		break
	}
	time.Sleep(stayOpen) // set-ups may still come: they are taken and answered like any other
	listener.Close()
	drain, cancel := context.WithTimeout(ctx, mostDrain-stayOpen)
	callers.Drain(drain)
	cancel()
	stop()
	<-loop
	drain, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
	callers.Drain(drain) // what the loop's end turned away
	cancel()
	callers.Close()
	pools.Wait()
	<-watched
	log.Info().EmbedObject(count).Msg("counters")
	log.Info().Msg("stopped")
	return nil
}
