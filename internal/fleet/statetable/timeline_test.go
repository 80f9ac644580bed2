package statetable

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/testing/timeline"
)

// TestTimelines runs the scripts of testdata/timelines and compares the events of each member with the recorded ones.
// The verbs are members N, tell I REGION, observe I BYTES (a sketch of that length), kill I, start I INCARNATION, old I
// INCARNATION (a program that knows regions alone), cut I<>J, lose N%, double N%, heal, end.
func TestTimelines(t *testing.T) {
	timeline.Run(t, "testdata/timelines/*.txtar", func(t *testing.T, steps []timeline.Step) string {
		t.Helper()
		script := &timelineScript{t: t, cuts: timeline.Cuts{}, dead: map[int]bool{}}
		for _, step := range steps {
			for script.fleet != nil && script.fleet.now < step.At.Microseconds() {
				script.fleet.run(simulationStep)
				script.noteChanges()
			}
			script.execute(step)
		}
		names := make([]string, len(script.fleet.tables))
		for member := range names {
			names[member] = fmt.Sprintf("member %d", member)
		}
		return timeline.Render(names, 100_000, script.events)
	})
}

// timelineScript is the state of one script.
type timelineScript struct {
	t      *testing.T
	fleet  *fleet
	events []timeline.Event
	cuts   timeline.Cuts
	dead   map[int]bool
}

const allMembers = -1 // the node of an event that concerns the network

func (s *timelineScript) note(node int, text string) {
	s.events = append(s.events, timeline.Event{At: s.fleet.now, Node: node, Text: text})
}

func (s *timelineScript) noteChanges() {
	for member, table := range s.fleet.tables {
		for _, change := range table.TakeChanges() {
			text := fmt.Sprintf("%d in %s", change.Origin, change.Value)
			if change.Kind == Sketch {
				text = fmt.Sprintf("%d observed %d bytes", change.Origin, len(change.Value))
			}
			s.note(member, text)
		}
	}
}

func (s *timelineScript) number(text string) int {
	s.t.Helper()
	number, err := strconv.Atoi(strings.TrimSuffix(text, "%"))
	if err != nil {
		s.t.Fatalf("%q is no number", text)
	}
	return number
}

func (s *timelineScript) execute(step timeline.Step) {
	s.t.Helper()
	first := 0 // the first argument: a member, or a number
	switch step.Verb {
	case "members", "tell", "observe", "kill", "start", "old", "lose", "double":
		first = s.number(step.Args[0])
	}
	switch step.Verb {
	case "members":
		s.fleet = newFleet(s.t, first)
		s.fleet.partitioned = func(from, to int) bool {
			return s.cuts[[2]int{from, to}] || s.dead[from] || s.dead[to]
		}
	case "tell":
		s.note(first, "* in "+step.Args[1])
		s.fleet.set(first, Region, []byte(step.Args[1]))
	case "observe":
		s.note(first, "* observes "+step.Args[1]+" bytes")
		s.fleet.set(first, Sketch, testValue(byte(s.fleet.now/simulationStep), s.number(step.Args[1])))
	case "kill":
		s.note(first, "* killed")
		s.dead[first] = true
	case "start":
		s.restart(first, "* started", s.number(step.Args[1]), testKinds)
	case "old":
		s.restart(first, "* started, an older program", s.number(step.Args[1]), testKinds[:1])
	case "cut":
		if err := s.cuts.Cut(step.Args[0]); err != nil {
			s.t.Fatal(err)
		}
		s.note(allMembers, step.String())
	case "lose":
		s.fleet.loss = float64(first) / 100
		s.note(allMembers, step.String())
	case "double":
		s.fleet.duplication = float64(first) / 100
		s.note(allMembers, step.String())
	case "heal":
		clear(s.cuts)
		s.fleet.loss, s.fleet.duplication = 0, 0
		s.note(allMembers, step.String())
	case "end":
	default:
		s.t.Fatalf("%s: not known", step.Verb)
	}
}

func (s *timelineScript) restart(member int, event string, incarnation int, kinds []KindSpec) {
	s.t.Helper()
	s.note(member, event)
	delete(s.dead, member)
	s.fleet.start(member, len(s.fleet.tables), uint64(incarnation), kinds)
}
