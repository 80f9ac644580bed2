package jsonlines

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
)

// conn is one connection of a caller: a goroutine reads it, another writes it. It is a dispatch.Caller.
type conn struct {
	front  *Server
	raw    net.Conn
	queue  chan line
	closed chan struct{}
	once   sync.Once
	came   time.Time
	said   atomic.Bool  // a whole message has come
	active atomic.Int64 // when the last one did
	looked bool         // the last look since arm was had; only read looks at it
	// unwritten is how many lines were queued and are not written yet.
	unwritten atomic.Int64
	strikes   int // what was wrong with what came; only read looks at it
}

// line is a line to be written. The end of a call may be told on any connection.
type line struct {
	bytes []byte
	over  string // the call that it tells the end of, or ""
	cause int
	stood string // the call that it tells the answer of, or ""
	last  bool   // nothing to write: the connection ends here
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
	})
}

// send queues a line and never blocks: a caller who does not read for so long loses the connection.
func (c *conn) send(l line) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	c.unwritten.Add(1)
	select {
	case c.queue <- l:
		return true
	default:
		c.front.cfg.Counters.Add(telemetry.SlowReaders)
		c.close()
		return false
	}
}

// leave closes the connection and tells the desk at once that its caller has left. Guards against the set-ups of a
// caller that left going on for as long as a write to it is stuck: the writer told the desk, after that.
func (c *conn) leave() {
	c.close()
	c.front.cfg.Calls.Disconnect(c)
}

// finish has the connection closed once what is queued is written. What still comes on it is thrown away until then;
// its end is an end.
func (c *conn) finish() {
	c.front.cfg.Counters.Add(telemetry.ClosedBad)
	if c.send(line{last: true}) && c.raw.SetReadDeadline(time.Now().Add(writeTimeout)) == nil {
		io.Copy(io.Discard, c.raw)
	}
	c.close()
}

// Final implements dispatch.Caller. The platform's wire has no place for a time to come back. On it causes 34, 42 and
// 102 say that trying again is harmless, so a call that may have been carried out and must not be repeated gets
// another.
func (c *conn) Final(id string, f dispatch.Final) bool {
	switch {
	case f.Kind == dispatch.FinalEstablished:
		return c.send(line{bytes: linecodec.AppendAnswer(nil, id, f.Call.SDP()), stood: id})
	case f.Kind == dispatch.FinalFailed && f.MayHaveRun:
		return c.send(line{bytes: linecodec.AppendCause(nil, "release", id, causeFailed)})
	case f.Kind == dispatch.FinalFailed:
		return c.send(line{bytes: linecodec.AppendCause(nil, "release", id, causeTimer)})
	case f.NoAgentFree:
		return c.send(line{bytes: linecodec.AppendCause(nil, "release", id, causeNoCircuit)})
	}
	return c.send(line{bytes: linecodec.AppendCause(nil, "release", id, causeCongestion)})
}

// CallEnded implements dispatch.Caller.
func (c *conn) CallEnded(id string, cause int) bool {
	return c.send(line{bytes: linecodec.AppendCause(nil, "release", id, cause), over: id, cause: cause})
}

func (c *conn) write() {
	defer c.front.wg.Done()
	defer c.gone()
	for {
		select {
		case <-c.closed:
			return
		case l := <-c.queue:
			if l.last {
				c.close()
				return
			}
			err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				_, err = c.raw.Write(l.bytes)
			}
			c.trace("out", l.bytes, err)
			if err != nil {
				c.close()
				c.elsewhere(l)
				return
			}
			c.unwritten.Add(-1)
			c.rest()
		}
	}
}

// rest has the connection closed, while the front drains, once no set-up on it is open and what is queued is
// written.
func (c *conn) rest() {
	if c.front.draining.Load() && c.front.cfg.Calls.Retire(c) && !c.send(line{last: true}) {
		c.close()
	}
}

