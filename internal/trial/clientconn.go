package trial

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/trial/arrival"
)

// clientConn is a caller's connection to one incarnation of a process.
type clientConn struct {
	callers     *callers
	process     *process
	incarnation string
	servers     []string // the incarnations that may have accepted it: two while one replaces the other
	name        string
	raw         net.Conn
	counts      *counts // of the incarnation

	writing sync.Mutex // one set-up is written at a time

	mu      sync.Mutex
	setups  map[string]*setup // without a final answer, or established
	holder  string            // the incarnation that has accepted it, "" until that is known
	lastUse time.Time
	closing bool // by this side
}

// dial opens a connection, nil where it does not come up.
func (c *callers) dial(ctx context.Context, target *process) *clientConn {
	incarnation, counted := target.incarnation(), target.currentCounts()
	raw, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.world.network.process(target.index))
	if err != nil {
		target.connectionFailed(err)
		c.world.timeline.add("callers", fmt.Sprintf("no connection to %s: %v", incarnation, err))
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
		callers:     c,
		process:     target,
		incarnation: incarnation,
		servers:     target.accepting(incarnation),
		name:        incarnation + "#" + strconv.FormatUint(c.lastConn, 10),
		raw:         raw,
		counts:      counted,
		setups:      map[string]*setup{},
		lastUse:     time.Now(),
	}
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	c.world.checker.ConnectionOpened(c.world.now(), conn.name, incarnation)
	c.world.tasks.Go(conn.read)
	c.world.tasks.Go(func() { conn.closeIdle(ctx) })
	return conn
}

// begin writes a set-up, and reports whether it was written to its last byte. It counts as taken just before that: its
// answer may come at once.
func (c *clientConn) begin(placed *setup, slow bool) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.setups[placed.id] = placed
	c.lastUse = time.Now()
	c.mu.Unlock()
	c.callers.mu.Lock()
	placed.conn, placed.sentAt = c, time.Now()
	c.callers.mu.Unlock()
	rest := placed.line
	for slow && len(rest) > piece {
		if _, err := c.raw.Write(rest[:piece]); err != nil {
			c.forget(placed.id)
			return false
		}
		rest = rest[piece:]
		time.Sleep(piecePause)
	}
	c.taken(placed)
	if _, err := c.raw.Write(rest); err != nil {
		c.callers.world.checker.SetupSettled(c.callers.world.now(), c.name, placed.id, false)
		c.forget(placed.id)
		return false
	}
	return true
}

// taken notes that the last byte of a set-up is written now.
func (c *clientConn) taken(placed *setup) {
	w := c.callers.world
	now := w.now()
	c.callers.mu.Lock()
	placed.sentAt = time.Now()
	first := !placed.accepted
	placed.accepted = true
	c.callers.mu.Unlock()
	w.timeline.add("callers", fmt.Sprintf("setup %s to %s on %s", placed.id, c.incarnation, c.name))
	if first {
		w.checker.CallAccepted(now, placed.id, now+placed.class.Deadline.Microseconds())
	}
	w.checker.SetupOpened(now, c.name, placed.id)
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
		callerLeft := c.closing
		c.mu.Unlock()
		if callerLeft {
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
	timed, is := c.raw.(*net.TCPConn)
	if !is {
		c.ended(errNotTCP)
		return
	}
	arrivals := arrival.New(timed)
	reader := bufio.NewReader(arrivals)
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
		c.handle(&message, c.callers.world.timeOf(arrivals.LastArrival()))
	}
}

// errNotTCP is a connection that cannot be read.
var errNotTCP = errors.New("trial: not a TCP connection")

// handle takes a message of the process, which had arrived by then.
func (c *clientConn) handle(message *linecodec.Message, arrivedAt int64) {
	w := c.callers.world
	w.timeline.add("callers", fmt.Sprintf("%s %s cause %d on %s", message.Type, message.ID, message.Cause, c.name))
	c.callers.mu.Lock()
	placed := c.callers.setups[message.ID]
	var state setupState
	if placed != nil {
		state = placed.state
	}
	c.callers.mu.Unlock()
	switch {
	case placed == nil:
	case message.Type == linecodec.TypeAnswer:
		c.answered(placed, state, message.SDP, arrivedAt)
	case message.Type == linecodec.TypeRelease && state == setupWaiting && placed.conn == c:
		c.settled(placed, outcomeOf(message.Cause), arrivedAt)
	case message.Type == linecodec.TypeRelease && state == setupEstablished:
		c.endNotified(placed)
	}
}

