// These are characterisation tests: they record what the program does today, so that a change which is to leave
// behaviour alone can be shown to do so. The recorded files are under testdata/characterization. After a change of
// behaviour on purpose they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/rollout -run TestCharacterization
//
// and the commit has to say why they changed. Without that variable a missing or different file fails the test.
package rollout_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"eidertrail/internal/rollout"
	"eidertrail/internal/testing/recorded"
)

// Rollouts as they can happen: good and bad new versions, transitions that fail, processes that end, aborts, restarts
// of the program.
func TestCharacterization_PlayedRollouts(t *testing.T) {
	t.Parallel()
	recording := newSeries("played-rollouts", 10_000)
	ends := map[rollout.Phase]int{}
	for seed := uint64(0); !recording.Complete(); seed++ {
		f := newFleet(t, newGenerator(seed))
		for final := false; !final && !recording.Complete(); {
			f.disturb(t)
			action := f.plan.Next(f.state, f.observation())
			recording.action(action)
			final = action.Kind == rollout.ActionFinish
			if !final {
				f.carryOut(action)
			}
			recording.state(f.state)
			recording.step()
		}
		recording.rolloutEnd(f.state)
		ends[f.state.Phase]++
	}
	for _, phase := range []rollout.Phase{rollout.PhaseDone, rollout.PhaseAborted, rollout.PhaseStuck} {
		if ends[phase] < 20 {
			t.Errorf("only %d rollouts ended as %q: the steps do not reach all of the decider", ends[phase], phase)
		}
	}
	recording.check(t)
}

// Rollouts with observations and ends of transitions that are not to be expected.
func TestCharacterization_DistortedRollouts(t *testing.T) {
	t.Parallel()
	recording := newSeries("distorted-rollouts", 10_000)
	for seed := uint64(100_000); !recording.Complete(); seed++ {
		f := newFleet(t, newGenerator(seed))
		for finalSteps := 0; finalSteps < 3 && !recording.Complete(); {
			f.disturb(t)
			observation := f.observation()
			if f.chance(60) {
				f.distort(&observation)
			}
			action := f.plan.Next(f.state, observation)
			recording.action(action)
			if action.Kind == rollout.ActionFinish {
				finalSteps++
			} else {
				f.carryOut(action)
			}
			if f.chance(20) {
				f.endUnexpectedTransition()
			}
			recording.state(f.state)
			recording.step()
		}
		recording.rolloutEnd(f.state)
	}
	recording.check(t)
}

// The comparison of old and new, and the arithmetic of counts, on random counts.
func TestCharacterization_Comparisons(t *testing.T) {
	t.Parallel()
	recording := newSeries("comparisons", 20_000)
	random := newGenerator(1)
	worse := 0
	for more := true; more; more = recording.step() {
		plan := rollout.Plan{Confidence: pick(random, 0.9, 0.95, 0.99, 0.9999), Tolerance: pick(random, 0, 0.01, 0.1, 0.5)}
		oldCounts, newCounts := random.counts(), random.counts()
		if random.chance(500) { // near each other
			rejected := int64(random.below(60))
			newCounts = oldCounts.Add(rollout.Counts{
				Rejected:   rejected,
				SetupTimes: map[int64]int64{20_000: int64(random.below(60))},
			})
		}
		for _, comparison := range plan.Compare(oldCounts, newCounts, pick(random, -1, 0, 1, 10, 1000)) {
			recording.Text(string(comparison.Metric)) // the words that the state file's reason holds
			recording.float(comparison.Old)
			recording.float(comparison.New)
			recording.float(comparison.Z)
			recording.Flag(comparison.Worse)
			if comparison.Worse {
				worse++
			}
		}
		recording.counts(oldCounts.Add(newCounts))
		recording.counts(oldCounts.Sub(newCounts))
		recording.Number(oldCounts.Calls())
		recording.Number(oldCounts.P99())
	}
	if worse < 1000 || worse > 60_000 {
		t.Errorf("%d of 80000 comparisons were worse: the counts do not reach both sides", worse)
	}
	recording.check(t)
}

// Plans at the limits of their fields and past them, and the texts of stages: what is accepted, and the words for the
// rest.
func TestCharacterization_PlansAndStages(t *testing.T) {
	t.Parallel()
	recording := newSeries("plans-and-stages", 10_000)
	random := newGenerator(2)
	texts := []string{
		"", "0", "1", "5", "-3", "+2", " 1", "1 ", "x", "1.5", "1e1", "0x2", "99999999999999999999", "%", "0%", "0.0001%",
		"1%", "20%", "33.34%", "50%", "99.999%", "100%", "100.1%", "-5%", "NaN%", "Inf%", "1e1%", " 5%", "5 %", "5%%", "٣",
	}
	for more := true; more; more = recording.step() {
		plan := random.plan(t)
		for range random.below(3) {
			if len(plan.Controllers) > 1 && len(plan.Stages) > 0 {
				random.spoil(&plan)
			}
		}
		err := plan.Check()
		recording.err(err)
		recording.Flag(errors.Is(err, rollout.ErrPlan))
		controllers, err := rollout.ParseStage(pick(random, texts...), random.between(0, 256))
		recording.Number(int64(controllers))
		recording.err(err)
		recording.Flag(errors.Is(err, rollout.ErrPlan))
	}
	recording.check(t)
}

