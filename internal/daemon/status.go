package daemon

import (
	"context"
	"time"

	"eidertrail/internal/frontend/health"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

// maxConnectWait is how long the first connections to pools are waited for before the daemon is ready without them.
const maxConnectWait = 2 * time.Second

// status is what load balancers are answered.
func (d *Daemon) status(ctx context.Context) health.Status {
	live := d.dispatcher.Tick(ctx) == nil
	current := d.state()
	return health.Status{
		Live:          live,
		Ready:         d.ready(),
		Draining:      !d.ready() && (current == lifecycle.LameDuck || current == lifecycle.Stopping),
		DrainReason:   current.String(),
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
	pending, established := d.pendingSetups(), d.establishedCalls()
	connected, up := d.pools.Connected()
	d.logMembers()
	d.log.Info().EmbedObject(d.counters).Int("open", pending).Int("standing", established).
		Int("ends_waiting", d.pendingEnds()).
		Int("pools_connected", connected).Int("pools_up", up).Msg("counters")
}

// pendingSetups is the number of set-ups on all fronts that are owed a final answer.
func (d *Daemon) pendingSetups() int {
	pending := d.calls.PendingSetups()
	if d.sockets != nil {
		pending += d.sockets.PendingSetups()
	}
	return pending
}

// establishedCalls is the number of established calls of all fronts.
func (d *Daemon) establishedCalls() int {
	established := d.calls.EstablishedCalls()
	if d.sockets != nil {
		established += d.sockets.EstablishedCalls()
	}
	return established
}

// pendingEnds is the number of ends of calls of all fronts that no caller has got yet.
func (d *Daemon) pendingEnds() int {
	pending := d.calls.PendingEnds()
	if d.sockets != nil {
		pending += d.sockets.PendingEnds()
	}
	return pending
}

func (d *Daemon) logMembers() {
	current := d.member.current()
	if current == nil {
		return
	}
	for i, member := range current.gossip.Members() {
		line := d.log.Info().Int("member", i).Stringer("is", member.State).Uint64("incarnation", member.Incarnation).
			Int64("for_us", d.clock.Now()-member.Since).Int("health", current.gossip.Health())
		if current.regions != nil {
			line = line.Str("region", current.regions.Regions()[i])
		}
		line.Msg("member state")
	}
}
