package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"eidertrail/internal/rollout"
)

// Values of the fields that a rollout file leaves out.
const (
	defaultMinTime            = time.Minute
	defaultMaxTime            = 15 * time.Minute
	defaultMinCalls           = 500
	defaultEvaluationInterval = 2 * time.Second
	defaultConfidence         = 0.99
	defaultTolerance          = 0.01
	defaultStopTimeout        = 6 * time.Second
	defaultReadyTimeout       = 15 * time.Second
)

// idBytes is how much of the file's hash identifies its plan in a state file.
const idBytes = 8

// File is a rollout file: the controllers, how each is started, and what changes.
type File struct {
	Stages             []string      `toml:"stages"`      // counts, or percentages such as "20%"
	MinTime            time.Duration `toml:"min_time"`    // for which a stage is watched before it may be promoted
	MaxTime            time.Duration `toml:"most_time"`   // after which a stage with too few calls is rolled back
	MinCalls           int64         `toml:"min_calls"`   // of the old and of the new version
	EvaluationInterval time.Duration `toml:"look_every"`  // from one comparison to the next
	Confidence         float64       `toml:"confidence"`  // that a change which is no worse is not rolled back
	Tolerance          float64       `toml:"tolerance"`   // by which a proportion of calls may be worse
	StopTimeout        time.Duration `toml:"stop_within"` // from SIGTERM to SIGKILL
	ReadyTimeout       time.Duration `toml:"ready_in"`    // after which a start has failed
	Old                Program       `toml:"old"`
	New                Program       `toml:"new"`
	Controllers        []Controller  `toml:"controller"` // in the order of their transitions

	id string // identifies the plan in the state file
}

// Program is what a version runs.
type Program struct {
	Binary string `toml:"binary"`
}

// Controller is how one controller is run.
type Controller struct {
	Name      string   `toml:"name"`
	Args      []string `toml:"args"`       // the same for both versions
	Config    string   `toml:"config"`     // RELAY_CONFIG: the file that changes, where new_config is given
	NewConfig string   `toml:"new_config"` // what it becomes
	PIDFile   string   `toml:"pid_file"`   // written when the process is started
	Log       string   `toml:"log"`        // to which the process's output is appended
	Health    string   `toml:"health"`     // address of GET /ready and GET /counters
}

// Load reads and checks the rollout file at path. An error is one line that names the field.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	file, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := file.check(); err != nil {
		return nil, err
	}
	return file, nil
}

// decode reads a rollout file's text, and sets what it leaves out.
func decode(text []byte) (*File, error) {
	hash := sha256.Sum256(text)
	file := &File{
		MinTime:            defaultMinTime,
		MaxTime:            defaultMaxTime,
		MinCalls:           defaultMinCalls,
		EvaluationInterval: defaultEvaluationInterval,
		Confidence:         defaultConfidence,
		Tolerance:          defaultTolerance,
		StopTimeout:        defaultStopTimeout,
		ReadyTimeout:       defaultReadyTimeout,
		id:                 hex.EncodeToString(hash[:idBytes]),
	}
	meta, err := toml.Decode(string(text), file)
	if err != nil {
		return nil, fmt.Errorf("rollout: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &FileError{unknown[0].String(), "not a known field"}
	}
	return file, nil
}

// check returns an error for the first field that is invalid.
func (f *File) check() error {
	if f.Old.Binary == "" || f.New.Binary == "" {
		return &FileError{"old.binary, new.binary", "absent; they are the same where only settings change"}
	}
	for i, controller := range f.Controllers {
		if err := f.checkController(i, controller); err != nil {
			return err
		}
	}
	if f.StopTimeout <= 0 || f.ReadyTimeout <= 0 {
		return &FileError{"stop_within, ready_in", "want more than 0"}
	}
	_, err := f.Plan()
	return err
}

func (f *File) checkController(index int, controller Controller) error {
	for _, required := range []struct{ field, value string }{
		{"config", controller.Config},
		{"pid_file", controller.PIDFile},
		{"log", controller.Log},
		{"health", controller.Health},
	} {
		if required.value == "" {
			return &FileError{fmt.Sprintf("controller[%d].%s", index, required.field), "absent"}
		}
	}
	if f.sameProgram() && controller.NewConfig == "" {
		field := fmt.Sprintf("controller[%d].new_config", index)
		return &FileError{field, "absent, and old.binary is new.binary: nothing changes"}
	}
	return nil
}

// sameProgram reports whether both versions run the same program: only settings change.
func (f *File) sameProgram() bool { return f.Old.Binary == f.New.Binary }

// program is what the version runs.
func (f *File) program(version rollout.Version) Program {
	if version == rollout.VersionNew {
		return f.New
	}
	return f.Old
}

// Plan returns the plan by which the rollout is decided.
func (f *File) Plan() (rollout.Plan, error) {
	plan := rollout.Plan{
		Controllers:        make([]string, 0, len(f.Controllers)),
		Stages:             make([]int, 0, len(f.Stages)),
		MinTime:            f.MinTime.Milliseconds(),
		MaxTime:            f.MaxTime.Milliseconds(),
		MinCalls:           f.MinCalls,
		EvaluationInterval: f.EvaluationInterval.Milliseconds(),
		Confidence:         f.Confidence,
		Tolerance:          f.Tolerance,
	}
	for _, controller := range f.Controllers {
		plan.Controllers = append(plan.Controllers, controller.Name)
	}
	for _, text := range f.Stages {
		count, err := rollout.ParseStage(text, len(f.Controllers))
		if err != nil {
			return plan, fileError(err)
		}
		plan.Stages = append(plan.Stages, count)
	}
	if err := plan.Check(); err != nil {
		return plan, fileError(err)
	}
	return plan, nil
}
