// Package invariant checks a trace of calls against the rules that hold on the wire: one final answer for each accepted
// call, in time and never after its caller left; never two attempts in flight; a maximum number of attempts; a wait for
// the release of a failed attempt; nothing new for a pool that drains or is removed, nor for a caller that has left; no
// more for a pool in slow start than it bears, by all controllers together. The simulator, the tests' fakes and live
// experiments use it.
//
// It reads no clock: times are µs of one clock, which the caller passes. It is safe for concurrent use.
package invariant

import (
	"slices"
	"sync"

	"eidertrail/internal/slowstart"
)

// Config holds the bounds of the rules. Times are in µs.
type Config struct {
	ReleaseWait     int64 // from a timeout, reset or cancel of an attempt to the next attempt of its call
	MaxAttempts     int   // of a call
	DrainGrace      int64 // in which a controller may still send to a pool after it was notified of its drain or removal
	AnswerTolerance int64 // in which an answer may still arrive after the call's deadline
	// AbandonTolerance is the time after its caller left, by closing its connection or by cancelling, in which an attempt
	// of a call may still begin.
	AbandonTolerance int64
	// TimeTolerance is how much longer than a page's figure the duties of processes and of ended calls may take.
	TimeTolerance int64
	// SlowStart is how pools' processes start, and what they bear in slow start. Without an OverloadWindow no pool is
	// checked.
	SlowStart slowstart.Profile
}

const (
	// maxListedViolations bounds the violations that are listed; all are counted.
	maxListedViolations = 100
	// forwardedAfter is how long after its caller left a waiting call that is sent all the same counts as forwarded, µs.
	forwardedAfter = 300_000
	// microsPerMilli converts the times in the texts of violations.
	microsPerMilli = 1000
)

// Checker holds the state of a trace. The zero value is not ready: New makes one.
type Checker struct {
	config Config

	mu             sync.Mutex
	calls          map[string]*call
	closedSince    map[endpointView]int64 // since when a controller knows that a pool drains or is removed
	slowStart      slowStartTracker
	violations     []Violation // the first ones
	violationCount int
	accepted       int
	abandoned      AbandonedRequests
	endedCalls     map[string]*endedCall
	effects        map[string]string // where each was carried out first
	processes      map[string]*processView
	connections    map[string]*connectionView
}

// endpointView is a pool as a controller knows it.
type endpointView struct{ controller, pool string }

// AbandonedRequests counts callers that left, and what was sent for them.
type AbandonedRequests struct {
	Waiting   int // left while their call was accepted and had neither an attempt in flight nor its answer
	Forwarded int // of those calls, sent 0.3 s later or more
	Tolerated int // attempts begun within LeftGrace
}

// call is the state of one call.
type call struct {
	accepted bool
	deadline int64

	inFlight   bool // an attempt is
	attempts   int
	releasedAt int64 // the next attempt may begin from then on
	finals     int   // final answers
	answeredAt int64 // the first of them had arrived by then
	sentAt     int64 // the latest attempt was sent no earlier

	callerGone   bool
	callerGoneAt int64
	wasWaiting   bool // when its caller left
	forwarded    bool // counted in AbandonedRequests.SentOn
}

// New returns a checker.
func New(config Config) *Checker {
	return &Checker{
		config:      config,
		calls:       map[string]*call{},
		closedSince: map[endpointView]int64{},
		slowStart:   newSlowStartTracker(config.SlowStart),
		endedCalls:  map[string]*endedCall{},
		effects:     map[string]string{},
		processes:   map[string]*processView{},
		connections: map[string]*connectionView{},
	}
}

// CallAccepted records a call that a controller accepted; its caller waits until the deadline.
func (c *Checker) CallAccepted(now int64, id string, deadline int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.call(id)
	c.report(k.checkAcceptedOnce(now, id))
	k.deadline, k.accepted = deadline, true
	c.accepted++
}

// EndpointNotified records that a controller was notified of a pool's state: open, or draining or removed.
func (c *Checker) EndpointNotified(now int64, controller, pool string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := endpointView{controller, pool}
	if open {
		delete(c.closedSince, view)
	} else if _, closed := c.closedSince[view]; !closed {
		c.closedSince[view] = now
	}
}