// trace logs the beginning of a line at debug level.
func (c *conn) trace(way string, text []byte, err error) {
	if e := c.front.cfg.Log.Debug(); e.Enabled() {
		e.Str("way", way).Stringer("caller", c.raw.RemoteAddr()).Bytes("line", text[:min(len(text), 70)]).AnErr("error", err).Msg("line")
	}
}

// elsewhere hands the end of a call that could not be told here to another connection, and the answer of one back.
func (c *conn) elsewhere(l line) {
	if l.stood != "" {
		c.front.cfg.Calls.AnswerLost(l.stood)
	}
	if l.over != "" {
		c.front.cfg.Calls.RedeliverEnd(l.over, l.cause)
	}
}

// gone takes the connection off. What it did not write of calls that are over leaves on another, and calls whose
// answers it did not write are released.
func (c *conn) gone() {
	c.leave()
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
	for {
		select {
		case l := <-c.queue:
			c.elsewhere(l)
		default:
			return
		}
	}
}

// arm sets until when a read may wait.
func (c *conn) arm(until time.Time) error {
	c.looked = false
	return c.raw.SetReadDeadline(until)
}

// Read implements io.Reader for the reading goroutine. When the time to wait is over, it looks for lastLook longer,
// once. Guards against a set-up that lay unread while the process stood still, or the reader had no turn, being closed
// upon: the time's end is looked at before what has come.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.raw.Read(b)
	if n > 0 || c.looked || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.looked = true
	if err := c.raw.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	return c.raw.Read(b)
}

// idle tells whether nothing is owed on the connection. Guards against the end of a call that nobody can be told: its own
// connection was quiet for idleAfter and closed, and callers keep open only those that have calls on them.
func (c *conn) idle() bool {
	open, stands, _ := c.front.cfg.Calls.ConnState(c)
	return open+stands == 0 && c.unwritten.Load() == 0
}

// next reads a line. It waits for the first one from the connection's beginning, for a later one from its
// first byte on, and between lines for as long as a set-up is open, a call stands or a line is
// unwritten.
func (c *conn) next(r *bufio.Reader, buf []byte) ([]byte, error) {
	until := c.came.Add(firstWithin)
	if c.said.Load() {
		for r.Buffered() == 0 {
			if err := c.arm(time.Now().Add(idleAfter)); err != nil {
				return nil, err
			}
			if _, err := r.Peek(1); err == nil {
				break
			} else if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
				return nil, err
			}
		}
		if whole, _ := r.Peek(r.Buffered()); bytes.IndexByte(whole, '\n') >= 0 {
			return linecodec.ReadLine(r, buf)
		}
		until = time.Now().Add(lineWithin)
	}
	if err := c.arm(until); err != nil {
		return nil, err
	}
	return linecodec.ReadLine(r, buf)
}

func (c *conn) read() {
	f := c.front
	defer f.wg.Done()
	defer c.leave()
	r := bufio.NewReaderSize(c, readBuffer)
	var buf []byte
	for c.strikes < mostStrikes {
		text, err := c.next(r, buf)
		if errors.Is(err, linecodec.ErrTooLong) {
			f.bad(c, err)
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			f.cfg.Counters.Add(telemetry.Overdue)
		}
		c.trace("in", text, err)
		if err != nil {
			return
		}
		buf = text
		if len(text) == 0 {
			c.strikes++
			continue
		}
		m, err := linecodec.Parse(text)
		if err != nil {
			f.bad(c, err)
			if m.Type != "setup" || !dispatch.IsToken(m.ID) { // nothing can be answered to it
				break
			}
			// An id that can be told is owed an answer, unless its answer is another set-up's.
			if !f.cfg.Calls.Owns(c, m.ID) {
				c.send(line{bytes: linecodec.AppendCause(nil, "release", m.ID, causeFailed)})
			}
			continue
		}
		f.take(c, &m)
		c.active.Store(f.cfg.Clock.Now())
		c.said.Store(true)
	}
	c.finish()
}
