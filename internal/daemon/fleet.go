package daemon

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/handover/runner"
	"eidertrail/internal/listener"
)

const (
	// protocolInterval is the time between two Ticks of the protocols between the members.
	protocolInterval = 100 * time.Millisecond
	// sendWindowDivisor is the part of a lease's margin within which a call that was admitted has to be sent: half of it,
	// so that the lender uses its quota again only after that.
	sendWindowDivisor = 2
	// joinInterval is the time between two tries to join a fleet, joinLogInterval how often a wait for that is logged.
	joinInterval    = 20 * time.Millisecond
	joinLogInterval = time.Second
)

// fleetMember is the controller as a member of its fleet.
type fleetMember struct {
	gossip  *gossip.Runner
	regions *regionTable       // nil: off
	end     context.CancelFunc // ends it without a word, as a crash would
}

// membership is the controller's part in its fleet: one process of a controller at a time is a member.
type membership struct {
	mu     sync.Mutex
	member *fleetMember // nil: it is none
}

// current is the member, nil where this process is none.
func (m *membership) current() *fleetMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member
}

// join makes this process the member, if it is not that already.
func (m *membership) join(start func() (*fleetMember, error)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.member != nil {
		return nil
	}
	member, err := start()
	m.member = member
	return err
}

// yield ends the member without a word: the process that takes this one's place joins as the same member, under a
// later incarnation.
func (m *membership) yield() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.member == nil {
		return
	}
	m.member.end()
	m.member.gossip.Wait()
	m.member = nil
}

// awaitFleet joins the fleet, and waits while another process has the address of this member.
func (d *Daemon) awaitFleet(ctx context.Context) error {
	timeout := cmp.Or(d.options.OpenTimeout, listener.DefaultTimeout)
	var loggedAt time.Time
	for began := time.Now(); ; {
		err := d.member.join(d.startMember)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		waited := time.Since(began)
		if waited >= timeout {
			return &listener.TakenError{Waited: waited, Err: err}
		}
		if time.Since(loggedAt) >= joinLogInterval {
			loggedAt = time.Now()
			listener.LogTaken(d.log, err, waited)
		}
		select {
		case <-ctx.Done():
			return runner.ErrStopped
		case <-time.After(joinInterval):
		}
	}
}

// startMember makes the controller a member of its fleet. Where the fleet divides quotas, they limit what the decision
// module may choose from; where it has regions, they are exchanged.
func (d *Daemon) startMember() (*fleetMember, error) {
	file, node := d.files.cluster, d.files.node
	started := time.Now().UnixMilli() // the incarnation: higher at each start
	cfg := gossip.Config{
		Node:             node,
		Listen:           d.cfg.PeerListen,
		Peers:            d.cfg.Peers,
		Fleet:            file.Fleet,
		Incarnation:      uint64(started),
		Seed:             d.cfg.Seed,
		Clock:            d.clock,
		Log:              d.peerLog,
		Counters:         d.counters,
		ProtocolInterval: protocolInterval,
	}
	member := &fleetMember{}
	var allocator *quota.SharedAllocator
	var err error
	if file.Budget != nil {
		allocator, err = quota.NewSharedAllocator(file.Budget.Allocator(node, uint32(started)), d.clock.Now())
		if err != nil {
			return nil, err
		}
		cfg.Protocols = append(cfg.Protocols, &quotaProtocol{allocator: allocator, counters: d.counters})
	}
	if file.Region != "" {
		if member.regions, err = d.newRegionTable(node, file, uint64(started)); err != nil {
			return nil, err
		}
		cfg.Protocols = append(cfg.Protocols, member.regions)
	}
	ctx, end := context.WithCancel(context.Background())
	member.end = end
	if member.gossip, err = gossip.Start(ctx, cfg); err != nil {
		end()
		return nil, err
	}
	if allocator != nil {
		d.dispatcher.SetQuotas(dispatch.QuotaConfig{
			Source:            drainedQuotas{QuotaSource: allocator, lifecycle: d.lifecycle},
			SlowStartFraction: file.Budget.SlowStartFraction,
			SendWindow:        file.Budget.Margin.Microseconds() / sendWindowDivisor,
		})
	}
	return member, nil
}

// aliveMembers are the members that are alive, by number.
func aliveMembers(members []swim.Member) []bool {
	alive := make([]bool, len(members))
	for i, member := range members {
		alive[i] = member.State == swim.Alive
	}
	return alive
}
