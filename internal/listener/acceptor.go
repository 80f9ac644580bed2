package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// acceptRetryDelay is how long Accept waits after one that failed, such as for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// failureLogInterval is how often failures of Accept that last are logged.
	failureLogInterval = time.Second
)

// Acceptor is a net.Listener whose accepting can be paused. It starts paused, and may be given its listener later.
type Acceptor struct {
	address net.Addr
	log     zerolog.Logger

	mu       sync.Mutex
	listener *net.TCPListener // nil: there is none yet
	paused   bool
	closed   bool
	changed  chan struct{} // closed and replaced at each change of the above

	lastFailureLog time.Time // of Accept's caller alone
}

// NewAcceptor returns a paused acceptor without a listener, for the address given.
func NewAcceptor(address string, log zerolog.Logger) *Acceptor {
	return &Acceptor{address: namedAddr(address), log: log, paused: true, changed: make(chan struct{})}
}

// namedAddr is an address that is not listened on yet.
type namedAddr string

// Network implements net.Addr.
func (namedAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a namedAddr) String() string { return string(a) }

// Attach gives the acceptor its listener, which it owns from then on.
func (a *Acceptor) Attach(l *net.TCPListener) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeListener()
	a.listener, a.address = l, l.Addr()
	if a.closed {
		a.closeListener()
	}
	a.notify()
}

// Detach closes the acceptor's listener, and leaves the acceptor paused and without one.
func (a *Acceptor) Detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeListener()
	a.listener, a.paused = nil, true
	a.notify()
}

// closeListener closes the listener, if there is one. The caller holds mu.
func (a *Acceptor) closeListener() {
	if a.listener != nil {
		_ = a.listener.Close() // its descriptor is given up, whatever the system says
	}
}

// Attached reports whether the acceptor has a listener.
func (a *Acceptor) Attached() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener != nil
}

// Resume has Accept accept connections.
func (a *Acceptor) Resume() { a.setPaused(false) }

// Pause has Accept wait until Resume. The listener stays open, and its queue as it is.
func (a *Acceptor) Pause() { a.setPaused(true) }

func (a *Acceptor) setPaused(paused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = paused
	a.notify()
}

// notify wakes Accept, so that it looks at the acceptor's state again. The caller holds mu.
func (a *Acceptor) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
	if a.listener == nil {
		return
	}
	var deadline time.Time
	if a.paused {
		deadline = time.Unix(1, 0) // in the past
	}
	_ = a.listener.SetDeadline(deadline) // a listener that is closed needs none
}

// Accept implements net.Listener. Its only error is net.ErrClosed.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		listener, err := a.await()
		if err != nil {
			return nil, err
		}
		conn, err := listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it was closed, detached or paused
		}
		a.logFailure(err)
		time.Sleep(acceptRetryDelay)
	}
}

// await returns the listener once connections may be accepted on it.
func (a *Acceptor) await() (*net.TCPListener, error) {
	for {
		a.mu.Lock()
		listener, paused, closed, changed := a.listener, a.paused, a.closed, a.changed
		a.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case listener != nil && !paused:
			return listener, nil
		}
		<-changed
	}
}

// logFailure logs a failed Accept, once in failureLogInterval.
func (a *Acceptor) logFailure(err error) {
	if now := time.Now(); now.Sub(a.lastFailureLog) >= failureLogInterval {
		a.lastFailureLog = now
		a.log.Warn().Err(err).Stringer("address", a.Addr()).Msg("accept failed")
	}
}

// Close implements net.Listener.
func (a *Acceptor) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return net.ErrClosed
	}
	a.closed = true
	var err error
	if a.listener != nil {
		err = a.listener.Close()
	}
	close(a.changed)
	a.changed = make(chan struct{})
	return err
}

// Addr implements net.Listener.
func (a *Acceptor) Addr() net.Addr {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// Duplicate returns a descriptor of the listener that is the caller's own, to be passed to another process.
func (a *Acceptor) Duplicate() (int, error) {
	a.mu.Lock()
	listener := a.listener
	a.mu.Unlock()
	if listener == nil {
		return 0, net.ErrClosed
	}
	return Duplicate(listener)
}

// Duplicate returns a descriptor of a socket that is the caller's own.
func Duplicate(socket syscall.Conn) (int, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	duplicate := 0
	var duplicateErr error
	err = raw.Control(func(fd uintptr) { duplicate, duplicateErr = duplicateDescriptor(fd) })
	return duplicate, errors.Join(err, duplicateErr)
}
