package swim

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const second = int64(1_000_000)

// world is a fleet on a network in virtual time: datagrams take 1.5 to 11 ms, and are lost or cut as a test
// says. Every datagram goes through the codec.
type world struct {
	t     *testing.T
	cfg   Config
	rng   *rand.Rand
	now   int64
	nodes []*Node // nil: it has crashed
	stop  []int64 // it is stopped until then: nothing is read or done
	loss  float64
	cut   func(from, to int) bool
	queue flights
	sent  int // datagrams
	bytes int
	most  int                             // bytes of the longest
	seen  func(at int, c Change, n *Node) // of every change
}

type flight struct {
	at    int64
	to    int
	bytes []byte
}

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

func newWorld(t *testing.T, members int, seed uint64) *world {
	w := &world{
		t: t, cfg: Default(0, members), rng: rand.New(rand.NewPCG(seed, 1)), now: second,
		cut: func(int, int) bool { return false }, seen: func(int, Change, *Node) {},
		nodes: make([]*Node, members), stop: make([]int64, members),
	}
	for i := range members {
		w.start(i, 1000)
	}
	return w
}

func (w *world) start(i int, incarnation uint64) {
	cfg := w.cfg
	cfg.Self = i
	n, err := New(cfg, incarnation, 7, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[i] = n
	w.flush(i)
}

// flush puts what a node wants sent on the network.
func (w *world) flush(i int) {
	out, changes := w.nodes[i].Take()
	for _, c := range changes {
		w.seen(i, c, w.nodes[i])
	}
	for _, o := range out {
		b, err := o.Message.Append(nil, 1)
		if err != nil || len(b) > MaxDatagram {
			w.t.Fatalf("datagram of %d bytes, %v", len(b), err)
		}
		w.sent++
		w.bytes += len(b)
		w.most = max(w.most, len(b))
		if w.rng.Float64() >= w.loss && !w.cut(i, o.To) {
			heap.Push(&w.queue, flight{w.now + 1500 + w.rng.Int64N(9500), o.To, b})
		}
	}
}

// run goes on for so long.
func (w *world) run(long int64) {
	for end := w.now + long; ; {
		next, who := end, -1
		for i, n := range w.nodes {
			if n != nil {
				if at := max(n.Next(), w.stop[i], w.now); at < next {
					next, who = at, i
				}
			}
		}
		if len(w.queue) > 0 && w.queue[0].at <= next {
			f := heap.Pop(&w.queue).(flight)
			w.now = max(w.now, f.at)
			switch n := w.nodes[f.to]; {
			case n == nil: // nobody listens
			case w.stop[f.to] > w.now: // it stays in the socket's buffer
				heap.Push(&w.queue, flight{w.stop[f.to], f.to, f.bytes})
			default:
				m, err := Parse(f.bytes, 1)
				if err != nil {
					w.t.Fatal(err)
				}
				n.Tick(w.now)
				n.Receive(w.now, m)
				w.flush(f.to)
			}
			continue
		}
		w.now = next
		if who < 0 {
			return
		}
		w.nodes[who].Tick(w.now)
		w.flush(who)
	}
}

// views is what the living hold of each other, "1:alive 2:dead" if all agree.
func (w *world) hold(member int) string {
	var all []string
	for i, n := range w.nodes {
		if n != nil && i != member {
			all = append(all, n.View()[member].State.String())
		}
	}
	slices.Sort(all)
	return strings.Join(slices.Compact(all), " ")
}

func (w *world) wantHeld(member int, want string) {
	w.t.Helper()
	if got := w.hold(member); got != want {
		w.t.Errorf("at %.1f s the others hold member %d %s, want %s", float64(w.now)/1e6, member, got, want)
	}
}

// noDeaths fails the test when any member that runs is declared dead from now on.
func (w *world) noDeaths() {
	w.seen = func(at int, c Change, n *Node) {
		if c.Current == Dead && w.nodes[c.Member] != nil {
			w.t.Errorf("at %.1f s member %d holds %d dead (health %d)", float64(w.now)/1e6, at, c.Member, n.Health())
		}
	}
}

func eachSize(t *testing.T, test func(t *testing.T, members int, seed uint64)) {
	for _, members := range []int{3, 5, 9} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d members, seed %d", members, seed), func(t *testing.T) { test(t, members, seed) })
		}
	}
}

func TestAllKnowAllSoon(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(second / 10)
		for i := range members {
			w.wantHeld(i, "alive")
		}
	})
}

func TestACrashIsKnownEverywhereWithinTheBound(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(20 * second)
		w.noDeaths()
		w.nodes[1] = nil
		w.run(w.cfg.DetectionTime())
		w.wantHeld(1, "dead")
		w.start(1, 2000) // and it comes back
		w.run(second)
		w.wantHeld(1, "alive")
		if v := w.nodes[0].View()[1]; v.Incarnation < 2000 {
			t.Errorf("incarnation %d, want the new process's", v.Incarnation)
		}
	})
}

