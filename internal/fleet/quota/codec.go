package quota

import (
	"encoding/binary"
	"fmt"
)

// messageType is the first byte of a body. Other protocols between the members use other numbers.
//
// Numbers are big-endian. A message is its type (1 byte), the request that it belongs to (8), units (4), and the
// name of the resource.
type messageType byte

const (
	requestMessage messageType = 1 // a borrower requests a lease of that many units
	grantMessage   messageType = 2 // the lender's answer, possibly of 0 units
	returnMessage  messageType = 3 // a borrower stops using what was granted up to that request
)

const (
	requestOffset = 1
	unitsOffset   = requestOffset + 8
	headSize      = unitsOffset + 4
	maxUnits      = 1 << 30
)

// message is one between a borrower and a lender.
type message struct {
	kind     messageType
	request  uint64
	units    int
	resource string
}

// IsMessage reports whether a body is a message of an allocator.
func IsMessage(body []byte) bool { return len(body) > 0 && isMessageType(body[0]) }

func isMessageType(first byte) bool {
	kind := messageType(first)
	return kind >= requestMessage && kind <= returnMessage
}

func (m message) encode() []byte {
	b := make([]byte, 0, headSize+len(m.resource))
	b = append(b, byte(m.kind))
	b = binary.BigEndian.AppendUint64(b, m.request)
	b = binary.BigEndian.AppendUint32(b, uint32(m.units))
	return append(b, m.resource...)
}

func decode(b []byte) (message, error) {
	if len(b) <= headSize || len(b) > headSize+MaxNameLength || !isMessageType(b[0]) {
		return message{}, &MessageError{Problem: fmt.Sprintf("a body of %d bytes makes no sense", len(b))}
	}
	units := binary.BigEndian.Uint32(b[unitsOffset:])
	if units > maxUnits {
		return message{}, &MessageError{Problem: fmt.Sprintf("%d units", units)}
	}
	return message{
		kind:     messageType(b[0]),
		request:  binary.BigEndian.Uint64(b[requestOffset:]),
		units:    int(units),
		resource: string(b[headSize:]),
	}, nil
}
