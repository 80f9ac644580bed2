package rollout

import (
	"errors"
	"strings"
	"testing"
)

// testPlan is a valid plan for five controllers in three stages.
func testPlan() Plan {
	return Plan{
		Controllers:        []string{"n0", "n1", "n2", "n3", "n4"},
		Stages:             []int{1, 3, 5},
		MinTime:            10_000,
		MaxTime:            60_000,
		MinCalls:           300,
		EvaluationInterval: 1000,
		Confidence:         0.99,
		Tolerance:          0.01,
	}
}

func TestPlan_InvalidFieldIsNamed(t *testing.T) {
	for field, spoil := range map[string]func(p *Plan){
		"controller":   func(p *Plan) { p.Controllers = p.Controllers[:1] },
		"stages":       func(p *Plan) { p.Stages = []int{1, 3} },
		"stages: want": func(p *Plan) { p.Stages = []int{3, 3, 5} },
		"most_time":    func(p *Plan) { p.MaxTime = 1 },
		"min_calls":    func(p *Plan) { p.MinCalls = 0 },
		"look_every":   func(p *Plan) { p.EvaluationInterval = 0 },
		"confidence":   func(p *Plan) { p.Confidence = 1 },
		"tolerance":    func(p *Plan) { p.Tolerance = -1 },
	} {
		plan := testPlan()
		spoil(&plan)
		if err := plan.Check(); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	for text, want := range map[string]int{"1": 1, "20%": 1, "50%": 3, "100%": 5, "21%": 2} {
		if count, err := ParseStage(text, 5); err != nil || count != want {
			t.Errorf("%s of 5: %d, %v, want %d", text, count, err, want)
		}
	}
	if count, err := ParseStage("7%", 100); err != nil || count != 7 { // 7/100*100 is more than 7 in floating point
		t.Errorf("7%% of 100: %d, %v, want 7", count, err)
	}
	for _, text := range []string{"", "x", "0%", "101%", "%"} {
		if _, err := ParseStage(text, 5); !errors.Is(err, ErrPlan) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
