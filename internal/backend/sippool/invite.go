package sippool

import (
	"context"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

// invite makes one attempt at this pool, from its connection to its end.
func (p *pool) invite(ctx context.Context, attempt dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	deadline := time.NewTimer(elapsed(p.set.now(), attempt.Deadline))
	defer deadline.Stop()
	if attempt.Number > 0 {
		p.awaitLingering(ctx, attempt.ID, deadline.C)
	}
	c, failure := p.awaitConnection(ctx, deadline.C)
	if c == nil {
		return nil, p.set.endingNow(failure)
	}
	transaction := c.startTransaction(ctx, attempt)
	if transaction == nil {
		return nil, p.set.endingNow(dispatch.NotSent)
	}
	return transaction.await(ctx, deadline.C)
}

// awaitConnection returns the pool's connection. Where there is none, it waits for the end of one dial, for
// Config.ConnectTimeout at most: what the dial brings decides the attempt. If the connection is nil, the outcome says
// why.
func (p *pool) awaitConnection(
	ctx context.Context, deadline <-chan time.Time,
) (c *connection, failure dispatch.Outcome) {
	c, dialDone := p.current()
	if c != nil {
		return c, failure
	}
	p.wake()
	connectTimeout := time.NewTimer(microseconds(p.set.cfg.ConnectTimeout))
	defer connectTimeout.Stop()
	select {
	case <-dialDone:
	case <-connectTimeout.C:
		p.count(telemetry.ConnectsFailed)
		return nil, dispatch.ConnectFailed
	case <-deadline:
		return nil, dispatch.ConnectFailed
	case <-ctx.Done():
		return nil, dispatch.Cancelled
	}
	c, _ = p.current()
	if c == nil && p.dialFailedHere() {
		return nil, dispatch.NotSent
	}
	if c == nil {
		p.count(telemetry.ConnectsFailed)
		return nil, dispatch.ConnectFailed
	}
	return c, failure
}

// current returns the pool's connection, nil if there is none, and the channel that is closed at the end of the dial.
func (p *pool) current() (*connection, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connection, p.dialDone
}

// startTransaction queues the INVITE of an attempt. It returns nil where that cannot be sent on this connection.
func (c *connection) startTransaction(ctx context.Context, attempt dispatch.Attempt) *inviteTransaction {
	now := c.pool.set.now()
	t := newInviteTransaction(ctx, c, attempt)
	message := inviteRequest(c.pool.set.cfg.Name, attempt, elapsed(now, attempt.Deadline))
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.expireCancelled(now)
	if c.isClosed() {
		return nil
	}
	// Pools respond with the Call-ID alone and number every INVITE 1: the response to a cancelled attempt would be taken
	// for that to the next one.
	if c.transactions[attempt.ID] != nil {
		c.pool.count(telemetry.GuardStopped)
		return nil
	}
	if c.pool.connection != c || !c.enqueue(outboundMessage{bytes: message, transaction: t}) {
		return nil
	}
	c.transactions[attempt.ID] = t
	return t
}

// expireCancelled forgets transactions that were cancelled long ago and have had no final response. The caller holds
// pool.mu.
func (c *connection) expireCancelled(now int64) {
	for id, t := range c.transactions {
		if t.state == stateCancelling && elapsed(t.cancelledAt, now) > cancelTimeout {
			delete(c.transactions, id)
		}
	}
}
