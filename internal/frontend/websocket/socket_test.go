package websocket

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// The end of a call is not lost with the socket in whose queue it was: another one of the site gets it.
func TestSocket_UnwrittenCallEndsAreRedelivered(t *testing.T) {
	r := newRig(t, answerAll)
	other := r.dial("a")
	other.say(ping)
	other.next()
	r.server.mu.Lock()
	closed := newSocket(r.server, 0, "a", r.server.sites["a"])
	r.server.mu.Unlock()
	closed.send(queuedMessage{bytes: pongMessage("y", true)})
	closed.CallEnded("c1", 16)
	closed.redeliverQueued()
	if m := other.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 16 {
		t.Errorf("got %+v", m)
	}
}

// When a socket closes, the attempt of its set-up is cancelled and established calls go on; the site's next socket may
// release them and is notified of their end. Another site may not.
func TestSocket_ClosesDuringCalls(t *testing.T) {
	invites := make(chan fakeplatform.Request, 4)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c := r.dial("a")
	for _, id := range []string{"c1", "c2"} {
		c.say(setup(id, 60000))
		invite := <-invites
		invite.Answer(200, "", "x\r\n")
		if m := c.next(); m.Type != "answer" {
			t.Fatalf("%+v", m)
		}
	}
	c.say(setup("c3", 60000))
	<-invites
	_ = c.CloseNow()
	r.await("CANCEL")
	if n := r.server.EstablishedCalls(); n != 2 {
		t.Errorf("%d established calls", n)
	}
	stranger := r.dial("b")
	stranger.say(`{"type":"release","id":"c1"}`)
	if m := stranger.next(); m.Code != "unknown_id" {
		t.Errorf("another site releases it: %+v", m)
	}
	next := r.dial("a")
	next.say(`{"type":"release","id":"c1"}`)
	if m := next.next(); m.Type != "released" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	r.await("BYE")
}

func TestSite_CallEndWaitsForNextSocket(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	invite := <-invites
	invite.Answer(200, "", "x\r\n")
	c.next()
	_ = c.CloseNow()
	for r.sockets() > 0 { // until the server has seen it
		time.Sleep(time.Millisecond)
	}
	invite.Bye(16)
	for r.counters.Get(telemetry.ReleasesPending) == 0 {
		time.Sleep(time.Millisecond)
	}
	if m := r.dial("a").next(); m.Type != "released" || m.ID != "c1" || m.Cause != 16 {
		t.Errorf("%+v", m)
	}
}

func TestReader_FragmentedMessage(t *testing.T) {
	r := newRig(t, answerAll)
	w := r.dialRaw()
	text := setup("c1", 60000)
	w.frame(frameText, text[:10])
	w.frame(framePing|frameFinal, "beat") // between the fragments
	w.frame(frameContinuation, text[10:50])
	w.frame(frameContinuation, "")
	w.frame(frameContinuation|frameFinal, text[50:])
	if opcode, payload := w.next(); opcode != opcodePong || payload != "beat" {
		t.Errorf("pong: %d %q", opcode, payload)
	}
	if opcode, payload := w.next(); opcode != opcodeText || !strings.Contains(payload, `"answer"`) {
		t.Errorf("answer: %d %q", opcode, payload)
	}
	if n := r.invites(); n != 1 {
		t.Errorf("%d INVITEs", n)
	}
}

func TestReader_OversizedMessages(t *testing.T) {
	const status1009 = "\x03\xf1"
	r := newRig(t, answerAll)
	long := `{"type":"setup","id":"c1","sdp":"` + strings.Repeat("x", maxMessage)
	w := r.dialRaw()
	w.frame(frameText|frameFinal, long)
	if opcode, payload := w.next(); opcode != opcodeClose || payload[:2] != status1009 {
		t.Errorf("one frame: %d %q", opcode, payload)
	}
	w = r.dialRaw()
	w.frame(frameText, long[:9000]) // no frame is too long by itself
	w.frame(frameContinuation|frameFinal, long[9000:])
	if opcode, payload := w.next(); opcode != opcodeClose || payload[:2] != status1009 {
		t.Errorf("two frames: %d %q", opcode, payload)
	}
	if n := r.invites(); n != 0 {
		t.Errorf("%d INVITEs", n)
	}
}

func TestReader_BinaryMessage(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	<-invites
	if err := c.Write(context.Background(), websocket.MessageBinary, []byte(setup("c2", 60000))); err != nil {
		t.Fatal(err)
	}
	if status := c.closeStatus(); status != websocket.StatusUnsupportedData {
		t.Errorf("closed with %d", status)
	}
	r.await("CANCEL")
}

// A client that does not read holds up neither the loop nor memory: its queue is bounded. Pings are answered here, and
// the answers never read.
func TestWriter_SlowClientIsClosed(t *testing.T) {
	r := newRig(t, answerAll)
	w := r.dialRaw()
	if err := w.Conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	for r.counters.Get(telemetry.SlowReaders) == 0 {
		w.SetWriteDeadline(time.Now().Add(time.Second))
		w.frame(frameText|frameFinal, `{"type":"ping","id":"`+strings.Repeat("x", 4000)+`"}`)
	}
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("others: %+v", m)
	}
}
