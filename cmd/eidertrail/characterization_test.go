// These are characterisation tests: they record what the program does today, so that a change which is to leave
// behaviour alone can be shown to do so. The recorded files are under testdata/characterization; what the program is
// given is under input there. After a change of behaviour on purpose they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./cmd/eidertrail -run TestCharacterization
//
// and the commit has to say why they changed. Without that variable a missing or different file fails the test.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"eidertrail/internal/testing/recorded"
)

// invocation is one call of the program, in a folder with the recorded input.
type invocation struct {
	variables []string // of the environment, NAME=VALUE
	arguments []string
}

func (i invocation) String() string {
	return strings.Join(slices.Concat(i.variables, []string{"eidertrail"}, i.arguments), " ")
}

// words is an invocation by the words of a shell's line: variables, then arguments.
func words(line string) invocation {
	all := strings.Fields(line)
	first := slices.IndexFunc(all, func(token string) bool { return !strings.HasPrefix(token, "RELAY_") })
	if first < 0 {
		first = len(all)
	}
	return invocation{all[:first], all[first:]}
}

// command is the invocation's, with no variable of the platform but its own.
func (i invocation) command(t *testing.T, folder string) *exec.Cmd {
	t.Helper()
	c := exec.Command(program(t), i.arguments...)
	c.Dir = folder
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "RELAY_") {
			c.Env = append(c.Env, variable)
		}
	}
	c.Env = append(c.Env, i.variables...)
	return c
}

var (
	// timeStamp is when a line was logged.
	timeStamp = regexp.MustCompile(`"time":"[^"]+"`)
	// goType is the name of a type of the program in an error of encoding/json: a rename may change it.
	goType = regexp.MustCompile(`Go struct field [A-Za-z]+\.`)
)

// normalize replaces what depends on the moment of the run, and on names in the source.
func normalize(text string) string {
	return goType.ReplaceAllString(timeStamp.ReplaceAllString(text, `"time":"TIME"`), "Go struct field TYPE.")
}

// transcript runs the invocation to its end, and tells its exit status and what it wrote.
func (i invocation) transcript(t *testing.T, folder string) string {
	t.Helper()
	c := i.command(t, folder)
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
	text := fmt.Sprintf("$ %s\nexit status %d\n", i, status)
	if out.Len() > 0 {
		text += "standard output:\n" + out.String()
	}
	if complaint.Len() > 0 {
		text += "standard error:\n" + complaint.String()
	}
	return normalize(text) + "\n"
}

// inputFolder is a folder of the test's own with the recorded input.
func inputFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(recorded.Folder, "input"))); err != nil {
		t.Fatal(err)
	}
	return folder
}

