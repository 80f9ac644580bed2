package sippool

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/internal/telemetry"
)

// writeQueueLength bounds the messages that wait to be written. A connection on which more would wait is closed.
const writeQueueLength = 256

// connectionID numbers the connections of a set.
type connectionID int64

// connection is one connection to a pool. Three goroutines serve it: readLoop, writeLoop and watch.
type connection struct {
	pool      *pool
	id        connectionID
	address   string
	transport net.Conn
	outbound  chan outboundMessage // never closed: writeLoop ends with closed
	closed    chan struct{}        // closed by close
	closeOnce sync.Once

	openedAt     int64
	lastReceived atomic.Int64 // when the last message was received, openedAt before the first
	// partialSince is when the message that is being received began, 0: none is.
	partialSince  atomic.Int64
	writingInvite atomic.Bool // set under pool.mu
	endedByPeer   atomic.Bool // the pool has closed or reset it, or its process has ended
	lingering     *lingering  // set before the transactions are aborted; nil: it was closed both ways

	// Used by readLoop alone.
	lastReportAt int64 // when the last NOTIFY was received, 0: none was
	stable       bool  // messages have been received for stabilityWindow

	// The rest belongs to pool.mu.

	transactions map[string]*inviteTransaction // by Call-ID, which is all that pools match by
	// unacknowledged holds the BYEs that were written and that the pool has not responded to, by Call-ID.
	unacknowledged map[string]outboundMessage
	// delivered tracks what the pool is known to have received.
	delivered deliveries
	// unconfirmedSince is when the latest INVITE that timed out with nothing received since was sent, 0: none did.
	unconfirmedSince int64
	unresponsive     bool // it was closed because nothing was received
	// silentSince is when that began. It counts from an INVITE, so that the silence of an idle connection is not taken
	// for the loss of the pool's machine, at which calls are terminated and releases dropped.
	silentSince int64
}

// outboundMessage is a message to be written.
type outboundMessage struct {
	bytes       []byte
	method      string             // of a CANCEL or BYE that may matter to a further attempt, else ""
	callID      string             // with method
	until       int64              // no further attempt of the call is made after this; 0: none is made
	transaction *inviteTransaction // of an INVITE, which asks it for permission when it is written
	release     bool               // if this connection does not write it, the next one does
}

func newConnection(p *pool, transport net.Conn, address string, now int64) *connection {
	c := &connection{
		pool:           p,
		id:             connectionID(p.set.connections.Add(1)),
		address:        address,
		transport:      transport,
		outbound:       make(chan outboundMessage, writeQueueLength),
		closed:         make(chan struct{}),
		openedAt:       now,
		transactions:   map[string]*inviteTransaction{},
		unacknowledged: map[string]outboundMessage{},
	}
	c.lastReceived.Store(now)
	return c
}

// close closes the connection, which ends its goroutines. Further calls have no effect.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.transport.Close()
	})
}

// closeWriting ends the goroutines of a connection on which nothing more can be read, and leaves it open.
func (c *connection) closeWriting() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.transport.SetWriteDeadline(time.Now()) // on an error the writer has ended already
	})
}

func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// precedes reports whether the connection leads to a process that has ended before one started: it was opened before
// that, and nothing was received on it since.
func (c *connection) precedes(startedAt int64) bool {
	return c.openedAt < startedAt && c.lastReceived.Load() < startedAt
}

// send queues a message that needs no further attention. It never blocks.
func (c *connection) send(message []byte) { c.enqueue(outboundMessage{bytes: message}) }

// enqueue queues a message and reports whether it could. It never blocks: a pool that does not read for so long that
// the queue is full loses the connection.
func (c *connection) enqueue(message outboundMessage) bool {
	select {
	case c.outbound <- message:
		return true
	default:
		c.pool.count(telemetry.SlowReaders)
		c.close()
		return false
	}
}

// closeUnresponsive closes the connection because nothing has been received on it since then. The caller holds pool.mu.
func (c *connection) closeUnresponsive(since int64) {
	c.pool.count(telemetry.UnresponsivePools)
	c.unresponsive, c.silentSince = true, since
	c.giveUp()
}

// giveUp closes a connection that the pool has not closed: what was written on it may still be received. The caller
// holds pool.mu.
func (c *connection) giveUp() {
	c.noteInDoubt()
	c.close()
}

// noteInDoubt notes the calls of which the pool may still receive a message. It does nothing on a connection that the
// pool has ended: when a pool closes a connection it gives up what is open on it, and it reads it no further.
func (c *connection) noteInDoubt() {
	if c.endedByPeer.Load() {
		return
	}
	now := c.pool.set.now()
	c.delivered.inDoubt(func(callID string, until int64) {
		c.pool.set.inDoubt.add(now, callID, c.inDoubtPlace(until))
	})
}

// inDoubtPlace is the connection's pool as a place where a call is in doubt.
func (c *connection) inDoubtPlace(until int64) inDoubtPlace {
	return inDoubtPlace{uid: c.pool.uid, address: c.address, connection: c.id, until: until}
}

// isInDoubt reports whether the pool may still receive a message of that call on a connection that was given up. The
// caller holds pool.mu.
func (c *connection) isInDoubt(callID string) bool {
	return c.pool.set.inDoubt.contains(c.pool.set.now(), callID, c.pool.uid, c.address)
}

// abortTransactions ends the transactions of a connection that has ended. The caller holds pool.mu.
func (c *connection) abortTransactions(now int64) {
	for id, t := range c.transactions {
		delete(c.transactions, id)
		t.connectionEnded(now)
	}
}

// returnReleases gives the releases that a connection that has ended did not write, or that may be lost, back to the
// pool. Without those that an unresponsive pool has not responded to, an agent may be reserved for nobody. The caller
// holds pool.mu.
func (c *connection) returnReleases() {
	for len(c.outbound) > 0 {
		if message := <-c.outbound; message.release {
			c.pool.sendRelease(message)
		}
	}
	if !c.unresponsive {
		return
	}
	for _, message := range c.unacknowledged {
		c.pool.sendRelease(message)
	}
}
