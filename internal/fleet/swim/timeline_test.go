package swim

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/testing/timeline"
)

// TestTimelines plays the scripts of testdata/timelines: members N, kill I, start I, stop I for a while, leave I, cut
// I>J (or I<>J), lose N%, heal, end. What each member says of another is told when it changes.
func TestTimelines(t *testing.T) {
	timeline.Run(t, "testdata/timelines/*.txtar", func(t *testing.T, steps []timeline.Step) string {
		var w *world
		var events []timeline.Event
		number := func(text string) int {
			n, err := strconv.Atoi(text)
			if err != nil || w == nil || n < 0 || n >= len(w.nodes) {
				t.Fatalf("%q is no member", text)
			}
			return n
		}
		note := func(node int, text string) {
			events = append(events, timeline.Event{At: w.now - second, Node: node, Text: text})
		}
		cuts := timeline.Cuts{}
		for _, s := range steps {
			if w != nil {
				w.run(second + s.At.Microseconds() - w.now)
			}
			switch s.Verb {
			case "members":
				n, _ := strconv.Atoi(s.Args[0])
				w = newWorld(t, n, 1)
				w.seen = func(at int, c Change, n *Node) {
					if c.Previous != c.Current {
						note(at, fmt.Sprintf("%d is %v", c.Member, c.Current))
					}
				}
				w.cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
			case "kill":
				i := number(s.Args[0])
				w.nodes[i] = nil
				note(i, "* killed")
			case "start":
				i := number(s.Args[0])
				note(i, "* started")
				w.start(i, uint64(w.now))
			case "stop":
				i := number(s.Args[0])
				long, err := time.ParseDuration(s.Args[1])
				if err != nil {
					t.Fatal(err)
				}
				w.stop[i] = w.now + long.Microseconds()
				note(i, "* stopped for "+s.Args[1])
			case "leave":
				i := number(s.Args[0])
				note(i, "* leaves")
				w.nodes[i].Leave(w.now)
				w.flush(i)
				w.nodes[i] = nil
			case "cut":
				if err := cuts.Cut(s.Args[0]); err != nil {
					t.Fatal(err)
				}
				note(-1, s.String())
			case "lose":
				n, _ := strconv.Atoi(strings.TrimSuffix(s.Args[0], "%"))
				w.loss = float64(n) / 100
				note(-1, s.String())
			case "heal":
				clear(cuts)
				w.loss = 0
				note(-1, s.String())
			case "end":
			default:
				t.Fatalf("%s: not known", s.Verb)
			}
		}
		names := make([]string, len(w.nodes))
		for i := range names {
			names[i] = fmt.Sprintf("member %d", i)
		}
		return timeline.Draw(names, 100_000, events)
	})
}
