package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

const (
	// maxSteps bounds the steps of a rollout that is played.
	maxSteps = 10_000
	// transitionTime is how long a transition takes, in ms.
	transitionTime = 500
)

// fleet is controllers that count calls as their version does, and that make the transitions which are decided.
type fleet struct {
	plan           Plan
	state          *State
	now            int64 // ms
	random         *rand.Rand
	versions       []Version
	counts         []Counts
	incarnations   []int               // 0: does not answer
	callRate       int                 // calls a second at each controller
	rejectionRate  map[Version]float64 // the proportion of calls rejected
	slowRate       map[Version]float64 // the proportion of calls that take long to set up
	transitionFail func(index int, to Version) error
	beforeStep     func(f *fleet)
	abort          bool
	maxNew         int // controllers that were new at the same time
}

func newFleet(tb testing.TB, seed uint64) *fleet {
	tb.Helper()
	f := &fleet{
		plan:           testPlan(),
		random:         rand.New(rand.NewPCG(seed, 2)),
		callRate:       50,
		rejectionRate:  map[Version]float64{VersionOld: 0.02, VersionNew: 0.02},
		slowRate:       map[Version]float64{VersionOld: 0.005, VersionNew: 0.005},
		transitionFail: func(int, Version) error { return nil },
		beforeStep:     func(*fleet) {},
	}
	if err := f.plan.Check(); err != nil {
		tb.Fatal(err)
	}
	f.state = f.plan.Begin("x")
	count := len(f.plan.Controllers)
	f.versions, f.counts, f.incarnations = make([]Version, count), make([]Counts, count), make([]int, count)
	for i := range count {
		f.versions[i] = VersionOld
		f.restart(i)
	}
	return f
}

// restart has a controller's process end and another begin, which counts from zero.
func (f *fleet) restart(index int) {
	f.incarnations[index]++
	f.counts[index] = Counts{SetupTimes: map[int64]int64{}}
}

// pass lets calls arrive for a time in ms.
func (f *fleet) pass(millis int64) {
	f.now += millis
	for i := range f.counts {
		for range int64(f.callRate) * millis / 1000 {
			f.call(i)
		}
	}
}

// call has a controller take one call.
func (f *fleet) call(index int) {
	counts, version := &f.counts[index], f.versions[index]
	switch {
	case f.random.Float64() < f.rejectionRate[version]:
		counts.Rejected++
	case f.random.Float64() < f.slowRate[version]:
		counts.InTime++
		counts.SetupTimes[200_000]++
	default:
		counts.InTime++
		counts.SetupTimes[20_000+1000*f.random.Int64N(10)]++
	}
}

// play plays the rollout to its end. The state goes through its stored form before every step, as when the program is
// killed and started again each time.
func (f *fleet) play(tb testing.TB) *State {
	tb.Helper()
	for range maxSteps {
		f.beforeStep(f)
		f.storeAndRead(tb)
		switch action := f.plan.Next(f.state, f.observation()); action.Kind {
		case ActionFinish:
			return f.state
		case ActionTransition:
			f.carryOut(action)
		default:
			f.pass(action.Until - f.now)
		}
	}
	tb.Fatal("the rollout does not end")
	return nil
}

func (f *fleet) storeAndRead(tb testing.TB) {
	tb.Helper()
	text, err := json.Marshal(f.state)
	if err != nil {
		tb.Fatal(err)
	}
	f.state = &State{}
	if err := json.Unmarshal(text, f.state); err != nil {
		tb.Fatal(err)
	}
}

func (f *fleet) observation() Observation {
	observation := Observation{Now: f.now, Abort: f.abort}
	for i, counts := range f.counts {
		incarnation := ""
		if f.incarnations[i] != 0 {
			incarnation = strconv.Itoa(f.incarnations[i])
		}
		observation.Counts = append(observation.Counts, counts.Add(Counts{}))
		observation.Incarnations = append(observation.Incarnations, incarnation)
	}
	return observation
}

func (f *fleet) carryOut(action Action) {
	err := f.transitionFail(action.Index, action.To)
	if err == nil {
		f.versions[action.Index] = action.To
		f.restart(action.Index)
	}
	f.state.EndTransition(action.Index, action.To, err)
	f.pass(transitionTime)
	f.maxNew = max(f.maxNew, f.running(VersionNew))
}

// running is the number of controllers that run the version.
func (f *fleet) running(version Version) int {
	count := 0
	for _, running := range f.versions {
		if running == version {
			count++
		}
	}
	return count
}

// allRun reports whether all controllers run the version.
func (f *fleet) allRun(version Version) bool { return f.running(version) == len(f.versions) }

// watching reports whether a stage is being watched.
func (f *fleet) watching(stage int) bool { return f.state.Stage == stage && f.state.StageStartedAt > 0 }

// newVersionEnds has the first new controller's process end while the second stage is watched.
func newVersionEnds(f *fleet) {
	f.beforeStep = func(f *fleet) {
		if f.watching(1) && f.versions[0] == VersionNew && f.incarnations[0] == 2 {
			f.incarnations[0]++
		}
	}
}

