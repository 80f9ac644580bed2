package websocket

import (
	"context"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

// maxStrikes is how many messages of a socket may be rejected; with one more the socket is closed.
const maxStrikes = 64

var errBinaryMessage = errors.New("callcontrol: a binary message")

// readLoop reads and handles messages until the socket ends, and returns why it ended.
func (c *socket) readLoop(ctx context.Context) error {
	strikes := 0
	for {
		kind, data, err := c.ws.Read(ctx)
		if err != nil {
			return fmt.Errorf("callcontrol: reading: %w", err)
		}
		receivedAt := c.server.cfg.Dispatcher.Now()
		c.server.cfg.Counters.Add(telemetry.Frames)
		if kind != websocket.MessageText {
			c.server.cfg.Counters.Add(telemetry.BadFrames)
			c.finish(websocket.StatusUnsupportedData, "binary messages are not taken")
			return errBinaryMessage
		}
		id, err := c.handleData(data, receivedAt)
		if err == nil {
			c.lifecycle.activate()
			continue
		}
		c.server.cfg.Counters.Add(telemetry.BadFrames)
		c.server.cfg.Log.Warn().Err(err).Msg("bad websocket message")
		strikes++
		if strikes > maxStrikes {
			c.server.cfg.Counters.Add(telemetry.ClosedBad)
			c.finish(websocket.StatusPolicyViolation, "too many messages that were not accepted")
			return err
		}
		c.sendError(id, err)
	}
}

// handleData parses and handles one message. With an error, the message was not accepted; id names its call, if that
// could be read.
func (c *socket) handleData(data []byte, receivedAt int64) (id string, err error) {
	request, err := parse(data)
	if err == nil {
		err = c.handle(request, receivedAt)
	}
	return request.id, err
}

// handle handles one message. An error means that it was not accepted: the client gets it, and it is no final answer.
func (c *socket) handle(request clientMessage, receivedAt int64) error {
	switch request.kind {
	case kindSetup:
		return c.setup(request, receivedAt)
	case kindCancel, kindRelease:
		// Where a cancel crossed the answer the call was established: its end is notified like any other.
		_, err := c.calls.Release(request.id, request.cause)
		return err
	case kindPing:
		c.lifecycle.activate() // first: a client that has read its pong must not be evicted
		c.send(queuedMessage{bytes: pongMessage(request.id, c.server.cfg.Ready())})
	}
	return nil
}

func (c *socket) setup(request clientMessage, receivedAt int64) error {
	request.setup.ReceivedAt = receivedAt
	err := c.calls.Setup(c, request.setup)
	if errors.Is(err, dispatch.ErrDraining) {
		c.rejectDraining(request.id)
		return nil
	}
	return err
}

// rejectDraining rejects a set-up as the controller sends its clients away.
func (c *socket) rejectDraining(id string) {
	rejection := rejectedMessage(typeRejected, id, ShuttingDown, dispatch.CauseCongestion, retryAfterMicros)
	c.send(queuedMessage{bytes: rejection})
}

// sendError answers a message that was not accepted.
func (c *socket) sendError(id string, err error) {
	retryAfter := int64(0)
	if errors.Is(err, dispatch.ErrTooManyCalls) {
		retryAfter = retryAfterMicros
	}
	c.send(queuedMessage{bytes: errorMessage(id, err, retryAfter)})
}