// With nobody to ask, a crash is still known soon: the one that is left does not take it for its own ill health
// again and again.
func TestACrashInAFleetOfTwo(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(20 * second)
	w.nodes[1] = nil
	w.run(15 * second)
	w.wantHeld(1, "dead")
	w.run(120 * second)
	if h := w.nodes[0].Health(); h > 1 {
		t.Errorf("health score %d of a member that is left alone", h)
	}
	suspected := 0
	w.seen = func(_ int, c Change, _ *Node) {
		if c.Current == Suspect {
			suspected++
		}
	}
	for life := range uint64(8) { // at any moment of a probe of the dead one
		w.start(1, 2000+life)
		w.run(4 * second)
		w.wantHeld(1, "alive")
		w.nodes[1] = nil
		before := suspected
		w.run(20*second + int64(life)*second/8)
		suspected = before
	}
	if suspected > 0 {
		t.Errorf("one that came back was suspected %d times, for a probe of its last life", suspected)
	}
}

// A member that comes back with a clock that was set back claims a lower incarnation than its last.
func TestARestartWithTheClockSetBack(t *testing.T) {
	w := newWorld(t, 5, 1)
	w.run(10 * second)
	w.nodes[2] = nil
	w.run(w.cfg.DetectionTime())
	w.start(2, 500)
	w.run(10 * second)
	w.wantHeld(2, "alive")
	w.nodes[3] = nil // and one that restarts before anyone noticed
	w.start(3, 500)
	w.run(10 * second)
	w.wantHeld(3, "alive")
	if v := w.nodes[0].View(); v[2].Incarnation <= 1000 || v[3].Incarnation < 1000 || w.nodes[3].Incarnation() != v[3].Incarnation {
		t.Errorf("incarnations %d and %d, want over the old ones", v[2].Incarnation, v[3].Incarnation)
	}
}

func TestLossKillsNobody(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(5 * second)
		w.loss = 0.2
		w.noDeaths()
		w.run(300 * second)
		for i := range members {
			if got := w.hold(i); got != "alive" && got != "alive suspect" && got != "suspect" {
				t.Errorf("member %d is held %s", i, got)
			}
		}
	})
}

func TestAOneSidedCutKillsNobody(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(5 * second)
		w.noDeaths()
		w.cut = func(from, to int) bool { return from == 0 && to == 1 }
		w.run(120 * second)
		w.wantHeld(1, "alive")
		w.wantHeld(0, "alive")
		if w.nodes[0].Counts().Indirect == 0 {
			t.Error("nobody was asked to probe")
		}
	})
}

func TestPauses(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(10 * second)
		least, _, _ := w.cfg.suspicion(members)
		w.noDeaths()
		w.stop[1] = w.now + least*3/4 // shorter than any suspicion lasts
		w.run(w.stop[1] - w.now + 30*second)
		w.wantHeld(1, "alive")

		before := w.nodes[1].Incarnation()
		falsely := 0
		w.seen = func(at int, c Change, n *Node) {
			if c.Current == Dead && c.Member != 1 {
				falsely++
			}
		}
		w.stop[1] = w.now + 2*w.cfg.DetectionTime()
		w.run(w.stop[1] - w.now)
		w.wantHeld(1, "dead")
		w.run(10 * second) // it goes on, hears that it was held dead, and refutes it
		w.wantHeld(1, "alive")
		if falsely > 0 || w.nodes[1].Incarnation() <= before || w.nodes[1].Counts().Stalls == 0 {
			t.Errorf("%d of the others declared dead, incarnation %d after %d, %d standstills", falsely,
				w.nodes[1].Incarnation(), before, w.nodes[1].Counts().Stalls)
		}
	})
}

func TestPartitionAndHealing(t *testing.T) {
	eachSize(t, func(t *testing.T, members int, seed uint64) {
		w := newWorld(t, members, seed)
		w.run(5 * second)
		w.cut = func(from, to int) bool { return from%2 != to%2 }
		w.run(2 * w.cfg.DetectionTime())
		for i, m := range w.nodes[0].View() {
			if want := map[int]State{0: Alive, 1: Dead}[i%2]; m.State != want {
				t.Errorf("member 0 holds %d %v, want %v", i, m.State, want)
			}
		}
		w.cut = func(int, int) bool { return false }
		w.run(60 * second)
		for i := range members {
			w.wantHeld(i, "alive")
		}
	})
}

func TestLeaving(t *testing.T) {
	w := newWorld(t, 5, 3)
	w.run(5 * second)
	w.noDeaths()
	w.nodes[4].Leave(w.now)
	w.flush(4)
	w.run(second / 10)
	w.nodes[4] = nil
	w.wantHeld(4, "left")
	w.run(60 * second)
	w.wantHeld(4, "left")
	w.start(4, 2000)
	w.run(second)
	w.wantHeld(4, "alive")
}

