// Package jsonlines is the front for the platform's callers: JSON lines over TCP. It turns lines into set-ups and
// releases for the call table, and final answers and ends of calls into lines.
//
// A Server accepts connections up to a bound, evicts idle ones for new ones, and drains them before a
// planned stop. Each connection has a goroutine that reads and one that writes. Which pool gets a call, and whether it
// is retried or rejected, is decided in package dispatch.
package jsonlines

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

const (
	// acceptRetryDelay is how long Serve waits after an Accept that failed, such as for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// drainPollInterval is how often Drain looks whether connections are left.
	drainPollInterval = 2 * time.Millisecond
	// drainConnectionsInterval is how often DrainConnections looks for connections that may be closed.
	drainConnectionsInterval = 20 * time.Millisecond
)

// Config is what a Server is made with.
type Config struct {
	Calls *dispatch.CallTable
	Clock dispatch.Clock
	// Tenants are the names that a set-up may have; none: any.
	Tenants []string
	// RetryAfter: callers respect the wait that a rejection names.
	RetryAfter bool
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// Lifecycle is the state of the controller; nil: one of the server's own, that serves.
	Lifecycle *lifecycle.Lifecycle
	// Ready reports whether a ping is answered with ready.
	Ready func() bool
	// ReleaseUnmatched takes a caller's release of a call that is not known here.
	ReleaseUnmatched func(id string, cause int)
	Log              zerolog.Logger
	Counters         *telemetry.Counters
}

// Server serves the platform's callers.
type Server struct {
	cfg               Config
	lifecycle         *lifecycle.Lifecycle
	unmatchedReleases *releaseLimiter
	goroutines        sync.WaitGroup // two for each connection

	mu     sync.Mutex // also guards cfg.MaxConnections
	conns  map[*conn]struct{}
	closed bool // no connection is taken any more
}

// New returns a server that has no connections yet.
func New(cfg Config) *Server {
	if cfg.Lifecycle == nil {
		cfg.Lifecycle = lifecycle.New(cfg.Clock.Now(), nil)
		cfg.Lifecycle.Serve(cfg.Clock.Now())
	}
	return &Server{
		cfg:               cfg,
		lifecycle:         cfg.Lifecycle,
		conns:             map[*conn]struct{}{},
		unmatchedReleases: newReleaseLimiter(cfg.Clock.Now()),
	}
}

// Serve accepts callers until the listener is closed, and returns nil then. It does not wait for the connections.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a connection that was reset before it was accepted
			s.cfg.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.cfg.Counters.Add(telemetry.Connections)
		c := newConn(s, raw)
		if !s.register(c) {
			c.close(closeNoPlace)
			continue
		}
		s.cfg.Calls.Connect(c)
		c.closeIfDrained()
		go c.readLoop()
		go c.writeLoop()
	}
}

// register adds a connection, evicting another one where it has to and can, and reports whether it did.
func (s *Server) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConnections {
		s.evictOne()
	}
	// A connection may have been accepted just before Close. Without looking at the state, it would outlive the server.
	if s.closed || len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	s.goroutines.Add(2)
	return true
}

// SetMaxConnections changes the bound on connections. Those over it are evicted, as far as that is possible: one with
// an open set-up stays.
func (s *Server) SetMaxConnections(maxConnections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.MaxConnections = maxConnections
	for len(s.conns) > maxConnections && s.evictOne() {
	}
}

// unregister removes a connection; one that was evicted is removed already.
func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// CatchUp gives Serve and the readers 5 ms to accept and read what was received by now. Call it before the listener is
// closed and the connections are drained. Without it, connections and set-ups that arrived while the process was
// stalled would be lost with the close: the process sees the signal to stop before it reads them, and a caller only
// repeats a set-up that crosses the close within 50 ms.
func (s *Server) CatchUp() { time.Sleep(readGrace) }

// Drain closes each connection once every set-up on it has its final answer, and returns when none is left or ctx is
// done. Close Serve's listener first. The controller is stopping from then on, if it was not before.
//
// Each connection ends by itself, without waiting for the others: callers go on sending on every connection that is
// open, so that one slow set-up anywhere would else keep all of them open, and what arrived on them until the
// process ended would be accepted and never answered.
func (s *Server) Drain(ctx context.Context) {
	s.lifecycle.Stop(s.cfg.Clock.Now(), 0)
	s.closeDrained()
	for len(s.connections()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// DrainConnections closes the connections of a process that is emptied, each as soon as the schedule of the drain
// allows, until the drain ends or ctx is done. The listener stays open: whoever asks is told that the controller is not
// ready.
func (s *Server) DrainConnections(ctx context.Context) {
	for s.lifecycle.Status().Emptying() {
		s.closeDrained()
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainConnectionsInterval):
		}
	}
}

func (s *Server) closeDrained() {
	for _, c := range s.connections() {
		c.closeIfDrained()
	}
}

// Close ends the connections and waits for their goroutines. Close Serve's listener first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.close(closeServerClosed)
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
