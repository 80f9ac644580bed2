package eidertrail

import (
	"testing"
	"time"
)

func TestLedger_CallGetsOneFinalAnswer(t *testing.T) {
	for name, status := range map[string]Status{
		"error": Error, "full": Full, "timed out": TimedOut, "connect failed": ConnectFailed,
		"reset": Reset, "cancelled": Cancelled, "not sent": NotSent,
	} {
		node := newTestNode(t, settings(), pools("a", "b")...)
		id, to := node.call(0, 0)
		for dials := 0; dials < 5 && to != ""; dials++ {
			node.advance(60 * millisecond)
			before := node.attempts(id)
			node.handle(Outcome{Call: id, Attempt: before - 1, Status: status, Took: 60 * millisecond})
			node.handle(Outcome{Call: id, Attempt: before - 1, Status: status, Took: 60 * millisecond}) // reported twice
			node.advance(400 * millisecond)
			to = ""
			if node.attempts(id) > before {
				to = node.lastSend().Server
			}
		}
		node.advance(10 * time.Second)
		if node.finalAnswers(id) != 1 || node.attempts(id) > 2 {
			t.Errorf("%s: %d answers, %d sends", name, node.finalAnswers(id), node.attempts(id))
		}
		if len(node.c.calls) != 0 || len(node.c.queue) != 0 {
			t.Errorf("%s: the ledger still keeps something", name)
		}
	}
}

func TestLedger_RetryAwaitsTheRelease(t *testing.T) {
	for name, test := range map[string]struct {
		status Status
		after  time.Duration
	}{
		"timed out":      {TimedOut, 305 * millisecond},
		"reset":          {Reset, 305 * millisecond},
		"cancelled":      {Cancelled, 305 * millisecond},
		"full":           {Full, 0},
		"connect failed": {ConnectFailed, 0},
	} {
		node := newTestNode(t, settings(), pools("a", "b")...)
		id, _ := node.call(0, 0)
		node.advance(100 * millisecond)
		informed := node.now
		node.handle(Outcome{Call: id, Status: test.status, Took: 100 * millisecond})
		for node.attempts(id) < 2 && node.now < informed+time.Second {
			node.advance(millisecond)
		}
		if node.attempts(id) != 2 {
			t.Errorf("%s: not sent again", name)
		}
		if got := node.now - informed; got < test.after || got > test.after+millisecond {
			t.Errorf("%s: sent again after %v, want %v", name, got, test.after)
		}
	}
}

func TestLedger_NonIdempotentCallIsNotRepeated(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency = NotIdempotent
	node := newTestNode(t, set, pools("a", "b")...)
	id, _ := node.call(0, 0)
	node.handle(Outcome{Call: id, Status: TimedOut, Took: 10 * millisecond})
	node.advance(time.Second)
	failed := false
	for _, a := range node.all {
		final, ok := a.(Fail)
		failed = failed || ok && final.Call == id
	}
	if node.attempts(id) != 1 || !failed {
		t.Errorf("sent %d times, failed: %v", node.attempts(id), failed)
	}
}

// Calls that find every server denied wait within their latency objective, those of most weight first.
func TestLedger_QueuedCallsGoByWeight(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	stuck, _ := node.call(0, 0)
	node.advance(400 * millisecond) // the age of the attempt in flight denies the server
	plain, plainTo := node.call(0, 0)
	heavy, heavyTo := node.call(1, 0)
	if plainTo != "" || heavyTo != "" || node.finalAnswers(plain)+node.finalAnswers(heavy) != 0 {
		t.Fatalf("sent to %q and %q, %d final answers: want both queued",
			plainTo, heavyTo, node.finalAnswers(plain)+node.finalAnswers(heavy))
	}
	node.handle(Answered{Call: stuck, Took: 400 * millisecond})
	node.advance(500 * millisecond)
	var order []CallID
	for _, a := range node.all {
		if s, ok := a.(Send); ok && (s.Call == plain || s.Call == heavy) {
			order = append(order, s.Call)
		}
	}
	if len(order) == 0 || order[0] != heavy {
		t.Errorf("order of sending %v, want %d first", order, heavy)
	}
	node.advance(10 * time.Second)
	if node.finalAnswers(plain)+node.attempts(plain) == 0 || node.finalAnswers(plain) > 1 {
		t.Errorf("the plain call: %d sends, %d answers", node.attempts(plain), node.finalAnswers(plain))
	}
}

