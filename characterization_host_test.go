package eidertrail_test

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"eidertrail"
)

// clockStart is the clock reading at which each run begins.
const clockStart = time.Hour

// host is what stands around one controller: callers, servers and a clock. It acts on every action as a real host
// does, and now and then reports what no host should.
type host struct {
	t          *testing.T
	deployment deployment
	controller *eidertrail.Controller
	random     *rand.Rand
	digest     hash.Hash
	now        time.Duration
	queue      schedule
	serial     uint64 // of the scheduled steps, which orders those at one time
	batch      []eidertrail.Event
	actions    []eidertrail.Action
	encoded    []byte
	events     int // reported to the controller
	batches    int
	counts     counts

	servers    []*hostServer
	created    int                                 // servers ever created, which names them
	byID       map[eidertrail.ServerID]*hostServer // looked up only, never iterated
	calls      map[eidertrail.CallID]*hostCall     // looked up only, never iterated
	lastCall   eidertrail.CallID
	callGap    time.Duration // mean time between two calls at present
	recentEnds []eidertrail.Event
}

// counts is what a run came to, for the log.
type counts struct{ calls, attempts, rejected, failed, answered, watches, stalls, lists int }

func (c counts) String() string {
	return fmt.Sprintf("%d calls, %d attempts, %d rejected, %d failed, %d answered, %d watches, %d stalls, %d lists",
		c.calls, c.attempts, c.rejected, c.failed, c.answered, c.watches, c.stalls, c.lists)
}

// hostCall is one try of a caller.
type hostCall struct {
	eidertrail.Call
	attempts int
	dials    int // of the caller, this one included
	attempt  *hostAttempt
	done     bool // a final answer was given, or the caller left
}

// hostAttempt is one attempt at a server; it gets one outcome.
type hostAttempt struct {
	call        *hostCall
	server      *hostServer
	number      int
	sentAt      time.Duration
	established bool
	ended       bool
}

// step is something that happens at a time.
type step struct {
	at     time.Duration
	serial uint64
	do     func()
}

// schedule is a heap of steps, the earliest first.
type schedule []step

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), cmp.Compare(s[i].serial, s[j].serial)) < 0
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(step)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newHost(t *testing.T, deployment deployment, seed uint64) *host {
	t.Helper()
	controller, err := eidertrail.New(deployment.settings, 0x8c1f30d27a5be964+seed)
	if err != nil {
		t.Fatal(err)
	}
	fake := &host{
		t: t, deployment: deployment, controller: controller, random: rand.New(rand.NewPCG(seed, 0x31)), digest: sha256.New(),
		now: clockStart, callGap: deployment.callGap,
		byID: map[eidertrail.ServerID]*hostServer{}, calls: map[eidertrail.CallID]*hostCall{},
	}
	for pool := range deployment.pools {
		fake.addServer(pool, 0)
	}
	if deployment.settings.PollEndpoints { // the list comes when it is asked for
		fake.handle()
	} else {
		fake.emitList(eidertrail.Cached, fake.completeList())
		fake.handle()
	}
	fake.after(0, fake.callArrives)
	fake.after(second, fake.loadChanges)
	fake.after(second, fake.conditionChanges)
	fake.after(second, fake.listChanges)
	fake.after(100*millisecond, fake.serversReport)
	fake.after(100*millisecond, fake.oddEvents)
	return fake
}

// run goes on until so many events were reported.
func (h *host) run(events int) {
	for h.events < events {
		h.now = max(h.now, h.queue[0].at) + h.between(0, h.deployment.settings.Tick)
		if h.oneIn(h.deployment.stallOneIn) { // the process stalls
			h.counts.stalls++
			h.now += h.between(100*millisecond, 12*second)
		}
		for len(h.queue) > 0 && h.queue[0].at <= h.now {
			heap.Pop(&h.queue).(step).do()
		}
		h.handle()
	}
}

// after schedules a step.
func (h *host) after(d time.Duration, do func()) {
	h.serial++
	heap.Push(&h.queue, step{h.now + max(d, 0), h.serial, do})
}

func (h *host) emit(event eidertrail.Event) { h.batch = append(h.batch, event) }

func (h *host) oneIn(n int) bool { return n > 0 && h.random.IntN(n) == 0 }

// between is a duration from lower up to upper.
func (h *host) between(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(h.random.Int64N(int64(max(upper-lower, 0))+1))
}

// handle gives the batch to the controller, records its actions and carries them out.
func (h *host) handle() {
	events := h.batch
	h.batch = nil
	h.events += len(events)
	h.batches++
	h.actions = h.controller.Handle(h.now, events, h.actions[:0])
	h.record(len(events))
	for _, action := range h.actions {
		h.carryOut(action)
	}
}

// The tags of the encoding.
const (
	tagSend = iota + 1
	tagReject
	tagFail
	tagWakeAt
	tagWatch
)

// record adds the batch's time, its number of events and all actions to the digest.
func (h *host) record(events int) {
	b := binary.AppendVarint(h.encoded[:0], int64(h.now))
	b = binary.AppendUvarint(b, uint64(events))
	b = binary.AppendUvarint(b, uint64(len(h.actions)))
	for _, action := range h.actions {
		switch action := action.(type) {
		case eidertrail.Send:
			b = binary.AppendUvarint(append(b, tagSend), uint64(action.Call))
			b = append(binary.AppendUvarint(b, uint64(len(action.Server))), action.Server...)
			b = binary.AppendVarint(b, int64(action.Timeout))
		case eidertrail.Reject:
			b = binary.AppendUvarint(append(b, tagReject), uint64(action.Call))
			b = binary.AppendVarint(b, int64(action.RetryAfter))
		case eidertrail.Fail:
			b = binary.AppendUvarint(append(b, tagFail), uint64(action.Call))
			b = binary.AppendVarint(b, int64(action.RetryAfter))
		case eidertrail.WakeAt:
			b = binary.AppendUvarint(append(b, tagWakeAt), action.Token)
			b = binary.AppendVarint(b, int64(action.In))
		case eidertrail.Watch:
			b = append(b, tagWatch)
		default:
			h.t.Fatal("an action of an unknown type")
		}
	}
	h.encoded = b
	h.digest.Write(b)
}

func (h *host) carryOut(action eidertrail.Action) {
	switch action := action.(type) {
	case eidertrail.Send:
		h.counts.attempts++
		h.send(action)
	case eidertrail.Reject:
		h.counts.rejected++
		h.callRejected(action.Call, action.RetryAfter)
	case eidertrail.Fail:
		h.counts.failed++
		h.callRejected(action.Call, action.RetryAfter)
	case eidertrail.WakeAt:
		late := time.Duration(0)
		if h.oneIn(20) { // the timer is late
			late = h.between(0, 300*millisecond)
		}
		h.after(action.In+late, func() { h.emit(eidertrail.Wake{Token: action.Token}) })
	case eidertrail.Watch:
		h.counts.watches++
		h.after(h.between(millisecond, 80*millisecond), h.answerWatch)
	}
}
