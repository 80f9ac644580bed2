package recorded_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"
)

// sumOf is the SHA-256 of the bytes, in hex.
func sumOf(encoded ...byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

func TestDigest_Encodings(t *testing.T) {
	for _, test := range []struct {
		name string
		add  func(d *recorded.Digest)
		want []byte
	}{
		{"nothing", func(*recorded.Digest) {}, nil},
		{"a number is a zigzag varint", func(d *recorded.Digest) { d.Number(-100) }, []byte{0xc7, 0x01}},
		{"an unsigned number is a plain varint", func(d *recorded.Digest) { d.Unsigned(200) }, []byte{0xc8, 0x01}},
		{"a true flag is the number 1", func(d *recorded.Digest) { d.Flag(true) }, []byte{2}},
		{"a false flag is the number 0", func(d *recorded.Digest) { d.Flag(false) }, []byte{0}},
		{"a real is its eight bytes", func(d *recorded.Digest) { d.Real(1) }, []byte{0x3f, 0xf0, 0, 0, 0, 0, 0, 0}},
		{"a negative zero is not a zero", func(d *recorded.Digest) { d.Real(math.Copysign(0, -1)) }, []byte{
			0x80, 0, 0, 0, 0, 0, 0, 0,
		}},
		{"data begins with its length", func(d *recorded.Digest) { d.Data([]byte{7, 8}) }, []byte{4, 7, 8}},
		{"a text begins with its length", func(d *recorded.Digest) { d.Text("ab") }, []byte{4, 'a', 'b'}},
		{"an empty text is its length", func(d *recorded.Digest) { d.Text("") }, []byte{0}},
		{"values follow each other", func(d *recorded.Digest) {
			d.Text("a")
			d.Number(1)
		}, []byte{2, 'a', 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			digest := recorded.NewDigest()
			test.add(digest)
			if got, want := digest.Sum(), sumOf(test.want...); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func TestDigest_SumBetweenValuesChangesNothing(t *testing.T) {
	digest := recorded.NewDigest()
	digest.Number(1)
	digest.Sum()
	digest.Number(2)
	if got, want := digest.Sum(), sumOf(2, 4); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestSeries_NotesALineAfterEachTenth(t *testing.T) {
	series := recorded.NewSeries("case/%d-of-10", 20)
	for step, want := range []string{"", "", "case/1-of-10 2 " + sumOf(0, 2) + "\n"} {
		if got := series.Lines(); got != want {
			t.Errorf("after %d steps: %q, want %q", step, got, want)
		}
		series.Number(int64(step))
		series.Step()
	}
	if series.Steps() != 3 || series.Complete() {
		t.Errorf("%d steps, complete %v; want 3, not complete", series.Steps(), series.Complete())
	}
	for range 17 {
		series.Step()
	}
	if !series.Complete() {
		t.Error("not complete after all steps")
	}
}

func TestDigestInTenths_NamesTenthsWithTwoDigits(t *testing.T) {
	next := int64(0)
	got := recorded.DigestInTenths("case", 10, func(results *recorded.Digest) {
		results.Number(next)
		next++
	})
	var encoded []byte
	var want strings.Builder
	for tenth := 1; tenth <= 10; tenth++ {
		encoded = append(encoded, byte(2*(tenth-1)))
		fmt.Fprintf(&want, "case/%02d %d %s\n", tenth, tenth, sumOf(encoded...))
	}
	if got != want.String() {
		t.Errorf("got\n%swant\n%s", got, want.String())
	}
}

func TestPlayOne_DrawsByWeight(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	played := make([]int, 3)
	for range 1000 {
		recorded.PlayOne(random, []recorded.WeightedStep{
			{Weight: 3, Play: func() { played[0]++ }},
			{Weight: 0, Play: func() { played[1]++ }},
			{Weight: 1, Play: func() { played[2]++ }},
		})
	}
	if played[0]+played[2] != 1000 || played[1] != 0 || played[0] < 2*played[2] {
		t.Errorf("played %v of 1000 steps with weights 3, 0 and 1", played)
	}
}

// writeRecorded writes a recorded file in a directory of this test's own.
func writeRecorded(tb testing.TB, name, text string) {
	tb.Helper()
	if err := os.MkdirAll(recorded.Folder, 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(recorded.Path(name), []byte(text), 0o644); err != nil {
		tb.Fatal(err)
	}
}

func TestReadBodies(t *testing.T) {
	t.Chdir(t.TempDir())
	writeRecorded(t, "bodies.txt", "empty \nlonger 00ff10\n")
	bodies := recorded.ReadBodies(t, "bodies.txt")
	if len(bodies) != 2 || bodies[0].Name != "empty" || len(bodies[0].Bytes) != 0 ||
		bodies[1].Name != "longer" || !slices.Equal(bodies[1].Bytes, []byte{0, 0xff, 0x10}) {
		t.Errorf("got %v", bodies)
	}
}

func TestReadBodies_InvalidHexFails(t *testing.T) {
	t.Chdir(t.TempDir())
	writeRecorded(t, "bodies.txt", "odd 0\n")
	observed := &failures{TB: t}
	recorded.ReadBodies(observed, "bodies.txt")
	if len(observed.messages) == 0 {
		t.Error("half a byte passed")
	}
}
