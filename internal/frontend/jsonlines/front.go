// Package front is the thin front for the platform's callers: JSON lines over
// TCP. It turns lines into set-ups and releases and final answers into lines;
// what happens in between is dispatch's.
package jsonlines

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
)

// The Q.850 causes of refusals, and of a call that failed.
const (
	causeNoCircuit  = 34
	causeFailed     = 41
	causeCongestion = 42
	causeTimer      = 102
)

const (
	writeQueue   = 256 // lines waiting for a connection; past it the caller reads too slowly and loses it
	writeTimeout = 2 * time.Second
	readBuffer   = 2048
	// firstWithin is how long after connecting the first line must be whole: whoever has said nothing by then
	// is no caller. A client is owed an end within 3 s.
	firstWithin = 2500 * time.Millisecond
	// lineWithin is the same for a later line, from its first byte on.
	lineWithin = 2 * time.Second
	// idleAfter is how long a connection without an open set-up or a standing call may be quiet. Callers close theirs after 4 s.
	idleAfter = 8 * time.Second
	// lastLook is how long a reader looks for what has come once such a time is over.
	lastLook = 5 * time.Millisecond
	// mostStrikes is how much may be wrong with what comes on a connection before it is closed.
	mostStrikes = 16
	// mostStrays and straysPerSecond bound the releases of unknown calls that go on to all pools: after a
	// restart callers release what stood, but a flood of made-up names must not reach the pools.
	mostStrays      = 64
	straysPerSecond = 32
	// spareAfter is how long a proven connection must have been quiet to make room for another.
	spareAfter = 1_000_000
	// shedWithin is how long what is queued for a connection that makes room may take to be written.
	shedWithin = 50 * time.Millisecond
)

// Config is what a Front is made with.
type Config struct {
	Calls *dispatch.CallTable
	Clock dispatch.Clock
	// Tenants are the names that a set-up may have; none: any.
	Tenants []string
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// Ready tells whether a test passes.
	Ready func() bool
	// ReleaseUnmatched takes a caller's release of a call that is not known here.
	ReleaseUnmatched func(id string, cause int)
	Log              zerolog.Logger
	Counters         *telemetry.Counters
}

// Server serves callers.
type Server struct {
	cfg Config
	wg  sync.WaitGroup // connections

	draining atomic.Bool

	mu     sync.Mutex
	closed bool
	conns  map[*conn]struct{}

	straysLeft float64 // as of straysAt; they belong to mu too
	straysAt   int64
}

// New returns a front.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: map[*conn]struct{}{}, straysLeft: mostStrays, straysAt: cfg.Clock.Now()}
}

// Serve accepts callers until the listener is closed. It does not wait for the connections.
func (f *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a connection that was gone before it was taken
			f.cfg.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(5 * time.Millisecond)
			continue
		}
		f.cfg.Counters.Add(telemetry.Connections)
		c := &conn{front: f, raw: raw, queue: make(chan line, writeQueue), closed: make(chan struct{}), came: time.Now()}
		c.active.Store(f.cfg.Clock.Now())
		f.mu.Lock()
		if len(f.conns) >= f.cfg.MaxConnections {
			f.shed()
		}
		// closed guards against a connection that was accepted just before the end outliving it
		// (found by FuzzConnection).
		take := !f.closed && len(f.conns) < f.cfg.MaxConnections
		if take {
			f.conns[c] = struct{}{}
			f.wg.Add(2)
		}
		f.mu.Unlock()
		if !take {
			raw.Close()
			continue
		}
		f.cfg.Calls.Connect(c)
		c.rest()
		go c.read()
		go c.write()
	}
}

// shed makes room for a connection where there is one that can be spared: the oldest that has said nothing
// yet, else the one that was quiet for longest among those without an open set-up, unproven ones first, those on which calls stand
// last. It
// guards against clients that open connections by hundreds shutting the callers out. The caller holds mu.
//
// The desk takes no set-up on it from then on. Guards against one that was read just then being sent for nobody, and
// its caller, who sends it again as it crossed the close, being told that its id is in use.
func (f *Server) shed() {
	for {
		spare := f.spare()
		if spare == nil {
			return
		}
		if !f.cfg.Calls.Retire(spare) {
			continue // a set-up has come in on it
		}
		f.cfg.Counters.Add(telemetry.Shed)
		delete(f.conns, spare)
		// Guards against a final answer that is queued being lost: its set-up is open no more.
		if spare.unwritten.Load() > 0 && spare.send(line{last: true}) {
			time.AfterFunc(shedWithin, spare.close)
		} else {
			spare.close()
		}
		return
	}
}

// spare is the connection that shed takes, or nil. The caller holds mu.
func (f *Server) spare() *conn {
	var spare *conn
	worst := [2]int64{}
	for c := range f.conns {
		open, stands, proven := f.cfg.Calls.ConnState(c)
		quiet := f.cfg.Clock.Now() - c.active.Load()
		kind := int64(3)
		switch {
		case open > 0: // before said: the first set-up is taken before its connection counts as one that has spoken
			continue
		case !c.said.Load():
		case !proven:
			kind = 2
		case quiet < spareAfter:
			continue
		case stands > 0: // the end of its calls would have to be told on another
			kind = 0
		default:
			kind = 1
		}
		if of := [2]int64{kind, quiet}; spare == nil || of[0] > worst[0] || of[0] == worst[0] && of[1] > worst[1] {
			spare, worst = c, of
		}
	}
	return spare
}

