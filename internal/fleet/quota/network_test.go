package quota_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/testing/messagequeue"
	"eidertrail/internal/testing/recorded"
)

const (
	leaseLength = int64(2_000_000)
	leaseMargin = leaseLength / 4
	tickEvery   = int64(100_000)
	startOfTime = int64(1_000_000)
	// maxBodyBytes is what a datagram between members has room for.
	maxBodyBytes = 228
)

// process is a member's program from its last start on; its clock has an offset and a rate of its own.
type process struct {
	allocator    *quota.SharedAllocator
	starts       uint32
	offset       int64
	rate         int64 // thousandths
	tickAt       int64 // in the network's time
	stoppedUntil int64
}

// network simulates allocators in virtual time. No two events have the same time: of resources unused for equally
// long an allocator evicts the one that comes first in a map, which differs from run to run.
type network struct {
	tb         testing.TB
	rng        *rand.Rand
	now        int64
	config     quota.Config
	names      []string
	processes  []process
	queue      messagequeue.Queue
	order      int
	loss       float64
	duplicate  float64
	corrupt    float64
	corrupting bool // messages may be corrupted
	maxDelay   int64
	cut        func(from, to int) bool
	record     *recorded.Series
	maxInUse   int // the largest sum of the quotas of one resource
}

func uncut(int, int) bool { return false }

func newNetwork(
	tb testing.TB, record *recorded.Series, config quota.Config, names int, seed uint64, corrupting bool,
) *network {
	tb.Helper()
	w := &network{
		tb:         tb,
		rng:        rand.New(rand.NewPCG(seed, 77)),
		now:        startOfTime,
		config:     config,
		processes:  make([]process, config.Members),
		corrupting: corrupting,
		maxDelay:   10_000,
		cut:        uncut,
		record:     record,
	}
	for i := range names {
		w.names = append(w.names, fmt.Sprintf("pool-%d", i))
	}
	for member := range w.processes {
		w.start(member, 0)
	}
	return w
}

// start starts a member, by a clock that may have been set forward or back.
func (w *network) start(member int, offset int64) {
	w.tb.Helper()
	restarted := &w.processes[member]
	*restarted = process{
		starts: restarted.starts + 1,
		offset: offset,
		rate:   1000 - int64(member%3)*50,
		tickAt: w.now + int64(member)*1000,
	}
	config := w.config
	config.Self, config.Incarnation = member, restarted.starts
	allocator, err := quota.NewSharedAllocator(config, w.clock(member))
	if err != nil {
		w.tb.Fatal(err)
	}
	allocator.SetAlive(w.believed(member, 0))
	restarted.allocator = allocator
}

// clock is a member's own time.
func (w *network) clock(member int) int64 {
	p := &w.processes[member]
	return w.now*p.rate/1000 + p.offset
}

// believed is whom a member believes alive: each other one is missing with that probability.
func (w *network) believed(member int, dead float64) []bool {
	alive := make([]bool, len(w.processes))
	for i := range alive {
		alive[i] = i == member || w.rng.Float64() >= dead
	}
	return alive
}

// send loses, duplicates, corrupts and delays.
func (w *network) send(from int, out []quota.Out) {
	for _, outgoing := range out {
		w.record.Text("out")
		w.record.Number(int64(outgoing.To))
		w.record.Data(outgoing.Body)
		copies := 1
		if w.rng.Float64() < w.duplicate {
			copies = 2
		}
		for range copies {
			lost := w.rng.Float64() < w.loss
			delay := 1000 + w.rng.Int64N(w.maxDelay)
			if lost || w.cut(from, outgoing.To) {
				continue
			}
			body := bytes.Clone(outgoing.Body)
			if w.rng.Float64() < w.corrupt {
				body = w.corrupted(body)
			}
			w.order++
			w.queue.Push(messagequeue.Message{
				At:    w.now + delay,
				Order: w.order,
				From:  from,
				To:    outgoing.To,
				Body:  body,
			})
		}
	}
}

// corrupted returns a body that is truncated, of another type, or about another resource.
func (w *network) corrupted(body []byte) []byte {
	switch w.rng.IntN(3) {
	case 0:
		return body[:w.rng.IntN(len(body)+1)]
	case 1:
		body[0] = byte(w.rng.IntN(6))
		return body
	}
	return append(body, byte('a'+w.rng.IntN(26)))
}

