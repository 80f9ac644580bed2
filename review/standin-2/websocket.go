package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Opcodes of frames (RFC 6455, section 5.2).
const (
	opText  = 0x1
	opClose = 0x8
	opPing  = 0x9
	opPong  = 0xa
)

// socket is a booking site's WebSocket for call control. It answers pings at once.
type socket struct {
	rec     *record
	raw     net.Conn
	reader  *bufio.Reader
	writing sync.Mutex

	mu     sync.Mutex
	calls  map[string]*socketCall
	known  map[string]*socketCall // calls of earlier sockets
	order  []*socketCall
	status int       // of the close frame that was received, 0: none
	closed time.Time // when the connection ended, zero: it is open
}

// socketCall is a call as the site sees it.
type socketCall struct {
	id       string
	sentAt   time.Time
	left     time.Duration
	finals   []event
	finalAt  time.Time
	released bool
	rejected string // the code of an error, "" for none
	class    string
	resent   bool // it had crossed the close of another socket
}

// event is one message of the server.
type event struct {
	Type       string `json:"type"`
	ID         string `json:"id"`
	Code       string `json:"code"`
	Cause      int    `json:"cause"`
	RetryAfter int    `json:"retry_after_ms"`
	SDP        string `json:"sdp"`
	Message    string `json:"message"`
}

func dialSocket(rec *record, address, site string) (*socket, error) {
	raw, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	key := make([]byte, 16)
	_, _ = rand.Read(key)
	fmt.Fprintf(raw, "GET /call-control?site=%s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: %s\r\nSec-WebSocket-Protocol: callcontrol.v1\r\n\r\n",
		site, address, base64.StdEncoding.EncodeToString(key))
	reader := bufio.NewReader(raw)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("the socket was not accepted: %s", answer.Status)
	}
	s := &socket{rec: rec, raw: raw, reader: reader, calls: map[string]*socketCall{}}
	rec.logf("site %s: socket open", site)
	go s.read()
	return s, nil
}

// frame writes one masked frame.
func (s *socket) frame(opcode byte, payload []byte) error {
	head := []byte{0x80 | opcode}
	switch n := len(payload); {
	case n < 126:
		head = append(head, 0x80|byte(n))
	default:
		head = append(head, 0x80|126)
		head = binary.BigEndian.AppendUint16(head, uint16(n))
	}
	mask := make([]byte, 4)
	_, _ = rand.Read(mask)
	head = append(head, mask...)
	for i, b := range payload {
		head = append(head, b^mask[i%4])
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.raw.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := s.raw.Write(head)
	return err
}

func (s *socket) send(message map[string]any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return s.frame(opText, text)
}

func (s *socket) setup(class string, left time.Duration) *socketCall {
	return s.place(&socketCall{id: newID(), class: class, left: left})
}

// again sends a set-up again that has crossed the close of another socket.
func (s *socket) again(crossed socketCall) *socketCall {
	return s.place(&socketCall{id: crossed.id, class: crossed.class, left: crossed.left, resent: true})
}

func (s *socket) place(set *socketCall) *socketCall {
	s.mu.Lock()
	set.sentAt = time.Now()
	s.calls[set.id] = set
	s.order = append(s.order, set)
	s.mu.Unlock()
	err := s.send(map[string]any{
		"type": "setup", "id": set.id, "class": set.class, "number": set.id, "left_ms": set.left.Milliseconds(),
		"sdp": "v=0\r\no=site " + set.id + "\r\nm=audio 31000 RTP/AVP 0\r\n",
	})
	s.rec.logf("site: set-up %s, %s, left_ms %d, sent again: %v, written: %v",
		set.id, set.class, set.left.Milliseconds(), set.resent, err == nil)
	return set
}

func (s *socket) read() {
	var err error
	for err == nil {
		err = s.readFrame()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = time.Now()
	s.rec.logf("site: the socket has ended, status %d: %v", s.status, err)
}

func (s *socket) readFrame() error {
	head := make([]byte, 2)
	if _, err := io.ReadFull(s.reader, head); err != nil {
		return err
	}
	length := int(head[1] & 0x7f)
	switch length {
	case 126:
		more := make([]byte, 2)
		if _, err := io.ReadFull(s.reader, more); err != nil {
			return err
		}
		length = int(binary.BigEndian.Uint16(more))
	case 127:
		return fmt.Errorf("a frame over 64 KiB")
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(s.reader, payload); err != nil {
		return err
	}
	switch head[0] & 0xf {
	case opText:
		s.take(payload)
	case opPing:
		return s.frame(opPong, payload)
	case opClose:
		if len(payload) >= 2 {
			s.mu.Lock()
			s.status = int(binary.BigEndian.Uint16(payload))
			s.mu.Unlock()
			s.rec.logf("site: close frame, status %d, %q", s.status, payload[2:])
		}
		_ = s.frame(opClose, payload)
	}
	return nil
}

func (s *socket) take(text []byte) {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		s.rec.logf("site: a message that can't be read: %.80q", text)
		return
	}
	shown := string(text)
	if len(shown) > 160 {
		shown = shown[:160]
	}
	s.rec.logf("site: got %s", strings.TrimSpace(shown))
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.calls[e.ID]
	if set == nil {
		set = s.known[e.ID]
	}
	switch {
	case e.Type == "error":
		if set != nil {
			set.rejected = e.Code
		}
	case set == nil:
	case e.Type == "released":
		set.released = true
	case e.Type == "answer" || e.Type == "refused" || e.Type == "failed":
		set.finals = append(set.finals, e)
		set.finalAt = time.Now()
	}
}

func (s *socket) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed.IsZero()
}

func (s *socket) all() []socketCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]socketCall, len(s.order))
	for i, set := range s.order {
		all[i] = *set
	}
	return all
}
