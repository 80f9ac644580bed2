package sip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// whitespace may surround a header's name and value (RFC 3261, section 25.1). Unicode's other spaces belong to the
// value: trimming them would change a class whose name begins or ends with one.
const whitespace = " \t"

// noLength is the content length of a message whose Content-Length header has not been read.
const noLength = -1

// Read reads one message. Errors that are neither ErrFraming nor ErrMalformed are the connection's.
func Read(r *bufio.Reader) (*Message, error) {
	p := parser{
		reader:        r,
		remaining:     MaxMessageBytes,
		message:       &Message{},
		contentLength: noLength,
	}
	if err := p.readHead(); err != nil {
		return nil, err
	}
	if err := p.readBody(); err != nil {
		return nil, err
	}
	return p.message, p.validate()
}

// parser is the state of reading one message.
type parser struct {
	reader        *bufio.Reader
	remaining     int // bytes that the message may still have
	message       *Message
	contentLength int   // noLength until the header has been read
	malformed     error // the last fault that leaves the end of the message known, nil: none
}

// readHead reads the first line and the headers up to the empty line.
func (p *parser) readHead() error {
	line, err := p.readLine()
	for err == nil && line == "" { // empty lines between messages are keep-alives (RFC 3261, section 7.5)
		line, err = p.readLine()
	}
	if err != nil {
		return err
	}
	p.malformed = p.message.parseStartLine(line)
	for {
		line, err := p.readLine()
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
		if err := p.addHeader(line); err != nil {
			return err
		}
	}
}

// addHeader takes one header line. An error means that the framing is lost.
func (p *parser) addHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		p.malformed = fmt.Errorf("%w: a header without a colon", ErrMalformed)
		return nil
	}
	name = fullName(strings.ToLower(strings.Trim(name, whitespace)))
	value = strings.Trim(value, whitespace)
	p.message.Headers = append(p.message.Headers, Header{name, value})
	switch name {
	case "content-length":
		return p.setContentLength(value)
	case "call-id":
		p.message.CallID = value
	case "cseq":
		p.setCSeq(value)
	}
	return nil
}

// fullName returns the full form of a header name in compact form (RFC 3261, section 7.3.3), or the name as it is.
func fullName(name string) string {
	switch name {
	case "i":
		return "call-id"
	case "l":
		return "content-length"
	case "s":
		return "subject"
	case "v":
		return "via"
	case "f":
		return "from"
	case "t":
		return "to"
	}
	return name
}

// setContentLength takes the value of a Content-Length header. Two that differ leave the end of the message unknown.
func (p *parser) setContentLength(value string) error {
	length, err := strconv.Atoi(value)
	if err != nil || length < 0 || p.contentLength != noLength && length != p.contentLength {
		return fmt.Errorf("%w: Content-Length %.20q", ErrFraming, value)
	}
	p.contentLength = length
	return nil
}

// setCSeq takes the value of a CSeq header: a sequence number and a method.
func (p *parser) setCSeq(value string) {
	number, method, _ := strings.Cut(value, " ")
	p.message.CSeqMethod = strings.TrimSpace(method)
	var err error
	if p.message.CSeq, err = strconv.Atoi(number); err != nil || p.message.CSeqMethod == "" {
		p.malformed = fmt.Errorf("%w: CSeq %.20q", ErrMalformed, value)
	}
}

// readBody reads as many bytes as Content-Length says.
func (p *parser) readBody() error {
	switch {
	case p.contentLength == noLength:
		return fmt.Errorf("%w: no Content-Length", ErrFraming)
	case p.contentLength > p.remaining:
		return errTooLong()
	case p.contentLength == 0:
		return nil
	}
	p.message.Body = make([]byte, p.contentLength)
	if _, err := io.ReadFull(p.reader, p.message.Body); err != nil {
		return fmt.Errorf("sip: reading a body: %w", err)
	}
	return nil
}

// validate returns the fault of a message that was read to its end, or nil.
func (p *parser) validate() error {
	message := p.message
	if p.malformed == nil && message.Status > 0 && (message.CallID == "" || message.CSeqMethod == "") {
		return fmt.Errorf("%w: an answer without Call-ID or CSeq", ErrMalformed)
	}
	return p.malformed
}

// parseStartLine parses a request line or a status line (RFC 3261, section 7).
func (m *Message) parseStartLine(line string) error {
	first, rest, _ := strings.Cut(line, " ")
	second, third, _ := strings.Cut(rest, " ")
	if first == version {
		status, err := strconv.Atoi(second)
		if err != nil || status < minStatus || status > maxStatus {
			return fmt.Errorf("%w: status %.20q", ErrMalformed, second)
		}
		m.Status, m.Reason = status, third
		return nil
	}
	if first == "" || second == "" || third != version {
		return fmt.Errorf("%w: first line %.40q", ErrMalformed, line)
	}
	m.Method, m.URI = first, second
	return nil
}

// readLine reads one line of the head without its line end and subtracts its length from remaining.
func (p *parser) readLine() (string, error) {
	var line []byte // the parts of a line that is longer than the reader's buffer
	for {
		part, err := p.reader.ReadSlice('\n')
		if p.remaining -= len(part); p.remaining < 0 {
			return "", errTooLong()
		}
		if err == nil && line == nil {
			return strings.TrimRight(string(part), "\r\n"), nil
		}
		line = append(line, part...)
		if err == nil {
			return strings.TrimRight(string(line), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", fmt.Errorf("sip: reading a head: %w", err)
		}
	}
}

// errTooLong returns the error for a message of more than MaxMessage bytes.
func errTooLong() error { return fmt.Errorf("%w: a message of over 16 KiB", ErrFraming) }
