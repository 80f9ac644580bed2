package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// The load that every pool of the cases reports, in the fields that the settings name.
const (
	reportInterval = 300 * time.Millisecond // the brief: 110 to 590 ms
	manyAgents     = 2000
)

// setup is a set-up that has reached a pool.
type setup struct {
	id, number, sdp string
	class           string
	at              time.Time
}

// pool is a sync pool on a loopback port. It takes a call up by its Call-ID, and a connection owns no call that stands.
type pool struct {
	name string
	rec  *record
	addr string

	mu       sync.Mutex
	agents   int
	wait     time.Duration     // from a set-up to its answer
	hold     time.Duration     // after which a call comes to its end by itself, 0: never
	conns    []*poolConn       // open, the oldest first
	open     map[string]*setup // set-ups without an answer
	standing map[string]*poolCall
	toResend []string // releases that go on the next connection too
	resends  map[string]int
	setups   []setup // all that have arrived, in order
}

type poolConn struct {
	raw net.Conn
	mu  sync.Mutex
}

type poolCall struct {
	setup
	conn       *poolConn
	answeredAt time.Time
}

func (c *poolConn) write(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.raw.Write([]byte(text))
	return err == nil
}

func startPool(name string, wait time.Duration, rec *record) (*pool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pool{
		name: name, rec: rec, addr: listener.Addr().String(), wait: wait, agents: manyAgents,
		open: map[string]*setup{}, standing: map[string]*poolCall{}, resends: map[string]int{},
	}
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(&poolConn{raw: raw})
		}
	}()
	return p, nil
}

func (p *pool) state() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report()
}

func (p *pool) serve(c *poolConn) {
	defer p.closed(c)
	if !c.write(notify(p.state())) { // it comes first of all
		return
	}
	p.opened(c)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(reportInterval):
				c.write(notify(p.state()))
			}
		}
	}()
	reader := bufio.NewReaderSize(c.raw, 32<<10)
	for {
		m, err := readMessage(reader)
		if err != nil {
			p.rec.logf("%s: a connection has ended", p.name)
			return
		}
		if m.isResponse() {
			p.heard(m)
		} else {
			p.request(c, m)
		}
	}
}

// heard notes that the controller has heard of a release.
func (p *pool) heard(m *message) {
	if strings.HasSuffix(m.headers["cseq"], " BYE") {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.toResend = slices.DeleteFunc(p.toResend, func(id string) bool { return id == m.callID() })
	}
}

// opened notes a connection, and sends on it the releases that no connection before it is known to have carried.
func (p *pool) opened(c *poolConn) {
	p.mu.Lock()
	p.conns = append(p.conns, c)
	resend := p.toResend
	p.toResend = nil
	causes := make([]int, len(resend))
	for i, id := range resend {
		causes[i] = p.resends[id]
	}
	p.mu.Unlock()
	p.rec.logf("%s: a connection is open", p.name)
	for i, id := range resend {
		p.rec.logf("%s: release of %s, cause %d, on the next connection that was opened", p.name, id, causes[i])
		c.write(bye(id, causes[i]))
	}
}

// closed gives up what was open on a connection that has ended.
func (p *pool) closed(c *poolConn) {
	c.raw.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other *poolConn) bool { return other == c })
}

func (p *pool) request(c *poolConn, m *message) {
	id := m.callID()
	switch m.method() {
	case "INVITE":
		p.invite(c, setup{id: id, number: m.number(), sdp: m.body, class: m.headers["subject"], at: time.Now()})
	case "CANCEL":
		p.mu.Lock()
		_, pending := p.open[id]
		delete(p.open, id)
		p.mu.Unlock()
		p.rec.logf("%s: cancel of %s", p.name, id)
		c.write(response(200, "OK", id, "CANCEL", "", ""))
		if pending {
			c.write(response(487, "Request Terminated", id, "INVITE", "", ""))
		}
	case "BYE":
		p.mu.Lock()
		_, stood := p.standing[id]
		delete(p.standing, id)
		p.mu.Unlock()
		p.rec.logf("%s: release of %s by the controller, it stood: %v", p.name, id, stood)
		c.write(response(200, "OK", id, "BYE", "", ""))
	case "OPTIONS":
		c.write(response(200, "OK", id, "OPTIONS", "", ""))
	}
}

func (p *pool) invite(c *poolConn, s setup) {
	p.mu.Lock()
	p.setups = append(p.setups, s)
	if len(p.standing)+len(p.open) >= p.agents {
		extra := "X-Note: blocked\r\nX-State: " + p.report() + "\r\n"
		p.mu.Unlock()
		p.rec.logf("%s: set-up %s is refused, no agent", p.name, s.id)
		c.write(response(503, "Service Unavailable", s.id, "INVITE", extra, ""))
		return
	}
	p.open[s.id] = &s
	wait := p.wait
	p.mu.Unlock()
	p.rec.logf("%s: set-up %s, class %s, number %s", p.name, s.id, s.class, s.number)
	time.AfterFunc(wait, func() { p.answer(c, s) })
}

// answer answers a set-up that was not given up meanwhile: the call stands from then on.
func (p *pool) answer(c *poolConn, s setup) {
	p.mu.Lock()
	if p.open[s.id] == nil || !slices.Contains(p.conns, c) {
		delete(p.open, s.id)
		p.mu.Unlock()
		return
	}
	delete(p.open, s.id)
	p.standing[s.id] = &poolCall{setup: s, conn: c, answeredAt: time.Now()}
	if p.hold > 0 {
		time.AfterFunc(p.hold, func() { p.release(s.id, 16) })
	}
	p.mu.Unlock()
	p.rec.logf("%s: %s is answered", p.name, s.id)
	c.write(response(200, "OK", s.id, "INVITE", "", description(s)))
}

// description is the description that the pool answers a set-up with.
func description(s setup) string {
	return "v=0\r\no=pool " + s.id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
}

// release ends a call: on the connection of its set-up, or else on any open one, and on the next one that is opened.
func (p *pool) release(id string, cause int) {
	p.mu.Lock()
	call := p.standing[id]
	if call == nil { // the controller has released it
		p.mu.Unlock()
		return
	}
	delete(p.standing, id)
	p.toResend = append(p.toResend, id)
	p.resends[id] = cause
	var conn *poolConn
	if slices.Contains(p.conns, call.conn) {
		conn = call.conn
	} else if len(p.conns) > 0 {
		conn = p.conns[len(p.conns)-1]
	}
	p.mu.Unlock()
	p.rec.logf("%s: %s has come to its end, cause %d, a connection is open: %v", p.name, id, cause, conn != nil)
	if conn != nil {
		conn.write(bye(id, cause))
	}
}

func (p *pool) standingIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(p.standing))
	for id := range p.standing {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *pool) set(change func(p *pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// report is the pool's load report. The caller holds mu.
func (p *pool) report() string {
	return fmt.Sprintf("x0:%d;x1:%d", max(0, p.agents-len(p.standing)-len(p.open)), p.agents)
}
