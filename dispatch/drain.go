package dispatch

import (
	"context"
	"time"
)

// drainPollInterval is how often Drain looks whether all set-ups have their final answers.
const drainPollInterval = 2 * time.Millisecond

// AbortPending gives every set-up that has no final answer yet one at once: an attempt in flight is called off, and the
// set-up is rejected, or failed where it may have been carried out and must not be repeated. So is any that comes in
// later, with no attempt: otherwise a set-up on a connection that still waits for the answer to another is taken and
// never answered.
func (t *CallTable) AbortPending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	for _, call := range t.calls.byID {
		if call.state != tableCallEstablished {
			call.cancel(errAborted)
		}
	}
}

// PendingSetups is the number of set-ups that are owed a final answer.
func (t *CallTable) PendingSetups() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.unsettled
}

// EstablishedCalls is the number of established calls.
func (t *CallTable) EstablishedCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.established()
}

// Idle reports whether the table has no connection, no call and no end to deliver.
func (t *CallTable) Idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections.count() == 0 && t.calls.count() == 0 && t.ends.pending.count() == 0
}

// PendingEnds is the number of ends of calls that no caller has got yet.
func (t *CallTable) PendingEnds() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ends.pending.count()
}

// Drain returns when every set-up has its final answer, or when ctx is done.
func (t *CallTable) Drain(ctx context.Context) {
	for t.PendingSetups() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// Close abandons the open set-ups, forgets the established calls and ends every goroutine of the table. An established
// call goes on at its endpoint, which reports its end to whoever connects next.
func (t *CallTable) Close() {
	t.mu.Lock()
	t.close()
	for _, call := range t.calls.byID {
		if call.state != tableCallEstablished {
			call.abandon()
		}
	}
	t.ends.stop()
	t.mu.Unlock()
	t.running.Wait()
}
