// Package linecodec frames, reads and writes the callers' wire: one JSON object a line, of at most 16 KiB.
//
// ReadLine finds the lines, Parse reads one, and the Append functions write them. Lines are written without
// encoding/json, so that the order of their members and the escapes in their strings are fixed.
package linecodec

import (
	"errors"

	"github.com/tidwall/gjson"
)

// MaxLine is the most bytes that a message may have, its line feed included.
const MaxLine = 16 << 10

// NoCause is the cause of a message that has none.
const NoCause = -1

// The types of messages.
const (
	TypeSetup    = "setup"    // a caller's set-up
	TypeAnswer   = "answer"   // the final answer: the call is established
	TypeRelease  = "release"  // the end of a call, or a final answer: the set-up was rejected or has failed
	TypeReleased = "released" // confirms a caller's release
	TypePing     = "ping"
	TypePong     = "pong"
	TypeProgress = "progress"
	TypeState    = "state"
)

var (
	// ErrTooLong says that a line is longer than MaxLine. Where the next line begins is not known.
	ErrTooLong = errors.New("jsonl: a line of over 16 KiB")
	// ErrMalformed says that a line is not a message. The next line may be one.
	ErrMalformed = errors.New("jsonl: malformed message")
)

// Message is one message of the callers' wire.
type Message struct {
	Type   string
	ID     string
	Fields gjson.Result // the object of fields; it does not exist where the message has none
	Cause  int          // Q.850, or NoCause
	SDP    string
	HasSDP bool
}

// Field is the text of a field, whether it came as a string or as a number, and "" where it is absent or something
// else. Of two fields with one name it is the first.
func (m *Message) Field(name string) string {
	var field gjson.Result
	m.Fields.ForEach(func(key, value gjson.Result) bool {
		if key.Str != name {
			return true
		}
		field = value
		return false
	})
	switch field.Type {
	case gjson.String:
		return field.Str
	case gjson.Number:
		return field.Raw
	}
	return ""
}
