// Package callcontrol is the call-control API over WebSocket: the same calls,
// decisions and rules as the platform's front, for sites that would rather keep
// one socket open. The README describes its messages.
//
// Calls belong to a site (the query parameter site of the URL), not to a
// socket. When a socket closes, its set-ups without a final answer are given up
// and their attempts called off; calls that stand go on standing. Any socket of
// the site may release them, and their end is told on any, or on the next one
// that opens.
package websocket

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

const (
	mostMessage  = 16 << 10 // bytes in a message, however many frames it comes in
	writeQueue   = 128      // messages waiting for a socket; past it the client reads too slowly and loses it
	writeTimeout = 2 * time.Second
	closeTimeout = 500 * time.Millisecond
	pingEvery    = 20 * time.Second
	pingTimeout  = 5 * time.Second
	mostSites    = 64
	mostCalls    = 2048 // of a site
	comeBack     = 1_000_000
	mostStrikes  = 64 // messages not accepted on a socket; past it the socket is closed
	subprotocol  = "callcontrol.v1"
)

// Config is what a Server is made with.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Inviter    dispatch.Inviter
	// Ready tells whether a ping is answered with ready.
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
	closing atomic.Bool
	wg      sync.WaitGroup

	mu    sync.Mutex // also guards cfg.Origins and cfg.MostConnections
	sites map[string]*dispatch.CallTable
	conns map[*conn]struct{}
	last  uint64 // number of the youngest conn
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, sites: map[string]*dispatch.CallTable{}, conns: map[*conn]struct{}{}}
}

// Admit changes which browser origins may connect and how many sockets there may be. Open ones stay.
func (s *Server) Admit(origins []string, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Origins, s.cfg.MaxConnections = origins, most
}

// callID names a call towards the pools: names that sites choose may be alike.
func callID(string) string {
	var b [8]byte
	rand.Read(b[:]) // never fails: it ends the program instead
	return hex.EncodeToString(b[:])
}

// ServeHTTP takes one WebSocket and serves it to its end.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	site := r.URL.Query().Get("site")
	if site == "" {
		site = "default"
	}
	if !dispatch.IsToken(site) {
		http.Error(w, "site: want 1 to 64 letters, digits or -._+", http.StatusBadRequest)
		return
	}
	c, ok := s.admit(site)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no more sockets now", http.StatusServiceUnavailable)
		return
	}
	defer s.wg.Done()
	defer s.drop(c)
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		Subprotocols: []string{subprotocol}, OriginPatterns: s.origins(), CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		s.cfg.Log.Warn().Err(err).Msg("websocket not accepted")
		return
	}
	c.ws = ws
	s.cfg.Counters.Add(telemetry.Connections)
	c.serve()
}

func (s *Server) origins() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Origins
}

// admit makes room for a socket. The caller owes wg.Done and drop.
func (s *Server) admit(site string) (*conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConnections {
		s.shed()
	}
	if s.closing.Load() || len(s.conns) >= s.cfg.MaxConnections {
		return nil, false
	}
	desk := s.sites[site]
	if desk == nil {
		if len(s.sites) >= mostSites {
			return nil, false
		}
		desk = dispatch.NewCallTable(dispatch.CallTableConfig{
			Dispatcher: s.cfg.Dispatcher, Inviter: s.cfg.Inviter, MaxCalls: mostCalls, CallID: callID, NotifyAllEnds: true, Counters: s.cfg.Counters,
		})
		s.sites[site] = desk
	}
	s.last++
	c := &conn{server: s, number: s.last, site: site, desk: desk, queue: make(chan line, writeQueue), end: make(chan struct{})}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	return c, true
}

// shed closes the oldest socket that has said nothing, if there is one, and no other. It guards against
// clients that open sockets and leave them shutting sites out. The caller holds mu.
func (s *Server) shed() {
	var spare *conn
	for c := range s.conns {
		if !c.said.Load() && (spare == nil || c.number < spare.number) {
			spare = c
		}
	}
	if spare != nil {
		s.cfg.Counters.Add(telemetry.Shed)
		delete(s.conns, spare)
		spare.finish(websocket.StatusTryAgainLater, "room is needed and nothing was said")
	}
}

