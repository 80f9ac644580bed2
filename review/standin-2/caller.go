package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// line is one JSON line of the callers' wire.
type line struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  *int           `json:"cause,omitempty"`
	SDP    string         `json:"sdp,omitempty"`
}

func (l line) cause() int {
	if l.Cause == nil {
		return -1
	}
	return *l.Cause
}

// call is a call as its caller sees it.
type call struct {
	id      string
	first   bool // the first set-up of its connection
	sentAt  time.Time
	left    time.Duration
	answers []line // final answers, in order
	finalAt time.Time
	stands  bool
	resent  bool // it had crossed the close of another connection
	class   string
	pool    int
}

// caller is a connection of callers.
type caller struct {
	rec     *record
	name    string
	raw     net.Conn
	writing sync.Mutex

	mu       sync.Mutex
	calls    map[string]*call
	order    []*call
	closedAt time.Time
	closed   chan struct{}
	foreign  []line           // releases of calls that this caller did not set up
	shared   map[string]*call // calls of earlier connections
	slow     bool             // a message takes 2 s to write
}

var lastCall atomic.Uint64

// newID is a new call's id: 16 hex digits that no call had before.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixMicro()), lastCall.Add(1))
}

func connect(rec *record, name, address string, shared map[string]*call) (*caller, error) {
	raw, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{rec: rec, name: name, raw: raw, calls: map[string]*call{}, closed: make(chan struct{}), shared: shared}
	rec.logf("%s: connected", name)
	go c.read()
	return c, nil
}

func (c *caller) write(l line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return c.writeBytes(append(text, '\n'))
}

func (c *caller) writeBytes(text []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.raw.SetWriteDeadline(time.Now().Add(4 * time.Second))
	if c.slow {
		half := len(text) / 2
		if _, err := c.raw.Write(text[:half]); err != nil {
			return err
		}
		time.Sleep(1950 * time.Millisecond)
		text = text[half:]
	}
	_, err := c.raw.Write(text)
	return err
}

func setupLine(id, class, number string, pool int, left time.Duration) line {
	return line{
		Type: "setup", ID: id, SDP: "v=0\r\no=caller " + id + "\r\nm=audio 31000 RTP/AVP 0\r\n",
		Fields: map[string]any{
			"class": class, "left": strconv.FormatInt(left.Milliseconds(), 10), "key": number,
			"extras": "dest:" + strconv.Itoa(pool) + ";width:1;via:-1",
		},
	}
}

// setup sends a set-up. One that could not be written whole is none.
func (c *caller) setup(class string, pool int, left time.Duration) *call {
	return c.send(&call{id: newID(), class: class, pool: pool, left: left})
}

// again sends a set-up again that has crossed the close of another connection.
func (c *caller) again(crossed call) *call {
	return c.send(&call{id: crossed.id, class: crossed.class, pool: crossed.pool, left: crossed.left, resent: true})
}

func (c *caller) send(set *call) *call {
	id := set.id
	c.mu.Lock()
	set.first = len(c.order) == 0
	c.calls[id] = set
	c.mu.Unlock()
	err := c.write(setupLine(id, set.class, id, set.pool, set.left))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.calls, id)
		return nil
	}
	set.sentAt = time.Now()
	c.order = append(c.order, set)
	c.rec.logf("%s: set-up %s, %s, left %d ms, sent again: %v", c.name, id, set.class, set.left.Milliseconds(), set.resent)
	return set
}

func (c *caller) read() {
	defer close(c.closed)
	reader := bufio.NewReaderSize(c.raw, 64<<10)
	for {
		text, err := reader.ReadBytes('\n')
		if err != nil {
			c.mu.Lock()
			c.closedAt = time.Now()
			c.mu.Unlock()
			c.rec.logf("%s: the connection has ended: %v", c.name, err)
			return
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			c.rec.logf("%s: a line that can't be read: %.80q", c.name, text)
			continue
		}
		c.take(l)
	}
}

func (c *caller) take(l line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.logf("%s: got %s of %s, cause %d", c.name, l.Type, l.ID, l.cause())
	known := c.calls[l.ID]
	if known == nil {
		known = c.shared[l.ID]
	}
	switch {
	case l.Type != "answer" && l.Type != "release":
	case known == nil:
		c.foreign = append(c.foreign, l)
	case l.Type == "release" && known.stands:
		known.stands = false
	default:
		known.answers = append(known.answers, l)
		known.finalAt = time.Now()
		known.stands = l.Type == "answer" && len(known.answers) == 1
	}
}

// isClosed reports whether the connection has ended.
func (c *caller) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// all are the connection's set-ups, copied.
func (c *caller) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]call, len(c.order))
	for i, set := range c.order {
		all[i] = *set
	}
	return all
}

// awaitFinals waits until every set-up has its final answer, or the time is over.
func (c *caller) awaitFinals(timeout time.Duration) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		pending := 0
		for _, set := range c.all() {
			if len(set.answers) == 0 {
				pending++
			}
		}
		if pending == 0 || c.isClosed() {
			return
		}
	}
}
