package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// call is a set-up as its caller sees it.
type call struct {
	id       string
	conn     *caller
	sentAt   time.Time
	left     time.Duration
	finals   []string // "answer", or "release N"
	finalAt  time.Time
	sdp      string
	released time.Time // a release after the answer
	gaveUp   bool
}

// book has every call of the case.
type book struct {
	mu    sync.Mutex
	calls map[string]*call
	order []string
	stray []string // releases of ids that no caller had
}

func newBook() *book { return &book{calls: map[string]*call{}} }

func (b *book) get(id string) call {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.calls[id]; c != nil {
		return *c
	}
	return call{}
}

func (b *book) all() []call {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []call
	for _, id := range b.order {
		all = append(all, *b.calls[id])
	}
	return all
}

// caller is one connection of callers.
type caller struct {
	name string
	rec  *record
	book *book
	raw  net.Conn

	mu       sync.Mutex
	closedAt time.Time // by the controller
	closed   bool      // by the caller itself
	pong     chan int
	done     chan struct{}
}

func dialCaller(rec *record, b *book, name, addr string) (*caller, error) {
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{name: name, rec: rec, book: b, raw: raw, pong: make(chan int, 64), done: make(chan struct{})}
	go c.read()
	return c, nil
}

func (c *caller) read() {
	defer close(c.done)
	r := bufio.NewReader(c.raw)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			c.mu.Lock()
			if !c.closed {
				c.closedAt = time.Now()
				c.rec.logf("%s: the controller has closed the connection (%v)", c.name, err)
			}
			c.mu.Unlock()
			c.raw.Close()
			return
		}
		c.take(strings.TrimSpace(line))
	}
}

func (c *caller) take(line string) {
	var m struct {
		Type  string `json:"type"`
		ID    string `json:"id"`
		Cause int    `json:"cause"`
		SDP   string `json:"sdp"`
	}
	if err := json.Unmarshal([]byte(line), &m); err != nil {
		c.rec.logf("%s: received what can't be read: %q", c.name, line)
		return
	}
	if m.Type == "pong" {
		select {
		case c.pong <- m.Cause:
		default:
		}
		return
	}
	c.rec.logf("%s: received %s %s cause %d", c.name, m.Type, m.ID, m.Cause)
	if m.Type != "answer" && m.Type != "release" {
		return
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	one := c.book.calls[m.ID]
	switch {
	case one == nil:
		c.book.stray = append(c.book.stray, m.ID)
	case m.Type == "answer":
		one.finals = append(one.finals, "answer")
		one.finalAt, one.sdp = time.Now(), m.SDP
	case len(one.finals) > 0 && one.finals[0] == "answer":
		if one.released.IsZero() {
			one.released = time.Now()
		}
	default:
		one.finals = append(one.finals, fmt.Sprintf("release %d", m.Cause))
		one.finalAt = time.Now()
	}
}

func (c *caller) isOpen() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (c *caller) write(line string) error {
	c.raw.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(c.raw, line+"\n")
	return err
}

// setUp sends a set-up. One that can't be written is no request.
func (c *caller) setUp(id, class string, left time.Duration, dest int) bool {
	sdp := "v=0\r\no=caller " + id + " 1 IN IP4 127.0.0.1\r\ns=-\r\n"
	text, _ := json.Marshal(sdp)
	one := &call{id: id, conn: c, left: left, sentAt: time.Now()}
	c.book.mu.Lock()
	c.book.calls[id] = one
	c.book.order = append(c.book.order, id)
	c.book.mu.Unlock()
	err := c.write(fmt.Sprintf(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%d","key":"%s","extras":"dest:%d;width:1;via:-1"},"sdp":%s}`,
		id, class, left.Milliseconds(), id, dest, text))
	if err != nil {
		c.book.mu.Lock()
		one.gaveUp = true
		c.book.mu.Unlock()
		return false
	}
	c.rec.logf("%s: set-up %s left %d ms", c.name, id, left.Milliseconds())
	return true
}

func (c *caller) release(id string, cause int) error {
	c.rec.logf("%s: release %s cause %d", c.name, id, cause)
	return c.write(fmt.Sprintf(`{"type":"release","id":"%s","fields":{},"cause":%d}`, id, cause))
}

// ping asks whether the controller is ready.
func (c *caller) ping() bool {
	if c.write(`{"type":"ping","id":"f0f0f0f0f0f0f0f0","fields":{},"cause":0}`) != nil {
		return false
	}
	select {
	case cause := <-c.pong:
		return cause == 1
	case <-time.After(time.Second):
	case <-c.done:
	}
	return false
}

func (c *caller) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.raw.Close()
}

func (c *caller) closedByController() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt
}

// wait waits until the condition holds, for a time at most.
func wait(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
