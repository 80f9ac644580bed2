// Package rollout decides a rolling change of a fleet of controllers, in stages: which controller is moved next,
// whether a stage goes on, is held or does worse than what it replaces, and how a change is taken back. Old and
// new run side by side, and are compared by the same stretch of time.
//
// It does no I/O and reads no clock: what was observed and the time, in Unix milliseconds, are handed in, and what
// is to be done comes out. The State is all that it remembers, and can be kept in a file.
package rollout

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// Plan is how a change is made.
type Plan struct {
	Controllers        []string // by name, in the order in which they are moved
	Stages             []int    // how many are new in each stage, growing, the last all
	MinTime            int64    // ms that a stage is watched at the least
	MaxTime            int64    // ms after which a stage that has not enough calls is given up
	MinCalls           int64    // calls of the old and of the new that a stage needs
	EvaluationInterval int64    // ms from one comparison to the next
	Confidence         float64  // that a stage which is no worse is not stopped: 0.9 to less than 1
	Tolerance          float64  // by which a share may be worse without being called so: 0 to 0.5
}

// ErrPlan tells of a Plan that makes no sense; the message names the field.
var ErrPlan = errors.New("rollout: bad plan")

// Check tells what is wrong with the Plan.
func (p Plan) Check() error {
	bad := func(field, what string) error { return fmt.Errorf("%w: %s: %s", ErrPlan, field, what) }
	switch n := len(p.Controllers); {
	case n < 2 || n > 256:
		return bad("controller", fmt.Sprintf("%d controllers, want 2 to 256: old and new run side by side", n))
	case len(p.Stages) == 0:
		return bad("stages", "none is given")
	case p.Stages[len(p.Stages)-1] != n:
		return bad("stages", fmt.Sprintf("the last has %d of %d controllers, want all", p.Stages[len(p.Stages)-1], n))
	}
	for i, name := range p.Controllers {
		if name == "" || slices.Contains(p.Controllers[:i], name) {
			return bad("controller", fmt.Sprintf("name %q is empty or comes twice", name))
		}
	}
	for i, k := range p.Stages {
		if k < 1 || i > 0 && k <= p.Stages[i-1] {
			return bad("stages", "want them to grow, from 1 at the least")
		}
	}
	switch {
	case p.MinTime < 0 || p.MaxTime < p.MinTime || p.MaxTime == 0:
		return bad("most_time", "want it longer than min_time")
	case p.MinCalls < 10:
		return bad("min_calls", "want 10 at the least")
	case p.EvaluationInterval < 50:
		return bad("look_every", "want 50ms at the least")
	case !(p.Confidence >= 0.9 && p.Confidence < 1):
		return bad("confidence", "want 0.9 to less than 1")
	case !(p.Tolerance >= 0 && p.Tolerance <= 0.5):
		return bad("tolerance", "want 0 to 0.5")
	}
	return nil
}

// ParseStage reads a stage of so many controllers: a count, or a share of them such as "20%", rounded up.
func ParseStage(text string, of int) (int, error) {
	if share, is := strings.CutSuffix(text, "%"); is {
		v, err := strconv.ParseFloat(share, 64)
		if err != nil || !(v > 0 && v <= 100) {
			return 0, fmt.Errorf("%w: stages: %q is no share", ErrPlan, text)
		}
		return int(math.Ceil(v/100*float64(of) - 1e-9)), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%w: stages: %q is neither a count nor a share", ErrPlan, text)
	}
	return n, nil
}

// Figures are what a controller has counted since its start, or a difference of two such.
type Figures struct {
	InTime   int64           `json:"in_time"` // calls that stood within their class's aim
	Late     int64           `json:"late"`    // stood after it
	Rejected int64           `json:"refused"`
	Failed   int64           `json:"failed"`
	Times    map[int64]int64 `json:"times,omitempty"` // calls that stood, by set-up time in µs (the top of a bucket)
}

// Calls is how many calls were answered in any way.
func (f Figures) Calls() int64 { return f.InTime + f.Late + f.Rejected + f.Failed }

// Sub is what was counted since base.
func (f Figures) Sub(base Figures) Figures { return f.add(base, -1) }

// Add is the sum.
func (f Figures) Add(g Figures) Figures { return f.add(g, 1) }

func (f Figures) add(g Figures, sign int64) Figures {
	out := Figures{
		f.InTime + sign*g.InTime, f.Late + sign*g.Late, f.Rejected + sign*g.Rejected, f.Failed + sign*g.Failed,
		map[int64]int64{},
	}
	for t, n := range f.Times {
		out.Times[t] += n
	}
	for t, n := range g.Times {
		if out.Times[t] += sign * n; out.Times[t] == 0 {
			delete(out.Times, t)
		}
	}
	return out
}

// P99 is the set-up time that one call in a hundred exceeds, µs, and how many calls took longer than t.
func (f Figures) P99() int64 {
	var times []int64
	var all int64
	for t, n := range f.Times {
		times = append(times, t)
		all += n
	}
	slices.Sort(times)
	var seen int64
	for _, t := range times {
		if seen += f.Times[t]; float64(seen) >= 0.99*float64(all) {
			return t
		}
	}
	return 0
}

