package trial

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/telemetry"
	"eidertrail/internal/trial/plan"
)

const (
	// crossing is how long before the end of its connection a set-up may have been sent to be sent again, once.
	crossing = 50 * time.Millisecond
	// settleExit is how long after the end of a connection the end of its process may show.
	settleExit = 150 * time.Millisecond
	// idleClose is how long a caller keeps a connection without a call on it.
	idleClose = 4 * time.Second
	// Of a hundred calls: those on a connection that is open already, those that wait past their time instead of giving
	// up, those that are released by their caller.
	reusePerHundred, patientPerHundred, releasePerHundred = 70, 50, 20
	// With CallersLeave of a hundred calls so many are given up early, by a release or by the end of the connection.
	leavePerHundred = 40
	// With CallersRetry of a hundred set-ups that were not answered so many are placed anew at once.
	retryPerHundred = 80
	// piece is the size of the pieces of slow writers, and piecePause the time between them.
	piece, piecePause = 40, 20 * time.Millisecond
	// maxClientConns bounds the callers' connections to a process, as a part of its descriptors.
	clientConnsDivisor = 3
)

// setupState is where a caller's set-up is.
type setupState int

const (
	setupWaiting     setupState = iota
	setupEstablished            // answered, and the call has not ended
	setupEnded                  // released, refused, failed or given up
)

// setup is one call of a caller.
type setup struct {
	id       string
	class    plan.Class
	effect   string // what the caller wants done once, however often it asks
	line     []byte
	conn     *clientConn
	sentAt   time.Time // the last byte
	state    setupState
	resent   bool
	accepted bool // its last byte was written once
	patient  bool
	answer   string // the description of the answer
}

// callers are the good callers of a trial, over all processes.
type callers struct {
	world *world

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	setups      map[string]*setup
	description map[string]map[string]bool // that pools made, by call
	lastID      uint64
	lastConn    uint64
	leaving     int              // CallersLeave under way
	slow        int              // CallersSlow under way
	retrying    int              // CallersRetry under way
	crowded     int              // CallersCrowd under way: each call comes on a new connection
	away        map[*process]int // CallersCrowd under way whose callers are away
	closed      bool
}

func newCallers(w *world) *callers {
	return &callers{
		world:       w,
		conns:       map[*clientConn]struct{}{},
		setups:      map[string]*setup{},
		description: map[string]map[string]bool{},
		away:        map[*process]int{},
	}
}

// arrive has callers place calls for as long as the plan says.
func (c *callers) arrive(ctx context.Context, begin time.Time) {
	mean := time.Duration(float64(time.Second) / c.world.plan.CallRate)
	for time.Since(begin) < c.world.plan.Length {
		if !sleep(ctx, c.world.randomExponential(mean)) {
			return
		}
		c.world.tasks.Go(func() { c.place(ctx) })
	}
}

// place has one caller place a call, if there is a process to place it at.
func (c *callers) place(ctx context.Context) {
	c.placeFor(ctx, c.world.plan.Classes[c.world.randomInt(len(c.world.plan.Classes))], "")
}

// retry has a caller whose set-up was not answered come again: for what it wanted where it was told that a retry
// is harmless, otherwise for something else.
func (c *callers) retry(ctx context.Context, failed *setup, outcome telemetry.Outcome) {
	if outcome == telemetry.OutcomeDeferred {
		c.placeFor(ctx, failed.class, failed.effect)
		return
	}
	c.place(ctx)
}

// placeFor has a caller place a call of a class for an effect, "" for one of its own.
func (c *callers) placeFor(ctx context.Context, class plan.Class, effect string) {
	w := c.world
	conn := c.pick(ctx, !c.underWay(&c.crowded) && w.randomInt(hundred) < reusePerHundred)
	if conn == nil {
		return
	}
	c.mu.Lock()
	c.lastID++
	placed := &setup{
		id:      fmt.Sprintf("%08x%08x", w.plan.Seed, c.lastID),
		class:   class,
		patient: w.randomInt(hundred) < patientPerHundred,
	}
	placed.effect = cmp.Or(effect, placed.id)
	description := "v=0\r\n"
	if class.Unsafe {
		description = describeEffect(placed.effect)
	}
	placed.line = fmt.Appendf(nil,
		`{"type":"setup","id":%q,"fields":{"class":%q,"left":"%d","key":"%x"},"sdp":%s}`+"\n",
		placed.id, class.Name, class.Deadline.Milliseconds(), c.lastID|1, strconv.Quote(description))
	c.setups[placed.id] = placed
	c.mu.Unlock()
	c.send(ctx, placed, conn)
}

