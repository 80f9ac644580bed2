// These are characterisation tests: they record what the merged endpoint set holds today, so that a change of names or
// structure can be shown to change none of it. The recorded digests and texts are in testdata/characterization. After
// a purposeful change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/endpointset -run TestCharacterization
//
// and the commit has to say why they changed.
package endpointset_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/remedy"
	"eidertrail/internal/testing/recorded"
)

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// scenario is a configuration and its random surroundings.
type scenario struct {
	name          string
	config        endpointset.Config
	addresses     int  // how many addresses there are in all
	changesConfig bool // while the set is in use
}

func scenarios() []scenario {
	base := endpointset.Config{
		MaxStale: 10 * second, DrainTimeout: 4 * second, TombstoneTTL: 6 * second, MaxRecords: 64, MaxEndpoints: 1024,
	}
	tight := base
	tight.MaxRecords, tight.MaxEndpoints = 3, 4
	long := endpointset.Config{
		MaxStale: 100 * second, DrainTimeout: 60 * second, TombstoneTTL: 100 * second, MaxRecords: 8, MaxEndpoints: 8,
	}
	return []scenario{
		{"base", base, 12, false},
		{"few addresses", base, 4, false},
		{"tight bounds", tight, 12, false},
		{"no times", endpointset.Config{MaxRecords: 8, MaxEndpoints: 8}, 8, false},
		{"long times", long, 8, false},
		{"new bounds", base, 8, true},
	}
}

// world is the random surroundings of one set.
type world struct {
	scenario
	random *rand.Rand
	set    *endpointset.Set
	now    int64
	busy   map[string]bool // endpoints with established calls, by UID
	view   []endpointset.Endpoint
}

