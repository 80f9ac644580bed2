package sippool

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
)

const (
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
	// dialTimeoutFactor times Config.ConnectTimeout is how long a dial may take: an attempt waits for one of these
	// timeouts and then goes elsewhere. Not more, as a machine that has vanished is noticed between two dials.
	dialTimeoutFactor = 2
	// restartRejectionWindow is how long a pool must have refused connections for the next one to be a new process's,
	// which knows nothing of the calls at the old one.
	restartRejectionWindow = 100 * time.Millisecond
)

// run keeps one connection to the pool for as long as the pool is listed: load reports come on it unasked, and the
// releases of calls that an earlier connection set up.
func (p *pool) run(ctx context.Context) {
	redial := newBackoff(minRedialDelay, maxRedialDelay)
	var next net.Conn // open at address, to replace the connection that has ended; nil: none
	var address string
	for {
		began := p.set.now()
		target := p.dialTarget()
		if next != nil && (target.address != address || !target.wanted || ctx.Err() != nil) {
			next.Close()
			next = nil
		}
		address = target.address
		delay := maxRedialDelay
		if target.wanted {
			var connected bool
			if connected, next = p.connect(ctx, address, next); connected {
				redial.reset()
			}
			if next != nil {
				continue
			}
			if ctx.Err() != nil {
				return
			}
			delay = p.redialDelay(&redial)
		} else {
			p.abandonDial()
		}
		p.terminateUnreachable()
		if p.forget() || !p.waitToRedial(ctx, began, delay) {
			return
		}
	}
}

// redialDelay is how long to wait before the next dial. One that failed for want of this process's own means does not
// count: the pool has had no part in it.
func (p *pool) redialDelay(redial *backoff) time.Duration {
	if p.dialFailedHere() {
		redial.reset()
		return minRedialDelay
	}
	return redial.next()
}

// dialTarget is where the run loop connects to.
type dialTarget struct {
	address string
	wanted  bool // false: the pool is removed or superseded, and no connection is kept
}

func (p *pool) dialTarget() dialTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return dialTarget{
		address: p.listed.Address,
		wanted:  p.listed.State != endpointlist.Removed && !p.superseded,
	}
}

// waitToRedial returns after the delay, or sooner when an attempt wants a connection, but not before minRedialDelay has
// passed since began: without that, a pool that refuses or resets would be dialled once for every attempt. It returns
// false when ctx is done.
func (p *pool) waitToRedial(ctx context.Context, began int64, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-p.wakeup:
		time.Sleep(minRedialDelay - elapsed(began, p.set.now()))
	case <-timer.C:
	}
	return true
}

// dial opens a connection. It waits for longer than an attempt does: a connection that comes up late serves the next
// attempt, where one that was given up a moment before would be dialled again and be late again.
func (p *pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeoutFactor*microseconds(p.set.cfg.ConnectTimeout))
	defer cancel()
	return p.set.cfg.Dial(ctx, address)
}

// connect serves a connection until it ends: transport, or one that it dials where that is nil. It reports whether the
// connection came up, and returns the transport that is already open to replace it, if there is one.
func (p *pool) connect(ctx context.Context, address string, transport net.Conn) (connected bool, next net.Conn) {
	if transport == nil {
		var err error
		if transport, err = p.dial(ctx, address); err != nil {
			p.dialFailed(err)
			return false, nil
		}
	}
	c, lost := p.connectionOpened(transport, address)
	p.terminateLost(lost)
	p.count(telemetry.PoolConnections)
	p.set.cfg.Log.Debug().Str("pool", p.uid).Str("address", address).Msg("connected")
	return true, p.serve(ctx, c, address)
}

// serve runs a connection until it ends and returns the transport that is already open to replace it, if there is one.
func (p *pool) serve(ctx context.Context, conn *connection, address string) (next net.Conn) {
	serving, end := context.WithCancel(ctx)
	defer end()
	var tasks sync.WaitGroup
	tasks.Go(conn.writeLoop)
	tasks.Go(func() { next = conn.watch(serving, address) })
	err := conn.readLoop()
	if isPeerEnd(err) {
		conn.endedByPeer.Store(true)
	}
	if isProtocolError(err) {
		conn.closeWriting() // before the watcher's end, which closes it both ways
	}
	end()
	conn.close()
	tasks.Wait()
	if isProtocolError(err) {
		conn.linger(ctx)
	}
	p.connectionEnded(conn)
	p.set.cfg.Log.Debug().Str("pool", p.uid).Err(err).
		Int64("quiet_us", p.set.now()-conn.lastReceived.Load()).Msg("connection ended")
	return next
}

// isPeerEnd reports whether a connection has ended because the pool, or its process, has ended it.
func isPeerEnd(err error) bool {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, ended) {
			return true
		}
	}
	return false
}

// isLocalFailure reports whether a dial failed for want of this process's own means, such as descriptors or ports. It
// says nothing about the pool.
func isLocalFailure(err error) bool {
	for _, local := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// dialFailedHere reports whether the latest dial failed for want of this process's own means.
func (p *pool) dialFailedHere() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedHere
}

// dialFailed records a dial that brought no connection.
func (p *pool) dialFailed(err error) {
	now := p.set.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial()
	p.failedHere = isLocalFailure(err)
	if p.failedHere {
		p.set.cfg.Log.Warn().Err(err).Str("pool", p.uid).Msg("dial failed for want of this process's own means")
	}
	if p.rejectedSince == 0 && errors.Is(err, syscall.ECONNREFUSED) {
		p.rejectedSince = now
	}
}

// abandonDial ends the wait of those who want a connection to a pool to which none is kept.
func (p *pool) abandonDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial()
}

// endDial notifies those who wait for the end of the current dial. The caller holds mu.
func (p *pool) endDial() {
	close(p.dialDone)
	p.dialDone = make(chan struct{})
}

// connectionOpened makes transport the pool's connection and sends the releases that wait for one. It returns the calls
// that are lost, as the connection is to a new process: the endpoint list reports its start too late for that.
func (p *pool) connectionOpened(transport net.Conn, address string) (c *connection, lost []*dialog) {
	now := p.set.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial()
	if p.rejectedSince > 0 && elapsed(p.rejectedSince, now) >= restartRejectionWindow {
		lost, p.pendingReleases = p.establishedDialogs(), nil
	}
	c = newConnection(p, transport, address, now)
	p.connection, p.downSince, p.rejectedSince, p.failedHere = c, 0, 0, false
	pending := p.pendingReleases
	p.pendingReleases = nil
	for _, release := range pending {
		p.sendRelease(release)
	}
	if p.listed.Address != address || p.superseded {
		c.giveUp()
	}
	return c, lost
}

// connectionEnded ends what was pending on a connection. Established calls outlive it.
func (p *pool) connectionEnded(c *connection) {
	now := p.set.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connection, p.downSince = nil, now
	p.losses.connectionEnded(c.openedAt, c.lastReceived.Load())
	if c.unresponsive {
		p.downSince = c.silentSince
	}
	c.noteInDoubt()
	c.returnReleases()
	c.abortTransactions(now)
}
