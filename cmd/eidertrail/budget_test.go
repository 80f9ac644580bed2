package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"eidertrail/internal/testing/fakeplatform"
)

const (
	lease, leaseMargin = time.Second, 300 * time.Millisecond
	budgetFile         = "[budget]\nlease = \"1s\"\nmargin = \"300ms\"\nrate_field = \"max_rate\"\n"
	// poolRate is the set-ups a second that the pool takes from all.
	poolRate = 40
)

// budgetFleet is a fleet whose one pool tells poolRate, with callers at every member.
func budgetFleet(t *testing.T, members int) (*fleet, *metered, []*load) {
	t.Helper()
	pool := newMetered(t, 2*time.Millisecond, fmt.Sprintf("idle:900;circuits:1000;wait_ms:1;max_rate:%d", poolRate))
	f := newFleet(t, members, budgetFile, func(int) (string, []string) { return pool.roster(time.Time{}), nil })
	f.wantAlive()
	time.Sleep(lease + leaseMargin + 500*time.Millisecond) // what a start waits for
	loads := make([]*load, 0, members)
	for i := range members {
		loads = append(loads, newLoad(t, f.procs[i].listen))
	}
	return f, pool, loads
}

// maxSetups is the most set-ups that a rate lets through in a second: what is in hand of each of so many members
// comes on top.
func maxSetups(rate float64, members int) int {
	return int(rate*(1+0.25)) + 2*members
}

func TestFleetBudget_MembersJoinAndLeaveUnderLoad(t *testing.T) {
	t.Parallel()
	f, pool, loads := budgetFleet(t, 3)
	began := time.Now()
	for _, l := range loads {
		l.at(25)
	}
	time.Sleep(4 * time.Second)
	loads[2].check() // its callers go, and then the member itself
	f.signal(2, syscall.SIGTERM)
	f.wantAll(2, "left")
	<-f.procs[2].ended
	time.Sleep(2 * time.Second)
	f.start(2)
	l := newLoad(t, f.procs[2].listen)
	l.at(25)
	f.wantAlive()
	time.Sleep(4 * time.Second)
	f.kill(2)
	f.wantAll(2, "dead")
	for _, l := range loads[:2] {
		l.check()
	}
	if m := pool.maxRate(began); m > maxSetups(poolRate, 3) || m < poolRate/2 {
		t.Errorf("at most %d set-ups in a second, the pool takes %d", m, poolRate)
	}
	for i, l := range loads {
		placed, established, rejected, _ := l.counts()
		t.Logf("member %d: %d placed, %d established, %d turned away", i, placed, established, rejected)
		if established*100 < placed*30 {
			t.Errorf("member %d: %d of %d stood", i, established, placed)
		}
	}
}

// A member that borrowed nearly all is stopped past its lease; another takes over what it had, and when it goes
// on, with a second's worth of calls waiting, it spends no more than its own.
func TestFleetBudget_MemberPausedLongerThanItsLease(t *testing.T) {
	t.Parallel()
	f, pool, loads := budgetFleet(t, 3)
	loads[0].at(35)
	time.Sleep(6 * time.Second)
	before := pool.maxRate(time.Now().Add(-2*time.Second), "n0")
	if before < poolRate/2 {
		t.Errorf("the busy member sent %d in a second before its pause: it borrowed nothing", before)
	}
	f.signal(0, syscall.SIGSTOP)
	loads[1].at(35)
	time.Sleep(2 * (lease + leaseMargin))
	f.signal(0, syscall.SIGCONT)
	resumed := time.Now()
	time.Sleep(800 * time.Millisecond)
	if m := pool.maxRate(resumed, "n0"); m > maxSetups(poolRate/3., 1) {
		t.Errorf("after its pause it sent %d in 0.8 s; its own share is %d a second", m, poolRate/3)
	}
	time.Sleep(2 * time.Second)
	if m := pool.maxRate(time.Time{}); m > maxSetups(poolRate, 3) {
		t.Errorf("at most %d set-ups in a second, the pool takes %d", m, poolRate)
	}
	t.Logf("before its pause %d in a second, after it %d; all together at most %d", before,
		pool.maxRate(resumed, "n0"), pool.maxRate(time.Time{}))
	loads[1].check()
}

// Two halves that do not hear each other: each keeps under its part, once what it borrowed of the other has run out.
func TestFleetBudget_PartitionKeepsEachHalfToItsPart(t *testing.T) {
	t.Parallel()
	f, pool, loads := budgetFleet(t, 4)
	loads[0].at(40)
	loads[3].at(5)
	time.Sleep(5 * time.Second)
	f.net.SetFaults(func(from, to int) fakeplatform.Fault {
		return fakeplatform.Fault{Partitioned: (from < 2) != (to < 2)}
	})
	loads[3].at(40)
	time.Sleep(lease + leaseMargin)
	cut := time.Now()
	time.Sleep(4 * time.Second)
	for _, half := range [][]string{{"n0", "n1"}, {"n2", "n3"}} {
		if m := pool.maxRate(cut, half...); m > maxSetups(poolRate/2, 2) || m < poolRate/4 {
			t.Errorf("half %v sent %d in a second, its part is %d", half, m, poolRate/2)
		}
	}
	f.net.Heal()
	f.wantAlive()
	time.Sleep(2 * time.Second)
	if m := pool.maxRate(time.Time{}); m > maxSetups(poolRate, 4) {
		t.Errorf("at most %d set-ups in a second, the pool takes %d", m, poolRate)
	}
	for _, l := range loads {
		l.check()
	}
}

// A cold pool under five controllers that all have more calls than it can take: together they never send it three
// times what it can do for 3 s, by far.
func TestFleetBudget_PoolInSlowStart(t *testing.T) {
	t.Parallel()
	pool := newMetered(t, 10*time.Millisecond, "idle:90;circuits:100") // 100 agents for 1 s each: 100 a second, warm
	startedAt := time.Now()
	pool.proc.Start(startedAt)
	f := newFleet(t, 5, budgetFile, func(int) (string, []string) { return pool.roster(startedAt), nil })
	loads := make([]*load, 0, len(f.procs))
	for i := range f.procs {
		loads = append(loads, newLoad(t, f.procs[i].listen))
		loads[i].at(40)
	}
	time.Sleep(8 * time.Second)
	for _, l := range loads {
		l.check()
	}
	t.Logf("the most that was sent to the cold pool is %.2f of what makes it fall over", pool.proc.MaxLoad())
	if w := pool.proc.MaxLoad(); w > 0.6 || w == 0 {
		t.Errorf("the cold pool got %.2f of what makes it fall over", w)
	}
}
