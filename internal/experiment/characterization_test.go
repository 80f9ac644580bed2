// These are characterisation tests: they record what the program does today, so that a change which is to leave
// behaviour alone can be shown to do so. The recorded files are under testdata/characterization. After a change of
// behaviour on purpose they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/experiment -run TestCharacterization
//
// and the commit has to say why they changed. Without that variable a missing or different file fails the test.
package experiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"eidertrail/internal/experiment"
	"eidertrail/internal/simulation"
	"eidertrail/internal/testing/recorded"
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkFolder compares files of a folder with the recorded ones.
func checkFolder(t *testing.T, folder string, names ...string) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	there := make([]string, 0, len(entries))
	for _, e := range entries {
		there = append(there, e.Name())
	}
	if !reflect.DeepEqual(there, names) {
		t.Errorf("files %q, want %q", there, names)
	}
	for _, name := range names {
		recorded.Compare(t, name, string(readFile(t, filepath.Join(folder, name))))
	}
}

// everyKey is a result in which every key of its file is present.
func everyKey() *simulation.Result {
	return &simulation.Result{
		Scenario:           "small",
		Seed:               18446744073709551615,
		Events:             1001,
		Calls:              1002,
		InTime:             703,
		Late:               104,
		Dropped:            105,
		Lost:               90,
		Rejected:           106,
		Failed:             107,
		CallerGone:         108,
		Requests:           1109,
		Attempts:           1210,
		Service:            0.8125,
		WorstWindow:        0.40625,
		P50:                12.25,
		P99:                99.5,
		SlowStartLoad:      0.75,
		SlowStartBudget:    0.875,
		SlowStartSent:      111,
		AbandonedWaiting:   112,
		AbandonedForwarded: 113,
		Datagrams:          114,
		Queries:            115,
		RecordLag:          116.5,
		Deaths:             117,
		ViolationCount:     1,
		Violations:         []string{"2 s: call 9: late"},
		Class: []simulation.ClassResult{
			{Name: "avail-read", Calls: 800, Service: 0.9},
			{Name: "stop|sell", Calls: 202, Service: 0.7},
		},
		Pool: []simulation.PoolResult{
			{UID: "p1", Arrivals: 600, Overflowed: 6, SlowStartLoad: 0.5},
			{UID: "p2", Arrivals: 610, Overflowed: 7, SlowStartLoad: 0.25},
		},
		Windows: []simulation.Window{
			{Calls: 501, InTime: 401, Late: 51, Dropped: 31, Lost: 18, OfferedWeight: 701, ServedWeight: 600.5},
			{Calls: 501, InTime: 302, Late: 53, Dropped: 74, Lost: 72, OfferedWeight: 702, ServedWeight: 400.25},
		},
		Notes:    []string{"1.0 s: burst", "2.0 s: \"slow\" & <over>"},
		Counters: map[string]int64{"answered": 807, "refused": 106, "only_here": 3},
	}
}

