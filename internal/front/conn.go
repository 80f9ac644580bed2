package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/internal/jsonl"
	"eidertrail/internal/stats"
)

// conn is one connection of a caller: a goroutine reads it, another writes it.
type conn struct {
	front   *Front
	raw     net.Conn
	queue   chan line
	pending atomic.Int64 // lines queued and not written yet
	closed  chan struct{}
	once    sync.Once
}

// line is a line to be written. A release may go out on any connection.
type line struct {
	bytes   []byte
	release release
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

// answer queues a final answer.
func (c *conn) answer(b []byte) bool {
	if !c.send(line{bytes: b}) {
		c.front.cfg.Count.Add(stats.AnswersUnwritten)
		return false
	}
	return true
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
			if err != nil {
				c.close()
				if l.release.id != "" {
					c.front.Release(l.release.id, l.release.cause)
				}
			}
			c.pending.Add(-1)
			if err != nil {
				return
			}
		}
	}
}

// gone takes the connection off the list. Its open set-ups are given up: their caller has left. The
// releases that it did not write leave on another; what stands stands on.
func (c *conn) gone() {
	f := c.front
	c.close()
	f.mu.Lock()
	if i := slices.Index(f.conns, c); i >= 0 {
		f.conns = slices.Delete(f.conns, i, i+1)
	}
	for _, k := range f.calls {
		if k.conn == c && !k.stands {
			k.leave()
		}
	}
	f.mu.Unlock()
	for {
		select {
		case l := <-c.queue:
			c.pending.Add(-1)
			if l.release.id != "" {
				f.Release(l.release.id, l.release.cause)
			}
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
			if errors.Is(err, jsonl.ErrTooLong) || errors.Is(err, io.ErrUnexpectedEOF) {
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
			if m.Type == "setup" && token(m.ID, 64) { // an id that can be told is owed an answer
				c.send(line{bytes: jsonl.AppendCause(nil, "release", m.ID, causeFailed)})
			}
			continue
		}
		f.take(c, m, f.cfg.Dispatch.Now())
	}
}
