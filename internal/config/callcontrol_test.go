package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadCallControl_DefaultsAndErrors(t *testing.T) {
	load := func(text string) (*CallControl, error) {
		path := filepath.Join(t.TempDir(), "callcontrol.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadCallControl(path)
	}
	c, err := load("listen = \"127.0.0.1:5070\"\norigins = [\"*.example.org\"]")
	if err != nil || c.Listen != "127.0.0.1:5070" || c.Path != "/call-control" ||
		c.MaxConnections != 64 || len(c.Origins) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
	for text, field := range map[string]string{
		"listen = 7": "listen", "listen = \"x\"": "listen", "listne = \"127.0.0.1:1\"": "listne", "": "listen",
		"agent_check = \"x\"": "agent_check", "health = \"x\"": "health",
		"listen = \"127.0.0.1:1\"\npath = \"x\"":        "path",
		"listen = \"127.0.0.1:1\"\nmax_connections = 0": "max_connections",
	} {
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := LoadCallControl("../../deploy/callcontrol.toml"); err != nil {
		t.Errorf("the file under deploy/: %v", err)
	}
}