func (f Figures) slower(than int64) (slow, all int64) {
	for t, n := range f.Times {
		all += n
		if t > than {
			slow += n
		}
	}
	return slow, all
}

// Comparison is one figure of the old and of the new.
type Comparison struct {
	Figure   string
	Old, New float64 // shares, of which less is better
	Z        float64 // by how many standard errors the new is worse by more than the tolerance
	Worse    bool
}

// figures is how many are compared.
const figures = 4

// Compare tests each figure with a one-sided two-proportion test: is the new's share of bad calls more than the
// old's by over the tolerance? One call of each kind is added to either side, so that none of a kind is not taken
// for certainty. The confidence holds for all figures and all so many looks together (Bonferroni).
func (p Plan) Compare(old, new Figures, looks int) []Comparison {
	bar := distuv.UnitNormal.Quantile(1 - (1-p.Confidence)/float64(figures*max(looks, 1)))
	limit := old.P99()
	oldSlow, oldStood := old.slower(limit)
	newSlow, newStood := new.slower(limit)
	out := make([]Comparison, 0, figures)
	for _, c := range []struct {
		name           string
		bad, of, b, to int64
	}{
		{"not standing in time", old.Calls() - old.InTime, old.Calls(), new.Calls() - new.InTime, new.Calls()},
		{"refused", old.Rejected, old.Calls(), new.Rejected, new.Calls()},
		{"failed", old.Failed, old.Calls(), new.Failed, new.Calls()},
		{"set-up slower than the old p99", oldSlow, oldStood, newSlow, newStood},
	} {
		n, m := float64(c.of+2), float64(c.to+2)
		was, is := float64(c.bad+1)/n, float64(c.b+1)/m
		z := (is - was - p.Tolerance) / math.Sqrt(was*(1-was)/n+is*(1-is)/m)
		out = append(out, Comparison{c.name, was, is, z, c.of > 0 && c.to > 0 && z > bar})
	}
	return out
}

// Version is which of the two a controller runs.
type Version string

// The versions.
const (
	Old Version = "old"
	New Version = "new"
)

// Phase is where a rollout is.
type Phase string

// The phases. The last three are final.
const (
	Running     Phase = "running"
	RollingBack Phase = "rolling back"
	Done        Phase = "done"    // all are new
	Aborted     Phase = "aborted" // all are old again
	Stuck       Phase = "stuck"   // a controller could not be brought back: an operator is needed
)

// Controller is a line of the State.
type Controller struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Moving  Version `json:"moving,omitempty"` // a move to it has begun and not ended
	Failed  int     `json:"failed,omitempty"` // moves in a row that failed
}

// State is all that a rollout remembers.
type State struct {
	Plan         string       `json:"plan"` // what tells the plan from another
	Phase        Phase        `json:"phase"`
	Stage        int          `json:"stage"`
	Controllers  []Controller `json:"controllers"`
	Since        int64        `json:"since"` // the stage is watched since then, 0: not yet
	EvaluatedAt  int64        `json:"looked_at"`
	Base         []Figures    `json:"base"`   // of each controller when the watching began
	Incarnations []string     `json:"lives"`  // of each controller's process then
	Before       Figures      `json:"before"` // of the old, in the stages before
	Reason       string       `json:"reason,omitempty"`
	Log          []string     `json:"log"`
}

const (
	// mostFailed moves in a row may fail: to the new, one is tried again; to the old, some more.
	mostFailed     = 2
	mostFailedBack = 5
	// mostLog bounds what is remembered of what was done.
	mostLog = 500
)

// Begin is the state of a rollout that has not moved anything yet.
func (p Plan) Begin(id string) *State {
	s := &State{Plan: id, Phase: Running}
	for _, name := range p.Controllers {
		s.Controllers = append(s.Controllers, Controller{Name: name, Version: Old})
	}
	return s
}

func (s *State) note(format string, args ...any) {
	if len(s.Log) < mostLog {
		s.Log = append(s.Log, fmt.Sprintf(format, args...))
	}
}

// Observation is what was seen of the controllers, in the plan's order.
type Observation struct {
	Now          int64
	Figures      []Figures
	Incarnations []string // another for each process; "" where it does not answer
	Abort        bool     // the operator wants the change taken back
}

// Action is what is to be done next: a move, to be told of with Moved, or to look again at a time, or nothing more.
type Action struct {
	Move  bool
	Index int // the controller to move
	To    Version
	Until int64 // look again then
	Final bool
}

// Next decides. It changes the state; what it says is to be kept before it is done.
func (p Plan) Next(s *State, o Observation) Action {
	if s.Phase == Running && o.Abort {
		s.back("the operator aborted it")
	}
	switch s.Phase {
	case RollingBack:
		// What was moved last goes back first; one that was being moved is not known to be either.
		for i := len(s.Controllers) - 1; i >= 0; i-- {
			if c := &s.Controllers[i]; c.Version != Old || c.Moving != "" {
				c.Moving = Old
				return Action{Move: true, Index: i, To: Old}
			}
		}
		s.Phase = Aborted
		s.note("all controllers are old again")
		return Action{Final: true}
	case Running:
	default:
		return Action{Final: true}
	}
	for i := range s.Controllers[:p.Stages[s.Stage]] {
		if c := &s.Controllers[i]; c.Version != New || c.Moving != "" {
			c.Moving = New
			return Action{Move: true, Index: i, To: New}
		}
	}
	return p.watch(s, o)
}

