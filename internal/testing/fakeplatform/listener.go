package fakeplatform

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are pipes.
type Listener struct {
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{accepted: make(chan net.Conn), done: make(chan struct{})}
}

// Dial opens a connection to the listener.
func (l *Listener) Dial() net.Conn {
	client, server := net.Pipe()
	l.accepted <- server
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
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
