package swim_test

import (
	"bytes"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"eidertrail/internal/fleet/swim"
)

const second = int64(1_000_000)

// datagram is one on its way.
type datagram struct {
	at    int64
	order int // of two that arrive at the same time, the one sent first
	to    int
	bytes []byte
}

type datagrams []datagram

func (d datagrams) Len() int { return len(d) }
func (d datagrams) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d datagrams) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *datagrams) Push(x any)   { *d = append(*d, x.(datagram)) }
func (d *datagrams) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// process is one member's, which runs, is stopped until some time, or has crashed (node is nil).
type process struct {
	node         *swim.Node
	next         int64 // when its Tick is wanted
	stoppedUntil int64
	crashAt      int64 // it ends then; 0: not planned
	pingReqAt    int64 // the latest PingReq arrived then
	nacksDue     []int64
}

// network plays members in virtual time. The protocol answers two PingReqs whose Nacks are due in one Tick in the
// order of a map, which differs from run to run; so PingReqs reach a member some time apart, members are ticked
// exactly when they want it, and a stop during which two Nacks come due is long enough to be noticed (none is sent
// then).
type network struct {
	t         *testing.T
	rng       *rand.Rand
	now       int64
	members   int
	processes []process
	queue     datagrams
	order     int
	loss      float64
	duplicate float64
	corrupt   float64
	maxDelay  int64
	cut       func(from, to int) bool
	disturbAt int64
	odd       bool // made-up messages are sent, too
	record    *recording
}

const (
	fleetNumber   = 0x5eed
	pingReqsApart = 100
	nackAfter     = 240_000 // of a probe time-out of 300 ms
	detectedStall = 600_000
	// leavingTick is between the Ticks of a member that has left: with a suspicion running it wants one at once, always.
	leavingTick = 10_000
)

func uncut(int, int) bool { return false }

func newNetwork(t *testing.T, record *recording, members int, seed uint64, odd bool) *network {
	t.Helper()
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 99)), now: second, members: members, odd: odd,
		processes: make([]process, members), maxDelay: 11_000, cut: uncut, record: record, disturbAt: 6 * second,
	}
	for member := range members {
		n.start(member, 1000)
	}
	return n
}

func (n *network) start(member int, incarnation uint64) {
	n.t.Helper()
	node, err := swim.New(swim.DefaultConfig(member, n.members), incarnation, uint64(member)*7+1, n.now)
	if err != nil {
		n.t.Fatal(err)
	}
	n.processes[member] = process{node: node, pingReqAt: n.now}
	n.record.text("start")
	n.record.number(int64(member))
	n.take(member)
}

// take puts what a member wants sent on the network, and records it and the changes.
func (n *network) take(member int) {
	n.t.Helper()
	taken := &n.processes[member]
	out, changes := taken.node.Take()
	for _, change := range changes {
		n.record.text("change")
		n.record.number(int64(change.Member))
		n.record.text(stateName(change.Previous))
		n.record.text(stateName(change.Current))
		n.record.unsigned(change.Incarnation)
	}
	for _, envelope := range out {
		encoded, err := envelope.Append(nil, fleetNumber)
		if err != nil {
			n.t.Fatal(err)
		}
		n.record.text("out")
		n.record.number(int64(envelope.To))
		n.record.data(encoded)
		n.send(member, envelope.To, encoded)
	}
	taken.next = taken.node.Next()
	n.record.number(n.now)
	n.record.number(taken.next)
	if taken.crashAt > 0 {
		taken.next = max(taken.next, n.now+leavingTick)
	}
	n.record.number(int64(taken.node.Health()))
	n.record.unsigned(taken.node.Incarnation())
}

// send loses, doubles, spoils and delays.
func (n *network) send(from, recipient int, b []byte) {
	copies := 1
	if n.rng.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		lost := n.rng.Float64() < n.loss
		delay := 1500 + n.rng.Int64N(n.maxDelay)
		if lost || n.cut(from, recipient) {
			continue
		}
		arriving := bytes.Clone(b)
		if n.rng.Float64() < n.corrupt {
			arriving[n.rng.IntN(len(arriving))] ^= 1 << n.rng.IntN(8)
		}
		n.push(n.now+delay, recipient, arriving)
	}
}

