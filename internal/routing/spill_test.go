package routing

import (
	"testing"
)

func TestEligible_ZoneWithoutEndpointsSpillsToTheNextLevelWithinTheBudget(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	if got := eligibleUIDs(r, second); got != "ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q, want the first level of neighbours", got)
	}
	// The level has 40 agents; half of them may hold batumi's calls: 20.
	for i := range 20 {
		r.Sent([]string{"tb1", "tb2", "ku1", "ku2"}[i%4])
	}
	if got := eligibleUIDs(r, second); got != "" {
		t.Errorf("eligible %q past the spill budget, want none: calls are rejected at once, not forwarded", got)
	}
	if r.Counts().SpillCapped == 0 {
		t.Error("the capped endpoints are not counted")
	}
	r.Ended(second, "tb1", Neutral, true) // a spilled call ends
	if got := eligibleUIDs(r, second); got != "ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q under the budget again", got)
	}
}

func TestEligible_SpillBudgetCountsThisZonesCallsAlone(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	for _, uid := range []string{"tb1", "tb2", "ku1", "ku2"} {
		r.Report(uid, 1, 10) // nearly full: their own zones' calls hold 9 of 10
	}
	for range 20 {
		r.Sent("tb1")
	}
	if got := eligibleUIDs(r, second); got != "" {
		t.Errorf("eligible %q: the budget counts this zone's calls, whatever the endpoints' own load", got)
	}
	// When the neighbours are full, the next level opens, within its own budget.
	for _, uid := range []string{"tb1", "tb2", "ku1", "ku2"} {
		r.Report(uid, 0, 10)
	}
	if got := eligibleUIDs(r, second); got != "te1 te2" {
		t.Errorf("eligible %q with the first level full, want telavi's", got)
	}
}

func TestEligible_ZoneReturnsWhileItsSpilledCallsAreEstablished(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	for range 6 {
		r.Sent("tb1")
		r.Answered(second, "tb1")
	}
	r.UpdateEndpoints(2*second, endpointsUp())
	if got := eligibleUIDs(r, 6*second); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q when batumi is back, in slow start", got)
	}
	if got := eligibleUIDs(r, 16*second); got != "ba1 ba2" {
		t.Fatalf("eligible %q when batumi is back at full capacity", got)
	}
	if z := r.Zones(); z[1].Zone != "tbilisi" || z[1].InFlight != 6 {
		t.Errorf("the spilled calls stay where they are: %+v", z[1])
	}
	for range 6 {
		r.Ended(17*second, "tb1", Neutral, true)
	}
	if z := r.Zones(); z[1].InFlight != 0 {
		t.Errorf("%+v", z[1])
	}
}

// Without this, calls would be rejected while the neighbours are idle: the own zone is neither ejected nor full, but
// the decision module sends it one call at a time.
func TestSetOldestWait_LongWaitOpensTheNextLevel(t *testing.T) {
	r := newRouter(t)
	r.config.SpillDelay = second / 10
	for _, c := range []struct {
		now, since int64
		want       string
	}{
		{10 * second, 0, "ba1 ba2"},
		{10 * second, 10*second - second/20, "ba1 ba2"},
		{10 * second, 10*second - second/10, "ba1 ba2 ku1 ku2 tb1 tb2"},
		{10*second + spillPeriod - 1, 0, "ba1 ba2 ku1 ku2 tb1 tb2"},
		{10*second + spillPeriod, 0, "ba1 ba2"},
	} {
		r.SetOldestWait(c.now, c.since)
		if got := eligibleUIDs(r, c.now); got != c.want {
			t.Errorf("at %d, waiting since %d: %q, want %q", c.now, c.since, got, c.want)
		}
	}
}
