package daemon

import (
	"context"
	"errors"

	"eidertrail/internal/config"
	"eidertrail/internal/frontend/control"
	"eidertrail/internal/handover/runner"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/listener"
	"eidertrail/internal/telemetry"
)

const (
	// maxControlConnections bounds the operators' connections, and controlDivisor is the part of limits.sockets, one in so
	// many, that they may have.
	maxControlConnections = 32
	minControlConnections = 4
	controlDivisor        = 16
)

// controlConnections is how many connections the address for operators has.
func controlConnections(available limits) int {
	return max(minControlConnections, min(maxControlConnections, available.sockets/controlDivisor))
}

// openControl opens the address for operators, if there is one, and answers them. An address that is taken is waited
// for, as the process that has it may be about to end.
func (d *Daemon) openControl(ctx context.Context) error {
	if d.cfg.Control == "" {
		return nil
	}
	opened, err := listener.Await(ctx, d.cfg.Control, d.options.OpenTimeout, d.log.With().Str("field", "control").Logger())
	if errors.Is(err, context.Canceled) {
		return runner.ErrStopped
	}
	if err != nil {
		return config.WrapError(config.PlatformFile, "control", err)
	}
	d.addresses["control"] = opened.Addr().String()
	d.log.Info().Str("address", d.addresses["control"]).Str("field", "control").Msg("listening")
	d.control = control.New(opened, control.Config{
		Controller: operators{d},
		// Half, until it is known whether another process runs.
		MaxConnections: controlConnections(d.limits(runner.View{Halved: true})),
		Log:            d.log,
	})
	d.goroutines.Go(func() {
		if err := d.control.Serve(); err != nil {
			d.peerLog.Warn().Err(err).Msg("http server ended")
		}
	})
	d.closers = append(d.closers, d.control.Close)
	return nil
}

// operators are the operators' calls to a daemon. They implement control.Controller.
type operators struct{ daemon *Daemon }

// Ready implements control.Controller.
func (o operators) Ready() (ready bool, state string) {
	current := o.daemon.state()
	return current == lifecycle.Serving, current.String()
}

// Drain implements control.Controller.
func (o operators) Drain() error { return o.daemon.lifecycle.Drain(o.daemon.clock.Now()) }

// Resume implements control.Controller.
func (o operators) Resume() error { return o.daemon.lifecycle.Resume(o.daemon.clock.Now()) }

// Figures implements control.Controller.
func (o operators) Figures() control.Figures {
	daemon := o.daemon
	if !daemon.built.Load() {
		return control.Figures{Outcomes: daemon.counters.ClassOutcomes()}
	}
	figures := control.Figures{
		Outcomes: daemon.counters.ClassOutcomes(),
		Sends:    daemon.counters.Get(telemetry.InvitesWritten),
		Current:  daemon.pendingSetups() + daemon.establishedCalls(),
	}
	for _, pool := range daemon.pools.Listed() {
		figures.ClusterSize++
		if !pool.Reachable || daemon.dispatcher.Avoids(pool.UID) {
			figures.ClusterUnhealthy++
		}
	}
	return figures
}
