package faultproxy

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eidertrail/internal/trial/arrival"
)

// soon bounds what has to happen; the machine may be busy.
const soon = 20 * time.Second

// recordingTap keeps what passes.
type recordingTap struct {
	mu              sync.Mutex
	sent, delivered strings.Builder
	ended           int
}

func (r *recordingTap) Sent(_ uint64, bytes []byte, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Write(bytes)
}

func (*recordingTap) Delivering(uint64, []byte) {}

func (r *recordingTap) Delivered(_ uint64, bytes []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered.Write(bytes)
}

func (r *recordingTap) Ended(uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
}

// newEcho is a link to a backend that sends back what it gets.
func newEcho(t *testing.T) (*Link, *recordingTap) {
	t.Helper()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { backend.Close() })
	go func() {
		for {
			conn, err := backend.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // until the link ends it
			}()
		}
	}()
	reserved, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	reserved.Close()
	tap := &recordingTap{}
	link, err := Listen(address, backend.Addr().String(), tap)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link, tap
}

func dial(t *testing.T, link *Link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(soon))
	return conn
}

// echo sends text and returns what comes back before the connection ends or falls silent, and how it ended.
func echo(t *testing.T, conn net.Conn, text string) (string, error) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	received := make([]byte, len(text))
	n, err := io.ReadFull(conn, received)
	return string(received[:n]), err
}

func setMode(t *testing.T, link *Link, mode Mode) {
	t.Helper()
	if err := link.SetMode(mode); err != nil {
		t.Fatal(err)
	}
}

func TestLink_PassesAndTaps(t *testing.T) {
	link, tap := newEcho(t)
	for _, mode := range []Mode{Pass, OneByte} {
		setMode(t, link, mode)
		conn := dial(t, link)
		if got, err := echo(t, conn, "hello"); got != "hello" || err != nil {
			t.Errorf("%s: %q, %v", mode, got, err)
		}
	}
	const want = "hellohello"
	for began := time.Now(); ; time.Sleep(time.Millisecond) { // what was delivered is tapped right after it
		tap.mu.Lock()
		sent, delivered := tap.sent.String(), tap.delivered.String()
		tap.mu.Unlock()
		if sent == want && delivered == want {
			break
		}
		if time.Since(began) > soon {
			t.Fatalf("tapped %q and %q", sent, delivered)
		}
	}
}

