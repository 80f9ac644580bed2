package plan

import (
	"strings"
	"testing"
)

// Crowds that all sent nothing, beside callers who never left, hid that ends of calls went to them.
func TestGenerate_CrowdsDifferInWhatTheySendAndInWhoIsAway(t *testing.T) {
	signs, away, present := map[CrowdSign]int{}, 0, 0
	for seed := range uint64(300) {
		for _, fault := range Generate(seed, nil).Faults {
			if fault.Kind != CallersCrowd {
				continue
			}
			signs[fault.Sign]++
			if fault.Away > 0 {
				away++
			} else {
				present++
			}
		}
	}
	if len(signs) != int(crowdSignCount) || away == 0 || present == 0 {
		t.Errorf("signs %v, callers away %d times, present %d", signs, away, present)
	}
}

// A plan whose required crowd was added later was another one at each draw.
func TestRequire_CrowdIsTheSameAtEachDraw(t *testing.T) {
	draw := func() string {
		drawn := Generate(7, []Kind{PoolHang})
		drawn.Require([]Kind{CallersCrowd})
		var text strings.Builder
		for _, fault := range drawn.Faults {
			text.WriteString(fault.String() + "\n")
		}
		return text.String()
	}
	if first, second := draw(), draw(); first != second {
		t.Errorf("%s\n%s", first, second)
	}
}
