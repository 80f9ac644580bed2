package statetable

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

// fleet plays members in virtual time, with a network that loses, doubles, delays and cuts.
type fleet struct {
	t       *testing.T
	tables  []*Table
	now     int64
	rng     *rand.Rand
	loss    float64
	double  float64
	jitter  int64
	cut     func(from, to int) bool
	waiting map[int64][]letter // by the step in which they come
}

type letter struct {
	from, to int
	body     []byte
}

const step = 5000

var kinds = []Spec{{Region, "region", 32}, {Versions, "versions", 200}, {Sketch, "sketch", 2048}}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(1, 2)), jitter: 5, waiting: map[int64][]letter{}, cut: func(int, int) bool { return false }}
	for i := range n {
		f.tables = append(f.tables, nil)
		f.start(i, n, 1, kinds)
	}
	return f
}

func (f *fleet) start(i, n int, incarnation uint64, kinds []Spec) {
	cfg := Default(i, n, incarnation, uint64(i))
	cfg.Kinds = kinds
	t, err := New(cfg, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	alive := make([]bool, n)
	for j := range alive {
		alive[j] = true
	}
	t.SetAlive(alive)
	f.tables[i] = t
}

func (f *fleet) post(from int, out []Out) {
	for _, o := range out {
		if len(o.Body) > mostBody {
			f.t.Fatalf("a body of %d bytes", len(o.Body))
		}
		for range 1 + f.chance(f.double) {
			if f.chance(f.loss) == 0 && !f.cut(from, o.To) {
				at := f.now/step + 1 + f.rng.Int64N(f.jitter)
				f.waiting[at] = append(f.waiting[at], letter{from, o.To, o.Body})
			}
		}
	}
}

func (f *fleet) chance(p float64) int {
	if f.rng.Float64() < p {
		return 1
	}
	return 0
}

// run plays for so long.
func (f *fleet) run(long int64) {
	for until := f.now + long; f.now < until; f.now += step {
		due := f.waiting[f.now/step]
		delete(f.waiting, f.now/step)
		for _, l := range due {
			out, err := f.tables[l.to].Receive(f.now, l.from, l.body)
			if err != nil {
				f.t.Fatal(err)
			}
			f.post(l.to, out)
		}
		for i, t := range f.tables {
			if f.now >= t.Next() {
				f.post(i, t.Tick(f.now))
			}
		}
	}
}

func (f *fleet) set(i int, k Kind, value []byte) {
	f.t.Helper()
	if err := f.tables[i].Set(f.now, k, value); err != nil {
		f.t.Fatal(err)
	}
}

// lacking is how many members do not hold the value that an origin tells.
func (f *fleet) lacking(origin int, k Kind) int {
	want, _ := f.tables[origin].Get(origin, k)
	n := 0
	for _, t := range f.tables {
		if e, is := t.Get(origin, k); !is || e.Stamp != want.Stamp || !bytes.Equal(e.Value, want.Value) {
			n++
		}
	}
	return n
}

// until plays until cond holds, and fails after so long.
func (f *fleet) until(what string, most int64, cond func() bool) int64 {
	f.t.Helper()
	from := f.now
	for !cond() {
		if f.now-from >= most {
			f.t.Fatalf("not within %d ms: %s", most/1000, what)
		}
		f.run(50_000)
	}
	return f.now - from
}

// sent is the bytes that all have sent.
func (f *fleet) sent() (n uint64) {
	for _, x := range f.tables {
		n += x.Counts().Bytes
	}
	return n
}

func value(seed byte, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = seed + byte(i*7)
	}
	return b
}

// Values of one fragment and of many reach every member, with a fifth of the datagrams lost and a fifth doubled.
func TestValuesReachAll(t *testing.T) {
	for _, n := range []int{2, 3, 9, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if n > 60 && os.Getenv("EIDERTRAIL_MEASURE") == "" {
				t.Skip("long")
			}
			f := newFleet(t, n)
			f.loss, f.double, f.jitter = 0.2, 0.2, 20
			for i := range f.tables {
				f.set(i, Region, []byte{byte('a' + i%4)})
			}
			f.set(1, Sketch, value(3, 2048))
			took := f.until("all regions and the sketch", 60_000_000, func() bool {
				for i := range f.tables {
					if f.lacking(i, Region) > 0 {
						return false
					}
				}
				return f.lacking(1, Sketch) == 0
			})
			sent := f.sent()
			t.Logf("%d members: %.1f s, %.0f bytes a member a second", n, float64(took)/1e6, float64(sent)/float64(n)/(float64(took)/1e6))
			f.loss, f.double = 0, 0
			f.run(20_000_000) // the last rumours
			before := f.sent()
			f.run(10_000_000)
			sent = f.sent()
			quiet := float64(sent-before) / float64(n) / 10
			t.Logf("%d members: %.0f bytes a member a second with no news", n, quiet)
			if most := float64(1+4*mostBlocks) * 2 * 1.05; quiet > most {
				t.Errorf("%.0f bytes a member a second with no news, want at most a digest each interval, %.0f", quiet, most)
			}
		})
	}
}

