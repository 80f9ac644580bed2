package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/simulation"
)

const calm = "../simulation/scenarios/calm.toml"

func sets(t *testing.T, texts ...string) [][]Set {
	t.Helper()
	c, err := ParseSets(texts)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestLoad_SetsAndSeeds(t *testing.T) {
	v, err := Load(calm, Grid(sets(t, "callers.rate=12.5", "pool.0.agents=40", "length=7s", "class.1.worth=9"))[0])
	if err != nil {
		t.Fatal(err)
	}
	if v.Callers.Rate != 12.5 || v.Pool[0].Agents != 40 || v.Length != 7*time.Second || v.Class[1].PriorityWeight != 9 {
		t.Errorf("%+v", v.Scenario)
	}
	if n := len(Grid(sets(t, "a=1,2,3", "b=4,5"))); n != 6 {
		t.Errorf("%d combinations", n)
	}
	for _, bad := range []string{"pool.7.agents=1", "callers.rate=-1", "callers.colour=1", "pool=3", "pool.x=1"} {
		if _, err := Load(calm, Grid(sets(t, bad))[0]); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
	for _, bad := range []string{"", "x", "3-1", "1-99999"} {
		if _, err := ParseSeeds(bad); !errors.Is(err, ErrLab) {
			t.Errorf("seeds %q: %v", bad, err)
		}
	}
	if s, err := ParseSeeds("1-3,9"); err != nil || len(s) != 4 || s[3] != 9 {
		t.Errorf("%v, %v", s, err)
	}
}

// A sweep that is interrupted keeps the runs that it has done, an incomplete last row is run again, and the folder ends
// with the same runs as that of one that was not.
func TestSweep_InterruptedContinues(t *testing.T) {
	complete, interrupted := t.TempDir(), t.TempDir()
	sweep := func(folder string) *Sweep {
		return &Sweep{
			Path:    calm,
			Choices: sets(t, "callers.rate=20,40", "length=5s"),
			Seeds:   []uint64{1, 2, 3, 4},
			Out:     folder,
			Workers: 1,
		}
	}
	if ran, had, err := sweep(complete).Run(context.Background(), "v"); ran != 8 || had != 0 || err != nil {
		t.Fatalf("%d, %d, %v", ran, had, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			if text, _ := os.ReadFile(filepath.Join(interrupted, runsFile)); bytes.Count(text, []byte("\n")) >= 3 {
				cancel()
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	ran, _, err := sweep(interrupted).Run(ctx, "v")
	if err == nil {
		t.Skip("the sweep was over before it could be interrupted")
	}
	if ran == 0 || !errors.Is(err, context.Canceled) {
		t.Fatalf("%d, %v", ran, err)
	}
	path := filepath.Join(interrupted, runsFile)
	text, _ := os.ReadFile(path)
	writeFileOf(t, path, append(text, "v,abc,7,2"...), 0o644) // killed in the middle of a row
	resumed, had, err := sweep(interrupted).Run(context.Background(), "v")
	if err != nil || had != ran || resumed != 8-ran {
		t.Errorf("went on with %d runs, %d were there, %v; %d had been done", resumed, had, err, ran)
	}
	for _, name := range []string{"summary.csv", "summary.md", "service.svg"} {
		a, _ := os.ReadFile(filepath.Join(complete, name))
		b, _ := os.ReadFile(filepath.Join(interrupted, name))
		if len(a) == 0 || !bytes.Equal(a, b) {
			t.Errorf("%s differs (%d and %d bytes)", name, len(a), len(b))
		}
	}
	svg, _ := os.ReadFile(filepath.Join(interrupted, "service.svg"))
	if !strings.Contains(string(svg), "<svg") || !strings.Contains(string(svg), "version v") {
		t.Error("the chart does not say which version made it")
	}
	other := sweep(interrupted)
	other.Choices = sets(t, "callers.retries=1,2")
	if _, _, err := other.Run(context.Background(), "v"); !errors.Is(err, ErrLab) {
		t.Errorf("another sweep in the same folder: %v", err)
	}
}

func TestCompare_TwoSettings(t *testing.T) {
	short := Grid(sets(t, "length=10s"))[0]
	few, err := Load(calm, short)
	if err != nil {
		t.Fatal(err)
	}
	fewer, err := Load(calm, append(short, Set{"pool.0.agents", "40"}))
	if err != nil {
		t.Fatal(err)
	}
	sideA, sideB := Side{Name: "a", Variant: few}, Side{Name: "b", Variant: fewer}
	tables, err := Compare(context.Background(), sideA, sideB, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	var md bytes.Buffer
	for _, table := range tables {
		if err := table.Markdown(&md); err != nil {
			t.Fatal(err)
		}
	}
	row := tables[0].Rows[0]
	if row[0] != "service" || row[5] != "yes" || !strings.HasPrefix(row[3], "-") {
		t.Errorf("fewer agents make no difference: %v", row)
	}
	if !strings.Contains(md.String(), "| tries_refused |") {
		t.Errorf("no counters:\n%s", md.String())
	}
	// The same on both sides differs in nothing; another build that fails says why.
	tables, err = Compare(context.Background(), sideA, sideA, []uint64{1, 2})
	if err != nil || tables[0].Rows[0][3] != "0" {
		t.Errorf("%v, %v", tables, err)
	}
	failing := Side{Variant: few, Path: calm, Build: "/bin/false"}
	if _, err := Compare(context.Background(), Side{Variant: few}, failing, []uint64{1}); !errors.Is(err, ErrLab) {
		t.Errorf("a build that fails: %v", err)
	}
}

// Two builds may count different things: what one has not is shown as such.
func TestCompare_BuildsWithDifferentCounters(t *testing.T) {
	dir := t.TempDir()
	build := filepath.Join(dir, "old")
	program := `#!/bin/sh
echo '{"service":0.5,"calls":10,"counters":{"old_counter":3}}'
`
	writeFileOf(t, build, []byte(program), 0o700)
	a, err := Load(calm, Grid(sets(t, "length=3s"))[0])
	if err != nil {
		t.Fatal(err)
	}
	thisBuild, otherBuild := Side{Name: "new", Variant: a}, Side{Name: "old", Variant: a, Path: calm, Build: build}
	tables, err := Compare(context.Background(), thisBuild, otherBuild, []uint64{1, 2})
	if err != nil {
		t.Fatal(err)
	}
	var md bytes.Buffer
	if err := tables[1].Markdown(&md); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(md.String(), "| old_counter | - | 3 |") {
		t.Errorf("%s", md.String())
	}
}

func TestLive_RejectsScenariosOfTheSimulator(t *testing.T) {
	for _, name := range []string{"zoneloss", "fleet"} {
		v, err := Load("../simulation/scenarios/"+name+".toml", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Live(context.Background(), v, "/bin/false", 1); !errors.Is(err, ErrUnfit) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The daemon and the simulator agree on a short calm run.
func TestLive_AgreesWithSimulator(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds the daemon")
	}
	daemon := filepath.Join(t.TempDir(), "eidertrail")
	if out, err := goBuild(daemon); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	v, err := Load(calm, Grid(sets(t, "length=5s", "callers.rate=60"))[0])
	if err != nil {
		t.Fatal(err)
	}
	simulated, err := simulation.Run(v.Scenario, 1)
	if err != nil {
		t.Fatal(err)
	}
	live, err := Live(context.Background(), v, daemon, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("service: simulator %.3f, daemon %.3f; p50 %.1f and %.1f ms",
		simulated.Service, live.Service, simulated.P50, live.P50)
	if d := simulated.Service - live.Service; d > 0.1 || live.Calls < 150 {
		t.Errorf("service: simulator %.3f, daemon %.3f of %d calls", simulated.Service, live.Service, live.Calls)
	}
	if live.ViolationCount > 0 {
		t.Errorf("rules broken: %v", live.Violations)
	}
}

// writeFileOf writes a file of the test's own.
func writeFileOf(t *testing.T, path string, content []byte, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, content, mode); err != nil {
		t.Fatal(err)
	}
}

func goBuild(to string) ([]byte, error) {
	return exec.Command("go", "build", "-o", to, "../../cmd/eidertrail").CombinedOutput()
}
