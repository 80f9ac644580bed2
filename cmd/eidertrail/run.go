package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"eidertrail/internal/asynclog"
	"eidertrail/internal/daemon"
	"eidertrail/internal/handover/runner"
)

// logTimeFormat is RFC 3339 with milliseconds: lines are compared with those of callers and pools.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// run starts the daemon and serves until a signal ends it.
func run(opts options, logTo io.Writer) error {
	level := zerolog.InfoLevel
	if opts.verbose {
		level = zerolog.DebugLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	lines := asynclog.New(logTo)
	defer lines.Close()
	log := zerolog.New(lines).Level(level).With().Timestamp().Logger()

	// A log that nobody reads any more, or a file that cannot grow, must not end the calls.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	signals := notifySignals() // before anything is read: a SIGHUP that comes early must not end the start
	starting, started := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer started()
	d, err := daemon.Start(starting, opts.files.FromEnvironment(), log)
	if errors.Is(err, runner.ErrStopped) {
		log.Info().Msg("stopped before it could serve")
		return nil
	}
	if err != nil {
		return err
	}
	return d.Serve(signals)
}

// notifySignals has the process's signals sent to the daemon. A second one to stop is kept without being waited for.
func notifySignals() daemon.Signals {
	signals := daemon.Signals{
		Terminate:   make(chan os.Signal, 2),
		LogCounters: make(chan os.Signal, 1),
		Reload:      make(chan os.Signal, 1),
	}
	signal.Notify(signals.Terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals.LogCounters, syscall.SIGUSR1)
	signal.Notify(signals.Reload, syscall.SIGHUP)
	return signals
}
