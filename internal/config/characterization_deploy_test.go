package config_test

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// deployFile is what the platform's deployment reads of deploy/balancer.toml.
type deployFile struct {
	Build    string   `toml:"build"`
	Run      string   `toml:"run"`
	Sim      string   `toml:"sim"`
	Policy   []string `toml:"policy"`
	Node     []string `toml:"node"`
	Packages []string `toml:"packages"`
}

// The platform's file has exactly its keys, of the right types, with commands as the platform wants them and paths that
// are there.
func TestCharacterization_DeployFile(t *testing.T) {
	const root = "../.."
	path := filepath.Join(root, "deploy", "balancer.toml")
	keys := map[string]any{}
	if _, err := toml.DecodeFile(path, &keys); err != nil {
		t.Fatal(err)
	}
	want := []string{"build", "node", "packages", "policy", "run", "sim"}
	if got := slices.Sorted(maps.Keys(keys)); !slices.Equal(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}
	var file deployFile
	if _, err := toml.DecodeFile(path, &file); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(file.Build, "go build") || !slices.ContainsFunc(strings.Fields(file.Build), linksExternally) {
		t.Errorf("build = %q, want a go build with -linkmode=external", file.Build)
	}
	for name, command := range map[string]string{"run": file.Run, "sim": file.Sim} {
		checkCommand(t, root, name, command)
	}
	if len(file.Policy) == 0 || len(file.Node) == 0 {
		t.Errorf("policy has %d paths and node %d, want some", len(file.Policy), len(file.Node))
	}
	for _, name := range slices.Concat(file.Policy, file.Node) {
		if _, err := os.Stat(filepath.Join(root, name)); err != nil {
			t.Errorf("policy, node: %v", err)
		}
	}
	if len(file.Packages) != 0 {
		t.Errorf("packages = %q, want none", file.Packages)
	}
}

func linksExternally(argument string) bool {
	return strings.HasPrefix(argument, "-ldflags=") && strings.Contains(argument, "-linkmode=external")
}

// checkCommand fails the test for a command that is not exec and a program of cmd.
func checkCommand(t *testing.T, root, name, command string) {
	t.Helper()
	words := strings.Fields(command)
	if len(words) < 2 || words[0] != "exec" {
		t.Errorf("%s = %q, want it to begin with exec and a program", name, command)
		return
	}
	program, built := strings.CutPrefix(words[1], "bin/")
	if _, err := os.Stat(filepath.Join(root, "cmd", program)); !built || err != nil {
		t.Errorf("%s = %q: no such program under cmd: %v", name, command, err)
	}
}
