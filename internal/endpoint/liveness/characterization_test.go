// These are characterisation tests: they record what the monitor holds for silent today, so that a change of names or structure
// can be shown to change none of it. The recorded digests and texts are in testdata/characterization. After a purposeful
// change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/liveness -run TestCharacterization
//
// and the commit has to say why they changed.
package liveness_test

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
	"strings"
	"testing"

	"eidertrail/internal/endpoint/liveness"
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

// scenario is the classes' groups, and the rhythms in which pools tell their states.
type scenario struct {
	name    string
	classes [][]int
	rhythms []int64
	jitter  float64 // the share of its rhythm by which a state may be late
}

func scenarios() []scenario {
	return []scenario{
		{"every class uses all", [][]int{nil, nil}, []int64{500 * millisecond}, 0.1},
		{"quick and slow", [][]int{nil}, []int64{100 * millisecond, 400 * millisecond, 2 * second}, 0.2},
		{"groups", [][]int{{0}, {0, 1}, {2, 1}}, []int64{100 * millisecond, 300 * millisecond}, 0.15},
		{"one class", [][]int{{0, 2}}, []int64{50 * millisecond, 250 * millisecond}, 0.4},
		{"no class", nil, []int64{200 * millisecond}, 0.1},
	}
}

// modelPool is a pool as the generator knows it.
type modelPool struct {
	uid    string
	group  int
	rhythm int64
	next   int64 // when it tells its state next
	hangs  bool
	listed bool
}

// world is the random surroundings of one monitor.
type world struct {
	scenario
	random  *rand.Rand
	monitor *liveness.Monitor
	now     int64
	pools   []*modelPool
	changes int // how often the pools that are silent changed
	silent  string
}

func newWorld(s scenario, seed uint64) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 3)), monitor: liveness.New(s.classes)}
	for i := range 7 {
		w.pools = append(w.pools, &modelPool{
			uid: fmt.Sprintf("p%d", i), group: i % 3, listed: i < 6,
			rhythm: s.rhythms[i%len(s.rhythms)], next: w.random.Int64N(second),
		})
	}
	w.tellRoster()
	return w
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) anyPool() *modelPool { return w.pools[w.random.IntN(len(w.pools))] }

func (w *world) tellRoster() {
	var up []liveness.Endpoint
	for _, p := range w.pools {
		if p.listed {
			up = append(up, liveness.Endpoint{UID: p.uid, Group: p.group})
		}
	}
	w.monitor.UpdateEndpoints(up)
}

// tellNext moves time on to the next state that a pool tells.
func (w *world) tellNext() {
	soonest := w.pools[0]
	for _, p := range w.pools {
		if p.next < soonest.next {
			soonest = p
		}
	}
	w.now = max(w.now, soonest.next)
	soonest.next = w.now + soonest.rhythm + w.random.Int64N(1+int64(w.jitter*float64(soonest.rhythm)))
	if w.chance(0.01) { // a state that is lost or very late
		soonest.next += w.random.Int64N(3 * soonest.rhythm)
	}
	if !soonest.hangs {
		w.monitor.RecordReport(w.now, soonest.uid)
	}
}

// wake moves time on to when the monitor says that something may change, unless a state comes before.
func (w *world) wake() {
	next := w.monitor.Next(w.now)
	for _, p := range w.pools {
		if p.next < next {
			return
		}
	}
	w.now = max(w.now, next)
}

// change changes what is up, what hangs and in which group and rhythm a pool is.
func (w *world) change() {
	p := w.anyPool()
	switch w.random.IntN(10) {
	case 0:
		p.listed = !p.listed
	case 1:
		p.group = w.random.IntN(3)
	case 2:
		p.rhythm = w.rhythms[w.random.IntN(len(w.rhythms))]
	case 3:
		for _, q := range w.pools {
			q.hangs = w.chance(0.5)
		}
	case 4, 5, 6:
		for _, q := range w.pools {
			q.hangs, q.listed = false, q.listed || w.chance(0.5)
		}
	default:
		p.hangs = !p.hangs
	}
	w.tellRoster()
}

// odd tells what should not come: states of nobody, states out of rhythm, and a list told again.
func (w *world) odd() {
	switch w.random.IntN(4) {
	case 0:
		w.monitor.RecordReport(w.now, "nobody")
	case 1:
		w.monitor.RecordReport(w.now, w.anyPool().uid)
	case 2:
		w.tellRoster()
	case 3:
		w.now += w.random.Int64N(4 * second)
	}
}

// step plays one random step and notes which pools are then silent.
func (w *world) step(d *digest) {
	playOne(w.random, []weighted{
		{700, w.tellNext}, {200, w.wake}, {80, func() { w.now += w.random.Int64N(20 * millisecond) }}, {8, w.change}, {4, w.odd},
	})
	d.number(w.now)
	d.number(w.monitor.Next(w.now))
	silent := w.monitor.Silent(w.now)
	d.flag(silent == nil)
	d.number(int64(len(silent)))
	var uids []string
	for _, p := range w.pools {
		d.flag(silent[p.uid])
		d.flag(w.monitor.IsSilent(w.now, p.uid))
		if silent[p.uid] {
			uids = append(uids, p.uid)
		}
	}
	d.flag(w.monitor.IsSilent(w.now, "nobody"))
	if now := strings.Join(uids, " "); now != w.silent {
		w.silent = now
		w.changes++
	}
}

func TestCharacterization_Silence(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(s, uint64(i+1))
		got.WriteString(digestInTenths(strings.ReplaceAll(s.name, " ", "-"), 20_000, w.step))
		t.Logf("%s: the silent pools changed %d times in %d s", s.name, w.changes, w.now/second)
	}
	compareWithRecorded(t, "silence.txt", got.String())
}

// held is from when and until when a pool was silent.
type held struct{ from, until int64 }

// heldOut finds, to the microsecond, when a pool with this rhythm that falls silent is held out while another goes on.
func heldOut(rhythm int64) held {
	m := liveness.New([][]int{nil})
	m.UpdateEndpoints([]liveness.Endpoint{{UID: "falls silent"}, {UID: "goes on"}})
	now := second
	for range 20 {
		now += rhythm
		m.RecordReport(now, "falls silent")
		m.RecordReport(now, "goes on")
	}
	h, last := held{from: -1, until: -1}, now
	for at := last; h.until < 0 && at < last+100*second; {
		// The pool that goes on tells its state when it is due; what may change before that is looked at too.
		if next := m.Next(at); next > 0 && next < now+rhythm {
			at = next
		} else {
			now += rhythm
			at = now
			m.RecordReport(now, "goes on")
		}
		switch silent := m.IsSilent(at, "falls silent"); {
		case silent && h.from < 0:
			h.from = at - last
		case !silent && h.from >= 0:
			h.until = at - last
		}
	}
	return h
}

func TestCharacterization_HeldOutFor(t *testing.T) {
	var got strings.Builder
	got.WriteString("# rhythm, then from when and until when a pool that falls silent is held out: microseconds since its last state\n")
	for _, rhythm := range []int64{20, 100, 200, 239, 240, 241, 400, 499, 500, 501, 1000, 2000, 5000} {
		h := heldOut(rhythm * millisecond)
		fmt.Fprintf(&got, "%d %d %d\n", rhythm*millisecond, h.from, h.until)
	}
	compareWithRecorded(t, "held-out-for.txt", got.String())
}
