package sippool

import (
	"strconv"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
)

// SIP methods.
const (
	methodInvite  = "INVITE"
	methodAck     = "ACK"
	methodCancel  = "CANCEL"
	methodBye     = "BYE"
	methodNotify  = "NOTIFY"
	methodOptions = "OPTIONS"
)

// SIP status codes (RFC 3261, section 21).
const (
	statusOK                     = 200
	statusMultipleChoices        = 300 // the least that is neither provisional nor a success
	statusTemporarilyUnavailable = 480
	statusRequestTerminated      = 487
	statusNotImplemented         = 501
	statusServiceUnavailable     = 503
	statusServerTimeout          = 504
)

// Every attempt begins a dialog of its own at its pool, so that INVITE, ACK and CANCEL have the sequence number 1 and
// BYE 2.
const (
	inviteSequence = 1
	byeSequence    = 2
)

// User parts of the request URI where the dialled number is not known.
const (
	unmatchedUser = "stray"   // of a call that this process did not set up
	unknownUser   = "unknown" // of a response to an INVITE that is not pending
)

func newRequest(name, method, callID, user string, sequence int) *sip.Message {
	return &sip.Message{
		Method:     method,
		URI:        "sip:" + user + "@net",
		CallID:     callID,
		CSeq:       sequence,
		CSeqMethod: method,
		Headers:    []sip.Header{{Name: "Via", Value: "SIP/2.0/TCP " + name}},
	}
}

// inviteRequest returns the INVITE of an attempt that may take until the timeout.
func inviteRequest(name string, attempt dispatch.Attempt, timeout time.Duration) []byte {
	m := newRequest(name, methodInvite, attempt.ID, attempt.Setup.Number, inviteSequence)
	m.Headers = append(m.Headers,
		sip.Header{Name: "Subject", Value: attempt.Class},
		sip.Header{Name: "X-Patience", Value: strconv.FormatInt(wireMilliseconds(timeout), 10)},
	)
	m.Body = []byte(attempt.SDP)
	return m.Append(nil)
}

// wireMilliseconds returns a duration in whole milliseconds, rounded up, at least one.
func wireMilliseconds(d time.Duration) int64 {
	return max(1, int64((d+time.Millisecond-time.Microsecond)/time.Millisecond))
}

func ackRequest(name, callID, user string) []byte {
	return newRequest(name, methodAck, callID, user, inviteSequence).Append(nil)
}

func cancelRequest(name, callID, user string) []byte {
	return newRequest(name, methodCancel, callID, user, inviteSequence).Append(nil)
}

// byeRequest returns a BYE with a Q.850 cause in its Reason header (RFC 3326).
func byeRequest(name, callID, user string, cause int) []byte {
	m := newRequest(name, methodBye, callID, user, byeSequence)
	m.Headers = append(m.Headers, sip.Header{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)})
	return m.Append(nil)
}
