package daemon

import (
	"context"
	"time"

	"eidertrail/internal/frontend/health"
	"eidertrail/internal/telemetry"
)

// maxConnectWait is how long the first connections to pools are waited for before the daemon is ready without them.
const maxConnectWait = 2 * time.Second

// ready reports whether a readiness check passes: the pools that are up are connected, or were given time to.
func (d *Daemon) ready() bool {
	if d.stopping.Load() {
		return false
	}
	connected, up := d.pools.Connected()
	return connected == up || d.clock.Now()-d.started > maxConnectWait.Microseconds()
}

// status is what load balancers are answered.
func (d *Daemon) status(ctx context.Context) health.Status {
	live := d.dispatcher.Tick(ctx) == nil
	return health.Status{
		Live:          live,
		Ready:         d.ready(),
		Draining:      d.stopping.Load(),
		RejectionRate: d.dispatcher.RejectionRate(),
	}
}

// snapshot is the answer of GET /counters: the counters, and which start of the process they count from.
func (d *Daemon) snapshot() any {
	return struct {
		Incarnation int64 `json:"life"`
		telemetry.Snapshot
	}{d.incarnation, d.counters.Snapshot()}
}

// logCounters logs the counters, and the members of the fleet.
func (d *Daemon) logCounters() {
	pending, established := d.calls.PendingSetups(), d.calls.EstablishedCalls()
	if d.sockets != nil {
		pending, established = pending+d.sockets.PendingSetups(), established+d.sockets.EstablishedCalls()
	}
	connected, up := d.pools.Connected()
	if d.fleet != nil {
		d.logMembers()
	}
	d.log.Info().EmbedObject(d.counters).Int("open", pending).Int("standing", established).
		Int("pools_connected", connected).Int("pools_up", up).Msg("counters")
}

func (d *Daemon) logMembers() {
	for i, member := range d.fleet.Members() {
		line := d.log.Info().Int("member", i).Stringer("is", member.State).Uint64("incarnation", member.Incarnation).
			Int64("for_us", d.clock.Now()-member.Since).Int("health", d.fleet.Health())
		if d.regions != nil {
			line = line.Str("region", d.regions.Regions()[i])
		}
		line.Msg("member state")
	}
}
