package websocket

import (
	"strings"
	"testing"

	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/testing/fakeplatform"
)

func TestServer_CallIsAnsweredAndReleased(t *testing.T) {
	r := newRig(t, answerAll)
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" || m.ID != "c1" || m.SDP != "sdp of c1\r\né\r\n" {
		t.Fatalf("%+v", m)
	}
	c.say(`{"type":"release","id":"c1","cause":31}`)
	if m := c.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 31 {
		t.Errorf("%+v", m)
	}
	r.await("BYE")
	c.say(ping)
	if m := c.next(); m.Type != "pong" || m.ID != "x" || !m.Ready {
		t.Errorf("%+v", m)
	}
}

func TestServer_CallEndedByPool(t *testing.T) {
	r := newRig(t, func(q fakeplatform.Request) { answerAll(q); q.Bye(41) })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	if m := c.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 41 {
		t.Errorf("%+v", m)
	}
}

func TestFinalMessage_RejectionsAndDeadlines(t *testing.T) {
	r := newRig(t, func(q fakeplatform.Request) { q.Answer(503, "blocked", "") })
	client := r.dial("a")
	client.say(setup("c1", 60000))
	m := client.next()
	if m.Type != "refused" || m.Code != "no_agent" || m.Cause != 34 || m.RetryAfterMS < 1 || m.RetryAfterMS > 2000 {
		t.Errorf("no agent: %+v", m)
	}
	r.setOnInvite(nil) // never answers
	client.say(setup("c2", 400))
	if m := client.next(); m.Type != "failed" || m.Code != "timed_out" || m.Cause != 102 || m.RetryAfterMS < 1 {
		t.Errorf("deadline: %+v", m)
	}
	r.setPoolState(endpointlist.Removed)
	client.say(setup("c3", 200))
	if m := client.next(); m.Type != "refused" && m.Type != "failed" || m.RetryAfterMS < 1 {
		t.Errorf("no pool: %+v", m)
	}
}

func TestMessages_ErrorsAreNoFinalAnswers(t *testing.T) {
	r := newRig(t, answerAll)
	client := r.dial("a")
	for _, testCase := range []struct{ message, code string }{
		{`nonsense`, "bad_json"},
		{"{\"type\":\"ping\",\"id\":\"\xff\"}", "bad_json"},
		{`[]`, "bad_message"},
		{`{}`, "bad_message"},
		{`{"type":"dance","id":"x"}`, "unknown_type"},
		{`{"type":"release","id":"nobody"}`, "unknown_id"},
		{`{"type":"cancel","id":"nobody"}`, "unknown_id"},
		{`{"type":"release","id":"x","cause":"16"}`, "bad_message"},
		{`{"type":"release","id":"x","cause":1e9}`, "bad_message"},
		{`{"type":"setup","id":7}`, "bad_message"},
		{strings.Replace(setup("c1", 1000), `"c1"`, `"c 1"`, 1), "bad_id"},
		{strings.Replace(setup("c1", 1), `"read"`, `"fax"`, 1), "bad_class"},
		{setup("c1", -1), "bad_left"},
		{strings.Replace(setup("c1", 1), `"left_ms":1`, `"left_ms":"1"`, 1), "bad_left"},
		{strings.Replace(setup("c1", 1), "hotel-c1", "a\\r\\nBYE", 1), "bad_number"},
	} {
		client.say(testCase.message)
		if m := client.next(); m.Type != "error" || m.Code != testCase.code || m.Message == "" {
			t.Errorf("%s: %+v, want %s", testCase.message, m, testCase.code)
		}
	}
	client.say(setup("c1", 60000)) // the socket still serves, and the id was never taken
	if m := client.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	if r.invites() != 1 {
		t.Errorf("%d INVITEs", r.invites())
	}
}

// A second set-up with an id that is in use is an error, and the first still gets its one final answer. Another site
// may choose the same id: towards the pools the calls are different.
func TestSetup_DuplicateID(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c, other := r.dial("a"), r.dial("a")
	c.say(setup("c1", 60000))
	first := <-invites
	other.say(setup("c1", 60000))
	if m := other.next(); m.Type != "error" || m.Code != "duplicate_id" {
		t.Errorf("%+v", m)
	}
	first.Answer(200, "", "x\r\n")
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	site := r.dial("b")
	site.say(setup("c1", 60000))
	if second := <-invites; second.CallID == first.CallID || len(second.CallID) != 16 {
		t.Errorf("Call-IDs %q and %q", first.CallID, second.CallID)
	}
}

// A call whose answer crosses the cancel is released, so that no agent is reserved for nobody.
func TestCancel_GetsNoFinalAnswer(t *testing.T) {
	invites := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { invites <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	invite := <-invites
	c.say(`{"type":"cancel","id":"c1"}`)
	r.await("CANCEL")
	invite.Answer(200, "", "crosses the cancel\r\n")
	r.await("ACK")
	r.await("BYE")
	c.say(`{"type":"ping"}`)
	if m := c.next(); m.Type != "pong" {
		t.Errorf("after the cancel: %+v", m)
	}
}

// When a pool drains, established calls go on, and later calls go nowhere.
func TestServer_PoolDrains(t *testing.T) {
	r := newRig(t, answerAll)
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	r.setPoolState(endpointlist.Draining)
	c.say(setup("c2", 200))
	if m := c.next(); m.ID != "c2" || m.Type == "answer" || m.RetryAfterMS < 1 {
		t.Errorf("%+v", m)
	}
	if r.server.EstablishedCalls() != 1 || r.invites() != 1 {
		t.Errorf("%d established calls, %d INVITEs", r.server.EstablishedCalls(), r.invites())
	}
}
