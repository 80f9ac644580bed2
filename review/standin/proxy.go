package main

import (
	"net"
	"sync"
	"time"
)

// proxy is the network path to a pool: it carries the bytes of each connection, and can hold those of the connections
// that are open up for a time. What was held up is delivered then, in order, as TCP does; nothing is lost.
type proxy struct {
	rec    *record
	name   string
	addr   string
	target string

	mu    sync.Mutex
	conns []*path
}

type path struct {
	client, server net.Conn
	mu             sync.Mutex
	heldUntil      time.Time
	cutAfter       int           // so many further bytes from the client pass before the connection falls quiet
	cutFor         time.Duration // for so long; 0: not
}

func newProxy(rec *record, name, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, name: name, addr: l.Addr().String(), target: target}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			one := &path{client: client, server: server}
			p.mu.Lock()
			p.conns = append(p.conns, one)
			p.mu.Unlock()
			go one.carry(client, server, true)
			go one.carry(server, client, false)
		}
	}()
	return p, nil
}

// hold holds up the bytes of the connections that are open now.
func (p *proxy) hold(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.logf("%s: the open connections fall quiet for %v", p.name, length)
	for _, one := range p.conns {
		one.mu.Lock()
		one.heldUntil = time.Now().Add(length)
		one.mu.Unlock()
	}
}

// cut lets so many further bytes from the client pass on the latest connection, and then holds it up.
func (p *proxy) cut(after int, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.conns[len(p.conns)-1]
	one.mu.Lock()
	defer one.mu.Unlock()
	one.cutAfter, one.cutFor = after, length
	p.rec.logf("%s: the connection falls quiet for %v after %d further bytes", p.name, length, after)
}

// pass returns how many of n bytes from the client pass now.
func (o *path) pass(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cutFor == 0 || n < o.cutAfter {
		if o.cutFor > 0 {
			o.cutAfter -= n
		}
		return n
	}
	o.heldUntil = time.Now().Add(o.cutFor)
	o.cutFor = 0
	return o.cutAfter
}

func (o *path) wait() {
	o.mu.Lock()
	until := o.heldUntil
	o.mu.Unlock()
	time.Sleep(time.Until(until))
}

// carry carries bytes one way, and the end of the stream.
func (o *path) carry(from, to net.Conn, fromClient bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		o.wait()
		first := n
		if fromClient {
			first = o.pass(n)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:first]); err != nil {
				return
			}
			if first < n {
				o.wait()
				to.Write(buffer[first:n])
			}
		}
		if err != nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
