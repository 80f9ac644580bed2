// Package standin is the shared helper of the tests: the other side of every
// wire, over pipes inside a synctest bubble or over loopback, and the player of
// the fuzz tests' random steps.
package fakeplatform

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"eidertrail/internal/backend/sip"
)

// Play takes a script two bytes at a time: which step, and its argument. After each step everything
// settles, and check compares with the model.
func Play(script []byte, steps []func(arg byte), check func()) {
	for i := 0; i+1 < len(script) && i < 128; i += 2 {
		steps[int(script[i])%len(steps)](script[i+1])
		synctest.Wait()
		check()
	}
}

// Fuzz runs play on the corpus and on what the fuzzer makes, each in a bubble with a clock of its own.
func Fuzz(f *testing.F, corpus []string, play func(t *testing.T, script []byte)) {
	for _, s := range corpus {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		synctest.Test(t, func(t *testing.T) { play(t, script) })
	})
}

// Listener is a net.Listener whose connections are pipes.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial opens a connection to the listener.
func (l *Listener) Dial() net.Conn {
	a, b := net.Pipe()
	l.conns <- b
	return a
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "standin"} }

// Pool is a stand-in sync pool. Like the real ones it knows a call by its Call-ID alone and numbers
// every answer 1.
type Pool struct {
	// OnRequest gets every request, one connection's in order.
	OnRequest func(r Request)

	mu      sync.Mutex
	conns   []net.Conn
	dialled int
	refuses bool
	silent  bool // takes no connection and refuses none
	wg      sync.WaitGroup
}

// Request is a message that a Pool got, and the way back.
type Request struct {
	*sip.Message
	conn net.Conn
}

// SetRejecting makes the pool refuse new connections, or take them again; silent: neither. On a loopback
// port (Listen) a refused connection is closed as soon as it is taken.
func (p *Pool) SetRejecting(refuses, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses, p.silent = refuses, silent
}

// Drop closes the open connections, as the end of the process would.
func (p *Pool) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// Dialled is the number of connections that were ever opened.
func (p *Pool) Dialled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// Open is the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Dial opens a connection to the pool over a pipe; the address does not matter.
func (p *Pool) Dial(ctx context.Context, _ string) (net.Conn, error) {
	p.mu.Lock()
	refuses, silent := p.refuses, p.silent
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if refuses {
		return nil, syscall.ECONNREFUSED
	}
	a, b := net.Pipe()
	p.wg.Go(func() { p.Serve(b) })
	return a, nil
}

// Listen serves the pool on a loopback port until the test ends and returns its address.
func (p *Pool) Listen(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			refuses := p.refuses
			p.mu.Unlock()
			if refuses { // on loopback a refusal is a connection closed at once
				c.Close()
				continue
			}
			p.wg.Go(func() { p.Serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		p.Drop()
		p.wg.Wait()
	})
	return l.Addr().String()
}

// Serve reads a connection to its end.
func (p *Pool) Serve(c net.Conn) {
	defer func() {
		c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns = slices.DeleteFunc(p.conns, func(o net.Conn) bool { return o == c })
	}()
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.dialled++
	p.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		m, err := sip.Read(r)
		if err != nil {
			return
		}
		if p.OnRequest != nil && m.Method != "" {
			p.OnRequest(Request{m, c})
		}
	}
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
func (r Request) Bye(cause int) { r.conn.Write(bye(r.CallID, cause)) }

// Bye releases a call on the youngest connection.
func (p *Pool) Bye(id string, cause int) { p.Send(string(bye(id, cause))) }

func bye(id string, cause int) []byte {
	m := &sip.Message{
		Method: "BYE", URI: "sip:exchange@net", CallID: id, CSeq: 2, Of: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}},
	}
	return m.Append(nil)
}

// Notify tells a state on the youngest connection.
func (p *Pool) Notify(state string) { p.Send(string(notify(state))) }

// NotifyAll tells a state on every connection.
func (p *Pool) NotifyAll(state string) {
	p.mu.Lock()
	conns := slices.Clone(p.conns)
	p.mu.Unlock()
	for _, c := range conns {
		c.Write(notify(state))
	}
}

func notify(state string) []byte {
	m := &sip.Message{
		Method: "NOTIFY", URI: "sip:exchange@net", CallID: "0000000000000000", CSeq: 1, Of: "NOTIFY",
		Headers: []sip.Header{{Name: "X-State", Value: state}},
	}
	return m.Append(nil)
}

// Send writes any bytes on the youngest connection.
func (p *Pool) Send(text string) {
	p.mu.Lock()
	var c net.Conn
	if n := len(p.conns); n > 0 {
		c = p.conns[n-1]
	}
	p.mu.Unlock()
	if c != nil {
		c.Write([]byte(text))
	}
}
