package lifecycle

import (
	"errors"
	"sync"
	"testing"
)

func TestNext_EveryStateAndTransition(t *testing.T) {
	for _, test := range []struct {
		from State
		want [6]State // after Serve, Drain, Resume, Replace, TakeBack, Stop
	}{
		{Starting, [6]State{Serving, LameDuck, Starting, Replaced, Starting, Stopping}},
		{Serving, [6]State{Serving, LameDuck, Serving, Replaced, Serving, Stopping}},
		{LameDuck, [6]State{LameDuck, LameDuck, Starting, Replaced, LameDuck, Stopping}},
		{Replaced, [6]State{Replaced, Replaced, Replaced, Replaced, Starting, Stopping}},
		{Stopping, [6]State{Stopping, Stopping, Stopping, Stopping, Stopping, Stopping}},
	} {
		for i, want := range test.want {
			transition := Transition(i)
			got, err := Next(test.from, transition)
			if got != want {
				t.Errorf("%s, %s: %s, want %s", test.from, transition, got, want)
			}
			if rejected := test.from == Stopping && transition != Stop; rejected != errors.Is(err, ErrStopping) {
				t.Errorf("%s, %s: %v", test.from, transition, err)
			}
			if rejected := test.from == Replaced && transition == Resume; rejected != errors.Is(err, ErrReplaced) {
				t.Errorf("%s, %s: %v", test.from, transition, err)
			}
		}
	}
}

// The times of the page: callers use their connections for 0.2 s after the front's last question, 0.1 s after the call;
// at 4 s no connection may be idle or carry a request of the last 2 s.
func TestStatus_ScheduleOfADrain(t *testing.T) {
	const call = 10_000_000
	controller := New(0, nil)
	controller.Serve(1)
	if err := controller.Drain(call); err != nil {
		t.Fatal(err)
	}
	status := controller.Status()
	for _, test := range []struct {
		name             string
		holds            func(now int64) bool
		earliest, latest int64 // µs after the call
	}{
		{"connections close", status.ClosesConnections, 350_000, 2_000_000},
		{"set-ups are rejected", status.RejectsSetups, 350_000, 2_000_000},
		{"incomplete lines are given up", status.ClosesIncomplete, 2_300_000, 4_000_000},
	} {
		if test.holds(call + test.earliest) {
			t.Errorf("%s already %d µs after the call", test.name, test.earliest)
		}
		if !test.holds(call + test.latest) {
			t.Errorf("%s not yet %d µs after the call", test.name, test.latest)
		}
	}
	if err := controller.Drain(call + 3_000_000); err != nil || controller.Status() != status {
		t.Errorf("a second call changed the schedule: %+v, %v", controller.Status(), err)
	}
}

func TestStatus_StopInADrainDoesNotReopen(t *testing.T) {
	controller := New(0, nil)
	if err := controller.Drain(0); err != nil { // during the start
		t.Fatal(err)
	}
	controller.Stop(2_000_000, 700_000)
	status := controller.Status()
	if status.State != Stopping || !status.ClosesConnections(2_000_000) || !status.RejectsSetups(2_000_000) {
		t.Errorf("%+v", status)
	}
	if err := controller.Resume(3_000_000); !errors.Is(err, ErrStopping) {
		t.Errorf("a stop was ended: %v", err)
	}
}

// A process that an operator had emptied came back to serving when its successor died.
func TestLifecycle_TakeBackKeepsAnOperatorsDrain(t *testing.T) {
	for _, test := range []struct {
		drained bool
		want    State
	}{{false, Starting}, {true, LameDuck}} {
		controller := New(0, nil)
		controller.Serve(1)
		if test.drained {
			if err := controller.Drain(2); err != nil {
				t.Fatal(err)
			}
		}
		before := controller.Status()
		controller.Replace(3_000_000)
		if test.drained && controller.Status().ClosesConnections(3_000_000) != before.ClosesConnections(3_000_000) {
			t.Error("the replacement has set the drain back")
		}
		controller.TakeBack(4)
		if state := controller.State(); state != test.want {
			t.Errorf("drained before: %t: %s, want %s", test.drained, state, test.want)
		}
	}
}

func TestStatus_StopAloneRejectsNothing(t *testing.T) {
	controller := New(0, nil)
	controller.Stop(0, 700_000)
	status := controller.Status()
	if status.ClosesConnections(699_999) || !status.ClosesConnections(700_000) || status.RejectsSetups(9_000_000) {
		t.Errorf("%+v", status)
	}
}

func TestLifecycle_ChangesAreReportedInOrderAndOnce(t *testing.T) {
	var changes []Change
	controller := New(0, func(c Change) { changes = append(changes, c) })
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { controller.Serve(1) })
	}
	callers.Wait()
	on, off := controller.Drain, controller.Resume
	for now, step := range []func(now int64) error{on, on, off, off} {
		if err := step(int64(now + 2)); err != nil {
			t.Fatal(err)
		}
	}
	want := []Change{
		{Starting, Serving, Serve, 1}, {Serving, LameDuck, Drain, 2}, {LameDuck, Starting, Resume, 4},
	}
	if len(changes) != len(want) {
		t.Fatalf("%+v", changes)
	}
	for i := range want {
		if changes[i] != want[i] {
			t.Errorf("change %d: %+v, want %+v", i, changes[i], want[i])
		}
	}
}

// A drained process that took back from a killed successor took set-ups for as long again as at the drain's beginning.
func TestLifecycle_TakeBackDoesNotBeginTheDrainAnew(t *testing.T) {
	const drainedAt, replacedAt, takenBackAt = 0, 1_200_000, 1_300_000
	controller := New(drainedAt, nil)
	controller.Serve(drainedAt)
	if err := controller.Drain(drainedAt); err != nil {
		t.Fatal(err)
	}
	controller.Replace(replacedAt)

	controller.TakeBack(takenBackAt)

	status := controller.Status()
	if status.State != LameDuck || !status.ClosesConnections(takenBackAt) {
		t.Errorf("%+v, want connections to be closed as before", status)
	}
	const rejects, evicts = drainedAt + drainRejectMicros, drainedAt + drainEvictMicros
	if status.RejectsSetups(rejects-1) || !status.RejectsSetups(rejects) || !status.ClosesIncomplete(evicts) {
		t.Errorf("%+v, want set-ups rejected from %d µs on", status, rejects)
	}
	if err := controller.Resume(evicts); err != nil || controller.Status().Draining() {
		t.Errorf("resumed: %v, %+v", err, controller.Status())
	}
}