// stray tells whether one more release of an unknown call may go on to the pools now.
func (f *Server) stray() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.straysLeft = min(mostStrays, f.straysLeft+float64(now-f.straysAt)*straysPerSecond/1e6)
	f.straysAt = now
	if f.straysLeft < 1 {
		return false
	}
	f.straysLeft--
	return true
}

// CatchUp gives Serve and the readers time to take what has come by now, and is to be called before the listener is
// closed and the connections are drained. Guards against connections and set-ups that came while the process stood still
// being lost with the close: the time to stop is seen before what has come, and only a set-up that crosses the close
// within 50 ms is sent again.
func (f *Server) CatchUp() { time.Sleep(lastLook) }

// Drain ends each connection once every set-up on it has its final answer, and returns when none is left, or when
// ctx is done. Serve's listener is to be closed first.
//
// Guards against callers that go on sending on every connection that stays open: one slow set-up anywhere kept all
// of them open, and what came on them until the process ended was taken and not answered.
func (f *Server) Drain(ctx context.Context) {
	f.draining.Store(true)
	for _, c := range f.all() {
		c.rest()
	}
	for len(f.all()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (f *Server) all() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.conns))
}

// Close ends the connections and every goroutine of the front. Serve's listener is to be closed first.
func (f *Server) Close() {
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		c.close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// take handles one message of a caller.
func (f *Server) take(c *conn, m *linecodec.Message) {
	switch m.Type {
	case "setup":
		f.setup(c, m)
	case "release":
		cause := m.Cause
		if cause < 0 {
			cause = dispatch.CauseNormal
		}
		standing, err := f.cfg.Calls.Release(m.ID, cause)
		switch {
		case standing:
			f.cfg.Calls.MarkEstablished(c)
			c.send(line{bytes: linecodec.AppendBare(nil, "released", m.ID)})
		case errors.Is(err, dispatch.ErrUnknown) && name(m.ID) && f.stray():
			f.cfg.ReleaseUnmatched(m.ID, cause)
		case errors.Is(err, dispatch.ErrUnknown):
			c.strikes++
		}
	case "ping":
		f.cfg.Counters.Add(telemetry.Pings)
		cause := 0
		if f.cfg.Ready() {
			cause = 1
		}
		c.send(line{bytes: linecodec.AppendCause(nil, "pong", m.ID, cause)})
	case "progress", "released", "pong", "state": // free, or nothing that is owed an answer
	default:
		f.bad(c, fmt.Errorf("front: message type %.40q is not known", m.Type))
	}
}

// name tells whether id is one that the pools can read: what they cannot read has them close the
// connection, on which the set-ups of others are out.
func name(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		if c := id[i]; !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return true
}

func (f *Server) bad(c *conn, err error) {
	c.strikes++
	f.cfg.Counters.Add(telemetry.BadLines)
	f.cfg.Log.Warn().Err(err).Str("from", c.raw.RemoteAddr().String()).Msg("bad line")
}

var (
	errName   = errors.New("id: want 16 hex digits")
	errTenant = errors.New("tenant: not known")
	errExtras = errors.New("extras: want figures as in dest:2;width:1;via:-1")
)

// setup takes a call, or refuses what cannot be one.
func (f *Server) setup(c *conn, m *linecodec.Message) {
	err := f.place(c, m)
	if err == nil {
		return
	}
	f.bad(c, fmt.Errorf("front: set-up %.40q: %w", m.ID, err))
	cause := causeFailed
	switch {
	case !dispatch.IsToken(m.ID): // nothing can be answered to it
		c.finish()
		return
	case errors.Is(err, dispatch.ErrDuplicate) && f.cfg.Calls.Owns(c, m.ID):
		// Two set-ups under one name on one connection: no answer could be told from the other's.
		f.cfg.Calls.Release(m.ID, dispatch.CauseNormal)
		c.finish()
		return
	case errors.Is(err, dispatch.ErrTooMany):
		cause = causeCongestion
		if !errors.Is(err, dispatch.ErrNotEstablished) {
			c.strikes-- // of a caller that is served: not its fault
		}
	}
	c.send(line{bytes: linecodec.AppendCause(nil, "release", m.ID, cause)})
}

// place checks what is the platform's own and hands the set-up over.
func (f *Server) place(c *conn, m *linecodec.Message) error {
	if !name(m.ID) {
		return errName
	}
	left, err := strconv.ParseFloat(m.Field("left"), 64)
	if err != nil {
		left = -1
	}
	if t := m.Field("tenant"); t != "" && len(f.cfg.Tenants) > 0 && !slices.Contains(f.cfg.Tenants, t) {
		return errTenant
	}
	dest, ok := dest(m.Field("extras"))
	if !ok {
		return errExtras
	}
	return f.cfg.Calls.Setup(c, dispatch.SetupRequest{
		ID: m.ID, Class: m.Field("class"), Number: m.Field("key"), Pool: dest,
		TimeoutMillis: left, ReceivedAt: f.cfg.Clock.Now(), SDP: m.SDP,
	})
}

// dest reads the extras, such as dest:2;width:1;via:-1, and tells the pool of first choice, or -1.
func dest(text string) (pool int, ok bool) {
	pool = -1
	if text == "" {
		return pool, true
	}
	for part := range strings.SplitSeq(text, ";") {
		figure, value, found := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil || !(n >= -1 && n < 1e6) || figure == "width" && n < 1 {
			return -1, false
		}
		if figure == "dest" {
			pool = int(n)
		}
	}
	return pool, true
}
