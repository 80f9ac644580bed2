package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/tidwall/gjson"

	"eidertrail/internal/rollout"
)

// File is a rollout's file: the controllers, how each is started, and what changes.
type File struct {
	Stages             []string      `toml:"stages"`      // counts, or shares such as "20%"
	MinTime            time.Duration `toml:"min_time"`    // that a stage is watched at the least
	MaxTime            time.Duration `toml:"most_time"`   // after which one with too few calls is given up
	MinCalls           int64         `toml:"min_calls"`   // of the old and of the new
	EvaluationInterval time.Duration `toml:"look_every"`  // from one comparison to the next
	Confidence         float64       `toml:"confidence"`  // that a change which is no worse is not stopped
	Tolerance          float64       `toml:"tolerance"`   // by which a share may be worse
	StopTimeout        time.Duration `toml:"stop_within"` // after SIGTERM, before SIGKILL
	ReadyTimeout       time.Duration `toml:"ready_in"`    // a start that takes longer has failed
	Old                Program       `toml:"old"`
	New                Program       `toml:"new"`
	Controller         []Controller  `toml:"controller"`

	id string // of the text
}

// Program is what a version runs.
type Program struct {
	Binary string `toml:"binary"`
}

// Controller is one controller.
type Controller struct {
	Name      string   `toml:"name"`
	Args      []string `toml:"args"`       // the same for both versions
	Config    string   `toml:"config"`     // RELAY_CONFIG: the file that changes, where new_config is given
	NewConfig string   `toml:"new_config"` // what it becomes
	PIDFile   string   `toml:"pid_file"`   // the process's number; written by its start
	Log       string   `toml:"log"`        // what it writes is appended here
	Health    string   `toml:"health"`     // address of GET /ready and /counters
}

// Load reads the file at path. An error is one line that names the field.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	f := &File{
		MinTime: time.Minute, MaxTime: 15 * time.Minute, MinCalls: 500, EvaluationInterval: 2 * time.Second, Confidence: 0.99,
		Tolerance: 0.01, StopTimeout: 6 * time.Second, ReadyTimeout: 15 * time.Second,
	}
	meta, err := toml.Decode(string(text), f)
	if err != nil {
		return nil, fmt.Errorf("rollout: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fmt.Errorf("rollout: %s: not a known field", left[0])
	}
	sum := sha256.Sum256(text)
	f.id = hex.EncodeToString(sum[:8])
	if f.Old.Binary == "" || f.New.Binary == "" {
		return nil, fmt.Errorf("rollout: old.binary, new.binary: absent; they are the same where only settings change")
	}
	for i, c := range f.Controller {
		for field, v := range map[string]string{"config": c.Config, "pid_file": c.PIDFile, "log": c.Log, "health": c.Health} {
			if v == "" {
				return nil, fmt.Errorf("rollout: controller[%d].%s: absent", i, field)
			}
		}
		if f.Old.Binary == f.New.Binary && c.NewConfig == "" {
			return nil, fmt.Errorf("rollout: controller[%d].new_config: absent, and old.binary is new.binary: nothing changes", i)
		}
	}
	if f.StopTimeout <= 0 || f.ReadyTimeout <= 0 {
		return nil, fmt.Errorf("rollout: stop_within, ready_in: want more than 0")
	}
	if _, err := f.Plan(); err != nil {
		return nil, err
	}
	return f, nil
}

// Plan is what the stages are decided by.
func (f *File) Plan() (rollout.Plan, error) {
	p := rollout.Plan{
		MinTime: f.MinTime.Milliseconds(), MaxTime: f.MaxTime.Milliseconds(), MinCalls: f.MinCalls,
		EvaluationInterval: f.EvaluationInterval.Milliseconds(), Confidence: f.Confidence, Tolerance: f.Tolerance,
	}
	for _, c := range f.Controller {
		p.Controllers = append(p.Controllers, c.Name)
	}
	for _, text := range f.Stages {
		n, err := rollout.ParseStage(text, len(f.Controller))
		if err != nil {
			return p, oneLine(err)
		}
		p.Stages = append(p.Stages, n)
	}
	if err := p.Check(); err != nil {
		return p, oneLine(err)
	}
	return p, nil
}

func oneLine(err error) error {
	return fmt.Errorf("rollout: %s", strings.TrimPrefix(err.Error(), "rollout: bad plan: "))
}

// Restarts tells whether the move of a controller restarts it, and why: a new program, or a field of the
// configuration that a running one does not take over at SIGHUP.
func (f *File) Restarts(c Controller) (bool, string, error) {
	if f.Old.Binary != f.New.Binary {
		return true, "another program", nil
	}
	old, err := os.ReadFile(kept(c))
	if err != nil {
		return false, "", fmt.Errorf("rollout: controller %s: config: %w", c.Name, err)
	}
	new, err := os.ReadFile(c.NewConfig)
	if err != nil {
		return false, "", fmt.Errorf("rollout: controller %s: new_config: %w", c.Name, err)
	}
	if !gjson.ValidBytes(old) || !gjson.ValidBytes(new) {
		return true, "one of the configurations is not valid JSON", nil
	}
	var fields []string
	differ := func(path string, a, b gjson.Result) {
		if a.Raw != b.Raw {
			fields = append(fields, path)
		}
	}
	a, b := gjson.ParseBytes(old), gjson.ParseBytes(new)
	names := map[string]bool{}
	for _, r := range []gjson.Result{a, b} {
		r.ForEach(func(k, _ gjson.Result) bool { names[k.Str] = true; return true })
	}
	for name := range names {
		switch name {
		case "bulletin", "known": // taken over at SIGHUP
		case "limits": // of it, memory_mb is
			for _, l := range []string{"limits.cores", "limits.sockets"} {
				differ(l, a.Get(l), b.Get(l))
			}
		default:
			differ(name, a.Get(name), b.Get(name))
		}
	}
	if len(fields) > 0 {
		return true, strings.Join(fields, ", ") + " changes only at a restart", nil
	}
	return false, "all that changes is taken over at SIGHUP", nil
}

// kept is where the old configuration of a controller is: beside the file once that has been changed.
func kept(c Controller) string {
	if _, err := os.Stat(c.Config + keptSuffix); err == nil {
		return c.Config + keptSuffix
	}
	return c.Config
}

const keptSuffix = ".before-rollout"

// replace writes a file whole or not at all, and has it on disk when it returns.
func replace(path string, text []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	if _, err = tmp.Write(text); err == nil {
		err = tmp.Sync()
	}
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	return err
}
