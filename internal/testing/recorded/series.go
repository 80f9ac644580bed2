package recorded

import (
	"fmt"
	"strings"
)

// tenths is how many digests of a series are recorded.
const tenths = 10

// Series is the digest of the steps of one seeded case. It notes a line after each tenth of the steps, so that a
// difference shows about where it began.
type Series struct {
	*Digest

	label       string
	total, done int
	lines       strings.Builder
}

// NewSeries returns the series of a case of so many steps, a multiple of 10. The label is the format of the name that a
// line begins with; its one verb takes the number of the tenth, from 1 on.
func NewSeries(label string, steps int) *Series {
	return &Series{Digest: NewDigest(), label: label, total: steps}
}

// Step ends a step. After the last of a tenth it notes a line: the label, the steps done and the digest until then.
func (s *Series) Step() {
	s.done++
	if each := s.total / tenths; s.done%each == 0 {
		fmt.Fprintf(&s.lines, s.label+" %d %s\n", s.done/each, s.done, s.Sum())
	}
}

// Steps returns how many steps were done.
func (s *Series) Steps() int { return s.done }

// Complete reports whether all steps were done.
func (s *Series) Complete() bool { return s.done >= s.total }

// Lines returns the lines noted so far.
func (s *Series) Lines() string { return s.lines.String() }

// DigestInTenths plays a case of so many steps, a multiple of 10, and returns its line for each tenth: the name and the
// tenth, the steps played until then, and the digest of all results until then.
func DigestInTenths(name string, steps int, play func(results *Digest)) string {
	series := NewSeries(name+"/%02d", steps)
	for range steps {
		play(series.Digest)
		series.Step()
	}
	return series.Lines()
}