// answered takes the answer of a call.
func (c *clientConn) answered(placed *setup, state setupState, description string, arrivedAt int64) {
	w := c.callers.world
	if state == setupEnded { // it crossed the caller's leaving
		return
	}
	c.callers.mu.Lock()
	forged := !c.callers.description[placed.id][description]
	placed.state, placed.answer = setupEstablished, description
	c.callers.mu.Unlock()
	if forged {
		w.checker.AnswerForged(w.now(), placed.id)
	}
	w.checker.CallAnswered(arrivedAt, placed.id, "established")
	c.findHolder()
	w.checker.SetupSettled(w.now(), c.name, placed.id, true)
	c.counts.ended(w.now(), placed.class.Name, telemetry.OutcomeAnswered)
	if w.randomInt(hundred) < releasePerHundred {
		time.AfterFunc(w.randomExponential(w.plan.HoldingTime), func() { c.hangUp(placed) })
	}
}

// findHolder finds which incarnation has accepted the connection, and so holds its calls, where two may have. One that
// has ended just now is not found: the calls stay with the incarnation that served when the connection was opened.
func (c *clientConn) findHolder() {
	c.mu.Lock()
	known := c.holder != "" || len(c.servers) == 1
	c.mu.Unlock()
	if known {
		return
	}
	holder := c.process.holderOf(c.raw, c.servers)
	if holder == "" {
		return
	}
	c.callers.world.timeline.add("callers", fmt.Sprintf("%s is at %s", c.name, holder))
	c.mu.Lock()
	c.holder = holder
	c.mu.Unlock()
}

// heldBy is the incarnation that holds the connection's calls.
func (c *clientConn) heldBy() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.holder, c.incarnation)
}

// hangUp has a caller release its call.
func (c *clientConn) hangUp(placed *setup) {
	c.callers.mu.Lock()
	established := placed.state == setupEstablished
	placed.state = setupEnded
	if established {
		c.callers.world.checker.EndExcused(placed.id)
	}
	c.callers.mu.Unlock()
	if !established {
		return
	}
	c.callers.world.checker.CallCleared(c.callers.world.now(), c.name, placed.id)
	c.release(placed.id)
	c.used(placed.id)
}

// settled takes the final answer of a set-up that was refused or has failed.
func (c *clientConn) settled(placed *setup, outcome telemetry.Outcome, arrivedAt int64) {
	w := c.callers.world
	c.callers.mu.Lock()
	placed.state = setupEnded
	c.callers.mu.Unlock()
	w.checker.CallAnswered(arrivedAt, placed.id, outcome.String())
	w.checker.SetupSettled(w.now(), c.name, placed.id, false)
	c.counts.ended(w.now(), placed.class.Name, outcome)
	c.used(placed.id)
	if c.callers.underWay(&c.callers.retrying) && w.randomInt(hundred) < retryPerHundred {
		w.tasks.Go(func() { c.callers.retry(w.ctx, placed, outcome) })
	}
}

// endNotified takes the end of an established call, on whatever connection it comes.
func (c *clientConn) endNotified(placed *setup) {
	c.callers.mu.Lock()
	placed.state = setupEnded
	conn := placed.conn
	c.callers.mu.Unlock()
	c.callers.world.checker.EndNotified(c.callers.world.now(), placed.id)
	c.callers.world.checker.CallCleared(c.callers.world.now(), conn.name, placed.id)
	conn.used(placed.id)
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
	w, endedAt := c.callers.world, time.Now()
	c.raw.Close()
	c.mu.Lock()
	byCaller := c.closing
	c.closing = true
	open := make([]*setup, 0, len(c.setups))
	for _, placed := range c.setups {
		open = append(open, placed)
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
	for _, placed := range open {
		c.callers.mu.Lock()
		waiting := placed.state == setupWaiting && placed.conn == c
		c.callers.mu.Unlock()
		switch {
		case !waiting:
		case byCaller:
			c.callers.abandon(placed)
		default:
			w.tasks.Go(func() { c.lost(placed, endedAt, err) })
		}
	}
}

// lost judges a set-up whose connection ended without its answer.
func (c *clientConn) lost(placed *setup, at time.Time, err error) {
	w := c.callers.world
	time.Sleep(settleExit) // the end of the process shows
	exited, killed, stopped := c.process.endedAny(c.servers)
	c.callers.mu.Lock()
	resent, elsewhere := placed.resent, placed.conn != c || placed.state != setupWaiting
	c.callers.mu.Unlock()
	if elsewhere { // it was sent again already, or nobody waits for it
		return
	}
	c.counts.excuse(placed.class.Name)
	age := at.Sub(placed.sentAt)
	switch {
	case exited && killed && (stopped.IsZero() || placed.sentAt.Sub(stopped) <= killDelay):
		c.callers.abandon(placed)
	case !resent && age <= crossing+timeTolerance:
		c.process.requestUnread(placed.id)
		c.callers.resend(context.Background(), placed, c.name)
	default:
		w.checker.AnswerLost(w.now(), placed.id,
			fmt.Sprintf("%s ended %.3f s after the set-up: %v", c.name, age.Seconds(), err))
	}
}
