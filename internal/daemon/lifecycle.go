package daemon

import (
	"context"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
)

// state is the controller's state now. A controller that starts serves once the pools that are up are connected, or
// were given time to.
func (d *Daemon) state() lifecycle.State {
	if d.lifecycle.State() == lifecycle.Starting && d.poolsConnected() {
		d.lifecycle.Serve(d.clock.Now())
	}
	return d.lifecycle.State()
}

func (d *Daemon) poolsConnected() bool {
	connected, up := d.pools.Connected()
	return connected == up || d.clock.Now()-d.started > maxConnectWait.Microseconds()
}

// ready reports whether a readiness check passes.
func (d *Daemon) ready() bool { return d.state() == lifecycle.Serving }

// stateChanged logs a change of the state, and wakes whoever sends clients away.
func (d *Daemon) stateChanged(change lifecycle.Change) {
	d.log.Info().Stringer("from", change.From).Stringer("to", change.To).Stringer("by", change.Transition).
		Msg("state changed")
	if change.To != lifecycle.LameDuck {
		return
	}
	select {
	case d.drains <- struct{}{}:
	default: // the one before was not taken yet
	}
}

// drainClients closes clients' connections during each drain that an operator calls for, until ctx is done.
func (d *Daemon) drainClients(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.drains:
		}
		if d.sockets != nil {
			d.goroutines.Go(func() { d.sockets.DrainConnections(ctx) })
		}
		d.callers.DrainConnections(ctx)
	}
}

// rejectsSetups reports whether the drain that an operator called for is so old that set-ups are rejected.
func (d *Daemon) rejectsSetups() bool { return d.lifecycle.Status().RejectsSetups(d.clock.Now()) }

// drainedQuotas are the fleet's quotas without a demand while the controller sends its clients away: what it borrowed
// goes back to the other members.
type drainedQuotas struct {
	dispatch.QuotaSource
	lifecycle *lifecycle.Lifecycle
}

// Demand implements dispatch.QuotaSource.
func (q drainedQuotas) Demand(now int64, pool string, units int) {
	if q.lifecycle.Status().Draining() {
		units = 0
	}
	q.QuotaSource.Demand(now, pool, units)
}
