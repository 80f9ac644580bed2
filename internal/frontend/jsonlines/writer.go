package jsonlines

import (
	"time"

	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
)

const (
	// writeQueue is how many lines may wait for a connection; a caller that reads too slowly for it loses the connection.
	writeQueue   = 256
	writeTimeout = 2 * time.Second
)

// lineKind is what a queued line means to a call, and so what is to be done when it cannot be written.
type lineKind int

const (
	lineReply   lineKind = iota // a line that is lost with its connection
	lineAnswer                  // the answer of a call: if it is lost the call is released
	lineCallEnd                 // the end of a call: if it is lost another connection gets it
	lineClose                   // nothing to write: the connection is closed when it is reached
)

// String implements fmt.Stringer.
func (k lineKind) String() string {
	switch k {
	case lineAnswer:
		return "answer"
	case lineCallEnd:
		return "call end"
	case lineClose:
		return "close"
	}
	return "reply"
}

// queuedLine is a line to be written.
type queuedLine struct {
	kind   lineKind
	bytes  []byte
	callID string      // of an answer or a call's end
	cause  int         // of a call's end
	reason closeReason // of a close
}

// send queues a line and never blocks: a caller that does not read for so long loses the connection. It reports whether
// the line was queued.
func (c *conn) send(line queuedLine) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	c.unwritten.Add(1)
	select {
	case c.queue <- &line:
		return true
	default:
		c.server.cfg.Counters.Add(telemetry.SlowReaders)
		c.close(closeSlowReader)
		return false
	}
}

// sendRelease queues the final answer of a set-up that was rejected or has failed.
func (c *conn) sendRelease(id string, cause int) bool {
	return c.send(queuedLine{bytes: linecodec.AppendCause(nil, linecodec.TypeRelease, id, cause)})
}

// writeLoop is the writing goroutine.
func (c *conn) writeLoop() {
	defer c.server.goroutines.Done()
	defer c.teardown()
	if c.contain(c.writeLines) {
		c.close(closeInternalError)
	}
}

// writeLines writes lines until the connection ends.
func (c *conn) writeLines() {
	for {
		select {
		case <-c.closed:
			return
		case line := <-c.queue:
			if !c.writeLine(line) {
				return
			}
		}
	}
}

// writeLine writes a line, and reports whether the connection goes on.
func (c *conn) writeLine(line *queuedLine) bool {
	if line.kind == lineClose {
		c.close(line.reason)
		return false
	}
	err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = c.raw.Write(line.bytes)
	}
	c.trace("out", line.bytes, err)
	if err != nil {
		c.close(closeWriteFailed)
		c.reportUnwritten(line)
		return false
	}
	c.unwritten.Add(-1)
	c.closeIfDrained()
	return true
}

// teardown removes the connection. Ends of calls that it did not write go to another connection, and calls whose
// answers it did not write are released.
func (c *conn) teardown() {
	c.disconnect(closeWriteFailed)
	c.server.unregister(c)
	for {
		select {
		case line := <-c.queue:
			c.reportUnwritten(line)
		default:
			return
		}
	}
}

// reportUnwritten reports a line that could not be written to the call table.
func (c *conn) reportUnwritten(line *queuedLine) {
	switch line.kind {
	case lineAnswer:
		c.server.cfg.Calls.AnswerLost(line.callID)
	case lineCallEnd:
		c.server.cfg.Calls.RedeliverEnd(line.callID, line.cause)
	case lineReply, lineClose:
	}
}
