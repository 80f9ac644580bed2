package rollout

import (
	"fmt"
	"slices"
)

// Observation is what was seen of the controllers, in the plan's order.
type Observation struct {
	Now          int64    // Unix milliseconds
	Counts       []Counts // of each controller
	Incarnations []string // identifies each controller's process, "" where it does not answer
	Abort        bool     // the operator wants the change rolled back
}

// ActionKind is what kind of step comes next.
type ActionKind int

// The kinds of action.
const (
	ActionWait       ActionKind = iota // observe again at a time
	ActionTransition                   // make a controller run a version, then report to State.EndTransition
	ActionFinish                       // nothing more: the phase is final
)

// String returns the kind's name.
func (k ActionKind) String() string {
	switch k {
	case ActionWait:
		return "wait"
	case ActionTransition:
		return "transition"
	case ActionFinish:
		return "finish"
	}
	return fmt.Sprintf("ActionKind(%d)", int(k))
}

// Action is what the caller does next.
type Action struct {
	Kind  ActionKind
	Index int     // ActionTransition: the controller
	To    Version // ActionTransition: the version it is to run
	Until int64   // ActionWait: when to observe again, Unix milliseconds
}

// Next decides what comes next and changes the state accordingly. The caller saves the state before it carries the
// action out: what was begun and not saved would be unknown after an interruption.
func (p Plan) Next(state *State, observation Observation) Action {
	if state.Phase == PhaseRunning && observation.Abort {
		state.beginRollback("the operator aborted it")
	}
	switch state.Phase {
	case PhaseRunning:
		return p.continueStage(state, observation)
	case PhaseRollingBack:
		return state.continueRollback()
	default: // the phase is final
		return Action{Kind: ActionFinish}
	}
}

// continueRollback takes back the latest transition first. A controller in transition counts as on neither version.
func (s *State) continueRollback() Action {
	for i := range slices.Backward(s.Controllers) {
		if !s.Controllers[i].settled(VersionOld) {
			return s.beginTransition(i, VersionOld)
		}
	}
	s.markAborted()
	return Action{Kind: ActionFinish}
}

// continueStage begins the next transition of the stage, or watches it when all are made.
func (p Plan) continueStage(state *State, observation Observation) Action {
	for i := range state.Controllers[:p.Stages[state.Stage]] {
		if !state.Controllers[i].settled(VersionNew) {
			return state.beginTransition(i, VersionNew)
		}
	}
	if state.StageStartedAt == 0 {
		return p.startStage(state, observation)
	}
	return p.evaluateStage(state, observation)
}

// wait is the action until the next evaluation.
func (p Plan) wait(observation Observation) Action {
	return Action{Kind: ActionWait, Until: observation.Now + p.EvaluationInterval}
}

// rollBack stops the rollout and begins to take it back.
func (p Plan) rollBack(state *State, observation Observation, reason string) Action {
	state.beginRollback(reason)
	return p.Next(state, observation)
}

// startStage begins to watch a stage once all controllers answer, old ones included: one that does not answer has no
// baseline to count from.
func (p Plan) startStage(state *State, observation Observation) Action {
	if unanswered := slices.Index(observation.Incarnations, ""); unanswered >= 0 {
		if state.EvaluatedAt == 0 {
			state.EvaluatedAt = observation.Now
		}
		if observation.Now-state.EvaluatedAt > p.MaxTime {
			reason := fmt.Sprintf("controller %s does not answer", state.Controllers[unanswered].Name)
			return p.rollBack(state, observation, reason)
		}
		return p.wait(observation)
	}
	state.startStage(observation)
	state.note("stage %d of %d: %d of %d controllers are new",
		state.Stage+1, len(p.Stages), p.Stages[state.Stage], len(state.Controllers))
	return p.wait(observation)
}

// evaluateStage compares the versions over the stage so far, and rolls back, promotes or waits.
func (p Plan) evaluateStage(state *State, observation Observation) Action {
	if ended, found := state.followIncarnations(observation); found {
		return p.rollBack(state, observation, fmt.Sprintf("controller %s ended while it ran the new version", ended))
	}
	oldCounts, newCounts := state.stageCounts(observation)
	reference := oldCounts
	if p.Stages[state.Stage] == len(state.Controllers) { // no controller is old any more
		reference = state.EarlierOldCalls
	}
	if worse, found := p.firstWorse(reference, newCounts); found {
		reason := fmt.Sprintf("stage %d: %s: %.1f%% of the new against %.1f%% of the old (%d and %d calls, z %.1f)",
			state.Stage+1, worse.Metric, 100*worse.New, 100*worse.Old, newCounts.Calls(), reference.Calls(), worse.Z)
		return p.rollBack(state, observation, reason)
	}
	watched := observation.Now - state.StageStartedAt
	if watched < p.MinTime || newCounts.Calls() < p.MinCalls || reference.Calls() < p.MinCalls {
		if watched >= p.MaxTime {
			reason := fmt.Sprintf("stage %d: only %d calls of the new and %d of the old in the time it has, want %d",
				state.Stage+1, newCounts.Calls(), reference.Calls(), p.MinCalls)
			return p.rollBack(state, observation, reason)
		}
		return p.wait(observation)
	}
	state.note("stage %d: no worse, by %d calls of the new and %d of the old",
		state.Stage+1, newCounts.Calls(), reference.Calls())
	state.endStage(oldCounts)
	return p.promote(state, observation)
}

// firstWorse returns the first metric in which the new version is worse. It takes half of MinCalls on either side:
// a stage is stopped as soon as the difference is certain, but never on a handful of calls.
func (p Plan) firstWorse(oldCounts, newCounts Counts) (worse Comparison, found bool) {
	if newCounts.Calls() < p.MinCalls/2 || oldCounts.Calls() < p.MinCalls/2 {
		return Comparison{}, false
	}
	evaluations := int(p.MaxTime/p.EvaluationInterval) + 1
	for _, comparison := range p.Compare(oldCounts, newCounts, evaluations) {
		if comparison.Worse {
			return comparison, true
		}
	}
	return Comparison{}, false
}

// promote goes on to the next stage, or completes the rollout after the last.
func (p Plan) promote(state *State, observation Observation) Action {
	if state.Stage+1 == len(p.Stages) {
		state.markDone()
		return Action{Kind: ActionFinish}
	}
	state.Stage++
	return p.Next(state, observation)
}

// followIncarnations looks for processes that are not those of the stage's start, and returns the name of a
// controller whose new version ended. An old one that was restarted counts from its start; one that does not answer
// counts nothing until it does.
func (s *State) followIncarnations(observation Observation) (ended string, found bool) {
	for i, controller := range s.Controllers {
		if observation.Incarnations[i] == s.Incarnations[i] {
			continue
		}
		if controller.Version == VersionNew {
			return controller.Name, true
		}
		s.Baselines[i], s.Incarnations[i] = Counts{}, observation.Incarnations[i]
	}
	return "", false
}

// stageCounts sums what the controllers of each version counted since the stage's start.
func (s *State) stageCounts(observation Observation) (oldCounts, newCounts Counts) {
	for i, controller := range s.Controllers {
		if observation.Incarnations[i] == "" {
			continue
		}
		counted := observation.Counts[i].Sub(s.Baselines[i])
		if controller.Version == VersionNew {
			newCounts = newCounts.Add(counted)
		} else {
			oldCounts = oldCounts.Add(counted)
		}
	}
	return oldCounts, newCounts
}
