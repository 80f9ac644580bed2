// These are characterisation tests: they record what the merged pool set holds today, so that a change of names or structure
// can be shown to change none of it. The recorded digests and texts are in testdata/characterization. After a purposeful
// change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/endpointset -run TestCharacterization
//
// and the commit has to say why they changed.
package endpointset_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/remedy"
)

// recorded is the directory of the recorded results.
const recorded = "testdata/characterization"

// compareWithRecorded compares the text of a run with the recorded file, or writes the file when EIDERTRAIL_UPDATE is 1.
func compareWithRecorded(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join(recorded, file)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(recorded, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) || line != wantLines[i] {
			t.Fatalf("%s: first difference in line %d:\ngot  %s\nwant %s", path, i+1, line, strings.Join(wantLines[i:min(i+1, len(wantLines))], ""))
		}
	}
	t.Fatalf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
}

// digest hashes results in an encoding of its own: numbers, reals and words, each with its length or of fixed length.
type digest struct {
	hash    hash.Hash
	encoded []byte
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) number(n int64) { d.encoded = binary.AppendVarint(d.encoded, n) }

func (d *digest) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}

func (d *digest) real(x float64) {
	d.encoded = binary.BigEndian.AppendUint64(d.encoded, math.Float64bits(x))
}

func (d *digest) word(s string) {
	d.number(int64(len(s)))
	d.encoded = append(d.encoded, s...)
}

// sum is the digest of all results so far.
func (d *digest) sum() string {
	d.hash.Write(d.encoded)
	d.encoded = d.encoded[:0]
	return hex.EncodeToString(d.hash.Sum(nil))
}

// digestInTenths plays a case of so many steps and returns a line for each tenth of it: the case's name and the tenth,
// the steps played until then and the digest of all results until then.
func digestInTenths(name string, steps int, play func(d *digest)) string {
	d, lines := newDigest(), &strings.Builder{}
	for i := 1; i <= steps; i++ {
		play(d)
		if i%(steps/10) == 0 {
			fmt.Fprintf(lines, "%s/%02d %d %s\n", name, i/(steps/10), i, d.sum())
		}
	}
	return lines.String()
}

// weighted is a kind of step, drawn as often as its weight says.
type weighted struct {
	weight int
	play   func()
}

// playOne plays a step drawn at random.
func playOne(random *rand.Rand, steps []weighted) {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	drawn := random.IntN(total)
	for _, s := range steps {
		if drawn -= s.weight; drawn < 0 {
			s.play()
			return
		}
	}
}

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// scenario is a configuration, and how much of the random surroundings tells of the same pools.
type scenario struct {
	name      string
	config    endpointset.Config
	addresses int // how many addresses there are in all
	rebound   bool
}

func scenarios() []scenario {
	base := endpointset.Config{StaleFor: 10 * second, DrainFor: 4 * second, Tombstone: 6 * second, MaxRecords: 64, MaxEndpoints: 1024}
	tight := base
	tight.MaxRecords, tight.MaxEndpoints = 3, 4
	return []scenario{
		{"base", base, 12, false},
		{"few addresses", base, 4, false},
		{"tight bounds", tight, 12, false},
		{"no times", endpointset.Config{MaxRecords: 8, MaxEndpoints: 8}, 8, false},
		{"long times", endpointset.Config{StaleFor: 100 * second, DrainFor: 60 * second, Tombstone: 100 * second, MaxRecords: 8, MaxEndpoints: 8}, 8, false},
		{"new bounds", base, 8, true},
	}
}

// world is the random surroundings of one set.
type world struct {
	scenario
	random  *rand.Rand
	set     *endpointset.Set
	now     int64
	busy    map[string]bool // pools where calls stand, by uid
	members []endpointset.Endpoint
}

func newWorld(t *testing.T, s scenario, seed uint64) *world {
	t.Helper()
	set, err := endpointset.New(s.config)
	if err != nil {
		t.Fatal(err)
	}
	return &world{scenario: s, random: rand.New(rand.NewPCG(seed, 2)), set: set, now: second, busy: map[string]bool{}}
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) name() string { return fmt.Sprintf("_sip._tcp.n%d.example.org", w.random.IntN(3)) }

// address is one that the bulletin and the names share; at times it is empty or has no port.
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

// bulletinPool is a line of the bulletin. A uid mostly stays at one address.
func (w *world) bulletinPool(i int) endpointset.ListEntry {
	p := endpointset.ListEntry{
		UID: fmt.Sprintf("p%d", i), Group: i % 3, Zone: [...]string{"", "batumi", "tbilisi"}[i%3], State: w.state(),
		Address: fmt.Sprintf("127.0.0.%d:%d", i%w.addresses/2, 5060+i%w.addresses%2),
	}
	if w.chance(0.1) {
		p.Address = w.address(true)
	}
	if p.State == endpointset.Removed && w.chance(0.5) {
		p.Address = ""
	}
	if w.chance(0.5) {
		p.StartedAt = w.now - w.random.Int64N(second)
	}
	return p
}

