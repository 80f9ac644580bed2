package sippool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
)

// run keeps one connection to the pool for as long as the pool is listed: states come on it unasked,
// and releases of calls that an earlier connection set up.
func (p *pool) run() {
	defer p.set.wg.Done()
	again := redialMin
	var next net.Conn // opened at address to take the place of the connection that has ended
	var address string
	for {
		began := p.set.cfg.Clock.Now()
		p.mu.Lock()
		moved := p.listed.Address != address
		want := p.listed.State != endpointlist.Removed && !p.superseded
		address = p.listed.Address
		p.mu.Unlock()
		if next != nil && (moved || !want || p.set.ctx.Err() != nil) {
			next.Close()
			next = nil
		}
		pause := redialMax
		if want {
			var came bool
			if came, next = p.connect(address, next); came {
				again = redialMin
			}
			if next != nil {
				continue
			}
			if p.set.ctx.Err() != nil {
				return
			}
			pause = again
			again = min(2*again, redialMax)
		} else {
			p.undialled()
		}
		p.cutIfDead()
		if p.forget() {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-p.set.ctx.Done():
			timer.Stop()
			return
		case <-p.kick: // a call wants a connection
			timer.Stop()
			// Guards against a pool that refuses or resets being dialled once for every call.
			time.Sleep(redialMin - time.Duration(p.set.cfg.Clock.Now()-began)*time.Microsecond)
		case <-timer.C:
		}
	}
}

// longGone tells whether the pool's own releases need no longer be waited for.
func (p *pool) longGone() bool {
	now := p.set.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removedAt > 0 && now-p.removedAt >= removedAfter
}

// dial opens a connection. It waits for longer than a set-up does.
//
// Guards against a connection that comes up late being given up a moment before, and another opened in its place that is
// late as well: each is a handshake (442 of 1,758 to pools on a day of 30 controllers).
func (p *pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(dialTimes*p.set.cfg.ConnectTimeout)*time.Microsecond)
	defer cancel()
	return p.set.cfg.Dial(ctx, address)
}

// connect serves a connection until it ends: raw, or one that it dials where that is nil. It tells whether it came up,
// and hands back the one that is open already to take its place, if there is one.
func (p *pool) connect(address string, raw net.Conn) (came bool, next net.Conn) {
	var err error
	if raw == nil {
		raw, err = p.dial(p.set.ctx, address)
	}
	now := p.set.cfg.Clock.Now()
	p.mu.Lock()
	close(p.dialled)
	p.dialled = make(chan struct{})
	if err != nil {
		if p.refusedAt == 0 && errors.Is(err, syscall.ECONNREFUSED) {
			p.refusedAt = now
		}
		p.mu.Unlock()
		return false, nil
	}
	// Guards against calls left standing for ever: a process that died and came back knows nothing of
	// them, and the bulletin tells of its start too late.
	var cut []*leg
	if p.refusedAt > 0 && now-p.refusedAt >= restartAfter {
		cut, p.byes = p.legs(), nil
	}
	c := &conn{
		pool: p, raw: raw, queue: make(chan item, writeQueue), closed: make(chan struct{}),
		dialogs: map[string]*dialog{}, unheard: map[string][]byte{}, openedAt: now,
	}
	c.heard.Store(now)
	p.conn, p.downSince, p.refusedAt = c, 0, 0
	byes := p.byes // releases that had no connection to leave on
	p.byes = nil
	for _, b := range byes {
		p.bye(b.id, b.bytes)
	}
	if p.listed.Address != address || p.superseded {
		c.close()
	}
	p.mu.Unlock()
	p.lose(cut)
	p.set.cfg.Counters.Add(telemetry.PoolConnections)
	p.set.cfg.Log.Debug().Str("pool", p.uid).Str("address", address).Msg("connected")

	serving, end := context.WithCancel(p.set.ctx)
	var others sync.WaitGroup
	others.Go(c.write)
	others.Go(func() { next = c.watch(serving, address) })
	err = c.read()
	end()
	c.close()
	others.Wait()
	p.lost(c)
	p.set.cfg.Log.Debug().Str("pool", p.uid).Err(err).Int64("quiet_us", p.set.cfg.Clock.Now()-c.heard.Load()).Msg("connection ended")
	return true, next
}