func (n *network) push(at int64, to int, b []byte) {
	n.order++
	heap.Push(&n.queue, datagram{at, n.order, to, b})
}

// run plays so many events: a datagram that arrives, a Tick, a disturbance of the network or of a process.
func (n *network) run(events int) {
	n.t.Helper()
	for range events {
		n.step()
		n.record.event(events)
		if n.record.events%500 == 0 {
			n.recordViews()
		}
	}
}

func (n *network) step() {
	n.t.Helper()
	next, member := n.disturbAt, -1
	for i := range n.processes {
		p := &n.processes[i]
		if p.node == nil {
			continue
		}
		due := p.next
		if p.crashAt > 0 {
			due = min(due, p.crashAt)
		}
		if at := max(due, p.stoppedUntil, n.now); at < next {
			next, member = at, i
		}
	}
	if len(n.queue) > 0 && n.queue[0].at <= next {
		arriving := heap.Pop(&n.queue).(datagram)
		n.now = max(n.now, arriving.at)
		n.arrive(arriving)
		return
	}
	n.now = next
	if member < 0 {
		n.disturb()
		return
	}
	n.record.text("tick")
	n.record.number(int64(member))
	n.processes[member].node.Tick(n.now)
	n.take(member)
	if p := &n.processes[member]; p.crashAt > 0 && n.now >= p.crashAt {
		p.node = nil
	}
}

// arrive hands a datagram to its member, or holds it back while the member is stopped.
func (n *network) arrive(arriving datagram) {
	n.t.Helper()
	receiver := &n.processes[arriving.to]
	n.record.text("arrive")
	n.record.number(int64(arriving.to))
	if receiver.node == nil {
		n.record.text("nobody listens")
		return
	}
	if receiver.stoppedUntil > n.now {
		n.push(receiver.stoppedUntil, arriving.to, arriving.bytes)
		return
	}
	message, err := swim.Parse(arriving.bytes, fleetNumber)
	if err != nil {
		n.record.text("rejected")
		return
	}
	if message.Kind == swim.PingReq {
		if n.now < receiver.pingReqAt+pingReqsApart {
			n.push(receiver.pingReqAt+pingReqsApart, arriving.to, arriving.bytes)
			return
		}
		receiver.pingReqAt = n.now
		receiver.nacksDue = append(receiver.nacksDue, n.now+nackAfter)
	}
	receiver.node.Tick(n.now)
	receiver.node.Receive(n.now, message)
	n.take(arriving.to)
}

// stop stops a process for so long.
func (n *network) stop(member int, duration int64) {
	stopped := &n.processes[member]
	if stopped.stoppedUntil <= n.now {
		stopped.nacksDue = slices.DeleteFunc(stopped.nacksDue, func(at int64) bool { return at < n.now })
	}
	until := max(stopped.stoppedUntil, n.now+duration)
	due := 0
	for _, at := range stopped.nacksDue {
		if at <= until {
			due++
		}
	}
	if due > 1 {
		until = max(until, stopped.nacksDue[0]+detectedStall)
	}
	stopped.stoppedUntil = until
}

