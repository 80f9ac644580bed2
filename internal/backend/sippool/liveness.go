package sippool

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"eidertrail/internal/endpoint/endpointlist"
)

const (
	livenessCheckInterval = 50 * time.Millisecond
	// stallThreshold is the time between two checks from which on this process counts as stalled: what was received
	// meanwhile is still to be read, and the silence is not the pool's.
	stallThreshold = minUnresponsiveTimeout / 2
	// drainingUnresponsiveTimeout is the least unresponsive timeout of a draining pool: it sends no load reports, and the
	// ends of its calls are seldom.
	drainingUnresponsiveTimeout = 3500 * time.Millisecond
	// rejectedReplacementTimeout is how long an unresponsive connection is kept whose pool refuses the next. A call that
	// ended after the pool was last heard from has to be released within 8 s of its end.
	rejectedReplacementTimeout = 7 * time.Second
)

// watch closes the connection when ctx is done, when the pool's removal has expired, and when the connection is
// unresponsive: then it returns the transport that replaces it, if that came up.
func (c *connection) watch(ctx context.Context, address string) (next net.Conn) {
	ticker := time.NewTicker(livenessCheckInterval)
	defer ticker.Stop()
	checkedAt, nextDialAt := c.pool.set.now(), int64(0)
	for {
		select {
		case <-ctx.Done():
			c.close()
			return next
		case <-ticker.C:
		}
		now := c.pool.set.now()
		stalled := elapsed(checkedAt, now) >= stallThreshold
		checkedAt = now
		if !stalled && now >= nextDialAt && next == nil {
			if since, unresponsive := c.checkUnresponsive(now); unresponsive {
				next, nextDialAt = c.replace(ctx, address, since)
				checkedAt = c.pool.set.now() // the time of a dial is no stall
			}
		}
		c.pool.closeRemoved(c)
		c.pool.releaseUnconfirmed(now)
	}
}

// closeRemoved closes the connection of a pool whose removal has expired.
func (p *pool) closeRemoved(c *connection) {
	now := p.set.now()
	p.mu.Lock()
	expired := p.removalExpired(now)
	p.mu.Unlock()
	if expired {
		c.close()
	}
}

// checkUnresponsive reports whether the connection is unresponsive, and since when nothing has been received: calls or
// set-ups are pending at the pool, and the unresponsive timeout has passed without any message. If the connection that
// replaces it does not come up either, the pool's machine is lost, and has been since then.
//
// The silence counts from the oldest INVITE at the earliest: without that, an idle connection would be closed for the
// silence before its first set-up, together with the set-up.
func (c *connection) checkUnresponsive(now int64) (since int64, unresponsive bool) {
	p := c.pool
	since = c.lastReceived.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := p.reports.unresponsiveTimeout()
	if p.listed.State == endpointlist.Draining {
		timeout = max(timeout, drainingUnresponsiveTimeout)
	}
	if c.unconfirmedSince > since {
		return c.unconfirmedSince, true
	}
	if elapsed(since, now) < timeout || len(p.established)+len(c.transactions) == 0 {
		return since, false
	}
	if len(c.transactions) > 0 {
		since = max(since, c.oldestInvite(now))
	}
	return since, elapsed(since, now) >= timeout
}

// oldestInvite returns when the oldest INVITE that is pending was written, or now where none was. The caller holds
// pool.mu.
func (c *connection) oldestInvite(now int64) int64 {
	oldest := now
	for _, t := range c.transactions {
		if t.sentAt > 0 {
			oldest = min(oldest, t.sentAt)
		}
	}
	return oldest
}

// replace opens the connection that takes the place of one that has been unresponsive since then, and closes that. It
// returns the next connection, if it came up, and when to dial again where the unresponsive one is kept.
//
// The next connection is opened to be served at once, not only to see whether it comes up: the pool resends the
// releases that were lost with the unresponsive one on the next that is opened, and on no later one.
//
// Where the pool refuses, the unresponsive connection is kept: a draining pool sends no load reports and soon takes no
// new connections, while its calls stay established and their releases come on the connections that it has. Without
// that, its connection would be closed for its silence, none could be opened in its place, and the pool would count as
// lost with all its calls. A process that ends resets its connections; rejectedReplacementTimeout is for a lost reset.
func (c *connection) replace(ctx context.Context, address string, since int64) (next net.Conn, nextDialAt int64) {
	next, err := c.pool.dial(ctx, address)
	now, lastReceived := c.pool.set.now(), c.lastReceived.Load()
	if isLocalFailure(err) {
		return nil, now + minRedialDelay.Microseconds()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		if elapsed(lastReceived, now) < rejectedReplacementTimeout {
			return nil, now + maxRedialDelay.Microseconds()
		}
		since = lastReceived
	}
	if ctx.Err() != nil {
		return next, 0
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closeUnresponsive(since)
	return next, 0
}

// recordReceived notes that a message was received.
func (c *connection) recordReceived(now int64) {
	c.lastReceived.Store(now)
	if !c.stable && elapsed(c.openedAt, now) >= stabilityWindow {
		c.stable = true
		c.pool.connectionStable(now)
	}
}
