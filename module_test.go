package eidertrail

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// policyFiles returns the files of the decision module, as deploy/balancer.toml lists them.
func policyFiles(tb testing.TB) []string {
	tb.Helper()
	var deploy struct {
		Policy []string `toml:"policy"`
	}
	if _, err := toml.DecodeFile(filepath.Join("deploy", "balancer.toml"), &deploy); err != nil {
		tb.Fatal(err)
	}
	return deploy.Policy
}

// Without this, an empty policy would satisfy every other check of its files.
func TestModule_LinesFitOnPaper(t *testing.T) {
	const maxWidth = 110 // of a line with tabs of four
	lines := 0
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines += bytes.Count(text, []byte("\n"))
		for i, line := range strings.Split(string(text), "\n") {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxWidth {
				t.Errorf("%s:%d is %d characters wide", name, i+1, width)
			}
		}
	}
	if lines == 0 {
		t.Error("the policy lists no line")
	}
}

// Whatever decides is in the policy: the other files of the package are its documentation and its interface.
func TestModule_PolicyListsAllDecisionFiles(t *testing.T) {
	others := []string{"actions.go", "doc.go", "events.go", "settings.go"}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(name string) bool {
		return strings.HasSuffix(name, "_test.go") || slices.Contains(others, name)
	})
	if policy := slices.Sorted(slices.Values(policyFiles(t))); !slices.Equal(policy, files) {
		t.Errorf("policy %q, decision files %q", policy, files)
	}
}