// watch closes the connection when ctx is done, when the pool is long gone, and when it is quiet: then it returns the
// one that takes its place, if that came up.
func (c *conn) watch(ctx context.Context, address string) (next net.Conn) {
	p := c.pool
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	looked, tryAt := p.set.cfg.Clock.Now(), int64(0)
	for {
		select {
		case <-ctx.Done():
			c.close()
			return next
		case <-look.C:
		}
		// After a standstill of this process what came meanwhile is still to be read.
		now, paused := p.set.cfg.Clock.Now(), looked
		looked = now
		if now-paused < quietLeast/2 && now >= tryAt && next == nil {
			if from, quiet := c.quiet(now); quiet {
				next, tryAt = c.replace(ctx, address, from)
				looked = p.set.cfg.Clock.Now() // a dial is no standstill
			}
		}
		if p.longGone() {
			c.close()
		}
		p.cutDoubted(now)
	}
}

// replace opens the connection that takes the place of one that is quiet since from, and closes that. Where the pool
// refuses, the quiet one is kept, and it tells when to try again.
//
// Guards against calls being cut that stand: a pool that drains tells its state no more and soon takes no new
// connections, while its calls stand on and their ends come on those that it has. One that was closed for its quiet
// could not be opened again, and a pool that refuses counted as dead (264 calls of 2,631 on a day of 30 controllers).
// A process that dies resets its connections; refusedFor is for one whose reset was lost.
func (c *conn) replace(ctx context.Context, address string, from int64) (next net.Conn, again int64) {
	p := c.pool
	next, err := p.dial(ctx, address)
	now, heard := p.set.cfg.Clock.Now(), c.heard.Load()
	if errors.Is(err, syscall.ECONNREFUSED) {
		if now-heard < refusedFor {
			return nil, now + redialMax.Microseconds()
		}
		from = heard
	}
	if ctx.Err() != nil {
		return next, 0
	}
	p.set.cfg.Counters.Add(telemetry.UnresponsivePools)
	p.mu.Lock()
	c.silent, c.quietFrom = true, from
	p.mu.Unlock()
	c.close()
	return next, 0
}

// lost gives up what was open on a connection that has ended. What stands there stands on.
func (p *pool) lost(c *conn) {
	now := p.set.cfg.Clock.Now()
	p.mu.Lock()
	p.conn, p.downSince = nil, now
	p.unsettled(c)
	if c.silent {
		p.downSince = c.quietFrom
	}
	for len(c.queue) > 0 {
		if i := <-c.queue; i.keep {
			p.bye(i.id, i.bytes)
		}
	}
	if c.silent { // guards against an agent that is held for nobody: nothing has come through for a while
		for id, b := range c.unheard {
			p.bye(id, b)
		}
	}
	for k, d := range c.dialogs {
		delete(c.dialogs, k)
		switch d.state {
		case queued:
			d.finish(dispatch.Ending{Outcome: dispatch.NotSent, At: now, Load: dispatch.UnknownLoad})
		case out:
			p.set.cfg.Counters.Add(telemetry.Resets)
			// It may have run, and its answer may be what was spoilt: what stands there stands for nobody.
			p.bye(k, bye(p.set.cfg.Name, k, d.number, dispatch.CauseNormal))
			d.finish(dispatch.Ending{Outcome: dispatch.Reset, At: now, Load: dispatch.UnknownLoad})
		}
	}
	p.mu.Unlock()
}

// conn is one connection to a pool. Its dialogs belong to pool.mu.
type conn struct {
	pool     *pool
	raw      net.Conn
	queue    chan item
	closed   chan struct{}
	once     sync.Once
	heard    atomic.Int64 // when the last message came
	begun    atomic.Int64 // when the one that is coming began, 0: none is
	toldAt   int64        // when a state came last; only read looks at it
	inviting atomic.Bool  // an INVITE is being written; set under pool.mu
	// openedAt is when it came up, settled that it was heard a while after that; only read looks at settled.
	openedAt int64
	settled  bool
	silent   bool // it was closed for its silence
	// quietFrom is when that began. Guards against the quiet of an idle connection counting as a lost machine's,
	// whose calls are cut and whose releases are dropped (found by FuzzDialog).
	quietFrom int64
	// doubtedAt is when the set-up left that timed out on it with nothing heard since, 0: none did. Under pool.mu.
	doubtedAt int64
	dialogs   map[string]*dialog // by Call-ID, as the pools match them
	unheard   map[string][]byte  // releases written that the pool has not said it heard
}

