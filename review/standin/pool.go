package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pool is a sync pool as the protocol page has it: it identifies a call by its Call-ID, sends its load report first on
// each new connection and then unasked, and sends the release of a call on the connection of its set-up, else on any
// open one, and on the next one that is opened.
type pool struct {
	name   string
	rec    *record
	agents int

	mu       sync.Mutex
	listener net.Listener
	addr     string
	answerIn time.Duration // how long a set-up waits at the processor
	mute     bool          // it reads and answers nothing
	lose     bool          // answers to set-ups are lost on their way
	hold     time.Duration // length of a call
	conns    []*poolConn   // open ones, oldest first
	calls    map[string]*poolCall
	resend   []poolRelease // sent since the latest connection was opened
	invites  []invite      // every set-up that came
	byes     map[string]time.Time
	ended    map[string]time.Time // calls that this pool ended
	cut      map[string]time.Time // calls that stood and that a release from the session controller cut
	opened   int
	ran      int // set-ups that were carried out: an answer was written
	dead     bool
}

type invite struct {
	id string
	at time.Time // of its first byte
}

type poolRelease struct {
	id    string
	cause int
}

type poolCall struct {
	conn     *poolConn
	standing bool
	since    time.Time
	timer    *time.Timer
}

type poolConn struct {
	pool *pool
	raw  net.Conn
	mu   sync.Mutex
}

func newPool(rec *record, name string, agents int) (*pool, error) {
	return newPoolAt(rec, name, agents, "127.0.0.1:0")
}

func newPoolAt(rec *record, name string, agents int, address string) (*pool, error) {
	p := &pool{name: name, rec: rec, agents: agents, answerIn: 20 * time.Millisecond, hold: time.Hour,
		calls: map[string]*poolCall{}, byes: map[string]time.Time{}, ended: map[string]time.Time{}, cut: map[string]time.Time{}}
	var err error
	if p.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	p.addr = p.listener.Addr().String()
	go p.accept(p.listener)
	go p.reports()
	return p, nil
}

func (p *pool) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := &poolConn{pool: p, raw: raw}
		p.mu.Lock()
		p.opened++
		p.conns = append(p.conns, c)
		resend := p.resend
		p.resend = nil
		report := p.reportText()
		p.mu.Unlock()
		p.rec.logf("%s: connection opened", p.name)
		c.send("NOTIFY sip:state@net SIP/2.0", "", "1 NOTIFY", "X-State: "+report, "")
		for _, release := range resend {
			c.bye(release)
		}
		go c.read()
	}
}

// reports sends the load report on every open connection.
func (p *pool) reports() {
	for {
		time.Sleep(300 * time.Millisecond)
		p.mu.Lock()
		if p.dead {
			p.mu.Unlock()
			return
		}
		conns, report, mute := append([]*poolConn(nil), p.conns...), p.reportText(), p.mute
		p.mu.Unlock()
		if mute {
			continue
		}
		for _, c := range conns {
			c.send("NOTIFY sip:state@net SIP/2.0", "", "1 NOTIFY", "X-State: "+report, "")
		}
	}
}

// reportText is the load report; the caller holds mu.
func (p *pool) reportText() string {
	busy := 0
	for _, call := range p.calls {
		if call.standing {
			busy++
		}
	}
	return fmt.Sprintf("idle:%d;circuits:%d", max(0, p.agents-busy), p.agents)
}

func (p *pool) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// standing returns the ids of the calls that stand.
func (p *pool) standing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, call := range p.calls {
		if call.standing {
			ids = append(ids, id)
		}
	}
	return ids
}

// endCall is the call's own end: the release with cause 16.
func (p *pool) endCall(id string) {
	p.mu.Lock()
	call := p.calls[id]
	if call == nil || !call.standing {
		p.mu.Unlock()
		return
	}
	delete(p.calls, id)
	p.ended[id] = time.Now()
	release := poolRelease{id, 16}
	p.resend = append(p.resend, release)
	conn := call.conn
	if !p.isOpen(conn) {
		conn = nil
		if len(p.conns) > 0 {
			conn = p.conns[len(p.conns)-1]
		}
	}
	p.mu.Unlock()
	p.rec.logf("%s: call %s has come to its end", p.name, id)
	if conn != nil {
		conn.bye(release)
	}
}

// isOpen reports whether a connection is open; the caller holds mu.
func (p *pool) isOpen(c *poolConn) bool {
	for _, open := range p.conns {
		if open == c {
			return true
		}
	}
	return false
}

// close ends the pool's process.
func (p *pool) close() {
	p.mu.Lock()
	p.dead = true
	conns := p.conns
	p.mu.Unlock()
	p.listener.Close()
	for _, c := range conns {
		c.raw.Close()
	}
}

