package quota_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	recordedDirectory = "testdata/characterization"
	messagesFile      = "messages.txt" // the encoded messages
)

// compareRecorded fails the test where the text is not that of the recorded file; with EIDERTRAIL_UPDATE=1 it
// writes the file.
func compareRecorded(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join(recordedDirectory, name)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(recordedDirectory, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(recorded), "\n"), strings.Split(text, "\n")
	for i := range max(len(want), len(got)) {
		switch {
		case i >= len(want):
			t.Fatalf("%s, line %d: got %q, the file ends before", path, i+1, got[i])
		case i >= len(got):
			t.Fatalf("%s, line %d: got nothing, want %q", path, i+1, want[i])
		case want[i] != got[i]:
			t.Fatalf("%s, line %d: got %q, want %q", path, i+1, got[i], want[i])
		}
	}
}

// recording is a running SHA-256 over numbers, words and bytes in an encoding of this test's own.
type recording struct {
	name    string
	sum     hash.Hash
	events  int
	scratch []byte
	lines   strings.Builder
}

func newRecording(name string) *recording { return &recording{name: name, sum: sha256.New()} }

func (r *recording) number(n int64) {
	r.scratch = binary.AppendVarint(r.scratch[:0], n)
	r.sum.Write(r.scratch)
}

func (r *recording) unsigned(n uint64) {
	r.scratch = binary.AppendUvarint(r.scratch[:0], n)
	r.sum.Write(r.scratch)
}

func (r *recording) data(b []byte) {
	r.number(int64(len(b)))
	r.sum.Write(b)
}

func (r *recording) text(s string) { r.data([]byte(s)) }

// event counts an input, and notes the digest after each tenth of the run.
func (r *recording) event(total int) {
	r.events++
	if r.events%(total/10) == 0 {
		fmt.Fprintf(&r.lines, "%s/%d-of-10 %d %x\n", r.name, r.events/(total/10), r.events, r.sum.Sum(nil))
	}
}

// namedBytes is a message that has a line in the recorded file.
type namedBytes struct {
	name  string
	bytes []byte
}

// recordedMessages reads the lines of messagesFile: a name and bytes in hex.
func recordedMessages(t *testing.T) []namedBytes {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(recordedDirectory, messagesFile))
	if err != nil {
		t.Fatal(err)
	}
	var all []namedBytes
	for line := range strings.Lines(string(text)) {
		label, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		b, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", messagesFile, label, err)
		}
		all = append(all, namedBytes{label, b})
	}
	return all
}
