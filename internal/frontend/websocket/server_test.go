package websocket

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"

	"eidertrail/internal/lifecycle"
	"eidertrail/internal/testing/fakeplatform"
)

func TestShutdown_AnswersBeforeItCloses(t *testing.T) {
	invites := make(chan fakeplatform.Request, 2)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	client := r.dial("a")
	client.say(setup("c1", 60000))
	invite := <-invites
	done := make(chan struct{})
	go func() {
		r.server.Shutdown(context.Background())
		close(done)
	}()
	for r.server.cfg.Lifecycle.State() != lifecycle.Stopping {
		time.Sleep(time.Millisecond)
	}
	client.say(setup("c2", 60000))
	if m := client.next(); m.Type != "refused" || m.ID != "c2" || m.Code != "shutting_down" || m.RetryAfterMS < 1 {
		t.Errorf("a set-up in between: %+v", m)
	}
	if status, retryAfter := r.dialStatus(""); status != 503 || retryAfter == "" {
		t.Errorf("a socket in between: %d, Retry-After %q", status, retryAfter)
	}
	invite.Answer(200, "", "x\r\n")
	if m := client.next(); m.Type != "answer" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	if status := client.closeStatus(); status != websocket.StatusGoingAway {
		t.Errorf("closed with %d", status)
	}
	<-done
}

func TestShutdown_WithoutTime(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	<-invites
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	go r.server.Shutdown(ended)
	if m := c.next(); m.Type != "refused" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	if status := c.closeStatus(); status != websocket.StatusGoingAway {
		t.Errorf("closed with %d", status)
	}
	r.await("CANCEL")
}

// While the server stops, a set-up under the id of a call that is in flight is not rejected as one that may be sent
// again: that would be read as the final answer to the call, which may run.
func TestShutdown_DuplicateIDIsNoRejection(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	first, second := r.dial("a"), r.dial("a")
	first.say(setup("c1", 60000))
	invite := <-invites
	second.say(ping)
	second.next()
	r.server.cfg.Lifecycle.Stop(r.dispatcher.Now(), 0)
	for _, c := range []*client{first, second} {
		c.say(setup("c1", 60000))
		if m := c.next(); m.Type != "error" || m.Code != "duplicate_id" || m.RetryAfterMS != 0 {
			t.Errorf("a second set-up under the id of an open call: %+v", m)
		}
	}
	invite.Answer(200, "", "x\r\n")
	if m := first.next(); m.Type != "answer" || m.ID != "c1" {
		t.Errorf("the open call: %+v", m)
	}
}

func TestServer_RejectsInvalidSiteAndTooManySockets(t *testing.T) {
	r := newRig(t, answerAll)
	if status, _ := r.dialStatus("?site=a%20b"); status != 400 {
		t.Errorf("site with a space: %d", status)
	}
	for range 16 {
		c := r.dial("a")
		c.say(ping) // a socket that has sent a message makes no room
		c.next()
	}
	if status, _ := r.dialStatus(""); status != 503 {
		t.Errorf("a 17th socket: %d", status)
	}
}

// A client that has read its pong must not be evicted: its socket is active before the pong is queued.
func TestPing_SocketIsActiveBeforeItsPong(t *testing.T) {
	r := newRig(t, nil)
	var states []socketState
	r.server.cfg.Ready = func() bool { // asked for what the pong says
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		for c := range r.server.sockets {
			states = append(states, c.lifecycle.state())
		}
		return true
	}
	socket := r.dial("a")
	socket.say(ping)
	socket.next()
	if len(states) != 1 || states[0] != socketActive {
		t.Errorf("sockets as the pong was made: %v, want one active", states)
	}
}

// A client that opens sockets and sends nothing does not shut sites out, and one that sends invalid messages again and
// again is closed. A socket that has sent a message never makes room.
func TestEviction_ClosesSilentSocketsAndFaultyOnes(t *testing.T) {
	r := newRig(t, nil)
	r.server.UpdateLimits(nil, 2)
	active, silent := r.dial("a"), r.dial("b")
	active.say(ping)
	active.next()
	third := r.dial("c")
	if code := silent.closeStatus(); code != websocket.StatusTryAgainLater {
		t.Errorf("the silent socket ended with %v", code)
	}
	third.say(ping)
	third.next()
	if status, _ := r.dialStatus(""); status != 503 {
		t.Errorf("%d though all have sent a message", status)
	}
	for range maxStrikes + 1 {
		third.say(`{}`)
	}
	third.closeStatus()
	active.say(`{"type":"ping","id":"y"}`)
	active.next()
}