// EndpointStarted records that a pool's process started, and can handle so many set-ups of mean work a second after its
// slow start. It counts for all that is sent there from then on, whichever controllers know of the start.
func (c *Checker) EndpointStarted(startedAt int64, pool string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(c.slowStart.start(startedAt, pool, rate))
}

// AttemptSent records an attempt that a controller sends to a pool.
func (c *Checker) AttemptSent(now int64, id, controller, pool string) {
	c.AttemptSentBetween(now, now, id, controller, pool)
}

// AttemptSentBetween records an attempt that was sent no earlier than a time, and before now.
func (c *Checker) AttemptSentBetween(earliest, now int64, id, controller, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.call(id)
	violation := c.checkAttempt(k, attempt{at: now, earliest: earliest, id: id, controller: controller, pool: pool})
	k.sentAt = earliest
	c.report(violation)
	if violation == nil && k.callerGone {
		c.abandoned.Tolerated++
	}
	if k.wasWaiting && !k.forwarded && now >= k.callerGoneAt+forwardedAfter {
		k.forwarded = true
		c.abandoned.Forwarded++
	}
	k.inFlight = true
	k.attempts++
	c.report(c.slowStart.arrival(now, id, pool))
}

// AttemptRetransmitted records that the sender's transaction layer retransmitted a set-up in flight: work at its pool,
// but no attempt.
func (c *Checker) AttemptRetransmitted(now int64, id, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(c.slowStart.arrival(now, id, pool))
}

// AttemptEnded records the end of an attempt. After a timeout, a reset or a cancel its release has to be awaited.
func (c *Checker) AttemptEnded(now int64, id string, awaitRelease bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.call(id)
	k.inFlight = false
	if awaitRelease {
		k.releasedAt = now + c.config.ReleaseWait
	}
}

// CallAnswered records a final answer.
func (c *Checker) CallAnswered(now int64, id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.call(id)
	k.finals++
	if k.finals == 1 {
		k.answeredAt = now
	}
	c.report(c.checkFinal(k, final{at: now, id: id, answer: answer}))
}

// CallerGone records that the caller closed its connection or cancelled: it must get no answer any more, and soon
// nothing may be sent. now is when the caller did so, not when a controller learned of it.
func (c *Checker) CallerGone(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.call(id)
	if k.callerGone {
		return
	}
	k.callerGone, k.callerGoneAt = true, now
	k.wasWaiting = k.accepted && !k.inFlight && k.finals == 0
	if k.wasWaiting {
		c.abandoned.Waiting++
	}
}

// Finish records the end of the trace: every call must have its answer.
func (c *Checker) Finish(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unanswered []string
	for id, k := range c.calls {
		if k.accepted && k.finals == 0 && !k.callerGone {
			unanswered = append(unanswered, id)
		}
	}
	slices.Sort(unanswered)
	for _, id := range unanswered {
		c.report(violated(RuleAnswered, now, id, "no final answer"))
	}
}

// Violations returns how many violations there were, and the texts of the first.
func (c *Checker) Violations() (count int, first []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.violations {
		first = append(first, v.String())
	}
	return c.violationCount, first
}

// FirstViolations returns the first violations.
func (c *Checker) FirstViolations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// AcceptedCalls returns how many calls were accepted.
func (c *Checker) AcceptedCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// Abandoned returns what came of the callers that left.
func (c *Checker) Abandoned() AbandonedRequests {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// SlowStartLoad returns what was sent to pools in slow start.
func (c *Checker) SlowStartLoad() SlowStartLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slowStart.ramp
}

// call returns the state of a call, which is made at the first record of it. The caller holds mu.
func (c *Checker) call(id string) *call {
	k := c.calls[id]
	if k == nil {
		k = &call{}
		c.calls[id] = k
	}
	return k
}

// report counts a violation, nil for none. The caller holds mu.
func (c *Checker) report(v *Violation) {
	if v == nil {
		return
	}
	c.violationCount++
	if len(c.violations) < maxListedViolations {
		c.violations = append(c.violations, *v)
	}
}
