package sippool

import (
	"context"
	"fmt"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
	"eidertrail/internal/telemetry"
)

// transactionState is the state of an INVITE client transaction (RFC 3261, section 17.1.1, figure 5).
type transactionState int

const (
	// stateQueued comes before the figure's states: the INVITE waits in the connection's write queue.
	stateQueued transactionState = iota
	// stateCalling: the INVITE has been written, nothing has been received for it. TCP is reliable: timer A, which
	// retransmits, does not run.
	stateCalling
	// stateProceeding: a provisional response has been received.
	stateProceeding
	// stateCancelling: a CANCEL has been sent, or the connection given up (section 9.1). A final response may still
	// cross it.
	stateCancelling
	// stateTerminated: a final response has been received and acknowledged, or there will be none. Over TCP timer D is
	// zero: the figure's Completed state has no duration and is not one of these.
	stateTerminated
)

func (s transactionState) String() string {
	switch s {
	case stateQueued:
		return "queued"
	case stateCalling:
		return "calling"
	case stateProceeding:
		return "proceeding"
	case stateCancelling:
		return "cancelling"
	case stateTerminated:
		return "terminated"
	}
	return fmt.Sprintf("transactionState(%d)", int(s))
}

// pending reports whether the INVITE is at the pool and its final response decides the attempt.
func (s transactionState) pending() bool { return s == stateCalling || s == stateProceeding }

// cancelTimeout is how long a cancelled transaction waits for its final response before it is forgotten: 64*T1 (RFC
// 3261, section 9.1).
const cancelTimeout = 32 * time.Second

// inviteTransaction is the INVITE client transaction of one attempt. Its methods are the steps between the states. They
// are called with pool.mu held, except await, giveUp and enterCalling, which take it themselves.
type inviteTransaction struct {
	pool       *pool
	dialog     *dialog // the dialog that the INVITE sets up
	connection *connection
	callerLeft <-chan struct{} // closed by the dispatcher once the caller has left
	deadline   int64           // the attempt times out then
	sendBy     int64           // the INVITE must not be written later, 0: at any time
	repeated   bool            // the call has had an attempt before

	// Under pool.mu.

	state       transactionState
	sentAt      int64 // when the INVITE was written, 0: it was not
	cancelledAt int64

	// result takes the one result of a transaction that ends before it is cancelled. It is never closed.
	result chan transactionResult
}

// transactionResult is what an attempt came to. The dialog is nil unless the call was answered.
type transactionResult struct {
	dialog *dialog
	ending dispatch.Ending
}

// values returns the result as dispatch.Inviter wants it: without a dialog the interface is nil.
func (r transactionResult) values() (dispatch.Leg, dispatch.Ending) {
	if r.dialog == nil {
		return nil, r.ending
	}
	return r.dialog, r.ending
}

func newInviteTransaction(ctx context.Context, c *connection, attempt dispatch.Attempt) *inviteTransaction {
	return &inviteTransaction{
		pool: c.pool,
		dialog: &dialog{
			pool: c.pool, callID: attempt.ID, number: attempt.Setup.Number, retriedUntil: attempt.RetriedUntil,
		},
		connection: c,
		callerLeft: ctx.Done(),
		deadline:   attempt.Deadline,
		sendBy:     attempt.SendBy,
		repeated:   attempt.Number > 0,
		result:     make(chan transactionResult, 1),
	}
}

// await returns the transaction's result. It cancels the transaction at the deadline or when the caller leaves.
func (t *inviteTransaction) await(ctx context.Context, deadline <-chan time.Time) (dispatch.Leg, dispatch.Ending) {
	select {
	case result := <-t.result:
		return result.values()
	case <-deadline:
		return t.giveUp(dispatch.TimedOut)
	case <-ctx.Done():
		return t.giveUp(dispatch.Cancelled)
	}
}

