package swim

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/testing/timeline"
)

// pictureStep is the time between two lines of a picture, in µs.
const pictureStep = 100_000

// TestTimelines plays the scripts of testdata/timelines: members N, kill I, start I, stop I for a while, leave I, cut
// I>J (or I<>J), lose N%, heal, end. The pictures show when a member's state changes as another holds it.
func TestTimelines(t *testing.T) {
	timeline.Run(t, "testdata/timelines/*.txtar", playTimeline)
}

// playTimeline plays a script, and returns its picture.
func playTimeline(t *testing.T, steps []timeline.Step) string {
	t.Helper()
	player := &timelinePlayer{t: t, cuts: timeline.Cuts{}}
	for _, step := range steps {
		player.play(step)
	}
	return player.picture()
}

// timelinePlayer plays a script on a fleet.
type timelinePlayer struct {
	t      testing.TB
	fleet  *testFleet // nil before the members step
	cuts   timeline.Cuts
	events []timeline.Event
}

func (p *timelinePlayer) play(step timeline.Step) {
	p.t.Helper()
	if p.fleet != nil {
		p.fleet.run(second + step.At.Microseconds() - p.fleet.now)
	}
	switch step.Verb {
	case "members":
		members, err := strconv.Atoi(step.Args[0])
		if err != nil {
			p.t.Fatal(err)
		}
		p.startFleet(members)
	case "kill":
		member := p.member(step.Args[0])
		p.fleet.nodes[member] = nil
		p.note(member, "* killed")
	case "start":
		member := p.member(step.Args[0])
		p.note(member, "* started")
		p.fleet.start(member, uint64(p.fleet.now))
	case "stop":
		p.stop(p.member(step.Args[0]), step.Args[1])
	case "leave":
		p.leave(p.member(step.Args[0]))
	case "cut":
		if err := p.cuts.Cut(step.Args[0]); err != nil {
			p.t.Fatal(err)
		}
		p.note(-1, step.String())
	case "lose":
		percent, err := strconv.Atoi(strings.TrimSuffix(step.Args[0], "%"))
		if err != nil {
			p.t.Fatal(err)
		}
		p.fleet.loss = float64(percent) / 100
		p.note(-1, step.String())
	case "heal":
		clear(p.cuts)
		p.fleet.loss = 0
		p.note(-1, step.String())
	case "end":
	default:
		p.t.Fatalf("%s: not known", step.Verb)
	}
}

func (p *timelinePlayer) startFleet(members int) {
	p.t.Helper()
	p.fleet = newTestFleet(p.t, members, 1)
	p.fleet.onChange = func(at int, change Change, _ *Node) {
		if change.Previous != change.Current {
			p.note(at, fmt.Sprintf("%d is %v", change.Member, change.Current))
		}
	}
	p.fleet.cut = func(from, to int) bool { return p.cuts[[2]int{from, to}] }
}

func (p *timelinePlayer) stop(member int, text string) {
	p.t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		p.t.Fatal(err)
	}
	p.fleet.stop(member, duration.Microseconds())
	p.note(member, "* stopped for "+text)
}

func (p *timelinePlayer) leave(member int) {
	p.t.Helper()
	p.note(member, "* leaves")
	p.fleet.nodes[member].Leave(p.fleet.now)
	p.fleet.flush(member)
	p.fleet.nodes[member] = nil
}

// member reads a member's number.
func (p *timelinePlayer) member(text string) int {
	p.t.Helper()
	number, err := strconv.Atoi(text)
	if err != nil || p.fleet == nil || number < 0 || number >= len(p.fleet.nodes) {
		p.t.Fatalf("%q is no member", text)
	}
	return number
}

// note adds an event of a member to the picture, or with -1 one of all.
func (p *timelinePlayer) note(member int, text string) {
	p.events = append(p.events, timeline.Event{At: p.fleet.now - second, Node: member, Text: text})
}

func (p *timelinePlayer) picture() string {
	names := make([]string, len(p.fleet.nodes))
	for i := range names {
		names[i] = fmt.Sprintf("member %d", i)
	}
	return timeline.Render(names, pictureStep, p.events)
}
