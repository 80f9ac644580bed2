// Package experiment runs experiments on the simulator, and on the daemon beside it: single runs, sweeps over
// parameters and seeds that continue where they were interrupted, and comparisons of two builds or two settings. The
// results are tables (CSV, Markdown) and charts (SVG), each with its seed and the version of the program.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"eidertrail/internal/simulation"
)

// ErrLab is the error of an invalid or failed experiment.
var ErrLab = errors.New("lab")

// Variant is a scenario with some fields set.
type Variant struct {
	*simulation.Scenario
	Sets []Set
	ID   string // identifies its text
}

// Load reads the scenario at path and sets the fields.
func Load(path string, sets []Set) (*Variant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	if len(sets) > 0 {
		if text, err = applySets(path, text, sets); err != nil {
			return nil, err
		}
	}
	scenario, err := simulation.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Variant{Scenario: scenario, Sets: sets, ID: shortDigest(text)}, nil
}

// applySets returns the text of a scenario with the fields set.
func applySets(path string, text []byte, sets []Set) ([]byte, error) {
	tree := map[string]any{}
	if _, err := toml.Decode(string(text), &tree); err != nil {
		return nil, fmt.Errorf("%w: %s: %s", ErrLab, path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for _, set := range sets {
		if err := setField(tree, strings.Split(set.Field, "."), set.Value); err != nil {
			return nil, fmt.Errorf("%w: --set %s=%s: %w", ErrLab, set.Field, set.Value, err)
		}
	}
	var encoded strings.Builder
	if err := toml.NewEncoder(&encoded).Encode(tree); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	return []byte(encoded.String()), nil
}

// setField sets the value at a path of a decoded file.
func setField(tree any, path []string, value string) error {
	switch node := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			node[path[0]] = parseValue(value, node[path[0]])
			return nil
		}
		if node[path[0]] == nil {
			node[path[0]] = map[string]any{}
		}
		return setField(node[path[0]], path[1:], value)
	case []map[string]any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) || len(path) < 2 {
			return fmt.Errorf("want the number of one of the %d sections, and a field of it", len(node))
		}
		return setField(node[i], path[1:], value)
	}
	return fmt.Errorf("there is no %s", strings.Join(path, "."))
}

// parseValue gives a value the type that the scenario has there: a number where it reads as one, true or false, else a
// text. An integer stays a float where the old value is one, as TOML tells them apart.
func parseValue(text string, old any) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		_, wasFloat := old.(float64)
		if !wasFloat && number == float64(int64(number)) && !strings.Contains(text, ".") {
			return int64(number)
		}
		return number
	}
	if boolean, err := strconv.ParseBool(text); err == nil {
		return boolean
	}
	return text
}
