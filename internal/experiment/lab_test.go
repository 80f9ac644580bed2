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

func TestSetsAndSeeds(t *testing.T) {
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

// A sweep that is interrupted keeps what it has run, a last row that was cut off is run again, and the folder ends
// with the same runs as that of one that was not.
func TestAnInterruptedSweepGoesOn(t *testing.T) {
	whole, cut := t.TempDir(), t.TempDir()
	sweep := func(dir string) *Sweep {
		return &Sweep{Path: calm, Choices: sets(t, "callers.rate=20,40", "length=5s"), Seeds: []uint64{1, 2, 3, 4}, Out: dir, Workers: 1}
	}
	if ran, had, err := sweep(whole).Run(context.Background(), "v"); ran != 8 || had != 0 || err != nil {
		t.Fatalf("%d, %d, %v", ran, had, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			if text, _ := os.ReadFile(filepath.Join(cut, runsFile)); bytes.Count(text, []byte("\n")) >= 3 {
				cancel()
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	ran, _, err := sweep(cut).Run(ctx, "v")
	if err == nil {
		t.Skip("the sweep was over before it could be interrupted")
	}
	if ran == 0 || !errors.Is(err, context.Canceled) {
		t.Fatalf("%d, %v", ran, err)
	}
	path := filepath.Join(cut, runsFile)
	text, _ := os.ReadFile(path)
	os.WriteFile(path, append(text, "v,abc,7,2"...), 0o644) // killed in the middle of a row
	again, had, err := sweep(cut).Run(context.Background(), "v")
	if err != nil || had != ran || again != 8-ran {
		t.Errorf("went on with %d runs, %d were there, %v; %d had been done", again, had, err, ran)
	}
	for _, name := range []string{"summary.csv", "summary.md", "service.svg"} {
		a, _ := os.ReadFile(filepath.Join(whole, name))
		b, _ := os.ReadFile(filepath.Join(cut, name))
		if len(a) == 0 || !bytes.Equal(a, b) {
			t.Errorf("%s differs (%d and %d bytes)", name, len(a), len(b))
		}
	}
	svg, _ := os.ReadFile(filepath.Join(cut, "service.svg"))
	if !strings.Contains(string(svg), "<svg") || !strings.Contains(string(svg), "version v") {
		t.Error("the chart does not say which version made it")
	}
	other := sweep(cut)
	other.Choices = sets(t, "callers.retries=1,2")
	if _, _, err := other.Run(context.Background(), "v"); !errors.Is(err, ErrLab) {
		t.Errorf("another sweep in the same folder: %v", err)
	}
}

func TestCompareTwoSettings(t *testing.T) {
	short := Grid(sets(t, "length=10s"))[0]
	a, err := Load(calm, short)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Load(calm, append(short, Set{"pool.0.agents", "40"}))
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Compare(context.Background(), Side{Name: "a", Variant: a}, Side{Name: "b", Variant: b}, []uint64{1, 2, 3})
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
	tables, err = Compare(context.Background(), Side{Name: "a", Variant: a}, Side{Name: "a", Variant: a}, []uint64{1, 2})
	if err != nil || tables[0].Rows[0][3] != "0" {
		t.Errorf("%v, %v", tables, err)
	}
	if _, err := Compare(context.Background(), Side{Variant: a}, Side{Variant: a, Path: calm, Build: "/bin/false"}, []uint64{1}); !errors.Is(err, ErrLab) {
		t.Errorf("a build that fails: %v", err)
	}
}

// Two builds may count different things: what one has not is shown as such.
func TestCompareTwoBuildsWithDifferentCounters(t *testing.T) {
	dir := t.TempDir()
	build := filepath.Join(dir, "old")
	os.WriteFile(build, []byte("#!/bin/sh\necho '{\"service\":0.5,\"calls\":10,\"counters\":{\"old_counter\":3}}'\n"), 0o700)
	a, err := Load(calm, Grid(sets(t, "length=3s"))[0])
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Compare(context.Background(), Side{Name: "new", Variant: a}, Side{Name: "old", Variant: a, Path: calm, Build: build}, []uint64{1, 2})
	if err != nil {
		t.Fatal(err)
	}
	var md bytes.Buffer
	tables[1].Markdown(&md)
	if !strings.Contains(md.String(), "| old_counter | - | 3 |") {
		t.Errorf("%s", md.String())
	}
}

func TestWhatDoesNotFitTheDaemon(t *testing.T) {
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
func TestSimulatorAndDaemonAgree(t *testing.T) {
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
	played, err := simulation.Run(v.Scenario, 1)
	if err != nil {
		t.Fatal(err)
	}
	live, err := Live(context.Background(), v, daemon, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("service: simulator %.3f, daemon %.3f; p50 %.1f and %.1f ms", played.Service, live.Service, played.P50, live.P50)
	if d := played.Service - live.Service; d > 0.1 || live.Calls < 150 {
		t.Errorf("service: simulator %.3f, daemon %.3f of %d calls", played.Service, live.Service, live.Calls)
	}
	if live.ViolationCount > 0 {
		t.Errorf("rules broken: %v", live.Violations)
	}
}

func goBuild(to string) ([]byte, error) {
	return exec.Command("go", "build", "-o", to, "../../cmd/eidertrail").CombinedOutput()
}
