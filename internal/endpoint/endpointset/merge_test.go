package endpointset

import "testing"

func TestView_DrainOfAnySourceWins(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA, Group: 1, State: Draining}})
	set.UpdateRecords(0, serviceName, []Record{recordA()})

	view, _ := set.View(0)
	if len(view) != 1 || view[0].State != Draining || view[0].UID != "p1" || view[0].Sources != "bulletin+dns" {
		t.Fatalf("view %+v", view)
	}
}

// The calls and connections of an endpoint are keyed by its UID: a new one would cut them.
func TestView_UIDStaysWhileTheAddressStays(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	before, _ := set.View(0)

	set.UpdateList(second, true, []ListEntry{{UID: "p1", Address: addressA, Group: 1}})
	after, _ := set.View(second)
	if len(after) != 1 || after[0].UID != before[0].UID {
		t.Fatalf("%+v became %+v, want the same UID", before, after)
	}
}

func TestView_AddressReusedByAnotherListedEndpointIsUp(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA}})
	set.UpdateList(second, true, []ListEntry{{UID: "p1", State: Removed}, {UID: "p9", Address: addressA}})

	view, _ := set.View(second)
	if len(view) != 1 || view[0].State != Up {
		t.Fatalf("view %+v: want the new endpoint at the address up", view)
	}
}
