package linecodec

import (
	"strconv"
	"unicode/utf8"
)

// del is the one control character above the space.
const del = 0x7f

// AppendAnswer appends the line of an established call's answer.
func AppendAnswer(b []byte, id, sdp string) []byte {
	b = appendHead(b, TypeAnswer, id)
	b = append(b, `,"sdp":`...)
	b = AppendString(b, sdp)
	return append(b, "}\n"...)
}

// AppendCause appends a line with a cause, such as a release or a pong.
func AppendCause(b []byte, messageType, id string, cause int) []byte {
	b = appendHead(b, messageType, id)
	b = append(b, `,"cause":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}

// AppendRejection appends a release that asks the caller to stay away for so many milliseconds.
func AppendRejection(b []byte, id string, cause int, waitMillis int64) []byte {
	b = append(b, `{"type":"release","id":`...)
	b = AppendString(b, id)
	b = append(b, `,"fields":{"wait":"`...)
	b = strconv.AppendInt(b, waitMillis, 10)
	b = append(b, `"},"cause":`...)
	b = strconv.AppendInt(b, int64(cause), 10)
	return append(b, "}\n"...)
}

// AppendBare appends a line that has neither cause nor description.
func AppendBare(b []byte, messageType, id string) []byte {
	return append(appendHead(b, messageType, id), "}\n"...)
}

func appendHead(b []byte, messageType, id string) []byte {
	b = append(b, `{"type":`...)
	b = AppendString(b, messageType)
	b = append(b, `,"id":`...)
	b = AppendString(b, id)
	return append(b, `,"fields":{}`...)
}

// AppendString appends text as a JSON string. Bytes that are not UTF-8 become U+FFFD, as JSON cannot hold them.
func AppendString(b []byte, text string) []byte {
	b = append(b, '"')
	for i := 0; i < len(text); {
		if text[i] < utf8.RuneSelf {
			b = appendASCII(b, text[i])
			i++
			continue
		}
		char, size := utf8.DecodeRuneInString(text[i:])
		b = utf8.AppendRune(b, char)
		i += size
	}
	return append(b, '"')
}

// appendASCII appends one character of a JSON string, escaped where it has to be (RFC 8259, section 7) and DEL too.
func appendASCII(b []byte, char byte) []byte {
	const hex = "0123456789abcdef"
	switch {
	case char == '"' || char == '\\':
		return append(b, '\\', char)
	case char == '\n':
		return append(b, '\\', 'n')
	case char == '\r':
		return append(b, '\\', 'r')
	case char == '\t':
		return append(b, '\\', 't')
	case char < ' ' || char == del:
		return append(b, '\\', 'u', '0', '0', hex[char>>4], hex[char&0xf])
	}
	return append(b, char)
}
