package simulation

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// ErrScenario is the error of an invalid scenario; the message names the line and the field.
var ErrScenario = errors.New("scenario")

// Load reads the scenario file at path.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return Parse(string(text))
}

// Parse reads the text of a scenario.
func Parse(text string) (*Scenario, error) {
	parsed := defaultScenario()
	parsed.text = text
	meta, err := toml.Decode(text, parsed)
	if err != nil {
		return nil, syntaxError(err)
	}
	unknown := slices.DeleteFunc(meta.Undecoded(), func(k toml.Key) bool { return k[0] == "routing" })
	if len(unknown) > 0 {
		return nil, parsed.fieldError(unknown[0].String(), 0, "not a known field")
	}
	if parsed.Routing != nil {
		var encoded strings.Builder
		if err := toml.NewEncoder(&encoded).Encode(parsed.Routing); err != nil {
			return nil, parsed.fieldError("routing", 0, err.Error())
		}
		parsed.routing = encoded.String()
	}
	if err := parsed.check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// defaultScenario has the values of fields that a file leaves out.
//
//nolint:mnd // a table of default values
func defaultScenario() *Scenario {
	return &Scenario{
		Length:      time.Minute,
		Controllers: 1,
		Settings: Settings{
			ReleaseWait:       300 * time.Millisecond,
			SlowStartWindow:   10 * time.Second,
			SlowStartCapacity: 0.3,
			OverloadMultiple:  3,
			OverloadWindow:    1500 * time.Millisecond,
			MaxAttempts:       4,
			DrainGrace:        500 * time.Millisecond,
			Tick:              5 * time.Millisecond,
		},
		Callers: Callers{Rate: 50, AttemptFraction: 0.4, Retries: 1, Backoff: time.Second},
		Network: NetworkSettings{
			Near:         [2]Duration{milliseconds(2), milliseconds(4)},
			Far:          [2]Duration{milliseconds(10), milliseconds(20)},
			ListDelay:    [2]Duration{milliseconds(1000), milliseconds(1200)},
			ListSkew:     milliseconds(5),
			PeerDelay:    [2]Duration{milliseconds(2), milliseconds(10)},
			RefusalDelay: milliseconds(1),
		},
	}
}

// syntaxError is an error of the TOML decoder, on one line.
func syntaxError(err error) error {
	var at toml.ParseError
	if errors.As(err, &at) {
		message := strings.ReplaceAll(at.Message, "\n", " ")
		return fmt.Errorf("%w: line %d: %s", ErrScenario, at.Position.Line, message)
	}
	return fmt.Errorf("%w: %s", ErrScenario, strings.ReplaceAll(err.Error(), "\n", " "))
}

// fieldError is an error that names the line of a field: that of the nth section, counted from 0, where there are
// several of one name.
func (s *Scenario) fieldError(field string, nth int, problem string) error {
	line := findField(s.text, field, nth)
	if line == 0 {
		return fmt.Errorf("%w: %s: %s", ErrScenario, field, problem)
	}
	return fmt.Errorf("%w: line %d: %s: %s", ErrScenario, line, field, problem)
}

// findField returns the line of a field within the nth section of its name, that of the section's head where the field
// is left out, or 0 where the section is.
func findField(text, field string, nth int) int {
	section, key := "", field
	if i := strings.LastIndexByte(field, '.'); i >= 0 {
		section, key = field[:i], field[i+1:]
	}
	head, inSection, seen := 0, section == "", -1
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inSection = false
			if sectionName(line) == section {
				seen++
				inSection = seen == nth
			}
			if inSection {
				head = number + 1
			}
			continue
		}
		name, _, isField := strings.Cut(line, "=")
		if inSection && isField && strings.TrimSpace(name) == key {
			return number + 1
		}
	}
	return head
}

// sectionName is the name in a section's head.
func sectionName(line string) string {
	return strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
}
