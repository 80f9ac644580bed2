package sippool

import (
	"sync"
	"time"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
)

const (
	// removalTimeout is how long after a pool's removal its established calls wait for the pool's own releases.
	removalTimeout = time.Second
	// drainWriteTimeout is how long an INVITE that is being written when its pool begins to drain may still take.
	drainWriteTimeout = 300 * time.Millisecond
	// maxPendingReleases bounds the releases that wait for a connection, and those that wait for a pool's response.
	maxPendingReleases = 256
)

// pool is one sync pool.
type pool struct {
	set     *Pools
	uid     string
	wakeup  chan struct{}   // wakes the run loop; capacity 1, never closed
	reports reportIntervals // between the pool's load reports

	mu         sync.Mutex
	listed     endpointlist.Endpoint // as the endpoint list has it
	superseded bool                  // its address is another pool's now
	removedAt  int64                 // 0: it is not removed
	connection *connection           // nil: there is none
	// dialDone is closed by the run loop at the end of a dial, whatever its result, and replaced by a new channel.
	dialDone chan struct{}
	// downSince is when the pool was last known to be reachable, 0: there is a connection.
	downSince int64
	// rejectedSince is the first of the latest dials in a row that were refused (ECONNREFUSED), 0: none.
	rejectedSince   int64
	failedHere      bool               // the latest dial failed for want of this process's own means
	established     map[string]*dialog // confirmed dialogs by Call-ID: they outlive connections
	losses          releaseLosses
	pendingReleases []outboundMessage // BYEs that wait for a connection
	lingering       *lingering        // the connection that was given up and is still open, nil: none is
}

func newPool(set *Pools, listed endpointlist.Endpoint) *pool {
	return &pool{
		set:         set,
		uid:         listed.UID,
		wakeup:      make(chan struct{}, 1),
		listed:      listed,
		dialDone:    make(chan struct{}),
		downSince:   set.now(),
		established: map[string]*dialog{},
	}
}

// count increments a counter.
func (p *pool) count(counter telemetry.Counter) { p.set.count(counter) }

// apply takes the pool's entry of the endpoint list.
func (p *pool) apply(now int64, listed endpointlist.Endpoint) {
	p.mu.Lock()
	moved := listed.Address != "" && listed.Address != p.listed.Address
	restarted := listed.StartedAt != p.listed.StartedAt && listed.StartedAt > 0
	if listed.Address == "" {
		listed.Address = p.listed.Address
	}
	p.listed = listed
	p.applyState(now, moved)
	var lost []*dialog
	if restarted {
		lost = p.answeredBefore(listed.StartedAt)
	}
	if p.connection != nil && (moved || restarted && p.connection.precedes(listed.StartedAt)) {
		p.connection.giveUp() // it leads to another process than the one that is listed
	}
	p.mu.Unlock()
	p.terminate(lost)
	p.wake()
}

// applyState follows the state that has just been listed. The caller holds mu.
func (p *pool) applyState(now int64, moved bool) {
	switch {
	case p.listed.State == endpointlist.Removed:
		if p.removedAt == 0 {
			p.removedAt = now
		}
	// Draining alone gives no address back: the entry may be a late one of a pool whose address is another's by now.
	case p.listed.State == endpointlist.Up || moved:
		p.removedAt, p.superseded = 0, false
	}
	// Without a shorter deadline, an INVITE whose write is blocked by a pool that does not read would be sent long after
	// the drain was listed.
	if p.listed.State != endpointlist.Up && p.connection != nil && p.connection.writingInvite.Load() {
		p.connection.transport.SetWriteDeadline(time.Now().Add(drainWriteTimeout))
	}
}

// answeredBefore returns the established calls that were answered before the pool's process started: their process has
// ended. The caller holds mu.
func (p *pool) answeredBefore(startedAt int64) []*dialog {
	var dialogs []*dialog
	for _, d := range p.established {
		if d.answeredAt < startedAt {
			dialogs = append(dialogs, d)
		}
	}
	return dialogs
}

// remove takes the pool's absence from a complete list.
func (p *pool) remove(now int64) {
	p.mu.Lock()
	removed := p.listed
	p.mu.Unlock()
	removed.State = endpointlist.Removed
	p.apply(now, removed)
}

// supersede reports whether the pool was listed at an address that is another's now, and closes its connection then.
func (p *pool) supersede(now int64, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed.Address != address || p.superseded || p.listed.State == endpointlist.Removed {
		return false
	}
	p.superseded, p.removedAt = true, now
	if p.connection != nil {
		p.connection.giveUp()
	}
	p.wake()
	return true
}

// endpoint returns the pool as the dispatcher sees it.
func (p *pool) endpoint() dispatch.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return dispatch.Endpoint{
		UID:       p.uid,
		Group:     p.listed.Group,
		Zone:      p.listed.Zone,
		StartedAt: p.listed.StartedAt,
		Mode:      p.mode(),
	}
}

// mode returns how the pool may be used. The caller holds mu.
func (p *pool) mode() eidertrail.Mode {
	switch {
	case p.superseded || p.listed.State == endpointlist.Removed:
		return eidertrail.Removed
	case p.listed.State == endpointlist.Draining:
		return eidertrail.Draining
	}
	return eidertrail.Ready
}

// eligible reports whether an INVITE may be written now. The caller holds mu.
func (p *pool) eligible() bool { return p.listed.State == endpointlist.Up && !p.superseded }

// removalExpired reports whether the pool's own releases need no longer be waited for. The caller holds mu.
func (p *pool) removalExpired(now int64) bool {
	return p.removedAt > 0 && elapsed(p.removedAt, now) >= removalTimeout
}

// wake has the run loop dial without waiting for the end of its backoff.
func (p *pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// forget drops a removed pool that has neither calls nor a connection, and reports whether it did. Without this, every
// pool that was ever listed would keep its goroutine and its tables. One that is listed again is a new pool.
func (p *pool) forget() bool {
	now := p.set.now()
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.removalExpired(now) || len(p.established) > 0 || p.connection != nil {
		return false
	}
	delete(p.set.pools, p.uid)
	close(p.dialDone) // attempts that wait for a connection get none
	return true
}
