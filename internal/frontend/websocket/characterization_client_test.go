package websocket_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing/synctest"

	"eidertrail/internal/testing/frontendtest"
)

// client is one socket of a client, which writes and reads frames as they are on the wire.
type client struct {
	net.Conn
	name string

	mu     sync.Mutex
	got    []byte
	ended  bool
	closed bool // the end was recorded
	paused bool // nothing more is read after what is being read
}

// connect opens a connection and reads it to its end.
func (s *service) connect() *client {
	c := &client{Conn: s.listener.Dial(), name: "client " + strconv.Itoa(len(s.clients)+1)}
	s.clients = append(s.clients, c)
	go c.readAll()
	return c
}

func (c *client) readAll() {
	for b := make([]byte, 4096); ; {
		n, err := c.Read(b)
		c.mu.Lock()
		c.got = append(c.got, b[:n]...)
		c.ended = err != nil
		paused := c.paused
		c.mu.Unlock()
		if err != nil || paused {
			return
		}
	}
}

// pause has the client read no more than what it is about to read.
func (c *client) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = true
}

// upgrade asks for a socket, with these further header lines, and records the answer.
func (s *service) upgrade(c *client, target string, header ...string) {
	s.t.Helper()
	s.Add("%s asks for %s %s", c.name, target, strings.Join(header, ", "))
	c.request(target, header...)
	s.answer(c)
	s.observe()
}

// request writes a request. What becomes of it is recorded.
func (c *client) request(target string, header ...string) {
	lines := slices.Concat([]string{"GET " + target + " HTTP/1.1", "Host: controller"}, header, []string{"", ""})
	_, _ = io.WriteString(c, strings.Join(lines, "\r\n"))
	synctest.Wait()
}

// writeFrame writes a frame. The server may have closed the connection: what comes of that is recorded.
func (c *client) writeFrame(first byte, payload string) {
	_, _ = c.Write(frame(first, payload))
}

// upgradeHeader is what a WebSocket client sends.
func upgradeHeader(more ...string) []string {
	return append(
		[]string{
			"Connection: Upgrade",
			"Upgrade: websocket",
			"Sec-WebSocket-Version: 13",
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
		},
		more...,
	)
}

// answer records the answer to a request: status, header without the date, and body. What follows it stays.
func (s *service) answer(asking *client) {
	s.t.Helper()
	asking.mu.Lock()
	defer asking.mu.Unlock()
	reader := bufio.NewReader(bytes.NewReader(asking.got))
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.t.Fatalf("%s: no answer: %v", asking.name, err)
	}
	defer answer.Body.Close()
	s.Add("  %s gets: status %d", asking.name, answer.StatusCode)
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		if name != "Date" {
			s.Add("    %s: %s", name, strings.Join(answer.Header[name], ", "))
		}
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			s.t.Fatalf("%s: no body: %v", asking.name, err)
		}
		s.Add("    body %s", strconv.Quote(string(body)))
	}
	asking.got, _ = io.ReadAll(reader)
}

// open opens a socket of a site and records nothing.
func (s *service) open(site string) *client {
	s.t.Helper()
	c := s.connect()
	s.handshake(c, site)
	return c
}

// handshake asks for a socket of a site.
func (s *service) handshake(c *client, site string) {
	s.t.Helper()
	c.request("/?site="+site, upgradeHeader()...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.HasPrefix(c.got, []byte("HTTP/1.1 101 ")) {
		s.t.Fatalf("%s: no socket: %.40q", c.name, c.got)
	}
	_, c.got, _ = bytes.Cut(c.got, []byte("\r\n\r\n"))
}

// The opcodes of frames, and the bit of a message's last frame (RFC 6455, section 5.2).
const (
	continuation = 0
	text         = 1
	binaryData   = 2
	closing      = 8
	ping         = 9
	pong         = 10
	lastFrame    = 0x80
)

// frame is one frame with a mask of zeros.
func frame(first byte, payload string) []byte {
	b := []byte{first}
	if len(payload) > 125 {
		b = append(b, 0x80|126)
		b = binary.BigEndian.AppendUint16(b, uint16(len(payload)))
	} else {
		b = append(b, 0x80|byte(len(payload)))
	}
	return append(append(b, 0, 0, 0, 0), payload...)
}

// write has a client write a frame.
func (s *service) write(c *client, first byte, payload string) {
	s.Add("%s writes, first byte %#02x: %s", c.name, first, frontendtest.Shown(payload))
	c.writeFrame(first, payload)
	s.observe()
}

// say has a client write a text message.
func (s *service) say(c *client, message string) {
	s.Add("%s writes: %s", c.name, frontendtest.Shown(message))
	c.writeFrame(lastFrame|text, message)
	s.observe()
}

// sayQuietly has a client write a text message and records nothing.
func (s *service) sayQuietly(c *client, message string) {
	c.writeFrame(lastFrame|text, message)
	synctest.Wait()
}

// hangUp has a client close its connection with no close frame.
func (s *service) hangUp(c *client) {
	s.Add("%s closes its connection", c.name)
	c.Close()
	synctest.Wait()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	s.observe()
}

// take is the frames that have come since it was last called, and whether the connection has ended just now.
func (c *client) take() (frames []string, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.got) > 0 {
		f, size := readFrame(c.got)
		frames = append(frames, f)
		c.got = c.got[size:]
	}
	ended = c.ended && !c.closed
	c.closed = c.closed || c.ended
	return frames, ended
}

// readFrame reads the frame at the beginning of b as the recorded files tell it, and how long it is.
func readFrame(b []byte) (frame string, size int) {
	if len(b) < 2 {
		return fmt.Sprintf("a part of a frame: %x", b), len(b)
	}
	head, n := 2, int(b[1])
	if n == 126 && len(b) >= 4 {
		head, n = 4, int(binary.BigEndian.Uint16(b[2:]))
	}
	if n >= 127 && head == 2 || len(b) < head+n {
		return fmt.Sprintf("a part of a frame: %x", b), len(b)
	}
	payload := string(b[head : head+n])
	switch b[0] {
	case lastFrame | text:
		frame = "message: " + frontendtest.Shown(payload)
	case lastFrame | closing:
		frame = "close without a code"
		if n >= 2 {
			frame = fmt.Sprintf("close: %d %s", binary.BigEndian.Uint16(b[head:]), strconv.Quote(payload[2:]))
		}
	case lastFrame | ping:
		frame = "ping"
	case lastFrame | pong:
		frame = "pong: " + frontendtest.Shown(payload)
	default:
		frame = fmt.Sprintf("frame, first byte %#02x: %s", b[0], frontendtest.Shown(payload))
	}
	return frame, head + n
}
