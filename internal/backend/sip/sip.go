// Package sip frames, reads and writes the sync pools' wire: SIP over TCP, of
// which it knows what PROTOCOL names. No message holds more than 16 KiB.
package sip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxMessage is the most bytes that a message may have, head and body.
const MaxMessage = 16 << 10

// blanks are what may stand round a header's name and value (RFC 3261, 25.1). Guards against a class whose name begins
// or ends with a blank of Unicode losing it.
const blanks = " \t"

// ErrFraming tells that the place where the next message begins is lost: the connection is of no more use.
var ErrFraming = errors.New("sip: framing lost")

// ErrMalformed tells that a message makes no sense, but that the next one can be read.
var ErrMalformed = errors.New("sip: malformed message")

// Header is one header line, its name in lower case and never in compact form.
type Header struct{ Name, Value string }

// Message is a request or an answer.
type Message struct {
	Method  string // of a request, else ""
	URI     string
	Status  int // of an answer, else 0
	Reason  string
	CallID  string
	CSeq    int
	Of      string // the method in CSeq
	Headers []Header
	Body    []byte
}

// Get is the value of the first header of that name (in lower case), or "".
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

var compact = map[string]string{"i": "call-id", "l": "content-length", "s": "subject", "v": "via", "f": "from", "t": "to"}

// Read reads one message. Errors that are neither ErrFraming nor ErrMalformed are the connection's.
func Read(r *bufio.Reader) (*Message, error) {
	m := &Message{}
	left := MaxMessage
	first, err := readLine(r, &left)
	for err == nil && first == "" { // line ends between messages keep a connection alive
		first, err = readLine(r, &left)
	}
	if err != nil {
		return nil, err
	}
	bad := m.firstLine(first)
	length := -1
	for {
		line, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		name, value, found := strings.Cut(line, ":")
		if !found {
			bad = fmt.Errorf("%w: a header without a colon", ErrMalformed)
			continue
		}
		name = strings.ToLower(strings.Trim(name, blanks))
		if full, is := compact[name]; is {
			name = full
		}
		value = strings.Trim(value, blanks)
		m.Headers = append(m.Headers, Header{name, value})
		switch name {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || length >= 0 && n != length {
				return nil, fmt.Errorf("%w: Content-Length %.20q", ErrFraming, value)
			}
			length = n
		case "call-id":
			m.CallID = value
		case "cseq":
			number, method, _ := strings.Cut(value, " ")
			m.Of = strings.TrimSpace(method)
			if m.CSeq, err = strconv.Atoi(number); err != nil || m.Of == "" {
				bad = fmt.Errorf("%w: CSeq %.20q", ErrMalformed, value)
			}
		}
	}
	if length < 0 {
		return nil, fmt.Errorf("%w: no Content-Length", ErrFraming)
	}
	if length > left {
		return nil, fmt.Errorf("%w: a message of over 16 KiB", ErrFraming)
	}
	if length > 0 {
		m.Body = make([]byte, length)
		if _, err := io.ReadFull(r, m.Body); err != nil {
			return nil, fmt.Errorf("sip: reading a body: %w", err)
		}
	}
	if bad == nil && m.Status > 0 && (m.CallID == "" || m.Of == "") {
		bad = fmt.Errorf("%w: an answer without Call-ID or CSeq", ErrMalformed)
	}
	if bad != nil {
		return m, bad
	}
	return m, nil
}

func (m *Message) firstLine(line string) error {
	a, rest, _ := strings.Cut(line, " ")
	b, c, _ := strings.Cut(rest, " ")
	if a == "SIP/2.0" {
		n, err := strconv.Atoi(b)
		if err != nil || n < 100 || n > 699 {
			return fmt.Errorf("%w: status %.20q", ErrMalformed, b)
		}
		m.Status, m.Reason = n, c
		return nil
	}
	if a == "" || b == "" || c != "SIP/2.0" {
		return fmt.Errorf("%w: first line %.40q", ErrMalformed, line)
	}
	m.Method, m.URI = a, b
	return nil
}

// readLine reads one line of a head without its end and takes its length off left.
func readLine(r *bufio.Reader, left *int) (string, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if *left -= len(part); *left < 0 {
			return "", fmt.Errorf("%w: a message of over 16 KiB", ErrFraming)
		}
		if err == nil && long == nil {
			return strings.TrimRight(string(part), "\r\n"), nil
		}
		long = append(long, part...)
		if err == nil {
			return strings.TrimRight(string(long), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", fmt.Errorf("sip: reading a head: %w", err)
		}
	}
}

// Append appends the message with its Content-Length.
func (m *Message) Append(b []byte) []byte {
	if m.Status > 0 {
		b = append(b, "SIP/2.0 "...)
		b = strconv.AppendInt(b, int64(m.Status), 10)
		b = append(append(b, ' '), m.Reason...)
	} else {
		b = append(append(b, m.Method...), ' ')
		b = append(append(b, m.URI...), " SIP/2.0"...)
	}
	b = append(b, "\r\n"...)
	for _, h := range m.Headers {
		b = appendHeader(b, h.Name, h.Value)
	}
	if m.CallID != "" {
		b = appendHeader(b, "Call-ID", m.CallID)
	}
	if m.Of != "" {
		b = appendHeader(b, "CSeq", strconv.Itoa(m.CSeq)+" "+m.Of)
	}
	b = appendHeader(b, "Content-Length", strconv.Itoa(len(m.Body)))
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// Answer is the answer to a request: its Via, From, To, Call-ID and CSeq go back with it.
func Answer(m *Message, status int, reason string) *Message {
	a := &Message{Status: status, Reason: reason, CallID: m.CallID, CSeq: m.CSeq, Of: m.Of}
	for _, h := range m.Headers {
		switch h.Name {
		case "via", "from", "to":
			a.Headers = append(a.Headers, h)
		}
	}
	return a
}

// Cause is the Q.850 cause in a Reason header, or -1.
func (m *Message) Cause() int {
	value := m.Get("reason")
	for part := range strings.SplitSeq(value, ";") {
		if n, is := strings.CutPrefix(strings.TrimSpace(part), "cause="); is {
			if c, err := strconv.Atoi(n); err == nil {
				return c
			}
		}
	}
	return -1
}

// Report reads a report such as x0:12;x1:40;queue:3, field by field; what is no number is passed over.
func Report(text string, field func(name string, value float64)) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, found := strings.Cut(part, ":")
		if !found {
			continue
		}
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && v == v {
			field(strings.TrimSpace(name), v)
		}
	}
}