func TestLink_RefusesAndReturns(t *testing.T) {
	link, _ := newEcho(t)
	conn := dial(t, link)
	if _, err := echo(t, conn, "x"); err != nil {
		t.Fatal(err)
	}
	setMode(t, link, Refuse)
	if _, err := echo(t, conn, "x"); err == nil {
		t.Error("an open connection goes on")
	}
	if _, err := net.Dial("tcp", link.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	setMode(t, link, Pass)
	if got, err := echo(t, dial(t, link), "y"); got != "y" || err != nil {
		t.Errorf("after the return: %q, %v", got, err)
	}
}

func TestLink_BlackHoleIsSilentAndDeliversLater(t *testing.T) {
	link, _ := newEcho(t)
	conn := dial(t, link)
	if _, err := echo(t, conn, "x"); err != nil {
		t.Fatal(err)
	}
	setMode(t, link, BlackHole)
	conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if got, err := echo(t, conn, "y"); got != "" || !errors.Is(err, syscall.EAGAIN) && !isTimeout(err) {
		t.Errorf("through a black hole: %q, %v", got, err)
	}
	setMode(t, link, Pass)
	conn.SetDeadline(time.Now().Add(soon))
	late := make([]byte, 1)
	if _, err := io.ReadFull(conn, late); err != nil || late[0] != 'y' {
		t.Errorf("after it: %q, %v", late, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func TestLink_NoAcceptLetsConnectionsComeUpLate(t *testing.T) {
	link, tap := newEcho(t)
	setMode(t, link, NoAccept)
	queued := dial(t, link) // in the accept queue
	queued.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if got, err := echo(t, queued, "x"); got != "" || !isTimeout(err) {
		t.Errorf("not accepted: %q, %v", got, err)
	}
	setMode(t, link, Pass)
	queued.SetDeadline(time.Now().Add(soon))
	if _, err := io.ReadFull(queued, make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("in the queue when it was emptied: %v", err)
	}
	if got, err := echo(t, dial(t, link), "y"); got != "y" || err != nil {
		t.Errorf("afterwards: %q, %v", got, err)
	}
	tap.mu.Lock()
	defer tap.mu.Unlock()
	if tap.sent.String() != "y" {
		t.Errorf("the backend was sent %q", tap.sent.String())
	}
}

// The tap sees what is sent into a black hole when it is sent, and the end of the connection too.
func TestLink_BlackHoleIsTapped(t *testing.T) {
	link, tap := newEcho(t)
	conn := dial(t, link)
	if _, err := echo(t, conn, "x"); err != nil {
		t.Fatal(err)
	}
	setMode(t, link, BlackHole)
	if _, err := io.WriteString(conn, "y"); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		tap.mu.Lock()
		sent, ended := tap.sent.String(), tap.ended
		tap.mu.Unlock()
		if sent == "xy" && ended == 1 {
			break
		}
		if time.Since(began) > soon {
			t.Fatalf("tapped %q, %d ends", sent, ended)
		}
	}
}

func TestLink_Strikes(t *testing.T) {
	for _, test := range []struct {
		strike Strike
		want   string
		reset  bool
	}{
		{StrikeHalf, "abc", false},
		{StrikeFin, "abcdef", false},
		{StrikeReset, "", true}, // the bytes before a reset may be lost with it
	} {
		link, tap := newEcho(t)
		link.Strike(test.strike)
		conn := dial(t, link)
		if _, err := io.WriteString(conn, "abcdef"); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(conn)
		if test.reset != errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("strike %d ended with %v", test.strike, err)
		}
		if !test.reset && string(got) != test.want {
			t.Errorf("strike %d: %q", test.strike, got)
		}
		if got, err := echo(t, dial(t, link), "xy"); got != "xy" || err != nil {
			t.Errorf("after strike %d: %q, %v", test.strike, got, err)
		}
		tap.mu.Lock()
		if tap.ended != 1 {
			t.Errorf("strike %d: %d ends", test.strike, tap.ended)
		}
		tap.mu.Unlock()
	}
}

func TestLink_SetBackendResetsOpenConnections(t *testing.T) {
	link, _ := newEcho(t)
	other, _ := newEcho(t)
	conn := dial(t, link)
	if _, err := echo(t, conn, "x"); err != nil {
		t.Fatal(err)
	}
	link.SetBackend(other.Address())
	if _, err := echo(t, conn, "x"); err == nil {
		t.Error("an open connection goes on")
	}
	if got, err := echo(t, dial(t, link), "y"); got != "y" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// orderTap records the order of what it is called with.
type orderTap struct{ calls []string }

func (o *orderTap) Sent(_ uint64, bytes []byte, _ time.Time) {
	o.calls = append(o.calls, "sent "+string(bytes))
}

func (o *orderTap) Delivering(_ uint64, bytes []byte) {
	o.calls = append(o.calls, "delivering "+string(bytes))
}

func (o *orderTap) Delivered(_ uint64, bytes []byte) {
	o.calls = append(o.calls, "delivered "+string(bytes))
}

func (o *orderTap) Ended(uint64) { o.calls = append(o.calls, "ended") }

// A set-up that was read while its connection was ended from the other side stayed in flight for ever.
func TestRelay_BytesReadAfterTheEndEndWithIt(t *testing.T) {
	tap := &orderTap{}
	ending := &relay{link: &Link{tap: tap}, number: 1}
	ending.tapEnded()
	ending.tapSent([]byte("INVITE"), time.Now())
	ending.tapEnded()
	if got := strings.Join(tap.calls, ", "); got != "ended, sent INVITE, ended" {
		t.Errorf("the tap was called with: %s", got)
	}
}

// A pool's answer was noted after the daemon had acted on it: two attempts seemed to be in flight.
func TestRelay_AnswerIsNotedBeforeItIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tap := &orderTap{}
	answering := &relay{link: &Link{tap: tap}, client: arrival.New(accepted.(*net.TCPConn))}
	if err := answering.write([]byte("486")); err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	if answering.write([]byte("500")) == nil {
		t.Error("written to a connection that is closed")
	}
	if got := strings.Join(tap.calls, ", "); got != "delivering 486, delivered 486, delivering 500" {
		t.Errorf("the tap was called with: %s", got)
	}
}
