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
	"io"
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
	"eidertrail/internal/testing/recorded"
)

func load(tb testing.TB, path string) *runner.File {
	tb.Helper()
	file, err := runner.Load(path)
	if err != nil {
		tb.Fatal(err)
	}
	return file
}

// writeFile writes a file of the test's own folder.
func writeFile(tb testing.TB, name, text string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// shortFile is a rollout file that sets no more than it has to.
const shortFile = `stages = ["100%"]
[old]
binary = "a"
[new]
binary = "b"
[[controller]]
name = "n0"
config = "c"
pid_file = "p"
log = "l"
health = "h"
[[controller]]
name = "n1"
config = "c"
pid_file = "p"
log = "l"
health = "h"
`

// The rollout's file: every key, and what an absent one stands for.
func TestCharacterization_RolloutFile(t *testing.T) {
	var text strings.Builder
	describe(t, &text, load(t, recorded.Path("rollout.toml")))
	text.WriteString("\n")
	describe(t, &text, load(t, writeFile(t, "short.toml", shortFile)))
	recorded.Compare(t, "rollout-read.txt", text.String())
}

// describe writes what was read, under names of its own.
func describe(tb testing.TB, text *strings.Builder, file *runner.File) {
	tb.Helper()
	fmt.Fprintf(text, "stages %q\nwatched at least %d ns\nwatched at most %d ns\ncalls %d\nlooks every %d ns\n",
		file.Stages, int64(file.MinTime), int64(file.MaxTime), file.MinCalls, int64(file.EvaluationInterval))
	fmt.Fprintf(text, "confidence %g\ntolerance %g\n", file.Confidence, file.Tolerance)
	fmt.Fprintf(text, "stop within %d ns\nready within %d ns\nold program %q\nnew program %q\n",
		int64(file.StopTimeout), int64(file.ReadyTimeout), file.Old.Binary, file.New.Binary)
	for _, controller := range file.Controllers {
		fmt.Fprintf(text, "controller %q, arguments %q, configuration %q, new configuration %q, ",
			controller.Name, controller.Args, controller.Config, controller.NewConfig)
		fmt.Fprintf(text, "process number %q, log %q, health %q\n", controller.PIDFile, controller.Log, controller.Health)
	}
	plan, err := file.Plan()
	if err != nil {
		tb.Fatal(err)
	}
	fmt.Fprintf(text, "plan: controllers %q, stages %d, at least %d ms, at most %d ms, calls %d, ",
		plan.Controllers, plan.Stages, plan.MinTime, plan.MaxTime, plan.MinCalls)
	fmt.Fprintf(text, "looks every %d ms, confidence %g, tolerance %g\n",
		plan.EvaluationInterval, plan.Confidence, plan.Tolerance)
}

// The words for rollout files that are not accepted.
func TestCharacterization_BadRolloutFiles(t *testing.T) {
	good := recorded.Read(t, "rollout.toml")
	var text strings.Builder
	for _, test := range []struct{ name, file string }{
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
		if test.file == good {
			t.Fatalf("%s: the file was not changed", test.name)
		}
		_, err := runner.Load(writeFile(t, "bad.toml", test.file))
		if err == nil {
			t.Errorf("%s: accepted", test.name)
			continue
		}
		fmt.Fprintf(&text, "%s: %s\n", test.name, err)
	}
	_, err := runner.Load("absent-folder/rollout.toml")
	fmt.Fprintf(&text, "absent file: %s\n", err)
	recorded.Compare(t, "bad-rollout-files.txt", text.String())
}

// stateWithEveryKey is a state in which every key of the file is present. Its plan is the recorded rollout file.
func stateWithEveryKey(phase rollout.Phase) *rollout.State {
	moving := rollout.VersionOld
	if phase == rollout.PhaseRunning { // a transition that has not ended is begun again
		moving = rollout.VersionNew
	}
	return &rollout.State{
		Plan:  "bcf17788baabae24",
		Phase: phase,
		Stage: 1,
		Controllers: []rollout.Controller{
			{Name: "n0", Version: rollout.VersionNew, TransitionTo: moving, FailedTransitions: 2},
			{Name: "n1", Version: rollout.VersionOld, TransitionTo: rollout.VersionNew, FailedTransitions: 1},
			{Name: "n2", Version: rollout.VersionOld},
		},
		StageStartedAt: 1_700_000_000_123,
		EvaluatedAt:    1_700_000_001_456,
		Baselines: []rollout.Counts{
			{InTime: 11, Late: 12, Rejected: 13, Failed: 14, SetupTimes: map[int64]int64{20_000: 15, 200_000: 16}},
			{InTime: 21, Late: 22, Rejected: 23, Failed: 24, SetupTimes: map[int64]int64{9000: 25, 30_000: 26}},
			{},
		},
		Incarnations: []string{"1700000000000001", "1700000000000002", ""},
		EarlierOldCalls: rollout.Counts{
			InTime: 31, Late: 32, Rejected: 33, Failed: 34, SetupTimes: map[int64]int64{1000: 35},
		},
		Reason: "the operator aborted it",
		Log:    []string{"controller n0 is new", "stopped: \"the operator\" <aborted> it & more"},
	}
}

// resumed is what a state file holds after Run resumed it, what Run logged, and how it ended.
type resumed struct {
	state []byte
	log   string
	err   error
}

// resume has Run resume a copy of the recorded state file.
func resume(ctx context.Context, tb testing.TB, file *runner.File, name string) resumed {
	tb.Helper()
	path := writeFile(tb, "state.json", recorded.Read(tb, name))
	var log bytes.Buffer
	err := runner.Run(ctx, file, path, zerolog.New(&log))
	state, readErr := os.ReadFile(path)
	if readErr != nil {
		tb.Fatal(readErr)
	}
	return resumed{state, log.String(), err}
}

// State files as an earlier program left them: they are of the plan that they were of, are read back to the same state,
// and what is written then are the same bytes. Those of rollouts that have ended change nothing; those in which a
// transition has begun begin it again, which the cancelled context ends before anything is touched.
func TestCharacterization_StateFile(t *testing.T) {
	file := load(t, recorded.Path("rollout.toml"))
	const rolledBack = "rollout: stopped and taken back: the operator aborted it"
	for _, test := range []struct {
		file      string
		phase     rollout.Phase
		cancelled bool
		err       error
		text      string
	}{
		{"state-done.json", rollout.PhaseDone, false, nil, ""},
		{"state-aborted.json", rollout.PhaseAborted, false, runner.ErrRolledBack, rolledBack},
		{"state-stuck.json", rollout.PhaseStuck, false, runner.ErrStuck, "rollout: stuck: the operator aborted it"},
		{"state-running.json", rollout.PhaseRunning, true, context.Canceled, "context canceled"},
	} {
		t.Run(test.file, func(t *testing.T) {
			want := stateWithEveryKey(test.phase)
			text, err := json.MarshalIndent(want, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			recorded.Compare(t, test.file, string(text)+"\n")
			read, err := runner.ReadState(recorded.Path(test.file))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, want) {
				t.Errorf("read as\n%+v, want\n%+v", read, want)
			}

			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.cancelled {
				cancel()
			}
			got := resume(ctx, t, file, test.file)

			if !errors.Is(got.err, test.err) || got.err != nil && got.err.Error() != test.text {
				t.Errorf("ended with %v, want %q", got.err, test.text)
			}
			if string(got.state) != recorded.Read(t, test.file) {
				t.Errorf("written as other bytes than were read:\n%s", got.state)
			}
			recorded.Compare(t, strings.TrimSuffix(test.file, ".json")+".log", got.log)
		})
	}
}

// States that are not accepted, and what is beside a state file.
func TestCharacterization_RejectedStateFiles(t *testing.T) {
	file := load(t, recorded.Path("rollout.toml"))
	done := recorded.Read(t, "state-done.json")
	var text strings.Builder
	for _, test := range []struct{ name, state string }{
		{"of another plan", strings.Replace(done, `"plan": "`, `"plan": "0`, 1)},
		{"empty", ""},
		{"cut off", done[:100]},
	} {
		err := runner.Run(context.Background(), file, writeFile(t, "state.json", test.state), zerolog.Nop())
		fmt.Fprintf(&text, "%s: %s\n", test.name, err)
	}
	_, err := runner.ReadState("absent-folder/state.json")
	fmt.Fprintf(&text, "absent: %s\n", err)
	fmt.Fprintf(&text, "abort without a state: %s\n", runner.Abort("absent-folder/state.json"))
	recorded.Compare(t, "refused-states.txt", text.String())
}

// What the program writes beside the state file.
func TestCharacterization_FilesBesideTheStateFile(t *testing.T) {
	file := load(t, recorded.Path("rollout.toml"))
	path := writeFile(t, "state.json", recorded.Read(t, "state-aborted.json"))
	if err := runner.Abort(path); err != nil {
		t.Fatal(err)
	}
	checkNames(t, filepath.Dir(path), "state.json", "state.json.abort")
	if err := runner.Run(context.Background(), file, path, zerolog.Nop()); !errors.Is(err, runner.ErrRolledBack) {
		t.Fatal(err)
	}
	checkNames(t, filepath.Dir(path), "state.json", "state.json.lock")
}

func checkNames(tb testing.TB, folder string, want ...string) {
	tb.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		tb.Fatal(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	if !reflect.DeepEqual(names, want) {
		tb.Errorf("files %q, want %q", names, want)
	}
}

// cancellingLog is a log that cancels a context when a line holds some words.
type cancellingLog struct {
	bytes.Buffer
	words  string
	cancel context.CancelFunc
}

func (l *cancellingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.words)) {
		l.cancel()
	}
	return l.Buffer.Write(line)
}

