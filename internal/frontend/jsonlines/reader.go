package jsonlines

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/panicguard"
	"eidertrail/internal/telemetry"
)

const (
	readBuffer = 2048 // bytes
	// firstLineTimeout is how long after connecting the first line must be complete: a client that has sent nothing by
	// then is no caller. Such a client has to be closed within 3 s.
	firstLineTimeout = 2500 * time.Millisecond
	// lineTimeout is the same for a later line, from its first byte on.
	lineTimeout = 2 * time.Second
	// idleTimeout is how long a connection without an open set-up or an established call may be idle. Callers close
	// theirs after 4 s.
	idleTimeout = 8 * time.Second
	// readGrace is how long a reader looks for received data once a deadline is over.
	readGrace = 5 * time.Millisecond
	// maxFaults is how many invalid lines a connection may send before it is closed.
	maxFaults = 16
)

// readLoop is the reading goroutine.
func (c *conn) readLoop() {
	defer c.server.goroutines.Done()
	reason := closeInternalError
	if c.contain(func() { reason = c.readLines() }) {
		reason = closeInternalError
	}
	c.disconnect(reason)
}

// contain runs a part of the connection's work, and reports whether that panicked: what one caller sends must not end
// the calls of others.
func (c *conn) contain(work func()) (panicked bool) {
	contained := panicguard.Run(work)
	if contained == nil {
		return false
	}
	c.server.cfg.Log.Error().EmbedObject(contained).Str("from", c.raw.RemoteAddr().String()).
		Msg("panic, its connection is closed")
	return true
}

// readLines handles lines until the connection ends, and returns why it does.
func (c *conn) readLines() (reason closeReason) {
	reason = closeByCaller
	lines := newLineReader(c)
	for c.faults < maxFaults {
		text, err := lines.next()
		if errors.Is(err, linecodec.ErrTooLong) { // where the next line begins is not known
			c.recordBadLine(err)
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.cfg.Counters.Add(telemetry.Overdue)
			reason = closeOverdue
		}
		c.trace("in", text, err)
		if err != nil {
			return reason
		}
		goesOn := c.handleLine(text)
		c.receiving.Store(false)
		if !goesOn {
			break
		}
	}
	c.closeFaulty()
	return reason
}

// handleLine handles one line, and reports whether the connection goes on.
func (c *conn) handleLine(text []byte) bool {
	if len(text) == 0 {
		c.faults++
		return true
	}
	message, err := linecodec.Parse(text)
	if err != nil {
		return c.rejectMalformed(&message, err)
	}
	c.handle(&message)
	c.lastActive.Store(c.server.cfg.Clock.Now())
	c.lifecycle.activate()
	return true
}

// rejectMalformed answers a malformed line, and reports whether it could: it could not where the line is no set-up or
// names no call. A set-up with a valid id gets an answer, unless the answer would be taken for that of another set-up.
func (c *conn) rejectMalformed(message *linecodec.Message, err error) bool {
	c.recordBadLine(err)
	if message.Type != linecodec.TypeSetup || !dispatch.IsToken(message.ID) {
		return false
	}
	if !c.server.cfg.Calls.Owns(c, message.ID) {
		c.sendRelease(message.ID, dispatch.CauseTemporaryFailure)
	}
	return true
}

// recordBadLine counts and logs a line that was not accepted.
func (c *conn) recordBadLine(err error) {
	c.faults++
	c.server.cfg.Counters.Add(telemetry.BadLines)
	c.server.cfg.Log.Warn().Err(err).Str("from", c.raw.RemoteAddr().String()).Msg("bad line")
}

// isIdle reports whether no answer, call end or line is outstanding on the connection. A connection with an established
// call is not idle: callers keep open only the connections that have calls on them, and without one nobody could be
// notified of the call's end.
func (c *conn) isIdle() bool {
	open, calls, _ := c.server.cfg.Calls.ConnState(c)
	return open+calls == 0 && c.unwritten.Load() == 0
}

// lineReader reads the lines of a connection within their time limits.
type lineReader struct {
	conn     *conn
	deadline *graceReader
	buffered *bufio.Reader
	line     []byte // the last line, whose memory the next one reuses
}

func newLineReader(c *conn) *lineReader {
	deadline := &graceReader{raw: c.raw}
	return &lineReader{
		conn:     c,
		deadline: deadline,
		buffered: bufio.NewReaderSize(deadline, readBuffer),
	}
}

// next reads a line, which is valid until the next call. The time for the first one runs from the connection's
// beginning, for a later one from its first byte. Between lines the reader waits for as long as the connection is not
// idle.
func (l *lineReader) next() ([]byte, error) {
	until := l.conn.connectedAt.Add(firstLineTimeout)
	if l.conn.lifecycle.state() == connActive {
		if err := l.awaitLine(); err != nil {
			return nil, err
		}
		l.conn.receiving.Store(true)
		if l.hasCompleteLine() {
			return l.read()
		}
		until = time.Now().Add(lineTimeout)
	}
	if err := l.deadline.set(until); err != nil {
		return nil, err
	}
	return l.read()
}

// awaitLine waits for the first byte of a line. It returns the deadline's error once the connection is idle.
func (l *lineReader) awaitLine() error {
	for l.buffered.Buffered() == 0 {
		if err := l.deadline.set(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		_, err := l.buffered.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || l.conn.isIdle() {
			return err
		}
	}
	return nil
}

func (l *lineReader) hasCompleteLine() bool {
	received, _ := l.buffered.Peek(l.buffered.Buffered())
	return bytes.IndexByte(received, '\n') >= 0
}

func (l *lineReader) read() ([]byte, error) {
	text, err := linecodec.ReadLine(l.buffered, l.line)
	if err == nil {
		l.line = text
	}
	return text, err
}

// graceReader reads a connection until a deadline, and looks for received data for readGrace longer, once for each
// deadline. Without that, a connection would be closed with a set-up unread in it after the process was stalled or its
// reader was not scheduled: the deadline is looked at before the received data.
type graceReader struct {
	raw       net.Conn
	graceUsed bool // since the deadline was set
}

// set sets until when a read may wait.
func (r *graceReader) set(deadline time.Time) error {
	r.graceUsed = false
	return r.raw.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (r *graceReader) Read(b []byte) (int, error) {
	n, err := r.raw.Read(b)
	if n > 0 || r.graceUsed || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	r.graceUsed = true
	if err := r.raw.SetReadDeadline(time.Now().Add(readGrace)); err != nil {
		return 0, err
	}
	return r.raw.Read(b)
}
