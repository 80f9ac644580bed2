package simulation_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"eidertrail/internal/simulation"
	"eidertrail/internal/testing/recorded"
)

// smallScenario is a valid scenario without an srv section.
const smallScenario = `name = "small"
length = "10s"
controllers = 2

[callers]
rate = 5

[[class]]
name = "first"
share = 1
aim = "1s"
deadline = "4s"
worth = 1
hold = "2s"

[[class]]
name = "second"
share = 1
aim = "2s"
deadline = "5s"
worth = 2
hold = "2s"

[[pool]]
name = "p"
count = 2
agents = 10
work = "5ms"
zone = "east"

[[event]]
at = "2s"
kind = "burst"
times = 2
`

// smallClass is a scenario with a class of calls and no pool.
const smallClass = `[[class]]
name = "first"
share = 1
aim = "1s"
deadline = "4s"
worth = 1
hold = "2s"
`

// smallNames is a section that has the pools come from SRV names.
const smallNames = "[srv]\nttl = \"2s\"\nfloor = \"200ms\"\nceiling = \"30s\"\ndrain_for = \"10s\"\n"

// smallRouting is a valid routing section.
const smallRouting = `[routing]
zones = ["east", "west"]
spill_share = 0.5
hold = "5s"
warm_up = "10s"
[routing.tiers]
east = [["west"]]
`

// TestCharacterization_ScenarioErrors compares the text of each error of a scenario that is invalid.
func TestCharacterization_ScenarioErrors(t *testing.T) {
	var lines strings.Builder
	for _, test := range []struct{ from, to string }{
		{"", ""},
		{"length = \"10s\"", "length = \"0s\""},
		{"length = \"10s\"", "length = \"61m\""},
		{"length = \"10s\"", "length = \"soon\""},
		{"length = \"10s\"", "length = \"10s\"\nwidth = 4"},
		{"controllers = 2", "controllers = 0"},
		{"controllers = 2", "controllers = 65"},
		{"rate = 5", "rate = -1"},
		{"rate = 5", "rate = nan"},
		{"rate = 5", "rate = 100001"},
		{"rate = 5", "rate ="},
		{"rate = 5", "rate = \"five\""},
		{"rate = 5", "rat = 5"},
		{"rate = 5", "try = 0"},
		{"rate = 5", "try = 1.5"},
		{"rate = 5", "retries = -1"},
		{"rate = 5", "retries = 11"},
		{"rate = 5", "shares = [1]"},
		{"rate = 5", "shares = [1, -1]"},
		{"rate = 5", "shares = [0, 0]"},
		{"[callers]", "[net]\npeer_loss = 2\n[callers]"},
		{"[callers]", "[net]\nlist_apart = \"500us\"\n[callers]"},
		{"[callers]", "[net]\nnear = [\"4ms\", \"2ms\"]\n[callers]"},
		{"[callers]", "[net]\nfar = [\"-4ms\", \"2ms\"]\n[callers]"},
		{"[callers]", "[net]\nlist = [\"4s\", \"2s\"]\n[callers]"},
		{"[callers]", "[net]\npeers = [\"4ms\", \"2ms\"]\n[callers]"},
		{"[callers]", "[net]\npeers = [\"4ms\", \"later\"]\n[callers]"},
		{"[callers]", "[settings]\nrepeats = true\n[callers]"},
		{"[callers]", "[settings]\ntick = \"-1ms\"\n[callers]"},
		{"[callers]", "[settings]\nrelease = \"-1ms\"\n[callers]"},
		{"name = \"first\"", "name = \"\""},
		{"name = \"second\"", "name = \"\""},
		{"aim = \"2s\"", "aim = \"6s\""},
		{"hold = \"2s\"", "hold = \"0s\""},
		{"share = 1", "share = -1"},
		{"share = 1\naim = \"1s\"", "share = 0\naim = \"1s\""},
		{"worth = 2", "worth = -2"},
		{"name = \"p\"", "name = \"\""},
		{"count = 2", "count = 2000"},
		{"agents = 10", "agents = 0"},
		{"agents = 10", "agents = 10\nnoise = 2"},
		{"agents = 10", "agents = 10\nerrors = -0.5"},
		{"work = \"5ms\"", "work = \"0s\""},
		{"work = \"5ms\"", "work = \"5ms\"\ntell = \"-1s\""},
		{"[[event]]", "[[pool]]\nname = \"p2\"\nagents = 5\nwork = \"5ms\"\n[[event]]"},
		{"kind = \"burst\"", "kind = \"boom\""},
		{"kind = \"burst\"", "kind = \"unlist\""},
		{"kind = \"burst\"", "kind = \"dns_down\""},
		{"kind = \"burst\"", "kind = \"truncate\""},
		{"at = \"2s\"", "at = \"-2s\""},
		{"at = \"2s\"", "at = \"2s\"\nfor = \"-2s\""},
		{"at = \"2s\"", "at = \"2s\"\npool = \"p9\""},
		{"at = \"2s\"", "at = \"2s\"\nzone = \"west\""},
		{"times = 2", "times = 0"},
		{"kind = \"burst\"", "kind = \"slow\"\nshare = 1"},
		{"kind = \"burst\"\ntimes = 2", "kind = \"slow\""},
		{"kind = \"burst\"", "kind = \"errors\"\nshare = 1.5"},
		{"kind = \"burst\"", "kind = \"lose\"\nshare = -0.5"},
		{"[[event]]", smallNames + "[[event]]"},
		{"[[event]]", strings.Replace(smallNames, "200ms", "0s", 1) + "[[event]]"},
		{"[[event]]", strings.Replace(smallNames, "30s", "100ms", 1) + "[[event]]"},
		{"[[event]]", strings.Replace(smallNames, "\"10s\"", "\"0s\"", 1) + "[[event]]"},
		{"[[event]]", smallNames + "[[event]]\nat = \"1s\"\nkind = \"crash\"\n[[event]]"},
		{"[[event]]", smallNames + "[[event]]\nat = \"1s\"\nkind = \"replace\"\n[[event]]"},
		{"[[event]]", smallRouting + "[[event]]"},
		{"[[event]]", strings.Replace(smallRouting, "0.5", "-1", 1) + "[[event]]"},
		{"[[event]]", strings.Replace(smallRouting, "hold", "held", 1) + "[[event]]"},
		{"[[class]]", "[[clas]]"}, //nolint:misspell // a section that is not known
		{smallScenario, ""},
		{smallScenario, "name = \"no classes\"\n[[pool]]\nname = \"p\"\nagents = 1\nwork = \"1ms\"\n"},
		{smallScenario, smallClass},
	} {
		if !strings.Contains(smallScenario, test.from) {
			t.Fatalf("%q is not in the scenario", test.from)
		}
		_, err := simulation.Parse(strings.Replace(smallScenario, test.from, test.to, 1))
		text := "accepted"
		if err != nil {
			text = err.Error()
			if !errors.Is(err, simulation.ErrScenario) {
				t.Errorf("%q: the error %q does not wrap the package's", test.to, text)
			}
		}
		from := test.from
		if from == smallScenario {
			from = "all"
		}
		fmt.Fprintf(&lines, "%q -> %q: %s\n", from, test.to, text)
	}
	recorded.Compare(t, "scenario-errors.txt", lines.String())
}
