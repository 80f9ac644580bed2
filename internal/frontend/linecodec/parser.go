package linecodec

import (
	"fmt"

	"github.com/tidwall/gjson"
)

// Parse reads one line. The message keeps nothing of the line's memory. The error is ErrMalformed, wrapped with what is
// wrong; the message that comes with it has what was read until then.
func Parse(line []byte) (Message, error) {
	message := Message{Cause: NoCause}
	if !gjson.ValidBytes(line) {
		return message, malformed("not JSON")
	}
	root := gjson.Parse(string(line))
	if !root.IsObject() {
		return message, malformed("not an object")
	}
	var err error
	root.ForEach(func(key, value gjson.Result) bool {
		err = message.setMember(key.Str, value)
		return err == nil
	})
	if err == nil && message.Type == "" {
		err = malformed("no type")
	}
	return message, err
}

func malformed(reason string) error { return fmt.Errorf("%w: %s", ErrMalformed, reason) }

// setMember sets one member of the message's object. Members with other names are ignored.
func (m *Message) setMember(name string, value gjson.Result) error {
	switch name {
	case "type":
		m.Type = value.Str
		return wantType(value, gjson.String, "type is not a string")
	case "id":
		m.ID = value.Str
		return wantType(value, gjson.String, "id is not a string")
	case "fields":
		m.Fields = value
		if !value.IsObject() {
			return malformed("fields is not an object")
		}
	case "cause":
		m.Cause = int(value.Num)
		return wantType(value, gjson.Number, "cause is not a number")
	case "sdp":
		m.SDP, m.HasSDP = value.Str, true
		return wantType(value, gjson.String, "sdp is not a string")
	}
	return nil
}

func wantType(value gjson.Result, want gjson.Type, reason string) error {
	if value.Type != want {
		return malformed(reason)
	}
	return nil
}