// Otherwise lost attempts deny their server until the caller gives up.
func TestLedger_AttemptTimesOutBeforeTheCall(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 80*millisecond)
	node.advance(time.Second)
	node.call(0, 0)
	if got := node.last[0].(Send).Timeout; got != 960*millisecond {
		t.Errorf("timeout %v with an M of 80 ms, want 2*A*M", got)
	}
}

// While callers dial again and again those who can still be served in time go first.
func TestLedger_UnansweredNumberKeepsItsFirstObjective(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 100*millisecond)
	node.handle(ServerList{Kind: Delta, Servers: []Server{{ID: "a", Mode: Draining}}})
	dial := func(key uint64) *callRecord { return node.c.calls[node.dial(key)] }
	first := dial(77).arrivedAt
	node.advance(2 * time.Second) // queued, then refused
	redialled, other := dial(77), dial(78)
	if redialled.arrivedAt != first || other.arrivedAt != node.now {
		t.Errorf("objectives run from %v and %v, want %v and %v", redialled.arrivedAt, other.arrivedAt, first, node.now)
	}
	node.handle(ServerList{Kind: Delta, Servers: []Server{{ID: "a", Mode: Ready}}})
	if len(node.last) == 0 || node.sentTo(other.ID) != "a" || node.last[0].(Send).Call != other.ID {
		t.Errorf("the fresh call does not go first: %v", node.last)
	}
	node.advance(20 * time.Second)
	if call := dial(77); call.arrivedAt != node.now {
		t.Error("remembered beyond the deadline")
	}
}

// Many calls to one number with few lines cost attempts that cannot succeed.
func TestLedger_BusyNumberIsInBackoff(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	node.establish(0, 50*millisecond)
	node.advance(time.Second)
	busy := func() {
		t.Helper()
		id := node.dial(5)
		if node.attempts(id) != 1 {
			t.Fatal("the number was not tried")
		}
		node.handle(Outcome{Call: id, Status: Error, Cause: LinesBusy, Took: 50 * millisecond})
		if node.finalAnswers(id) != 1 {
			t.Error("no answer")
		}
	}
	busy()
	if id := node.dial(5); node.attempts(id) != 0 || node.finalAnswers(id) != 1 {
		t.Error("tried again at once")
	}
	if id := node.dial(6); node.attempts(id) != 1 {
		t.Error("another number suffers")
	} else {
		node.handle(Answered{Call: id, Took: 50 * millisecond})
	}
	node.advance(time.Duration(busyBackoffFraction*9000+1) * millisecond)
	busy()
	node.advance(time.Duration(busyBackoffFraction*9000+1) * millisecond)
	if id := node.dial(5); node.attempts(id) != 0 {
		t.Error("the backoff did not double")
	}
}

func TestRetryAfter_EstimatesWhenARetryMaySucceed(t *testing.T) {
	node := newTestNode(t, settings(), pools("a")...)
	// A busy number: when its backoff ends.
	busy := node.dial(77)
	node.handle(Outcome{Call: busy, Status: Error, Cause: LinesBusy, Took: 10 * millisecond})
	redialled := node.dial(77)
	if first, next := node.retryAfter(busy), node.retryAfter(redialled); first <= 0 || next != first {
		t.Errorf("busy number: %v, at once again %v", first, next)
	}
	// A server that a failure shuts: when R is forgotten.
	node = newTestNode(t, settings(), pools("a")...)
	node.establish(0, 100*millisecond)
	id, _ := node.call(0, 0)
	node.handle(Outcome{Call: id, Status: TimedOut, Took: 1200 * millisecond}) // denied for half of R
	got := node.c.retryAfter(&callRecord{Call: Call{Pool: 0}})
	if got < 500*millisecond || got > 5*time.Second {
		t.Errorf("after a failure of 1.2 s: %v", got)
	}
	node.advance(got / 2)
	if later := node.c.retryAfter(&callRecord{Call: Call{Pool: 0}}); later >= got {
		t.Errorf("%v, half of it later still %v", got, later)
	}
	// No eligible server: about one holding time.
	set := settings()
	set.Classes[0].MeanHoldingTime = 8 * time.Second
	node = newTestNode(t, set)
	id, _ = node.call(0, 0)
	node.advance(4 * time.Second)
	if got := node.retryAfter(id); got != 8*time.Second {
		t.Errorf("no server: %v", got)
	}
}
