// Package front is the thin front for the platform's callers: JSON lines over
// TCP. It turns lines into requests and final answers into lines; what happens
// in between is dispatch's.
package front

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
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
	causeCongestion = 42
	causeTimer      = 102
	causeFailed     = 41
)

const (
	writeQueue   = 256 // lines waiting for a connection; past it the caller reads too slowly and loses it
	writeTimeout = 2 * time.Second
	readBuffer   = 2048
	mostKept     = 4096 // releases that wait for a connection
	mostCalls    = 4096 // calls open or standing; past it set-ups are refused unseen
	// answerMargin is how long before the caller gives up its answer must be on its way.
	answerMargin = 20_000
)

// Config is what a Front is made with.
type Config struct {
	Dispatch *dispatch.Dispatcher
	Trunk    dispatch.Trunk
	Classes  []string
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
	cfg     Config
	classes map[string]int
	wg      sync.WaitGroup // connections and calls

	mu    sync.Mutex
	conns []*conn // in the order of their coming
	calls map[string]*call
	kept  []release // releases for which no connection is open
	open  int       // set-ups without a final answer

}

type release struct {
	id    string
	cause int
}

// call is a call from its set-up to its end.
type call struct {
	leave    context.CancelFunc // the caller is gone
	conn     *conn
	stands   bool
	released chan int // the caller's release of a standing call, holds one
}

// New returns a front.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, classes: map[string]int{}, calls: map[string]*call{}}
	for i, name := range cfg.Classes {
		f.classes[name] = i
	}
	return f
}

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
		if len(f.conns) >= f.cfg.MostConnections {
			f.mu.Unlock()
			raw.Close()
			continue
		}
		f.conns = append(f.conns, c)
		kept := f.kept
		f.kept = nil
		f.mu.Unlock()
		f.wg.Add(2)
		go c.read()
		go c.write()
		for _, r := range kept {
			f.Release(r.id, r.cause)
		}
	}
}

// Open is the number of set-ups that are owed a final answer.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Drain returns when every set-up has its final answer and the lines are written, or when ctx is done.
func (f *Front) Drain(ctx context.Context) {
	for f.Open() > 0 || f.unwritten() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (f *Front) unwritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if c.pending.Load() > 0 {
			return true
		}
	}
	return false
}

// Close ends the connections and every goroutine of the front. Serve's listener is to be closed first.
func (f *Front) Close() {
	f.mu.Lock()
	for _, c := range f.conns {
		c.close()
	}
	for _, k := range f.calls {
		k.leave()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// Release tells callers that a call is over, on any connection; without one it waits for the next.
func (f *Front) Release(id string, cause int) { f.release(nil, id, cause) }

func (f *Front) release(first *conn, id string, cause int) {
	l := line{bytes: jsonl.AppendCause(nil, "release", id, cause), release: release{id, cause}}
	if first != nil && first.send(l) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.conns) - 1; i >= 0; i-- { // the youngest is the least likely to be closed right now
		if f.conns[i].send(l) {
			return
		}
	}
	if len(f.kept) >= mostKept {
		f.cfg.Count.Add(stats.ReleasesDropped)
		return
	}
	f.cfg.Count.Add(stats.ReleasesKept)
	f.kept = append(f.kept, l.release)
}

// take handles one message of a caller.
func (f *Front) take(c *conn, m jsonl.Message, now int64) {
	switch m.Type {
	case "setup":
		f.setup(c, m, now)
	case "release":
		f.cfg.Count.Add(stats.ReleasesIn)
		f.released(c, m)
	case "ping":
		f.cfg.Count.Add(stats.Pings)
		cause := 0
		if f.cfg.Ready() {
			cause = 1
		}
		c.send(line{bytes: jsonl.AppendCause(nil, "pong", m.ID, cause)})
	case "progress", "released", "pong", "state": // free, or nothing that is owed an answer
	default:
		f.bad(c, errors.New("front: message type "+strconv.QuoteToASCII(clip(m.Type))+" is not known"))
	}
}

func (f *Front) bad(c *conn, err error) {
	f.cfg.Count.Add(stats.BadLines)
	f.cfg.Log.Warn().Err(err).Str("from", c.raw.RemoteAddr().String()).Msg("bad line")
}

func clip(s string) string { return s[:min(len(s), 40)] }

// token tells whether s can stand in the head of a SIP message as one word.
func token(s string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("-._+", c) >= 0) {
			return false
		}
	}
	return true
}

