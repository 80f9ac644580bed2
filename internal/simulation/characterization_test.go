package simulation_test

// The tests in this file are characterisation tests: they record what the program does today, right or wrong, so that
// renames and changes of shape can be shown to change nothing. They use the exported interface alone. Their data stand
// in testdata/characterization; a missing or different file fails the test. After a purposeful change of behaviour the
// files are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/simulation -run TestCharacterization
//
// and the commit has to say why. The digests were recorded on amd64 (GOAMD64=v1): architectures on which the compiler
// fuses a multiplication and an addition may round a last bit differently.

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/simulation"
	"eidertrail/internal/testing/recorded"
)

// scenarioNames are the scenarios of the repository.
var scenarioNames = []string{"badpools", "burst", "calm", "flapping", "fleet", "processors", "srv", "zoneloss"}

// seeds are what each scenario is run with.
var seeds = []uint64{11, 12, 13}

// TestCharacterization_Results runs every scenario with each seed. Of each result one line holds the digest of all its
// numbers, and one that of its texts: names, notes, broken rules and the names of counters with their values.
func TestCharacterization_Results(t *testing.T) {
	for _, name := range scenarioNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lines strings.Builder
			for _, seed := range seeds {
				lines.WriteString(resultLines(t, name, seed))
			}
			recorded.Compare(t, "results/"+name+".txt", lines.String())
		})
	}
}

// shorterBy is how many times as quickly a scenario's events follow each other as in its file, and its callers end.
const shorterBy = 5

// shorten makes a scenario short enough for the race detector.
func shorten(s *simulation.Scenario) {
	s.Length /= shorterBy
	for i := range s.Event {
		s.Event[i].At /= shorterBy
		s.Event[i].Duration /= shorterBy
	}
}

// resultLines runs a scenario and returns the lines that are recorded of its result.
func resultLines(t *testing.T, name string, seed uint64) string {
	t.Helper()
	scenario, err := simulation.Load(filepath.Join("scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	shorten(scenario)
	r, err := simulation.Run(scenario, seed)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s/%d/numbers %d %x\n%s/%d/texts %d %x\n", name, seed, r.Events, sha256.Sum256(encodeNumbers(r)),
		name, seed, len(r.Notes), sha256.Sum256(encodeTexts(r)))
}

// encoding is the bytes that a digest is taken of.
type encoding []byte

func (e *encoding) integers(values ...int) {
	for _, v := range values {
		*e = binary.AppendVarint(*e, int64(v))
	}
}

func (e *encoding) floats(values ...float64) {
	for _, v := range values {
		*e = binary.BigEndian.AppendUint64(*e, math.Float64bits(v))
	}
}

func (e *encoding) texts(values ...string) {
	e.integers(len(values))
	for _, v := range values {
		e.integers(len(v))
		*e = append(*e, v...)
	}
}

// encodeNumbers holds all numbers of a result, but for the counters, which go with their names.
func encodeNumbers(r *simulation.Result) []byte {
	var encoded encoding
	encoded.integers(int(r.Seed), int(r.Events), r.Calls, r.InTime, r.Late, r.Dropped, r.Lost)
	encoded.integers(r.Rejected, r.Failed, r.CallerGone, r.Requests, r.Attempts)
	encoded.floats(r.Service, r.WorstWindow, r.P50, r.P99, r.SlowStartLoad, r.SlowStartBudget)
	encoded.integers(r.SlowStartSent, r.AbandonedWaiting, r.AbandonedForwarded, r.Datagrams, r.Queries)
	encoded.floats(r.RecordLag)
	encoded.integers(r.Deaths, r.ViolationCount, len(r.Class))
	for _, c := range r.Class {
		encoded.integers(c.Calls)
		encoded.floats(c.Service)
	}
	encoded.integers(len(r.Pool))
	for _, p := range r.Pool {
		encoded.integers(p.Arrivals, p.Overflowed)
		encoded.floats(p.SlowStartLoad)
	}
	encoded.integers(len(r.Windows))
	for _, w := range r.Windows {
		encoded.integers(w.Calls, w.InTime, w.Late, w.Dropped, w.Lost)
		encoded.floats(w.OfferedWeight, w.ServedWeight)
	}
	return encoded
}

// encodeTexts holds all texts of a result, and the counters in the order of their names.
func encodeTexts(r *simulation.Result) []byte {
	var encoded encoding
	encoded.texts(r.Scenario)
	encoded.texts(r.Violations...)
	encoded.texts(r.Notes...)
	for _, c := range r.Class {
		encoded.texts(c.Name)
	}
	for _, p := range r.Pool {
		encoded.texts(p.UID)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Counters)) {
		encoded.texts(name)
		encoded.integers(int(r.Counters[name]))
	}
	return encoded
}
