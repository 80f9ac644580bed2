package websocket

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"eidertrail/internal/telemetry"
)

const (
	// writeQueue is how many messages may wait for a socket; a client that reads too slowly for it loses the socket.
	writeQueue   = 128
	writeTimeout = 2 * time.Second
	closeTimeout = 500 * time.Millisecond
	pingInterval = 20 * time.Second
	pingTimeout  = 5 * time.Second
)

// queuedMessage is a message to be written. The end of a call may be notified on any socket of the site.
type queuedMessage struct {
	bytes     []byte
	endedCall string // the call whose end the message is, or ""
	cause     int    // of that end
}

// writeLoop is the writing goroutine: messages, pings, and at the end what is queued and the close frame.
func (c *socket) writeLoop(ctx context.Context) {
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	for {
		var err error
		select {
		case message := <-c.queue:
			err = c.write(ctx, message)
		case <-pings.C:
			err = c.ping(ctx)
		case <-c.ending:
			c.writeQueued(ctx)
			c.closeSocket()
			return
		}
		if err != nil {
			c.finish(websocket.StatusAbnormalClosure, "")
			c.closeNow()
			return
		}
	}
}

// write writes one message. The end of a call that could not be written goes to another socket of the site.
func (c *socket) write(ctx context.Context, message queuedMessage) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.ws.Write(ctx, websocket.MessageText, message.bytes)
	if err != nil {
		c.redeliver(message)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.server.cfg.Counters.Add(telemetry.SlowReaders)
	}
	return err
}

// ping waits for the pong, for pingTimeout at most.
func (c *socket) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return c.ws.Ping(ctx)
}

// writeQueued writes what is queued, until a write fails.
func (c *socket) writeQueued(ctx context.Context) {
	for len(c.queue) > 0 {
		if c.write(ctx, <-c.queue) != nil {
			return
		}
	}
}

// closeSocket sends the close frame. A client that does not read gets none, as the handshake would only wait for it.
func (c *socket) closeSocket() {
	if c.closeStatus == websocket.StatusPolicyViolation {
		c.closeNow()
		return
	}
	// The close frame goes out at once; its answer is not waited for for long, as a client that is stuck would else
	// hold up the end of the daemon.
	deadline := time.AfterFunc(closeTimeout, c.closeNow)
	defer deadline.Stop()
	_ = c.ws.Close(c.closeStatus, c.closeReason) // the socket ends, whether the client answers or not
}

// closeNow closes the connection without a close frame.
func (c *socket) closeNow() {
	_ = c.ws.CloseNow() // it is given up
}

// redeliver has the end of a call that could not be written here notified on another socket of the site.
func (c *socket) redeliver(message queuedMessage) {
	if message.endedCall != "" {
		c.calls.RedeliverEnd(message.endedCall, message.cause)
	}
}

// redeliverQueued does so with what is left in the queue, once nothing writes or queues any more.
func (c *socket) redeliverQueued() {
	for len(c.queue) > 0 {
		c.redeliver(<-c.queue)
	}
}