// watch looks at a stage whose controllers have all been moved.
func (p Plan) watch(s *State, o Observation) Action {
	wait := Action{Until: o.Now + p.EvaluationInterval}
	if s.Since == 0 {
		if i := slices.Index(o.Incarnations, ""); i >= 0 { // all must be up to begin with
			if s.EvaluatedAt == 0 {
				s.EvaluatedAt = o.Now
			}
			if o.Now-s.EvaluatedAt > p.MaxTime {
				s.back(fmt.Sprintf("controller %s does not answer", s.Controllers[i].Name))
				return p.Next(s, o)
			}
			return wait
		}
		s.Since, s.EvaluatedAt, s.Base, s.Incarnations = o.Now, o.Now, slices.Clone(o.Figures), slices.Clone(o.Incarnations)
		s.note("stage %d of %d: %d of %d controllers are new", s.Stage+1, len(p.Stages), p.Stages[s.Stage], len(s.Controllers))
		return wait
	}
	var old, new Figures
	for i, c := range s.Controllers {
		if o.Incarnations[i] != s.Incarnations[i] {
			if c.Version == New {
				s.back(fmt.Sprintf("controller %s ended while it ran the new version", c.Name))
				return p.Next(s, o)
			}
			// An old one that was started anew counts from there; one that does not answer counts nothing.
			s.Base[i], s.Incarnations[i] = Figures{}, o.Incarnations[i]
		}
		if o.Incarnations[i] == "" {
			continue
		}
		if d := o.Figures[i].Sub(s.Base[i]); c.Version == New {
			new = new.Add(d)
		} else {
			old = old.Add(d)
		}
	}
	against := old
	if p.Stages[s.Stage] == len(s.Controllers) { // none is old any more: what they did before is compared
		against = s.Before
	}
	looks := int(p.MaxTime/p.EvaluationInterval) + 1
	for _, c := range p.Compare(against, new, looks) {
		// A figure that is worse stops the stage as soon as it is certain, but never on a handful of calls.
		if c.Worse && new.Calls() >= p.MinCalls/2 && against.Calls() >= p.MinCalls/2 {
			s.back(fmt.Sprintf("stage %d: %s: %.1f%% of the new against %.1f%% of the old (%d and %d calls, z %.1f)",
				s.Stage+1, c.Figure, 100*c.New, 100*c.Old, new.Calls(), against.Calls(), c.Z))
			return p.Next(s, o)
		}
	}
	watched := o.Now - s.Since
	if watched < p.MinTime || new.Calls() < p.MinCalls || against.Calls() < p.MinCalls {
		if watched >= p.MaxTime {
			s.back(fmt.Sprintf("stage %d: only %d calls of the new and %d of the old in the time it has, want %d",
				s.Stage+1, new.Calls(), against.Calls(), p.MinCalls))
			return p.Next(s, o)
		}
		return wait
	}
	s.note("stage %d: no worse, by %d calls of the new and %d of the old", s.Stage+1, new.Calls(), against.Calls())
	s.Before = s.Before.Add(old)
	s.Since, s.EvaluatedAt, s.Base, s.Incarnations = 0, 0, nil, nil
	if s.Stage++; s.Stage == len(p.Stages) {
		s.Stage--
		s.Phase = Done
		s.note("all controllers are new")
		return Action{Final: true}
	}
	return p.Next(s, o)
}

func (s *State) back(reason string) {
	s.Phase, s.Reason, s.Since = RollingBack, reason, 0
	for i := range s.Controllers {
		s.Controllers[i].Failed = 0
	}
	s.note("stopped: %s", reason)
}

// Moved tells how a move ended. One that failed is tried again, and then given up.
func (p Plan) Moved(s *State, i int, to Version, err error) {
	c := &s.Controllers[i]
	if err == nil {
		c.Version, c.Moving, c.Failed = to, "", 0
		s.note("controller %s is %s", c.Name, to)
		return
	}
	c.Failed++
	s.note("controller %s could not be made %s: %v", c.Name, to, err)
	switch {
	case to == New && (c.Failed >= mostFailed || errors.Is(err, ErrRejected)):
		if errors.Is(err, ErrRejected) { // it was not touched
			c.Moving = ""
		}
		s.back(fmt.Sprintf("controller %s could not be made new: %v", c.Name, err))
	case to == Old && c.Failed >= mostFailedBack:
		s.Phase = Stuck
		s.Reason = fmt.Sprintf("%s; then controller %s could not be made old again: %v", s.Reason, c.Name, err)
	}
}

// ErrRejected wraps the error of a move that was refused before anything was touched: it is not tried again.
var ErrRejected = errors.New("refused before it began")
