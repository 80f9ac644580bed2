package liveness_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recorded is the directory of the recorded results.
const recorded = "testdata/characterization"

// compareWithRecorded compares the text of a run with the recorded file, or writes the file when EIDERTRAIL_UPDATE is
// 1.
func compareWithRecorded(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join(recorded, file)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(recorded, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i, line := range gotLines {
		wanted := strings.Join(wantLines[min(i, len(wantLines)):min(i+1, len(wantLines))], "")
		if i >= len(wantLines) || line != wanted {
			t.Fatalf("%s: first difference in line %d:\ngot  %s\nwant %s", path, i+1, line, wanted)
		}
	}
	t.Fatalf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
}

// digest hashes results in an encoding of its own: numbers.
type digest struct {
	hash    hash.Hash
	encoded []byte
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) number(n int64) { d.encoded = binary.AppendVarint(d.encoded, n) }

func (d *digest) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}

// sum is the digest of all results so far.
func (d *digest) sum() string {
	d.hash.Write(d.encoded)
	d.encoded = d.encoded[:0]
	return hex.EncodeToString(d.hash.Sum(nil))
}

// digestInTenths plays a case of so many steps and returns a line for each tenth of it: the case's name and the tenth,
// the steps played until then and the digest of all results until then.
func digestInTenths(name string, steps int, play func(d *digest)) string {
	d, lines := newDigest(), &strings.Builder{}
	for i := 1; i <= steps; i++ {
		play(d)
		if i%(steps/10) == 0 {
			fmt.Fprintf(lines, "%s/%02d %d %s\n", name, i/(steps/10), i, d.sum())
		}
	}
	return lines.String()
}

// weighted is a kind of step, drawn as often as its weight says.
type weighted struct {
	weight int
	play   func()
}

// playOne plays a step drawn at random.
func playOne(random *rand.Rand, steps []weighted) {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	drawn := random.IntN(total)
	for _, s := range steps {
		if drawn -= s.weight; drawn < 0 {
			s.play()
			return
		}
	}
}
