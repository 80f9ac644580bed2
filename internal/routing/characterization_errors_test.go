package routing_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"eidertrail/internal/config"
	"eidertrail/internal/remedy"
	"eidertrail/internal/routing"
	"eidertrail/internal/testing/recorded"
)

// tiersOf is a table with the tiers of the controller's own zone.
func tiersOf(tiers ...[]string) map[string][][]string {
	return map[string][][]string{"batumi": tiers}
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name   string
		change func(c *routing.Config)
	}{
		{"nothing wrong", func(*routing.Config) {}},
		{"no zone", func(c *routing.Config) { c.Zone = "" }},
		{"unknown zone", func(c *routing.Config) { c.Zone = "poti" }},
		{"spill share below 0", func(c *routing.Config) { c.SpillBudget = -0.1 }},
		{"spill share over 1", func(c *routing.Config) { c.SpillBudget = 1.5 }},
		{"spill share no number", func(c *routing.Config) { c.SpillBudget = math.NaN() }},
		{"spill share 1", func(c *routing.Config) { c.SpillBudget = 1 }},
		{"out share 0", func(c *routing.Config) { c.EjectionThreshold = 0 }},
		{"out share over 1", func(c *routing.Config) { c.EjectionThreshold = 1.01 }},
		{"out share no number", func(c *routing.Config) { c.EjectionThreshold = math.NaN() }},
		{"warm from 0", func(c *routing.Config) { c.SlowStartCapacity = 0 }},
		{"warm from over 1", func(c *routing.Config) { c.SlowStartCapacity = 1.01 }},
		{"warm from no number", func(c *routing.Config) { c.SlowStartCapacity = math.NaN() }},
		{"window 0", func(c *routing.Config) { c.Window = 0 }},
		{"hold negative", func(c *routing.Config) { c.EjectionTime = -1 }},
		{"most hold under hold", func(c *routing.Config) { c.MaxEjectionTime = c.EjectionTime - 1 }},
		{"flap within negative", func(c *routing.Config) { c.FlapWindow = -1 }},
		{"warm up negative", func(c *routing.Config) { c.SlowStartWindow = -1 }},
		{"spill after negative", func(c *routing.Config) { c.SpillDelay = -1 }},
		{"least 0", func(c *routing.Config) { c.MinSamples = 0 }},
		{"nodes 0", func(c *routing.Config) { c.Nodes = 0 }},
		{"classes 0", func(c *routing.Config) { c.Classes = 0 }},
		{"classes 64", func(c *routing.Config) { c.Classes = 64 }},
		{"classes 65", func(c *routing.Config) { c.Classes = 65 }},
		{"tiers of an unknown zone", func(c *routing.Config) {
			c.PriorityLevels = map[string][][]string{"poti": {{"batumi"}}}
		}},
		{"empty tier", func(c *routing.Config) { c.PriorityLevels = tiersOf([]string{"tbilisi"}, nil) }},
		{"unknown zone in a tier", func(c *routing.Config) { c.PriorityLevels = tiersOf([]string{"tbilisi", "gori"}) }},
		{"own zone in a tier", func(c *routing.Config) { c.PriorityLevels = tiersOf([]string{"batumi"}) }},
		{"zone in two tiers", func(c *routing.Config) {
			c.PriorityLevels = tiersOf([]string{"tbilisi"}, []string{"tbilisi"})
		}},
		{"class out of range", func(c *routing.Config) { c.ClassPriorityLevels = map[int]map[string][][]string{2: nil} }},
		{"unknown zone in a class's tier", func(c *routing.Config) {
			c.ClassPriorityLevels = map[int]map[string][][]string{1: tiersOf([]string{"gori"})}
		}},
	} {
		cfg := baseConfig()
		test.change(&cfg)
		_, err := routing.New(cfg, zoneNames)
		got.WriteString(recorded.ErrorLine(test.name, err, remedy.Of(err)))
	}
	recorded.Compare(t, "config-errors.txt", got.String())
}

const goodFile = `zone = "batumi"
zones = ["batumi", "tbilisi", "kutaisi", "telavi"]
[tiers]
batumi = [["tbilisi", "kutaisi"], ["telavi"]]
`

func TestCharacterization_FileErrors(t *testing.T) {
	var got strings.Builder
	many := strings.Repeat(`"z", `, 65)
	for _, test := range []struct{ name, text string }{
		{"nothing wrong", goodFile},
		{"unknown zone", strings.Replace(goodFile, `zone = "batumi"`, `zone = "poti"`, 1)},
		{"no zones", `zone = "batumi"` + "\n"},
		{"65 zones", `zone = "z"` + "\nzones = [" + many + "]\n"},
		{"unknown field", "colour = 1\n" + goodFile},
		{"spill share", "spill_share = 1.2\n" + goodFile},
		{"spill share a word", "spill_share = \"much\"\n" + goodFile},
		{"out share", "out_share = 0.0\n" + goodFile},
		{"warm from", "warm_from = 2.0\n" + goodFile},
		{"window", "window = \"0s\"\n" + goodFile},
		{"window a bad duration", "window = \"ten\"\n" + goodFile},
		{"least", "least = 0\n" + goodFile},
		{"no table", "zone\n"},
		{"unknown zone in a tier", strings.Replace(goodFile, `["telavi"]`, `["gori"]`, 1)},
		{"own zone in a tier", strings.Replace(goodFile, `["telavi"]`, `["batumi"]`, 1)},
		{"tiers of an unknown zone", goodFile + `gori = [["batumi"]]` + "\n"},
		{"class's tier", goodFile + "[class.stop-sell.tiers]\nbatumi = [[\"tbilisi\"], [\"gori\"]]\n"},
		{"unknown class", goodFile + "[class.fax.tiers]\nbatumi = [[\"tbilisi\"]]\n"},
	} {
		file, err := config.ParseRouting(test.text)
		if err == nil {
			_, err = file.Router(1, []string{"voice"})
		}
		got.WriteString(recorded.ErrorLine(test.name, err, remedy.Of(err)))
	}
	recorded.Compare(t, "file-errors.txt", got.String())
}

// outcomesUntilEjected is after how many outcomes, every second of them a failure, a zone goes out; 0 for never.
func outcomesUntilEjected(tb testing.TB, minSamples int) int {
	tb.Helper()
	router, err := routing.New(changed(func(c *routing.Config) { c.MinSamples = minSamples }), zoneNames)
	if err != nil {
		tb.Fatal(err)
	}
	router.UpdateEndpoints(second, []routing.Endpoint{{UID: "b1", Zone: "batumi", Up: true}})
	for n := 1; n <= 1000; n++ {
		router.Sent("b1")
		outcome := routing.Success
		if n%2 == 0 {
			outcome = routing.Failure
		}
		router.Ended(second+int64(n), "b1", outcome, false)
		if router.Counts().ZonesEjected > 0 {
			return n
		}
	}
	return 0
}

func TestCharacterization_OutcomesUntilOut(t *testing.T) {
	var got strings.Builder
	got.WriteString("# least, then after how many outcomes, half of them failures, a zone goes out; 0: never\n")
	for _, minSamples := range []int{1, 2, 3, 8, 255, 256, 257, 500} {
		fmt.Fprintf(&got, "%d %d\n", minSamples, outcomesUntilEjected(t, minSamples))
	}
	recorded.Compare(t, "outcomes-until-out.txt", got.String())
}
