// These are characterisation tests: they record what the program does today, so that a change which is to leave
// behaviour alone can be shown to do so. The recorded files are under testdata/characterization. After a change of
// behaviour on purpose they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/rollout/runner -run TestCharacterization
//
// and the commit has to say why they changed. Without that variable a missing or different file fails the test.
package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/rollout"
	"eidertrail/internal/rollout/runner"
)

// recordedPath is where a recorded file is.
func recordedPath(name string) string { return filepath.Join("testdata", "characterization", name) }

// checkRecorded compares got with the recorded file, or records it.
func checkRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.WriteFile(recordedPath(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := recorded(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the recorded file; now:\n%s\nrecorded:\n%s", name, got, want)
	}
}

func recorded(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(recordedPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func load(t *testing.T, path string) *runner.File {
	t.Helper()
	f, err := runner.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// writeFile writes a file of the test's own folder.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The rollout's file: every key, and what an absent one stands for.
func TestCharacterization_RolloutFile(t *testing.T) {
	f := load(t, recordedPath("rollout.toml"))
	var text strings.Builder
	describe(t, &text, f)
	short := "stages = [\"100%\"]\n[old]\nbinary = \"a\"\n[new]\nbinary = \"b\"\n"
	for _, name := range []string{"n0", "n1"} {
		short += fmt.Sprintf("[[controller]]\nname = %q\nconfig = \"c\"\npid_file = \"p\"\nlog = \"l\"\nhealth = \"h\"\n", name)
	}
	text.WriteString("\n")
	describe(t, &text, load(t, writeFile(t, "short.toml", short)))
	checkRecorded(t, "rollout-read.txt", []byte(text.String()))
}

// describe writes what was read, under names of its own.
func describe(t *testing.T, to *strings.Builder, f *runner.File) {
	t.Helper()
	fmt.Fprintf(to, "stages %q\nwatched at least %d ns\nwatched at most %d ns\ncalls %d\nlooks every %d ns\nconfidence %g\ntolerance %g\n",
		f.Stages, int64(f.MinTime), int64(f.MaxTime), f.MinCalls, int64(f.EvaluationInterval), f.Confidence, f.Tolerance)
	fmt.Fprintf(to, "stop within %d ns\nready within %d ns\nold program %q\nnew program %q\n", int64(f.StopTimeout), int64(f.ReadyTimeout), f.Old.Binary, f.New.Binary)
	for _, c := range f.Controller {
		fmt.Fprintf(to, "controller %q, arguments %q, configuration %q, new configuration %q, process number %q, log %q, health %q\n",
			c.Name, c.Args, c.Config, c.NewConfig, c.PIDFile, c.Log, c.Health)
	}
	p, err := f.Plan()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(to, "plan: controllers %q, stages %d, at least %d ms, at most %d ms, calls %d, looks every %d ms, confidence %g, tolerance %g\n",
		p.Controllers, p.Stages, p.MinTime, p.MaxTime, p.MinCalls, p.EvaluationInterval, p.Confidence, p.Tolerance)
}

// The words for rollout files that are not accepted.
func TestCharacterization_BadRolloutFiles(t *testing.T) {
	good := string(recorded(t, "rollout.toml"))
	var text strings.Builder
	for _, c := range []struct{ what, file string }{
		{"empty", ""},
		{"no TOML", "stages = [\n= 1\n"},
		{"unknown key", "colour = 1\n" + good},
		{"unknown key of a section", strings.Replace(good, "[new]\n", "[new]\ncolour = 1\n", 1)},
		{"unknown key of a controller", strings.Replace(good, "name = \"n1\"", "name = \"n1\"\ncolour = 1", 1)},
		{"wrong type", strings.Replace(good, "min_calls = 321", "min_calls = \"321\"", 1)},
		{"bad duration", strings.Replace(good, "min_time = \"90s\"", "min_time = \"90\"", 1)},
		{"no program", strings.Replace(good, "binary = \"absent-folder/eidertrail-new\"", "", 1)},
		{"no change", strings.Replace(good, "eidertrail-new", "eidertrail-old", 1)},
		{"no configuration", strings.Replace(good, "config = \"absent-folder/n1.json\"", "", 1)},
		{"no process number", strings.Replace(good, "pid_file = \"absent-folder/n1.pid\"", "", 1)},
		{"no log", strings.Replace(good, "log = \"absent-folder/n1.log\"", "", 1)},
		{"no health", strings.Replace(good, "health = \"127.0.0.1:5172\"", "", 1)},
		{"stop_within", strings.Replace(good, "stop_within = \"7s\"", "stop_within = \"0s\"", 1)},
		{"ready_in", strings.Replace(good, "ready_in = \"8s\"", "ready_in = \"-1s\"", 1)},
		{"stage past all", strings.Replace(good, "\"60%\"", "\"4\"", 1)},
		{"stage no count", strings.Replace(good, "\"60%\"", "\"most\"", 1)},
		{"stage no share", strings.Replace(good, "\"60%\"", "\"101%\"", 1)},
		{"last stage", strings.Replace(good, "\"100%\"", "\"2\"", 1)},
		{"most_time", strings.Replace(good, "most_time = \"20m\"", "most_time = \"1m\"", 1)},
		{"min_calls", strings.Replace(good, "min_calls = 321", "min_calls = 9", 1)},
		{"look_every", strings.Replace(good, "look_every = \"3s\"", "look_every = \"49ms\"", 1)},
		{"confidence", strings.Replace(good, "confidence = 0.95", "confidence = 1.0", 1)},
		{"tolerance", strings.Replace(good, "tolerance = 0.02", "tolerance = 0.6", 1)},
		{"same name", strings.Replace(good, "name = \"n1\"", "name = \"n0\"", 1)},
		{"no name", strings.Replace(good, "name = \"n1\"", "", 1)},
	} {
		if c.file == good {
			t.Fatalf("%s: the file was not changed", c.what)
		}
		_, err := runner.Load(writeFile(t, "bad.toml", c.file))
		if err == nil {
			t.Errorf("%s: accepted", c.what)
			continue
		}
		fmt.Fprintf(&text, "%s: %s\n", c.what, err)
	}
	_, err := runner.Load("absent-folder/rollout.toml")
	fmt.Fprintf(&text, "absent file: %s\n", err)
	checkRecorded(t, "bad-rollout-files.txt", []byte(text.String()))
}

// everyKey is a state in which every key of the file is present. Its plan is the recorded rollout file.
func everyKey(phase rollout.Phase) *rollout.State {
	moving := rollout.Old
	if phase == rollout.Running { // a controller that was not moved to the end is moved on
		moving = rollout.New
	}
	return &rollout.State{
		Plan: "bcf17788baabae24", Phase: phase, Stage: 1,
		Controllers: []rollout.Controller{
			{Name: "n0", Version: rollout.New, Moving: moving, Failed: 2},
			{Name: "n1", Version: rollout.Old, Moving: rollout.New, Failed: 1},
			{Name: "n2", Version: rollout.Old},
		},
		Since: 1_700_000_000_123, EvaluatedAt: 1_700_000_001_456,
		Base: []rollout.Figures{
			{InTime: 11, Late: 12, Rejected: 13, Failed: 14, Times: map[int64]int64{20_000: 15, 200_000: 16}},
			{InTime: 21, Late: 22, Rejected: 23, Failed: 24, Times: map[int64]int64{9000: 25, 30_000: 26}},
			{},
		},
		Incarnations: []string{"1700000000000001", "1700000000000002", ""},
		Before:       rollout.Figures{InTime: 31, Late: 32, Rejected: 33, Failed: 34, Times: map[int64]int64{1000: 35}},
		Reason:       "the operator aborted it",
		Log:          []string{"controller n0 is new", "stopped: \"the operator\" <aborted> it & more"},
	}
}

// goOn puts the recorded state file in a folder, has Run go on with it, and returns what is in the file then, with the log.
func goOn(ctx context.Context, t *testing.T, f *runner.File, name string) (after []byte, log string, err error) {
	t.Helper()
	path := writeFile(t, "state.json", string(recorded(t, name)))
	var lines bytes.Buffer
	err = runner.Run(ctx, f, path, zerolog.New(&lines))
	after, readErr := os.ReadFile(path)
	if readErr != nil {
		t.Fatal(readErr)
	}
	return after, lines.String(), err
}

// State files as an earlier program left them: they are of the plan that they were of, are read back to the same state,
// and what is written then are the same bytes. Those of rollouts that are over change nothing; those in which a move
// has begun begin it again, which the cancelled context ends before anything is touched.
func TestCharacterization_StateFile(t *testing.T) {
	f := load(t, recordedPath("rollout.toml"))
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		file  string
		phase rollout.Phase
		ctx   context.Context
		end   error
		words string
	}{
		{"state-done.json", rollout.Done, context.Background(), nil, ""},
		{"state-aborted.json", rollout.Aborted, context.Background(), runner.ErrRolledBack, "rollout: stopped and taken back: the operator aborted it"},
		{"state-stuck.json", rollout.Stuck, context.Background(), runner.ErrStuck, "rollout: stuck: the operator aborted it"},
		{"state-running.json", rollout.Running, cancelled, context.Canceled, "context canceled"},
	} {
		t.Run(c.file, func(t *testing.T) {
			want := everyKey(c.phase)
			text, err := json.MarshalIndent(want, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			checkRecorded(t, c.file, append(text, '\n'))
			read, err := runner.ReadState(recordedPath(c.file))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, want) {
				t.Errorf("read as\n%+v, want\n%+v", read, want)
			}
			after, log, err := goOn(c.ctx, t, f, c.file)
			if !errors.Is(err, c.end) || err != nil && err.Error() != c.words {
				t.Errorf("ended with %v, want %q", err, c.words)
			}
			if !bytes.Equal(after, recorded(t, c.file)) {
				t.Errorf("written as other bytes than were read:\n%s", after)
			}
			checkRecorded(t, strings.TrimSuffix(c.file, ".json")+".log", []byte(log))
		})
	}
}

// States that are not accepted, and what is beside a state file.
func TestCharacterization_StateFilesThatAreRefused(t *testing.T) {
	f := load(t, recordedPath("rollout.toml"))
	var text strings.Builder
	run := func(what, state string) {
		path := writeFile(t, "state.json", state)
		err := runner.Run(context.Background(), f, path, zerolog.Nop())
		fmt.Fprintf(&text, "%s: %s\n", what, err)
	}
	run("of another plan", strings.Replace(string(recorded(t, "state-done.json")), `"plan": "`, `"plan": "0`, 1))
	run("empty", "")
	run("cut off", string(recorded(t, "state-done.json")[:100]))
	_, err := runner.ReadState("absent-folder/state.json")
	fmt.Fprintf(&text, "absent: %s\n", err)
	fmt.Fprintf(&text, "abort without a state: %s\n", runner.Abort("absent-folder/state.json"))
	checkRecorded(t, "refused-states.txt", []byte(text.String()))
}

// What the program writes beside the state file.
func TestCharacterization_FilesBesideTheStateFile(t *testing.T) {
	f := load(t, recordedPath("rollout.toml"))
	path := writeFile(t, "state.json", string(recorded(t, "state-aborted.json")))
	if err := runner.Abort(path); err != nil {
		t.Fatal(err)
	}
	checkNames(t, filepath.Dir(path), "state.json", "state.json.abort")
	if err := runner.Run(context.Background(), f, path, zerolog.Nop()); !errors.Is(err, runner.ErrRolledBack) {
		t.Fatal(err)
	}
	checkNames(t, filepath.Dir(path), "state.json", "state.json.lock")
}

func checkNames(t *testing.T, folder string, want ...string) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if !reflect.DeepEqual(names, want) {
		t.Errorf("files %q, want %q", names, want)
	}
}

// cancelAt is a log that cancels a context when a line holds some words.
type cancelAt struct {
	bytes.Buffer
	words  string
	cancel context.CancelFunc
}

func (c *cancelAt) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(c.words)) {
		c.cancel()
	}
	return c.Buffer.Write(line)
}

