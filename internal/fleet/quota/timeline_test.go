package quota

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"eidertrail/internal/testing/timeline"
)

// TestTimelines plays the scripts of testdata/timelines over one whole, divided among members that each own 1000 units
// of it and lend all but 250, for 2 s and a margin of 0.5 s: members N, want I UNITS, kill I, start I, stop I for a while,
// cut I<>J, heal, end. What share each member may use is told when it changes, and that the shares of all that run are
// within the whole is checked all along.
func TestTimelines(t *testing.T) {
	const step, tick, way, whole = 10_000, 100_000, 20_000, "pool"
	timeline.Run(t, "testdata/timelines/*.txtar", func(t *testing.T, steps []timeline.Step) string {
		type letter struct {
			at       int64
			from, to int
			body     []byte
		}
		var (
			now     int64
			ledgers []*Allocator
			stopped []int64
			last    []int
			life    uint32
			mail    []letter
			events  []timeline.Event
		)
		cuts := timeline.Cuts{}
		note := func(node int, text string) { events = append(events, timeline.Event{At: now, Node: node, Text: text}) }
		start := func(i int) {
			life++
			l, err := New(Config{Self: i, Members: len(ledgers), Incarnation: life, Unit: 1000, Reserved: 250, TTL: 2_000_000, Margin: 500_000}, now)
			if err != nil {
				t.Fatal(err)
			}
			ledgers[i], last[i] = l, -1
		}
		runs := func(i int) bool { return ledgers[i] != nil && now >= stopped[i] }
		post := func(from int, out []Out) {
			for _, o := range out {
				if !cuts[[2]int{from, o.To}] {
					mail = append(mail, letter{now + way, from, o.To, o.Body})
				}
			}
		}
		turn := func() {
			due := mail
			mail = nil
			for _, m := range due {
				switch {
				case m.at > now || ledgers[m.to] != nil && !runs(m.to): // on its way, or in the socket's buffer
					mail = append(mail, m)
				case ledgers[m.to] != nil:
					out, err := ledgers[m.to].Receive(now, m.from, m.body)
					if err != nil {
						t.Fatal(err)
					}
					post(m.to, out)
				}
			}
			sum := 0
			for i, l := range ledgers {
				if !runs(i) { // it decides nothing
					continue
				}
				if now%tick == 0 {
					alive := make([]bool, len(ledgers))
					for j := range alive {
						alive[j] = ledgers[j] != nil && !cuts[[2]int{i, j}]
					}
					l.SetAlive(alive)
					post(i, l.Tick(now))
				}
				share := l.Quota(now, whole)
				if sum += share; share != last[i] {
					note(i, strconv.Itoa(share))
					last[i] = share
				}
			}
			if most := 1000 * len(ledgers); sum > most {
				t.Errorf("at %.2f s shares of %d in all, of %d", float64(now)/1e6, sum, most)
			}
		}
		for _, s := range steps {
			for ; now < s.At.Microseconds(); now += step {
				turn()
			}
			member := func() int {
				i, err := strconv.Atoi(s.Args[0])
				if err != nil || i < 0 || i >= len(ledgers) {
					t.Fatalf("%s: no member", s)
				}
				return i
			}
			switch s.Verb {
			case "members":
				n, _ := strconv.Atoi(s.Args[0])
				ledgers, stopped, last = make([]*Allocator, n), make([]int64, n), make([]int, n)
				for i := range n {
					start(i)
				}
			case "want":
				units, _ := strconv.Atoi(s.Args[1])
				note(member(), "* wants "+s.Args[1])
				ledgers[member()].Demand(now, whole, units)
			case "kill":
				note(member(), "* killed")
				ledgers[member()] = nil
			case "start":
				note(member(), "* started")
				start(member())
			case "stop":
				long, err := time.ParseDuration(s.Args[1])
				if err != nil {
					t.Fatal(err)
				}
				note(member(), "* stopped for "+s.Args[1])
				stopped[member()] = now + long.Microseconds()
			case "cut":
				if err := cuts.Cut(s.Args[0]); err != nil {
					t.Fatal(err)
				}
				note(-1, s.String())
			case "heal":
				clear(cuts)
				note(-1, s.String())
			case "end":
			default:
				t.Fatalf("%s: not known", s.Verb)
			}
		}
		var names []string
		for i := range ledgers {
			names = append(names, fmt.Sprintf("share of member %d", i))
		}
		return timeline.Draw(names, 100_000, events)
	})
}
