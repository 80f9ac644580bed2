// Package lab runs experiments on the simulator, and on the daemon beside it: single runs, sweeps over parameters
// and seeds that go on where they were interrupted, and comparisons of two builds or two settings. What comes out
// are tables (CSV, Markdown) and charts (SVG), each with the seed and the version that made it.
package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"eidertrail/internal/simulation"
)

// ErrLab tells of an experiment that makes no sense.
var ErrLab = errors.New("lab")

// Version is the build's: its revision, and whether the tree had changes; else a hash of the program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				dirty = "+changes"
			}
		}
	}
	if rev != "" {
		return rev + dirty
	}
	// A build that was told nothing of its source is known by what it is.
	path, err := os.Executable()
	if err != nil {
		return "unknown"
	}
	program, err := os.ReadFile(path)
	if err != nil {
		return "unknown"
	}
	sum := sha256.Sum256(program)
	return "build-" + hex.EncodeToString(sum[:6])
}

// Set is a field of a scenario and the value that it gets, as in callers.rate=90 or pool.0.agents=40.
type Set struct{ Field, Value string }

// ParseSets reads FIELD=V1,V2,...: every value is one choice.
func ParseSets(texts []string) ([][]Set, error) {
	var out [][]Set
	for _, t := range texts {
		field, values, is := strings.Cut(t, "=")
		if !is || field == "" || values == "" {
			return nil, fmt.Errorf("%w: --set %q: want FIELD=VALUE,...", ErrLab, t)
		}
		var choices []Set
		for _, v := range strings.Split(values, ",") {
			choices = append(choices, Set{field, v})
		}
		out = append(out, choices)
	}
	return out, nil
}

// Grid is every combination of the choices, the last changing fastest.
func Grid(choices [][]Set) [][]Set {
	grid := [][]Set{nil}
	for _, c := range choices {
		var next [][]Set
		for _, g := range grid {
			for _, s := range c {
				next = append(next, append(append([]Set(nil), g...), s))
			}
		}
		grid = next
	}
	return grid
}

// ParseSeeds reads seeds such as 1-5,9.
func ParseSeeds(text string) ([]uint64, error) {
	var out []uint64
	for _, part := range strings.Split(text, ",") {
		from, to, is := strings.Cut(part, "-")
		a, err := strconv.ParseUint(strings.TrimSpace(from), 10, 64)
		b := a
		if err == nil && is {
			b, err = strconv.ParseUint(strings.TrimSpace(to), 10, 64)
		}
		if err != nil || b < a || b-a > 10_000 {
			return nil, fmt.Errorf("%w: --seeds %q: want such as 1-5,9", ErrLab, text)
		}
		for s := a; s <= b; s++ {
			out = append(out, s)
		}
	}
	return out, nil
}

// Variant is a scenario with some fields set.
type Variant struct {
	*simulation.Scenario
	Sets []Set
	ID   string // tells its text from another
}

// Load reads the scenario at path and sets the fields.
func Load(path string, sets []Set) (*Variant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	if len(sets) > 0 {
		tree := map[string]any{}
		if _, err := toml.Decode(string(text), &tree); err != nil {
			return nil, fmt.Errorf("%w: %s: %s", ErrLab, path, strings.ReplaceAll(err.Error(), "\n", " "))
		}
		for _, s := range sets {
			if err := set(tree, strings.Split(s.Field, "."), s.Value); err != nil {
				return nil, fmt.Errorf("%w: --set %s=%s: %w", ErrLab, s.Field, s.Value, err)
			}
		}
		var b strings.Builder
		if err := toml.NewEncoder(&b).Encode(tree); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLab, err)
		}
		text = []byte(b.String())
	}
	s, err := simulation.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	sum := sha256.Sum256(text)
	return &Variant{s, sets, hex.EncodeToString(sum[:6])}, nil
}

// set puts a value at a path of a decoded file, with the type that the scenario has there: a number where it reads
// as one, true or false, else a text.
func set(tree any, path []string, value string) error {
	switch at := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			at[path[0]] = typed(value, at[path[0]])
			return nil
		}
		if at[path[0]] == nil {
			at[path[0]] = map[string]any{}
		}
		return set(at[path[0]], path[1:], value)
	case []map[string]any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(at) || len(path) < 2 {
			return fmt.Errorf("want the number of one of the %d sections, and a field of it", len(at))
		}
		return set(at[i], path[1:], value)
	}
	return fmt.Errorf("there is no %s", strings.Join(path, "."))
}

func typed(value string, was any) any {
	if f, err := strconv.ParseFloat(value, 64); err == nil {
		if _, isFloat := was.(float64); !isFloat && f == float64(int64(f)) && !strings.Contains(value, ".") {
			return int64(f)
		}
		return f
	}
	if b, err := strconv.ParseBool(value); err == nil {
		return b
	}
	return value
}