// setup takes a call, or refuses what cannot be one.
func (f *Front) setup(c *conn, m jsonl.Message, now int64) {
	refuse := func(cause int, why string) {
		f.bad(c, errors.New("front: set-up: "+why))
		f.cfg.Count.Add(stats.RefusedCalls)
		c.send(line{bytes: jsonl.AppendCause(nil, "release", m.ID, cause)})
	}
	if !token(m.ID, 64) {
		refuse(causeFailed, "id "+strconv.QuoteToASCII(clip(m.ID)))
		return
	}
	f.cfg.Count.Add(stats.SetupsTaken)
	class, known := f.classes[m.Field("class")]
	if !known {
		refuse(causeFailed, "class "+strconv.QuoteToASCII(clip(m.Field("class")))+" is not known")
		return
	}
	left, err := strconv.ParseFloat(m.Field("left"), 64)
	if err != nil || !(left >= 0 && left < 1e9) {
		refuse(causeFailed, "left "+strconv.QuoteToASCII(clip(m.Field("left"))))
		return
	}
	number := m.Field("key")
	if number == "" {
		number = "0"
	}
	if !token(number, 64) {
		refuse(causeFailed, "key "+strconv.QuoteToASCII(clip(number)))
		return
	}
	r := dispatch.Request{
		Call: f.cfg.Dispatch.NewCall(), Class: class, Pool: extra(m.Field("extras"), "dest", -1),
		Key: numberKey(number), Until: now + int64(left*1000) - answerMargin,
	}
	s := dispatch.Setup{ID: m.ID, Number: number, Class: m.Field("class"), SDP: m.SDP}
	ctx, leave := context.WithCancel(context.Background())
	k := &call{leave: leave, conn: c, released: make(chan int, 1)}
	f.mu.Lock()
	if f.calls[m.ID] != nil {
		// Guards against a second final answer: the one for the call that has this id is still to come.
		f.mu.Unlock()
		leave()
		f.cfg.Count.Add(stats.Duplicates)
		f.bad(c, errors.New("front: set-up: id "+m.ID+" is in use"))
		return
	}
	if len(f.calls) >= mostCalls {
		f.mu.Unlock()
		leave()
		refuse(causeCongestion, "too many calls")
		return
	}
	f.calls[m.ID] = k
	f.open++
	f.mu.Unlock()
	f.wg.Add(1)
	go f.serve(ctx, k, r, s)
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

// numberKey is the number called as the module compares it.
func numberKey(number string) uint64 {
	if key, err := strconv.ParseUint(number, 16, 64); err == nil {
		return key
	}
	h := fnv.New64a()
	io.WriteString(h, number)
	return h.Sum64()
}

// serve is one call, from its request to its end.
func (f *Front) serve(ctx context.Context, k *call, r dispatch.Request, s dispatch.Setup) {
	defer f.wg.Done()
	defer k.leave()
	final := dispatch.Serve(ctx, f.cfg.Dispatch, f.cfg.Trunk, r, s)
	f.mu.Lock()
	f.open--
	k.stands = final.Kind == dispatch.Stands
	if !k.stands {
		delete(f.calls, s.ID)
	}
	f.mu.Unlock()
	switch final.Kind {
	case dispatch.Stands:
		f.stand(ctx, k, s.ID, final.Call)
	case dispatch.Turned:
		f.cfg.Count.Add(stats.RefusedCalls)
		cause := causeCongestion
		if final.NoRoom {
			cause = causeNoCircuit
		}
		k.conn.answer(jsonl.AppendCause(nil, "release", s.ID, cause))
	case dispatch.GivenUp:
		f.cfg.Count.Add(stats.FailedCalls)
		k.conn.answer(jsonl.AppendCause(nil, "release", s.ID, causeTimer))
	case dispatch.Gone:
		f.cfg.Count.Add(stats.CancelledCalls)
	}
}

// stand passes the answer on and waits for the call's end, whichever side it comes from.
func (f *Front) stand(ctx context.Context, k *call, id string, standing *dispatch.Standing) {
	defer func() {
		f.mu.Lock()
		delete(f.calls, id)
		f.mu.Unlock()
	}()
	// A caller that left while the answer was made does not get it: the cancel came first.
	if ctx.Err() != nil || !k.conn.answer(jsonl.AppendAnswer(nil, id, standing.SDP())) {
		if ctx.Err() != nil {
			f.cfg.Count.Add(stats.CancelledCalls)
		}
		standing.End(dispatch.CauseNormal)
		return
	}
	f.cfg.Count.Add(stats.AnsweredCalls)
	if cause, byPool := standing.WaitEnd(k.released); byPool {
		f.cfg.Count.Add(stats.ReleasesOut)
		f.release(k.conn, id, cause)
	}
}

// released takes a caller's release: a cancel before the answer, the end of the call after it.
func (f *Front) released(c *conn, m jsonl.Message) {
	cause := m.Cause
	if cause < 0 {
		cause = dispatch.CauseNormal
	}
	f.mu.Lock()
	k := f.calls[m.ID]
	if k != nil {
		select {
		case k.released <- cause:
		default:
		}
		if !k.stands {
			k.leave()
		}
	}
	f.mu.Unlock()
	if k == nil && token(m.ID, 64) {
		f.cfg.ReleaseStray(m.ID, cause)
	}
}