// A node that hears badly accuses nobody quickly: its suspicions last longer.
func TestBadHealthSlowsVerdicts(t *testing.T) {
	w := newWorld(t, 5, 1)
	w.run(5 * second)
	w.cut = func(from, to int) bool { return to == 0 } // member 0 hears nothing, but is heard
	w.run(30 * second)
	if h := w.nodes[0].Health(); h < mostHealth/2 {
		t.Errorf("health score %d of a member that hears nothing", h)
	}
	w.cut = func(int, int) bool { return false }
	w.run(120 * second)
	if h := w.nodes[0].Health(); h != 0 {
		t.Errorf("health score %d after two good minutes", h)
	}
	for i := range w.nodes {
		w.wantHeld(i, "alive")
	}
}

func TestBadConfigNamesTheField(t *testing.T) {
	for field, change := range map[string]func(c *Config){
		"peers:":          func(c *Config) { c.Members = 0 },
		"index:":          func(c *Config) { c.Self = 9 },
		"probe_interval:": func(c *Config) { c.Interval = 1 },
		"probe_timeout:":  func(c *Config) { c.Timeout = c.Interval },
		"indirect:":       func(c *Config) { c.Indirect = -1 },
		"suspicion_mult:": func(c *Config) { c.SuspicionMult = 1 },
		"suspicion_max:":  func(c *Config) { c.SuspicionMax = 0 },
		"retransmit:":     func(c *Config) { c.Retransmit = 0 },
	} {
		c := Default(0, 5)
		change(&c)
		if _, err := New(c, 1, 1, 0); !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s %v", field, err)
		}
	}
}

func TestDatagrams(t *testing.T) {
	full := Message{Kind: Ack, From: 3, Incarnation: 1 << 60, Seq: 77, Target: 255}
	for i := range MaxUpdates + 3 { // what does not fit is left out
		full.Updates = append(full.Updates, Update{i, Suspect, uint64(i) << 40, 9})
	}
	b, err := full.Append([]byte("before"), 5)
	if err != nil || len(b)-6 > MaxDatagram {
		t.Fatalf("%d bytes, %v", len(b)-6, err)
	}
	b = b[6:]
	m, err := Parse(b, 5)
	if err != nil || len(m.Updates) != MaxUpdates || m.Updates[3] != full.Updates[3] || m.Seq != 77 || m.Target != 255 {
		t.Errorf("%+v, %v", m, err)
	}
	body := Message{Kind: User, Body: bytes.Repeat([]byte("x"), MaxBody)}
	if c, err := body.Append(nil, 5); err != nil || len(c) != MaxDatagram {
		t.Errorf("%d bytes, %v", len(c), err)
	}
	body.Body = append(body.Body, 'x')
	if _, err := body.Append(nil, 5); err == nil {
		t.Error("a body that does not fit was taken")
	}
	flipped := bytes.Clone(b)
	flipped[40] ^= 1
	for what, bad := range map[string][]byte{
		"short": b[:20], "cut": b[:len(b)-1], "flipped": flipped, "empty": nil,
		"long": append(bytes.Clone(b), make([]byte, 100)...),
	} {
		if _, err := Parse(bad, 5); !errors.Is(err, ErrDatagram) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := Parse(b, 6); !errors.Is(err, ErrDatagram) {
		t.Errorf("of another fleet: %v", err)
	}
}

// FuzzReceive feeds a node datagrams of any content, between ticks: it never fails, always holds itself alive,
// sends nothing over 256 bytes, and never goes back in a member's incarnation.
func FuzzReceive(f *testing.F) {
	good, _ := Message{Kind: Ping, From: 1, Incarnation: 5, Target: 0, Updates: []Update{{0, Dead, 9, 2}, {2, Suspect, 1, 3}}}.Append(nil, 1)
	f.Add(good, uint8(3))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		n, err := New(Default(0, 4), 10, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(0)
		for i := 0; i+headSize-4 <= len(b) && i < 16*headSize; i += headSize - 4 {
			// What a checksum would not let through is put in past it.
			head := b[i : i+headSize-4]
			m := Message{
				Kind: Kind(head[0] % byte(kinds)), From: int(head[1] % 6), Target: int(head[2] % 6), Seq: uint32(head[3]),
				Incarnation: uint64(head[4]), Updates: []Update{{int(head[5] % 6), State(head[6] % 7), uint64(head[7]), int(head[8])}},
			}
			before := n.View()
			now += int64(step) * 50_000
			n.Tick(now)
			n.Receive(now, m)
			out, _ := n.Take()
			for _, o := range out {
				if d, err := o.Message.Append(nil, 1); err != nil || len(d) > MaxDatagram || o.To == 0 {
					t.Fatalf("to %d, %d bytes, %v", o.To, len(d), err)
				}
			}
			for j, v := range n.View() {
				if v.Incarnation < before[j].Incarnation {
					t.Fatalf("member %d went from incarnation %d to %d", j, before[j].Incarnation, v.Incarnation)
				}
			}
			if n.View()[0].State != Alive {
				t.Fatalf("holds itself %v", n.View()[0].State)
			}
			n.Next()
		}
		if _, err := Parse(b, 1); err != nil && !errors.Is(err, ErrDatagram) {
			t.Fatal(err)
		}
	})
}
