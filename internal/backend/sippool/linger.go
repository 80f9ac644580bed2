package sippool

import (
	"context"
	"io"
	"net"
	"time"
)

// lingerTimeout is how long a pool gets to close its side of a connection that was given up.
const lingerTimeout = 500 * time.Millisecond

// lingering is a connection that was given up for what the pool wrote, and on which this side writes no more. When the
// pool closes it, too, it has received all that it will: a call that was in doubt for it may be attempted there again.
// Without it, one malformed message would cost every call on the connection its second attempt.
type lingering struct {
	done chan struct{} // closed when the pool has closed it, or has had its time
}

// halfCloser is a connection of which one side can be closed alone, as TCP's can.
type halfCloser interface{ CloseWrite() error }

// linger closes the side of the connection that this process writes on, and waits in a goroutine of its own for the
// pool to close the other one. A pool has one such connection at a time. Its goroutines have ended.
func (c *connection) linger(ctx context.Context) {
	half, can := c.transport.(halfCloser)
	if !can || !c.startLingering() {
		c.transport.Close()
		return
	}
	c.pool.set.running.Go(func() {
		defer c.endLingering()
		defer c.transport.Close()
		stop := context.AfterFunc(ctx, func() { c.transport.Close() })
		defer stop()
		if half.CloseWrite() == nil && closedByPeer(c.transport) {
			c.settle()
		}
	})
}

// startLingering makes the connection the pool's lingering one, and reports whether there was none.
func (c *connection) startLingering() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.lingering != nil {
		return false
	}
	c.lingering = &lingering{done: make(chan struct{})}
	c.pool.lingering = c.lingering
	c.noteInDoubt()
	return true
}

func (c *connection) endLingering() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.lingering = nil
	close(c.lingering.done)
}

// settle notes that the pool has closed a connection that was given up.
func (c *connection) settle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.endedByPeer.Store(true)
	c.pool.set.inDoubt.settle(c.id)
}

// closedByPeer reads what still comes and reports whether the other side closes the connection in time.
func closedByPeer(transport net.Conn) bool {
	if err := transport.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, transport)
	return err == nil || isPeerEnd(err) // at the end of the stream Copy returns no error
}

// awaitLingering waits for the end of the pool's lingering connection, if a further attempt of the call depends on it.
func (p *pool) awaitLingering(ctx context.Context, callID string, deadline <-chan time.Time) {
	p.mu.Lock()
	lingers := p.lingering
	inDoubt := lingers != nil && p.set.inDoubt.contains(p.set.now(), callID, p.uid, p.listed.Address)
	p.mu.Unlock()
	if !inDoubt {
		return
	}
	select {
	case <-lingers.done:
	case <-deadline:
	case <-ctx.Done():
	}
}
