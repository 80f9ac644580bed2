package endpointset

import "testing"

func TestUpdateList_SnapshotRemovesWhatItDoesNotName(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA}, {UID: "p2", Address: addressB}})
	set.UpdateList(second, true, []ListEntry{{UID: "p2", Address: addressB}})
	requireStates(t, set, second, map[string]State{addressB: Up})

	set.Advance(second+60*second, nil)
	if len(set.listed) != 1 {
		t.Errorf("%d entries kept after the tombstone, want 1", len(set.listed))
	}
}

func TestUpdateList_TombstoneOfAnEntryRemovedTwiceIsNotProlonged(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA}})
	set.UpdateList(second, false, []ListEntry{{UID: "p1", State: Removed}})
	set.UpdateList(10*second, false, []ListEntry{{UID: "p1", State: Removed}})
	if next := set.Next(); next != 61*second {
		t.Errorf("next %d, want the end of the tombstone %d", next, 61*second)
	}
}

func TestUpdateRecords_DNSCannotAddWhatTheListRemoved(t *testing.T) {
	set := newSet(t)
	set.UpdateList(0, true, []ListEntry{{UID: "p1", Address: addressA, Group: 1}})
	set.View(0)
	set.UpdateList(second, false, []ListEntry{{UID: "p1", State: Removed}})

	set.UpdateRecords(2*second, serviceName, []Record{newRecord("a", addressA, 300*second)})
	requireStates(t, set, 2*second, nil)
	if set.Counts().Conflicts == 0 {
		t.Error("the conflict is not counted")
	}

	set.Advance(61*second, nil) // the tombstone ends
	requireStates(t, set, 61*second, map[string]State{addressA: Up})
}