// pick returns a connection: an open one, or a new one to a process that the front sends connections to.
func (c *callers) pick(ctx context.Context, reuse bool) *clientConn {
	if reuse {
		if conn := c.pickOpen(); conn != nil {
			return conn
		}
	}
	var candidates []*process
	for _, p := range c.world.processes {
		if p.inRotation() && !c.isAway(p) && c.openTo(p.incarnation()) < c.world.plan.Sockets/clientConnsDivisor/2 {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return c.pickOpen()
	}
	return c.dial(ctx, candidates[c.world.randomInt(len(candidates))])
}

// pickOpen returns an open connection, drawn from all: callers use what is open.
func (c *callers) pickOpen() *clientConn {
	c.mu.Lock()
	open := make([]*clientConn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	if len(open) == 0 {
		return nil
	}
	return open[c.world.randomInt(len(open))]
}

func (c *callers) openTo(incarnation string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for conn := range c.conns {
		if conn.incarnation == incarnation {
			open++
		}
	}
	return open
}

// send writes a set-up on a connection, and has its caller wait.
func (c *callers) send(ctx context.Context, placed *setup, conn *clientConn) {
	if !conn.begin(placed, c.underWay(&c.slow)) {
		c.resend(ctx, placed, conn.name) // the connection was closed while it was written
		return
	}
	wait := placed.class.Deadline
	switch {
	case c.underWay(&c.leaving) && c.world.randomInt(hundred) < leavePerHundred:
		wait = time.Duration(c.world.randomInt(int(min(wait, maxEarlyLeave))))
	case placed.patient:
		wait += lateAnswer + 2*timeTolerance // once for the answer, once for this side
	}
	timer := time.AfterFunc(wait, func() { c.giveUp(placed) })
	context.AfterFunc(ctx, func() { timer.Stop() })
}

// resend sends a set-up that crossed the end of its connection on another one, once.
func (c *callers) resend(ctx context.Context, placed *setup, from string) {
	c.mu.Lock()
	resends := !placed.resent && placed.state == setupWaiting
	placed.resent = true
	c.mu.Unlock()
	var conn *clientConn
	if resends {
		c.world.timeline.add("callers", fmt.Sprintf("%s crossed the end of %s, is sent again", placed.id, from))
		conn = c.pick(ctx, false)
	}
	if conn == nil {
		c.abandon(placed)
		return
	}
	c.send(ctx, placed, conn)
}

// maxEarlyLeave bounds how soon a caller leaves that leaves early.
const maxEarlyLeave = 400 * time.Millisecond

// underWay reports whether a manner of callers is under way.
func (c *callers) underWay(manner *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *manner > 0
}

// giveUp has a caller stop to wait, if its set-up has no final answer: by a release, or, where callers leave, at times
// by the end of its connection.
func (c *callers) giveUp(placed *setup) {
	c.mu.Lock()
	waiting, conn := placed.state == setupWaiting, placed.conn
	if waiting && !placed.patient || waiting && c.leaving > 0 {
		placed.state = setupEnded
	} else {
		waiting = false // it waits until the end of the trial, which reports it
	}
	byClose := c.leaving > 0 && c.world.randomInt(2) == 0
	c.mu.Unlock()
	if !waiting || conn == nil {
		return
	}
	c.callerLeft(placed, conn)
	if byClose {
		conn.close("its caller leaves")
		return
	}
	conn.release(placed.id)
}

// abandon records that nobody waits for a set-up any more.
func (c *callers) abandon(placed *setup) {
	c.mu.Lock()
	waiting, conn := placed.state == setupWaiting, placed.conn
	placed.state = setupEnded
	c.mu.Unlock()
	if waiting {
		c.callerLeft(placed, conn)
	}
}

// callerLeft records that the caller of a set-up has left: its outcome need not be counted.
func (c *callers) callerLeft(placed *setup, conn *clientConn) {
	c.world.checker.CallerGone(c.world.now(), placed.id)
	if conn != nil {
		c.world.checker.SetupSettled(c.world.now(), conn.name, placed.id, false)
		conn.counts.excuse(placed.class.Name)
	}
}

// excuseUnfinished excuses the set-ups whose time is not over at the end of the trial.
func (c *callers) excuseUnfinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, placed := range c.setups {
		due := placed.sentAt.Add(placed.class.Deadline + lateAnswer + timeTolerance)
		if placed.state == setupWaiting && time.Now().Before(due) {
			c.world.checker.CallerGone(c.world.now(), id)
		}
	}
}

// made notes the description that a pool made for a call.
func (c *callers) made(id, description string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.description[id] == nil {
		c.description[id] = map[string]bool{}
	}
	c.description[id][description] = true
}

// endedAtPool notes that a call is over at its pool, where it is that pool's answer that its caller has. The caller may
// hang up at the same time: both are decided under one lock.
func (c *callers) endedAtPool(id, uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := c.setups[id]
	if placed == nil || placed.state != setupEstablished || placed.answer != descriptionOf(uid, id) {
		return
	}
	c.world.timeline.add("callers", "over at its pool: "+id)
	c.world.checker.CallEnded(c.world.now(), id)
}

// excuseEnds excuses the ends of calls whose process has ended, and postpones those of calls to whose process no caller
// is connected.
func (c *callers) excuseEnds() {
	established := map[string]*clientConn{}
	c.mu.Lock()
	for id, placed := range c.setups {
		if placed.state == setupEstablished && placed.conn != nil {
			established[id] = placed.conn
		}
	}
	c.mu.Unlock()
	serves, connected := map[string]bool{}, map[string]bool{}
	for _, p := range c.world.processes {
		incarnation := p.incarnation()
		exited, _, stopped := p.ended(incarnation)
		serves[incarnation] = !exited && stopped.IsZero()
		connected[incarnation] = c.openTo(incarnation) > 0
	}
	for id, conn := range established {
		incarnation := conn.process.served(conn.heldBy())
		switch {
		case !serves[incarnation]:
			c.world.checker.EndExcused(id)
		case !connected[incarnation]:
			c.world.checker.EndPostponed(c.world.now(), id)
		}
	}
}

// outcomeOf is the outcome of a final answer by its cause.
func outcomeOf(cause int) telemetry.Outcome {
	switch cause {
	case 34, 42, 102: //nolint:mnd // the page's causes of refusals
		return telemetry.OutcomeDeferred
	}
	return telemetry.OutcomeErrored
}

func (c *callers) close() {
	c.mu.Lock()
	c.closed = true
	open := make([]*clientConn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.close("the trial ends")
	}
}
