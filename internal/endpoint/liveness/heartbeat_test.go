package liveness

import (
	"fmt"
	"slices"
	"testing"
)

const ms = 1000

// step is one thing that happens at a time, in ms: a pool tells its state, or what is silent is compared.
type step struct {
	at   int64
	told string
	want []string
}

// beats are states of the pools told every gap ms, from the first ms to the last.
func beats(from, to, gap int64, pools ...string) []step {
	var s []step
	for at := from; at <= to; at += gap {
		for _, p := range pools {
			s = append(s, step{at: at, told: p})
		}
	}
	return s
}

func TestSilent(t *testing.T) {
	any := [][]int{nil, nil}
	two := []Endpoint{{"a", 0}, {"b", 1}}
	for _, c := range []struct {
		name    string
		classes [][]int
		pools   []Endpoint
		steps   [][]step
	}{
		{"a pool that stops telling its state is silent once the next is overdue, until it tells again", any, two, [][]step{
			beats(500, 5000, 500, "a", "b"), beats(5500, 5500, 500, "b"),
			{{at: 5500}, {at: 5620}, {at: 5626, want: []string{"a"}}},
			beats(6000, 6000, 500, "b"),
			{{at: 6010, want: []string{"a"}}, {at: 6020, told: "a"}, {at: 6021}},
		}},
		{"a rhythm of 100 ms: sooner", any, two, [][]step{
			beats(100, 3000, 100, "a", "b"), beats(3100, 3200, 100, "b"), {{at: 3159}, {at: 3161, want: []string{"a"}}},
		}},
		{"all silent together: this controller does not hear", any, two, [][]step{
			beats(500, 5000, 500, "a", "b"), {{at: 5700}, {at: 8000}},
		}},
		{"a rhythm not known yet", any, two, [][]step{
			beats(500, 3000, 500, "b"), beats(1500, 2000, 500, "a"), beats(3500, 3500, 1, "b"), {{at: 3600}},
		}},
		{"the only pool of a class stays", [][]int{{0}, {0, 1}}, two, [][]step{
			beats(500, 5000, 500, "a", "b"), beats(5500, 5500, 500, "b"), {{at: 5700}},
		}},
		{"a class with another pool", [][]int{{1}, {0, 1}}, []Endpoint{{"a", 0}, {"b", 1}, {"c", 1}}, [][]step{
			beats(500, 5000, 500, "a", "b", "c"), beats(5500, 5500, 500, "b", "c"), {{at: 5700, want: []string{"a"}}},
		}},
		{"one that stops telling and goes on working is offered again, and judged anew once it tells", any, two, [][]step{
			beats(500, 5000, 500, "a", "b"), beats(5500, 10000, 500, "b"),
			{{at: 9999, want: []string{"a"}}, {at: 10001}},
			beats(10500, 11000, 500, "a", "b"), beats(11500, 12000, 500, "b"),
			{{at: 12100}},
		}},
		{"one lost state does not loosen the rhythm for long", any, two, [][]step{
			beats(500, 5000, 500, "a", "b"), beats(5500, 5500, 500, "b"), beats(6000, 16000, 500, "a", "b"),
			beats(16500, 16500, 500, "b"),
			{{at: 16750, want: []string{"a"}}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(c.classes)
			m.UpdateEndpoints(c.pools)
			for i, s := range slices.Concat(c.steps...) {
				if s.told != "" {
					m.RecordReport(s.at*ms, s.told)
					continue
				}
				var got []string
				for uid := range m.Silent(s.at * ms) {
					got = append(got, uid)
				}
				if slices.Sort(got); !slices.Equal(got, s.want) {
					t.Errorf("step %d, %d ms: silent %v, want %v", i, s.at, got, s.want)
				}
			}
		})
	}
}

// Next must never be later than a change of Silent: the loop sleeps until then.
func TestNextMeetsEveryChange(t *testing.T) {
	m := New([][]int{nil})
	m.UpdateEndpoints([]Endpoint{{"a", 0}, {"b", 0}})
	for at := int64(500); at <= 5000; at += 500 {
		m.RecordReport(at*ms, "a")
		m.RecordReport(at*ms, "b")
	}
	now := int64(5001 * ms)
	for at := now; at < 12_000*ms; at += 500 {
		if at%(500*ms) == 0 {
			m.RecordReport(at, "b")
			now = at
		}
		before, next := fmt.Sprint(m.Silent(now)), m.Next(now)
		if got := fmt.Sprint(m.Silent(at)); got != before {
			if next == 0 || next > at {
				t.Fatalf("at %d: silent went from %s to %s, Next said %d", at, before, got, next)
			}
			now = at
		}
	}
	if m.Next(now) == 0 || len(m.Silent(now)) > 0 {
		t.Errorf("at the end: next %d, silent %v", m.Next(now), m.Silent(now))
	}
}

func TestRosterForgets(t *testing.T) {
	m := New([][]int{nil})
	m.UpdateEndpoints([]Endpoint{{"a", 0}, {"b", 0}})
	for at := int64(500); at <= 5000; at += 500 {
		m.RecordReport(at*ms, "a")
		m.RecordReport(at*ms, "b")
	}
	m.UpdateEndpoints([]Endpoint{{"b", 0}})
	m.UpdateEndpoints([]Endpoint{{"a", 0}, {"b", 0}}) // a new process under the name
	m.RecordReport(5500*ms, "b")
	m.RecordReport(5600*ms, "stranger")
	if s := m.Silent(5700 * ms); len(s) > 0 {
		t.Errorf("silent %v: what was heard before the pool went counts", s)
	}
}
