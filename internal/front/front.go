// Package front is the thin front for the platform's callers: JSON lines over
// TCP. It turns lines into set-ups and releases and final answers into lines;
// what happens in between is dispatch's.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/jsonl"
	"eidertrail/internal/stats"
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
)

// Config is what a Front is made with.
type Config struct {
	Desk  *dispatch.Desk
	Clock dispatch.Clock
	// MostConnections bounds the callers' connections.
	MostConnections int
	// Ready tells whether a test passes.
	Ready func() bool
	// ReleaseStray takes a caller's release of a call that is not known here.
	ReleaseStray func(id string, cause int)
	Log          zerolog.Logger
	Count        *stats.Set
}

// Front serves callers.
type Front struct {
	cfg Config
	wg  sync.WaitGroup // connections

	mu     sync.Mutex
	closed bool
	conns  map[*conn]struct{}
}

// New returns a front.
func New(cfg Config) *Front { return &Front{cfg: cfg, conns: map[*conn]struct{}{}} }

// Serve accepts callers until the listener is closed. It does not wait for the connections.
func (f *Front) Serve(l net.Listener) error {
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
		f.cfg.Count.Add(stats.Connections)
		c := &conn{front: f, raw: raw, queue: make(chan line, writeQueue), closed: make(chan struct{})}
		f.mu.Lock()
		// closed guards against a connection that was accepted just before the end outliving it
		// (found by FuzzConnection).
		take := !f.closed && len(f.conns) < f.cfg.MostConnections
		if take {
			f.conns[c] = struct{}{}
			f.wg.Add(2)
		}
		f.mu.Unlock()
		if !take {
			raw.Close()
			continue
		}
		f.cfg.Desk.Connect(c)
		go c.read()
		go c.write()
	}
}

// Flush returns when all queued lines are written, or when ctx is done.
func (f *Front) Flush(ctx context.Context) {
	for f.unwritten() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (f *Front) unwritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.pending.Load() > 0 {
			return true
		}
	}
	return false
}

// Close ends the connections and every goroutine of the front. Serve's listener is to be closed first.
func (f *Front) Close() {
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		c.close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// take handles one message of a caller.
func (f *Front) take(c *conn, m *jsonl.Message) {
	if !c.proven && (m.Type == "setup" || m.Type == "release") {
		c.proven = true
		f.cfg.Desk.Proven(c)
	}
	switch m.Type {
	case "setup":
		f.setup(c, m)
	case "release":
		cause := m.Cause
		if cause < 0 {
			cause = dispatch.CauseNormal
		}
		standing, err := f.cfg.Desk.Release(m.ID, cause)
		switch {
		case standing:
			c.send(line{bytes: jsonl.AppendBare(nil, "released", m.ID)})
		case errors.Is(err, dispatch.ErrUnknown) && dispatch.Token(m.ID):
			f.cfg.ReleaseStray(m.ID, cause)
		}
	case "ping":
		f.cfg.Count.Add(stats.Pings)
		cause := 0
		if f.cfg.Ready() {
			cause = 1
		}
		c.send(line{bytes: jsonl.AppendCause(nil, "pong", m.ID, cause)})
	case "progress", "released", "pong", "state": // free, or nothing that is owed an answer
	default:
		f.bad(c, fmt.Errorf("front: message type %.40q is not known", m.Type))
	}
}

func (f *Front) bad(c *conn, err error) {
	f.cfg.Count.Add(stats.BadLines)
	f.cfg.Log.Warn().Err(err).Str("from", c.raw.RemoteAddr().String()).Msg("bad line")
}

// setup takes a call, or refuses what cannot be one.
func (f *Front) setup(c *conn, m *jsonl.Message) {
	left, err := strconv.ParseFloat(m.Field("left"), 64)
	if err != nil {
		left = -1
	}
	err = f.cfg.Desk.Setup(c, dispatch.Call{
		ID: m.ID, Class: m.Field("class"), Number: m.Field("key"), Pool: extra(m.Field("extras"), "dest", -1),
		Left: left, Came: f.cfg.Clock.Now(), SDP: m.SDP,
	})
	if err == nil {
		return
	}
	f.bad(c, fmt.Errorf("front: set-up %.40q: %w", m.ID, err))
	switch {
	case errors.Is(err, dispatch.ErrDuplicate): // one answer is owed for the id, and it is still to come
	case errors.Is(err, dispatch.ErrTooMany):
		c.send(line{bytes: jsonl.AppendCause(nil, "release", m.ID, causeCongestion)})
	default:
		c.send(line{bytes: jsonl.AppendCause(nil, "release", m.ID, causeFailed)})
	}
}

// extra is a figure of the extras, such as dest in dest:2;width:1.
func extra(text, name string, absent int) int {
	for part := range strings.SplitSeq(text, ";") {
		if v, is := strings.CutPrefix(part, name+":"); is {
			if n, err := strconv.ParseFloat(v, 64); err == nil && n >= -1 && n < 1e6 {
				return int(n)
			}
		}
	}
	return absent
}