// checkNoFieldIsZero fails the test when an exported field of the value, or of one in it, was left out of an example
// that is to have all.
func checkNoFieldIsZero(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() {
		t.Errorf("%s is not set in the example", path)
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				checkNoFieldIsZero(t, path+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice:
		for i := range value.Len() {
			checkNoFieldIsZero(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	}
}

// A result as JSON, which one build hands another: every key, written and read back.
func TestCharacterization_ResultFile(t *testing.T) {
	result := everyKey()
	checkNoFieldIsZero(t, "result", reflect.ValueOf(*result))
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(result); err != nil { // as the command writes it
		t.Fatal(err)
	}
	recorded.Compare(t, "result.json", text.String())
	read := &simulation.Result{}
	if err := json.Unmarshal([]byte(recorded.Read(t, "result.json")), read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, result) {
		t.Errorf("read as\n%+v, want\n%+v", read, result)
	}
}

// The tables and the chart of one result.
func TestCharacterization_TablesOfARun(t *testing.T) {
	folder := t.TempDir()
	result := everyKey()
	if err := experiment.WriteTables(folder, "run", experiment.RunTables(result)); err != nil {
		t.Fatal(err)
	}
	course := experiment.Course(result)
	err := experiment.WriteChart(folder, "run", result.Scenario, "seed 1, version v1", "second", "callers", course)
	if err != nil {
		t.Fatal(err)
	}
	checkFolder(t, folder, "run.csv", "run.md", "run.svg")
}

// choices reads FIELD=VALUES texts.
func choices(t *testing.T, texts ...string) [][]experiment.Set {
	t.Helper()
	read, err := experiment.ParseSets(texts)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func sweep(t *testing.T, folder string, seeds ...uint64) *experiment.Sweep {
	t.Helper()
	return &experiment.Sweep{
		Path: recorded.Path("small.toml"), Choices: choices(t, "callers.rate=20,40.5", "pool.0.agents=10,30"), Seeds: seeds,
		Out: folder, Workers: 1,
	}
}

// The files of a sweep. Its table of runs, as an earlier program left it, is taken for the runs that it holds.
func TestCharacterization_SweepFiles(t *testing.T) {
	folder := t.TempDir()
	ran, had, err := sweep(t, folder, 1, 2).Run(context.Background(), "v1")
	if ran != 8 || had != 0 || err != nil {
		t.Fatalf("%d runs, %d were there, %v", ran, had, err)
	}
	checkFolder(t, folder, "runs.csv", "service.svg", "summary.csv", "summary.md")

	again := t.TempDir()
	path := filepath.Join(again, "runs.csv")
	if err := os.WriteFile(path, []byte(recorded.Read(t, "runs.csv")), 0o644); err != nil {
		t.Fatal(err)
	}
	if ran, had, err = sweep(t, again, 1, 2).Run(context.Background(), "v1"); ran != 0 || had != 8 || err != nil {
		t.Errorf("with the recorded table: %d runs, %d were there, %v", ran, had, err)
	}
	checkFolder(t, again, "runs.csv", "service.svg", "summary.csv", "summary.md")
	if ran, had, err = sweep(t, again, 2, 3).Run(context.Background(), "v1"); ran != 4 || had != 4 || err != nil {
		t.Errorf("with another seed: %d runs, %d were there, %v", ran, had, err)
	}
	if grown := readFile(t, path); !bytes.HasPrefix(grown, []byte(recorded.Read(t, "runs.csv"))) {
		t.Errorf("the table was not appended to:\n%s", grown)
	}
}

// A comparison with another build: how that is called, and the tables.
func TestCharacterization_ComparisonWithAnotherBuild(t *testing.T) {
	folder := t.TempDir()
	build, called := filepath.Join(folder, "other-build"), filepath.Join(folder, "called")
	program := fmt.Sprintf("#!/bin/sh\necho \"$@\" >> %s\ncat %s\n", called, recorded.Path("result.json"))
	if err := os.WriteFile(build, []byte(program), 0o700); err != nil {
		t.Fatal(err)
	}
	path := recorded.Path("small.toml")
	variant, err := experiment.Load(path, experiment.Grid(choices(t, "callers.rate=25", "length=2s"))[0])
	if err != nil {
		t.Fatal(err)
	}
	seed := []uint64{3}
	tables, err := experiment.Compare(context.Background(), experiment.Side{Name: "this build", Variant: variant},
		experiment.Side{Name: "other build", Variant: variant, Path: path, Build: build}, seed)
	if err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	if err := experiment.WriteTables(out, "compare", tables); err != nil {
		t.Fatal(err)
	}
	checkFolder(t, out, "compare.csv", "compare.md")
	recorded.Compare(t, "other-build-called.txt", string(readFile(t, called)))
}

// What tells one variant from another, which tables of runs hold, and the words for what is not accepted.
func TestCharacterization_VariantsAndRefusals(t *testing.T) {
	var text strings.Builder
	for _, sets := range [][]string{
		nil,
		{"callers.rate=20"},
		{"callers.rate=20.5", "length=2s"},
		{"pool.0.untold=true"},
		{"fleet.lease=2s"},
		{"name=other"},
		{"pool.7.agents=1"},
		{"pool.x=1"},
		{"pool=3"},
		{"callers.colour=1"},
		{"callers.rate=-1"},
		{"length=soon"},
	} {
		variant, err := experiment.Load(recorded.Path("small.toml"), experiment.Grid(choices(t, sets...))[0])
		if err != nil {
			fmt.Fprintf(&text, "%q: refused: %s\n", sets, err)
			continue
		}
		fmt.Fprintf(&text, "%q: %s\n", sets, variant.ID)
	}
	for _, set := range []string{"", "rate", "=1", "rate="} {
		_, err := experiment.ParseSets([]string{set})
		fmt.Fprintf(&text, "set %q: %s\n", set, err)
	}
	for _, seeds := range []string{"1-3,9", " 4 , 5-5", "", "x", "3-1", "1-", "0-10001"} {
		read, err := experiment.ParseSeeds(seeds)
		if err != nil {
			fmt.Fprintf(&text, "seeds %q: refused: %s\n", seeds, err)
			continue
		}
		fmt.Fprintf(&text, "seeds %q: %d\n", seeds, read)
	}
	_, err := experiment.Load("absent-folder/small.toml", nil)
	fmt.Fprintf(&text, "absent file: %s\n", err)
	other := sweep(t, t.TempDir(), 1)
	other.Choices = choices(t, "callers.retries=1")
	if err := os.WriteFile(filepath.Join(other.Out, "runs.csv"), []byte(recorded.Read(t, "runs.csv")), 0o644); err != nil {
		t.Fatal(err)
	}
	_, _, err = other.Run(context.Background(), "v1")
	fmt.Fprintf(&text, "a folder of another sweep: %s\n", strings.ReplaceAll(err.Error(), other.Out, "FOLDER"))
	if !errors.Is(err, experiment.ErrLab) {
		t.Errorf("%v is no error of the lab", err)
	}
	recorded.Compare(t, "variants-and-refusals.txt", text.String())
}
