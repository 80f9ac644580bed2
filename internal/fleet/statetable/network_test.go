package statetable_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"eidertrail/internal/fleet/statetable"
	"eidertrail/internal/testing/messagequeue"
	"eidertrail/internal/testing/recorded"
)

const (
	second = int64(1_000_000)
	// maxBodyBytes is what a datagram between members has room for.
	maxBodyBytes = 228
	// incarnationSpacing is between the incarnations of two starts by a right clock: more than refutations add to one.
	incarnationSpacing = 1_000_000
)

// kinds are the registered kinds; older programs know the first ones.
func kinds() []statetable.KindSpec {
	return []statetable.KindSpec{
		{Kind: statetable.Region, Name: "region", MaxLength: 32},
		{Kind: statetable.Versions, Name: "versions", MaxLength: 200},
		{Kind: statetable.Sketch, Name: "sketch", MaxLength: 2048},
		{Kind: 9, Name: "longest", MaxLength: statetable.MaxValue},
	}
}

// process is a member's program from its last start on.
type process struct {
	table        *statetable.Table
	kinds        []statetable.KindSpec // what it publishes
	starts       uint64
	stoppedUntil int64
}

// network simulates tables in virtual time. A member that refutes an earlier incarnation publishes its own values again
// in the order of a map, which differs from run to run; so one that starts by a clock that was set back has one kind.
type network struct {
	tb        testing.TB
	rng       *rand.Rand
	now       int64
	processes []process
	queue     messagequeue.Queue
	order     int
	loss      float64
	duplicate float64
	cutShort  float64
	maxDelay  int64
	cut       func(from, to int) bool
	disturbAt int64
	record    *recorded.Series
	refuted   int
}

func uncut(int, int) bool { return false }

func newNetwork(tb testing.TB, record *recorded.Series, members int, seed uint64) *network {
	tb.Helper()
	w := &network{
		tb:        tb,
		rng:       rand.New(rand.NewPCG(seed, 55)),
		now:       second,
		processes: make([]process, members),
		maxDelay:  10_000,
		cut:       uncut,
		disturbAt: 2 * second,
		record:    record,
	}
	for member := range members {
		w.start(member, kinds(), false)
	}
	return w
}

// start starts a member; by a clock that was set back its incarnation is lower than that of the last start.
func (w *network) start(member int, known []statetable.KindSpec, setBack bool) {
	w.tb.Helper()
	restarted := &w.processes[member]
	*restarted = process{starts: restarted.starts + 1, kinds: known}
	incarnation := restarted.starts * incarnationSpacing
	if setBack {
		incarnation = 500 + restarted.starts
		restarted.kinds = kinds()[1:2]
	}
	config := statetable.DefaultConfig(member, len(w.processes), incarnation, uint64(member)*3+restarted.starts)
	config.Kinds = known
	table, err := statetable.New(config, w.now)
	if err != nil {
		w.tb.Fatal(err)
	}
	table.SetAlive(w.believed(member, 0))
	restarted.table = table
	w.record.Text("start")
	w.record.Number(int64(member))
}

// believed is whom a member believes alive: each other one is missing with that probability.
func (w *network) believed(member int, dead float64) []bool {
	alive := make([]bool, len(w.processes))
	for i := range alive {
		alive[i] = i == member || w.rng.Float64() >= dead
	}
	return alive
}

