package trial

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
)

// clientConn is a caller's connection to one life of a process.
type clientConn struct {
	callers *callers
	process *process
	life    string
	name    string
	raw     net.Conn
	counts  *counts // of the life

	writing sync.Mutex // one set-up is written at a time

	mu      sync.Mutex
	setups  map[string]*setup // without a final answer, or standing
	lastUse time.Time
	closing bool // by this side
}

// dial opens a connection, nil where it does not come up.
func (c *callers) dial(ctx context.Context, p *process) *clientConn {
	life, counted := p.life(), p.currentCounts()
	raw, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.world.network.process(p.index))
	if err != nil {
		c.world.timeline.add("callers", fmt.Sprintf("no connection to %s: %v", life, err))
		return nil
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		raw.Close()
		return nil
	}
	c.lastConn++
	conn := &clientConn{
		callers: c,
		process: p,
		life:    life,
		name:    life + "#" + strconv.FormatUint(c.lastConn, 10),
		raw:     raw,
		counts:  counted,
		setups:  map[string]*setup{},
		lastUse: time.Now(),
	}
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	c.world.checker.ConnectionOpened(conn.name, life)
	c.world.tasks.Go(conn.read)
	c.world.tasks.Go(func() { conn.closeIdle(ctx) })
	return conn
}

// begin writes a set-up, and reports whether it was written to its last byte. It counts as taken just before that: its
// answer may come at once.
func (c *clientConn) begin(s *setup, slow bool) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.setups[s.id] = s
	c.lastUse = time.Now()
	c.mu.Unlock()
	c.callers.mu.Lock()
	s.conn, s.sentAt = c, time.Now()
	c.callers.mu.Unlock()
	rest := s.line
	for slow && len(rest) > piece {
		if _, err := c.raw.Write(rest[:piece]); err != nil {
			c.forget(s.id)
			return false
		}
		rest = rest[piece:]
		time.Sleep(piecePause)
	}
	c.taken(s)
	if _, err := c.raw.Write(rest); err != nil {
		c.callers.world.checker.CallerGone(c.callers.world.now(), s.id)
		c.callers.world.checker.SetupSettled(c.name, s.id, false)
		c.forget(s.id)
		return false
	}
	return true
}

// taken notes that the last byte of a set-up is written now.
func (c *clientConn) taken(s *setup) {
	w := c.callers.world
	now := w.now()
	c.callers.mu.Lock()
	s.sentAt = time.Now()
	c.callers.mu.Unlock()
	w.timeline.add("callers", fmt.Sprintf("setup %s to %s on %s", s.id, c.life, c.name))
	if !s.resent {
		w.checker.CallAccepted(now, s.id, now+s.class.Deadline.Microseconds())
	}
	w.checker.SetupOpened(now, c.name, s.id)
}

func (c *clientConn) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.setups, id)
}

// release sends a release.
func (c *clientConn) release(id string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	write(c.raw, linecodec.AppendCause(nil, linecodec.TypeRelease, id, 16)) //nolint:mnd // normal call clearing
}

// closeIdle closes the connection once no call was on it for a while.
func (c *clientConn) closeIdle(ctx context.Context) {
	for sleep(ctx, frontInterval) {
		c.mu.Lock()
		idle := len(c.setups) == 0 && time.Since(c.lastUse) > idleClose
		gone := c.closing
		c.mu.Unlock()
		if gone {
			return
		}
		if idle {
			c.close("idle")
			return
		}
	}
}

// close closes the connection from the caller's side.
func (c *clientConn) close(reason string) {
	c.mu.Lock()
	before := c.closing
	c.closing = true
	c.mu.Unlock()
	if before {
		return
	}
	c.callers.world.timeline.add("callers", fmt.Sprintf("close %s: %s", c.name, reason))
	c.raw.Close()
}

// read handles what the process sends, until the connection ends.
func (c *clientConn) read() {
	reader := bufio.NewReader(c.raw)
	for {
		line, err := linecodec.ReadLine(reader, nil)
		if err != nil {
			c.ended(err)
			return
		}
		message, err := linecodec.Parse(line)
		if err != nil {
			c.callers.world.timeline.add("callers", fmt.Sprintf("not readable on %s: %q", c.name, line))
			c.ended(err)
			return
		}
		c.handle(&message)
	}
}

// handle takes a message of the process.
func (c *clientConn) handle(message *linecodec.Message) {
	w := c.callers.world
	w.timeline.add("callers", fmt.Sprintf("%s %s cause %d on %s", message.Type, message.ID, message.Cause, c.name))
	c.callers.mu.Lock()
	s := c.callers.setups[message.ID]
	var state setupState
	if s != nil {
		state = s.state
	}
	c.callers.mu.Unlock()
	switch {
	case s == nil:
	case message.Type == linecodec.TypeAnswer:
		c.answered(s, state, message.SDP)
	case message.Type == linecodec.TypeRelease && state == setupWaiting && s.conn == c:
		c.settled(s, outcomeOf(message.Cause))
	case message.Type == linecodec.TypeRelease && state == setupStanding:
		c.endTold(s)
	}
}