// timeStamps are the readings of the system's clock in a state file.
var timeStamps = regexp.MustCompile(`"(since|looked_at)": [1-9][0-9]{12}`)

// A stage begins to be watched: which counters of the controllers go into the state, and under which keys.
func TestCharacterization_CountersInTheState(t *testing.T) {
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/counters" && r.Method == http.MethodGet {
			fmt.Fprint(w, `{"life":1700000000000007,"counters":{"answered":90,"answered_in_time":70,"refused":5,"failed":3,"reloads":2},"times":{"9000":60,"20000":30}}`)
		}
	}))
	defer controller.Close()
	address := strings.TrimPrefix(controller.URL, "http://")
	text := regexp.MustCompile(`127\.0\.0\.1:5[0-9]72`).ReplaceAllString(string(recorded(t, "rollout.toml")), address)
	text = strings.Replace(text, `look_every = "3s"`, `look_every = "10m"`, 1) // the context ends the wait for the next look
	f := load(t, writeFile(t, "rollout.toml", text))

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	path := filepath.Join(t.TempDir(), "state.json")
	// The first Run writes the plan's state and ends before the first move.
	stopped, stop := context.WithCancel(ctx)
	stop()
	if err := runner.Run(stopped, f, path, zerolog.Nop()); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	s, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	plan := regexp.MustCompile(`"plan": "[0-9a-f]{16}"`)
	checkRecorded(t, "state-begun.json", plan.ReplaceAll(s, []byte(`"plan": "PLAN"`)))

	moved := strings.Replace(string(s), "\"version\": \"old\",\n   \"moving\": \"new\"", `"version": "new"`, 1)
	if err := os.WriteFile(path, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	log := &cancelAt{words: "stage 1 of 3", cancel: cancel}
	if err := runner.Run(ctx, f, path, zerolog.New(log)); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if s, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	s = timeStamps.ReplaceAll(plan.ReplaceAll(s, []byte(`"plan": "PLAN"`)), []byte(`"$1": TIME`))
	checkRecorded(t, "state-watched.json", s)
	checkRecorded(t, "state-watched.log", log.Bytes())
}
