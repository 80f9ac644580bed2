package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"eidertrail/internal/daemon"
)

// run starts the daemon and serves until a signal ends it.
func run(o options, logTo io.Writer) error {
	level := zerolog.InfoLevel
	if o.verbose {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(logTo).Level(level).With().Timestamp().Logger()

	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the calls
	signals := notifySignals()     // before anything is read: a SIGHUP that comes early must not end the start
	d, err := daemon.Start(context.Background(), o.files.FromEnvironment(), log)
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