// item is a message to be written. What has a dialog is written only if it may be when its turn comes.
type item struct {
	bytes  []byte
	dialog *dialog
	keep   bool   // a release: if this connection does not write it, the next one does
	id     string // of the call, with an INVITE and with what is kept
}

// quiet tells whether nothing more is to be hoped for on this connection, and since when: something is going on at the
// pool, and nothing has been heard for long, though pools tell their state often. Where the next one does not come
// up, the pool's machine has gone without a word, and has been silent since then.
//
// The next one is opened to be served at once. Guards against ends of calls that are never heard of: what the pool
// told on the quiet one comes again on the next that is opened, and on no further one. One that was opened only to see
// whether it comes up had them told to nobody.
//
// A set-up's silence counts from its INVITE. Guards against an idle connection being given up for the quiet
// before its first set-up, with the set-up on it (found by FuzzDialog).
func (c *conn) quiet(now int64) (since int64, is bool) {
	p := c.pool
	since = c.heard.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.quiet()
	if p.listed.State == endpointlist.Draining {
		most = max(most, drainQuiet)
	}
	if c.doubtedAt > since {
		return c.doubtedAt, true
	}
	if now-since < most || len(p.standing)+len(c.dialogs) == 0 {
		return since, false
	}
	if len(c.dialogs) > 0 {
		oldest := now
		for _, d := range c.dialogs {
			if d.leftAt > 0 {
				oldest = min(oldest, d.leftAt)
			}
		}
		since = max(since, oldest)
	}
	return since, now-since >= most
}

// quiet is how long the pool's connection may be quiet while something is going on there.
func (p *pool) quiet() int64 {
	if r := p.rhythm.Load(); r > 0 {
		return min(max(rhythms*r, quietLeast), max(quietMost, steadies*p.steady.Load()))
	}
	return quietMost
}

// heardAfter takes the time from one state to the next: rhythm is the longest of late, steady the shortest.
func (p *pool) heardAfter(gap int64) {
	r, s := p.rhythm.Load(), p.steady.Load()
	p.rhythm.Store(max(gap, r-r/rhythmOver))
	if s == 0 || gap < s+s/rhythmOver {
		p.steady.Store(gap)
	} else {
		p.steady.Store(s + s/rhythmOver)
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
	})
}

// send queues a message and never blocks: a pool that does not read for so long loses the connection.
func (c *conn) send(b []byte) bool { return c.sendItem(item{bytes: b}) }

func (c *conn) sendItem(i item) bool {
	select {
	case c.queue <- i:
		return true
	default:
		c.pool.set.cfg.Counters.Add(telemetry.SlowReaders)
		c.close()
		return false
	}
}

func (c *conn) write() {
	for {
		select {
		case <-c.closed:
			return
		case i := <-c.queue:
			// Before leave: a drain that is told after it sets a shorter one.
			if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				c.close()
				c.queueAgain(i)
				return
			}
			// Guards against an INVITE to a pool of which a drain was told between decision and write, and
			// against one whose call was given up in between: here is the last place to stop it.
			if i.dialog != nil && !i.dialog.leave(c, i.id) {
				continue
			}
			if c.pool.set.cfg.Log.GetLevel() <= zerolog.DebugLevel {
				if m, err := sip.Read(bufio.NewReader(bytes.NewReader(i.bytes))); err == nil {
					c.pool.trace("out", m.Method, m.Of, m.Status, m.CallID)
				}
			}
			if _, err := c.raw.Write(i.bytes); err != nil {
				c.close()
				c.queueAgain(i)
				return
			}
			c.inviting.Store(false)
			if i.keep {
				c.pool.mu.Lock()
				if len(c.unheard) < mostByes {
					c.unheard[i.id] = i.bytes
				}
				c.pool.mu.Unlock()
			}
		}
	}
}

