package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// message is a SIP message as the protocol page has it.
type message struct {
	first   string // the first line
	headers map[string]string
	body    string
}

func (m *message) method() string {
	word, _, _ := strings.Cut(m.first, " ")
	return word
}

func (m *message) isResponse() bool { return strings.HasPrefix(m.first, "SIP/2.0 ") }

func (m *message) callID() string { return m.headers["call-id"] }

// number is the number called: the user part of the address in the first line.
func (m *message) number() string {
	_, rest, _ := strings.Cut(m.first, "sip:")
	number, _, _ := strings.Cut(rest, "@")
	return number
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (*message, error) {
	line, err := readHeadLine(r)
	if err != nil {
		return nil, err
	}
	m := &message{first: line, headers: map[string]string{}}
	for {
		line, err := readHeadLine(r)
		if err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		m.headers[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
	}
	length, err := strconv.Atoi(m.headers["content-length"])
	if err != nil {
		return nil, fmt.Errorf("content-length: %w", err)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	m.body = string(body)
	return m, nil
}

func readHeadLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// response is a response to a request.
func response(status int, reason, callID, method, extra, body string) string {
	sequence := 1
	if method == "BYE" {
		sequence = 2
	}
	return fmt.Sprintf("SIP/2.0 %d %s\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, reason, callID, sequence, method, extra, len(body), body)
}

func notify(state string) string {
	return "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP pool\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n" +
		"X-State: " + state + "\r\nContent-Length: 0\r\n\r\n"
}

func bye(callID string, cause int) string {
	return fmt.Sprintf("BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP pool\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\n"+
		"Reason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n", callID, cause)
}
