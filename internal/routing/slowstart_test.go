package routing

import (
	"slices"
	"testing"
)

func TestEligible_ReturningZoneIsInSlowStart(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	r.UpdateEndpoints(2*second, endpointsUp())
	back := 6 * second               // the end of the ejection
	const spill = " ku1 ku2 tb1 tb2" // open during the slow start
	if got := eligibleUIDs(r, back); got != "ba1 ba2"+spill {
		t.Fatalf("eligible %q at the end of the ejection", got)
	}
	// 20% of 10 agents at first: 2 each.
	for _, uid := range []string{"ba1", "ba1", "ba2", "ba2"} {
		r.Sent(uid)
	}
	if got := eligibleUIDs(r, back); got != spill[1:] {
		t.Errorf("eligible %q with the endpoints in slow start at their capacity", got)
	}
	// Half-way through the slow start: 60%, 6 each.
	mid := back + 5*second
	for range 3 {
		r.Sent("ba1")
	}
	if got := eligibleUIDs(r, mid); got != "ba1 ba2"+spill {
		t.Errorf("eligible %q half-way, 5 of 6 held", got)
	}
	r.Sent("ba1")
	if got := eligibleUIDs(r, mid); got != "ba2"+spill {
		t.Errorf("eligible %q half-way, 6 of 6 held at ba1", got)
	}
	if got := eligibleUIDs(r, back+10*second); got != "ba1 ba2" {
		t.Errorf("eligible %q at full capacity", got)
	}
}

func TestEligible_SlowStartCapacityIsNeverExceeded(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("ba1"))
	r.UpdateEndpoints(2*second, endpointsUp()) // ba1 returns from a drain: it is in slow start, ba2 is not
	for now := 2 * second; now < 12*second; now += second / 10 {
		if r.Eligible(now)["ba1"] == 0 {
			continue
		}
		e := r.endpoints["ba1"]
		if float64(e.inFlight) >= r.slowStartCapacity(now, e) && e.inSlowStart() {
			t.Fatalf("at %d ba1 is eligible holding %d of %.1f", now, e.inFlight, r.slowStartCapacity(now, e))
		}
		r.Sent("ba1")
	}
}

func TestUpdateEndpoints_EndpointLostInSlowStartRestartsIt(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("ba1"))
	r.UpdateEndpoints(2*second, endpointsUp())
	r.UpdateEndpoints(7*second, endpointsUpExcept("ba1")) // half-way
	r.UpdateEndpoints(8*second, endpointsUp())
	if e := r.endpoints["ba1"]; e.slowStartFrom != 8*second {
		t.Errorf("slow start from %d, want the new start", e.slowStartFrom)
	}
	r.UpdateEndpoints(9*second, slices.DeleteFunc(endpointsUp(), func(e Endpoint) bool { return e.UID == "ba1" }))
	if _, tracked := r.endpoints["ba1"]; tracked {
		t.Error("the state of a removed endpoint is kept")
	}
}

func TestUpdateEndpoints_EndpointsOfTheFirstListAreNotInSlowStart(t *testing.T) {
	r, err := New(validConfig(), zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(0, nil) // as when routing is configured before the list comes
	r.UpdateEndpoints(second, endpointsUp())
	if got := eligibleUIDs(r, second); got != "ba1 ba2" {
		t.Errorf("eligible %q: endpoints of the first list that has any are at full capacity", got)
	}
}
