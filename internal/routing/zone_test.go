package routing

import (
	"testing"
)

func TestEnded_FailuresEjectTheirZone(t *testing.T) {
	r := newRouter(t)
	for i := range 4 {
		r.Sent("ba1")
		outcome := Failure
		if i == 0 {
			outcome = Success
		}
		r.Ended(second, "ba1", outcome, false)
	}
	if got := eligibleUIDs(r, second); got != "ku1 ku2 tb1 tb2" {
		t.Fatalf("eligible %q with batumi failing three in four", got)
	}
	if got := eligibleUIDs(r, second+5*second-1); got != "ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q within the ejection time", got)
	}
	// Then its endpoints are in slow start, and the next level stays open meanwhile.
	if got := eligibleUIDs(r, 6*second); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q after the ejection time", got)
	}
	if got := eligibleUIDs(r, 16*second); got != "ba1 ba2" {
		t.Errorf("eligible %q at full capacity", got)
	}
}

func TestUpdateEndpoints_FlappingZoneIsEjectedForLonger(t *testing.T) {
	r := newRouter(t)
	now := int64(0)
	const times = 3
	ejections := make([]int64, 0, times)
	for range times { // without endpoints, back, without endpoints, back ... within a minute
		now += second
		r.UpdateEndpoints(now, endpointsUpExcept("batumi"))
		ejectedAt := now
		now += second
		r.UpdateEndpoints(now, endpointsUp()) // back at once, but still ejected
		for eligibleUIDs(r, now) != "ba1 ba2" {
			now += second / 10
		}
		ejections = append(ejections, now-ejectedAt)
	}
	if ejections[0] < 5*second || ejections[1] < 10*second || ejections[2] < 20*second {
		t.Errorf("ejected for %v µs, want at least 5, 10 and 20 s", ejections)
	}
	if r.Counts().Flaps != 2 {
		t.Errorf("%d flaps, want 2", r.Counts().Flaps)
	}
	// Long after, an ejection has its shortest time again.
	now += 120 * second
	r.UpdateEndpoints(now, endpointsUpExcept("batumi"))
	if z := r.Zones()[0]; z.EjectedUntil-now != 5*second {
		t.Errorf("ejected for %d µs after a time without flaps, want 5 s", z.EjectedUntil-now)
	}
}

func TestZone_Transitions(t *testing.T) {
	r := newRouter(t)
	requireState := func(now int64, want string) {
		t.Helper()
		r.Advance(now)
		if got := r.Zones()[0].State.String(); got != want {
			t.Fatalf("at %d: %s, want %s", now, got, want)
		}
	}
	requireState(0, "up")

	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	requireState(20*second, "ejected, without endpoints") // it does not return while it has no endpoints

	r.UpdateEndpoints(21*second, endpointsUp())
	requireState(21*second, "warming up")
	requireState(31*second, "up")

	for range 4 {
		r.Sent("ba1")
		r.Ended(200*second, "ba1", Failure, false)
	}
	requireState(200*second, "ejected")
	requireState(205*second, "warming up")
}

func TestZone_WithoutEndpointsInTheFirstListIsNotEjected(t *testing.T) {
	r, err := New(validConfig(), zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	if got := r.Zones()[0]; got.State != ZoneWithoutEndpoints || r.Counts().ZonesEjected != 0 {
		t.Errorf("%+v, counts %+v", got, r.Counts())
	}
	r.UpdateEndpoints(2*second, endpointsUpExcept("ba2"))
	if got := r.Zones()[0]; got.State != ZoneWarmingUp {
		t.Errorf("%+v, want it to take calls in slow start", got)
	}
}
