package simwire

import (
	"fmt"
	"time"

	"eidertrail"
)

const (
	// fullNote is the note of a full server that returned the call. Every other note is a cause plus 16 times a wait in
	// milliseconds.
	fullNote = 18
	// causeBits and causeMask take a note apart.
	causeBits, causeMask = 4, 15
	// transitOption is the option of a call that comes from another exchange.
	transitOption = 8
	// noPool is the destination of a call that names no pool.
	noPool = -1
	// The status of a health check that succeeded.
	pongDone = "done"
)

// decodeEvent decodes a message as an event of a controller, nil for one that it does not use. The fields are read in
// the order in which errors name them.
func (h *Host) decodeEvent(message *row, reportNames []string) (eidertrail.Event, error) {
	switch message.name {
	case "JobIn":
		return decodeCall(message)
	case "Verdict":
		return decodeOutcome(message, reportNames)
	case "AckFirst":
		return decodeAnswered(message)
	case "Hangup":
		return eidertrail.CallerGone{Call: message.callID()}, message.err
	case "Timer":
		return eidertrail.Wake{Token: message.unsigned(0, "nonce")}, message.err
	case "Endpoints":
		return h.decodeEndpoints(message)
	case "Pong":
		return decodePong(message, reportNames)
	}
	return nil, message.err
}

// callID is the first value of messages about a call.
func (r *row) callID() eidertrail.CallID { return eidertrail.CallID(r.unsigned(0, "txn")) }

//nolint:mnd // the positions of the message's values
func decodeCall(message *row) (eidertrail.Event, error) {
	options := message.integer(8, "options")
	call := eidertrail.Call{
		ID:      message.callID(),
		Key:     message.unsigned(3, "partition_key"),
		Class:   int(message.integer(5, "tier_class")),
		Timeout: time.Duration(message.integer(6, "expires_in")),
		Pool:    int(message.number(9, "dest", noPool)),
		Transit: options&transitOption != 0,
	}
	return call, message.err
}

//nolint:mnd // the positions of the message's values
func decodeOutcome(message *row, reportNames []string) (eidertrail.Event, error) {
	outcome := eidertrail.Outcome{
		Call:    message.callID(),
		Attempt: int(message.integer(1, "leg")),
		Took:    time.Duration(message.integer(4, "cost_time")),
		Closed:  message.boolean(5, "complete"),
	}
	status, known := statusOf(message.text(3, "verdict"))
	if !known {
		return nil, message.err
	}
	outcome.Status = status
	outcome.Cause, outcome.RetryAfter = decodeNote(message.integer(6, "note"))
	if report, ok := message.report(7, "feedback", reportNames); ok {
		report.Server = eidertrail.ServerID(message.text(2, "server"))
		outcome.Report = &report
	}
	return outcome, message.err
}

// decodeNote returns the cause of a failure and the Retry-After that a server gave.
func decodeNote(note int64) (cause eidertrail.Cause, retryAfter time.Duration) {
	switch {
	case note == fullNote:
		return eidertrail.Returned, 0
	case note > 0:
		return eidertrail.Cause(note & causeMask), time.Duration(note>>causeBits) * time.Millisecond
	}
	return cause, 0
}

//nolint:mnd // the positions of the message's values
func decodeAnswered(message *row) (eidertrail.Event, error) {
	answered := eidertrail.Answered{
		Call:    message.callID(),
		Attempt: int(message.integer(1, "leg")),
		Took:    time.Duration(message.integer(3, "cost_time")),
	}
	return answered, message.err
}

// decodeEndpoints decodes a server list, which names a Census unless the look-up failed.
func (h *Host) decodeEndpoints(message *row) (eidertrail.Event, error) {
	kind, known := listKindOf(message.text(0, "kind"))
	if message.err == nil && !known {
		return nil, nil
	}
	list := eidertrail.ServerList{Kind: kind}
	if kind != eidertrail.Failed {
		servers, found := h.lists[int(message.integer(2, "buffer"))]
		if message.err == nil && !found {
			return nil, fmt.Errorf("%s names a Census that has not come", message.name)
		}
		list.Servers = servers
	}
	return list, message.err
}

// decodePong decodes the answer to a health check, which counts if it succeeded and has a load report.
//
//nolint:mnd // the positions of the message's values
func decodePong(message *row, reportNames []string) (eidertrail.Event, error) {
	status, server := message.text(1, "verdict"), message.text(2, "server")
	report, ok := message.report(3, "feedback", reportNames)
	if !ok || status != pongDone {
		return nil, message.err
	}
	report.Server = eidertrail.ServerID(server)
	return report, message.err
}

// statusOf returns the status that the wire calls by a name.
func statusOf(name string) (status eidertrail.Status, known bool) {
	switch name {
	case "done":
		return eidertrail.Ended, true
	case "err":
		return eidertrail.Error, true
	case "busy":
		return eidertrail.Full, true
	case "etimedout":
		return eidertrail.TimedOut, true
	case "econnrefused":
		return eidertrail.ConnectFailed, true
	case "econnreset":
		return eidertrail.Reset, true
	case "ecanceled":
		return eidertrail.Cancelled, true
	case "skipped":
		return eidertrail.NotSent, true
	}
	return status, false
}
