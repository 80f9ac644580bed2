package statetable

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// simulationStep is the resolution of a fleet's virtual time, µs.
const simulationStep = 5000

var testKinds = []KindSpec{{Region, "region", 32}, {Versions, "versions", 200}, {Sketch, "sketch", 2048}}

// fleet simulates members in virtual time, with a network that loses, duplicates, delays and partitions.
type fleet struct {
	t             testing.TB
	tables        []*Table
	now           int64
	rng           *rand.Rand
	loss          float64
	duplication   float64
	maxDelaySteps int64
	partitioned   func(from, to int) bool
	inFlight      map[int64][]datagram // by the step in which they arrive
}

type datagram struct {
	from, to int
	body     []byte
}

func newFleet(tb testing.TB, members int) *fleet {
	tb.Helper()
	f := &fleet{
		t:             tb,
		rng:           rand.New(rand.NewPCG(1, 2)),
		maxDelaySteps: 5,
		inFlight:      map[int64][]datagram{},
		partitioned:   func(int, int) bool { return false },
	}
	for member := range members {
		f.tables = append(f.tables, nil)
		f.start(member, members, 1, testKinds)
	}
	return f
}

func (f *fleet) start(member, members int, incarnation uint64, kinds []KindSpec) {
	f.t.Helper()
	cfg := DefaultConfig(member, members, incarnation, uint64(member))
	cfg.Kinds = kinds
	table, err := New(cfg, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	alive := make([]bool, members)
	for i := range alive {
		alive[i] = true
	}
	table.SetAlive(alive)
	f.tables[member] = table
}

func (f *fleet) send(from int, out []Out) {
	f.t.Helper()
	for _, outgoing := range out {
		if len(outgoing.Body) > maxBody {
			f.t.Fatalf("a body of %d bytes", len(outgoing.Body))
		}
		for range 1 + f.chance(f.duplication) {
			if f.chance(f.loss) == 0 && !f.partitioned(from, outgoing.To) {
				at := f.now/simulationStep + 1 + f.rng.Int64N(f.maxDelaySteps)
				f.inFlight[at] = append(f.inFlight[at], datagram{from, outgoing.To, outgoing.Body})
			}
		}
	}
}

// chance is 1 with that probability, else 0.
func (f *fleet) chance(probability float64) int {
	if f.rng.Float64() < probability {
		return 1
	}
	return 0
}

// run lets that much virtual time pass, in µs.
func (f *fleet) run(duration int64) {
	f.t.Helper()
	for end := f.now + duration; f.now < end; f.now += simulationStep {
		arriving := f.inFlight[f.now/simulationStep]
		delete(f.inFlight, f.now/simulationStep)
		for _, incoming := range arriving {
			out, err := f.tables[incoming.to].Receive(f.now, incoming.from, incoming.body)
			if err != nil {
				f.t.Fatal(err)
			}
			f.send(incoming.to, out)
		}
		for member, table := range f.tables {
			if f.now >= table.NextTick() {
				f.send(member, table.Tick(f.now))
			}
		}
	}
}

func (f *fleet) set(member int, kind Kind, value []byte) {
	f.t.Helper()
	if err := f.tables[member].Set(f.now, kind, value); err != nil {
		f.t.Fatal(err)
	}
}

// missing counts the members that do not hold the value that an origin publishes.
func (f *fleet) missing(origin int, kind Kind) int {
	want, _ := f.tables[origin].Get(origin, kind)
	count := 0
	for _, table := range f.tables {
		entry, found := table.Get(origin, kind)
		if !found || entry.Stamp != want.Stamp || !bytes.Equal(entry.Value, want.Value) {
			count++
		}
	}
	return count
}

// runUntil runs until the condition holds, and returns how long that took; it fails after the timeout. Times are in µs.
func (f *fleet) runUntil(what string, timeout int64, condition func() bool) int64 {
	f.t.Helper()
	const pollInterval = 50_000
	start := f.now
	for !condition() {
		if f.now-start >= timeout {
			f.t.Fatalf("not within %d ms: %s", timeout/1000, what)
		}
		f.run(pollInterval)
	}
	return f.now - start
}

// bytesSent is what all members have sent.
func (f *fleet) bytesSent() uint64 {
	total := uint64(0)
	for _, table := range f.tables {
		total += table.Counts().Bytes
	}
	return total
}

// testValue returns bytes of that length which depend on the seed.
func testValue(seed byte, length int) []byte {
	value := make([]byte, length)
	for i := range value {
		value[i] = seed + byte(i*7)
	}
	return value
}
