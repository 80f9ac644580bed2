// Package gossip runs a swim.Node on a UDP socket: datagrams of at most 256 bytes to the addresses of the
// configuration's peers, from the one that this controller listens on. The same datagrams carry the messages of
// further protocols between the members, which register as a Protocol. One loop goroutine owns the Node and calls the
// protocols; a second one reads the socket.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

const (
	// receiveQueue datagrams wait for the loop; more are dropped, as a network would.
	receiveQueue = 256
	// commandQueue commands wait for the loop; the sender of one more blocks.
	commandQueue = 16
	// leaveTimeout is how long the last messages may take to be written.
	leaveTimeout = 100 * time.Millisecond
)

// command is a call that the loop makes.
type command func(now int64)

// Runner is a member that runs.
type Runner struct {
	cfg      Config
	fleet    uint32
	peers    []netip.AddrPort
	conn     *net.UDPConn // closed by the loop
	received chan datagram
	commands chan command
	done     chan struct{} // closed by the loop when it ends

	// The loop's own.
	node             *swim.Node
	nextProtocolTick int64

	// What the loop publishes.
	members atomic.Pointer[[]swim.Member]
	health  atomic.Int64

	goroutines sync.WaitGroup
}

// Start opens the socket and runs the member until ctx is done. Wait waits for its end.
func Start(ctx context.Context, cfg Config) (*Runner, error) {
	peers, err := resolvePeers(cfg.Peers, cfg.Node.Members)
	if err != nil {
		return nil, err
	}
	conn, err := listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	now := cfg.Clock.Now()
	node, err := swim.New(cfg.Node, cfg.Incarnation, cfg.Seed, now)
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, err
	}
	r := &Runner{
		cfg:      cfg,
		fleet:    swim.FleetID(cfg.Fleet),
		peers:    peers,
		conn:     conn,
		received: make(chan datagram, receiveQueue),
		commands: make(chan command, commandQueue),
		done:     make(chan struct{}),
		node:     node,
	}
	r.publish(now, true)
	r.goroutines.Add(2)
	go r.read()
	go r.loop(ctx)
	return r, nil
}

// Addr returns the address that the member listens on.
func (r *Runner) Addr() net.Addr { return r.conn.LocalAddr() }

// Members returns the current view, by member number.
func (r *Runner) Members() []swim.Member { return *r.members.Load() }

// Health returns the local health score, 0 for healthy.
func (r *Runner) Health() int { return int(r.health.Load()) }

// Leave announces that this member leaves the fleet, and returns when that is written or leaveTimeout has passed.
func (r *Runner) Leave() {
	written := make(chan struct{})
	leave := func(now int64) {
		r.node.Leave(now)
		r.flush(now)
		close(written)
	}
	timeout := time.NewTimer(leaveTimeout)
	defer timeout.Stop()
	select {
	case r.commands <- leave:
	case <-r.done:
		return
	case <-timeout.C:
		return
	}
	select {
	case <-written:
	case <-r.done:
	case <-timeout.C:
	}
}

// Wait returns when the member has ended.
func (r *Runner) Wait() { r.goroutines.Wait() }

// loop owns the node: it waits for the next datagram, command or time that something is due.
func (r *Runner) loop(ctx context.Context) {
	defer r.goroutines.Done()
	defer func() { _ = r.conn.Close() }() // ends read; an error leaves nothing to do
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.nextProtocolTick = r.cfg.Clock.Now()
	r.flush(r.nextProtocolTick)
	for {
		timer.Reset(r.untilDue())
		var received datagram
		var requested command
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case received = <-r.received:
		case requested = <-r.commands:
		}
		r.step(received, requested)
	}
}

// untilDue returns the time until the node or a protocol wants to be ticked.
func (r *Runner) untilDue() time.Duration {
	now := r.cfg.Clock.Now()
	wait := r.node.Next() - now
	if r.protocolsTick() {
		wait = min(wait, r.nextProtocolTick-now)
	}
	return time.Duration(max(0, wait)) * time.Microsecond
}

// step does what is due, and handles a datagram or a command if there is one.
func (r *Runner) step(received datagram, requested command) {
	now := r.cfg.Clock.Now()
	r.node.Tick(now) // first, so that after a stall of the process the node knows of it before it receives what waited
	if received.bytes != nil {
		r.receive(now, received)
	}
	if requested != nil {
		requested(now)
	}
	r.tickProtocols(now)
	r.flush(now)
}

// flush sends the node's messages, and publishes what has changed.
func (r *Runner) flush(now int64) {
	out, changes := r.node.Take()
	for _, envelope := range out {
		r.write(envelope)
	}
	for _, change := range changes {
		r.record(change)
	}
	health := int64(r.node.Health())
	if health != r.health.Swap(health) || len(changes) > 0 {
		r.publish(now, len(changes) > 0)
	}
}

// record counts and logs a change of a member.
func (r *Runner) record(change swim.Change) {
	switch change.Current {
	case swim.Suspect:
		r.cfg.Counters.Add(telemetry.MembersSuspected)
	case swim.Dead:
		r.cfg.Counters.Add(telemetry.MembersDied)
	case swim.Unknown, swim.Alive, swim.Left: // not counted
	}
	if change.Previous == change.Current { // another incarnation
		return
	}
	r.cfg.Log.Info().
		Int("member", change.Member).
		Stringer("was", change.Previous).
		Stringer("is", change.Current).
		Uint64("incarnation", change.Incarnation).
		Int("health", r.node.Health()).
		Msg("member")
}

// publish makes the view visible to other goroutines, and passes changed members on to the protocols.
func (r *Runner) publish(now int64, changed bool) {
	view := r.node.View()
	r.members.Store(&view)
	if changed {
		r.membersChanged(now, view)
	}
}