// enterCalling is the step from Queued to Calling, just before the INVITE is written. It reports whether the INVITE
// may be written: this is the last place to stop one whose pool began to drain, or whose attempt ended, since it was
// queued.
func (t *inviteTransaction) enterCalling() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.state != stateQueued {
		t.pool.count(telemetry.InvitesCalledOff)
		return false
	}
	now := t.pool.set.now()
	if reason, denied := t.sendDenied(now); denied {
		t.pool.count(reason)
		t.fail(t.pool.set.endingNow(dispatch.NotSent))
		delete(t.connection.transactions, t.dialog.callID)
		return false
	}
	t.state, t.sentAt = stateCalling, now
	t.connection.writingInvite.Store(true)
	t.connection.delivered.wrote(now, t.dialog.callID, methodInvite, t.dialog.retriedUntil)
	// A release of the previous attempt that the pool has not responded to must not be sent on the next connection: it has
	// the same Call-ID and would end the call that this INVITE sets up. What was written before it is received before it.
	delete(t.connection.unacknowledged, t.dialog.callID)
	t.pool.count(telemetry.Invites)
	return true
}

// sendDenied reports whether the INVITE must not be written any longer, and the counter of the reason.
func (t *inviteTransaction) sendDenied(now int64) (reason telemetry.Counter, denied bool) {
	switch {
	case !t.pool.eligible():
		return telemetry.GuardDrain, true
	// A message of an earlier attempt would end, cancel or repeat this one.
	case t.repeated && t.connection.isInDoubt(t.dialog.callID):
		return telemetry.InDoubtStopped, true
	// The goroutine that cancels the transaction may not have run yet.
	case t.callerHasLeft() || now >= t.deadline:
		return telemetry.InvitesCalledOff, true
	// A process that stalled between the decision and the write would spend a quota that is another controller's by now.
	case t.sendBy > 0 && now > t.sendBy:
		return telemetry.StaleStopped, true
	}
	return reason, false
}

func (t *inviteTransaction) callerHasLeft() bool {
	select {
	case <-t.callerLeft:
		return true
	default:
		return false
	}
}

// receiveProvisional is the step from Calling to Proceeding, on a 1xx response.
func (t *inviteTransaction) receiveProvisional() {
	if t.state == stateCalling {
		t.state = stateProceeding
	}
}

// receiveSuccess is the step from Calling or Proceeding to Terminated on a 2xx response, which confirms the dialog.
func (t *inviteTransaction) receiveSuccess(now int64, m *sip.Message, report dispatch.LoadReport) {
	t.state = stateTerminated
	t.dialog.confirm(now, string(m.Body))
	ending := dispatch.Ending{Outcome: dispatch.Answered, At: now, Load: report}
	t.result <- transactionResult{dialog: t.dialog, ending: ending}
}

// receiveFailure is the step to Terminated on a 3xx to 6xx response.
func (t *inviteTransaction) receiveFailure(now int64, m *sip.Message, report dispatch.LoadReport) {
	if !t.state.pending() {
		t.receiveAfterCancel()
		return
	}
	t.fail(t.pool.set.failureEnding(now, m, report))
}

// receiveAfterCancel is the step from Cancelling to Terminated, on a final response that crossed the CANCEL or that it
// caused: the attempt has its result already.
func (t *inviteTransaction) receiveAfterCancel() {
	if t.state == stateCancelling {
		t.terminate()
	}
}

// connectionEnded is the step to Terminated where the connection has ended and there will be no response.
func (t *inviteTransaction) connectionEnded(now int64) {
	switch {
	case t.state == stateQueued:
		t.fail(endingAt(now, dispatch.NotSent))
	case t.state.pending():
		t.pool.count(telemetry.Resets)
		// The pool may have set the call up, and its response may be what was malformed: nobody would use the call.
		t.sendRelease()
		t.fail(t.endingInDoubt(now, dispatch.Reset))
	case t.state == stateCancelling:
		t.terminate()
	}
}

// endingInDoubt is the ending of an attempt whose INVITE has been written, with whether the pool may still receive
// that, or what was sent after it. While the connection lingers that is not known yet: a further attempt waits for it.
func (t *inviteTransaction) endingInDoubt(now int64, outcome dispatch.Outcome) dispatch.Ending {
	ending := endingAt(now, outcome)
	ending.InDoubt = t.connection.lingering == nil && t.connection.isInDoubt(t.dialog.callID)
	return ending
}

// fail ends a transaction without a dialog.
func (t *inviteTransaction) fail(ending dispatch.Ending) {
	t.terminate()
	t.result <- transactionResult{ending: ending}
}

// terminate ends the transaction and its early dialog.
func (t *inviteTransaction) terminate() {
	t.state = stateTerminated
	t.dialog.abandon()
}
