// Package recorded compares what a characterisation test observes with a file that was recorded earlier, in
// testdata/characterization of the package under test. What is too long to be recorded is recorded as a Digest, of a
// seeded case in tenths, so that a difference shows about where it began.
//
// Run with EIDERTRAIL_UPDATE=1, the tests write the files in place of comparing; the commit has to say why they change.
package recorded

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Folder is where the recorded files are, relative to the package under test.
const Folder = "testdata/characterization"

// updateVariable is the environment variable that has the files written.
const updateVariable = "EIDERTRAIL_UPDATE"

// maxDifferences is how many lines that differ are printed.
const maxDifferences = 5

// Updating reports whether the files are to be written.
func Updating() bool { return os.Getenv(updateVariable) != "" }

// Path returns where the recorded file of that name is, relative to the package under test.
func Path(name string) string { return filepath.Join(Folder, name) }

// Compare fails the test unless got is, byte for byte, what the file of that name holds. It prints the lines that
// differ.
func Compare(tb testing.TB, name, got string) {
	tb.Helper()
	path := Path(name)
	if Updating() {
		write(tb, path, got)
		return
	}
	want := Read(tb, name)
	if got == want {
		return
	}
	gotLines, wantLines := strings.SplitAfter(got, "\n"), strings.SplitAfter(want, "\n")
	tb.Errorf("%s differs: %d lines, recorded are %d", path, len(gotLines), len(wantLines))
	differences := 0
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] == wantLines[i] {
			continue
		}
		tb.Errorf("%s:%d:\n got %q\nwant %q", path, i+1, gotLines[i], wantLines[i])
		if differences++; differences == maxDifferences {
			return
		}
	}
}

// Read returns what the file of that name holds.
func Read(tb testing.TB, name string) string {
	tb.Helper()
	text, err := os.ReadFile(Path(name))
	if err != nil {
		tb.Fatalf("the recorded file: %v", err)
	}
	return string(text)
}

func write(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		tb.Fatal(err)
	}
}
