package rollout_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"

	"eidertrail/internal/rollout"
)

// generator draws random values; its sequence depends on the seed alone.
type generator struct{ source *rand.PCG }

func newGenerator(seed uint64) generator { return generator{rand.NewPCG(seed, 0x726f6c6c6f7574)} }

// below draws from 0 to n-1.
func (g generator) below(n int) int { return int(g.source.Uint64() % uint64(n)) }

// between draws from low to high.
func (g generator) between(low, high int) int { return low + g.below(high-low+1) }

// chance is true so many times in a thousand.
func (g generator) chance(permille int) bool { return g.below(1000) < permille }

// pick draws one of the values.
func pick[T any](g generator, values ...T) T { return values[g.below(len(values))] }

// plan draws a plan that Check accepts.
func (g generator) plan(tb testing.TB) rollout.Plan {
	tb.Helper()
	plan := rollout.Plan{
		MinTime:            int64(g.between(0, 20)) * 500,
		EvaluationInterval: pick(g, int64(500), 1000, 2500),
		MinCalls:           int64(g.between(10, 600)),
		Confidence:         pick(g, 0.9, 0.95, 0.99, 0.999),
		Tolerance:          pick(g, 0, 0.01, 0.05, 0.5),
	}
	plan.MaxTime = plan.MinTime + int64(g.between(1, 40))*500
	controllers := g.between(2, 7)
	for i := range controllers {
		plan.Controllers = append(plan.Controllers, fmt.Sprintf("n%d", i))
	}
	for moved := 0; moved < controllers; {
		moved = min(controllers, moved+g.between(1, 3))
		plan.Stages = append(plan.Stages, moved)
	}
	if err := plan.Check(); err != nil {
		tb.Fatal(err)
	}
	return plan
}

// spoil changes a field of a plan to one of its limits, or past them.
func (g generator) spoil(plan *rollout.Plan) {
	switch g.below(10) {
	case 0:
		plan.Controllers = plan.Controllers[:g.below(2)]
	case 1:
		plan.Controllers[g.below(len(plan.Controllers))] = pick(g, "", "n0", "n1", "x")
	case 2:
		plan.Stages = plan.Stages[:g.below(len(plan.Stages))]
	case 3:
		plan.Stages[g.below(len(plan.Stages))] = g.between(-1, 8)
	case 4:
		plan.MinTime = pick(g, int64(-1), 0, plan.MaxTime, plan.MaxTime+1)
	case 5:
		plan.MaxTime = pick(g, int64(-1), 0, 1)
	case 6:
		plan.MinCalls = int64(g.between(8, 12))
	case 7:
		plan.EvaluationInterval = int64(g.between(48, 52))
	case 8:
		plan.Confidence = pick(g, 0.8999, 0.9, 0.99999, 1, 1.1, math.NaN())
	case 9:
		plan.Tolerance = pick(g, -0.0001, 0, 0.5, 0.5001, math.NaN())
	}
}

// counts draws counts, sometimes such as no controller reports.
func (g generator) counts() rollout.Counts {
	counts := rollout.Counts{
		InTime:   int64(g.below(3000)),
		Late:     int64(g.below(100)),
		Rejected: int64(g.below(300)),
		Failed:   int64(g.below(50)),
	}
	if g.chance(50) {
		counts.InTime = -int64(g.below(50))
	}
	if g.chance(100) {
		counts = rollout.Counts{}
	}
	if g.chance(900) {
		counts.SetupTimes = map[int64]int64{}
		for range g.below(8) {
			counts.SetupTimes[int64(g.below(12))*1000] += int64(g.between(-1, 40))
		}
	}
	return counts
}

// rates are how a version treats its calls, in thousandths.
type rates struct{ rejected, failed, late, slow int }

// fleet is controllers that count calls by the version they run, and make the transitions which are decided.
type fleet struct {
	generator
	plan             rollout.Plan
	state            *rollout.State
	now              int64 // ms
	callRate         int   // calls a second at each controller
	oldRates         rates
	newRates         rates
	transitionErrors int // thousandths
	abort            bool
	versions         []rollout.Version
	incarnations     []int // 0: does not answer
	counted          []rollout.Counts
}

func newFleet(tb testing.TB, random generator) *fleet {
	tb.Helper()
	f := &fleet{
		generator:        random,
		plan:             random.plan(tb),
		now:              int64(random.between(1, 1_000_000)),
		callRate:         pick(random, 0, 3, 20, 50, 200),
		transitionErrors: pick(random, 0, 0, 0, 50, 400, 950),
	}
	f.oldRates = rates{
		rejected: pick(random, 0, 20, 100),
		failed:   pick(random, 0, 5),
		late:     pick(random, 0, 10),
		slow:     pick(random, 0, 5, 10),
	}
	f.newRates = f.oldRates
	switch random.below(6) {
	case 0:
		f.newRates.rejected += random.between(5, 300)
	case 1:
		f.newRates.failed += random.between(5, 300)
	case 2:
		f.newRates.late += random.between(5, 300)
	case 3:
		f.newRates.slow += random.between(5, 300)
	}
	f.state = f.plan.Begin(pick(random, "first plan", "second plan"))
	for range f.plan.Controllers {
		f.versions = append(f.versions, rollout.VersionOld)
		f.incarnations = append(f.incarnations, 1)
		f.counted = append(f.counted, rollout.Counts{SetupTimes: map[int64]int64{}})
	}
	return f
}

