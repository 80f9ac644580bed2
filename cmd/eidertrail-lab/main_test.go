package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eidertrail/internal/simulation"
)

// TestCommand_EachAsAUserCallsIt runs every command, and compares the texts of errors.
func TestCommand_EachAsAUserCallsIt(t *testing.T) {
	calm, dir := "../../internal/simulation/scenarios/calm.toml", t.TempDir()
	for _, test := range []struct {
		args, out, err string
	}{
		{"run " + calm + " --set length=2s", "| service |", ""},
		{"run " + calm + " --set length=2s --json", `"scenario":"calm"`, ""},
		{"run " + calm + " --set length=2s --out " + dir, "tables and chart in", ""},
		{"sweep " + calm + " --set length=1s,2s --seeds 1-2 --out " + dir + "/s", "4 runs done, 0 were there", ""},
		{"sweep " + calm + " --set length=1s,2s --seeds 1-3 --out " + dir + "/s", "2 runs done, 4 were there", ""},
		{"compare " + calm + " --set length=2s --other callers.rate=10 --seeds 1-3", "| service |", ""},
		{"compare " + calm + " --seeds 1-3", "", "both sides are the same"},
		{"sweep " + calm, "", "--out: absent"},
		{"run " + calm + " --set length=1s,2s", "", "several values are for sweep"},
		{"run " + calm + " --set callers.rat=1", "", "callers.rat: not a known field"},
		{"run nowhere.toml", "", "no such file"},
		{"live ../../internal/simulation/scenarios/fleet.toml", "", "does not fit"},
		{"version", "", ""},
	} {
		cmd := command()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs(strings.Fields(test.args))
		err := cmd.Execute()
		wantError := test.err != ""
		if (err != nil) != wantError || err != nil && !strings.Contains(err.Error(), test.err) ||
			!strings.Contains(out.String(), test.out) {
			t.Errorf("%s: %v, want %q\n%s", test.args, err, test.err, out.String())
		}
	}
	for _, name := range []string{"calm.csv", "calm.md", "calm.svg", "s/runs.csv", "s/summary.md", "s/service.svg"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || len(text) == 0 {
			t.Errorf("%s: %v", name, err)
		}
		if strings.HasSuffix(name, ".md") && !strings.Contains(string(text), "version ") {
			t.Errorf("%s does not say which version made it", name)
		}
	}
}

// TestReport_ViolationIsAnError: a run in which a rule was violated prints the call, and ends with an error.
func TestReport_ViolationIsAnError(t *testing.T) {
	var out bytes.Buffer
	violated := &simulation.Result{
		ViolationCount: 2,
		Violations:     []string{"1.5 s: call 7: a second final answer", "2 s: call 9: late"},
	}

	err := report(&out, violated, options{}, "x")

	if !errors.Is(err, errBroken) || !strings.Contains(out.String(), "rule broken: 1.5 s: call 7: a second") {
		t.Errorf("%v\n%s", err, out.String())
	}
}
