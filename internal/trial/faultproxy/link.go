// Package faultproxy relays TCP connections between two parties and causes faults on the way: cuts, black holes,
// listeners that refuse or do not accept, messages a byte at a time, resets and ends in the middle of a message.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is how a link treats connections and what they carry.
type Mode int

// The modes.
const (
	Pass      Mode = iota
	Refuse         // new connections are refused; open ones were reset
	NoAccept       // new connections come up late, or are reset as they do; open ones pass
	BlackHole      // nothing arrives, and nothing is refused
	OneByte        // what comes from the backend arrives a byte at a time
)

// String returns the mode's name.
func (m Mode) String() string {
	switch m {
	case Pass:
		return "pass"
	case Refuse:
		return "refuse"
	case NoAccept:
		return "no accept"
	case BlackHole:
		return "black hole"
	case OneByte:
		return "one byte"
	}
	return fmt.Sprintf("Mode(%d)", int(m))
}

// Strike is a fault that hits the next bytes from the backend, once.
type Strike int

// The strikes.
const (
	NoStrike    Strike = iota
	StrikeReset        // half of the bytes, then a reset
	StrikeHalf         // half of the bytes, then the end of the connection
	StrikeFin          // all bytes, and right behind them the end of the connection
)

// Tap observes a link. Its methods are called in the order of each connection's bytes.
type Tap interface {
	// Sent takes bytes that the dialling party sent on a connection, the last of them at that time.
	Sent(connection uint64, bytes []byte, at time.Time)
	// Delivering takes bytes that are about to be written to the dialling party: it may act on them before the writer runs
	// again.
	Delivering(connection uint64, bytes []byte)
	// Delivered takes bytes that were written to the dialling party.
	Delivered(connection uint64, bytes []byte)
	// Ended is called when the connection ends for the dialling party, and once more after bytes that were sent before
	// that and are read later.
	Ended(connection uint64)
}

const (
	// dialTimeout bounds the dial to the backend, and pollInterval is how often a black hole looks whether it is finished.
	dialTimeout  = time.Second
	pollInterval = 5 * time.Millisecond
	copyBuffer   = 16 << 10
	// noAcceptBacklog is the accept queue of a listener that does not accept.
	noAcceptBacklog = 0
	// defaultBacklog is the accept queue otherwise.
	defaultBacklog = 1024
	// listenRetries is how often an address is listened on before a link gives up to return to it.
	listenRetries = 200
)

// Link relays the connections to one address.
type Link struct {
	address string
	tap     Tap
	source  *net.TCPAddr    // of the connections to the backend: the link's own IP
	ctx     context.Context //nolint:containedctx // the link's own life
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu       sync.Mutex
	backend  string
	mode     Mode
	strike   Strike
	listener *net.TCPListener
	open     map[*relay]struct{}
	last     uint64 // number of the latest connection
}

// Listen relays connections to address on to the backend, until Close. The backend sees them come from the IP of
// address, by which it can tell links apart.
func Listen(address, backend string, tap Tap) (*Link, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	link := &Link{
		address: address,
		source:  &net.TCPAddr{IP: net.ParseIP(host)},
		backend: backend,
		tap:     tap,
		ctx:     ctx,
		stop:    stop,
		open:    map[*relay]struct{}{},
	}
	if err := link.listen(); err != nil {
		stop()
		return nil, err
	}
	return link, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.address }

// SetBackend has new connections relayed to another address. Open ones are reset.
func (l *Link) SetBackend(address string) {
	l.mu.Lock()
	l.backend = address
	l.mu.Unlock()
	l.Reset()
}

// SetMode changes how the link treats connections.
func (l *Link) SetMode(mode Mode) error {
	before := l.currentMode()
	if before == mode {
		return nil
	}
	if before == NoAccept {
		l.resetQueued()
	}
	l.mu.Lock()
	l.mode = mode
	l.mu.Unlock()
	if before == Refuse {
		if err := l.relisten(); err != nil {
			return err
		}
	}
	switch mode {
	case Refuse:
		l.closeListener()
		l.Reset()
	case NoAccept:
		l.setBacklog(noAcceptBacklog)
		l.interruptAccept()
	case Pass, BlackHole, OneByte:
		l.setBacklog(defaultBacklog)
	}
	return nil
}

// Strike arms a fault for the next bytes from the backend on whichever connection.
func (l *Link) Strike(strike Strike) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strike = strike
}

// takeStrike returns the fault that hits the bytes at hand.
func (l *Link) takeStrike() Strike {
	l.mu.Lock()
	defer l.mu.Unlock()
	strike := l.strike
	l.strike = NoStrike
	return strike
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	relays := make([]*relay, 0, len(l.open))
	for r := range l.open {
		relays = append(relays, r)
	}
	l.mu.Unlock()
	for _, r := range relays {
		r.reset()
	}
}

// Close ends the link with all its connections, and waits for its goroutines.
func (l *Link) Close() {
	l.stop()
	l.closeListener()
	l.Reset()
	l.tasks.Wait()
}

func (l *Link) currentMode() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *Link) listen() error {
	raw, err := (&net.ListenConfig{}).Listen(l.ctx, "tcp", l.address)
	if err != nil {
		return fmt.Errorf("faultproxy: %w", err)
	}
	listener := raw.(*net.TCPListener) //nolint:forcetypeassert // of the network tcp
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	l.tasks.Go(func() { l.accept(listener) })
	return nil
}

// relisten returns to the link's address, which a connection that is closing may hold for a moment.
func (l *Link) relisten() error {
	var err error
	for range listenRetries {
		if err = l.listen(); err == nil || l.ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
	return err
}

func (l *Link) closeListener() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close() // it is given up
		l.listener = nil
	}
}

// setBacklog changes the accept queue of the listener.
func (l *Link) setBacklog(backlog int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }) // without it the queue stays as it is
}

// accept relays the listener's connections until it is closed.
func (l *Link) accept(listener *net.TCPListener) {
	for {
		l.awaitMode(func(mode Mode) bool { return mode != NoAccept })
		client, err := listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(pollInterval) // the accept queue is being emptied
			continue
		}
		if err != nil {
			return
		}
		if l.currentMode() == NoAccept { // it came as the mode changed
			resetConn(client)
			continue
		}
		l.tasks.Go(func() { l.serve(client) })
	}
}

// interruptAccept has an Accept that waits return: the next connection stays in the queue.
func (l *Link) interruptAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.SetDeadline(time.Now()) // one that is closed accepts nothing
	}
}

// resetQueued resets the connections in the accept queue: what was sent on them did not reach the backend.
func (l *Link) resetQueued() {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.SetDeadline(time.Now().Add(pollInterval)) // one that is closed has no queue
	for {
		client, err := listener.AcceptTCP()
		if err != nil {
			break
		}
		resetConn(client)
	}
	_ = listener.SetDeadline(time.Time{})
}

// awaitMode returns when the mode is one that is wanted, or the link is closed.
func (l *Link) awaitMode(wanted func(Mode) bool) {
	for !wanted(l.currentMode()) && l.ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}
