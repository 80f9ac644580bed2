package dispatch

import (
	"context"

	"eidertrail/internal/telemetry"
)

// tableCallState is where a call of the table is between its set-up and its end.
type tableCallState int

const (
	tableCallPending     tableCallState = iota // it is owed a final answer
	tableCallAbandoned                         // its caller has left or cancelled it: it is owed none
	tableCallEstablished                       // its caller got the answer, and it has not ended
)

// String returns the state's name.
func (s tableCallState) String() string {
	switch s {
	case tableCallPending:
		return "pending"
	case tableCallAbandoned:
		return "abandoned"
	case tableCallEstablished:
		return "established"
	default:
		return "unknown"
	}
}

// tableCall is a call of the table, from its set-up to its end.
type tableCall struct {
	table    *CallTable
	conn     *connection // which set it up
	id       string
	cancel   context.CancelCauseFunc
	state    tableCallState // the table's mutex guards it
	released chan int       // the caller's release of an established call, holds one
}

// abandon notes that the caller has left before the call was established. A call that was aborted before must not get a
// final answer after its caller's cancel, and its context shows the first cause alone: hence the state. The caller
// holds the table's mutex.
func (c *tableCall) abandon() {
	c.state = tableCallAbandoned
	c.cancel(errCallerLeft)
}

// release passes the caller's release of an established call on; only the first one counts.
func (c *tableCall) release(cause int) {
	select {
	case c.released <- cause:
	default:
	}
}

// run takes an admitted call to its end: it is served, gets its one final answer and, where that established it, is
// waited for.
func (c *tableCall) run(ctx context.Context, r Request, s Setup) {
	table, counters := c.table, c.table.counters
	defer table.running.Done()
	defer c.cancel(nil)
	startedAt := table.dispatcher.Now()
	final := Serve(ctx, table.dispatcher, table.inviter, r, s)
	setupTime := table.dispatcher.Now() - startedAt

	delivered := c.deliverFinal(final)
	if delivered {
		counters.AddOutcome(r.Class, final.Kind.outcome())
	}
	c.logFinal(final, delivered)
	switch {
	case !delivered:
		counters.Add(telemetry.CancelledCalls)
		if final.Kind == FinalEstablished { // an answer that nobody waits for holds an agent for nobody
			final.Call.End(CauseNormal)
		}
	case final.Kind.rejects():
		counters.Add(telemetry.RejectedCalls)
	case final.Kind == FinalEstablished:
		counters.RecordEstablished(setupTime, setupTime <= table.latencyObjective(r.Class).Microseconds())
		c.awaitEnd(final.Call)
	default:
		counters.Add(telemetry.FailedCalls)
	}
}

// logFinal logs why a set-up was not answered.
func (c *tableCall) logFinal(final Final, delivered bool) {
	if final.Kind == FinalEstablished && delivered {
		return
	}
	c.table.log.Info().Str("call", c.id).Stringer("final", final.Kind).Bool("delivered", delivered).
		Bool("may_have_run", final.Kind == FinalMayHaveRun).Msg("set-up not answered")
}

// deliverFinal passes the final answer on, unless the caller has left, and reports whether it did. From here on a
// cancel is too late, or the final answer is: both are decided under the same lock.
func (c *tableCall) deliverFinal(final Final) bool {
	table := c.table
	table.mu.Lock()
	defer table.mu.Unlock()
	table.calls.settle()
	table.connections.settle(c.conn)
	delivered := final.Kind != FinalCallerGone && c.state != tableCallAbandoned
	if delivered && !c.conn.Final(c.id, final) {
		table.counters.Add(telemetry.AnswersUnwritten)
		delivered = false
	}
	if delivered && final.Kind == FinalEstablished {
		c.state = tableCallEstablished
		c.conn.established++
		table.verify(c.conn)
	} else {
		table.calls.remove(c.id)
	}
	if final.Errored {
		c.conn.errors++
		table.ends.deliverPending() // copies on this connection count for less now
	}
	return delivered
}

// awaitEnd waits for the end of the established call and has it delivered where the caller does not know of it. Under
// one lock the call is counted on its connection no longer and its end is delivered there: in between, the connection
// would count as unused and could be closed.
func (c *tableCall) awaitEnd(established *EstablishedCall) {
	table := c.table
	// The call's own context may be done: AbortPending crossed the answer. The call is established all the same.
	cause, byPool := established.WaitEnd(table.closed, c.released)
	end := callEnd{id: c.id, cause: cause, endedAt: table.dispatcher.Now()}
	table.mu.Lock()
	defer table.mu.Unlock()
	c.conn.established--
	table.calls.remove(c.id)
	if byPool || table.notifyAllEnds && table.closed.Err() == nil {
		table.ends.deliver(c.conn, end)
	}
}