// oldVersionRestarts has an old controller's process restart while the second stage is watched.
func oldVersionRestarts(f *fleet) {
	f.beforeStep = func(f *fleet) {
		if f.watching(1) && f.versions[4] == VersionOld && f.incarnations[4] == 1 {
			f.restart(4)
		}
	}
}

// transitionFailsOnce has one transition fail at its first attempt.
func transitionFailsOnce(f *fleet) {
	failed := false
	f.transitionFail = func(index int, _ Version) error {
		if index == 1 && !failed {
			failed = true
			return errors.New("killed")
		}
		return nil
	}
}

// settingsRejected has the third controller's transition rejected before anything is touched.
func settingsRejected(f *fleet) {
	f.transitionFail = func(index int, to Version) error {
		if index == 2 && to == VersionNew {
			return fmt.Errorf("%w: config: listen: empty", ErrRejected)
		}
		return nil
	}
}

// rollbackFails has a bad change whose controllers cannot be taken back.
func rollbackFails(f *fleet) {
	f.rejectionRate[VersionNew] = 0.5
	f.transitionFail = func(_ int, to Version) error {
		if to == VersionOld {
			return errors.New("no such program")
		}
		return nil
	}
}

func TestPlan_RolloutEndsInItsPhase(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrange func(f *fleet)
		phase   Phase
		maxNew  int    // controllers that were ever new at the same time
		reason  string // a part of it
	}{
		{"a good change is done", func(*fleet) {}, PhaseDone, 5, ""},
		{
			"a change that rejects more is rolled back",
			func(f *fleet) { f.rejectionRate[VersionNew] = 0.15 },
			PhaseAborted, 1, "not standing in time",
		},
		{
			"a change that is slower is rolled back",
			func(f *fleet) { f.slowRate[VersionNew] = 0.2 },
			PhaseAborted, 1, "p99",
		},
		{
			"a change that rejects more within the tolerance is done",
			func(f *fleet) { f.rejectionRate[VersionNew] = 0.025 },
			PhaseDone, 5, "",
		},
		{"no calls: rolled back", func(f *fleet) { f.callRate = 0 }, PhaseAborted, 1, "only 0 calls"},
		{"too few calls: rolled back", func(f *fleet) { f.callRate = 4 }, PhaseAborted, 1, "calls of the new"},
		{"a new version that ends is rolled back", newVersionEnds, PhaseAborted, 3, "controller n0 ended"},
		{"an old version that restarts does not stop the change", oldVersionRestarts, PhaseDone, 5, ""},
		{"a transition that fails once is attempted again", transitionFailsOnce, PhaseDone, 5, ""},
		{"settings rejected at the second stage are rolled back", settingsRejected, PhaseAborted, 2, "listen: empty"},
		{"a controller that cannot be rolled back is stuck", rollbackFails, PhaseStuck, 1, "could not be made old"},
		{
			"the operator aborts at the second stage",
			func(f *fleet) { f.beforeStep = func(f *fleet) { f.abort = f.state.Stage == 1 } },
			PhaseAborted, 2, "operator",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed)
				test.arrange(f)

				state := f.play(t)

				noReason := state.Reason == ""
				if state.Phase != test.phase || !strings.Contains(state.Reason, test.reason) || (test.reason == "") != noReason {
					t.Errorf("phase %q, reason %q, want %q, %q\n%s",
						state.Phase, state.Reason, test.phase, test.reason, strings.Join(state.Log, "\n"))
				}
				if f.maxNew != test.maxNew {
					t.Errorf("%d were new at a time, want %d", f.maxNew, test.maxNew)
				}
				if state.Phase == PhaseDone && !f.allRun(VersionNew) || state.Phase == PhaseAborted && !f.allRun(VersionOld) {
					t.Errorf("phase %q with versions %v", state.Phase, f.versions)
				}
			}
		})
	}
}

// A change that is no worse is stopped no more often than the confidence says, and one that rejects 7 points more is
// stopped in its first stage nearly always.
func TestPlan_ComparisonKeepsItsConfidence(t *testing.T) {
	const runs = 200
	goodStopped, badPromoted := 0, 0
	for seed := range uint64(runs) {
		good := newFleet(t, seed)
		good.rejectionRate[VersionOld], good.rejectionRate[VersionNew] = 0.1, 0.1
		if state := good.play(t); state.Phase != PhaseDone {
			goodStopped++
		}
		bad := newFleet(t, seed)
		bad.rejectionRate[VersionOld], bad.rejectionRate[VersionNew] = 0.1, 0.17
		bad.plan.MinTime, bad.plan.MinCalls = 40_000, 1500
		if bad.play(t); bad.maxNew > 1 {
			badPromoted++
		}
	}
	t.Logf("of %d: %d good ones stopped, %d bad ones past their first stage", runs, goodStopped, badPromoted)
	if goodStopped > runs/50 || badPromoted > runs/10 {
		t.Errorf("of %d: %d good ones stopped, %d bad ones past their first stage", runs, goodStopped, badPromoted)
	}
}
