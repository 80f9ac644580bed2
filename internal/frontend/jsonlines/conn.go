package jsonlines

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

// maxTracedBytes is how much of a line the debug log shows.
const maxTracedBytes = 70

const microsPerMilli = 1000

// lateLineMicros is how long a connection that an emptied controller accepts may be without a complete line.
const lateLineMicros = 500_000

// connState is the state of a connection that is open. Its end is the channel conn.closed, as both goroutines wait for
// that, and as eviction treats a connection that is being closed by whether a message was received on it.
type connState int32

const (
	connNew    connState = iota // no message was received yet
	connActive                  // a complete message was received
)

// String implements fmt.Stringer.
func (s connState) String() string {
	if s == connNew {
		return "new"
	}
	return "active"
}

// connLifecycle is a connection's state and its transition.
type connLifecycle struct{ value atomic.Int32 }

func (l *connLifecycle) state() connState { return connState(l.value.Load()) }

func (l *connLifecycle) activate() { l.value.Store(int32(connActive)) }

// conn is one connection of a caller: a goroutine reads it, another writes it. It is a dispatch.CallerConn.
type conn struct {
	server      *Server
	raw         net.Conn
	connectedAt time.Time
	lifecycle   connLifecycle
	lastActive  atomic.Int64 // clock reading in µs at the last message, or else at the connection's start
	faults      int          // invalid input so far; only the reading goroutine uses it

	queue     chan *queuedLine // pointers, as the queue is there for every connection
	unwritten atomic.Int64     // lines that were queued and are not written yet
	receiving atomic.Bool      // a line has begun, or is being handled

	closeOnce sync.Once
	closed    chan struct{} // closed by close
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server:      s,
		raw:         raw,
		connectedAt: time.Now(),
		queue:       make(chan *queuedLine, writeQueue),
		closed:      make(chan struct{}),
	}
	c.lastActive.Store(s.cfg.Clock.Now())
	return c
}

// close closes the connection; the first reason counts. It may be called with the call table's lock held.
func (c *conn) close(reason closeReason) {
	c.closeOnce.Do(func() {
		c.server.cfg.Log.Info().Str("from", c.raw.RemoteAddr().String()).Stringer("reason", reason).
			Stringer("connection", c.lifecycle.state()).Stringer("state", c.server.lifecycle.State()).
			Msg("connection closed")
		close(c.closed)
		c.raw.Close()
	})
}

// disconnect closes the connection and removes it from the call table at once. Without that, the set-ups of a caller
// that has disconnected would go on for as long as a write to it is stuck, as the writer removes it only after that.
func (c *conn) disconnect(reason closeReason) {
	c.close(reason)
	c.server.cfg.Calls.Disconnect(c)
}

// closeAfterFlush closes the connection once what is queued is written, or after the timeout. Without the flush, a
// final answer that is queued would be lost: its set-up does not count as open any more.
func (c *conn) closeAfterFlush(timeout time.Duration, reason closeReason) {
	if c.unwritten.Load() > 0 && c.send(queuedLine{kind: lineClose, reason: reason}) {
		time.AfterFunc(timeout, func() { c.close(reason) })
		return
	}
	c.close(reason)
}

// closeIfDrained closes the connection, once the schedule of a drain allows that, no set-up on it is open and what is
// queued is written.
func (c *conn) closeIfDrained() {
	status, now := c.server.lifecycle.Status(), c.server.cfg.Clock.Now()
	if !status.ClosesConnections(now) || c.isIncomplete() && !c.mayEndIncomplete(status, now) {
		return
	}
	if !c.retire(status.State) {
		return
	}
	if !c.send(queuedLine{kind: lineClose, reason: closeDrained}) {
		c.close(closeDrained)
	}
}

// retire removes the connection from the call table if nothing keeps it there, and reports whether it did. In a drain
// that an operator called for, established calls do: their ends are still to be delivered.
func (c *conn) retire(state lifecycle.State) bool {
	if state == lifecycle.LameDuck {
		return c.server.cfg.Calls.RetireUnused(c)
	}
	return c.server.cfg.Calls.Retire(c)
}

// isIncomplete reports whether no line was received on the connection yet, or one is being received.
func (c *conn) isIncomplete() bool { return c.lifecycle.state() == connNew || c.receiving.Load() }

// mayEndIncomplete reports whether the connection is closed though a line of it may still come. One that an emptied
// controller has just accepted gets the time to ask whether it is ready.
func (c *conn) mayEndIncomplete(status lifecycle.Status, now int64) bool {
	if !status.ClosesIncomplete(now) {
		return false
	}
	return status.State == lifecycle.Stopping || now-c.lastActive.Load() >= lateLineMicros
}

// closeFaulty closes the connection once what is queued is written. Input until then is discarded. Only the reading
// goroutine calls it.
func (c *conn) closeFaulty() {
	c.server.cfg.Counters.Add(telemetry.ClosedBad)
	queued := c.send(queuedLine{kind: lineClose, reason: closeInvalidInput})
	if queued && c.raw.SetReadDeadline(time.Now().Add(writeTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.raw) // however it ends, the connection is closed
	}
	c.close(closeInvalidInput)
}

// Final implements dispatch.CallerConn. On this wire the cause says whether a retry is harmless.
func (c *conn) Final(id string, final dispatch.Final) bool {
	if final.Kind == dispatch.FinalEstablished {
		return c.send(queuedLine{
			kind:   lineAnswer,
			bytes:  linecodec.AppendAnswer(nil, id, final.Call.SDP()),
			callID: id,
		})
	}
	retryAfter, harmless := final.RetryAfter()
	if !harmless || !c.server.cfg.RetryAfter || retryAfter <= 0 {
		return c.sendRelease(id, final.Kind.Cause())
	}
	return c.sendRejection(id, final.Kind.Cause(), retryAfter)
}

// sendRejection queues the final answer of a set-up that may be sent again, with the time for which its caller is to
// stay away, in µs.
func (c *conn) sendRejection(id string, cause int, retryAfter int64) bool {
	waitMillis := (retryAfter + microsPerMilli - 1) / microsPerMilli
	return c.send(queuedLine{bytes: linecodec.AppendRejection(nil, id, cause, waitMillis)})
}

// CallEnded implements dispatch.CallerConn. On this wire the end of a call may overtake its answer, on another
// connection, and differs from a rejection by its cause alone.
func (c *conn) CallEnded(id string, cause int) bool {
	if dispatch.CauseAllowsRetry(cause) {
		cause = dispatch.CauseCut
	}
	return c.send(queuedLine{
		kind:   lineCallEnd,
		bytes:  linecodec.AppendCause(nil, linecodec.TypeRelease, id, cause),
		callID: id,
		cause:  cause,
	})
}

// trace logs the beginning of a line at debug level.
func (c *conn) trace(direction string, text []byte, err error) {
	event := c.server.cfg.Log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("way", direction).
		Stringer("from", c.raw.RemoteAddr()).
		Bytes("line", text[:min(len(text), maxTracedBytes)]).
		AnErr("error", err).
		Msg("line")
}