// stateWithEveryKey is a state in which every key of the file is present.
func stateWithEveryKey() *rollout.State {
	return &rollout.State{
		Plan:  "0123456789abcdef",
		Phase: rollout.PhaseRollingBack,
		Stage: 1,
		Controllers: []rollout.Controller{
			{Name: "n0", Version: rollout.VersionNew, TransitionTo: rollout.VersionOld, FailedTransitions: 2},
			{Name: "n1", Version: rollout.VersionOld, TransitionTo: rollout.VersionNew, FailedTransitions: 1},
		},
		StageStartedAt: 1_700_000_000_123,
		EvaluatedAt:    1_700_000_001_456,
		Baselines: []rollout.Counts{
			{InTime: 11, Late: 12, Rejected: 13, Failed: 14, SetupTimes: map[int64]int64{20_000: 15, 200_000: 16}},
			{InTime: 21, Late: 22, Rejected: 23, Failed: 24, SetupTimes: map[int64]int64{9000: 25, 30_000: 26}},
		},
		Incarnations: []string{"1700000000000001", "1700000000000002"},
		EarlierOldCalls: rollout.Counts{
			InTime: 31, Late: 32, Rejected: 33, Failed: 34, SetupTimes: map[int64]int64{1000: 35},
		},
		Reason: "the operator aborted it",
		Log:    []string{"controller n0 is new", "stopped: the operator aborted it"},
	}
}

// checkNoFieldIsZero fails the test when the value, or one in it, was left out of an example that is to have all.
func checkNoFieldIsZero(tb testing.TB, path string, value reflect.Value) {
	tb.Helper()
	if value.IsZero() {
		tb.Errorf("%s is not set in the example", path)
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkNoFieldIsZero(tb, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			checkNoFieldIsZero(tb, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			checkNoFieldIsZero(tb, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	}
}

// watchedState is a state in the middle of a stage, with what was counted when its watching began.
func watchedState(tb testing.TB) *rollout.State {
	tb.Helper()
	plan := rollout.Plan{
		Controllers:        []string{"n0", "n1", "n2"},
		Stages:             []int{1, 3},
		MinTime:            1000,
		MaxTime:            60_000,
		MinCalls:           100,
		EvaluationInterval: 500,
		Confidence:         0.99,
		Tolerance:          0.01,
	}
	state := plan.Begin("fedcba9876543210")
	observation := rollout.Observation{
		Now:          1_700_000_000_000,
		Incarnations: []string{"1", "2", "3"},
		Counts: []rollout.Counts{
			{}, {InTime: 7, Late: 1, Rejected: 2, Failed: 3, SetupTimes: map[int64]int64{10_000: 8}}, {},
		},
	}
	plan.Next(state, observation)
	state.EndTransition(0, rollout.VersionNew, errors.New("it takes too long"))
	plan.Next(state, observation)
	state.EndTransition(0, rollout.VersionNew, nil)
	if action := plan.Next(state, observation); action.Until != observation.Now+plan.EvaluationInterval {
		tb.Fatalf("the stage is not watched: %+v", action)
	}
	return state
}

// The state file: what today's program writes is read back to the same state by any later one, and written as the same
// bytes.
func TestCharacterization_StateFile(t *testing.T) {
	checkNoFieldIsZero(t, "state", reflect.ValueOf(stateWithEveryKey()))
	begun := rollout.Plan{Controllers: []string{"n0", "n1"}, Stages: []int{1, 2}}.Begin("0123456789abcdef")
	for _, test := range []struct {
		file  string
		state *rollout.State
	}{
		{"state-every-key.json", stateWithEveryKey()},
		{"state-begun.json", begun},
		{"state-watched.json", watchedState(t)},
	} {
		text, err := json.MarshalIndent(test.state, "", " ") // as the state file is written
		if err != nil {
			t.Fatal(err)
		}
		recorded.Compare(t, test.file, string(text)+"\n")
		read := &rollout.State{}
		if err := json.Unmarshal([]byte(recorded.Read(t, test.file)), read); err != nil {
			t.Fatalf("%s: %v", test.file, err)
		}
		if !reflect.DeepEqual(read, test.state) {
			t.Errorf("%s is read as another state than the one it was written from:\n%+v\n%+v", test.file, read, test.state)
		}
	}
}

// The words of versions and phases that the state file holds.
func TestCharacterization_WordsOfTheStateFile(t *testing.T) {
	for _, test := range []struct{ got, want string }{
		{string(rollout.VersionOld), "old"},
		{string(rollout.VersionNew), "new"},
		{string(rollout.PhaseRunning), "running"},
		{string(rollout.PhaseRollingBack), "rolling back"},
		{string(rollout.PhaseDone), "done"},
		{string(rollout.PhaseAborted), "aborted"},
		{string(rollout.PhaseStuck), "stuck"},
	} {
		if test.got != test.want {
			t.Errorf("the word is %q, want %q", test.got, test.want)
		}
	}
}

// The bound on the state's log: the first lines are kept, later ones are dropped.
func TestCharacterization_LongLog(t *testing.T) {
	const controllers = 256
	plan := rollout.Plan{Stages: []int{controllers}, EvaluationInterval: 1000, MaxTime: 1000}
	for i := range controllers {
		plan.Controllers = append(plan.Controllers, fmt.Sprintf("n%d", i))
	}
	state := plan.Begin("long")
	transitions := 0
	for {
		action := plan.Next(state, rollout.Observation{Abort: transitions == controllers})
		if action.Kind == rollout.ActionFinish {
			break
		}
		if action.Kind != rollout.ActionTransition {
			t.Fatal("an evaluation in place of a transition")
		}
		state.EndTransition(action.Index, action.To, nil)
		transitions++
	}
	if transitions != 512 || state.Phase != rollout.PhaseAborted {
		t.Errorf("%d transitions, phase %q", transitions, state.Phase)
	}
	if last := state.Log[len(state.Log)-1]; len(state.Log) != 500 || last != "controller n13 is old" {
		t.Errorf("%d lines, the last is %q", len(state.Log), last)
	}
}