// A value that changes faster than it can be passed on is held by all, some seconds old.
func TestValueThatChangesWhileItComes(t *testing.T) {
	f := newFleet(t, 9)
	f.loss = 0.2
	for i := range 120 {
		f.set(0, Sketch, value(byte(i), 2000))
		f.run(250_000)
	}
	for i, x := range f.tables {
		e, is := x.Get(0, Sketch)
		if !is {
			t.Errorf("member %d holds none", i)
			continue
		}
		if newest := int(byte(119)) - int(e.Value[0]); newest > 60 {
			t.Errorf("member %d holds what it was %d changes ago, 15 s and more", i, newest)
		}
	}
}

// Programs that know different kinds run side by side: those that know one exchange it, also through the others.
func TestUnknownKindsArePassedOver(t *testing.T) {
	f := newFleet(t, 6)
	for i := 1; i < 4; i++ { // older programs, half of the fleet
		f.start(i, 6, 2, kinds[:1])
	}
	for i := range f.tables {
		f.set(i, Region, []byte("north"))
	}
	f.set(0, Sketch, value(1, 700))
	f.until("regions at all, the sketch at the new programs", 60_000_000, func() bool {
		return f.lacking(2, Region)+f.lacking(0, Region) == 0 && f.lacking(0, Sketch) == 3
	})
	var e *ValueError
	if err := f.tables[1].Set(f.now, Sketch, nil); !errors.As(err, &e) || e.Kind != Sketch {
		t.Errorf("a kind that is not registered: %v", err)
	}
}

// Nothing that comes is taken twice, and no older value after a newer one, whatever the order.
func TestNewestWholeOneCounts(t *testing.T) {
	a, b := newFleet(t, 2).tables[0], newFleet(t, 2).tables[1]
	var bodies [][]byte
	for i := range 4 {
		a.Set(0, Sketch, value(byte(i), 400))
		for _, o := range a.Tick(int64(i) * 1_000_000) {
			if o.Body[0] == fragmentsMessage {
				bodies = append(bodies, o.Body)
			}
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		rng.Shuffle(len(bodies), func(i, j int) { bodies[i], bodies[j] = bodies[j], bodies[i] })
		last := uint32(0)
		for _, body := range append(slices.Clone(bodies), bodies...) {
			if _, err := b.Receive(1, 0, body); err != nil {
				t.Fatal(err)
			}
			for _, c := range b.Take() {
				if c.Version <= last {
					t.Errorf("version %d after %d", c.Version, last)
				}
				if !bytes.Equal(c.Value, value(byte(c.Version-1), 400)) {
					t.Errorf("version %d is put together wrongly", c.Version)
				}
				last = c.Version
			}
		}
		b.Drop(0, Sketch)
	}
}

func FuzzReceive(f *testing.F) {
	a := newFleet(&testing.T{}, 3).tables[0]
	a.Set(0, Versions, []byte("hello"))
	a.Set(0, Sketch, value(1, 500))
	for _, o := range a.Tick(0) {
		f.Add(o.Body)
	}
	f.Add(a.lines(0, 3)[0])
	f.Fuzz(func(t *testing.T, body []byte) {
		b := newFleet(t, 3).tables[1]
		b.Set(0, Versions, []byte("mine"))
		out, err := b.Receive(0, 0, body)
		var e *MessageError
		if err != nil && !errors.As(err, &e) {
			t.Errorf("%v is no MessageError", err)
		}
		for _, o := range out {
			if len(o.Body) > mostBody || o.To != 0 {
				t.Errorf("%d bytes for member %d", len(o.Body), o.To)
			}
		}
		if e, is := b.Get(1, Versions); !is || string(e.Value) != "mine" {
			t.Errorf("its own value is %q", e.Value)
		}
		for _, s := range kinds {
			b.Each(s.Kind, func(_ int, e Entry) {
				if len(e.Value) > roundUp(s.MaxLength) {
					t.Errorf("a value of %d bytes for %s", len(e.Value), s.Name)
				}
			})
		}
	})
}
