package sippool

import (
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

const (
	// minTimeoutSilence is for how long nothing must have been received since an INVITE that times out for the connection
	// to be at fault.
	minTimeoutSilence = minUnresponsiveTimeout / 2
	// partialMessageFault is how long ago the message that is being received must have begun for it to have stopped short
	// when an INVITE times out.
	partialMessageFault = 100 * time.Millisecond
)

// giveUp ends a transaction that timed out or whose caller has left, and returns the attempt's result.
func (t *inviteTransaction) giveUp(outcome dispatch.Outcome) (dispatch.Leg, dispatch.Ending) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	switch t.state {
	case stateTerminated: // the result was there first
		return (<-t.result).values()
	case stateQueued:
		t.withdraw()
		return nil, t.pool.set.endingNow(dispatch.NotSent)
	}
	outcome = t.cancel(outcome)
	return nil, t.endingInDoubt(t.pool.set.now(), outcome)
}

// withdraw is the step from Queued to Terminated: the INVITE has not been written, and enterCalling prevents that it
// is. The caller holds pool.mu.
func (t *inviteTransaction) withdraw() {
	t.terminate()
	delete(t.connection.transactions, t.dialog.callID)
}

// cancel is the step from Calling or Proceeding to Cancelling. It returns the attempt's outcome: the reason, or what is
// known of the connection besides. The caller holds pool.mu.
//
// RFC 3261, section 9.1, has a CANCEL wait for a provisional response. Here it is sent at once: on the same connection
// it cannot overtake its INVITE.
func (t *inviteTransaction) cancel(reason dispatch.Outcome) dispatch.Outcome {
	t.state, t.cancelledAt = stateCancelling, t.pool.set.now()
	t.pool.count(telemetry.Cancels)
	if reason != dispatch.TimedOut {
		t.sendCancel()
		return reason
	}
	t.pool.count(telemetry.TimeOuts)
	return t.cancelTimedOut()
}

// cancelTimedOut cancels a transaction that timed out, and returns the attempt's outcome. On a connection that is at
// fault every other message is lost too, a CANCEL included: there it releases the call on the next connection, whatever
// the pool has made of it. The caller holds pool.mu.
func (t *inviteTransaction) cancelTimedOut() dispatch.Outcome {
	switch t.connectionFault() {
	case faultSilent:
		t.sendRelease()
		t.connection.closeUnresponsive(t.sentAt)
		return dispatch.TimedOut // the pool itself may hang
	case faultSilentEstablished:
		t.connection.unconfirmedSince = t.sentAt
		t.noteInDoubt() // the watcher gives the connection up as soon as another one is open
		t.sendCancel()
		t.sendRelease()
		return dispatch.TimedOut
	case faultPartialMessage:
		t.sendRelease()
		t.connection.closeUnresponsive(t.sentAt)
		// The connection has failed, not the pool, and a time-out would hold back a pool with free agents.
		return dispatch.Reset
	}
	t.sendCancel()
	return dispatch.TimedOut
}

// connectionFault is what is wrong with a connection on which an INVITE has timed out.
type connectionFault int

const (
	// faultNone: one response is lost, or late.
	faultNone connectionFault = iota
	// faultSilent: nothing at all has been received since the INVITE was written.
	faultSilent
	// faultSilentEstablished is faultSilent where calls are established: they would be lost if the connection were closed
	// before another one is open, which is the watcher's step.
	faultSilentEstablished
	// faultPartialMessage: a message has stopped short.
	faultPartialMessage
)

func (f connectionFault) String() string {
	switch f {
	case faultNone:
		return "none"
	case faultSilent:
		return "silent"
	case faultSilentEstablished:
		return "silent with established calls"
	case faultPartialMessage:
		return "partial message"
	}
	return "unknown"
}

// connectionFault returns the fault of the connection of a transaction that has timed out. The caller holds pool.mu.
func (t *inviteTransaction) connectionFault() connectionFault {
	c := t.connection
	silent := c.lastReceived.Load() < t.sentAt && elapsed(t.sentAt, t.cancelledAt) >= minTimeoutSilence
	partialSince := c.partialSince.Load()
	switch {
	case silent && partialSince == 0 && len(c.pool.established) > 0:
		return faultSilentEstablished
	case silent:
		return faultSilent
	case partialSince > 0 && elapsed(partialSince, t.cancelledAt) >= partialMessageFault:
		return faultPartialMessage
	}
	return faultNone
}

// noteInDoubt notes that the pool may still receive the INVITE. The caller holds pool.mu.
func (t *inviteTransaction) noteInDoubt() {
	set, c := t.pool.set, t.connection
	set.inDoubt.add(set.now(), t.dialog.callID, c.inDoubtPlace(t.dialog.retriedUntil))
}

// sendCancel sends a CANCEL. The caller holds pool.mu.
func (t *inviteTransaction) sendCancel() {
	t.connection.enqueue(outboundMessage{
		bytes:  cancelRequest(t.pool.set.cfg.Name, t.dialog.callID, t.dialog.number),
		method: methodCancel,
		callID: t.dialog.callID,
		until:  t.dialog.retriedUntil,
	})
}

// sendRelease sends a BYE for a call that the pool may have set up. The caller holds pool.mu.
func (t *inviteTransaction) sendRelease() {
	t.pool.sendRelease(t.dialog.releaseMessage(dispatch.CauseNormal))
}
