package invariant

import (
	"math"

	"eidertrail/internal/slowstart"
)

const (
	// maxWarmingPools bounds the pools in slow start that are watched at a time; one more is a violation.
	maxWarmingPools = 1024
	// chanceAllowance is how many square roots of its budget a pool may get over it, and as many set-ups: that much is
	// put down to chance, as arrivals are random.
	chanceAllowance = 2
)

// SlowStartLoad is what was sent to pools in slow start, retransmissions included.
type SlowStartLoad struct {
	Starts int // processes that were recorded as started
	Sent   int // set-ups
	// Worst is the most that a pool got within the overload window, as a part of its budget and the allowance for
	// chance: over 1 is a violation.
	Worst   float64
	WorstAt string // the pool
}

// slowStartTracker checks what reaches pools in slow start.
type slowStartTracker struct {
	profile slowstart.Profile
	pools   map[string]*warmingPool
	ramp    SlowStartLoad
}

// warmingPool is a pool whose process is in slow start.
type warmingPool struct {
	startedAt int64
	rate      float64 // set-ups of mean work that it can handle a second after its slow start
	arrivals  slowstart.Arrivals
}

func newSlowStartTracker(profile slowstart.Profile) slowStartTracker {
	return slowStartTracker{profile: profile, pools: map[string]*warmingPool{}}
}

// start watches a pool whose process has started. A bound on the pools keeps memory bounded: one more is a violation,
// as it is not checked.
func (t *slowStartTracker) start(startedAt int64, pool string, rate float64) *Violation {
	t.ramp.Starts++
	for uid, p := range t.pools {
		if startedAt-p.startedAt >= t.profile.Window {
			delete(t.pools, uid)
		}
	}
	if t.pools[pool] == nil && len(t.pools) >= maxWarmingPools {
		return violated(RuleSlowStartWatch, startedAt, "-",
			"cold pool %s is not watched: %d others are", pool, maxWarmingPools)
	}
	t.pools[pool] = &warmingPool{startedAt: startedAt, rate: rate}
	return nil
}

// arrival checks a set-up that is sent to a pool against what it bears. A time before its start belongs to the process
// before.
func (t *slowStartTracker) arrival(now int64, id, pool string) *Violation {
	warming := t.pools[pool]
	if warming == nil || now < warming.startedAt {
		return nil
	}
	capacity, warmingUp := t.profile.CapacityAt(now - warming.startedAt)
	if !warmingUp {
		delete(t.pools, pool)
		return nil
	}
	t.ramp.Sent++
	rate := warming.rate * capacity
	budget := t.profile.MaxArrivals(rate)
	limit := budget + chanceAllowance*math.Sqrt(budget) + chanceAllowance
	got := float64(warming.arrivals.Add(now, t.profile, rate))
	if got/limit > t.ramp.Worst {
		t.ramp.Worst, t.ramp.WorstAt = got/limit, pool
	}
	if got <= limit {
		return nil
	}
	return violated(RuleSlowStartBudget, now, id,
		"cold pool %s, %.3f s old, got %.0f set-ups within %.3f s: it bears %.1f, by chance %.1f", pool,
		seconds(now-warming.startedAt), got, seconds(t.profile.OverloadWindow), budget, limit)
}
