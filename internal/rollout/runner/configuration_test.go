package runner

import (
	"os"
	"path/filepath"
	"testing"
)

func TestFile_RestartsNamesFieldsThatNeedIt(t *testing.T) {
	for _, test := range []struct {
		name, oldConfig, newConfig string
		restart                    bool
		reason                     string
	}{
		{
			"fields that are taken over at SIGHUP",
			`{"bulletin":"a","known":[1],"limits":{"memory_mb":1}}`, `{"bulletin":"b","known":[],"limits":{"memory_mb":2}}`,
			false, "all that changes is taken over at SIGHUP",
		},
		{
			"several fields in the order of their names",
			`{"seed":1,"name":"a","limits":{"cores":1}}`, `{"name":"b","limits":{"cores":2},"listen":"c"}`,
			true, "limits.cores, listen, name, seed changes only at a restart",
		},
		{"no JSON", `{`, `{}`, true, "one of the configurations is not valid JSON"},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			controller := Controller{Config: filepath.Join(folder, "old.json"), NewConfig: filepath.Join(folder, "new.json")}
			for path, text := range map[string]string{controller.Config: test.oldConfig, controller.NewConfig: test.newConfig} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			file := &File{Old: Program{Binary: "a"}, New: Program{Binary: "a"}}

			restart, reason, err := file.Restarts(controller)

			if err != nil || restart != test.restart || reason != test.reason {
				t.Errorf("restart %v, %q, %v, want %v, %q", restart, reason, err, test.restart, test.reason)
			}
		})
	}
}