func (w *world) bulletin() {
	all := w.chance(0.2)
	var pools []endpointset.ListEntry
	for i := range 10 {
		if all && w.chance(0.7) || !all && w.chance(0.15) {
			pools = append(pools, w.bulletinPool(i))
		}
	}
	w.set.UpdateList(w.now, all, pools)
}

func (w *world) records() {
	var records []endpointset.Record
	for range w.random.IntN(7) {
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

// nameAgain declares a name, at times with another group and zone.
func (w *world) nameAgain() {
	w.set.AddName(w.name(), w.random.IntN(3), [...]string{"", "batumi"}[w.random.IntN(2)])
}

func (w *world) bounds(d *digest) {
	if !w.rebound {
		return
	}
	c := endpointset.Config{
		StaleFor: w.random.Int64N(20*second) - second, DrainFor: w.random.Int64N(8*second) - second/2,
		Tombstone: w.random.Int64N(10*second) - second/2, MaxRecords: w.random.IntN(6), MaxEndpoints: w.random.IntN(10),
	}
	d.flag(w.set.SetConfig(c) == nil)
}

func (w *world) advance() {
	w.set.Advance(w.now, func(uid string) bool { return w.busy[uid] })
}

func (w *world) calls() {
	if len(w.members) > 0 {
		uid := w.members[w.random.IntN(len(w.members))].UID
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
func (w *world) step(d *digest) {
	w.pass()
	playOne(w.random, []weighted{
		{20, w.records},
		{14, w.bulletin},
		{3, w.nameAgain},
		{1, func() { w.set.RemoveName(w.name()) }},
		{12, w.calls},
		{45, w.advance},
		{2, func() { w.set.Advance(w.now, nil) }},
		{1, func() { w.bounds(d) }},
	})
	d.number(w.now)
	d.number(w.set.Next())
	if w.chance(0.9) {
		members, changed := w.set.View(w.now)
		w.members = members
		d.flag(changed)
	}
	w.note(d)
}

func (w *world) note(d *digest) {
	d.flag(w.set.Draining())
	for _, name := range w.set.Names() {
		d.word(name)
	}
	d.number(int64(len(w.members)))
	for _, m := range w.members {
		noteMember(d, m)
	}
	ordered := slices.Clone(w.members)
	endpointset.Order(ordered)
	for _, m := range ordered {
		d.word(m.Address)
	}
	d.word(endpointset.Describe(w.members))
	counts := w.set.Counts()
	for _, n := range []uint64{counts.Conflicts, counts.Expired, counts.Vanished, counts.Dropped, counts.Drained, counts.StaleServed} {
		d.number(int64(n))
	}
}

func noteMember(d *digest, m endpointset.Endpoint) {
	d.word(m.UID)
	d.word(m.Address)
	d.number(int64(m.Group))
	d.word(m.Zone)
	d.number(m.StartedAt)
	d.number(int64(m.Priority))
	d.number(int64(m.Weight))
	switch m.State {
	case endpointset.Up:
		d.word("up")
	case endpointset.Draining:
		d.word("draining")
	case endpointset.Removed:
		d.word("removed")
	default:
		d.word("another state")
	}
	d.word(m.Sources)
}

func TestCharacterization_PoolSet(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(t, s, uint64(i+1))
		got.WriteString(digestInTenths(strings.ReplaceAll(s.name, " ", "-"), 10_000, w.step))
		c := w.set.Counts()
		t.Logf("%s: conflicts %d, expired %d, vanished %d, dropped %d, drained %d, served stale %d", s.name, c.Conflicts, c.Expired,
			c.Vanished, c.Dropped, c.Drained, c.StaleServed)
	}
	compareWithRecorded(t, "pool-set.txt", got.String())
}

func TestCharacterization_StateWords(t *testing.T) {
	var got strings.Builder
	for _, s := range []endpointset.State{endpointset.Up, endpointset.Draining, endpointset.Removed, endpointset.Removed + 1} {
		fmt.Fprintln(&got, s.String())
	}
	compareWithRecorded(t, "state-words.txt", got.String())
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	var got strings.Builder
	set, err := endpointset.New(endpointset.Config{MaxRecords: 1, MaxEndpoints: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		config endpointset.Config
	}{
		{"nothing wrong", endpointset.Config{MaxRecords: 1, MaxEndpoints: 1}},
		{"stale for negative", endpointset.Config{StaleFor: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"drain for negative", endpointset.Config{DrainFor: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"tombstone negative", endpointset.Config{Tombstone: -1, MaxRecords: 1, MaxEndpoints: 1}},
		{"most records 0", endpointset.Config{MaxEndpoints: 1}},
		{"most pools 0", endpointset.Config{MaxRecords: 1}},
	} {
		_, err := endpointset.New(c.config)
		got.WriteString(errorLine("new, "+c.name, err))
		got.WriteString(errorLine("bounds, "+c.name, set.SetConfig(c.config)))
	}
	compareWithRecorded(t, "config-errors.txt", got.String())
}

// errorLine is a case's line in the recorded file: its name, what the error says, and what the operator can do.
func errorLine(name string, err error) string {
	if err == nil {
		return name + " | no error |\n"
	}
	return strings.TrimRight(name+" | "+err.Error()+" | "+remedy.Of(err), " ") + "\n"
}
