package front

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/jsonl"
	"eidertrail/internal/stats"
)

// conn is one connection of a caller: a goroutine reads it, another writes it. It is a dispatch.Caller.
type conn struct {
	front   *Front
	raw     net.Conn
	queue   chan line
	pending atomic.Int64 // lines queued and not written yet
	closed  chan struct{}
	once    sync.Once
	proven  bool // it has carried a call; only read looks at it
}

// line is a line to be written. The end of a call may be told on any connection.
type line struct {
	bytes []byte
	over  string // the call that it tells the end of, or ""
	cause int
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
	c.pending.Add(1)
	select {
	case c.queue <- l:
		return true
	default:
		c.pending.Add(-1)
		c.front.cfg.Count.Add(stats.SlowReaders)
		c.close()
		return false
	}
}

// Final implements dispatch.Caller. The platform's wire has no place for a time to come back.
func (c *conn) Final(id string, f dispatch.Final) bool {
	switch {
	case f.Kind == dispatch.Stands:
		return c.send(line{bytes: jsonl.AppendAnswer(nil, id, f.Call.SDP())})
	case f.Kind == dispatch.GivenUp:
		return c.send(line{bytes: jsonl.AppendCause(nil, "release", id, causeTimer)})
	case f.NoRoom:
		return c.send(line{bytes: jsonl.AppendCause(nil, "release", id, causeNoCircuit)})
	}
	return c.send(line{bytes: jsonl.AppendCause(nil, "release", id, causeCongestion)})
}

// Over implements dispatch.Caller.
func (c *conn) Over(id string, cause int) bool {
	return c.send(line{jsonl.AppendCause(nil, "release", id, cause), id, cause})
}

func (c *conn) write() {
	defer c.front.wg.Done()
	defer c.gone()
	for {
		select {
		case <-c.closed:
			return
		case l := <-c.queue:
			err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				_, err = c.raw.Write(l.bytes)
			}
			c.pending.Add(-1)
			if err != nil {
				c.close()
				c.elsewhere(l)
				return
			}
		}
	}
}

// elsewhere hands the end of a call that could not be told here to another connection.
func (c *conn) elsewhere(l line) {
	if l.over != "" {
		c.front.cfg.Desk.Over(l.over, l.cause)
	}
}

// gone takes the connection off. What it did not write of calls that are over leaves on another.
func (c *conn) gone() {
	c.close()
	c.front.cfg.Desk.Disconnect(c)
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
	for {
		select {
		case l := <-c.queue:
			c.pending.Add(-1)
			c.elsewhere(l)
		default:
			return
		}
	}
}

func (c *conn) read() {
	f := c.front
	defer f.wg.Done()
	defer c.close()
	r := bufio.NewReaderSize(c.raw, readBuffer)
	var buf []byte
	for {
		text, err := jsonl.ReadLine(r, buf)
		if err != nil {
			if errors.Is(err, jsonl.ErrTooLong) {
				f.bad(c, err)
			}
			return
		}
		buf = text
		if len(text) == 0 {
			continue
		}
		m, err := jsonl.Parse(text)
		if err != nil {
			f.bad(c, err)
			if m.Type == "setup" && dispatch.Token(m.ID) { // an id that can be told is owed an answer
				c.send(line{bytes: jsonl.AppendCause(nil, "release", m.ID, causeFailed)})
			}
			continue
		}
		f.take(c, &m)
	}
}
