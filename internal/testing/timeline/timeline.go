// Package timeline tells hard cases of a fleet as text: a script of what happens to it (start, kill, cut, heal ...), and
// a picture of what each node then says, with a column of times and one column a node. A file holds both, and reads as
// documentation; a test plays the script in virtual time and compares the picture to the letter. With -update the
// pictures are drawn anew.
//
// A script has a step a line: when, what, and to whom or how, as in
//
//	2s   kill 1
//	2.5s cut 0>2
//	9s   heal
//
// The package knows no verbs: whoever plays a script does.
package timeline

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "draw the timelines' pictures anew")

// Step is a line of a script.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
}

func (s Step) String() string { return strings.Join(append([]string{s.Verb}, s.Args...), " ") }

// Event is what a node says or what happens to it. Node -1 stands for all.
type Event struct {
	At   int64 // µs
	Node int
	Text string
}

// ScriptError tells of a line of a script that makes no sense.
type ScriptError struct {
	Line int
	Want string
}

func (e *ScriptError) Error() string {
	return fmt.Sprintf("timeline: line %d: want %s", e.Line, e.Want)
}

// Parse reads a script; empty lines and lines that begin with # are passed over.
func Parse(script string) ([]Step, error) {
	var steps []Step
	for n, line := range strings.Split(script, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if len(f) < 2 {
			return nil, &ScriptError{n + 1, "a time and what happens"}
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || at < 0 {
			return nil, &ScriptError{n + 1, "a time such as 2.5s"}
		}
		if len(steps) > 0 && at < steps[len(steps)-1].At {
			return nil, &ScriptError{n + 1, "a time no earlier than that before"}
		}
		steps = append(steps, Step{at, f[1], f[2:]})
	}
	return steps, nil
}

// Draw draws events, in the order of their time, with what comes within the same step of µs in one row.
func Draw(nodes []string, step int64, events []Event) string {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(min(1, max(-1, a.At/step-b.At/step))) })
	width := make([]int, len(nodes))
	for i, n := range nodes {
		width[i] = utf8.RuneCountInString(n)
	}
	for _, e := range events {
		if e.Node >= 0 {
			width[e.Node] = max(width[e.Node], utf8.RuneCountInString(e.Text))
		}
	}
	var b strings.Builder
	row := func(first string, cells []string) {
		line := fmt.Sprintf("%8s", first)
		for i, c := range cells {
			line += fmt.Sprintf("  %-*s", width[i], c)
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	row("", nodes)
	last := int64(-1)
	when := func(e Event) string {
		if e.At/step == last {
			return ""
		}
		last = e.At / step
		return fmt.Sprintf("%.1f s", float64(e.At/step*step)/1e6)
	}
	for len(events) > 0 {
		e := events[0]
		if e.Node < 0 {
			fmt.Fprintf(&b, "%8s  ---- %s ----\n", when(e), e.Text)
			events = events[1:]
			continue
		}
		cells := make([]string, len(nodes))
		rest := events[:0:0]
		at := e.At / step
		for _, o := range events {
			if o.Node >= 0 && o.At/step == at && cells[o.Node] == "" && !slices.ContainsFunc(rest, func(r Event) bool { return r.Node == o.Node || r.Node < 0 }) {
				cells[o.Node] = o.Text
			} else {
				rest = append(rest, o)
			}
		}
		row(when(e), cells)
		events = rest
	}
	return b.String()
}

// Cuts are the ways that are cut, from one node to another.
type Cuts map[[2]int]bool

// Cut cuts a way as a script names it, I>J, or I<>J for both.
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

// Run plays every file that matches glob as a test of its own. Each is a txtar archive with the files script and
// picture; what stands before them says what it shows.
func Run(t *testing.T, glob string, play func(t *testing.T, steps []Step) string) {
	files, err := filepath.Glob(glob)
	if err != nil || len(files) == 0 {
		t.Fatalf("no timelines in %s, %v", glob, err)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			file := func(name string) *txtar.File {
				for i := range a.Files {
					if a.Files[i].Name == name {
						return &a.Files[i]
					}
				}
				t.Fatalf("%s has no file %s", path, name)
				return nil
			}
			steps, err := Parse(string(file("script").Data))
			if err != nil {
				t.Fatal(err)
			}
			got, want := []byte(play(t, steps)), file("picture")
			if bytes.Equal(got, want.Data) {
				return
			}
			if *update {
				want.Data = got
				if err := os.WriteFile(path, txtar.Format(a), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			t.Errorf("drawn now:\n%s\nin %s:\n%s", got, path, want.Data)
		})
	}
}