// queueAgain keeps a release that could not be written for the next connection: lost empties the queue.
func (c *conn) queueAgain(i item) {
	if i.keep {
		c.sendItem(i)
	}
}

func (c *conn) read() error {
	r := bufio.NewReaderSize(c.raw, readBuffer)
	for {
		m, err := c.next(r)
		if err == nil {
			err = c.handle(m)
		}
		if errors.Is(err, sip.ErrMalformed) || errors.Is(err, sip.ErrFraming) || errors.Is(err, os.ErrDeadlineExceeded) {
			c.pool.set.cfg.Counters.Add(telemetry.BadSIP)
			c.pool.set.cfg.Log.Warn().Str("pool", c.pool.uid).Err(err).Msg("bad SIP message")
		}
		if err != nil {
			return err
		}
	}
}

// trace logs a message at debug level.
func (p *pool) trace(way, method, of string, status int, id string) {
	p.set.cfg.Log.Debug().Str("pool", p.uid).Str("way", way).Str("method", method).Str("of", of).Int("status", status).
		Str("call", id).Msg("sip")
}

// next reads a message: what has begun must be whole soon. It guards against a message that stops short,
// after which nothing that comes on the connection can be read: set-ups went out into the void, and ends of
// calls were never heard of.
func (c *conn) next(r *bufio.Reader) (*sip.Message, error) {
	if r.Buffered() == 0 {
		if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		if _, err := r.Peek(1); err != nil {
			return nil, err
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(messageWithin)); err != nil {
		return nil, err
	}
	c.begun.Store(c.pool.set.cfg.Clock.Now())
	defer c.begun.Store(0)
	return sip.Read(r)
}

// handle takes a message. An error says that nothing that comes after it can be trusted.
func (c *conn) handle(m *sip.Message) error {
	p := c.pool
	now := p.set.cfg.Clock.Now()
	c.heard.Store(now)
	if !c.settled && now-c.openedAt >= settled {
		c.settled = true
		p.settle(now)
	}
	p.trace("in", m.Method, m.Of, m.Status, m.CallID)
	if p.set.cfg.ReportCapacity != "" && p.set.cfg.OnCapacity != nil {
		sip.Report(m.Get("x-state"), func(name string, v float64) {
			if name == p.set.cfg.ReportCapacity && v >= 0 {
				p.set.cfg.OnCapacity(p.uid, v)
			}
		})
	}
	switch {
	case m.Status > 0 && m.Of == "INVITE":
		return c.invited(now, m)
	case m.Status > 0: // to BYE, CANCEL: nothing follows from it but that a release was heard
		p.mu.Lock()
		delete(c.unheard, m.CallID)
		p.mu.Unlock()
	case m.Method == "NOTIFY":
		p.set.cfg.Counters.Add(telemetry.Notifies)
		if c.toldAt > 0 {
			p.heardAfter(now - c.toldAt)
		}
		c.toldAt = now
		if s, any := p.set.state(m); any && p.set.cfg.OnLoadReport != nil {
			p.set.cfg.OnLoadReport(p.uid, s)
		}
	case m.Method == "BYE":
		p.set.cfg.Counters.Add(telemetry.ByesIn)
		c.send(sip.Answer(m, 200, "OK").Append(nil))
		state, _ := p.set.state(m)
		p.mu.Lock()
		g := p.standing[m.CallID]
		p.mu.Unlock()
		cause := m.Cause()
		if g == nil {
			if m.CallID != "" && !p.set.isEnded(m.CallID) {
				p.set.cfg.Counters.Add(telemetry.UnmatchedByes)
				p.set.remember(m.CallID)
				if p.set.cfg.OnUnmatchedRelease != nil {
					p.set.cfg.OnUnmatchedRelease(m.CallID, max(cause, dispatch.CauseNormal))
				}
			}
			return nil
		}
		outcome := dispatch.Ended
		if cause == dispatch.CauseCut {
			outcome = dispatch.Reset
		} else if cause < 0 {
			cause = dispatch.CauseNormal
		}
		g.end(dispatch.Ending{Outcome: outcome, At: now, Load: state, Cause: cause})
	case m.Method == "OPTIONS":
		c.send(sip.Answer(m, 200, "OK").Append(nil))
	case m.Method == "ACK":
	default:
		p.set.cfg.Counters.Add(telemetry.BadSIP)
		p.set.cfg.Log.Warn().Str("pool", p.uid).Str("method", m.Method).Msg("SIP method not known")
		c.send(sip.Answer(m, 501, "Not Implemented").Append(nil))
	}
	return nil
}

// spoilt tells whether an answer to an INVITE is not as a pool makes it: a description that is cut off, that
// has swallowed what came after it or that is noise, or a refusal that brings one.
func spoilt(m *sip.Message) bool {
	if m.Status >= 300 {
		return len(m.Body) > 0
	}
	text := string(m.Body)
	if text == "" || !utf8.ValidString(text) || !strings.HasSuffix(text, "\n") || strings.Contains(text, "SIP/2.0") {
		return true
	}
	return strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\r' && r != '\n' && r != '\t' || r == 0x7f })
}

// invited takes an answer to an INVITE.
func (c *conn) invited(now int64, m *sip.Message) error {
	if m.Status < 200 {
		return nil
	}
	p := c.pool
	name := p.set.cfg.Name
	state, _ := p.set.state(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := c.dialogs[m.CallID]
	if d != nil && spoilt(m) {
		return fmt.Errorf("%w: an answer of %d bytes that no pool makes", sip.ErrMalformed, len(m.Body))
	}
	number := "unknown"
	if d != nil {
		number = d.number
	}
	c.send(ack(name, m.CallID, number))
	if m.Status >= 300 {
		if d == nil {
			return nil
		}
		delete(c.dialogs, m.CallID)
		if d.state == out {
			d.finish(p.set.refusal(now, m, state))
		}
		return nil
	}
	switch {
	case d != nil && d.state == out:
		delete(c.dialogs, m.CallID)
		g := &leg{
			pool: p, id: m.CallID, number: d.number, sdp: string(m.Body), answeredAt: now,
			done: make(chan struct{}),
		}
		p.standing[m.CallID] = g
		d.state = over
		d.reply <- reply{g, dispatch.Ending{Outcome: dispatch.Answered, At: now, Load: state}}
	case p.standing[m.CallID] != nil: // said again: acknowledged again
	default:
		// Guards against an agent that is held for nobody: the answer crossed the CANCEL.
		delete(c.dialogs, m.CallID)
		p.set.cfg.Counters.Add(telemetry.LateAnswers)
		p.set.cfg.Counters.Add(telemetry.ByesOut)
		c.send(bye(name, m.CallID, number, dispatch.CauseNormal))
	}
	return nil
}

// refusal maps a final answer that is no 200.
func (s *Pools) refusal(now int64, m *sip.Message, state dispatch.LoadReport) dispatch.Ending {
	e := dispatch.Ending{Outcome: dispatch.Errored, At: now, Load: state}
	note := m.Get("x-note")
	count := telemetry.PoolErrors
	switch {
	case m.Status == 503:
		count = telemetry.PoolFull
		if e.Outcome = dispatch.NoAgent; note == "swamped" {
			e.Outcome = dispatch.ProcessorFull
		}
	case m.Status == 480:
		e.Outcome = dispatch.NotSent
	case m.Status == 504:
		e.Outcome, count = dispatch.Reset, telemetry.Resets
	case m.Status == 487:
		e.Outcome = dispatch.Cancelled
	}
	if note == "occupied" {
		e.Outcome = dispatch.LinesBusy
	}
	s.cfg.Counters.Add(count)
	return e
}

// state reads the report that a message carries, and tells whether there is any.
func (s *Pools) state(m *sip.Message) (dispatch.LoadReport, bool) {
	text := m.Get("x-state")
	if text == "" && m.Method == "NOTIFY" {
		text = string(m.Body)
	}
	state := dispatch.UnknownLoad
	sip.Report(text, func(name string, v float64) {
		switch name {
		case s.cfg.ReportFree, "x0":
			state.Free = v
		case s.cfg.ReportAgents, "x1":
			state.Agents = v
		}
	})
	return state, state != dispatch.UnknownLoad
}
