package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const (
	second = int64(1_000_000)
	// testFleetID is the fleet of all datagrams of these tests.
	testFleetID = 1
	// minLatency and latencySpread bound the time that a datagram takes, in µs.
	minLatency    = 1500
	latencySpread = 9500
)

// testFleet is a fleet on a network in virtual time: datagrams take 1.5 to 11 ms, and are lost or cut off as a test
// wants. Every datagram goes through the codec.
type testFleet struct {
	t            testing.TB
	cfg          Config
	rng          *rand.Rand
	now          int64
	nodes        []*Node // nil: it has crashed
	stoppedUntil []int64 // nothing is read or done before
	loss         float64
	cut          func(from, to int) bool
	queue        flights
	onChange     func(at int, change Change, n *Node)
}

// flight is a datagram on its way.
type flight struct {
	at    int64
	to    int
	bytes []byte
}

// flights is a heap by the time of arrival.
type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].at < f[j].at }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

func newTestFleet(tb testing.TB, members int, seed uint64) *testFleet {
	tb.Helper()
	fleet := &testFleet{
		t:            tb,
		cfg:          DefaultConfig(0, members),
		rng:          rand.New(rand.NewPCG(seed, 1)),
		now:          second,
		nodes:        make([]*Node, members),
		stoppedUntil: make([]int64, members),
		cut:          func(int, int) bool { return false },
		onChange:     func(int, Change, *Node) {},
	}
	for i := range members {
		fleet.start(i, 1000)
	}
	return fleet
}

func (f *testFleet) start(member int, incarnation uint64) {
	f.t.Helper()
	cfg := f.cfg
	cfg.Self = member
	node, err := New(cfg, incarnation, 7, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[member] = node
	f.flush(member)
}

// flush puts a node's messages on the network.
func (f *testFleet) flush(member int) {
	f.t.Helper()
	out, changes := f.nodes[member].Take()
	for _, change := range changes {
		f.onChange(member, change, f.nodes[member])
	}
	for _, envelope := range out {
		encoded, err := envelope.Append(nil, testFleetID)
		if err != nil || len(encoded) > MaxDatagram {
			f.t.Fatalf("datagram of %d bytes, %v", len(encoded), err)
		}
		if f.rng.Float64() >= f.loss && !f.cut(member, envelope.To) {
			at := f.now + minLatency + f.rng.Int64N(latencySpread)
			heap.Push(&f.queue, flight{at: at, to: envelope.To, bytes: encoded})
		}
	}
}

// run plays the fleet for so long.
func (f *testFleet) run(duration int64) {
	f.t.Helper()
	for end := f.now + duration; ; {
		next, member := f.nextTick(end)
		if len(f.queue) > 0 && f.queue[0].at <= next {
			f.arrive(heap.Pop(&f.queue).(flight))
			continue
		}
		f.now = next
		if member < 0 {
			return
		}
		f.nodes[member].Tick(f.now)
		f.flush(member)
	}
}

// nextTick returns the member that wants to be ticked first, and when; -1 where that is not before the end.
func (f *testFleet) nextTick(end int64) (next int64, member int) {
	next, member = end, -1
	for i, node := range f.nodes {
		if node == nil {
			continue
		}
		if at := max(node.Next(), f.stoppedUntil[i], f.now); at < next {
			next, member = at, i
		}
	}
	return next, member
}

func (f *testFleet) arrive(arriving flight) {
	f.t.Helper()
	f.now = max(f.now, arriving.at)
	node := f.nodes[arriving.to]
	if node == nil { // nobody listens
		return
	}
	if until := f.stoppedUntil[arriving.to]; until > f.now { // it stays in the socket's buffer
		heap.Push(&f.queue, flight{at: until, to: arriving.to, bytes: arriving.bytes})
		return
	}
	m, err := Parse(arriving.bytes, testFleetID)
	if err != nil {
		f.t.Fatal(err)
	}
	node.Tick(f.now)
	node.Receive(f.now, m)
	f.flush(arriving.to)
}

// stop stops a member's process for so long.
func (f *testFleet) stop(member int, duration int64) { f.stoppedUntil[member] = f.now + duration }

// heldStates returns the states in which the others that run hold a member: one word if they agree.
func (f *testFleet) heldStates(member int) string {
	var states []string
	for i, node := range f.nodes {
		if node != nil && i != member {
			states = append(states, node.View()[member].State.String())
		}
	}
	slices.Sort(states)
	return strings.Join(slices.Compact(states), " ")
}

func (f *testFleet) requireHeld(member int, want string) {
	f.t.Helper()
	if got := f.heldStates(member); got != want {
		f.t.Errorf("at %.1f s the others hold member %d %s, want %s", float64(f.now)/1e6, member, got, want)
	}
}

// forbidDeaths fails the test when a member that runs is declared dead from now on.
func (f *testFleet) forbidDeaths() {
	f.onChange = func(at int, change Change, n *Node) {
		if change.Current == Dead && f.nodes[change.Member] != nil {
			f.t.Errorf("at %.1f s member %d holds %d dead (health %d)",
				float64(f.now)/1e6, at, change.Member, n.Health())
		}
	}
}

// fleetSize is the size of a fleet to test, and the seed of its network.
type fleetSize struct {
	members int
	seed    uint64
}

func (s fleetSize) String() string { return fmt.Sprintf("%d members, seed %d", s.members, s.seed) }

// fleetSizes are several sizes, with several seeds each.
func fleetSizes() []fleetSize {
	const seeds = 5
	members := []int{3, 5, 9}
	sizes := make([]fleetSize, 0, len(members)*seeds)
	for _, members := range members {
		for seed := range uint64(seeds) {
			sizes = append(sizes, fleetSize{members: members, seed: seed})
		}
	}
	return sizes
}