// pass lets calls arrive for a time in ms.
func (f *fleet) pass(millis int64) {
	f.now += millis
	calls := int64(f.callRate) * millis / 1000
	for i := range f.counted {
		treatment := f.oldRates
		if f.versions[i] == rollout.VersionNew {
			treatment = f.newRates
		}
		f.count(&f.counted[i], calls, treatment)
	}
}

// count adds calls that a controller took.
func (f *fleet) count(counts *rollout.Counts, calls int64, treatment rates) {
	part := func(permille int) int64 { return (calls*int64(permille) + int64(f.below(1000))) / 1000 }
	rejected, failed := part(treatment.rejected), part(treatment.failed)
	late, slow := part(treatment.late), part(treatment.slow)
	counts.Rejected += rejected
	counts.Failed += failed
	counts.Late += late
	inTime := max(0, calls-rejected-failed-late)
	counts.InTime += inTime
	counts.SetupTimes[200_000] += min(slow, inTime)
	counts.SetupTimes[int64(f.between(20, 23))*1000] += inTime - min(slow, inTime)
}

func (f *fleet) observation() rollout.Observation {
	observation := rollout.Observation{Now: f.now, Abort: f.abort}
	for i, counts := range f.counted {
		counts.SetupTimes = maps.Clone(counts.SetupTimes)
		incarnation := ""
		if f.incarnations[i] > 0 {
			incarnation = fmt.Sprintf("life %d", f.incarnations[i])
		}
		observation.Counts = append(observation.Counts, counts)
		observation.Incarnations = append(observation.Incarnations, incarnation)
	}
	return observation
}

// restart has a controller's process end and another begin.
func (f *fleet) restart(index int) {
	f.incarnations[index]++
	f.counted[index] = rollout.Counts{SetupTimes: map[int64]int64{}}
}

func (f *fleet) transitionError() error {
	if !f.chance(f.transitionErrors) {
		return nil
	}
	if f.chance(300) {
		return fmt.Errorf("%w: listen: empty", rollout.ErrRejected)
	}
	return errors.New("it takes too long")
}

// carryOut does what an action says.
func (f *fleet) carryOut(action rollout.Action) {
	if action.Kind == rollout.ActionWait {
		f.pass(action.Until - f.now)
		return
	}
	err := f.transitionError()
	if err == nil {
		f.versions[action.Index] = action.To
		f.restart(action.Index)
	}
	f.state.EndTransition(action.Index, action.To, err)
	f.pass(500)
}

// storeAndRead puts the state through its stored form, as when the program is killed and started again.
func (f *fleet) storeAndRead(tb testing.TB) {
	tb.Helper()
	text, err := json.Marshal(f.state)
	if err != nil {
		tb.Fatal(err)
	}
	f.state = &rollout.State{}
	if err := json.Unmarshal(text, f.state); err != nil {
		tb.Fatal(err)
	}
}

// disturb is what goes on beside the rollout in reality: processes end, the operator aborts, the program is restarted.
func (f *fleet) disturb(tb testing.TB) {
	tb.Helper()
	if f.chance(3) {
		f.restart(f.below(len(f.incarnations)))
	}
	if f.chance(1) {
		f.abort = true
	}
	if f.chance(50) {
		f.storeAndRead(tb)
	}
}

// distort changes an observation to one that is not to be expected.
func (f *fleet) distort(observation *rollout.Observation) {
	i := f.below(len(observation.Incarnations))
	switch f.below(8) {
	case 0:
		observation.Incarnations[i] = ""
	case 1:
		observation.Incarnations[i] = "another life"
	case 2:
		observation.Counts[i] = rollout.Counts{}
	case 3:
		observation.Counts[i].InTime -= int64(f.below(5000))
	case 4:
		observation.Counts[i].SetupTimes[int64(f.below(3))] -= 7
	case 5:
		observation.Now -= int64(f.below(100_000))
	case 6:
		observation.Now += int64(f.below(1_000_000))
	case 7:
		observation.Abort = f.chance(20)
	}
}

// endUnexpectedTransition reports the end of a transition that was not asked for.
func (f *fleet) endUnexpectedTransition() {
	index := f.below(len(f.incarnations))
	version := pick(f.generator, rollout.VersionOld, rollout.VersionNew)
	rejected := fmt.Errorf("%w: tick: negative", rollout.ErrRejected)
	err := pick[error](f.generator, nil, errors.New("no such program"), rejected)
	f.state.EndTransition(index, version, err)
}
