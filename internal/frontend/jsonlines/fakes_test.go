package jsonlines

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"eidertrail/dispatch"
	"eidertrail/internal/testing/fakeplatform"
)

// heldListener is a listener whose connections write nothing until hold is closed, whatever becomes of them.
type heldListener struct {
	*fakeplatform.Listener
	hold chan struct{}
}

type heldConn struct {
	net.Conn
	hold chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return heldConn{accepted, l.hold}, err
}

func (c heldConn) Write(b []byte) (int, error) {
	<-c.hold
	return c.Conn.Write(b)
}

// serveHeld serves connections that write nothing until the returned function is called.
func (r *rig) serveHeld() (l heldListener, end func()) {
	l = heldListener{fakeplatform.NewListener(), make(chan struct{})}
	r.serve(l)
	return l, func() {
		closeListener(r.t, l)
		close(l.hold)
	}
}

// unreadListener is a listener whose connections are read only once gate is closed.
type unreadListener struct {
	*fakeplatform.Listener
	gate chan struct{}
}

type unreadConn struct {
	net.Conn
	gate chan struct{}
}

func (l unreadListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return unreadConn{accepted, l.gate}, err
}

func (c unreadConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(b)
}

// gateClock stops whoever reads it next, once, after it was armed.
type gateClock struct {
	dispatch.Clock
	when          func() bool // it stops a reading for which this is true
	armed         atomic.Bool
	entered, gate chan struct{}
}

func (c *gateClock) Now() int64 {
	if c.armed.Load() && c.when() && c.armed.CompareAndSwap(true, false) {
		close(c.entered)
		<-c.gate
	}
	return c.Clock.Now()
}

func (r *rig) gateClock(when func() bool) *gateClock {
	gated := &gateClock{Clock: r.cfg.Clock, when: when, entered: make(chan struct{}), gate: make(chan struct{})}
	r.cfg.Clock = gated
	return gated
}

// stalledListener is a listener on whose connections the first read that reaches its deadline returns late: expired is
// closed when the deadline is reached, and the read returns once resume is.
type stalledListener struct {
	*fakeplatform.Listener
	expired, resume chan struct{}
}

type stalledConn struct {
	net.Conn
	listener *stalledListener
	once     *sync.Once
}

func (l *stalledListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return stalledConn{accepted, l, &sync.Once{}}, err
}

func (c stalledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.once.Do(func() {
			close(c.listener.expired)
			<-c.listener.resume
		})
	}
	return n, err
}
