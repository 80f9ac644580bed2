package endpointset

import "testing"

func TestAdvance_WithdrawnRecordDrainsUntilItsLastCallEnds(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA(), recordB()})
	set.View(0)
	set.UpdateRecords(second, serviceName, []Record{recordA()})
	requireStates(t, set, second, map[string]State{addressA: Up, addressB: Draining})

	set.Advance(2*second, isBusy)
	requireStates(t, set, 2*second, map[string]State{addressA: Up, addressB: Draining})

	set.Advance(3*second, isIdle)
	requireStates(t, set, 3*second, map[string]State{addressA: Up})
	if c := set.Counts(); c.Vanished != 1 || c.Drained != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestAdvance_DrainEndsAfterDrainForWithCallsEstablished(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	set.View(0)
	set.UpdateRecords(second, serviceName, nil)

	set.Advance(21*second-1, isBusy)
	requireStates(t, set, 21*second-1, map[string]State{addressA: Draining})
	if next := set.Next(); next != 21*second {
		t.Errorf("next %d, want the end of the drain %d", next, 21*second)
	}

	set.Advance(21*second, isBusy)
	requireStates(t, set, 21*second, nil)
}

func TestAdvance_EndpointDrainingInTheListAndWithdrawnFromDNSDrainsUntilTheListRemovesIt(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA, Group: 1}})
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	set.View(0)

	set.UpdateList(second, false, []ListEntry{{UID: "p1", Address: addressA, Group: 1, State: Draining}})
	requireStates(t, set, second, map[string]State{addressA: Draining})

	set.UpdateRecords(2*second, serviceName, nil)
	requireStates(t, set, 2*second, map[string]State{addressA: Draining})

	set.Advance(3*second, isIdle) // ends the drain of the record alone
	requireStates(t, set, 3*second, map[string]State{addressA: Draining})

	set.UpdateList(4*second, false, []ListEntry{{UID: "p1", State: Removed}})
	requireStates(t, set, 4*second, nil)
}