// alter writes a file of the folder that is another of it with one part replaced.
func alter(t *testing.T, folder, name, from, part, by string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, from))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), part) {
		t.Fatalf("%s does not hold %q", from, part)
	}
	altered := strings.Replace(string(text), part, by, 1)
	if err := os.WriteFile(filepath.Join(folder, name), []byte(altered), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The help of each command: its flags, with their defaults where these are not empty.
func TestCharacterization_Help(t *testing.T) {
	folder := inputFolder(t)
	for _, command := range []string{
		"", "check", "help", "rollout", "rollout plan", "rollout start", "rollout status", "rollout abort",
	} {
		name := strings.ReplaceAll(strings.TrimSpace("eidertrail "+command), " ", "-")
		recorded.Compare(t, "help-"+name+".txt", words(command+" --help").transcript(t, folder))
	}
	if got := words("help rollout plan").transcript(t, folder); !strings.Contains(got, "exit status 0") {
		t.Errorf("%s", got)
	}
}

// The line for what is wrong on the command line, and the exit status.
func TestCharacterization_CommandLine(t *testing.T) {
	folder := inputFolder(t)
	var text strings.Builder
	for _, line := range []string{
		"--colour", "-x", "--version", "-cluster cluster.toml", "--callcontrol", "--verbose=maybe", "nothing",
		"completion bash", "help nothing",
		"check --colour", "check -v", "check --state s", "check nothing", "check --callcontrol",
		"rollout", "rollout nothing", "rollout --colour", "rollout plan", "rollout plan a b", "rollout plan --colour",
		"rollout start",
		"rollout status nothing", "rollout abort nothing", "rollout abort --state", "--state s",
	} {
		text.WriteString(words(line).transcript(t, folder))
	}
	recorded.Compare(t, "command-line.txt", text.String())
}

// check, with files that are good and files that are not; and the daemon where it does not start.
func TestCharacterization_Check(t *testing.T) {
	folder := inputFolder(t)
	alter(t, folder, "bad-json.json", "config.json", "{", "[")
	alter(t, folder, "bad-tick.json", "config.json", `"tick": 5000000`, `"tick": "soon"`)
	alter(t, folder, "bad-listen.json", "config.json", "127.0.0.1:99999", "nowhere")
	alter(t, folder, "no-listen.json", "config.json", `"listen"`, `"listens"`)
	alter(t, folder, "bad-seed.json", "config.json", "8c1f30d27a5be964", "seed")
	alter(t, folder, "bad-deadline.json", "config.json", `"deadline": 15000000000`, `"deadline": 0`)
	alter(t, folder, "bad-known.json", "config.json", `"endpoint": "127.0.0.1:1"`, `"endpoint": 5`)
	alter(t, folder, "no-peers.json", "config.json", `"peers"`, `"others"`)
	alter(t, folder, "bad-callcontrol.toml", "callcontrol.toml", "max_connections = 64", "max_connections = -1")
	alter(t, folder, "bad-discovery.toml", "discovery.toml", `timeout = "500ms"`, `timeout = "never"`)
	alter(t, folder, "bad-routing.toml", "routing.toml", `zone = "batumi"`, `zone = "poti"`)
	alter(t, folder, "bad-cluster.toml", "cluster.toml", "indirect = 3", "indirect = -3")
	alter(t, folder, "other-region.toml", "cluster.toml", `region = "batumi"`, `region = "poti"`)
	alter(t, folder, "unknown-key.toml", "callcontrol.toml", "path =", "way =")
	var text strings.Builder
	for _, line := range []string{
		"check", "", "RELAY_CONFIG= check", "RELAY_CONFIG=config.json check", "RELAY_CONFIG=absent.json check",
		"RELAY_CONFIG=absent.json",
		"RELAY_CONFIG=bad-json.json check", "RELAY_CONFIG=bad-tick.json check", "RELAY_CONFIG=bad-tick.json",
		"RELAY_CONFIG=bad-listen.json check",
		"RELAY_CONFIG=no-listen.json check", "RELAY_CONFIG=bad-seed.json check", "RELAY_CONFIG=bad-deadline.json check",
		"RELAY_CONFIG=bad-known.json check",
		"RELAY_CONFIG=config.json RELAY_LISTEN=nowhere check", "RELAY_CONFIG=config.json",
		"RELAY_CONFIG=config.json RELAY_LISTEN=127.0.0.1:99998",
		"RELAY_CONFIG=config.json check --callcontrol callcontrol.toml",
		"RELAY_CONFIG=config.json check --callcontrol absent.toml",
		"RELAY_CONFIG=config.json check --callcontrol bad-callcontrol.toml",
		"RELAY_CONFIG=config.json --callcontrol bad-callcontrol.toml",
		"RELAY_CONFIG=config.json check --callcontrol unknown-key.toml",
		"RELAY_CONFIG=config.json check --discovery discovery.toml", "RELAY_CONFIG=config.json check --discovery absent.toml",
		"RELAY_CONFIG=config.json check --discovery bad-discovery.toml",
		"RELAY_CONFIG=config.json check --routing routing.toml", "RELAY_CONFIG=config.json check --routing absent.toml",
		"RELAY_CONFIG=config.json check --routing bad-routing.toml",
		"RELAY_CONFIG=config.json check --cluster cluster.toml", "RELAY_CONFIG=config.json check --cluster absent.toml",
		"RELAY_CONFIG=config.json check --cluster bad-cluster.toml",
		"RELAY_CONFIG=no-peers.json check --cluster cluster.toml",
		"RELAY_CONFIG=config.json check --routing routing.toml --cluster other-region.toml",
		"RELAY_CONFIG=config.json check --callcontrol=callcontrol.toml --discovery=discovery.toml" +
			" --routing=routing.toml --cluster=cluster.toml",
		"RELAY_CONFIG=config.json --callcontrol callcontrol.toml check",
		"RELAY_CONFIG=config.json check -callcontrol callcontrol.toml -discovery discovery.toml -routing=routing.toml",
		"RELAY_CONFIG=config.json check -callcontrol absent.toml", "RELAY_CONFIG=config.json check -discovery absent.toml",
		"RELAY_CONFIG=config.json check -routing=absent.toml", "RELAY_CONFIG=absent.json -verbose",
		"RELAY_CONFIG=absent.json -v",
	} {
		text.WriteString(words(line).transcript(t, folder))
	}
	recorded.Compare(t, "check.txt", text.String())
}

// The rollout commands on recorded state files.
func TestCharacterization_RolloutCommands(t *testing.T) {
	folder := inputFolder(t)
	alter(t, folder, "bad-rollout.toml", "rollout.toml", `stages = ["1", "100%"]`, `stages = ["1", "most"]`)
	alter(t, folder, "unknown-key.toml", "rollout.toml", `stages`, `steps`)
	alter(t, folder, "no-config.toml", "rollout.toml", `"config-seed.json"`, `"absent.json"`)
	alter(t, folder, "other-plan.toml", "rollout.toml", `"1", "100%"`, `"100%"`)
	alter(t, folder, "bad-state.json", "state-done.json", `"stage": 1`, `"stage": "last"`)
	var text strings.Builder
	for _, line := range []string{
		"rollout plan rollout.toml", "rollout plan absent.toml", "rollout plan bad-rollout.toml",
		"rollout plan unknown-key.toml", "rollout plan no-config.toml",
		"rollout status", "rollout status --state absent.json", "rollout status --state bad-state.json",
		"rollout status --state state-done.json", "rollout status --state state-aborted.json",
		"rollout status --state state-stuck.json",
		"rollout status --state state-running.json",
		"rollout start absent.toml", "rollout start bad-rollout.toml",
		"rollout start other-plan.toml --state state-done.json",
		"rollout start rollout.toml --state bad-state.json", "rollout start rollout.toml --state absent/state.json",
		"rollout start rollout.toml --state state-done.json", "rollout --state state-aborted.json start rollout.toml",
		"rollout start rollout.toml --state=state-stuck.json",
		"rollout abort", "rollout abort --state absent.json", "rollout abort --state state-running.json",
	} {
		text.WriteString(words(line).transcript(t, folder))
	}
	recorded.Compare(t, "rollout.txt", text.String())
	if _, err := os.Stat(filepath.Join(folder, "state-running.json.abort")); err != nil {
		t.Error(err)
	}
}

// port is the one that the system chose.
var port = regexp.MustCompile(`"127\.0\.0\.1:[0-9]+"`)

// The daemon's first line once it serves, at the address of RELAY_LISTEN; the exit status after SIGTERM.
func TestCharacterization_ServesAndEnds(t *testing.T) {
	cmd := words("RELAY_CONFIG=config.json RELAY_LISTEN=127.0.0.1:0").command(t, inputFolder(t))
	complaint, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	var serving string
	for lines := bufio.NewScanner(complaint); lines.Scan(); {
		if strings.Contains(lines.Text(), `"message":"serving"`) {
			serving = lines.Text()
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	serving = port.ReplaceAllString(normalize(serving), `"127.0.0.1:PORT"`)
	recorded.Compare(t, "serving.txt", serving+"\n")
}

// sourceFiles are the shipped Go files of the module.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	module, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	err = filepath.WalkDir(strings.TrimSpace(string(module)), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && (entry.Name() == "testdata" || strings.HasPrefix(entry.Name(), ".")) {
			return filepath.SkipDir
		}
		// The support of tests is in no program: scripts/layers.txt lets none import it.
		if err == nil && entry.IsDir() && strings.HasSuffix(path, filepath.Join("internal", "testing")) {
			return filepath.SkipDir
		}
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// variablesRead are the names of the environment's variables that a file reads, in order.
func variablesRead(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		call, isCall := node.(*ast.CallExpr)
		if !isCall {
			return true
		}
		function, isSelector := call.Fun.(*ast.SelectorExpr)
		if !isSelector || !slices.Contains([]string{"Getenv", "LookupEnv", "ExpandEnv"}, function.Sel.Name) {
			return true
		}
		if name, isLiteral := call.Args[0].(*ast.BasicLit); isLiteral {
			names = append(names, strings.Trim(name.Value, `"`))
		} else {
			t.Errorf("%s reads a variable whose name does not stand there", path)
		}
		return true
	})
	return names
}

// The variables of the environment that the module's programs read.
func TestCharacterization_Environment(t *testing.T) {
	files := sourceFiles(t)
	names := make([]string, 0, len(files))
	for _, path := range files {
		names = append(names, variablesRead(t, path)...)
	}
	slices.Sort(names)
	recorded.Compare(t, "environment.txt", strings.Join(slices.Compact(names), "\n")+"\n")
}
