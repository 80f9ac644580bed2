package eidertrail

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// randomHost reports events to a controller at random, most of them possible and some not, and notes what it does with
// each call.
type randomHost struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Duration
	calls    map[CallID]*hostCall
	ready    map[ServerID]bool
	open     []CallID // calls with an attempt in flight, oldest first
	attempts int
	// mustNotRepeat are the classes of which nothing that may have run is sent again or rejected.
	mustNotRepeat map[int]bool
}

type hostCall struct {
	class                      int
	attempts, inFlight, finals int
	mayHaveRun                 bool
}

// serverName returns one of a few names.
func (h *randomHost) serverName() ServerID { return ServerID(fmt.Sprint("s", h.random.IntN(14))) }

// list returns a list of some servers.
func (h *randomHost) list() ServerList {
	list := ServerList{Kind: ListKind(h.random.IntN(4))}
	for range h.random.IntN(13) {
		server := Server{ID: h.serverName(), Mode: Mode(h.random.IntN(5) / 3), Pool: h.random.IntN(14)}
		if h.random.IntN(9) == 0 {
			server.StartedAt = h.now
		}
		list.Servers = append(list.Servers, server)
	}
	return list
}

// noteReady notes which servers are ready by a list that is reported.
func (h *randomHost) noteReady(list ServerList) {
	if list.Kind == Failed {
		return
	}
	if list.Kind != Delta {
		clear(h.ready)
	}
	for _, server := range list.Servers {
		h.ready[server.ID] = server.Mode == Ready
	}
}

// report returns a load report with usual and odd figures.
func (h *randomHost) report() Report {
	odd := []float64{-1, 0, 1, 50, 1e18, math.Inf(1), math.NaN()}
	return Report{Server: h.serverName(), Free: odd[h.random.IntN(7)], Agents: odd[h.random.IntN(7)]}
}

// call returns a new call.
func (h *randomHost) call(id CallID) Call {
	class := h.random.IntN(2)
	h.calls[id] = &hostCall{class: class}
	return Call{
		ID: id, Class: class, Pool: h.random.IntN(14), Key: uint64(h.random.IntN(99)),
		Timeout: time.Duration(h.random.IntN(3000)) * millisecond,
	}
}

// progress returns events of a call before next: its outcome if it has an attempt in flight, else stale ones.
func (h *randomHost) progress(next CallID) []Event {
	id := CallID(h.random.IntN(int(next))) // known, ended or never seen
	if len(h.open) > 0 && h.random.IntN(4) > 0 {
		id, h.open = h.open[0], h.open[1:]
	}
	call := h.calls[id]
	if call == nil || call.inFlight == 0 {
		return []Event{Outcome{Call: id, Attempt: h.random.IntN(4) - 1}, Answered{Call: id, Attempt: 7}}
	}
	var events []Event
	attempt := call.attempts - 1
	switch h.random.IntN(3) {
	case 0:
		events = append(events, CallerGone{Call: id})
		call.finals = 1
	case 1:
		events = append(events, Answered{Call: id, Attempt: attempt, Took: time.Second})
	}
	closed := call.finals > 0 || h.random.IntN(2) == 0
	call.inFlight = 0
	if closed {
		call.finals = 1
	}
	status := Status(h.random.IntN(8))
	if status != Full && status != ConnectFailed && status != NotSent {
		call.mayHaveRun = true
	}
	return append(events, Outcome{
		Call: id, Attempt: attempt, Status: status,
		Closed: closed, Cause: Cause(h.random.IntN(5)), Took: time.Duration(h.random.IntN(5000)) * millisecond,
	})
}

// carryOut notes an action, and fails the test if no host may get it.
func (h *randomHost) carryOut(action Action) {
	h.t.Helper()
	switch action := action.(type) {
	case Send:
		call := h.calls[action.Call]
		h.checkRepeatable(action.Call, "sent again")
		call.attempts++
		call.inFlight++
		h.attempts++
		h.open = append(h.open, action.Call)
		if call.inFlight > 1 || call.finals > 0 || call.attempts > 2 || !h.ready[action.Server] {
			h.t.Fatalf("call %d to %q: %+v, ready %v", action.Call, action.Server, *call, h.ready[action.Server])
		}
	case Reject:
		h.checkRepeatable(action.Call, "rejected")
		h.calls[action.Call].finals++
	case Fail:
		h.calls[action.Call].finals++
	}
}

// checkRepeatable fails the test if what is done with a call says that a call which may have run may be repeated.
func (h *randomHost) checkRepeatable(id CallID, done string) {
	h.t.Helper()
	if call := h.calls[id]; call.mayHaveRun && h.mustNotRepeat[call.class] {
		h.t.Fatalf("call %d is %s, which may have run: %+v", id, done, *call)
	}
}

// Whatever the host reports in whatever order, at full size: no panic, one attempt in flight at a time, one final
// answer, nothing sent after it, nothing new to a server that is not ready, and nothing sent again or rejected that may
// have run and must not be repeated.
func TestHandle_KeepsItsPromisesUnderAnyEvents(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NotIdempotent} {
		t.Run(fmt.Sprint("idempotency ", idempotency), func(t *testing.T) { keepsItsPromises(t, idempotency) })
	}
}

func keepsItsPromises(t *testing.T, idempotency Idempotency) {
	t.Helper()
	set := settings()
	set.Classes[1].Idempotency = idempotency
	set.Nodes, set.Index = 265, 264
	set.Classes[0].MeanHoldingTime = 10 * time.Second
	controller, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	host := &randomHost{
		t: t, random: rand.New(rand.NewPCG(1, 2)), now: time.Hour,
		calls: map[CallID]*hostCall{}, ready: map[ServerID]bool{},
		mustNotRepeat: map[int]bool{1: idempotency != Idempotent},
	}

	for next := CallID(1); next < 20000; next++ {
		host.now += time.Duration(host.random.IntN(40)) * millisecond
		var events []Event
		list := host.list()
		if host.random.IntN(50) == 0 || next == 1 {
			events = append(events, list)
			host.noteReady(list)
		}
		events = append(events, host.report(), host.call(next), Wake{})
		events = append(events, host.progress(next)...)
		for _, action := range controller.Handle(host.now, events, nil) {
			host.carryOut(action)
		}
	}

	for id, call := range host.calls {
		if call.finals > 1 {
			t.Errorf("call %d had %d final answers", id, call.finals)
		}
	}
	if host.attempts < 1000 {
		t.Errorf("only %d attempts: the events try nothing", host.attempts)
	}
}
