// Package scripts holds the repository's scripts; its tests run them.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// madeUp writes a module with the packages a and b, whose tests fail or pass as their names say, but for
// TestShared: it fails in a and is in b whatever shared is there. list is KNOWN-RED.txt, "" for none.
func madeUp(t *testing.T, list, shared string) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{
		"go.mod": "module made.up/m\n\ngo 1.26\n",
		"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n\nfunc TestGoodToo(t *testing.T) {}\n\n" +
			"func TestShared(t *testing.T) { t.Fatal(\"a is broken\") }\n",
		"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestShared(t *testing.T) { " + shared + " }\n",
	}
	if list != "" {
		files["KNOWN-RED.txt"] = list
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// The check passes over what KNOWN-RED.txt lists, and over nothing else.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("known-red")
	if err != nil {
		t.Fatal(err)
	}
	const (
		red    = "made.up/m/a TestShared | a is broken | #1\n"
		good   = "made.up/m/a TestGood | it was broken | #2\n"
		passed = "known red: made.up/m/a TestGood | it was broken | #2: passed"
		failed = "known red: made.up/m/a TestShared | a is broken | #1: failed"
	)
	for _, k := range []struct {
		name, list, shared string
		passes             bool
		says               []string
		not                string // what it must not say
	}{
		{"no file", "", "", false, []string{"--- FAIL: TestShared", "ok  \tmade.up/m/b"}, "known red:"},
		{"a red test that fails", red, "", true, []string{failed, "a is broken\n", "ok  \tmade.up/m/b"}, "passed"},
		{"a red test that passes", red + good, "", true, []string{failed, passed}, ""},
		{"no line feed at the end", strings.TrimSuffix(red, "\n"), "", true, []string{failed}, ""},
		{"another's test of the same name", red, `t.Fatal("b is broken")`, false, []string{"b is broken", failed}, ""},
		{"another test that fails", good, "", false, []string{"--- FAIL: TestShared", passed}, ""},
		{"a test whose name only begins so", good + "made.up/m/a TestGoodToo | x | #3\n" + red, "", true, []string{"TestGoodToo | x | #3: passed", failed}, ""},
		{"a skip", "made.up/m/b TestShared | x | #4\n" + red, `t.Skip("later")`, true, []string{"#4: skipped"}, ""},
		{"four lines", red + good + "made.up/m/a TestGoodToo | x | #3\nmade.up/m/b TestShared | x | #4\n", "", false, []string{"KNOWN-RED.txt: line 4: at most 3"}, "--- "},
		{"no package", "TestShared | x | #1\n", "", false, []string{"line 1: the test is missing"}, "--- "},
		{"nothing before the bar", " | x | #1\n", "", false, []string{"line 1: the package is missing"}, "--- "},
		{"no cause", "made.up/m/a TestShared | | #1\n", "", false, []string{"line 1: the cause is missing"}, "--- "},
		{"no issue", "made.up/m/a TestShared | x |\n", "", false, []string{"line 1: the issue is missing"}, "--- "},
		{"no bars", red + "made.up/m/a TestGood\n", "", false, []string{"line 2: want 'package-path TestName | cause | issue'"}, "--- "},
		{"an empty line", red + "\n", "", false, []string{"line 2: want"}, "--- "},
		{"no such test", "made.up/m/a TestGone | x | #1\n", "", false, []string{"line 1: no test TestGone in made.up/m/a"}, "--- "},
		{"a pattern", "made.up/m/a Test.* | x | #1\n", "", false, []string{"line 1: no test Test.* in made.up/m/a"}, "--- "},
		{"many packages", "./... TestShared | x | #1\n", "", false, []string{"line 1: no package ./... in this module"}, "--- "},
		{"twice", red + red, "", false, []string{"line 2: made.up/m/a TestShared is listed twice"}, "--- "},
	} {
		t.Run(k.name, func(t *testing.T) {
			run := exec.Command(script, "-count=1", "-p=1")
			run.Dir = madeUp(t, k.list, k.shared)
			run.Env = append(os.Environ(), "GOWORK=off")
			out, err := run.CombinedOutput()
			text := string(out)
			if (err == nil) != k.passes {
				t.Errorf("ended with %v, want a pass: %v", err, k.passes)
			}
			for _, want := range k.says {
				if !strings.Contains(text, want) {
					t.Errorf("does not say %q", want)
				}
			}
			if k.not != "" && strings.Contains(text, k.not) {
				t.Errorf("says %q", k.not)
			}
			if t.Failed() {
				t.Logf("%s", text)
			}
		})
	}
}
