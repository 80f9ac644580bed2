package endpointset

import "testing"

func TestOrder_PriorityThenWeight(t *testing.T) {
	endpoints := []Endpoint{
		{Address: "c", Priority: 20, Weight: 1},
		{Address: "b", Priority: 10, Weight: 1},
		{Address: "a", Priority: 10, Weight: 9},
	}
	Order(endpoints)
	if endpoints[0].Address != "a" || endpoints[1].Address != "b" || endpoints[2].Address != "c" {
		t.Errorf("order %+v", endpoints)
	}
}

func TestDescribe_NamesAddressStateGroupAndSources(t *testing.T) {
	const want = "p1@127.0.0.1:1/up/g2/bulletin+dns p2@127.0.0.2:1/draining/g0/dns"
	got := Describe([]Endpoint{
		{UID: "p1", Address: addressA, Group: 2, State: Up, Sources: "bulletin+dns"},
		{UID: "p2", Address: addressB, State: Draining, Sources: "dns"},
	})
	if got != want {
		t.Errorf("described as %q, want %q", got, want)
	}
}