// disturb changes the network, or what becomes of a process.
func (n *network) disturb() {
	n.t.Helper()
	n.disturbAt = n.now + second/2 + n.rng.Int64N(5*second)
	member, other := n.rng.IntN(n.members), n.rng.IntN(n.members)
	disturbed := &n.processes[member]
	kind := n.rng.IntN(14)
	n.record.text("disturb")
	n.record.number(int64(kind))
	switch kind {
	case 0, 1, 2: // the network is well
		n.loss, n.duplicate, n.corrupt, n.maxDelay, n.cut = 0, 0, 0, 11_000, uncut
	case 3:
		n.loss = 0.25
	case 4:
		n.duplicate, n.corrupt = 0.2, 0.02
	case 5: // slow, and out of order
		n.maxDelay = 500_000
	case 6:
		n.cut = func(from, to int) bool { return from == member && to == other }
	case 7:
		n.cut = func(from, to int) bool { return from%2 != to%2 }
	case 8:
		n.cut = func(from, to int) bool { return from == member || to == member }
	case 9:
		n.stop(member, 50_000+n.rng.Int64N(400_000))
	case 10:
		n.stop(member, second+n.rng.Int64N(40*second))
	case 11: // a crash, or the start of one that has crashed
		if disturbed.node != nil {
			disturbed.node = nil
			return
		}
		n.start(member, uint64(n.now))
	case 12: // a restart at once, half of them by a clock that was set back
		n.start(member, []uint64{uint64(n.now), 500}[n.rng.IntN(2)])
	case 13:
		if disturbed.node == nil {
			n.start(member, uint64(n.now))
		} else if disturbed.stoppedUntil <= n.now {
			disturbed.node.Tick(n.now)
			disturbed.node.Leave(n.now)
			disturbed.crashAt = n.now + 200_000
			n.take(member)
		}
	}
	if n.odd {
		n.sendOdd()
	}
}

// sendOdd sends made-up messages: members that are not there, states and kinds of no program, stale numbers; and now
// and then more PingReqs than a member takes at a time.
func (n *network) sendOdd() {
	n.t.Helper()
	incarnations := []uint64{0, 1, 500, 1000, 1001, uint64(n.now), uint64(n.now) + 1}
	number := func() int { return n.rng.IntN(n.members + 2) }
	incarnation := func() uint64 { return incarnations[n.rng.IntN(len(incarnations))] }
	for range 3 {
		m := swim.Message{
			Kind: swim.Kind(n.rng.IntN(8)), From: number(), Incarnation: incarnation(),
			Seq: uint32(n.rng.IntN(300)), Target: number(),
		}
		for range n.rng.IntN(8) {
			m.Updates = append(m.Updates, swim.Update{
				Member: number(), State: swim.State(n.rng.IntN(7)),
				Incarnation: incarnation(), From: number(),
			})
		}
		n.sendMade(n.rng.IntN(n.members), m)
	}
	if n.rng.IntN(6) > 0 {
		return
	}
	to, from := n.rng.IntN(n.members), n.rng.IntN(n.members)
	for seq := range 160 {
		target := (to + 1 + n.rng.IntN(n.members-1)) % n.members
		n.sendMade(to, swim.Message{Kind: swim.PingReq, From: from, Incarnation: 1000, Seq: uint32(seq), Target: target})
	}
}

func (n *network) sendMade(to int, m swim.Message) {
	n.t.Helper()
	b, err := m.Append(nil, fleetNumber)
	if err != nil {
		n.t.Fatal(err)
	}
	n.push(n.now+1500+n.rng.Int64N(n.maxDelay), to, b)
}

// recordViews records all that each member holds of the others, and its counters.
func (n *network) recordViews() {
	for i := range n.processes {
		node := n.processes[i].node
		if node == nil {
			n.record.text("crashed")
			continue
		}
		for _, member := range node.View() {
			n.record.text(stateName(member.State))
			n.record.unsigned(member.Incarnation)
			n.record.number(member.Since)
		}
		counts := node.Counts()
		for _, count := range []uint64{
			counts.Probes, counts.Failed, counts.Indirect, counts.Suspicions, counts.Deaths,
			counts.Refutations, counts.Stalls,
		} {
			n.record.unsigned(count)
		}
	}
}

// totals adds up the counts of the processes that run.
func (n *network) totals() swim.Counts {
	total := swim.Counts{}
	for i := range n.processes {
		if node := n.processes[i].node; node != nil {
			counts := node.Counts()
			total.Deaths += counts.Deaths
			total.Indirect += counts.Indirect
			total.Refutations += counts.Refutations
			total.Stalls += counts.Stalls
		}
	}
	return total
}
