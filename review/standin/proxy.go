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
			go one.carry(client, server)
			go one.carry(server, client)
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

func (o *path) wait() {
	o.mu.Lock()
	until := o.heldUntil
	o.mu.Unlock()
	time.Sleep(time.Until(until))
}

// carry carries bytes one way, and the end of the stream.
func (o *path) carry(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		o.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
