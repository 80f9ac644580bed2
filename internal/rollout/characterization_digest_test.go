package rollout_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/rollout"
)

// checkRecorded compares got with the recorded file, or records it.
func checkRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "characterization", name)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s differs from the recorded file; now:\n%s\nrecorded:\n%s", name, got, want)
	}
}

// digest hashes values in an encoding that depends on no identifier of the program.
type digest struct {
	hash   hash.Hash
	buffer []byte
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) integer(value int64) {
	d.buffer = binary.AppendVarint(d.buffer[:0], value)
	d.hash.Write(d.buffer)
}

func (d *digest) flag(value bool) {
	if value {
		d.integer(1)
	} else {
		d.integer(0)
	}
}

func (d *digest) text(value string) {
	d.integer(int64(len(value)))
	d.hash.Write([]byte(value))
}

// float writes the bits of value; all values that are not a number are alike, as processors differ in their bits.
func (d *digest) float(value float64) {
	bits := math.Float64bits(value)
	if math.IsNaN(value) {
		bits = 0x7ff8000000000001
	}
	d.buffer = binary.BigEndian.AppendUint64(d.buffer[:0], bits)
	d.hash.Write(d.buffer)
}

func (d *digest) err(err error) {
	d.flag(err != nil)
	if err != nil {
		d.text(err.Error())
	}
}

func (d *digest) counts(counts rollout.Counts) {
	d.integer(counts.InTime)
	d.integer(counts.Late)
	d.integer(counts.Rejected)
	d.integer(counts.Failed)
	d.integer(int64(len(counts.SetupTimes)))
	for _, micros := range slices.Sorted(maps.Keys(counts.SetupTimes)) {
		d.integer(micros)
		d.integer(counts.SetupTimes[micros])
	}
}

func (d *digest) action(action rollout.Action) {
	d.flag(action.Kind == rollout.ActionTransition)
	d.integer(int64(action.Index))
	d.text(string(action.To)) // the word that the state file holds
	d.integer(action.Until)
	d.flag(action.Kind == rollout.ActionFinish)
}

// state writes all of the state, of its log the length and the last line.
func (d *digest) state(state *rollout.State) {
	d.text(state.Plan)
	d.text(string(state.Phase)) // the word that the state file holds
	d.integer(int64(state.Stage))
	d.integer(int64(len(state.Controllers)))
	for _, controller := range state.Controllers {
		d.text(controller.Name)
		d.text(string(controller.Version))
		d.text(string(controller.Moving))
		d.integer(int64(controller.FailedTransitions))
	}
	d.integer(state.StageStartedAt)
	d.integer(state.EvaluatedAt)
	d.integer(int64(len(state.Baselines)))
	for _, baseline := range state.Baselines {
		d.counts(baseline)
	}
	d.integer(int64(len(state.Incarnations)))
	for _, incarnation := range state.Incarnations {
		d.text(incarnation)
	}
	d.counts(state.EarlierOldCalls)
	d.text(state.Reason)
	d.integer(int64(len(state.Log)))
	if len(state.Log) > 0 {
		d.text(state.Log[len(state.Log)-1])
	}
}

// rolloutEnd writes the complete log of a rollout that has ended.
func (d *digest) rolloutEnd(state *rollout.State) {
	for _, line := range state.Log {
		d.text(line)
	}
}

// series is the digest of one case's steps, recorded after each tenth of them so that a difference can be located.
type series struct {
	*digest
	name        string
	done, steps int
	lines       []string
}

func newSeries(name string, steps int) *series {
	return &series{digest: newDigest(), name: name, steps: steps}
}

// step ends a step, and reports whether another follows.
func (s *series) step() bool {
	s.done++
	if s.done%(s.steps/10) == 0 {
		sum := hex.EncodeToString(s.hash.Sum(nil))
		s.lines = append(s.lines, fmt.Sprintf("%s-%02d-of-10 %d %s\n", s.name, 10*s.done/s.steps, s.done, sum))
	}
	return !s.ended()
}

// ended reports whether all steps were made.
func (s *series) ended() bool { return s.done >= s.steps }

func (s *series) check(t *testing.T) {
	t.Helper()
	checkRecorded(t, s.name+".txt", []byte(strings.Join(s.lines, "")))
}
