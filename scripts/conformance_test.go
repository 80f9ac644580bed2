package scripts

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// testName is the name of a test, as the register and the source have it.
var testName = regexp.MustCompile(`\bTest[A-Z]\w*`)

// The register of duties names the test that fails without a duty: one that was renamed or dropped must not stay there.
func TestConformance_NamesTestsThatExist(t *testing.T) {
	register, err := os.ReadFile(filepath.Join("..", "docs", "conformance.md"))
	if err != nil {
		t.Fatal(err)
	}
	var source strings.Builder
	err = filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		source.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	named := testName.FindAllString(string(register), -1)
	if len(named) == 0 {
		t.Fatal("the register names no test")
	}
	for _, name := range named {
		if !strings.Contains(source.String(), "func "+name+"(") {
			t.Errorf("no test %s", name)
		}
	}
}

// Each duty of the register says whether it is held, and a held one names what shows it.
func TestConformance_EachDutyHasAState(t *testing.T) {
	register, err := os.ReadFile(filepath.Join("..", "docs", "conformance.md"))
	if err != nil {
		t.Fatal(err)
	}
	const columns = 5
	duties := 0
	for line := range strings.Lines(string(register)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| duty") || strings.HasPrefix(line, "| ---") {
			continue
		}
		duties++
		if len(cells) != columns {
			t.Errorf("%d columns: %s", len(cells), line)
			continue
		}
		state := strings.Trim(strings.TrimSpace(cells[4]), "*")
		known := strings.HasPrefix(state, "held") || strings.HasPrefix(state, "not held") ||
			strings.HasPrefix(state, "open question")
		if !known {
			t.Errorf("state %q: %s", state, line)
		}
		if state == "held" && strings.TrimSpace(cells[3]) == "none" {
			t.Errorf("held by no test: %s", line)
		}
	}
	if duties == 0 {
		t.Fatal("the register has no duty")
	}
}
