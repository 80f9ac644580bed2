package telemetry

import (
	"fmt"
	"sync/atomic"
)

// Outcome is how a set-up ended, as its caller saw it. A set-up whose caller had left has none.
type Outcome int

// The outcomes.
const (
	OutcomeAnswered Outcome = iota // the call was established
	OutcomeDeferred                // rejected: a retry is harmless
	OutcomeErrored                 // failed otherwise
	outcomeCount
)

// String returns the outcome's name in the operators' figures.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeDeferred:
		return "deferred"
	case OutcomeErrored:
		return "errored"
	case outcomeCount:
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// Outcomes are the outcomes in the order in which they are shown.
func Outcomes() []Outcome { return []Outcome{OutcomeAnswered, OutcomeDeferred, OutcomeErrored} }

// classOutcomes counts the set-ups of one class by their outcomes.
type classOutcomes struct {
	class  string
	counts [outcomeCount]atomic.Int64
}

// SetClasses names the classes whose outcomes are counted, by index. Call it before anything is counted.
func (s *Counters) SetClasses(names []string) {
	s.classes = make([]classOutcomes, len(names))
	for i, name := range names {
		s.classes[i].class = name
	}
}

// AddOutcome counts how a set-up of a class ended. A class that SetClasses did not name counts nothing.
func (s *Counters) AddOutcome(class int, outcome Outcome) {
	if s != nil && class < len(s.classes) {
		s.classes[class].counts[outcome].Add(1)
	}
}

// ClassOutcome is a reading of how many set-ups of a class had an outcome.
type ClassOutcome struct {
	Class   string
	Outcome Outcome
	Count   int64
}

// ClassOutcomes reads the outcomes of each class, in the order of the classes.
func (s *Counters) ClassOutcomes() []ClassOutcome {
	readings := make([]ClassOutcome, 0, len(s.classes)*int(outcomeCount))
	for i := range s.classes {
		for _, outcome := range Outcomes() {
			readings = append(readings, ClassOutcome{
				Class:   s.classes[i].class,
				Outcome: outcome,
				Count:   s.classes[i].counts[outcome].Load(),
			})
		}
	}
	return readings
}
