// These are characterisation tests: they record what the program does today, so that a change which is to leave
// behaviour alone can be shown to do so. The recorded files are under testdata/characterization; what the program is
// given is under input there. After a change of behaviour on purpose they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./cmd/eidertrail-lab -run TestCharacterization
//
// and the commit has to say why they changed. Without that variable a missing or different file fails the test.
package main_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"
)

var (
	// build is what names the program: its revision with or without changes, or a hash.
	build = regexp.MustCompile(`\b([0-9a-f]{12}(\+changes)?|build-[0-9a-f]{12})`)
	// versionInText is where a title names it.
	versionInText = regexp.MustCompile(`version ([0-9a-f]{12}(\+changes)?|build-[0-9a-f]{12})`)
	// workers is the default that depends on the machine.
	workers = regexp.MustCompile(`runs at a time \(default [0-9]+\)`)
)

// normalize replaces what depends on the build and on the machine.
func normalize(text string) string {
	text = versionInText.ReplaceAllString(text, "version VERSION")
	return workers.ReplaceAllString(text, "runs at a time (default PROCESSORS)")
}

// laboratory is the program, in a folder of the test's own with the recorded input.
type laboratory struct{ program, folder string }

// newLaboratory builds the program.
func newLaboratory(t *testing.T) laboratory {
	t.Helper()
	l := laboratory{filepath.Join(t.TempDir(), "eidertrail-lab"), t.TempDir()}
	if out, err := exec.Command("go", "build", "-o", l.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := os.CopyFS(l.folder, os.DirFS(recorded.Path("input"))); err != nil {
		t.Fatal(err)
	}
	return l
}

// transcript runs the program to its end, and tells its exit status and what it wrote.
func (l laboratory) transcript(t *testing.T, line string) string {
	t.Helper()
	c := exec.Command(l.program, strings.Fields(line)...)
	c.Dir = l.folder
	var out, complaint bytes.Buffer
	c.Stdout, c.Stderr = &out, &complaint
	status := 0
	if err := c.Run(); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			t.Fatal(err)
		}
		status = exit.ExitCode()
	}
	text := fmt.Sprintf("$ %s\nexit status %d\n", strings.TrimSpace("eidertrail-lab "+line), status)
	if out.Len() > 0 {
		text += "standard output:\n" + out.String()
	}
	if complaint.Len() > 0 {
		text += "standard error:\n" + complaint.String()
	}
	return normalize(text) + "\n"
}

// The help, the words for what is wrong, and the commands as a user calls them, on one build of the program.
func TestCharacterization_Commands(t *testing.T) {
	l := newLaboratory(t)
	t.Run("help", func(t *testing.T) { checkHelp(t, l) })
	t.Run("refusals", func(t *testing.T) { checkRefusals(t, l) })
	t.Run("results", func(t *testing.T) {
		checkResults(t, l)
		checkFiles(t, l)
	})
	t.Run("version", func(t *testing.T) {
		const want = "$ eidertrail-lab version\nexit status 0\nstandard output:\nVERSION\n\n"
		if got := l.transcript(t, "version"); build.ReplaceAllString(got, "VERSION") != want {
			t.Errorf("%s", got)
		}
	})
}

// checkHelp compares the help of each command: its flags, with their defaults where these are not empty.
func checkHelp(t *testing.T, lab laboratory) {
	t.Helper()
	for _, command := range []string{"", "run", "sweep", "compare", "live", "version", "help"} {
		name := strings.ReplaceAll(strings.TrimSpace("eidertrail-lab "+command), " ", "-")
		recorded.Compare(t, "help-"+name+".txt", lab.transcript(t, strings.TrimSpace(command+" --help")))
	}
}

// checkRefusals compares the line for what is wrong, and the exit status.
func checkRefusals(t *testing.T, lab laboratory) {
	t.Helper()
	var text strings.Builder
	for _, line := range []string{
		"", "--colour", "nothing", "completion bash", "run", "run a b", "run --colour", "run absent.toml",
		"run small.toml --seed x", "run small.toml --seed -1",
		"run small.toml --seeds 1-2", "run small.toml --set rate", "run small.toml --set length=1s,2s",
		"run small.toml --set callers.rat=1",
		"run small.toml --set callers.rate=-1", "run small.toml --set pool.7.agents=1",
		"run small.toml --out small.toml", "run small.toml --set",
		"sweep", "sweep --colour", "sweep small.toml", "sweep small.toml --seeds 3-1 --out refused",
		"sweep small.toml --seed 1", "sweep absent.toml --out refused",
		"sweep small.toml --workers many --out refused",
		"compare", "compare a b c", "compare --colour", "compare small.toml",
		"compare absent.toml --other callers.rate=1", "compare small.toml absent.toml",
		"compare small.toml --other callers.rate=1,2",
		"compare small.toml --set length=1s,2s --other callers.rate=1", "compare small.toml --seeds x",
		"compare small.toml --with absent-folder/lab --seeds 1",
		"live", "live --colour", "live absent.toml", "live fleet.toml --set length=1s",
		"live small.toml --daemon absent-folder/daemon", "version nothing",
	} {
		text.WriteString(lab.transcript(t, line))
	}
	recorded.Compare(t, "refusals.txt", text.String())
}

// checkResults compares what the commands write on the screen.
func checkResults(t *testing.T, lab laboratory) {
	t.Helper()
	var text strings.Builder
	for _, line := range []string{
		"run small.toml", "run small.toml --seed 2 --set length=2s", "run small.toml --json", "run small.toml --out r",
		"sweep small.toml --set length=1s,2s --seeds 1-2 --out s",
		"sweep small.toml --set length=1s,2s --seeds 1-3 --out s --workers 1",
		"sweep small.toml --set length=1s --out s",
		"compare small.toml --other pool.0.agents=10 --seeds 1-3",
		"compare small.toml small.toml --set length=2s --other callers.rate=10 --seeds 1,3",
		"compare small.toml --with " + lab.program + " --seeds 1", "compare small.toml --other callers.rate=10 --out c",
	} {
		text.WriteString(strings.ReplaceAll(lab.transcript(t, line), lab.program, "PROGRAM"))
	}
	recorded.Compare(t, "results.txt", text.String())
}

// checkFiles compares the files that the commands of checkResults wrote.
func checkFiles(t *testing.T, lab laboratory) {
	t.Helper()
	for _, folder := range []string{"r", "s", "c"} {
		entries, err := os.ReadDir(filepath.Join(lab.folder, folder))
		if err != nil {
			t.Fatal(err)
		}
		var names strings.Builder
		for _, e := range entries {
			fmt.Fprintln(&names, e.Name())
		}
		recorded.Compare(t, "files-of-"+folder+".txt", names.String())
	}
	for _, name := range []string{
		"r/small.csv", "r/small.md", "s/summary.csv", "s/summary.md", "c/compare.csv", "c/compare.md",
	} {
		text, err := os.ReadFile(filepath.Join(lab.folder, name))
		if err != nil {
			t.Fatal(err)
		}
		recorded.Compare(t, strings.ReplaceAll(name, "/", "-"), normalize(string(text)))
	}
}
