package websocket

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"eidertrail/dispatch"
	"eidertrail/internal/panicguard"
	"eidertrail/internal/telemetry"
)

// maxMessage is the most bytes of a message, however many frames it has.
const maxMessage = 16 << 10

// socketState is the state of a socket that is open. Its end is the channel socket.ending, as both goroutines wait for
// that.
type socketState int32

const (
	socketNew    socketState = iota // no message was accepted yet
	socketActive                    // a message was accepted: it is never evicted
)

// String implements fmt.Stringer.
func (s socketState) String() string {
	if s == socketNew {
		return "new"
	}
	return "active"
}

// socketLifecycle is a socket's state and its transition.
type socketLifecycle struct{ value atomic.Int32 }

func (l *socketLifecycle) state() socketState { return socketState(l.value.Load()) }

func (l *socketLifecycle) activate() { l.value.Store(int32(socketActive)) }

// socket is one WebSocket of a site: the goroutine of its request reads it, another writes it. It is a
// dispatch.CallerConn.
type socket struct {
	server    *Server
	number    uint64 // in the order of coming
	site      string
	calls     *dispatch.CallTable // the site's
	ws        *websocket.Conn
	lifecycle socketLifecycle
	queue     chan queuedMessage

	finishOnce  sync.Once
	ending      chan struct{} // closed by finish, after status and reason are set
	closeStatus websocket.StatusCode
	closeReason string
}

func newSocket(s *Server, number uint64, site string, calls *dispatch.CallTable) *socket {
	return &socket{
		server: s,
		number: number,
		site:   site,
		calls:  calls,
		queue:  make(chan queuedMessage, writeQueue),
		ending: make(chan struct{}),
	}
}

// finish ends the socket once what is queued is written. Only the first call has an effect.
func (c *socket) finish(status websocket.StatusCode, reason string) {
	c.finishOnce.Do(func() {
		c.closeStatus, c.closeReason = status, reason
		close(c.ending)
	})
}

// serve serves the socket to its end, and returns when its writer has ended.
func (c *socket) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ws.SetReadLimit(maxMessage)
	c.calls.Connect(c)
	c.calls.MarkEstablished(c) // a site's socket is there for calls
	written := make(chan struct{})
	go func() {
		defer close(written)
		if c.contain(func() { c.writeLoop(ctx) }) {
			c.finish(websocket.StatusInternalError, "internal error")
			_ = c.ws.CloseNow() // ends the reader
		}
	}()
	var err error
	if c.contain(func() { err = c.readLoop(ctx) }) {
		c.finish(websocket.StatusInternalError, "internal error")
	}
	c.finish(websocket.StatusNormalClosure, "") // if nothing else ended it
	c.calls.Disconnect(c)
	cancel()
	<-written
	c.redeliverQueued()
	c.server.cfg.Log.Debug().Err(err).Msg("websocket ended")
}

// contain runs a part of the socket's work, and reports whether that panicked: what one client sends must not end the
// calls of others.
func (c *socket) contain(work func()) (panicked bool) {
	contained := panicguard.Run(work)
	if contained == nil {
		return false
	}
	c.server.cfg.Log.Error().EmbedObject(contained).Str("site", c.site).Msg("panic, its connection is closed")
	return true
}

// Final implements dispatch.CallerConn.
func (c *socket) Final(id string, final dispatch.Final) bool {
	return c.send(queuedMessage{bytes: finalMessage(id, final)})
}

// CallEnded implements dispatch.CallerConn.
func (c *socket) CallEnded(id string, cause int) bool {
	return c.send(queuedMessage{bytes: releasedMessage(id, cause), endedCall: id, cause: cause})
}

// send queues a message and never blocks: a client that does not read for so long loses the socket. It reports whether
// the message was queued.
func (c *socket) send(message queuedMessage) bool {
	select {
	case <-c.ending:
		return false
	default:
	}
	select {
	case c.queue <- message:
		return true
	default:
		c.server.cfg.Counters.Add(telemetry.SlowReaders)
		c.finish(websocket.StatusPolicyViolation, "reads too slowly")
		return false
	}
}
