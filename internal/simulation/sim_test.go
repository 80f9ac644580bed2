package simulation

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
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

// Every scenario of the repository, twice with one seed: no rule is broken, the service is what such a day should
// give, and the result is the same bit for bit; another seed gives another.
func TestScenarios(t *testing.T) {
	least := map[string]float64{"calm": 0.97, "burst": 0.75, "processors": 0.75, "zoneloss": 0.9, "flapping": 0.9, "badpools": 0.85, "srv": 0.95, "fleet": 0.7}
	files, err := filepath.Glob("scenarios/*.toml")
	if err != nil || len(files) != len(least) {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for name, want := range least {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario(t, name)
			r := run(t, s, 1)
			t.Logf("service %.3f, worst 10 s %.3f, p99 %.0f ms, cut %d, lost %d of %d, cold %.2f, deaths %d, %d events", r.Service, r.Worst,
				r.P99, r.Cut, r.Lost, r.Calls, r.Cold, r.Deaths, r.Events)
			if r.Broken > 0 {
				t.Errorf("%d rules broken: %s", r.Broken, strings.Join(r.Rules[:min(3, len(r.Rules))], "; "))
			}
			if r.Service < want {
				t.Errorf("service %.3f, want %.2f", r.Service, want)
			}
			if r.Cold > 1 || r.Calls != r.InTime+r.Late+r.Cut+r.Lost {
				t.Errorf("cold %.2f; %d calls of which %d stood in time, %d late, %d were cut, %d lost", r.Cold, r.Calls, r.InTime, r.Late, r.Cut, r.Lost)
			}
			if s.SRV != nil && (r.Lag == 0 || r.Lag > float64(s.SRV.TTL.Milliseconds())+50) {
				t.Errorf("a record's going was known after %.0f ms, its lifetime is %v", r.Lag, s.SRV.TTL)
			}
			a, _ := json.Marshal(r)
			b, _ := json.Marshal(run(t, s, 1))
			c, _ := json.Marshal(run(t, s, 2))
			if string(a) != string(b) || string(a) == string(c) {
				t.Errorf("the same seed gives the same: %v; another gives another: %v", string(a) == string(b), string(a) != string(c))
			}
		})
	}
}

func TestHardCases(t *testing.T) {
	for name, c := range map[string]struct {
		set   func(s *Scenario)
		check func(r *Result) bool
	}{
		"no calls":                      {func(s *Scenario) { s.Callers.Rate = 0 }, func(r *Result) bool { return r.Calls == 0 && r.Service == 0 }},
		"every set-up is lost":          {func(s *Scenario) { s.Pool[0].Errors = 1 }, func(r *Result) bool { return r.InTime == 0 && r.Lost == r.Calls && r.Calls > 0 }},
		"all pools dead from the start": {func(s *Scenario) { s.Event = []Event{{Kind: Crash}} }, func(r *Result) bool { return r.InTime < r.Calls/20 && r.Lost > 0 }},
		"nobody is told of states":      {func(s *Scenario) { s.Pool[0].Tell = 0 }, func(r *Result) bool { return r.Service > 0.9 }},
	} {
		t.Run(name, func(t *testing.T) {
			s := scenario(t, "calm")
			s.Length = 20e9
			c.set(s)
			r := run(t, s, 3)
			if !c.check(r) || r.Broken > 0 {
				t.Errorf("%d calls, %d in time, %d lost, service %.3f, broken %v", r.Calls, r.InTime, r.Lost, r.Service, r.Rules)
			}
		})
	}
}

func TestBadScenariosNameTheLine(t *testing.T) {
	text, err := os.ReadFile("scenarios/burst.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	line := func(of string) string {
		return "line " + itoa(strings.Count(good[:strings.Index(good, of)], "\n")+1) + ":"
	}
	for _, c := range []struct{ from, to, want string }{
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
		{"kind = \"burst\"\ntimes = 1.8\n\n[[event]]\nat = \"40s\"", "kind = \"boom\"\n\n[[event]]\nat = \"40s\"", "event.kind: \"boom\" is none of"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("%q is not in the scenario", c.from)
		}
		_, err := Parse(strings.Replace(good, c.from, c.to, 1))
		if !errors.Is(err, ErrScenario) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}
