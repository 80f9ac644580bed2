package timeline

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

//nolint:gochecknoglobals // a flag of test programs has to be defined before they parse their command line
var update = flag.Bool("update", false, "draw the timelines' pictures anew")

// Run runs every file that matches glob as a test of its own. Each is a txtar archive with the files script and
// picture; the text before them says what it shows.
func Run(t *testing.T, glob string, play func(t *testing.T, steps []Step) string) {
	t.Helper()
	files, err := filepath.Glob(glob)
	if err != nil || len(files) == 0 {
		t.Fatalf("no timelines in %s, %v", glob, err)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) { runFile(t, path, play) })
	}
}

// runFile runs the script of a file and compares the picture, or writes it with -update.
func runFile(t *testing.T, path string, play func(t *testing.T, steps []Step) string) {
	t.Helper()
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	steps, err := Parse(string(fileOf(t, path, archive, "script").Data))
	if err != nil {
		t.Fatal(err)
	}
	got, want := []byte(play(t, steps)), fileOf(t, path, archive, "picture")
	if bytes.Equal(got, want.Data) {
		return
	}
	if *update {
		want.Data = got
		if err := os.WriteFile(path, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Errorf("drawn now:\n%s\nin %s:\n%s", got, path, want.Data)
}

// fileOf returns a file of an archive.
func fileOf(t *testing.T, path string, archive *txtar.Archive, name string) *txtar.File {
	t.Helper()
	for i := range archive.Files {
		if archive.Files[i].Name == name {
			return &archive.Files[i]
		}
	}
	t.Fatalf("%s has no file %s", path, name)
	return nil
}
