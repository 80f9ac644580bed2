package recorded_test

import (
	"os"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"
)

// failures is a testing.TB that notes failures in place of failing.
type failures struct {
	testing.TB

	messages []string
}

func (f *failures) Helper()                   {}
func (f *failures) Errorf(m string, _ ...any) { f.messages = append(f.messages, m) }

func (f *failures) Fatalf(m string, _ ...any) {
	f.messages = append(f.messages, m)
}

func TestCompare(t *testing.T) {
	t.Setenv("EIDERTRAIL_UPDATE", "")
	t.Chdir(t.TempDir())
	if err := os.MkdirAll(recorded.Folder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recorded.Path("two.txt"), []byte("one\ntwo\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, got string
		wantFails bool
	}{
		{"the same text", "one\ntwo\n", false},
		{"another line", "one\nTwo\n", true},
		{"a line too many", "one\ntwo\nthree\n", true},
		{"a line too few", "one\n", true},
		{"no final line feed", "one\ntwo", true},
		{"nothing", "", true},
	} {
		observed := &failures{TB: t}
		recorded.Compare(observed, "two.txt", test.got)
		if fails := len(observed.messages) > 0; fails != test.wantFails {
			t.Errorf("%s: fails %v, want %v: %s", test.name, fails, test.wantFails, strings.Join(observed.messages, "; "))
		}
	}
}

func TestCompare_MissingFileFails(t *testing.T) {
	t.Setenv("EIDERTRAIL_UPDATE", "")
	t.Chdir(t.TempDir())
	observed := &failures{TB: t}
	recorded.Compare(observed, "absent.txt", "")
	if len(observed.messages) == 0 {
		t.Error("a missing file passed")
	}
}

func TestCompare_UpdateWritesTheFile(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv("EIDERTRAIL_UPDATE", "1")
	recorded.Compare(t, "new.txt", "text\n")
	text, err := os.ReadFile(recorded.Path("new.txt"))
	if err != nil || string(text) != "text\n" {
		t.Errorf("written: %q, %v", text, err)
	}
}
