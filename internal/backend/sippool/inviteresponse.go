package sippool

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
	"eidertrail/internal/telemetry"
)

// noteHeader says in a failure response what the pool lacks.
const noteHeader = "x-note"

// Values of noteHeader.
const (
	noteProcessorFull = "swamped"
	noteLinesBusy     = "occupied"
)

// deleteCharacter is the one control character above the space.
const deleteCharacter = 0x7f

// receiveInviteResponse takes a response to an INVITE. After an error nothing that follows it can be trusted.
func (c *connection) receiveInviteResponse(now int64, response *sip.Message) error {
	if response.Status < statusOK {
		c.receiveInviteProvisional(response)
		return nil
	}
	p := c.pool
	report, _ := p.set.loadReport(response)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := c.transactions[response.CallID]
	c.delivered.responded(response.CallID, methodInvite) // a malformed one proves as much
	if t != nil && malformedInviteResponse(response) {
		return fmt.Errorf("%w: an answer of %d bytes that no pool makes", sip.ErrMalformed, len(response.Body))
	}
	c.send(ackRequest(p.set.cfg.Name, response.CallID, requestUser(t)))
	if response.Status >= statusMultipleChoices {
		c.receiveInviteFailure(now, t, response, report)
	} else {
		c.receiveInviteSuccess(now, t, response, report)
	}
	return nil
}

// receiveInviteProvisional takes a 1xx response to an INVITE.
func (c *connection) receiveInviteProvisional(m *sip.Message) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.delivered.responded(m.CallID, methodInvite)
	if t := c.transactions[m.CallID]; t != nil {
		t.receiveProvisional()
	}
}

// receiveInviteFailure takes a 3xx to 6xx response to the INVITE of t, nil: one that is not pending. The caller holds
// pool.mu.
func (c *connection) receiveInviteFailure(now int64, t *inviteTransaction, m *sip.Message, report dispatch.LoadReport) {
	if t == nil {
		return
	}
	delete(c.transactions, m.CallID)
	t.receiveFailure(now, m, report)
}

// receiveInviteSuccess takes a 2xx response to the INVITE of t, nil: one that is not pending. The caller holds pool.mu.
func (c *connection) receiveInviteSuccess(now int64, t *inviteTransaction, m *sip.Message, report dispatch.LoadReport) {
	p := c.pool
	switch {
	case t != nil && t.state.pending():
		delete(c.transactions, m.CallID)
		t.receiveSuccess(now, m, report)
	case p.established[m.CallID] != nil: // a retransmission, which is acknowledged and no more
	default:
		c.releaseLateAnswer(t, m)
	}
}

// releaseLateAnswer releases a call whose 2xx response crossed the CANCEL of t, nil: of an INVITE that is not pending.
// Without a release an agent would be reserved for nobody. The caller holds pool.mu.
func (c *connection) releaseLateAnswer(t *inviteTransaction, m *sip.Message) {
	delete(c.transactions, m.CallID)
	if t != nil {
		t.receiveAfterCancel()
	}
	c.pool.count(telemetry.LateAnswers)
	c.pool.count(telemetry.ByesOut)
	release := outboundMessage{
		bytes:  byeRequest(c.pool.set.cfg.Name, m.CallID, requestUser(t), dispatch.CauseNormal),
		method: methodBye,
		callID: m.CallID,
	}
	if t != nil {
		release.until = t.dialog.retriedUntil
	}
	c.enqueue(release)
}

// requestUser returns the user part of the request URI for the INVITE of t, nil: one that is not pending.
func requestUser(t *inviteTransaction) string {
	if t == nil {
		return unknownUser
	}
	return t.dialog.number
}

// malformedInviteResponse reports whether a final response to an INVITE is not one that a pool makes: a failure with a
// body, or an answer whose description is empty, cut off or noise, or has taken in what followed it.
func malformedInviteResponse(m *sip.Message) bool {
	if m.Status >= statusMultipleChoices {
		return len(m.Body) > 0
	}
	text := string(m.Body)
	if text == "" || !utf8.ValidString(text) || !strings.HasSuffix(text, "\n") || strings.Contains(text, "SIP/2.0") {
		return true
	}
	return strings.ContainsFunc(text, isForbiddenControl)
}

// isForbiddenControl reports whether a character is a control character that no session description has.
func isForbiddenControl(r rune) bool {
	switch r {
	case '\r', '\n', '\t':
		return false
	}
	return r < ' ' || r == deleteCharacter
}

// failureEnding returns the ending of an attempt for its final response, which is not a 2xx.
func (s *Pools) failureEnding(now int64, m *sip.Message, report dispatch.LoadReport) dispatch.Ending {
	outcome, counter := classifyFailure(m.Status, m.Get(noteHeader))
	s.count(counter)
	return dispatch.Ending{Outcome: outcome, At: now, Load: report}
}

// classifyFailure returns the outcome of an attempt for a status code and note, and the counter that counts it.
func classifyFailure(status int, note string) (dispatch.Outcome, telemetry.Counter) {
	outcome, counter := dispatch.Errored, telemetry.PoolErrors
	switch status {
	case statusServiceUnavailable:
		outcome, counter = dispatch.NoAgent, telemetry.PoolFull
		if note == noteProcessorFull {
			outcome = dispatch.ProcessorFull
		}
	case statusTemporarilyUnavailable:
		outcome = dispatch.NotSent
	case statusServerTimeout:
		outcome, counter = dispatch.Reset, telemetry.Resets
	case statusRequestTerminated:
		outcome = dispatch.Cancelled
	}
	if note == noteLinesBusy {
		outcome = dispatch.LinesBusy
	}
	return outcome, counter
}
