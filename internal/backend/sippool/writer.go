package sippool

import (
	"bufio"
	"bytes"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/telemetry"
)

// writeTimeout is how long the write of one message may take before the connection is closed.
const writeTimeout = 2 * time.Second

// writeLoop writes the queued messages until the connection is closed.
func (c *connection) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case message := <-c.outbound:
			if err := c.write(message); err != nil {
				c.close()
				c.requeue(message)
				return
			}
		}
	}
}

// write writes one message, or drops an INVITE that may not be sent any longer.
func (c *connection) write(message outboundMessage) error {
	// The deadline is set before the transaction enters Calling: a drain that is listed after that sets a shorter one.
	if err := c.transport.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if message.transaction != nil && !message.transaction.enterCalling() {
		return nil
	}
	c.recordWritten(message)
	c.traceOutbound(message.bytes)
	if _, err := c.transport.Write(message.bytes); err != nil {
		if isPeerEnd(err) {
			c.endedByPeer.Store(true)
		}
		return err
	}
	c.writingInvite.Store(false)
	if message.transaction != nil {
		c.pool.count(telemetry.InvitesWritten)
	}
	if message.release {
		c.awaitReleaseResponse(message)
	}
	return nil
}

// recordWritten notes a request that may matter to a further attempt of its call: from here on it may be received. An
// INVITE is noted as it enters Calling.
func (c *connection) recordWritten(message outboundMessage) {
	if message.method == "" {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.delivered.wrote(c.pool.set.now(), message.callID, message.method, message.until)
}

// requeue keeps a release that could not be written for the next connection: connectionEnded empties the queue.
func (c *connection) requeue(message outboundMessage) {
	if message.release {
		c.enqueue(message)
	}
}

// awaitReleaseResponse remembers a written release until the pool responds to it.
func (c *connection) awaitReleaseResponse(message outboundMessage) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.unacknowledged) < maxPendingReleases {
		c.unacknowledged[message.callID] = message
	}
}

// traceOutbound logs a message that is about to be written, at debug level.
func (c *connection) traceOutbound(message []byte) {
	if c.pool.set.cfg.Log.GetLevel() > zerolog.DebugLevel {
		return
	}
	if parsed, err := sip.Read(bufio.NewReader(bytes.NewReader(message))); err == nil {
		c.pool.trace("out", parsed)
	}
}

// trace logs a message at debug level. The direction is "in" or "out".
func (p *pool) trace(direction string, m *sip.Message) {
	p.set.cfg.Log.Debug().Str("pool", p.uid).Str("way", direction).Str("method", m.Method).Str("of", m.CSeqMethod).
		Int("status", m.Status).Str("call", m.CallID).Msg("sip")
}
