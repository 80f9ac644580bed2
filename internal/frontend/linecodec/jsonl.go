// Package jsonl frames, reads and writes the callers' wire: one JSON object a
// line, of at most 16 KiB.
package linecodec

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// MaxLine is the most bytes that a message may have, its line feed included.
const MaxLine = 16 << 10

// ErrTooLong tells that a line passed Most: where the next one begins is not known.
var ErrTooLong = errors.New("jsonl: a line of over 16 KiB")

// ErrMalformed tells that a line is not a message. The next line may be one.
var ErrMalformed = errors.New("jsonl: malformed message")

// Message is one message of the callers' wire.
type Message struct {
	Type   string
	ID     string
	Fields gjson.Result // the object of fields, maybe absent
	Cause  int          // -1: none
	SDP    string
	HasSDP bool
}

// Field is a field's text, whether it came as a string or as a number, and "" where it is absent.
func (m *Message) Field(name string) string {
	var v gjson.Result
	m.Fields.ForEach(func(k, f gjson.Result) bool {
		if k.Str == name {
			v = f
			return false
		}
		return true
	})
	switch v.Type {
	case gjson.String:
		return v.Str
	case gjson.Number:
		return v.Raw
	}
	return ""
}

// ReadLine reads one line into buf[:0] without its line feed. A last line without one is an error:
// its sender did not finish it.
func ReadLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	buf = buf[:0]
	for {
		part, err := r.ReadSlice('\n')
		if len(buf)+len(part) > MaxLine {
			return nil, ErrTooLong
		}
		buf = append(buf, part...)
		if err == nil {
			return bytes.TrimRight(buf, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("jsonl: reading a line: %w", err)
		}
	}
}

// Parse reads one line. The message keeps nothing of the line.
func Parse(line []byte) (Message, error) {
	m := Message{Cause: -1}
	if !gjson.ValidBytes(line) {
		return m, fmt.Errorf("%w: not JSON", ErrMalformed)
	}
	v := gjson.Parse(string(line))
	if !v.IsObject() {
		return m, fmt.Errorf("%w: not an object", ErrMalformed)
	}
	var err error
	v.ForEach(func(k, f gjson.Result) bool {
		switch k.Str {
		case "type":
			if m.Type = f.Str; f.Type != gjson.String {
				err = fmt.Errorf("%w: type is not a string", ErrMalformed)
			}
		case "id":
			if m.ID = f.Str; f.Type != gjson.String {
				err = fmt.Errorf("%w: id is not a string", ErrMalformed)
			}
		case "fields":
			if m.Fields = f; !f.IsObject() {
				err = fmt.Errorf("%w: fields is not an object", ErrMalformed)
			}
		case "cause":
			if m.Cause = int(f.Num); f.Type != gjson.Number {
				err = fmt.Errorf("%w: cause is not a number", ErrMalformed)
			}
		case "sdp":
			if m.SDP, m.HasSDP = f.Str, true; f.Type != gjson.String {
				err = fmt.Errorf("%w: sdp is not a string", ErrMalformed)
			}
		}
		return err == nil
	})
	if err == nil && m.Type == "" {
		err = fmt.Errorf("%w: no type", ErrMalformed)
	}
	return m, err
}

// AppendAnswer appends the line that tells that the call stands.
func AppendAnswer(b []byte, id, sdp string) []byte {
	b = appendHead(b, "answer", id)
	b = append(b, `,"sdp":`...)
	b = AppendString(b, sdp)
	return append(b, "}\n"...)
}

// AppendCause appends a line with a cause: a release, a pong.
func AppendCause(b []byte, kind, id string, cause int) []byte {
	b = appendHead(b, kind, id)
	b = append(b, `,"cause":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}

// AppendBare appends a line that has neither cause nor description.
func AppendBare(b []byte, kind, id string) []byte { return append(appendHead(b, kind, id), "}\n"...) }

func appendHead(b []byte, kind, id string) []byte {
	b = append(b, `{"type":`...)
	b = AppendString(b, kind)
	b = append(b, `,"id":`...)
	b = AppendString(b, id)
	return append(b, `,"fields":{}`...)
}

// AppendString appends s as a JSON string. Bytes that are not UTF-8 become U+FFFD, as JSON has no other way.
func AppendString(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := 0; i < len(s); {
		c := s[i]
		if c >= utf8.RuneSelf {
			r, n := utf8.DecodeRuneInString(s[i:])
			b = utf8.AppendRune(b, r)
			i += n
			continue
		}
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c == '\r':
			b = append(b, '\\', 'r')
		case c == '\t':
			b = append(b, '\\', 't')
		case c < ' ' || c == 0x7f:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
		i++
	}
	return append(b, '"')
}
