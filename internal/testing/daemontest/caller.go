package daemontest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"eidertrail/internal/frontend/linecodec"
)

const (
	// maxAttempts is how often a call is placed before a test fails.
	maxAttempts = 200
	// retryInterval is the time from a rejection to the next try.
	retryInterval = 20 * time.Millisecond
)

// Caller is a caller's connection.
type Caller struct {
	conn   net.Conn
	tb     testing.TB
	reader *bufio.Reader
}

// Dial connects to the platform's listener of a daemon.
func Dial(tb testing.TB, address string) *Caller {
	tb.Helper()
	conn, err := net.Dial("tcp", address) //nolint:noctx // on loopback
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &Caller{conn: conn, tb: tb, reader: bufio.NewReader(conn)}
}

// SetupLine is the line of a set-up.
func SetupLine(id string) string {
	return fmt.Sprintf(`{"type":"setup","id":%q,"fields":{"class":"voice","left":"9000","key":"7f"},"sdp":"x"}`+"\n", id)
}

// SendText sends text as it is.
func (c *Caller) SendText(text string) {
	c.tb.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.tb.Error(err)
	}
}

// Send sends a line.
func (c *Caller) Send(format string, arguments ...any) {
	c.tb.Helper()
	c.SendText(fmt.Sprintf(format, arguments...) + "\n")
}

// Setup sends a set-up.
func (c *Caller) Setup(id string) {
	c.tb.Helper()
	c.SendText(SetupLine(id))
}

// Ping sends a ping, and returns its answer.
func (c *Caller) Ping(id string) linecodec.Message {
	c.tb.Helper()
	c.Send(`{"type":"ping","id":%q,"cause":0}`, id)
	return c.Next()
}

// AwaitReady waits until the daemon says that it is ready.
func (c *Caller) AwaitReady() {
	c.tb.Helper()
	for ready := false; !ready; {
		ready = c.Ping("p").Cause == 1
	}
}

// Ended is closed when the daemon has closed the connection; what it still sends is discarded.
func (c *Caller) Ended() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c.conn)
	}()
	return ended
}

// Close closes the connection.
func (c *Caller) Close() { c.conn.Close() }

// Next waits for the next message.
func (c *Caller) Next() linecodec.Message {
	c.tb.Helper()
	text, err := linecodec.ReadLine(c.reader, nil)
	if err != nil {
		c.tb.Fatal(err)
	}
	message, err := linecodec.Parse(text)
	if err != nil {
		c.tb.Fatal(err)
	}
	return message
}

// SequentialCaller places one call at a time, waits for its final answer, and places it again under a new id while no
// pool takes it.
type SequentialCaller struct {
	caller       *Caller
	placed       int
	finals       map[string]int // final answers by id
	lastRejected linecodec.Message
}

// NewSequentialCaller places calls on a connection that nobody else uses.
func NewSequentialCaller(caller *Caller) *SequentialCaller {
	return &SequentialCaller{caller: caller, finals: map[string]int{}}
}

// Place places a call until it is answered.
func (s *SequentialCaller) Place() {
	s.caller.tb.Helper()
	for range maxAttempts {
		if s.answered() {
			return
		}
		time.Sleep(retryInterval)
	}
	s.caller.tb.Fatalf("no call was answered in %d tries, the last: %+v", maxAttempts, s.lastRejected)
}

// answered places a call, and reports whether it was answered and not rejected.
func (s *SequentialCaller) answered() bool {
	s.caller.tb.Helper()
	s.placed++
	id := fmt.Sprintf("%016x", s.placed)
	s.caller.Setup(id)
	for {
		message := s.caller.Next()
		if message.ID != id {
			continue // the end of an earlier call
		}
		s.finals[id]++
		if message.Type == "answer" {
			return true
		}
		s.lastRejected = message
		if message.Type != "release" {
			s.caller.tb.Fatalf("%+v", message)
		}
		return false
	}
}

// Check fails the test for a call that had another number of final answers than one.
func (s *SequentialCaller) Check() {
	s.caller.tb.Helper()
	for id, finals := range s.finals {
		if finals != 1 {
			s.caller.tb.Errorf("call %s: %d final answers", id, finals)
		}
	}
}
