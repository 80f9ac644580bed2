package quota

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"eidertrail/internal/testing/timeline"
)

// The simulated time of a timeline, in µs.
const (
	timelineStep         = 10_000
	timelineTick         = 100_000
	timelineNetworkDelay = 20_000
)

const (
	timelinePool  = "pool"
	timelineUnits = 1000 // that each member owns
	allMembers    = -1   // the node of an event that concerns the network
)

// TestTimelines runs the scripts of testdata/timelines over one resource, of which each member owns 1000 units and
// lends all but 250, for 2 s and a margin of 0.5 s. The verbs are members N, want I UNITS, kill I, start I, stop I
// for a while, cut I<>J, heal, end. Each change of a member's quota is an event, and the quotas of the running
// members must be within the total at all times.
func TestTimelines(t *testing.T) {
	timeline.Run(t, "testdata/timelines/*.txtar", func(t *testing.T, steps []timeline.Step) string {
		t.Helper()
		script := &timelineScript{t: t, cuts: timeline.Cuts{}}
		for _, step := range steps {
			for ; script.now < step.At.Microseconds(); script.now += timelineStep {
				script.deliver()
				script.tick()
			}
			script.execute(step)
		}
		names := make([]string, len(script.members))
		for member := range names {
			names[member] = fmt.Sprintf("share of member %d", member)
		}
		return timeline.Render(names, 100_000, script.events)
	})
}

// timelineMember is one member; its allocator is nil while it is dead.
type timelineMember struct {
	allocator    *Allocator
	stoppedUntil int64
	lastQuota    int // -1 at the start
}

// timelineDatagram is one in flight, or in the socket's buffer of a stopped member.
type timelineDatagram struct {
	at       int64
	from, to int
	body     []byte
}

// timelineScript is the state of one script.
type timelineScript struct {
	t           *testing.T
	now         int64
	members     []timelineMember
	incarnation uint32
	inFlight    []timelineDatagram
	events      []timeline.Event
	cuts        timeline.Cuts
}

func (s *timelineScript) note(node int, text string) {
	s.events = append(s.events, timeline.Event{At: s.now, Node: node, Text: text})
}

func (s *timelineScript) start(member int) {
	s.t.Helper()
	s.incarnation++
	allocator, err := New(Config{
		Self:        member,
		Members:     len(s.members),
		Incarnation: s.incarnation,
		OwnedUnits:  timelineUnits,
		Reserved:    250,
		TTL:         2_000_000,
		Margin:      500_000,
	}, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.members[member].allocator, s.members[member].lastQuota = allocator, -1
}

func (s *timelineScript) runs(member int) bool {
	return s.members[member].allocator != nil && s.now >= s.members[member].stoppedUntil
}

func (s *timelineScript) send(from int, out []Out) {
	for _, outgoing := range out {
		if !s.cuts[[2]int{from, outgoing.To}] {
			s.inFlight = append(s.inFlight,
				timelineDatagram{s.now + timelineNetworkDelay, from, outgoing.To, outgoing.Body})
		}
	}
}

// deliver delivers what is due; a stopped member receives it later, a dead one never.
func (s *timelineScript) deliver() {
	s.t.Helper()
	pending := s.inFlight
	s.inFlight = nil
	for _, incoming := range pending {
		allocator := s.members[incoming.to].allocator
		switch {
		case incoming.at > s.now || allocator != nil && !s.runs(incoming.to):
			s.inFlight = append(s.inFlight, incoming)
		case allocator != nil:
			out, err := allocator.Receive(s.now, incoming.from, incoming.body)
			if err != nil {
				s.t.Fatal(err)
			}
			s.send(incoming.to, out)
		}
	}
}

// tick lets the running members act, and checks the sum of their quotas.
func (s *timelineScript) tick() {
	s.t.Helper()
	sum := 0
	for member := range s.members {
		if !s.runs(member) {
			continue
		}
		state := &s.members[member]
		if s.now%timelineTick == 0 {
			state.allocator.SetAlive(s.reachableFrom(member))
			s.send(member, state.allocator.Tick(s.now))
		}
		units := state.allocator.Quota(s.now, timelinePool)
		if sum += units; units != state.lastQuota {
			s.note(member, strconv.Itoa(units))
			state.lastQuota = units
		}
	}
	if total := timelineUnits * len(s.members); sum > total {
		s.t.Errorf("at %.2f s shares of %d in all, of %d", float64(s.now)/1e6, sum, total)
	}
}

func (s *timelineScript) reachableFrom(member int) []bool {
	reachable := make([]bool, len(s.members))
	for other := range reachable {
		reachable[other] = s.members[other].allocator != nil && !s.cuts[[2]int{member, other}]
	}
	return reachable
}

// member is the step's first argument.
func (s *timelineScript) member(step timeline.Step) int {
	s.t.Helper()
	member, err := strconv.Atoi(step.Args[0])
	if err != nil || member < 0 || member >= len(s.members) {
		s.t.Fatalf("%s: no member", step)
	}
	return member
}

func (s *timelineScript) execute(step timeline.Step) {
	s.t.Helper()
	switch step.Verb {
	case "members":
		count, _ := strconv.Atoi(step.Args[0])
		s.members = make([]timelineMember, count)
		for member := range s.members {
			s.start(member)
		}
	case "want":
		units, _ := strconv.Atoi(step.Args[1])
		s.note(s.member(step), "* wants "+step.Args[1])
		s.members[s.member(step)].allocator.Demand(s.now, timelinePool, units)
	case "kill":
		s.note(s.member(step), "* killed")
		s.members[s.member(step)].allocator = nil
	case "start":
		s.note(s.member(step), "* started")
		s.start(s.member(step))
	case "stop":
		duration, err := time.ParseDuration(step.Args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.note(s.member(step), "* stopped for "+step.Args[1])
		s.members[s.member(step)].stoppedUntil = s.now + duration.Microseconds()
	case "cut":
		if err := s.cuts.Cut(step.Args[0]); err != nil {
			s.t.Fatal(err)
		}
		s.note(allMembers, step.String())
	case "heal":
		clear(s.cuts)
		s.note(allMembers, step.String())
	case "end":
	default:
		s.t.Fatalf("%s: not known", step.Verb)
	}
}
