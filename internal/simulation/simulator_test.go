package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func scenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := Load(filepath.Join("scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func run(t *testing.T, s *Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Run(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRun_EveryScenario runs every scenario of the repository twice with one seed: no rule is violated, the service is
// what such a day should give, and the result is the same bit for bit; another seed gives another.
func TestRun_EveryScenario(t *testing.T) {
	minService := map[string]float64{
		"calm":       0.97,
		"burst":      0.75,
		"processors": 0.75,
		"zoneloss":   0.9,
		"flapping":   0.9,
		"badpools":   0.85,
		"srv":        0.95,
		"fleet":      0.7,
	}
	files, err := filepath.Glob("scenarios/*.toml")
	if err != nil || len(files) != len(minService) {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for name, want := range minService {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			loaded := scenario(t, name)

			result := run(t, loaded, 1)

			t.Logf("service %.3f, worst 10 s %.3f, p99 %.0f ms, dropped %d, lost %d of %d, slow start load %.2f, "+
				"deaths %d, %d events", result.Service, result.WorstWindow, result.P99, result.Dropped, result.Lost,
				result.Calls, result.SlowStartLoad, result.Deaths, result.Events)
			if result.ViolationCount > 0 {
				first := result.Violations[:min(3, len(result.Violations))]
				t.Errorf("%d violations: %s", result.ViolationCount, strings.Join(first, "; "))
			}
			if result.Service < want {
				t.Errorf("service %.3f, want %.2f", result.Service, want)
			}
			ended := result.InTime + result.Late + result.Dropped + result.Lost
			if result.SlowStartLoad > 1 || result.Calls != ended {
				t.Errorf("slow start load %.2f; %d calls, of which %d in time, %d late, %d dropped, %d lost",
					result.SlowStartLoad, result.Calls, result.InTime, result.Late, result.Dropped, result.Lost)
			}
			if loaded.SRV != nil && !isWithinTTL(result.RecordLag, loaded.SRV) {
				t.Errorf("the removal of a record was known after %.0f ms, its TTL is %v", result.RecordLag, loaded.SRV.TTL)
			}
			first, same, other := asJSON(t, result), asJSON(t, run(t, loaded, 1)), asJSON(t, run(t, loaded, 2))
			if first != same || first == other {
				t.Errorf("the same seed gives the same: %v; another gives another: %v", first == same, first != other)
			}
		})
	}
}

// isWithinTTL reports whether a removal was noticed at all, and no later than a record's TTL and a look-up.
func isWithinTTL(lagMilliseconds float64, srv *SRV) bool {
	const queryTime = 50 // ms
	return lagMilliseconds > 0 && lagMilliseconds <= float64(srv.TTL.Milliseconds())+queryTime
}

func asJSON(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestRun_ExtremeScenarios(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *Scenario)
		check  func(r *Result) bool
	}{
		"no calls": {
			func(s *Scenario) { s.Callers.Rate = 0 },
			func(r *Result) bool { return r.Calls == 0 && r.Service == 0 },
		},
		"every set-up is lost": {
			func(s *Scenario) { s.Pool[0].ErrorRate = 1 },
			func(r *Result) bool { return r.InTime == 0 && r.Lost == r.Calls && r.Calls > 0 },
		},
		"all pools dead from the start": {
			func(s *Scenario) { s.Event = []Event{{Kind: EventCrash}} },
			func(r *Result) bool { return r.InTime < r.Calls/20 && r.Lost > 0 },
		},
		"no pool reports its load": {
			func(s *Scenario) { s.Pool[0].ReportInterval = 0 },
			func(r *Result) bool { return r.Service > 0.9 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := scenario(t, "calm")
			s.Length = 20 * time.Second
			test.change(s)

			r := run(t, s, 3)

			if !test.check(r) || r.ViolationCount > 0 {
				t.Errorf("%d calls, %d in time, %d lost, service %.3f, violations %v",
					r.Calls, r.InTime, r.Lost, r.Service, r.Violations)
			}
		})
	}
}

func TestParse_ErrorNamesLineAndField(t *testing.T) {
	text, err := os.ReadFile("scenarios/burst.toml")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(text)
	line := func(field string) string {
		before, _, found := strings.Cut(valid, field)
		if !found {
			t.Fatalf("%q is not in the scenario", field)
		}
		return fmt.Sprintf("line %d:", strings.Count(before, "\n")+1)
	}
	const burst = "kind = \"burst\"\ntimes = 1.8\n\n[[event]]\nat = \"40s\""
	for _, test := range []struct{ from, to, want string }{
		{`rate = 90`, `rate = -1`, line("rate = 90") + " callers.rate:"},
		{`rate = 90`, `rat = 90`, line("rate = 90") + " callers.rat: not a known field"},
		{`rate = 90`, `rate = `, line("rate = 90")},
		{`rate = 90`, "rate = 90\nshares = [1, 2]", "callers.shares: want one for each controller"},
		{`rate = 90`, "rate = 90\nshares = [0, 0, 0, 0]", "callers.shares: want one for each controller"},
		{`agents = 130`, "agents = 130\nnoise = 2", "pool.name:"},
		{`[callers]`, "[net]\nlist_apart = \"0s\"\n[callers]", "net.list_apart:"},
		{`[callers]`, "[settings]\nrepeats = true\n[callers]", "settings.repeats: want a resend"},
		{`controllers = 4`, `controllers = 0`, line("controllers = 4") + " controllers:"},
		{`agents = 130`, `agents = 0`, "pool.name:"},
		{`at = "40s"`, "at = \"40s\"\npool = \"p9\"", "event.pool: there is no pool \"p9\""},
		{`at = "40s"`, `at = "soon"`, line(`at = "40s"`)},
		{burst, "kind = \"boom\"\n\n[[event]]\nat = \"40s\"", "event.kind: \"boom\" is none of"},
	} {
		if !strings.Contains(valid, test.from) {
			t.Fatalf("%q is not in the scenario", test.from)
		}
		_, err := Parse(strings.Replace(valid, test.from, test.to, 1))
		if !errors.Is(err, ErrScenario) || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", test.to, err, test.want)
		}
	}
}
