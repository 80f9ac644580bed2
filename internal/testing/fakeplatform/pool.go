package fakeplatform

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"

	"eidertrail/internal/backend/sip"
)

// Pool is a fake pool. Like the platform's pools it identifies a call by its Call-ID alone and numbers every answer 1.
type Pool struct {
	// OnRequest gets every request, one connection's in order.
	OnRequest func(r Request)

	mu          sync.Mutex
	connections []net.Conn // oldest first
	dialled     int
	rejecting   bool
	silent      bool // connections are neither accepted nor refused
	tasks       sync.WaitGroup
}

// SetRejecting makes the pool refuse new connections, or accept them again; silent: neither. On a loopback port
// (Listen) a refused connection is closed as soon as it is accepted.
func (p *Pool) SetRejecting(rejecting, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejecting, p.silent = rejecting, silent
}

// isRejecting reports whether new connections are refused.
func (p *Pool) isRejecting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejecting
}

// CloseConnections closes the open connections, as the end of the process would.
func (p *Pool) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections {
		conn.Close()
	}
	p.connections = nil
}

// AcceptedConnections is the number of connections that were ever opened.
func (p *Pool) AcceptedConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// OpenConnections is the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Dial opens a connection to the pool over a pipe; the address does not matter.
func (p *Pool) Dial(ctx context.Context, _ string) (net.Conn, error) {
	p.mu.Lock()
	rejecting, silent := p.rejecting, p.silent
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if rejecting {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	p.tasks.Go(func() { p.Serve(server) })
	return client, nil
}

// Listen serves the pool on a loopback port until the test ends and returns its address.
func (p *Pool) Listen(tb testing.TB) string {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p.tasks.Go(func() { p.accept(listener) })
	tb.Cleanup(func() {
		listener.Close()
		p.CloseConnections()
		p.tasks.Wait()
	})
	return listener.Addr().String()
}

// accept serves the connections of a listener until it is closed.
func (p *Pool) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if p.isRejecting() {
			conn.Close()
			continue
		}
		p.tasks.Go(func() { p.Serve(conn) })
	}
}

// Serve reads a connection to its end.
func (p *Pool) Serve(conn net.Conn) {
	p.mu.Lock()
	p.connections = append(p.connections, conn)
	p.dialled++
	p.mu.Unlock()
	defer p.forget(conn)
	reader := bufio.NewReader(conn)
	for {
		message, err := sip.Read(reader)
		if err != nil {
			return
		}
		if p.OnRequest != nil && message.Method != "" {
			p.OnRequest(Request{message, conn})
		}
	}
}

// forget closes a connection and takes it out of those that are open.
func (p *Pool) forget(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = slices.DeleteFunc(p.connections, func(other net.Conn) bool { return other == conn })
}

// Bye releases a call on the youngest connection.
func (p *Pool) Bye(id string, cause int) { p.Send(string(byeRequest(id, cause))) }

// Notify reports a state on the youngest connection.
func (p *Pool) Notify(state string) { p.Send(string(notifyRequest(state))) }

// NotifyAll reports a state on every connection.
func (p *Pool) NotifyAll(state string) {
	p.mu.Lock()
	connections := slices.Clone(p.connections)
	p.mu.Unlock()
	for _, conn := range connections {
		write(conn, notifyRequest(state))
	}
}

// Send writes any bytes on the youngest connection.
func (p *Pool) Send(text string) {
	p.mu.Lock()
	var youngest net.Conn
	if n := len(p.connections); n > 0 {
		youngest = p.connections[n-1]
	}
	p.mu.Unlock()
	if youngest != nil {
		write(youngest, []byte(text))
	}
}
