package jsonlines_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"unicode/utf8"
)

// compareRecorded compares a text with the recorded file of that name, or writes the file with EIDERTRAIL_UPDATE=1.
func compareRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "characterization", name)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("the recorded file: %v", err)
	}
	if string(want) != got {
		reportFirstDifference(t, path, strings.SplitAfter(string(want), "\n"), strings.SplitAfter(got, "\n"))
	}
}

// reportFirstDifference fails the test with the first line that differs.
func reportFirstDifference(t *testing.T, path string, want, got []string) {
	t.Helper()
	for i := range max(len(want), len(got)) {
		var recorded, now string
		if i < len(want) {
			recorded = want[i]
		}
		if i < len(got) {
			now = got[i]
		}
		if recorded != now {
			t.Errorf("%s, line %d:\nrecorded %q\nnow      %q", path, i+1, recorded, now)
			return
		}
	}
}

// shown is a text as the recorded files hold it: as it is where that can be read, else quoted; long ones by their
// beginning and digest.
func shown(text string) string {
	const maxShown = 400
	if len(text) > maxShown {
		return fmt.Sprintf("%s... (%d bytes, SHA-256 %x)", shown(text[:60]), len(text), sha256.Sum256([]byte(text)))
	}
	for _, r := range text {
		if r == utf8.RuneError || !strconv.IsPrint(r) {
			return strconv.Quote(text)
		}
	}
	return text
}

// journal is what happens in a scenario, in order; it is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) add(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.text, format+"\n", values...)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// take is what was written since it was last called.
func (b *lockedBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buffer.String()
	b.buffer.Reset()
	return text
}
