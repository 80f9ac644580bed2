// Package websocket is the call-control front over WebSocket: the same calls, decisions and rules as the platform's
// front, for sites that would rather keep one socket open. The README describes its messages.
//
// Calls belong to a site (the query parameter site of the URL), not to a socket. When a socket closes, its set-ups
// without a final answer are cancelled; established calls go on. Any socket of the site may release them, and their end
// is notified on any, or on the next one that opens.
package websocket

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
)

const (
	subprotocol = "callcontrol.v1"
	defaultSite = "default" // of a URL without the parameter site
	// retryAfterMicros is how long a client is asked to wait while the server stops or the site has too many calls.
	retryAfterMicros = 1_000_000
	// retryAfterHeader is how many seconds a client is asked to wait when there is no place for its socket.
	retryAfterHeader = "1"
	// drainConnectionsInterval is how often DrainConnections looks for sockets that may be closed.
	drainConnectionsInterval = 20 * time.Millisecond
)

// Config is what a Server is made with.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Inviter    dispatch.Inviter
	// Lifecycle is the state of the controller; nil: one of the server's own, that serves.
	Lifecycle *lifecycle.Lifecycle
	// Ready reports whether a ping is answered with ready.
	Ready func() bool
	// Origins are the origins of browsers that may connect, as patterns; none: only the server's own.
	Origins []string
	// MaxConnections bounds the sockets.
	MaxConnections int
	Log            zerolog.Logger
	Counters       *dispatch.Counters
}

// Server is the WebSocket front. It is an http.Handler.
type Server struct {
	cfg     Config
	serving sync.WaitGroup

	mu         sync.Mutex // also guards cfg.Origins and cfg.MaxConnections
	sites      map[string]*dispatch.CallTable
	sockets    map[*socket]struct{}
	lastNumber uint64 // number of the youngest socket
}

// New returns a server that has no sockets yet.
func New(cfg Config) *Server {
	if cfg.Lifecycle == nil {
		cfg.Lifecycle = lifecycle.New(cfg.Dispatcher.Now(), nil)
		cfg.Lifecycle.Serve(cfg.Dispatcher.Now())
	}
	return &Server{
		cfg:     cfg,
		sites:   map[string]*dispatch.CallTable{},
		sockets: map[*socket]struct{}{},
	}
}

// UpdateLimits changes which browser origins may connect and how many sockets there may be. Open ones stay.
func (s *Server) UpdateLimits(origins []string, maxConnections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Origins, s.cfg.MaxConnections = origins, maxConnections
}

// SetMaxConnections changes how many sockets there may be. Those over the bound are closed with 1001, as far as no
// set-up is open on them and no call is established.
func (s *Server) SetMaxConnections(maxConnections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.MaxConnections = maxConnections
	surplus := len(s.sockets) - maxConnections
	for c := range s.sockets {
		if surplus > 0 && c.calls.RetireUnused(c) {
			c.finish(websocket.StatusGoingAway, "fewer sockets")
			surplus--
		}
	}
}

func (s *Server) origins() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Origins
}

// ServeHTTP accepts one WebSocket and serves it to its end. It answers 400 to a site that is no token, and 503 with
// Retry-After when there is no place.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	site := r.URL.Query().Get("site")
	if site == "" {
		site = defaultSite
	}
	if !dispatch.IsToken(site) {
		http.Error(w, "site: want 1 to 64 letters, digits or -._+", http.StatusBadRequest)
		return
	}
	socket, ok := s.register(site)
	if !ok {
		w.Header().Set("Retry-After", retryAfterHeader)
		http.Error(w, "no more sockets now", http.StatusServiceUnavailable)
		return
	}
	defer s.serving.Done()
	defer s.unregister(socket)
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		Subprotocols:    []string{subprotocol},
		OriginPatterns:  s.origins(),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		s.cfg.Log.Warn().Err(err).Msg("websocket not accepted")
		return
	}
	socket.ws = ws
	s.cfg.Counters.Add(telemetry.Connections)
	socket.serve()
}

// PendingSetups is the number of set-ups that are owed a final answer.
func (s *Server) PendingSetups() int { return s.sum((*dispatch.CallTable).PendingSetups) }

// EstablishedCalls is the number of established calls.
func (s *Server) EstablishedCalls() int { return s.sum((*dispatch.CallTable).EstablishedCalls) }

// PendingEnds is the number of ends of calls that no socket of their site has taken yet.
func (s *Server) PendingEnds() int { return s.sum((*dispatch.CallTable).PendingEnds) }

func (s *Server) sum(count func(*dispatch.CallTable) int) int {
	total := 0
	for _, calls := range s.callTables() {
		total += count(calls)
	}
	return total
}

// Shutdown takes no more sockets and rejects new set-ups, waits until every accepted call has its final answer (when
// ctx is done it is given one), and then closes the sockets with 1001, after what was queued for them.
func (s *Server) Shutdown(ctx context.Context) {
	s.cfg.Lifecycle.Stop(s.cfg.Dispatcher.Now(), 0)
	s.awaitRegistrations()
	for _, calls := range s.callTables() {
		drain(ctx, calls)
	}
	s.mu.Lock()
	for c := range s.sockets {
		c.finish(websocket.StatusGoingAway, "shutting down")
	}
	s.mu.Unlock()
	for _, calls := range s.callTables() {
		calls.Close()
	}
	s.serving.Wait()
}

// awaitRegistrations returns when every socket that was registered before the state changed is in the server's tables.
func (s *Server) awaitRegistrations() {
	s.mu.Lock()
	defer s.mu.Unlock()
}

// DrainConnections closes the sockets of a process that is emptied with 1001, each as soon as the schedule of the drain
// allows and no set-up on it is open, until the drain ends or ctx is done.
func (s *Server) DrainConnections(ctx context.Context) {
	for s.cfg.Lifecycle.Status().Emptying() {
		if s.cfg.Lifecycle.Status().ClosesConnections(s.cfg.Dispatcher.Now()) {
			s.closeRetired()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainConnectionsInterval):
		}
	}
}

// closeRetired closes the sockets on which no set-up is open.
func (s *Server) closeRetired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sockets {
		if c.calls.RetireUnused(c) {
			c.finish(websocket.StatusGoingAway, "draining")
		}
	}
}

// takesSockets reports whether a socket that comes now has a place, as far as the controller's state tells.
func (s *Server) takesSockets() bool {
	status := s.cfg.Lifecycle.Status()
	return status.State != lifecycle.Stopping && !status.ClosesConnections(s.cfg.Dispatcher.Now())
}

// drain waits until every call of a site has its final answer. When ctx is done, calls without one are given it.
func drain(ctx context.Context, calls *dispatch.CallTable) {
	calls.Drain(ctx)
	calls.AbortPending()
	last, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	calls.Drain(last)
}
