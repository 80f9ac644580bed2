package quota

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const (
	ttl    = int64(2_000_000)
	margin = ttl / 4
	pool   = "p1"
)

// fleet is a few members' books, and the messages between them, which a test delivers, loses or holds back.
// Each member has a clock of its own: the slow one's runs a tenth slower.
type fleet struct {
	cfg     Config
	clock   []int64
	rate    []int64 // tenths
	books   []*Allocator
	flight  []message
	steps   []string
	restart func(f *fleet, m int) // starts a member anew
}

type message struct {
	from, to int
	body     string
}

func newFleet(members int, cfg Config, slow int) *fleet {
	f := &fleet{cfg: cfg, clock: make([]int64, members), rate: make([]int64, members), books: make([]*Allocator, members), restart: anew}
	f.cfg.Members = members
	for m := range members {
		f.clock[m], f.rate[m] = 1_000_000, 10
		if m == slow {
			f.rate[m] = 9
		}
		f.start(m, 1)
		f.pass(m, 2*ttl) // all leases of earlier lives have run out
	}
	return f
}

func (f *fleet) start(m int, life uint32) {
	cfg := f.cfg
	cfg.Self, cfg.Incarnation = m, life
	l, err := New(cfg, f.clock[m])
	if err != nil {
		panic(err)
	}
	alive := make([]bool, cfg.Members)
	for i := range alive {
		alive[i] = true
	}
	l.SetAlive(alive)
	f.books[m] = l
}

// anew starts a member in its next life.
func anew(f *fleet, m int) { f.start(m, uint32(f.books[m].req>>32)+1) }

func (f *fleet) pass(m int, time int64) { f.clock[m] += time * f.rate[m] / 10 }

func (f *fleet) send(from int, out []Out) {
	for _, o := range out {
		f.flight = append(f.flight, message{from, o.To, string(o.Body)})
	}
}

func (f *fleet) deliver(i int) {
	m := f.flight[i]
	f.flight = slices.Delete(f.flight, i, i+1)
	out, err := f.books[m.to].Receive(f.clock[m.to], m.from, []byte(m.body))
	if err != nil {
		panic(err)
	}
	f.send(m.to, out)
}

// sum is what is in force at all members together.
func (f *fleet) sum() int {
	sum := 0
	for m, l := range f.books {
		sum += l.Quota(f.clock[m], pool)
	}
	return sum
}

// action is one thing that may happen; it tells whether it could.
type action struct {
	name string
	do   func(f *fleet) bool
}

// actions are all that may happen to a fleet: a member wants all or nothing, asks, starts anew; a message
// arrives, in any order, or is lost; time passes for all.
func actions(members int) []action {
	var as []action
	for m := range members {
		as = append(as,
			action{fmt.Sprintf("%d wants all", m), func(f *fleet) bool {
				f.books[m].Demand(f.clock[m], pool, f.books[m].Total())
				f.send(m, f.books[m].Tick(f.clock[m]))
				return true
			}},
			action{fmt.Sprintf("%d wants nothing", m), func(f *fleet) bool {
				f.books[m].Demand(f.clock[m], pool, 0)
				f.send(m, f.books[m].Tick(f.clock[m]))
				return true
			}},
			action{fmt.Sprintf("%d starts anew", m), func(f *fleet) bool {
				f.restart(f, m)
				return true
			}})
	}
	for i := range 3 {
		as = append(as,
			action{fmt.Sprintf("message %d arrives", i), func(f *fleet) bool {
				if i >= len(f.flight) {
					return false
				}
				f.deliver(i)
				return true
			}},
			action{fmt.Sprintf("message %d is lost", i), func(f *fleet) bool {
				if i >= len(f.flight) {
					return false
				}
				f.flight = slices.Delete(f.flight, i, i+1)
				return true
			}})
	}
	return append(as, action{"half a lease passes", func(f *fleet) bool {
		for m := range f.books {
			f.pass(m, ttl/2+1)
		}
		return true
	}})
}

// fingerprint is all of a fleet's state that what may still happen depends on, with times as seen from now.
func (f *fleet) fingerprint() string {
	var b strings.Builder
	for m, l := range f.books {
		now := f.clock[m]
		r := l.resources[pool]
		fmt.Fprintf(&b, "|%d ", max(l.freshTill-now, 0))
		if r == nil {
			continue
		}
		fmt.Fprintf(&b, "w%d ", r.wants)
		for o := range f.books {
			a, asked := r.asked[o]
			fmt.Fprintf(&b, "%v%d,%d;", asked, max(a.at+ttl-now, 0), l.req-a.req)
			if x := r.borrowed[o]; x.until > now {
				fmt.Fprintf(&b, "b%d,%d;", x.units, x.until-now)
			}
			for _, g := range r.lent[o] {
				if g.until > now {
					fmt.Fprintf(&b, "l%d,%d,%d;", g.units, g.until-now, f.books[o].req-g.req)
				}
			}
		}
	}
	for _, x := range f.flight {
		_, req, units, _, _ := decode([]byte(x.body))
		fmt.Fprintf(&b, "~%d%d%d:%d:%d", x.from, x.to, x.body[0], units, req)
	}
	return b.String()
}

