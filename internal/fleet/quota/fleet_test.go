package quota

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const (
	testTTL    = int64(2_000_000)
	testMargin = testTTL / 4
	testPool   = "p1"
)

// fleet is the allocators of a few members, and the messages between them, which a test delivers, loses or delays.
// Each member has a clock of its own; that of the slow one runs a tenth slower.
type fleet struct {
	t          testing.TB
	cfg        Config
	clock      []int64
	clockRate  []int64 // tenths
	allocators []*Allocator
	inFlight   []datagram
	restart    func(f *fleet, member int)
}

type datagram struct {
	from, to int
	body     string
}

// noSlowMember is the slow member of a fleet whose clocks all run at the same rate.
const noSlowMember = -1

func newFleet(tb testing.TB, members int, cfg Config, slowMember int) *fleet {
	tb.Helper()
	f := &fleet{
		t:          tb,
		cfg:        cfg,
		clock:      make([]int64, members),
		clockRate:  make([]int64, members),
		allocators: make([]*Allocator, members),
		restart:    restartNextIncarnation,
	}
	f.cfg.Members = members
	for member := range members {
		f.clock[member], f.clockRate[member] = 1_000_000, 10
		if member == slowMember {
			f.clockRate[member] = 9
		}
		f.start(member, 1)
		f.advance(member, 2*testTTL) // all leases of earlier incarnations have expired
	}
	return f
}

func (f *fleet) start(member int, incarnation uint32) {
	cfg := f.cfg
	cfg.Self, cfg.Incarnation = member, incarnation
	allocator, err := New(cfg, f.clock[member])
	if err != nil {
		f.t.Fatal(err)
	}
	alive := make([]bool, cfg.Members)
	for i := range alive {
		alive[i] = true
	}
	allocator.SetAlive(alive)
	f.allocators[member] = allocator
}

func restartNextIncarnation(f *fleet, member int) {
	f.start(member, uint32(f.allocators[member].latestRequest>>incarnationShift)+1)
}

// advance lets time pass on a member's clock.
func (f *fleet) advance(member int, duration int64) {
	f.clock[member] += duration * f.clockRate[member] / 10
}

func (f *fleet) send(from int, out []Out) {
	for _, outgoing := range out {
		f.inFlight = append(f.inFlight, datagram{from, outgoing.To, string(outgoing.Body)})
	}
}

func (f *fleet) deliver(index int) {
	incoming := f.inFlight[index]
	f.inFlight = slices.Delete(f.inFlight, index, index+1)
	out, err := f.allocators[incoming.to].Receive(f.clock[incoming.to], incoming.from, []byte(incoming.body))
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(incoming.to, out)
}

// unitsInUse is the sum of the quotas of all members that run.
func (f *fleet) unitsInUse() int {
	sum := 0
	for member, allocator := range f.allocators {
		if allocator != nil {
			sum += allocator.Quota(f.clock[member], testPool)
		}
	}
	return sum
}

// action is one thing that may happen to a fleet; apply reports whether it was possible.
type action struct {
	name  string
	apply func(f *fleet) bool
}

// possibleActions are all that may happen to a fleet: a member needs all or nothing, or restarts; a message arrives, in
// any order, or is lost; time passes for all.
func possibleActions(members int) []action {
	var actions []action
	for member := range members {
		demand := func(units func(allocator *Allocator) int) func(f *fleet) bool {
			return func(f *fleet) bool {
				allocator := f.allocators[member]
				allocator.Demand(f.clock[member], testPool, units(allocator))
				f.send(member, allocator.Tick(f.clock[member]))
				return true
			}
		}
		actions = append(actions,
			action{fmt.Sprintf("%d wants all", member), demand((*Allocator).Total)},
			action{fmt.Sprintf("%d wants nothing", member), demand(func(*Allocator) int { return 0 })},
			action{fmt.Sprintf("%d restarts", member), func(f *fleet) bool {
				f.restart(f, member)
				return true
			}},
		)
	}
	for index := range 3 {
		whenInFlight := func(apply func(f *fleet)) func(f *fleet) bool {
			return func(f *fleet) bool {
				if index >= len(f.inFlight) {
					return false
				}
				apply(f)
				return true
			}
		}
		actions = append(actions,
			action{fmt.Sprintf("message %d arrives", index), whenInFlight(func(f *fleet) { f.deliver(index) })},
			action{fmt.Sprintf("message %d is lost", index), whenInFlight(func(f *fleet) {
				f.inFlight = slices.Delete(f.inFlight, index, index+1)
			})},
		)
	}
	return append(actions, action{"half a lease passes", func(f *fleet) bool {
		for member := range f.allocators {
			f.advance(member, testTTL/2+1)
		}
		return true
	}})
}

// fingerprint is all of a fleet's state that its future depends on, with times relative to now.
func (f *fleet) fingerprint() string {
	var text strings.Builder
	for member, allocator := range f.allocators {
		now := f.clock[member]
		fmt.Fprintf(&text, "|%d ", max(allocator.recoveredAt-now, 0))
		if r := allocator.resources[testPool]; r != nil {
			f.fingerprintResource(&text, allocator, r, now)
		}
	}
	for _, flying := range f.inFlight {
		content, _ := decode([]byte(flying.body))
		fmt.Fprintf(&text, "~%d%d%d:%d:%d", flying.from, flying.to, flying.body[0], content.units, content.request)
	}
	return text.String()
}

func (f *fleet) fingerprintResource(text *strings.Builder, allocator *Allocator, r *resource, now int64) {
	fmt.Fprintf(text, "w%d ", r.demand)
	for other := range f.allocators {
		lease := r.borrowed[other]
		requested := lease != nil
		if !requested {
			lease = &borrowedLease{}
		}
		nextRequest := max(lease.requestedAt+testTTL-now, 0)
		fmt.Fprintf(text, "%v%d,%d;", requested, nextRequest, allocator.latestRequest-lease.request)
		if lease.state == leaseHeld && lease.expiresAt > now {
			fmt.Fprintf(text, "b%d,%d;", lease.units, lease.expiresAt-now)
		}
		for _, granted := range r.granted[other] {
			if !granted.expired(now) {
				age := f.allocators[other].latestRequest - granted.request
				fmt.Fprintf(text, "l%d,%d,%d;", granted.units, granted.expiresAt-now, age)
			}
		}
	}
}

// searchViolation plays every order of actions up to that depth. It returns the steps to a state in which more than the
// total is in use, "" if there is none, and how many states it saw; it continues from each state once.
func searchViolation(members, depth int, begin func() *fleet) (violation string, states int) {
	actions := possibleActions(members)
	seen := map[string]bool{}
	frontier := [][]int{nil}
	for range depth {
		var next [][]int
		for _, path := range frontier {
			for chosen := range actions {
				f := begin()
				for _, earlier := range path {
					actions[earlier].apply(f)
				}
				if !actions[chosen].apply(f) {
					continue
				}
				extended := append(slices.Clone(path), chosen)
				if sum, total := f.unitsInUse(), f.allocators[0].Total(); sum > total {
					return describeViolation(sum, total, actions, extended), states
				}
				if key := f.fingerprint(); !seen[key] {
					seen[key] = true
					states++
					next = append(next, extended)
				}
			}
		}
		frontier = next
	}
	return "", states
}

func describeViolation(sum, total int, actions []action, path []int) string {
	names := make([]string, 0, len(path))
	for _, step := range path {
		names = append(names, actions[step].name)
	}
	return fmt.Sprintf("%d of %d units in force after: %s", sum, total, strings.Join(names, ", "))
}
