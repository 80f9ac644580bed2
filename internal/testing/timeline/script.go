// Package timeline describes hard cases of a fleet as text: a script of what happens to it (start, kill, cut, heal
// ...), and a picture of what each node then reports, with a column of times and one column a node. A file holds both,
// and reads as documentation; a test runs the script in virtual time and compares the picture byte for byte. With
// -update the pictures are written anew.
//
// A script has a step a line: when, what, and to whom or how, as in
//
//	2s   kill 1
//	2.5s cut 0>2
//	9s   heal
//
// The package knows no verbs: the test that runs a script does.
package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// minFields are those of a step: its time and its verb.
const minFields = 2

// Step is a line of a script.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
}

// String is the step without its time.
func (s Step) String() string { return strings.Join(append([]string{s.Verb}, s.Args...), " ") }

// ScriptError is the error of an invalid line of a script.
type ScriptError struct {
	Line int
	Want string
}

// Error implements error.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("timeline: line %d: want %s", e.Line, e.Want)
}

// Parse reads a script; empty lines and lines that begin with # are ignored.
func Parse(script string) ([]Step, error) {
	var steps []Step
	for i, line := range strings.Split(script, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) < minFields {
			return nil, &ScriptError{i + 1, "a time and what happens"}
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil || at < 0 {
			return nil, &ScriptError{i + 1, "a time such as 2.5s"}
		}
		if len(steps) > 0 && at < steps[len(steps)-1].At {
			return nil, &ScriptError{i + 1, "a time no earlier than that before"}
		}
		steps = append(steps, Step{at, fields[1], fields[2:]})
	}
	return steps, nil
}

// Cuts are the ways from one node to another that are cut.
type Cuts map[[2]int]bool

// Cut cuts a way as a script names it, I>J, or I<>J for both directions.
func (c Cuts) Cut(way string) error {
	from, to, both := strings.Cut(way, "<>")
	if !both {
		from, to, _ = strings.Cut(way, ">")
	}
	i, err := strconv.Atoi(from)
	j, errTo := strconv.Atoi(to)
	if err != nil || errTo != nil {
		return fmt.Errorf("timeline: %q: want I>J or I<>J", way)
	}
	c[[2]int{i, j}] = true
	if both {
		c[[2]int{j, i}] = true
	}
	return nil
}
