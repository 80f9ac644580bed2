package eidertrail

import (
	"cmp"
	"slices"
	"time"

	"eidertrail/internal/callstate"
	"eidertrail/internal/circuit"
	"eidertrail/internal/inflight"
)

// Parameters of the ledger.
const (
	maxAttempts         = 2    // attempts a call may have
	queueFraction       = 0.7  // the part of the latency objective for which a call may be queued
	meanWeightWindow    = 64.0 // calls over which the mean weight is taken
	busyBackoffFraction = 0.05 // the first backoff of a busy number, as a part of the class's deadline
	maxBusyMultiple     = 8    // the longest backoff in first ones, and how many of its lengths it is kept
	maxBusyNumbers      = 4096
)

// callRecord is a call in the ledger.
type callRecord struct {
	Call
	state         callstate.State
	arrivedAt     time.Duration     // of the caller's first try: the latency objective runs from here
	expiresAt     time.Duration     // the caller gives up
	queueDeadline time.Duration     // the call is rejected if it was not sent by then
	notBefore     time.Duration     // end of the release wait
	attempts      int               // sent
	latest        *inflight.Attempt // of them
	server        *serverRecord     // where it is in flight or the call established
	failedAt      *serverRecord     // where the one before failed
	inDoubtAt     *serverRecord     // where a message of an earlier attempt may still be on its way
	mayHaveRun    bool              // an attempt may have been carried out
}

// accept enters a new call into the ledger, or rejects it at once.
func (c *Controller) accept(arrived Call) {
	if c.calls[arrived.ID] != nil {
		return
	}
	known := 0 <= arrived.Class && arrived.Class < len(c.settings.Classes)
	if !known || c.busyNumbers.Active(c.now, arrived.Key) {
		c.actions = append(c.actions, Reject{arrived.ID, c.busyNumbers.Remaining(c.now, arrived.Key)})
		return
	}
	call := &callRecord{Call: arrived, expiresAt: c.now + arrived.Timeout}
	c.calls[call.ID] = call
	c.queue = append(c.queue, call)
	c.setObjective(call)
	c.offeredLoad.Add(c.now, c.holdingTime)
	c.meanWeight.Add(c.weight(call), meanWeightWindow)
}

// setObjective sets from when the latency objective runs and how long the call may be queued. After a process
// stall it counts as older by what its Timeout falls short of the longest of its class.
func (c *Controller) setObjective(call *callRecord) {
	class, longest := &c.settings.Classes[call.Class], &c.maxTimeouts[call.Class]
	*longest = max(*longest, call.Timeout)
	call.arrivedAt = c.now - min(c.stalledFor, *longest-call.Timeout)
	if first, known := c.unansweredNumbers.Get(call.Key); known && c.now < first+class.Deadline {
		call.arrivedAt = first
	}
	call.queueDeadline = call.arrivedAt + time.Duration(queueFraction*float64(class.LatencyObjective))
	if c.late(call) {
		call.queueDeadline = c.now + time.Duration(queueFraction*float64(call.Timeout))
	}
}

