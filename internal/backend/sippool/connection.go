package sippool

import (
	"net"
	"sync"
	"sync/atomic"

	"eidertrail/internal/telemetry"
)

// writeQueueLength bounds the messages that wait to be written. A connection on which more would wait is closed.
const writeQueueLength = 256

// connection is one connection to a pool. Three goroutines serve it: readLoop, writeLoop and watch.
type connection struct {
	pool      *pool
	transport net.Conn
	outbound  chan outboundMessage // never closed: writeLoop ends with closed
	closed    chan struct{}        // closed by close
	closeOnce sync.Once

	openedAt     int64
	lastReceived atomic.Int64 // when the last message was received, openedAt before the first
	// partialSince is when the message that is being received began, 0: none is.
	partialSince  atomic.Int64
	writingInvite atomic.Bool // set under pool.mu

	// Used by readLoop alone.
	lastReportAt int64 // when the last NOTIFY was received, 0: none was
	stable       bool  // messages have been received for stabilityWindow

	// The rest belongs to pool.mu.

	transactions map[string]*inviteTransaction // by Call-ID, which is all that pools match by
	// unacknowledged holds the BYEs that were written and that the pool has not responded to, by Call-ID.
	unacknowledged map[string][]byte
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
	callID      string             // of a release
	transaction *inviteTransaction // of an INVITE, which asks it for permission when it is written
	release     bool               // if this connection does not write it, the next one does
}

func newConnection(p *pool, transport net.Conn, now int64) *connection {
	c := &connection{
		pool:           p,
		transport:      transport,
		outbound:       make(chan outboundMessage, writeQueueLength),
		closed:         make(chan struct{}),
		openedAt:       now,
		transactions:   map[string]*inviteTransaction{},
		unacknowledged: map[string][]byte{},
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

func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
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
	c.close()
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
			c.pool.sendRelease(message.callID, message.bytes)
		}
	}
	if !c.unresponsive {
		return
	}
	for id, message := range c.unacknowledged {
		c.pool.sendRelease(id, message)
	}
}