var (
	// healthAddress is a controller's address in the recorded rollout file.
	healthAddress = regexp.MustCompile(`127\.0\.0\.1:5[0-9]72`)
	// timestamps are the readings of the system's clock in a state file.
	timestamps = regexp.MustCompile(`"(since|looked_at)": [1-9][0-9]{12}`)
	// planID is the key by which a state file's plan is identified.
	planID = regexp.MustCompile(`"plan": "[0-9a-f]{16}"`)
)

// countersReply is what the controllers of a test reply to GET /counters.
const countersReply = `{"life":1700000000000007,
"counters":{"answered":90,"answered_in_time":70,"refused":5,"failed":3,"reloads":2},
"times":{"9000":60,"20000":30}}`

// startController starts the counters of a controller and returns its address.
func startController(tb testing.TB) string {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/counters" && r.Method == http.MethodGet {
			_, _ = io.WriteString(w, countersReply)
		}
	}))
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// readState returns a state file's bytes without the plan's hash and the readings of the system's clock.
func readState(tb testing.TB, path string) []byte {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return timestamps.ReplaceAll(planID.ReplaceAll(text, []byte(`"plan": "PLAN"`)), []byte(`"$1": TIME`))
}

// A stage begins to be watched: which counters of the controllers go into the state, and under which keys.
func TestCharacterization_CountersInTheState(t *testing.T) {
	text := healthAddress.ReplaceAllString(recorded.Read(t, "rollout.toml"), startController(t))
	// The context ends the wait for the next evaluation.
	text = strings.Replace(text, `look_every = "3s"`, `look_every = "10m"`, 1)
	file := load(t, writeFile(t, "rollout.toml", text))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	path := filepath.Join(t.TempDir(), "state.json")

	// The first Run writes the plan's state and ends before the first transition.
	cancelled, cancelFirst := context.WithCancel(ctx)
	cancelFirst()
	if err := runner.Run(cancelled, file, path, zerolog.Nop()); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	recorded.Compare(t, "state-begun.json", string(readState(t, path)))

	endFirstTransition(t, path)
	log := &cancellingLog{words: "stage 1 of 3", cancel: cancel}
	if err := runner.Run(ctx, file, path, zerolog.New(log)); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	recorded.Compare(t, "state-watched.json", string(readState(t, path)))
	recorded.Compare(t, "state-watched.log", log.String())
}

// endFirstTransition edits a state file as if the transition that has begun had ended.
func endFirstTransition(tb testing.TB, path string) {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	ended := strings.Replace(string(text), "\"version\": \"old\",\n   \"moving\": \"new\"", `"version": "new"`, 1)
	if err := os.WriteFile(path, []byte(ended), 0o600); err != nil {
		tb.Fatal(err)
	}
}