// answered takes the answer of a call.
func (c *clientConn) answered(s *setup, state setupState, description string) {
	w := c.callers.world
	if state == setupOver { // it crossed the caller's leaving
		return
	}
	c.callers.mu.Lock()
	forged := !c.callers.description[s.id][description]
	s.state, s.answer = setupStanding, description
	c.callers.mu.Unlock()
	if forged {
		w.checker.AnswerForged(w.now(), s.id)
	}
	w.checker.CallAnswered(w.now(), s.id, "stands")
	w.checker.SetupSettled(c.name, s.id, true)
	c.counts.ended(w.now(), s.class.Name, telemetry.OutcomeAnswered)
	if w.draw(hundred) < releasePerHundred {
		time.AfterFunc(w.drawExponential(w.plan.HoldingTime), func() { c.hangUp(s) })
	}
}

// hangUp has a caller release its call.
func (c *clientConn) hangUp(s *setup) {
	c.callers.mu.Lock()
	stands := s.state == setupStanding
	s.state = setupOver
	c.callers.mu.Unlock()
	if !stands {
		return
	}
	c.callers.world.checker.EndExcused(s.id)
	c.callers.world.checker.CallCleared(c.name, s.id)
	c.release(s.id)
	c.used(s.id)
}

// settled takes the final answer of a set-up that was refused or has failed.
func (c *clientConn) settled(s *setup, outcome telemetry.Outcome) {
	w := c.callers.world
	c.callers.mu.Lock()
	s.state = setupOver
	c.callers.mu.Unlock()
	w.checker.CallAnswered(w.now(), s.id, outcome.String())
	w.checker.SetupSettled(c.name, s.id, false)
	c.counts.ended(w.now(), s.class.Name, outcome)
	c.used(s.id)
}

// endTold takes the end of a call that stands, on whatever connection it comes.
func (c *clientConn) endTold(s *setup) {
	c.callers.mu.Lock()
	s.state = setupOver
	conn := s.conn
	c.callers.mu.Unlock()
	c.callers.world.checker.EndTold(c.callers.world.now(), s.id)
	c.callers.world.checker.CallCleared(conn.name, s.id)
	conn.used(s.id)
}

// used notes that a call is not on the connection any more.
func (c *clientConn) used(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.setups, id)
	c.lastUse = time.Now()
}

// ended takes the end of the connection: what was sent just before goes on another one, the rest must not be lost.
func (c *clientConn) ended(err error) {
	w, at := c.callers.world, time.Now()
	c.raw.Close()
	c.mu.Lock()
	byCaller := c.closing
	c.closing = true
	open := make([]*setup, 0, len(c.setups))
	for _, s := range c.setups {
		open = append(open, s)
	}
	c.mu.Unlock()
	w.checker.ConnectionClosed(c.name)
	c.callers.mu.Lock()
	delete(c.callers.conns, c)
	closed := c.callers.closed
	c.callers.mu.Unlock()
	if !byCaller {
		w.timeline.add("callers", fmt.Sprintf("%s ended with %d calls: %v", c.name, len(open), err))
	}
	if closed {
		return
	}
	for _, s := range open {
		c.callers.mu.Lock()
		waiting := s.state == setupWaiting && s.conn == c
		c.callers.mu.Unlock()
		switch {
		case !waiting:
		case byCaller:
			c.callers.abandon(s)
		default:
			w.tasks.Go(func() { c.lost(s, at, err) })
		}
	}
}

// lost judges a set-up whose connection ended without its answer.
func (c *clientConn) lost(s *setup, at time.Time, err error) {
	w := c.callers.world
	time.Sleep(settleExit) // the end of the process shows
	over, killed, stopped := c.process.ended(c.life)
	c.counts.excuse(s.class.Name)
	age := at.Sub(s.sentAt)
	switch {
	case over && killed && (stopped.IsZero() || s.sentAt.Sub(stopped) <= killDelay):
		c.callers.abandon(s)
	case !s.resent && age <= crossing+timeTolerance:
		s.resent = true
		w.timeline.add("callers", fmt.Sprintf("%s crossed the end of %s, is sent again", s.id, c.name))
		conn := c.callers.pick(context.Background(), false)
		if conn == nil {
			c.callers.abandon(s)
			return
		}
		c.callers.send(context.Background(), s, conn)
	default:
		w.checker.AnswerLost(w.now(), s.id,
			fmt.Sprintf("%s ended %.3f s after the set-up: %v", c.name, age.Seconds(), err))
	}
}
