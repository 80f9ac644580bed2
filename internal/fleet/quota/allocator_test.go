package quota

import "testing"

// Every order of demands, requests, grants, losses, restarts and time, for two members and for three, one of which
// has a slower clock: the quotas never sum to more than the total. And the search does find violations: without the
// margin, without the recovery after a start, or with one incarnation for all starts there are some.
func TestAllocator_QuotasNeverSumToMoreThanTheTotal(t *testing.T) {
	valid := Config{OwnedUnits: 4, Reserved: 1, TTL: testTTL, Margin: testMargin}
	withoutRecovery := func(f *fleet, member int) {
		restartNextIncarnation(f, member)
		f.allocators[member].recoveredAt = 0
	}
	sameIncarnation := func(f *fleet, member int) { f.start(member, 1) }
	for _, test := range []struct {
		name           string
		members, depth int
		cfg            Config
		restart        func(f *fleet, member int)
		violated       bool
	}{
		{"two members", 2, 7, valid, restartNextIncarnation, false}, // 8 steps take a minute with the race detector
		{"three members", 3, 5, valid, restartNextIncarnation, false},
		{
			"no margin, and a slow clock", 2, 8,
			Config{OwnedUnits: 4, Reserved: 1, TTL: testTTL},
			restartNextIncarnation, true,
		},
		{"no recovery after a start", 2, 8, valid, withoutRecovery, true},
		{"one incarnation for all starts", 2, 10, valid, sameIncarnation, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			violation, states := searchViolation(test.members, test.depth, func() *fleet {
				f := newFleet(t, test.members, test.cfg, 1)
				f.restart = test.restart
				return f
			})
			t.Logf("%d states; %s", states, violation)
			if (violation != "") != test.violated {
				t.Errorf("found %q, want a violation: %v", violation, test.violated)
			}
		})
	}
}

const (
	reallocationMembers = 5
	ownedUnits          = 1000
	lendableUnits       = 750
	tickInterval        = 100_000 // µs
	networkDelay        = 5_000   // µs
)

// timedFleet is a fleet in which messages take networkDelay, and every member ticks each tickInterval.
type timedFleet struct {
	*fleet
	now      int64
	arriving map[int64][]datagram // by time of arrival
}

// step lets networkDelay pass.
func (f *timedFleet) step() {
	f.now += networkDelay
	for member := range f.allocators {
		f.advance(member, networkDelay)
	}
	for _, incoming := range f.arriving[f.now] {
		if f.allocators[incoming.to] != nil {
			f.inFlight = append(f.inFlight[:0], incoming)
			f.deliver(0)
		}
		f.postpone()
	}
	if f.now%tickInterval == 0 {
		for member, allocator := range f.allocators {
			if allocator != nil {
				f.send(member, allocator.Tick(f.clock[member]))
			}
		}
		f.postpone()
	}
}

// postpone has what was sent arrive after networkDelay.
func (f *timedFleet) postpone() {
	f.arriving[f.now+networkDelay] = append(f.arriving[f.now+networkDelay], f.inFlight...)
	f.inFlight = f.inFlight[:0]
}

// How long it takes until a member that needs all gets what the others can spare: when its demand begins, when another
// that had borrowed it dies or needs it no more, and when that one has just restarted.
func TestAllocator_ReallocatesWithinLeaseAndMargin(t *testing.T) {
	cfg := Config{OwnedUnits: ownedUnits, Reserved: ownedUnits - lendableUnits, TTL: testTTL, Margin: testMargin}
	maxUnits := ownedUnits + (reallocationMembers-1)*lendableUnits
	for _, test := range []struct {
		name       string
		borrowed   bool // the first member borrows all before the change
		change     func(f *fleet)
		maxElapsed int64 // µs
	}{
		{"its demand begins", false, func(f *fleet) { f.allocators[0].Demand(f.clock[0], testPool, 0) }, 500_000},
		{
			"the borrower needs it no more", true,
			func(f *fleet) { f.allocators[0].Demand(f.clock[0], testPool, 0) }, testMargin + testTTL,
		},
		{"the borrower dies", true, func(f *fleet) { f.allocators[0] = nil }, testTTL + testMargin + testTTL},
		{
			"the borrower restarts", true,
			func(f *fleet) { restartNextIncarnation(f, 0) }, testTTL + testMargin + testTTL,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &timedFleet{
				fleet:    newFleet(t, reallocationMembers, cfg, noSlowMember),
				arriving: map[int64][]datagram{},
			}
			if test.borrowed {
				f.allocators[0].Demand(f.clock[0], testPool, f.allocators[0].Total())
				for range 10 * testTTL / networkDelay {
					f.step()
				}
				if got := f.allocators[0].Quota(f.clock[0], testPool); got != maxUnits {
					t.Fatalf("the first holds %d of %d units before", got, maxUnits)
				}
			}

			test.change(f.fleet)
			second := f.allocators[1]
			second.Demand(f.clock[1], testPool, second.Total())

			want := maxUnits
			if f.allocators[0] == nil {
				want -= lendableUnits // what a dead member owns is lent by nobody
			}
			start := f.now
			for second.Quota(f.clock[1], testPool) < want*9/10 {
				f.step()
				if sum := f.unitsInUse(); sum > reallocationMembers*ownedUnits {
					t.Fatalf("%d units in force", sum)
				}
				if f.now-start > test.maxElapsed {
					t.Fatalf("after %d ms it holds %d of %d units", test.maxElapsed/1000, second.Quota(f.clock[1], testPool), want)
				}
			}
			t.Logf("after %d ms", (f.now-start)/1000)
		})
	}
}