func newWorld(tb testing.TB, s scenario, seed uint64) *world {
	tb.Helper()
	set, err := endpointset.New(s.config)
	if err != nil {
		tb.Fatal(err)
	}
	return &world{scenario: s, random: rand.New(rand.NewPCG(seed, 2)), set: set, now: second, busy: map[string]bool{}}
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

func (w *world) name() string { return fmt.Sprintf("_sip._tcp.n%d.example.org", w.random.IntN(3)) }

// address is one that the endpoint list and the names share; at times it is empty or has no port.
func (w *world) address(mayBeOdd bool) string {
	if mayBeOdd && w.chance(0.03) {
		return [...]string{"", "nowhere", "127.0.0.9"}[w.random.IntN(3)]
	}
	i := w.random.IntN(w.addresses)
	return fmt.Sprintf("127.0.0.%d:%d", i/2, 5060+i%2)
}

func (w *world) state() endpointset.State {
	switch w.random.IntN(8) {
	case 0:
		return endpointset.Removed
	case 1, 2:
		return endpointset.Draining
	}
	return endpointset.Up
}

// listEntry is an entry of the endpoint list. A UID mostly stays at one address.
func (w *world) listEntry(i int) endpointset.ListEntry {
	entry := endpointset.ListEntry{
		UID: fmt.Sprintf("p%d", i), Group: i % 3, Zone: [...]string{"", "batumi", "tbilisi"}[i%3], State: w.state(),
		Address: fmt.Sprintf("127.0.0.%d:%d", i%w.addresses/2, 5060+i%w.addresses%2),
	}
	if w.chance(0.1) {
		entry.Address = w.address(true)
	}
	if entry.State == endpointset.Removed && w.chance(0.5) {
		entry.Address = ""
	}
	if w.chance(0.5) {
		entry.StartedAt = w.now - w.random.Int64N(second)
	}
	return entry
}

func (w *world) updateList() {
	all := w.chance(0.2)
	var pools []endpointset.ListEntry
	for i := range 10 {
		if all && w.chance(0.7) || !all && w.chance(0.15) {
			pools = append(pools, w.listEntry(i))
		}
	}
	w.set.UpdateList(w.now, all, pools)
}

func (w *world) updateRecords() {
	count := w.random.IntN(7)
	records := make([]endpointset.Record, 0, count)
	for range count {
		address := w.address(true)
		r := endpointset.Record{
			Target: "t." + address, Address: address, Priority: uint16(w.random.IntN(3)),
			Weight: uint16(w.random.IntN(4)), TTL: w.random.Int64N(8 * second),
		}
		switch {
		case w.chance(0.1): // a target that moves
			r.Target = "moves.example.org"
		case w.chance(0.05):
			r.TTL = 0
		case w.chance(0.02):
			r.TTL = -second
		}
		records = append(records, r)
	}
	w.set.UpdateRecords(w.now, w.name(), records)
}

// redeclareName declares a name, at times with another group and zone.
func (w *world) redeclareName() {
	w.set.AddName(w.name(), w.random.IntN(3), [...]string{"", "batumi"}[w.random.IntN(2)])
}

func (w *world) changeConfig(results *recorded.Digest) {
	if !w.changesConfig {
		return
	}
	c := endpointset.Config{
		MaxStale: w.random.Int64N(20*second) - second, DrainTimeout: w.random.Int64N(8*second) - second/2,
		TombstoneTTL: w.random.Int64N(10*second) - second/2, MaxRecords: w.random.IntN(6), MaxEndpoints: w.random.IntN(10),
	}
	results.Flag(w.set.SetConfig(c) == nil)
}

func (w *world) advance() {
	w.set.Advance(w.now, func(uid string) bool { return w.busy[uid] })
}

func (w *world) changeBusy() {
	if len(w.view) > 0 {
		uid := w.view[w.random.IntN(len(w.view))].UID
		w.busy[uid] = !w.busy[uid]
	}
}

// pass moves time on: by a little, or to when the set says that something changes.
func (w *world) pass() {
	switch drawn := w.random.IntN(20); {
	case drawn < 4: // nothing passes
	case drawn < 8:
		if next := w.set.Next(); next > w.now {
			w.now = next
		}
	default:
		w.now += w.random.Int64N(600 * millisecond)
	}
}

// step plays one random step and notes what the set then holds.
func (w *world) step(results *recorded.Digest) {
	w.pass()
	recorded.PlayOne(w.random, []recorded.WeightedStep{
		{Weight: 20, Play: w.updateRecords},
		{Weight: 14, Play: w.updateList},
		{Weight: 3, Play: w.redeclareName},
		{Weight: 1, Play: func() { w.set.RemoveName(w.name()) }},
		{Weight: 12, Play: w.changeBusy},
		{Weight: 45, Play: w.advance},
		{Weight: 2, Play: func() { w.set.Advance(w.now, nil) }},
		{Weight: 1, Play: func() { w.changeConfig(results) }},
	})
	results.Number(w.now)
	results.Number(w.set.Next())
	if w.chance(0.9) {
		view, changed := w.set.View(w.now)
		w.view = view
		results.Flag(changed)
	}
	w.note(results)
}

func (w *world) note(results *recorded.Digest) {
	results.Flag(w.set.Draining())
	for _, name := range w.set.Names() {
		results.Text(name)
	}
	results.Number(int64(len(w.view)))
	for _, endpoint := range w.view {
		noteEndpoint(results, endpoint)
	}
	ordered := slices.Clone(w.view)
	endpointset.Order(ordered)
	for _, endpoint := range ordered {
		results.Text(endpoint.Address)
	}
	results.Text(endpointset.Describe(w.view))
	counts := w.set.Counts()
	for _, n := range []uint64{
		counts.Conflicts, counts.Expired, counts.Vanished, counts.Dropped, counts.Drained, counts.StaleServed,
	} {
		results.Number(int64(n))
	}
}

func noteEndpoint(results *recorded.Digest, endpoint endpointset.Endpoint) {
	results.Text(endpoint.UID)
	results.Text(endpoint.Address)
	results.Number(int64(endpoint.Group))
	results.Text(endpoint.Zone)
	results.Number(endpoint.StartedAt)
	results.Number(int64(endpoint.Priority))
	results.Number(int64(endpoint.Weight))
	switch endpoint.State {
	case endpointset.Up:
		results.Text("up")
	case endpointset.Draining:
		results.Text("draining")
	case endpointset.Removed:
		results.Text("removed")
	default:
		results.Text("another state")
	}
	results.Text(endpoint.Sources)
}

func TestCharacterization_PoolSet(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(t, s, uint64(i+1))
		got.WriteString(recorded.DigestInTenths(strings.ReplaceAll(s.name, " ", "-"), 10_000, w.step))
		c := w.set.Counts()
		t.Logf("%s: conflicts %d, expired %d, vanished %d, dropped %d, drained %d, served stale %d",
			s.name, c.Conflicts, c.Expired, c.Vanished, c.Dropped, c.Drained, c.StaleServed)
	}
	recorded.Compare(t, "pool-set.txt", got.String())
}

func TestCharacterization_StateWords(t *testing.T) {
	var got strings.Builder
	for _, s := range []endpointset.State{
		endpointset.Up, endpointset.Draining, endpointset.Removed, endpointset.Removed + 1,
	} {
		fmt.Fprintln(&got, s.String())
	}
	recorded.Compare(t, "state-words.txt", got.String())
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	var got strings.Builder
	set, err := endpointset.New(endpointset.Config{MaxRecords: 1, MaxEndpoints: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		config endpointset.Config
	}{
		{"nothing wrong", endpointset.Config{MaxRecords: 1, MaxEndpoints: 1}},
		{"stale for negative", endpointset.Config{MaxStale: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"drain for negative", endpointset.Config{DrainTimeout: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"tombstone negative", endpointset.Config{TombstoneTTL: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"most records 0", endpointset.Config{MaxEndpoints: 1}},
		{"most pools 0", endpointset.Config{MaxRecords: 1}},
	} {
		_, err := endpointset.New(test.config)
		got.WriteString(recorded.ErrorLine("new, "+test.name, err, remedy.Of(err)))
		err = set.SetConfig(test.config)
		got.WriteString(recorded.ErrorLine("bounds, "+test.name, err, remedy.Of(err)))
	}
	recorded.Compare(t, "config-errors.txt", got.String())
}
