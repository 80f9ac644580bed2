package sip

import (
	"errors"
	"strconv"
	"strings"
)

// MaxMessageBytes is the maximum size of a message, head and body, in bytes.
const MaxMessageBytes = 16 << 10

// Status codes of a response (RFC 3261, section 7.2).
const (
	minStatus = 100
	maxStatus = 699
)

// version is the protocol version of every request line and status line.
const version = "SIP/2.0"

// ErrFraming reports that the start of the next message is unknown: the connection cannot be used any longer.
var ErrFraming = errors.New("sip: framing lost")

// ErrMalformed reports an invalid message whose end is known: the next one can be read.
var ErrMalformed = errors.New("sip: malformed message")

// Header is one header field. One that was read has its name in lower case and never in compact form.
type Header struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	Method     string // of a request, else ""
	URI        string // of a request, else ""
	Status     int    // of a response, else 0
	Reason     string // the reason phrase of a response
	CallID     string
	CSeq       int    // the sequence number in CSeq
	CSeqMethod string // the method in CSeq
	Headers    []Header
	Body       []byte
}

// Get returns the value of the first header of that name (in lower case), or "".
func (m *Message) Get(name string) string {
	for _, header := range m.Headers {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}

// Cause returns the Q.850 cause in the Reason header (RFC 3326), or -1.
func (m *Message) Cause() int {
	for parameter := range strings.SplitSeq(m.Get("reason"), ";") {
		digits, found := strings.CutPrefix(strings.TrimSpace(parameter), "cause=")
		if !found {
			continue
		}
		if cause, err := strconv.Atoi(digits); err == nil {
			return cause
		}
	}
	return -1
}

// NewResponse returns a response to a request, with the request's Via, From, To, Call-ID and CSeq (RFC 3261, section
// 8.2.6.2).
func NewResponse(request *Message, status int, reason string) *Message {
	response := &Message{
		Status:     status,
		Reason:     reason,
		CallID:     request.CallID,
		CSeq:       request.CSeq,
		CSeqMethod: request.CSeqMethod,
	}
	for _, header := range request.Headers {
		switch header.Name {
		case "via", "from", "to":
			response.Headers = append(response.Headers, header)
		}
	}
	return response
}
