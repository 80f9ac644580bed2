// Package standin is the shared helper of the tests: a sync pool that speaks
// the pools' side of SIP as the test tells it, over loopback or a pipe.
package standin

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"

	"eidertrail/internal/sip"
)

// Pool is a stand-in sync pool. Like the real ones it knows a call by its Call-ID alone and numbers
// every answer 1.
type Pool struct {
	t        testing.TB
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool

	// Got receives every request that comes in, with the connection that it came on.
	Got chan Request
	// OnInvite, if set, answers an INVITE at once: the test need not read Got then.
	OnInvite func(r Request)
}

// Request is a message that a Pool got, and the way back.
type Request struct {
	*sip.Message
	conn net.Conn
}

// NewPool listens on a loopback port of its own until the test ends.
func NewPool(t testing.TB) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Pool{t: t, listener: l, conns: map[net.Conn]bool{}, Got: make(chan Request, 1024)}
	p.wg.Add(1)
	go p.accept()
	t.Cleanup(p.Stop)
	return p
}

// Address is where the pool listens.
func (p *Pool) Address() string { return p.listener.Addr().String() }

// Stop closes the pool and its connections, as the end of its process would.
func (p *Pool) Stop() {
	p.listener.Close()
	p.Drop()
	p.wg.Wait()
}

// Drop closes the open connections.
func (p *Pool) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

func (p *Pool) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		p.wg.Add(1)
		go p.serve(c)
	}
}

func (p *Pool) serve(c net.Conn) {
	defer p.wg.Done()
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		m, err := sip.Read(r)
		if err != nil {
			return
		}
		q := Request{m, c}
		if m.Method == "INVITE" && p.OnInvite != nil {
			p.OnInvite(q)
		}
		if m.Method == "" {
			continue
		}
		select {
		case p.Got <- q:
		default:
		}
	}
}

// Next is the next request of that method; others are passed over.
func (p *Pool) Next(method string) Request {
	p.t.Helper()
	for r := range p.Got {
		if r.Method == method {
			return r
		}
	}
	return Request{}
}

// Answer answers an INVITE: 200 with a description, or a refusal with a note.
func (r Request) Answer(status int, note, sdp string) {
	m := &sip.Message{Status: status, Reason: "X", CallID: r.CallID, CSeq: 1, Of: "INVITE", Body: []byte(sdp)}
	if note != "" {
		m.Headers = append(m.Headers, sip.Header{Name: "X-Note", Value: note})
	}
	r.conn.Write(m.Append(nil))
}

// Bye releases the call of the request on the connection that it came on.
func (r Request) Bye(cause int) {
	m := &sip.Message{Method: "BYE", URI: "sip:exchange@net", CallID: r.CallID, CSeq: 2, Of: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}
	r.conn.Write(m.Append(nil))
}

// Send writes any bytes on the connection of the request.
func (r Request) Send(text string) { r.conn.Write([]byte(text)) }

// Notify tells a state on every open connection.
func (p *Pool) Notify(state string) {
	m := &sip.Message{Method: "NOTIFY", URI: "sip:exchange@net", CallID: "0000000000000000", CSeq: 1, Of: "NOTIFY",
		Headers: []sip.Header{{Name: "X-State", Value: state}}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Write(m.Append(nil))
	}
}
