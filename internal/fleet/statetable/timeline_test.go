package statetable

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/testing/timeline"
)

// TestTimelines plays the scripts of testdata/timelines: members N, tell I REGION, observe I BYTES (a sketch of so many),
// kill I, start I INCARNATION, old I INCARNATION (a program that knows regions alone), cut I<>J, lose N%, double N%, heal,
// end. What each member learns is told.
func TestTimelines(t *testing.T) {
	timeline.Run(t, "testdata/timelines/*.txtar", func(t *testing.T, steps []timeline.Step) string {
		var f *fleet
		var events []timeline.Event
		note := func(node int, text string) {
			events = append(events, timeline.Event{At: f.now, Node: node, Text: text})
		}
		number := func(text string) int {
			n, err := strconv.Atoi(strings.TrimSuffix(text, "%"))
			if err != nil {
				t.Fatalf("%q is no number", text)
			}
			return n
		}
		cuts, dead := timeline.Cuts{}, map[int]bool{}
		for _, s := range steps {
			for f != nil && f.now < s.At.Microseconds() {
				f.run(step)
				for i, x := range f.tables {
					for _, c := range x.Take() {
						text := fmt.Sprintf("%d in %s", c.Origin, c.Value)
						if c.Kind == Sketch {
							text = fmt.Sprintf("%d observed %d bytes", c.Origin, len(c.Value))
						}
						note(i, text)
					}
				}
			}
			member := func() int { return number(s.Args[0]) }
			switch s.Verb {
			case "members":
				f = newFleet(t, number(s.Args[0]))
				f.cut = func(from, to int) bool { return cuts[[2]int{from, to}] || dead[from] || dead[to] }
			case "tell":
				note(member(), "* in "+s.Args[1])
				f.set(member(), Region, []byte(s.Args[1]))
			case "observe":
				note(member(), "* observes "+s.Args[1]+" bytes")
				f.set(member(), Sketch, value(byte(f.now/step), number(s.Args[1])))
			case "kill":
				note(member(), "* killed")
				dead[member()] = true
			case "start", "old":
				known, text := kinds, "* started"
				if s.Verb == "old" {
					known, text = kinds[:1], "* started, an older program"
				}
				note(member(), text)
				delete(dead, member())
				f.start(member(), len(f.tables), uint64(number(s.Args[1])), known)
			case "cut":
				if err := cuts.Cut(s.Args[0]); err != nil {
					t.Fatal(err)
				}
				note(-1, s.String())
			case "lose":
				f.loss = float64(member()) / 100
				note(-1, s.String())
			case "double":
				f.double = float64(member()) / 100
				note(-1, s.String())
			case "heal":
				clear(cuts)
				f.loss, f.double = 0, 0
				note(-1, s.String())
			case "end":
			default:
				t.Fatalf("%s: not known", s.Verb)
			}
		}
		names := make([]string, len(f.tables))
		for i := range names {
			names[i] = fmt.Sprintf("member %d", i)
		}
		return timeline.Draw(names, 100_000, events)
	})
}