// search plays every order of actions up to so many steps, and returns the steps to a state in which more than
// the whole is in force, "" if there is none. States that were seen before are not gone on from.
func search(members, depth int, begin func() *fleet) (found string, states int) {
	as := actions(members)
	seen := map[string]bool{}
	frontier := [][]int{nil}
	for range depth {
		var next [][]int
		for _, path := range frontier {
			for i := range as {
				f := begin()
				for _, j := range path {
					as[j].do(f)
				}
				if !as[i].do(f) {
					continue
				}
				p := append(slices.Clone(path), i)
				if f.sum() > f.books[0].Total() {
					var names []string
					for _, j := range p {
						names = append(names, as[j].name)
					}
					return fmt.Sprintf("%d of %d units in force after: %s", f.sum(), f.books[0].Total(), strings.Join(names, ", ")), states
				}
				if k := f.fingerprint(); !seen[k] {
					seen[k] = true
					states++
					next = append(next, p)
				}
			}
		}
		frontier = next
	}
	return "", states
}

// Every order of wants, questions, answers, losses, restarts and time, for two members and for three, one of
// which has a slower clock: what is in force never sums to more than the whole. And the search does find what
// it looks for: without the margin, without the wait after a start, or with one name for all lives it does.
func TestSharesNeverSumToMoreThanTheWhole(t *testing.T) {
	good := Config{Unit: 4, Reserved: 1, TTL: ttl, Margin: margin}
	for _, c := range []struct {
		name           string
		members, depth int
		cfg            Config
		restart        func(f *fleet, m int)
		broken         bool
	}{
		{"two members", 2, 7, good, anew, false}, // 8 steps take a minute with the race detector
		{"three members", 3, 5, good, anew, false},
		{"no margin, and a slow clock", 2, 8, Config{Unit: 4, Reserved: 1, TTL: ttl}, anew, true},
		{"a start that does not wait", 2, 8, good, func(f *fleet, m int) { anew(f, m); f.books[m].freshTill = 0 }, true},
		{"one name for all lives", 2, 10, good, func(f *fleet, m int) { f.start(m, 1) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			found, states := search(c.members, c.depth, func() *fleet {
				f := newFleet(c.members, c.cfg, 1)
				f.restart = c.restart
				return f
			})
			t.Logf("%d states; %s", states, found)
			if (found != "") != c.broken {
				t.Errorf("found %q, want a violation: %v", found, c.broken)
			}
		})
	}
}

// How long it takes until a member that needs all gets what the others can spare: when it begins to, when another
// that had borrowed dies or stops needing it, and when it has itself just started. Messages take 5 ms, and every
// member looks at its books each 100 ms.
func TestTimeToDivideAnew(t *testing.T) {
	const tick, delay, members = 100_000, 5_000, 5
	cfg := Config{Unit: 1000, Reserved: 250, TTL: ttl, Margin: margin}
	most := 1000 + (members-1)*750
	for _, c := range []struct {
		name   string
		change func(f *fleet)
		within int64 // µs
	}{
		{"it begins to need it", func(f *fleet) { f.books[0].Demand(f.clock[0], pool, 0) }, 500_000},
		{"the one that had it stops needing it", func(f *fleet) { f.books[0].Demand(f.clock[0], pool, 0) }, margin + ttl},
		{"the one that had it dies", func(f *fleet) { f.books[0] = nil }, ttl + margin + ttl},
		{"the one that had it starts anew", func(f *fleet) { anew(f, 0) }, ttl + margin + ttl},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(members, cfg, -1)
			later := map[int64][]message{} // by when they arrive
			now := int64(0)
			step := func() {
				now += delay
				for m := range f.books {
					f.pass(m, delay)
				}
				for _, x := range later[now] {
					if f.books[x.to] != nil {
						f.flight = append(f.flight[:0], x)
						f.deliver(0)
					}
					later[now+delay] = append(later[now+delay], f.flight...)
					f.flight = f.flight[:0]
				}
				if now%tick == 0 {
					for m, l := range f.books {
						if l != nil {
							f.send(m, l.Tick(f.clock[m]))
						}
					}
					later[now+delay] = append(later[now+delay], f.flight...)
					f.flight = f.flight[:0]
				}
			}
			if c.name != "it begins to need it" {
				f.books[0].Demand(f.clock[0], pool, f.books[0].Total())
				for range 10 * ttl / delay {
					step()
				}
				if got := f.books[0].Quota(f.clock[0], pool); got != most {
					t.Fatalf("the first holds %d of %d units before", got, most)
				}
			}
			c.change(f)
			f.books[1].Demand(f.clock[1], pool, f.books[1].Total())
			want := most
			if f.books[0] == nil {
				want -= 750 // its own share is nobody's
			}
			began := now
			for f.books[1].Quota(f.clock[1], pool) < want*9/10 {
				step()
				sum := 0
				for m, l := range f.books {
					if l != nil {
						sum += l.Quota(f.clock[m], pool)
					}
				}
				if sum > members*1000 {
					t.Fatalf("%d units in force", sum)
				}
				if now-began > c.within {
					t.Fatalf("after %d ms it holds %d of %d units", c.within/1000, f.books[1].Quota(f.clock[1], pool), want)
				}
			}
			t.Logf("after %d ms", (now-began)/1000)
		})
	}
}
