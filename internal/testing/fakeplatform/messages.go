package fakeplatform

import (
	"fmt"
	"net"

	"eidertrail/internal/backend/sip"
)

const (
	// outOfDialogID is the Call-ID of load reports, which belong to no call.
	outOfDialogID = "0000000000000000"
	// poolURI is the request URI of a pool's own requests.
	poolURI = "sip:exchange@net"
)

// Request is a message that a Pool got, and the way back.
type Request struct {
	*sip.Message
	conn net.Conn
}

// Answer answers an INVITE: 200 with a description, or a rejection with a note.
func (r Request) Answer(status int, note, sdp string) {
	answer := &sip.Message{Status: status, Reason: "X", CallID: r.CallID, CSeq: 1, CSeqMethod: "INVITE", Body: []byte(sdp)}
	if note != "" {
		answer.Headers = append(answer.Headers, sip.Header{Name: "X-Note", Value: note})
	}
	write(r.conn, answer.Append(nil))
}

// Bye releases the call of the request on the connection that it came on.
func (r Request) Bye(cause int) { write(r.conn, byeRequest(r.CallID, cause)) }

// write writes bytes. A connection that has ended shows at its reader, and in what the test observes.
func write(conn net.Conn, bytes []byte) { _, _ = conn.Write(bytes) }

func byeRequest(id string, cause int) []byte {
	bye := &sip.Message{
		Method:     "BYE",
		URI:        poolURI,
		CallID:     id,
		CSeq:       2,
		CSeqMethod: "BYE",
		Headers:    []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}},
	}
	return bye.Append(nil)
}

func notifyRequest(state string) []byte {
	notify := &sip.Message{
		Method:     "NOTIFY",
		URI:        poolURI,
		CallID:     outOfDialogID,
		CSeq:       1,
		CSeqMethod: "NOTIFY",
		Headers:    []sip.Header{{Name: "X-State", Value: state}},
	}
	return notify.Append(nil)
}