// dispatchQueued sends, keeps or answers the queued calls, those of most weight first, then the oldest.
func (c *Controller) dispatchQueued() {
	slices.SortStableFunc(c.queue, func(a, b *callRecord) int {
		return cmp.Or(-cmp.Compare(c.weight(a), c.weight(b)), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	remaining := c.queue[:0]
	for _, call := range c.queue {
		if call.state != callstate.Ended && !c.dispatch(call) {
			remaining = append(remaining, call)
		}
	}
	clear(c.queue[len(remaining):])
	c.queue = remaining
}

// dispatch sends the call or gives its final answer, and returns false when it stays queued. A call above the
// mean weight goes back to the server that failed it only when it can wait no longer.
func (c *Controller) dispatch(call *callRecord) bool {
	if c.onlyInDoubt(call) {
		c.reject(call)
		return true
	}
	if c.now < call.notBefore && call.notBefore < call.expiresAt {
		return false
	}
	server, mayQueue := c.selectServer(call), c.mayQueue(call)
	switch {
	case server != nil && (server != call.failedAt || !c.aboveMeanWeight(call) || !mayQueue):
		c.send(call, server)
	case mayQueue:
		return false
	default:
		c.reject(call)
	}
	return true
}

// mayQueue reports whether the call may wait for a server.
// Departure: what no server may get now is queued, not rejected, while it could still meet its latency
// objective. Harms callers who would rather go elsewhere.
func (c *Controller) mayQueue(call *callRecord) bool {
	return c.now < min(call.expiresAt, call.queueDeadline) && call.attempts < maxAttempts && !call.Transit &&
		c.mayRepeat(call)
}

// onlyInDoubt reports whether the call is in doubt at the one server that may get it: waiting does not help
// it, and its caller's retry is a call of its own, which may go there.
func (c *Controller) onlyInDoubt(call *callRecord) bool {
	return call.inDoubtAt != nil &&
		!slices.ContainsFunc(c.servers, func(server *serverRecord) bool { return c.eligible(call, server) })
}

// mayAttempt reports whether the call may be sent now.
func (c *Controller) mayAttempt(call *callRecord) bool {
	allowed := min(maxAttempts, cmp.Or(c.settings.MaxAttempts, maxAttempts))
	return call.notBefore <= c.now && c.now < call.expiresAt && call.attempts < allowed && c.mayRepeat(call)
}

// mayRepeat is false once a set-up that must not be repeated may have been carried out.
func (c *Controller) mayRepeat(call *callRecord) bool {
	return !call.mayHaveRun || c.settings.Classes[call.Class].Idempotency == Idempotent
}

// weight is what the call earns if it is sent now.
func (c *Controller) weight(call *callRecord) float64 {
	class := &c.settings.Classes[call.Class]
	if c.late(call) {
		return class.PriorityWeight * class.LateFactor
	}
	return class.PriorityWeight
}

// aboveMeanWeight reports whether the call must not be spent on a server that fails.
func (c *Controller) aboveMeanWeight(call *callRecord) bool {
	return c.weight(call) > c.meanWeight.Value()
}

// late reports whether the call can no longer meet its latency objective.
func (c *Controller) late(call *callRecord) bool {
	return c.now >= call.arrivedAt+c.settings.Classes[call.Class].LatencyObjective
}

// send starts an attempt. Only queued calls get here, so no call has two attempts in flight.
func (c *Controller) send(call *callRecord, server *serverRecord) {
	call.state.Send()
	call.attempts++
	call.server, call.latest = server, server.inFlight.Send(c.now)
	server.pace.credit, server.pace.since = 0, c.now
	c.actions = append(c.actions, Send{Call: call.ID, Server: server.id, Timeout: c.attemptTimeout(server)})
}

// attemptTimeout is how long an attempt may take.
// Departure: as long as a failure counts for, not until the caller gives up, or the age of a lost attempt
// would keep its server denied for as long. Harms where a processor slows down at once by more than that.
func (c *Controller) attemptTimeout(server *serverRecord) time.Duration {
	shortest, known := server.delay.minDelay(c.now)
	if !known {
		return 0
	}
	return max(2*c.settings.RetransmitInterval, time.Duration(failureMultiple*gateMultiple*float64(shortest)))
}

// reject gives the final answer to a call that is not admitted.
func (c *Controller) reject(call *callRecord) {
	delete(c.calls, call.ID)
	c.recordUnanswered(call)
	after := c.retryAfter(call)
	var answer Action = Reject{call.ID, after}
	if c.now >= call.expiresAt || !c.mayRepeat(call) {
		answer = Fail{call.ID, after}
	}
	c.actions = append(c.actions, answer)
}

// recordUnanswered remembers that the number was not reached, since the caller's first try.
// Departure: the next call to it within the class's deadline is taken for the same caller's retry, and its
// objective runs from the first (paper, sections 3.3 and 5). Harms calls to a number that serves many.
func (c *Controller) recordUnanswered(call *callRecord) {
	if call.Key != 0 {
		expiresAt := call.arrivedAt + c.settings.Classes[call.Class].Deadline
		c.unansweredNumbers.Insert(call.Key, call.arrivedAt, expiresAt)
		c.unansweredNumbers.Expire(c.now)
	}
}

// recordBusy starts the backoff of a number whose lines were all busy.
// Departure: such a number is tried again only after a backoff, which doubles while it stays busy; calls to
// it are rejected meanwhile. Harms a number that was busy for a moment only.
func (c *Controller) recordBusy(call *callRecord) {
	if call.Key != 0 {
		deadline := c.settings.Classes[call.Class].Deadline
		c.busyNumbers.Fail(c.now, call.Key, time.Duration(busyBackoffFraction*float64(deadline)))
	}
}

// retryAfter estimates when a retry of the call is likely to succeed: when the number's backoff ends, the
// first eligible server reopens or, where none is, about when established calls have ended.
func (c *Controller) retryAfter(call *callRecord) time.Duration {
	if c.busyNumbers.Active(c.now, call.Key) {
		return c.busyNumbers.Remaining(c.now, call.Key)
	}
	soonest := cmp.Or(c.holdingTime, c.settings.Classes[call.Class].Deadline)
	for _, server := range c.servers {
		if c.mayServe(call, server) {
			soonest = min(soonest, c.reopensIn(server))
		}
	}
	return soonest
}

// attempted returns the call whose current attempt this is, or nil for a stale or unknown one.
func (c *Controller) attempted(id CallID, number int) *callRecord {
	call := c.calls[id]
	if call == nil || call.server == nil || number != call.attempts-1 {
		return nil
	}
	return call
}

func (c *Controller) answered(event Answered) {
	call := c.attempted(event.Call, event.Attempt)
	if call == nil || !call.state.AwaitsAnswer() {
		return
	}
	call.state.Answer()
	c.unansweredNumbers.Delete(call.Key)
	call.server.inFlight.Answer(call.latest)
	call.server.faultRate.Add(false, faultRateGain)
	if c.stalledFor == 0 {
		call.server.complete(c.now, event.Took)
	}
}

// outcome ends an attempt and, unless the call has ended with it, queues the call again.
func (c *Controller) outcome(event Outcome) {
	if event.Report != nil {
		c.report(*event.Report)
	}
	call := c.attempted(event.Call, event.Attempt)
	if call == nil {
		return
	}
	if call.state.AwaitsAnswer() {
		c.recordOutcome(call, event)
	}
	if event.Closed || call.state.Abandoned() {
		delete(c.calls, call.ID)
		return
	}
	call.mayHaveRun = call.mayHaveRun || !event.Status.NeverRan()
	switch event.Status {
	case TimedOut, Reset, Cancelled: // a tick more keeps the release wait to the nanosecond
		call.notBefore = c.now + c.settings.ReleaseWait + c.settings.Tick
	case Error:
		if event.Cause == LinesBusy { // at every server
			call.attempts = maxAttempts
			c.recordBusy(call)
		}
	}
	if event.Cause != NoAgent { // an agent may come free there before the caller gives up
		call.failedAt = call.server
	}
	if event.InDoubt {
		call.inDoubtAt = call.server
	}
	call.state.Enqueue()
	call.server = nil
	c.queue = append(c.queue, call)
}

// recordOutcome records what the end of an unanswered attempt says of its server: nothing if the caller left,
// it was never sent, or it was overtaken, as its answer was lost.
func (c *Controller) recordOutcome(call *callRecord, event Outcome) {
	server := call.server
	linesBusy := event.Status == Error && event.Cause == LinesBusy
	server.inFlight.Remove(call.latest)
	server.faultRate.Add(event.Status == Error && !linesBusy, faultRateGain)
	switch {
	case event.Status == Ended || linesBusy:
		if c.stalledFor == 0 {
			server.complete(c.now, event.Took)
		}
	case event.Status == Cancelled && call.state.Abandoned(), event.Status == NotSent:
	case event.Status == Full && event.Cause == NoAgent:
		// Departure: says nothing of the processor, so no failure for R, but a pace of one attempt an
		// interval until spare agents are reported. Harms where many agents come free at once.
		server.freeAgents, server.shortage = 0, true
	case event.Status == Error:
		server.fault(c.now, event.Took)
	case (event.Status == TimedOut || event.Status == Reset) && server.inFlight.Overtaken(call.latest):
	case event.Status == Reset &&
		(server.circuit != circuit.Tripped || call.latest.SentAt < server.pace.reducedAt):
		server.circuit.Trip() // one attempt at a time tries the next connection
		server.pace.reducedAt = c.now
	default: // no answer: a completion time well over the gate
		server.fail(c.now, max(event.Took, event.RetryAfter), failureMultiple)
		server.pace.reduce(c.now, minRateFactor)
	}
}

// callerGone abandons a call. Unless it was established its number counts as unanswered.
func (c *Controller) callerGone(id CallID) {
	call := c.calls[id]
	if call == nil {
		return
	}
	call.state.CallerGone()
	if call.state != callstate.Releasing {
		c.recordUnanswered(call)
	}
	if call.state == callstate.Ended {
		delete(c.calls, id)
	}
}