func (s *Server) drop(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for other := range s.conns {
		if other.desk == c.desk {
			return
		}
	}
	if c.desk.Idle() {
		delete(s.sites, c.site)
	}
}

// PendingSetups is the number of set-ups that are owed a final answer.
func (s *Server) PendingSetups() int { return s.sum((*dispatch.CallTable).PendingSetups) }

// EstablishedCalls is the number of calls that stand.
func (s *Server) EstablishedCalls() int { return s.sum((*dispatch.CallTable).EstablishedCalls) }

func (s *Server) sum(of func(*dispatch.CallTable) int) int {
	n := 0
	for _, d := range s.desks() {
		n += of(d)
	}
	return n
}

func (s *Server) desks() []*dispatch.CallTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*dispatch.CallTable
	for _, d := range s.sites {
		all = append(all, d)
	}
	return all
}

// Shutdown takes no more sockets and refuses new set-ups, waits until every accepted call has its final
// answer (when ctx is done it is given one), and then closes the sockets with 1001, after what was queued
// for them.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closing.Store(true)
	s.mu.Unlock()
	for _, d := range s.desks() {
		d.Drain(ctx)
		d.AbortPending()
		last, cancel := context.WithTimeout(context.Background(), writeTimeout)
		d.Drain(last)
		cancel()
	}
	s.mu.Lock()
	for c := range s.conns {
		c.finish(websocket.StatusGoingAway, "shutting down")
	}
	s.mu.Unlock()
	for _, d := range s.desks() {
		d.Close()
	}
	s.wg.Wait()
}

// conn is one socket: the goroutine of its request reads it, another writes it. It is a dispatch.Caller.
type conn struct {
	server *Server
	number uint64      // in the order of coming
	said   atomic.Bool // a message was accepted
	site   string
	desk   *dispatch.CallTable
	ws     *websocket.Conn
	queue  chan line

	once   sync.Once
	end    chan struct{} // closed when the socket is to end
	status websocket.StatusCode
	reason string
}

// line is a message to be written. The end of a call may be told on any socket of the site.
type line struct {
	bytes []byte
	over  string // the call that it tells the end of, or ""
	cause int
}

// finish ends the socket once what is queued is written. Only the first call has an effect.
func (c *conn) finish(status websocket.StatusCode, reason string) {
	c.once.Do(func() {
		c.status, c.reason = status, reason
		close(c.end)
	})
}

// send queues a message and never blocks: a client that does not read for so long loses the socket.
func (c *conn) send(b []byte) bool { return c.sendLine(line{bytes: b}) }

func (c *conn) sendLine(b line) bool {
	select {
	case <-c.end:
		return false
	default:
	}
	select {
	case c.queue <- b:
		return true
	default:
		c.server.cfg.Counters.Add(telemetry.SlowReaders)
		c.finish(websocket.StatusPolicyViolation, "reads too slowly")
		return false
	}
}

// Final implements dispatch.Caller.
func (c *conn) Final(id string, f dispatch.Final) bool { return c.send(final(id, f)) }

// CallEnded implements dispatch.Caller.
func (c *conn) CallEnded(id string, cause int) bool {
	return c.sendLine(line{bytes: released(id, cause), over: id, cause: cause})
}

func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.ws.SetReadLimit(mostMessage)
	c.desk.Connect(c)
	c.desk.MarkEstablished(c) // a site's socket is there for calls
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(ctx)
	}()
	err := c.read(ctx)
	c.finish(websocket.StatusNormalClosure, "") // if nothing else ended it
	c.desk.Disconnect(c)
	cancel()
	<-written
	c.unwritten()
	c.server.cfg.Log.Debug().Err(err).Msg("websocket ended")
}

