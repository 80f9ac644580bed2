package daemon

import (
	"context"
	"net"

	"eidertrail/internal/config"
	"eidertrail/internal/frontend/control"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

const (
	// maxControlConnections bounds the operators' connections, and controlDivisor is the part of limits.sockets, one in so
	// many, that they may have.
	maxControlConnections = 32
	minControlConnections = 4
	controlDivisor        = 16
)

// controlConnections is how many connections the address for operators has, 0 where there is none.
func controlConnections(cfg *config.Config) int {
	if cfg.Control == "" {
		return 0
	}
	return max(minControlConnections, min(maxControlConnections, cfg.Sockets/controlDivisor))
}

// openControl opens the address for operators and serves it.
func (d *Daemon) openControl(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", d.cfg.Control)
	if err != nil {
		return config.WrapError(config.PlatformFile, "control", err)
	}
	d.addresses["control"] = listener.Addr().String()
	d.log.Info().Str("address", d.addresses["control"]).Str("field", "control").Msg("listening")
	server := control.New(listener, control.Config{
		Controller:     operators{d},
		MaxConnections: controlConnections(d.cfg),
		Log:            d.log,
	})
	d.goroutines.Go(func() {
		if err := server.Serve(); err != nil {
			d.peerLog.Warn().Err(err).Msg("http server ended")
		}
	})
	d.closers = append(d.closers, server.Close)
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
