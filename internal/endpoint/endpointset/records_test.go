package endpointset

import "testing"

func TestUpdateRecords_EndpointsHaveTheirNamesGroup(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA(), recordB()})

	view, changed := set.View(0)
	if !changed || len(view) != 2 {
		t.Fatalf("view %+v changed %v", view, changed)
	}
	for _, e := range view {
		if e.Group != 1 || e.State != Up || e.Sources != "dns" || e.StartedAt != 0 || e.UID == "" {
			t.Errorf("endpoint %+v", e)
		}
	}
	if _, changed := set.View(0); changed {
		t.Error("a second view with nothing new is reported as changed")
	}
}

func TestUpdateRecords_RecordAfterTheFirstAnswerIsInSlowStart(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	set.UpdateRecords(3*second, serviceName, []Record{recordA(), recordB()})

	view, _ := set.View(3 * second)
	for _, e := range view {
		if (e.Address == addressB) != (e.StartedAt == 3*second) {
			t.Errorf("endpoint %+v: only the later one is a new process", e)
		}
	}
}

func TestUpdateRecords_FlappingRecordReturnsToUp(t *testing.T) {
	set := newSet(t)
	for i := range int64(6) {
		now := i * second
		if i%2 == 0 {
			set.UpdateRecords(now, serviceName, []Record{recordA()})
			requireStates(t, set, now, map[string]State{addressA: Up})
		} else {
			set.UpdateRecords(now, serviceName, nil)
			set.Advance(now, isBusy)
			requireStates(t, set, now, map[string]State{addressA: Draining})
		}
	}
}

func TestAdvance_StaleRecordIsServedForTheStaleTimeThenDrains(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	set.View(0)
	if next := set.Next(); next != 5*second {
		t.Errorf("next %d, want the end of the TTL %d", next, 5*second)
	}

	set.Advance(5*second, nil)
	requireStates(t, set, 5*second, map[string]State{addressA: Up})
	if next := set.Next(); next != 35*second {
		t.Errorf("next %d, want the end of the stale time %d", next, 35*second)
	}

	set.Advance(35*second-1, nil)
	requireStates(t, set, 35*second-1, map[string]State{addressA: Up})

	set.Advance(35*second, isBusy)
	requireStates(t, set, 35*second, map[string]State{addressA: Draining})
	if c := set.Counts(); c.Expired != 1 || c.StaleServed != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestAdvance_TTLZeroIsStaleAtOnceButServed(t *testing.T) {
	set := newSet(t)
	for _, now := range []int64{0, second} {
		set.UpdateRecords(now, serviceName, []Record{newRecord("a", addressA, 0)})
		set.Advance(now, nil)
		requireStates(t, set, now, map[string]State{addressA: Up})
	}
}

func TestRecord_Transitions(t *testing.T) {
	set := newSet(t)
	requireRecord := func(want string) {
		t.Helper()
		if got := set.names[serviceName].records[recordA().key()]; got == nil || got.state.String() != want {
			t.Fatalf("record %+v, want %s", got, want)
		}
	}

	set.UpdateRecords(0, serviceName, []Record{recordA()})
	requireRecord("fresh")
	set.View(0)

	set.Advance(5*second, isBusy)
	requireRecord("stale")

	set.UpdateRecords(6*second, serviceName, []Record{recordA()})
	requireRecord("fresh")

	set.Advance(41*second, isBusy)
	requireRecord("expired")

	set.UpdateRecords(42*second, serviceName, nil)
	requireRecord("expired") // its drain goes on
	set.UpdateRecords(43*second, serviceName, []Record{recordA()})
	requireRecord("fresh")

	set.UpdateRecords(44*second, serviceName, nil)
	requireRecord("withdrawn")
}