// write is the writing goroutine: messages, pings, and at the end what is queued and the close frame.
func (c *conn) write(ctx context.Context) {
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	for {
		var err error
		select {
		case b := <-c.queue:
			err = c.writeOne(ctx, b)
		case <-ping.C:
			alive, cancel := context.WithTimeout(ctx, pingTimeout)
			err = c.ws.Ping(alive)
			cancel()
		case <-c.end:
			for len(c.queue) > 0 {
				if c.writeOne(ctx, <-c.queue) != nil {
					break
				}
			}
			if c.status == websocket.StatusPolicyViolation {
				c.ws.CloseNow() // it does not read: a handshake would only wait
				return
			}
			// The close frame goes out at once; its answer is not waited for for long, as a client that is
			// stuck would else hold up the end of the daemon.
			hurry := time.AfterFunc(closeTimeout, func() { c.ws.CloseNow() })
			defer hurry.Stop()
			c.ws.Close(c.status, c.reason)
			return
		}
		if err != nil {
			c.finish(websocket.StatusAbnormalClosure, "")
			c.ws.CloseNow()
			return
		}
	}
}

// elsewhere has the end of a call that could not be told here told on another socket of the site.
func (c *conn) elsewhere(b line) {
	if b.over != "" {
		c.desk.RedeliverEnd(b.over, b.cause)
	}
}

// unwritten does so with what is left in the queue, once nobody writes or queues any more.
func (c *conn) unwritten() {
	for len(c.queue) > 0 {
		c.elsewhere(<-c.queue)
	}
}

func (c *conn) writeOne(ctx context.Context, b line) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.ws.Write(ctx, websocket.MessageText, b.bytes)
	if err != nil {
		c.elsewhere(b)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.server.cfg.Counters.Add(telemetry.SlowReaders)
	}
	return err
}

func (c *conn) read(ctx context.Context) error {
	for strikes := 0; ; {
		kind, data, err := c.ws.Read(ctx)
		if err != nil {
			return fmt.Errorf("callcontrol: reading: %w", err)
		}
		came := c.server.cfg.Dispatcher.Now()
		c.server.cfg.Counters.Add(telemetry.Frames)
		if kind != websocket.MessageText {
			c.server.cfg.Counters.Add(telemetry.BadFrames)
			c.finish(websocket.StatusUnsupportedData, "binary messages are not taken")
			return errors.New("callcontrol: a binary message")
		}
		m, err := parse(data)
		if err == nil {
			err = c.take(m, came)
		}
		if err == nil {
			c.said.Store(true)
		}
		if err != nil {
			c.server.cfg.Counters.Add(telemetry.BadFrames)
			c.server.cfg.Log.Warn().Err(err).Msg("bad websocket message")
			if strikes++; strikes > mostStrikes {
				c.server.cfg.Counters.Add(telemetry.ClosedBad)
				c.finish(websocket.StatusPolicyViolation, "too many messages that were not accepted")
				return err
			}
			after := int64(0)
			if errors.Is(err, dispatch.ErrTooMany) {
				after = comeBack
			}
			c.send(failure(m.id, err, after))
		}
	}
}

// take handles one message. An error says that it was not accepted: it is told, and is no final answer.
func (c *conn) take(m message, came int64) error {
	switch m.kind {
	case "setup":
		m.call.ReceivedAt = came
		if c.server.closing.Load() {
			if !dispatch.IsToken(m.id) {
				return dispatch.ErrID
			}
			c.send(turned("refused", m.id, ShuttingDown, 42, comeBack))
			return nil
		}
		return c.desk.Setup(c, m.call)
	case "cancel", "release":
		// Where a cancel crossed the answer the call stood: its end is told like any other.
		_, err := c.desk.Release(m.id, m.cause)
		return err
	case "ping":
		c.send(pong(m.id, c.server.cfg.Ready()))
	}
	return nil
}
