package routing

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

const second = int64(1_000_000) // µs

var zones = []string{"batumi", "tbilisi", "kutaisi", "telavi"}

func validConfig() Config {
	return Config{
		Zone:              "batumi",
		PriorityLevels:    PriorityTable{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}},
		SpillBudget:       0.5,
		Window:            10 * second,
		EjectionThreshold: 0.5,
		MinSamples:        4,
		EjectionTime:      5 * second,
		MaxEjectionTime:   40 * second,
		FlapWindow:        60 * second,
		SlowStartWindow:   10 * second,
		SlowStartCapacity: 0.2,
		Nodes:             1,
		Classes:           2,
	}
}

// newRouter returns a Router with two endpoints a zone, ba1 and ba2 in batumi and so on, each with 10 agents.
func newRouter(tb testing.TB) *Router {
	tb.Helper()
	r, err := New(validConfig(), zones)
	if err != nil {
		tb.Fatal(err)
	}
	r.UpdateEndpoints(0, endpointsUp())
	reportFree(r)
	return r
}

// reportFree has every endpoint report 10 agents, all of them free.
func reportFree(r *Router) {
	for _, e := range endpointsUp() {
		r.Report(e.UID, 10, 10)
	}
}

// endpointsUp is the list of all endpoints, each up.
func endpointsUp() []Endpoint { return endpointsUpExcept() }

// endpointsUpExcept is the list of all endpoints, each up but those named by their UID or zone.
func endpointsUpExcept(down ...string) []Endpoint {
	endpoints := make([]Endpoint, 0, 2*len(zones))
	for _, zone := range zones {
		for _, number := range []string{"1", "2"} {
			uid := zone[:2] + number
			up := !slices.Contains(down, uid) && !slices.Contains(down, zone)
			endpoints = append(endpoints, Endpoint{UID: uid, Zone: zone, Up: up})
		}
	}
	return endpoints
}

// eligibleUIDs returns the UIDs of the endpoints that are eligible for any class, in order, with spaces between.
func eligibleUIDs(r *Router, now int64) string {
	return strings.Join(slices.Sorted(maps.Keys(r.Eligible(now))), " ")
}

func TestManages_EndpointOfAnUnknownZoneIsNotManaged(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, append(endpointsUp(), Endpoint{UID: "x1", Zone: "poti", Up: true}))
	if got := eligibleUIDs(r, second); got != "ba1 ba2" || r.Manages("x1") || !r.Manages("te1") {
		t.Errorf("eligible %q, x1 managed %v, te1 managed %v", got, r.Manages("x1"), r.Manages("te1"))
	}
}

func TestNext_IsTheEndOfAnEjection(t *testing.T) {
	r := newRouter(t)
	if next := r.Next(0); next != 0 {
		t.Errorf("next %d with nothing waiting", next)
	}
	r.UpdateEndpoints(second, endpointsUpExcept("batumi"))
	if next := r.Next(second); next != 6*second {
		t.Errorf("next %d, want the end of the ejection", next)
	}
}
