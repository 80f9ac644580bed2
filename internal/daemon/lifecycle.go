package daemon

import (
	"context"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
)

// state is the process's state now. One that starts serves once it is prepared and accepts connections.
func (d *Daemon) state() lifecycle.State {
	if !d.built.Load() {
		return d.lifecycle.State()
	}
	if d.lifecycle.State() == lifecycle.Starting && d.handover.View().Accepting && d.prepared() {
		d.lifecycle.Serve(d.clock.Now())
	}
	return d.lifecycle.State()
}

// prepared reports whether the pools that are up are connected and, where another process is replaced, the endpoint
// list is read, or both were given time to.
func (d *Daemon) prepared() bool {
	if d.clock.Now()-d.started > maxConnectWait.Microseconds() {
		return true
	}
	connected, up := d.pools.Connected()
	listRead := d.listRead.Load() || d.cfg.EndpointList == "" || !d.handover.View().Successor
	return connected == up && listRead
}

// ready reports whether a readiness check of callers passes. Two processes are one controller: where another one serves
// in this one's place, the answer on a connection that is left here is yes.
func (d *Daemon) ready() bool {
	return d.state() == lifecycle.Serving || d.handover.View().SuccessorServes
}

// stateChanged logs a change of the state, and wakes whoever sends clients away.
func (d *Daemon) stateChanged(change lifecycle.Change) {
	d.log.Info().Stringer("from", change.From).Stringer("to", change.To).Stringer("by", change.Transition).
		Msg("state changed")
	if change.To != lifecycle.LameDuck && change.To != lifecycle.Replaced {
		return
	}
	select {
	case d.drains <- struct{}{}:
	default: // the one before was not taken yet
	}
}

// drainClients closes clients' connections whenever the process is emptied, until ctx is done.
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
