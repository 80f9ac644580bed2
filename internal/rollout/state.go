package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// maxLogLines bounds the log of a State. The first lines are kept.
const maxLogLines = 500

// Failed transitions of one controller in a row after which it is given up. A transition back is attempted more often,
// as nothing but an operator helps once it is given up.
const (
	maxFailedToNew = 2
	maxFailedToOld = 5
)

// ErrRejected is wrapped by the error of a transition that was rejected before anything was touched: it is not
// attempted again.
var ErrRejected = errors.New("refused before it began")

// Version is which of the two versions a controller runs, in the words of the state file.
type Version string

// The versions.
const (
	VersionOld Version = "old"
	VersionNew Version = "new"
)

// Phase is the phase of a rollout, in the words of the state file.
type Phase string

// The phases. The last three are final.
const (
	PhaseRunning     Phase = "running"
	PhaseRollingBack Phase = "rolling back"
	PhaseDone        Phase = "done"    // all controllers run the new version
	PhaseAborted     Phase = "aborted" // all controllers run the old version again
	PhaseStuck       Phase = "stuck"   // a controller could not be rolled back: an operator is needed
)

// Controller is the state of one controller.
type Controller struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// TransitionTo is the version to which a transition has begun and not ended, "" for none. Until it ends, either
	// version may be running.
	TransitionTo      Version `json:"moving,omitempty"`
	FailedTransitions int     `json:"failed,omitempty"` // in a row
}

// settled reports whether the controller runs the version and is in no transition.
func (c *Controller) settled(version Version) bool {
	return c.Version == version && c.TransitionTo == ""
}

// State is all that a rollout remembers. Times are in Unix milliseconds; the JSON keys are those of the state file.
type State struct {
	Plan           string       `json:"plan"` // identifies the plan
	Phase          Phase        `json:"phase"`
	Stage          int          `json:"stage"` // index into the plan's stages
	Controllers    []Controller `json:"controllers"`
	StageStartedAt int64        `json:"since"` // when watching the stage began, 0 before that
	// EvaluatedAt is when watching the stage began or, before that, when a controller was first found not to answer.
	EvaluatedAt     int64    `json:"looked_at"`
	Baselines       []Counts `json:"base"`   // of each controller when watching the stage began
	Incarnations    []string `json:"lives"`  // of each controller's process at that time
	EarlierOldCalls Counts   `json:"before"` // of the old version, in the stages before
	Reason          string   `json:"reason,omitempty"`
	Log             []string `json:"log"`
}

// Begin returns the state of a rollout in which no transition has begun. The id identifies the plan.
func (p Plan) Begin(id string) *State {
	s := &State{Plan: id, Phase: PhaseRunning, Controllers: make([]Controller, 0, len(p.Controllers))}
	for _, name := range p.Controllers {
		s.Controllers = append(s.Controllers, Controller{Name: name, Version: VersionOld})
	}
	return s
}

// EndTransition records how the transition of a controller ended. A failed one is attempted again until it is given up.
func (s *State) EndTransition(index int, version Version, err error) {
	controller := &s.Controllers[index]
	if err == nil {
		controller.Version, controller.TransitionTo, controller.FailedTransitions = version, "", 0
		s.note("controller %s is %s", controller.Name, version)
		return
	}
	controller.FailedTransitions++
	s.note("controller %s could not be made %s: %v", controller.Name, version, err)
	rejected := errors.Is(err, ErrRejected)
	switch {
	case version == VersionNew && (rejected || controller.FailedTransitions >= maxFailedToNew):
		if rejected { // the controller was not touched, so there is nothing to take back
			controller.TransitionTo = ""
		}
		s.beginRollback(fmt.Sprintf("controller %s could not be made new: %v", controller.Name, err))
	case version == VersionOld && controller.FailedTransitions >= maxFailedToOld:
		s.markStuck(fmt.Sprintf("controller %s could not be made old again: %v", controller.Name, err))
	}
}

// beginTransition marks a controller as being in transition. The mark is saved before the transition is carried out,
// so that an interrupted one is known.
func (s *State) beginTransition(index int, to Version) Action {
	s.Controllers[index].TransitionTo = to
	return Action{Kind: ActionTransition, Index: index, To: to}
}

// startStage begins to watch the stage from what was observed.
func (s *State) startStage(observation Observation) {
	s.StageStartedAt, s.EvaluatedAt = observation.Now, observation.Now
	s.Baselines, s.Incarnations = slices.Clone(observation.Counts), slices.Clone(observation.Incarnations)
}

// endStage forgets what was kept for the stage but the calls of its old version, with which a last stage without old
// controllers is compared.
func (s *State) endStage(oldCounts Counts) {
	s.EarlierOldCalls = s.EarlierOldCalls.Add(oldCounts)
	s.StageStartedAt, s.EvaluatedAt, s.Baselines, s.Incarnations = 0, 0, nil, nil
}

// beginRollback takes the rollout to PhaseRollingBack.
func (s *State) beginRollback(reason string) {
	s.Phase, s.Reason, s.StageStartedAt = PhaseRollingBack, reason, 0
	for i := range s.Controllers {
		s.Controllers[i].FailedTransitions = 0
	}
	s.note("stopped: %s", reason)
}

// markAborted takes the rollout to PhaseAborted: the rollback is complete.
func (s *State) markAborted() {
	s.Phase = PhaseAborted
	s.note("all controllers are old again")
}

// markStuck takes the rollout to PhaseStuck.
func (s *State) markStuck(reason string) {
	s.Phase = PhaseStuck
	s.Reason = fmt.Sprintf("%s; then %s", s.Reason, reason)
}

// markDone takes the rollout to PhaseDone.
func (s *State) markDone() {
	s.Phase = PhaseDone
	s.note("all controllers are new")
}

func (s *State) note(format string, args ...any) {
	if len(s.Log) < maxLogLines {
		s.Log = append(s.Log, fmt.Sprintf(format, args...))
	}
}
