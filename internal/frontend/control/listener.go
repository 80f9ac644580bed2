package control

import (
	"errors"
	"net"
	"sync"
	"time"
)

// minWait is how long a caller without a complete call is left alone where descriptors are short.
const minWait = 200 * time.Millisecond

// newConnectionGrace is how long a connection has for its call before it may be evicted for another one. A call that is
// written as soon as the connection is there is read by then, however many connections come.
const newConnectionGrace = 20 * time.Millisecond

// acceptRetryDelay is how long Accept waits after one that failed, such as for want of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// boundedListener accepts at most so many connections at a time. For a new one it closes the oldest on which no call is
// complete yet: callers that say nothing must not keep others out.
type boundedListener struct {
	net.Listener

	mu             sync.Mutex
	maxConnections int
	conns          []*trackedConn // the oldest first
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	answering  bool // its call is complete; guarded by the listener's mutex
}

// Accept implements net.Listener. It goes on after any error but the listener's close: http.Server would wait for up to
// a second.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.evictOldest(minWait)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if conn, registered := l.register(raw); registered {
			return conn, nil
		}
		raw.Close()
	}
}

// register adds a connection, evicting another one where it has to and can, and reports whether it did.
func (l *boundedListener) register(raw net.Conn) (*trackedConn, bool) {
	if !l.makeRoom() {
		return nil, false
	}
	conn := &trackedConn{Conn: raw, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, true
}

// makeRoom reports whether there is a place for a connection. Where there is none, it evicts another one, after waiting
// until that has had its time: the callers that come meanwhile wait in the listener's queue.
func (l *boundedListener) makeRoom() bool {
	for l.full() {
		candidate := l.oldestWaiting()
		if candidate == nil {
			return false
		}
		if wait := newConnectionGrace - time.Since(candidate.acceptedAt); wait > 0 {
			time.Sleep(wait) // its call may be complete by then
			continue
		}
		_ = candidate.Close() // it is given up
	}
	return true
}

func (l *boundedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.maxConnections
}

// setMaxConnections changes the bound. Connections over it are evicted, as far as that is possible.
func (l *boundedListener) setMaxConnections(maxConnections int) {
	l.mu.Lock()
	l.maxConnections = maxConnections
	surplus := len(l.conns) - maxConnections
	l.mu.Unlock()
	for ; surplus > 0 && l.evictOldest(0); surplus-- {
	}
}

// evictOldest closes the oldest connection on which no call is complete, if it has waited for that long, and reports
// whether there was one.
func (l *boundedListener) evictOldest(waited time.Duration) bool {
	candidate := l.oldestWaiting()
	if candidate == nil || time.Since(candidate.acceptedAt) < waited {
		return false
	}
	_ = candidate.Close() // it is given up
	return true
}

func (l *boundedListener) oldestWaiting() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		if !conn.answering {
			return conn
		}
	}
	return nil
}

// beginAnswer notes that the connection's call is complete: it is not evicted any more.
func (c *trackedConn) beginAnswer() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.answering = true
}

// CloseWrite ends the answer; net/http calls it where a call was not read to its end. Without it the close would reset
// the connection, and the caller could lose the answer.
func (c *trackedConn) CloseWrite() error {
	if half, is := c.Conn.(interface{ CloseWrite() error }); is {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

func (l *boundedListener) remove(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == conn {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}
