package rollout_test

import (
	"maps"
	"math"
	"slices"
	"testing"

	"eidertrail/internal/rollout"
	"eidertrail/internal/testing/recorded"
)

// notANumber is the encoding of every value that isn't a number, as processors differ in their bits.
const notANumber = 0x7ff8000000000001

// series is the digest of one case's steps, recorded after each tenth of them so that a difference can be located.
type series struct {
	*recorded.Series

	name string
}

func newSeries(name string, steps int) *series {
	return &series{Series: recorded.NewSeries(name+"-%02d-of-10", steps), name: name}
}

// step ends a step, and reports whether another follows.
func (s *series) step() bool {
	s.Step()
	return !s.Complete()
}

// check compares the digests with the recorded ones.
func (s *series) check(tb testing.TB) {
	tb.Helper()
	recorded.Compare(tb, s.name+".txt", s.Lines())
}

// float adds the bits of value, which are the same for all that isn't a number.
func (s *series) float(value float64) {
	if math.IsNaN(value) {
		value = math.Float64frombits(notANumber)
	}
	s.Real(value)
}

func (s *series) err(err error) {
	s.Flag(err != nil)
	if err != nil {
		s.Text(err.Error())
	}
}

func (s *series) counts(counts rollout.Counts) {
	s.Number(counts.InTime)
	s.Number(counts.Late)
	s.Number(counts.Rejected)
	s.Number(counts.Failed)
	s.Number(int64(len(counts.SetupTimes)))
	for _, micros := range slices.Sorted(maps.Keys(counts.SetupTimes)) {
		s.Number(micros)
		s.Number(counts.SetupTimes[micros])
	}
}

func (s *series) action(action rollout.Action) {
	s.Flag(action.Kind == rollout.ActionTransition)
	s.Number(int64(action.Index))
	s.Text(string(action.To)) // the word that the state file holds
	s.Number(action.Until)
	s.Flag(action.Kind == rollout.ActionFinish)
}

// state writes all of the state, of its log the length and the last line.
func (s *series) state(state *rollout.State) {
	s.Text(state.Plan)
	s.Text(string(state.Phase)) // the word that the state file holds
	s.Number(int64(state.Stage))
	s.Number(int64(len(state.Controllers)))
	for _, controller := range state.Controllers {
		s.Text(controller.Name)
		s.Text(string(controller.Version))
		s.Text(string(controller.TransitionTo))
		s.Number(int64(controller.FailedTransitions))
	}
	s.Number(state.StageStartedAt)
	s.Number(state.EvaluatedAt)
	s.Number(int64(len(state.Baselines)))
	for _, baseline := range state.Baselines {
		s.counts(baseline)
	}
	s.Number(int64(len(state.Incarnations)))
	for _, incarnation := range state.Incarnations {
		s.Text(incarnation)
	}
	s.counts(state.EarlierOldCalls)
	s.Text(state.Reason)
	s.Number(int64(len(state.Log)))
	if len(state.Log) > 0 {
		s.Text(state.Log[len(state.Log)-1])
	}
}

// rolloutEnd writes the complete log of a rollout that has ended.
func (s *series) rolloutEnd(state *rollout.State) {
	for _, line := range state.Log {
		s.Text(line)
	}
}
