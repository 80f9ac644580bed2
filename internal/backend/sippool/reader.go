package sippool

import (
	"bufio"
	"errors"
	"os"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
	"eidertrail/internal/panicguard"
	"eidertrail/internal/telemetry"
)

const (
	readBufferSize = 4096
	// partialMessageTimeout is how long the rest of a message may take once it has begun.
	partialMessageTimeout = 300 * time.Millisecond
)

// readLoop receives messages until the connection is closed or nothing that follows can be trusted.
func (c *connection) readLoop() error {
	reader := bufio.NewReaderSize(c.transport, readBufferSize)
	for {
		message, err := c.readMessage(reader)
		if err == nil {
			err = c.receive(message)
		}
		if isProtocolError(err) {
			c.pool.count(telemetry.BadSIP)
			c.pool.set.cfg.Log.Warn().Str("pool", c.pool.uid).Err(err).Msg("bad SIP message")
		}
		if err != nil {
			return err
		}
	}
}

// isProtocolError reports whether an error is an invalid or incomplete message, and not the end of the connection.
func isProtocolError(err error) bool {
	return errors.Is(err, sip.ErrMalformed) || errors.Is(err, sip.ErrFraming) || errors.Is(err, os.ErrDeadlineExceeded)
}

// readMessage reads a message. One that has begun must be complete within partialMessageTimeout: after one that stops
// short nothing that follows can be read, so that INVITEs would be sent in vain and releases never received.
func (c *connection) readMessage(reader *bufio.Reader) (*sip.Message, error) {
	if reader.Buffered() == 0 {
		if err := c.transport.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		if _, err := reader.Peek(1); err != nil {
			return nil, err
		}
	}
	if err := c.transport.SetReadDeadline(time.Now().Add(partialMessageTimeout)); err != nil {
		return nil, err
	}
	c.partialSince.Store(c.pool.set.now())
	defer c.partialSince.Store(0)
	return c.parseMessage(reader)
}

// parseMessage parses what a pool sends. A panic ends the connection, as a malformed message does.
func (c *connection) parseMessage(reader *bufio.Reader) (message *sip.Message, err error) {
	contained := panicguard.Run(func() { message, err = sip.Read(reader) })
	if contained == nil {
		return message, err
	}
	c.pool.set.cfg.Log.Error().EmbedObject(contained).Str("pool", c.pool.uid).Msg("panic, its connection is closed")
	return nil, contained
}

// receive takes a message. After an error nothing that follows it can be trusted.
func (c *connection) receive(message *sip.Message) error {
	now := c.pool.set.now()
	c.recordReceived(now)
	c.pool.trace("in", message)
	c.pool.reportCapacity(message)
	switch {
	case message.Status > 0 && message.CSeqMethod == methodInvite:
		return c.receiveInviteResponse(now, message)
	case message.Status > 0:
		c.receiveOtherResponse(message)
	case message.Method == methodNotify:
		c.receiveNotify(now, message)
	case message.Method == methodBye:
		c.receiveBye(now, message)
	case message.Method == methodOptions:
		c.respond(message, statusOK, "OK")
	case message.Method == methodAck: // has no response
	default:
		c.receiveUnknown(message)
	}
	return nil
}

// respond sends a response to a request of the pool.
func (c *connection) respond(request *sip.Message, status int, reason string) {
	c.send(sip.NewResponse(request, status, reason).Append(nil))
}

// receiveOtherResponse takes a response to a BYE or CANCEL: the pool has received the release.
func (c *connection) receiveOtherResponse(m *sip.Message) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	delete(c.unacknowledged, m.CallID)
	c.delivered.responded(m.CallID, m.CSeqMethod)
}

// receiveNotify takes a load report.
func (c *connection) receiveNotify(now int64, m *sip.Message) {
	set := c.pool.set
	set.count(telemetry.Notifies)
	if c.lastReportAt > 0 {
		c.pool.reports.observeInterval(now - c.lastReportAt)
	}
	c.lastReportAt = now
	if report, found := set.loadReport(m); found && set.cfg.OnLoadReport != nil {
		set.cfg.OnLoadReport(c.pool.uid, report)
	}
}

// receiveBye takes the pool's release of a call.
func (c *connection) receiveBye(now int64, m *sip.Message) {
	p := c.pool
	p.count(telemetry.ByesIn)
	c.respond(m, statusOK, "OK")
	report, _ := p.set.loadReport(m)
	p.mu.Lock()
	call := p.established[m.CallID]
	p.mu.Unlock()
	cause := m.Cause()
	if call == nil {
		p.set.receiveUnmatchedRelease(m.CallID, cause)
		return
	}
	outcome := dispatch.Ended
	if cause == dispatch.CauseCut {
		outcome = dispatch.Reset
	} else if cause < 0 {
		cause = dispatch.CauseNormal
	}
	call.terminate(dispatch.Ending{Outcome: outcome, At: now, Load: report, Cause: cause})
}

// receiveUnmatchedRelease takes a pool's release of a call that is not established here: the process before a restart
// may have set it up. That of a call that has ended recently is ignored.
func (s *Pools) receiveUnmatchedRelease(callID string, cause int) {
	if callID == "" || s.ended.contains(callID) {
		return
	}
	s.count(telemetry.UnmatchedByes)
	s.ended.add(callID)
	if s.cfg.OnUnmatchedRelease != nil {
		s.cfg.OnUnmatchedRelease(callID, max(cause, dispatch.CauseNormal))
	}
}

// receiveUnknown rejects a request with a method that pools do not use.
func (c *connection) receiveUnknown(m *sip.Message) {
	c.pool.count(telemetry.BadSIP)
	c.pool.set.cfg.Log.Warn().Str("pool", c.pool.uid).Str("method", m.Method).Msg("SIP method not known")
	c.respond(m, statusNotImplemented, "Not Implemented")
}