// run simulates that many events: a message that arrives, a Tick, a change of what a member needs, or a disturbance.
func (w *network) run(events int) {
	w.tb.Helper()
	for range events {
		w.step()
		w.record.Step()
		if w.record.Steps()%50 == 0 {
			w.recordQuotas()
		}
	}
}

func (w *network) step() {
	w.tb.Helper()
	next, member := int64(math.MaxInt64), 0
	for i := range w.processes {
		if at := max(w.processes[i].tickAt, w.processes[i].stoppedUntil); at < next {
			next, member = at, i
		}
	}
	if arriving, due := w.queue.PopUntil(next); due {
		w.now = max(w.now+10, arriving.At)
		w.arrive(arriving)
		return
	}
	w.now = max(w.now+10, next)
	p := &w.processes[member]
	p.tickAt = w.now + tickEvery
	if w.rng.IntN(8) == 0 {
		w.disturb(w.rng.IntN(len(w.processes)))
	}
	if w.rng.IntN(4) == 0 {
		w.demand(member)
	}
	w.record.Text("tick")
	w.record.Number(int64(member))
	w.record.Number(w.clock(member))
	w.send(member, p.allocator.Tick(w.clock(member)))
}

// arrive delivers a message, or defers it while the member is stopped.
func (w *network) arrive(arriving messagequeue.Message) {
	w.tb.Helper()
	receiver := &w.processes[arriving.To]
	if receiver.stoppedUntil > w.now {
		arriving.At = receiver.stoppedUntil
		w.queue.Push(arriving)
		return
	}
	w.record.Text("arrive")
	w.record.Number(int64(arriving.To))
	out, err := receiver.allocator.Receive(w.clock(arriving.To), arriving.From, arriving.Body)
	if err != nil {
		w.record.Text("rejected")
	}
	w.send(arriving.To, out)
	name := w.names[w.rng.IntN(len(w.names))]
	units, total := receiver.allocator.Quota(w.clock(arriving.To), name)
	w.record.Text(name)
	w.record.Number(int64(units))
	w.record.Number(int64(total))
}

// demand changes what a member needs of a resource.
func (w *network) demand(member int) {
	name := w.names[w.rng.IntN(len(w.names))]
	total := w.config.Members * w.config.OwnedUnits
	owned := w.config.OwnedUnits
	units := []int{0, 0, owned / 2, owned, 2 * owned, total, 2 * total, -1, w.rng.IntN(total)}[w.rng.IntN(9)]
	w.record.Text("demand")
	w.record.Text(name)
	w.record.Number(int64(units))
	w.processes[member].allocator.Demand(w.clock(member), name, units)
}

// disturb changes the network, a process, or what a member believes of the others.
func (w *network) disturb(member int) {
	w.tb.Helper()
	disturbed := &w.processes[member]
	kind := w.rng.IntN(16)
	w.record.Text("disturb")
	w.record.Number(int64(kind))
	switch kind {
	case 0, 1, 2, 3: // the network is well
		w.loss, w.duplicate, w.corrupt, w.maxDelay, w.cut = 0, 0, 0, 10_000, uncut
	case 4:
		w.loss = 0.3
	case 5:
		w.duplicate = 0.3
	case 6:
		if w.corrupting {
			w.corrupt = 0.05
		}
	case 7: // slower than a lease, and out of order
		w.maxDelay = leaseLength * 3 / 2
	case 8:
		w.cut = func(from, to int) bool { return from == member }
	case 9:
		w.cut = func(from, to int) bool { return from%2 != to%2 }
	case 10:
		disturbed.stoppedUntil = max(disturbed.stoppedUntil, w.now+w.rng.Int64N(2*leaseLength))
	case 11:
		if w.rng.IntN(4) == 0 {
			w.start(member, []int64{0, 3_600_000_000, -900_000}[w.rng.IntN(3)])
		}
	case 12, 13:
		disturbed.allocator.SetAlive(w.believed(member, 0.4))
	default:
		disturbed.allocator.SetAlive(w.believed(member, 0))
	}
}

// recordQuotas records the quotas of each member, and its counters.
func (w *network) recordQuotas() {
	for _, name := range w.names {
		sum := 0
		for member := range w.processes {
			units, _ := w.processes[member].allocator.Quota(w.clock(member), name)
			w.record.Number(int64(units))
			sum += units
		}
		w.maxInUse = max(w.maxInUse, sum)
	}
	for member := range w.processes {
		counts := w.processes[member].allocator.Counts()
		w.record.Unsigned(counts.Requested)
		w.record.Unsigned(counts.Granted)
		w.record.Unsigned(counts.Borrowed)
	}
}
