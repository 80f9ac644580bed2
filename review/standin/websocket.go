package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// siteSocket is a site's WebSocket: a client of RFC 6455 that sends each message in one frame.
type siteSocket struct {
	name string
	rec  *record
	book *siteBook
	raw  net.Conn
	mu   sync.Mutex // of writes
	done chan struct{}

	closedAt  time.Time // by the controller; constant once done is closed
	closeCode int
}

// siteCall is a call as its site sees it.
type siteCall struct {
	id     string
	socket *siteSocket
	sentAt time.Time
	left   time.Duration
	finals []string
	cause  int // of the final answer

	retryAfter time.Duration // that the final answer names, 0: none

	rejected string // the code of an error: the set-up was not accepted
	over     bool
}

type siteBook struct {
	mu     sync.Mutex
	calls  map[string]*siteCall
	order  []*siteCall
	errors map[string]int // by code, of messages that are no set-ups
}

func newSiteBook() *siteBook {
	return &siteBook{calls: map[string]*siteCall{}, errors: map[string]int{}}
}

func dialSite(rec *record, book *siteBook, name, addr, site string) (*siteSocket, error) {
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(raw, "GET /call-control?site=%s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: callcontrol.v1\r\n\r\n", site, addr)
	r := bufio.NewReader(raw)
	status, err := r.ReadString('\n')
	if err != nil || !strings.Contains(status, " 101 ") {
		raw.Close()
		return nil, fmt.Errorf("no upgrade: %q %v", status, err)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	s := &siteSocket{name: name, rec: rec, book: book, raw: raw, done: make(chan struct{})}
	go s.read(r)
	return s, nil
}

// frame writes one masked frame.
func (s *siteSocket) frame(opcode byte, payload []byte) error {
	var mask [4]byte
	rand.Read(mask[:])
	b := []byte{0x80 | opcode}
	switch {
	case len(payload) < 126:
		b = append(b, 0x80|byte(len(payload)))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(len(payload)))
	}
	b = append(b, mask[:]...)
	for i, c := range payload {
		b = append(b, c^mask[i%4])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := s.raw.Write(b)
	return err
}

func (s *siteSocket) read(r *bufio.Reader) {
	defer close(s.done)
	defer s.raw.Close()
	for {
		var head [2]byte
		_, err := io.ReadFull(r, head[:])
		length := uint64(head[1] & 0x7f)
		if err == nil && length == 126 {
			var more [2]byte
			_, err = io.ReadFull(r, more[:])
			length = uint64(binary.BigEndian.Uint16(more[:]))
		}
		payload := make([]byte, length)
		if err == nil {
			_, err = io.ReadFull(r, payload)
		}
		if err != nil {
			if s.closedAt.IsZero() {
				s.closedAt = time.Now()
			}
			s.rec.logf("%s: the connection has ended (%v)", s.name, err)
			return
		}
		switch head[0] & 0x0f {
		case 1:
			s.take(payload)
		case 8:
			s.closedAt = time.Now()
			if len(payload) >= 2 {
				s.closeCode = int(binary.BigEndian.Uint16(payload))
			}
			s.rec.logf("%s: the controller closes the socket, code %d %q", s.name, s.closeCode, payload[min(2, len(payload)):])
			s.frame(8, payload)
		case 9:
			s.frame(10, payload)
		}
	}
}

func (s *siteSocket) take(payload []byte) {
	var m struct {
		Type, ID, Code string
		Cause          int
		RetryAfter     int `json:"retry_after_ms"`
	}
	if json.Unmarshal(payload, &m) != nil {
		return
	}
	s.rec.logf("%s: received %s", s.name, payload)
	b := s.book
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.calls[m.ID]
	switch m.Type {
	case "answer", "refused", "failed":
		if one != nil {
			one.finals = append(one.finals, m.Type)
			one.cause, one.retryAfter = m.Cause, time.Duration(m.RetryAfter)*time.Millisecond
		}
	case "released":
		if one != nil {
			one.over = true
		}
	case "error":
		if one != nil && len(one.finals) == 0 {
			one.rejected = m.Code
		} else {
			b.errors[m.Code]++
		}
	}
}

func (s *siteSocket) isOpen() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

func (s *siteSocket) setUp(id, class string, left time.Duration) bool {
	one := &siteCall{id: id, socket: s, left: left, sentAt: time.Now()}
	s.book.mu.Lock()
	s.book.calls[id] = one
	s.book.order = append(s.book.order, one)
	s.book.mu.Unlock()
	s.rec.logf("%s: setup %s", s.name, id)
	return s.frame(1, fmt.Appendf(nil, `{"type":"setup","id":"%s","class":"%s","number":"7f3a","left_ms":%d,"sdp":"v=0\r\ns=-\r\n"}`, id, class, left.Milliseconds())) == nil
}

func (s *siteSocket) release(id string) bool {
	s.rec.logf("%s: release %s", s.name, id)
	return s.frame(1, fmt.Appendf(nil, `{"type":"release","id":"%s","cause":16}`, id)) == nil
}