// send loses, duplicates, truncates and delays.
func (w *network) send(from int, out []statetable.Out) {
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
			body := outgoing.Body
			if w.rng.Float64() < w.cutShort {
				body = body[:w.rng.IntN(len(body)+1)]
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

// take records the changes at a member.
func (w *network) take(member int) {
	for _, change := range w.processes[member].table.TakeChanges() {
		w.record.Text("change")
		w.record.Number(int64(change.Origin))
		w.record.Number(int64(change.Kind))
		w.recordEntry(change.Entry)
	}
}

func (w *network) recordEntry(e statetable.Entry) {
	w.record.Unsigned(e.Incarnation)
	w.record.Unsigned(uint64(e.Version))
	w.record.Number(e.At)
	w.record.Data(e.Value)
}

// run simulates that many events: a body that arrives, a Tick, a value that is set, or a disturbance.
func (w *network) run(events int) {
	w.tb.Helper()
	for range events {
		w.step()
		w.record.Step()
		if w.record.Steps()%1000 == 0 {
			w.recordTables()
		}
	}
	w.recordTables()
}

func (w *network) step() {
	w.tb.Helper()
	next, member := w.disturbAt, -1
	for i := range w.processes {
		p := &w.processes[i]
		if at := max(p.table.NextTick(), p.stoppedUntil, w.now); at < next {
			next, member = at, i
		}
	}
	if arriving, due := w.queue.PopUntil(next); due {
		w.now = max(w.now, arriving.At)
		w.arrive(arriving)
		return
	}
	w.now = next
	if member < 0 {
		w.disturbAt = w.now + second/2 + w.rng.Int64N(4*second)
		w.disturb(w.rng.IntN(len(w.processes)))
		return
	}
	if w.rng.IntN(6) == 0 {
		w.set(member)
	}
	w.record.Text("tick")
	w.record.Number(int64(member))
	w.record.Number(w.now)
	w.send(member, w.processes[member].table.Tick(w.now))
	w.record.Number(w.processes[member].table.NextTick())
	w.take(member)
}

// set sets a value of a member: most are short, some as long as the kind allows, a few too long or unchanged.
func (w *network) set(member int) {
	p := &w.processes[member]
	kind := p.kinds[w.rng.IntN(len(p.kinds))]
	longest := kind.MaxLength
	length := []int{0, 1, min(longest, 20), min(longest, 400), longest, longest + 1}[w.rng.IntN(6)]
	value := bytes.Repeat([]byte{byte(w.rng.IntN(3))}, length)
	w.record.Text("set")
	w.record.Number(int64(kind.Kind))
	w.record.Number(int64(length))
	if err := p.table.Set(w.now, kind.Kind, value); err != nil {
		w.record.Text("rejected")
	}
}

// arrive delivers a body, or defers it while the member is stopped.
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
	out, err := receiver.table.Receive(w.now, arriving.From, arriving.Body)
	if err != nil {
		w.record.Text("rejected")
	}
	w.send(arriving.To, out)
	w.take(arriving.To)
}

// disturb changes the network, a process, or what a member believes or has stored of the others.
func (w *network) disturb(member int) {
	w.tb.Helper()
	disturbed := &w.processes[member]
	other := w.rng.IntN(len(w.processes))
	kind := w.rng.IntN(16)
	w.record.Text("disturb")
	w.record.Number(int64(kind))
	switch kind {
	case 0, 1, 2: // the network is well
		w.loss, w.duplicate, w.cutShort, w.maxDelay, w.cut = 0, 0, 0, 10_000, uncut
	case 3:
		w.loss = 0.3
	case 4:
		w.duplicate = 0.3
	case 5:
		w.cutShort = 0.03
	case 6: // slow, and out of order
		w.maxDelay = 2 * second
	case 7:
		w.cut = func(from, to int) bool { return from == member && to == other }
	case 8:
		w.cut = func(from, to int) bool { return from%2 != to%2 }
	case 9:
		disturbed.stoppedUntil = max(disturbed.stoppedUntil, w.now+w.rng.Int64N(15*second))
	case 10:
		w.start(member, kinds(), false)
	case 11:
		w.start(member, kinds(), true)
	case 12: // an older program
		w.start(member, kinds()[:1+w.rng.IntN(2)], false)
	case 13:
		disturbed.table.SetAlive(w.believed(member, 0.4))
	case 14:
		disturbed.table.SetAlive(w.believed(member, 0))
	case 15:
		disturbed.table.Drop(other, kinds()[w.rng.IntN(len(kinds()))].Kind)
	}
}

// recordTables records the values and the counters of each member.
func (w *network) recordTables() {
	for i := range w.processes {
		held := w.processes[i].table
		for _, spec := range kinds() {
			held.Each(spec.Kind, func(origin int, e statetable.Entry) {
				w.record.Number(int64(origin))
				w.recordEntry(e)
				if origin == i && e.Incarnation%incarnationSpacing > 0 && e.Incarnation > incarnationSpacing {
					w.refuted++
				}
			})
		}
		counts := held.Counts()
		for _, count := range []uint64{
			counts.Bytes, counts.Packets, counts.Repairs, counts.Stale, counts.Unknown, counts.Invalid,
		} {
			w.record.Unsigned(count)
		}
	}
}
