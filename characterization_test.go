package eidertrail_test

// The tests in the files characterization_*.go are characterisation tests: they record what the
// program does today, right or wrong, so that renames and changes of shape can be shown to change nothing. They use
// the exported interface alone. Their data stand in testdata/characterization; a missing or different file fails the
// test. After a purposeful change of behaviour the files are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test . -run TestCharacterization
//
// and the commit has to say why. The digests were recorded on amd64 (GOAMD64=v1): architectures on which the compiler
// fuses a multiplication and an addition may round a last bit differently.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// eventsPerCase is how many events each case reports to its controller; a digest is recorded after each tenth of them.
const eventsPerCase = 16_000

// TestCharacterization_Actions drives a controller through a seeded feedback host in every deployment and compares the
// digests of all its actions.
func TestCharacterization_Actions(t *testing.T) {
	for number, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			var recorded strings.Builder
			h := newHost(t, d, uint64(number)+1)
			for part := 1; part <= 10; part++ {
				h.run(eventsPerCase * part / 10)
				fmt.Fprintf(&recorded, "%s/%02d %d %x\n", d.name, part, h.events, h.digest.Sum(nil))
			}
			t.Logf("%d events, %d batches, %.0f s; %s", h.events, h.batches, (h.now - clockStart).Seconds(), h.counts)
			compareRecorded(t, "actions/"+d.name+".txt", recorded.String())
		})
	}
}

// compareRecorded compares text with the recorded file, or writes the file when EIDERTRAIL_UPDATE is set.
func compareRecorded(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", "characterization", name)
	if os.Getenv("EIDERTRAIL_UPDATE") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(file), "\n"), strings.Split(text, "\n")
	if len(want) != len(got) {
		t.Errorf("%s: %d lines, recorded are %d", name, len(got), len(want))
	}
	differences := 0
	for i := range min(len(want), len(got)) {
		if want[i] != got[i] {
			if differences++; differences <= 5 {
				t.Errorf("%s:%d:\n got %s\nwant %s", name, i+1, got[i], want[i])
			}
		}
	}
	if differences > 5 {
		t.Errorf("%s: %d lines differ in all", name, differences)
	}
}
