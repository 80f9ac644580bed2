package rollout

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of a Plan.
const (
	// minControllers is two, as the old and the new version run side by side.
	minControllers = 2
	maxControllers = 256
	// minRequiredCalls bounds MinCalls from below: the normal approximation does not hold for fewer.
	minRequiredCalls      = 10
	minEvaluationInterval = 50 * time.Millisecond
	minConfidence         = 0.9
	maxTolerance          = 0.5
)

// percentSuffix marks a stage that is given as a percentage of the controllers.
const percentSuffix = "%"

// roundingError is more than the error of floating-point division and less than the smallest real part of a
// controller. Without it, 7% of 100 controllers would be rounded up to 8.
const roundingError = 1e-9

// Plan is how a change is rolled out. Times are in milliseconds.
type Plan struct {
	Controllers        []string // by name, in the order of their transitions
	Stages             []int    // the number of controllers on the new version in each stage: growing, the last is all
	MinTime            int64    // for which a stage is watched before it may be promoted
	MaxTime            int64    // after which a stage with too few calls is rolled back
	MinCalls           int64    // calls of the old and of the new version that a stage needs
	EvaluationInterval int64    // from one comparison to the next
	Confidence         float64  // that a stage which is no worse is not rolled back: 0.9 to less than 1
	Tolerance          float64  // by which a proportion of calls may be worse without counting as such: 0 to 0.5
}

// ErrPlan is what every error about an invalid Plan wraps.
var ErrPlan = errors.New("rollout: bad plan")

// PlanError is an invalid field of a Plan, by the field's name in the rollout file. It wraps ErrPlan.
type PlanError struct {
	Field   string
	Problem string // what is wrong, or what is wanted
}

func (e *PlanError) Error() string { return fmt.Sprintf("%v: %s: %s", ErrPlan, e.Field, e.Problem) }

// Unwrap makes errors.Is(err, ErrPlan) hold.
func (e *PlanError) Unwrap() error { return ErrPlan }

// Check returns a PlanError for the first field that is invalid.
func (p Plan) Check() error {
	for _, check := range []func() *PlanError{p.checkSizes, p.checkNames, p.checkStageGrowth, p.checkThresholds} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) checkSizes() *PlanError {
	count := len(p.Controllers)
	if count < minControllers || count > maxControllers {
		return &PlanError{"controller", fmt.Sprintf("%d controllers, want %d to %d: old and new run side by side",
			count, minControllers, maxControllers)}
	}
	if len(p.Stages) == 0 {
		return &PlanError{"stages", "none is given"}
	}
	if last := p.Stages[len(p.Stages)-1]; last != count {
		return &PlanError{"stages", fmt.Sprintf("the last has %d of %d controllers, want all", last, count)}
	}
	return nil
}

func (p Plan) checkNames() *PlanError {
	for i, name := range p.Controllers {
		if name == "" || slices.Contains(p.Controllers[:i], name) {
			return &PlanError{"controller", fmt.Sprintf("name %q is empty or comes twice", name)}
		}
	}
	return nil
}

func (p Plan) checkStageGrowth() *PlanError {
	previous := 0
	for _, count := range p.Stages {
		if count <= previous {
			return &PlanError{"stages", "want them to grow, from 1 at the least"}
		}
		previous = count
	}
	return nil
}

func (p Plan) checkThresholds() *PlanError {
	// Each range is stated positively, so that NaN is in none of them.
	timesValid := p.MinTime >= 0 && p.MaxTime >= p.MinTime && p.MaxTime != 0
	confidenceValid := p.Confidence >= minConfidence && p.Confidence < 1
	toleranceValid := p.Tolerance >= 0 && p.Tolerance <= maxTolerance
	switch {
	case !timesValid:
		return &PlanError{"most_time", "want it longer than min_time"}
	case p.MinCalls < minRequiredCalls:
		return &PlanError{"min_calls", fmt.Sprintf("want %d at the least", minRequiredCalls)}
	case p.EvaluationInterval < minEvaluationInterval.Milliseconds():
		return &PlanError{"look_every", fmt.Sprintf("want %v at the least", minEvaluationInterval)}
	case !confidenceValid:
		return &PlanError{"confidence", fmt.Sprintf("want %g to less than 1", minConfidence)}
	case !toleranceValid:
		return &PlanError{"tolerance", fmt.Sprintf("want 0 to %g", maxTolerance)}
	}
	return nil
}

// ParseStage returns how many of a fleet's controllers a stage's text stands for: a count, or a percentage such as
// "20%", which is rounded up.
func ParseStage(text string, controllers int) (int, error) {
	if percentage, isPercentage := strings.CutSuffix(text, percentSuffix); isPercentage {
		value, err := strconv.ParseFloat(percentage, 64)
		inRange := value > 0 && value <= 100
		if err != nil || !inRange {
			return 0, &PlanError{"stages", fmt.Sprintf("%q is no share", text)}
		}
		return int(math.Ceil(value/100*float64(controllers) - roundingError)), nil
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		return 0, &PlanError{"stages", fmt.Sprintf("%q is neither a count nor a share", text)}
	}
	return count, nil
}