func (c *poolConn) send(first, id, cseq string, headers ...string) {
	body := ""
	if n := len(headers); n > 0 {
		body = headers[n-1]
		headers = headers[:n-1]
	}
	var b strings.Builder
	b.WriteString(first + "\r\nVia: SIP/2.0/TCP peer\r\n")
	if id != "" {
		b.WriteString("Call-ID: " + id + "\r\n")
	}
	b.WriteString("CSeq: " + cseq + "\r\n")
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raw.SetWriteDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c.raw, b.String())
}

func (c *poolConn) bye(release poolRelease) {
	c.pool.rec.logf("%s: sends BYE %s cause %d", c.pool.name, release.id, release.cause)
	c.send("BYE sip:x@net SIP/2.0", release.id, "2 BYE", fmt.Sprintf("Reason: Q.850;cause=%d", release.cause), "")
}

func (c *poolConn) read() {
	p := c.pool
	defer func() {
		c.raw.Close()
		p.mu.Lock()
		for i, open := range p.conns {
			if open == c {
				p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
				break
			}
		}
		for id, call := range p.calls { // the set-ups that are open on it are given up
			if call.conn == c && !call.standing {
				call.timer.Stop()
				delete(p.calls, id)
			}
		}
		p.mu.Unlock()
		p.rec.logf("%s: connection closed", p.name)
	}()
	r := bufio.NewReader(c.raw)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		at := time.Now()
		first, headers, err := readMessage(r)
		if err != nil {
			return
		}
		for {
			p.mu.Lock()
			mute := p.mute
			p.mu.Unlock()
			if !mute {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		method, _, _ := strings.Cut(first, " ")
		id := headers["call-id"]
		if method != "SIP/2.0" && method != "ACK" {
			p.rec.logf("%s: received %s %s", p.name, method, id)
		}
		switch method {
		case "INVITE":
			c.invite(id, at)
		case "CANCEL":
			c.send("SIP/2.0 200 OK", id, "1 CANCEL", "")
			p.mu.Lock()
			call := p.calls[id]
			open := call != nil && !call.standing && call.conn == c
			if open {
				call.timer.Stop()
				delete(p.calls, id)
			}
			p.mu.Unlock()
			if open {
				c.send("SIP/2.0 487 Request Terminated", id, "1 INVITE", "")
			}
		case "BYE":
			p.mu.Lock()
			p.byes[id] = at
			call := p.calls[id]
			standing := call != nil && call.standing
			if standing {
				p.cut[id] = time.Now()
			}
			if call != nil {
				call.timer.Stop()
				delete(p.calls, id)
			}
			p.mu.Unlock()
			if standing {
				p.rec.logf("%s: the release has cut call %s", p.name, id)
			}
			c.send("SIP/2.0 200 OK", id, "2 BYE", "")
		case "OPTIONS":
			c.send("SIP/2.0 200 OK", id, "1 OPTIONS", "")
		}
	}
}

func (c *poolConn) invite(id string, at time.Time) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.invites = append(p.invites, invite{id, at})
	if known := p.calls[id]; known != nil && known.standing {
		return // a call of this id stands: nothing new is set up
	}
	call := &poolCall{conn: c}
	p.calls[id] = call
	call.timer = time.AfterFunc(p.answerIn, func() { c.answer(id, call) })
}

func (c *poolConn) answer(id string, call *poolCall) {
	p := c.pool
	p.mu.Lock()
	if p.calls[id] != call || call.standing {
		p.mu.Unlock()
		return
	}
	busy := 0
	for _, other := range p.calls {
		if other.standing {
			busy++
		}
	}
	full := busy >= p.agents
	if full {
		delete(p.calls, id)
	} else {
		p.ran++
		call.standing, call.since = true, time.Now()
		call.timer = time.AfterFunc(p.hold, func() { p.endCall(id) })
	}
	report, lose := p.reportText(), p.lose
	p.mu.Unlock()
	switch {
	case full:
		p.rec.logf("%s: 503 to %s", p.name, id)
		c.send("SIP/2.0 503 Full", id, "1 INVITE", "X-Note: blocked", "X-State: "+report, "")
	case lose:
		p.rec.logf("%s: 200 to %s, lost on its way", p.name, id)
	default:
		p.rec.logf("%s: 200 to %s", p.name, id)
		c.send("SIP/2.0 200 OK", id, "1 INVITE", "X-State: "+report, sdpOf(p.name, id))
	}
}

// sdpOf is the description that a pool gives for a call.
func sdpOf(pool, id string) string {
	return "v=0\r\no=" + pool + " " + id + " 1 IN IP4 127.0.0.1\r\ns=-\r\n"
}

func readMessage(r *bufio.Reader) (first string, headers map[string]string, err error) {
	headers = map[string]string{}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if first == "" {
				continue
			}
			break
		}
		if first == "" {
			first = line
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		headers[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
	}
	length, _ := strconv.Atoi(headers["content-length"])
	_, err = io.CopyN(io.Discard, r, int64(length))
	return first, headers, err
}
