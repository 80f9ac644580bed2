// Package example_test runs the example as its README says: each command line is taken from there, so that neither
// can change without the other.
package example_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"eidertrail/internal/testing/fakeplatform"
)

// waitTimeout bounds what is waited for: the machine may be busy.
const waitTimeout = 60 * time.Second

// programs is where the example's programs and the daemon are built, once for all tests.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs in a directory that it removes after the tests, and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eidertrail-example-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "./example/...", "./cmd/...")
	build.Dir, programs = "..", dir
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

var (
	// fixedAddress is an address on loopback with a port that isn't chosen by the system.
	fixedAddress = regexp.MustCompile(`127\.0\.0\.1:[1-9]\d*`)
	// programPath is how a command names one of the programs.
	programPath = regexp.MustCompile(`go run \./(?:example|cmd)/(\S+)|\bbin/(\S+)`)
	// environment is the variable that a command may begin with.
	environment = regexp.MustCompile(`^(\w+=\S+ )?`)
)

// section is one section of the README: its commands, with the README's addresses replaced by free ones.
type section struct {
	t        *testing.T
	commands []string
	replaced map[string]string // addresses and files of the README and its files, each with its replacement here
}

// newSection reads the commands under a heading.
func newSection(t *testing.T, heading string) *section {
	t.Helper()
	text, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	read := &section{t: t, replaced: map[string]string{}}
	inSection := false
	for line := range strings.Lines(string(text)) {
		switch command, isCommand := strings.CutPrefix(line, "    "); {
		case strings.HasPrefix(line, "#"):
			inSection = strings.TrimSpace(strings.TrimLeft(line, "#")) == heading
		case inSection && isCommand:
			command, _, _ = strings.Cut(command, "  #")
			read.commands = append(read.commands, strings.TrimSpace(command))
		}
	}
	if len(read.commands) == 0 {
		t.Fatalf("README.md has no commands under %q", heading)
	}
	return read
}

// replaceFile replaces a file by a copy with the addresses in it replaced; edit may change more.
func (s *section) replaceFile(path string, edit func(text string) string) {
	s.t.Helper()
	text, err := os.ReadFile(filepath.Join("..", path))
	if err != nil {
		s.t.Fatal(err)
	}
	for old, replacement := range s.replaced {
		text = []byte(strings.ReplaceAll(string(text), old, replacement))
	}
	if edit != nil {
		text = []byte(edit(string(text)))
	}
	if edit == nil {
		for _, address := range fixedAddress.FindAllString(string(text), -1) {
			if !s.isReplacement(address) {
				s.t.Errorf("%s: the test would use %s", path, address)
			}
		}
	}
	to := filepath.Join(s.t.TempDir(), filepath.Base(path))
	if err := os.WriteFile(to, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.replaced[path] = to
}

// isReplacement reports whether the address is one that the test chose.
func (s *section) isReplacement(address string) bool {
	for _, replacement := range s.replaced {
		if replacement == address {
			return true
		}
	}
	return false
}

// start starts the section's first command that contains text, with more arguments.
func (s *section) start(text string, more ...string) *process {
	s.t.Helper()
	for _, line := range s.commands {
		if !strings.Contains(line, text) {
			continue
		}
		for old, replacement := range s.replaced {
			line = strings.ReplaceAll(line, old, replacement)
		}
		line = programPath.ReplaceAllString(line, programs+"/$1$2")
		line = environment.ReplaceAllString(line, "${1}exec ") + " " + strings.Join(more, " ")
		started := &process{t: s.t, ended: make(chan struct{}), changed: make(chan struct{}, 1)}
		started.cmd = exec.Command("sh", "-c", line)
		started.cmd.Dir = ".."
		started.start()
		return started
	}
	s.t.Fatalf("README.md has no command with %q in %q", text, s.commands)
	return nil
}

// process is a running program of the example.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	ended   chan struct{} // closed by the goroutine that reads its output
	changed chan struct{} // gets a value after more output

	mu   sync.Mutex
	text strings.Builder
}

func (p *process) start() {
	p.t.Helper()
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.mu.Lock()
			p.text.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
			select {
			case p.changed <- struct{}{}:
			default:
			}
		}
		_ = p.cmd.Wait() // most are killed below
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended by itself
		<-p.ended
		if p.t.Failed() {
			p.t.Logf("%s:\n%s", p.cmd.Args[2], p.output())
		}
	})
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// waitFor waits until the output matches, and returns what the last group matched.
func (p *process) waitFor(pattern string) string {
	p.t.Helper()
	wanted := regexp.MustCompile(pattern)
	for timeout := time.After(waitTimeout); ; {
		if groups := wanted.FindStringSubmatch(p.output()); groups != nil {
			return groups[len(groups)-1]
		}
		select {
		case <-p.changed:
		case <-p.ended:
			if !wanted.MatchString(p.output()) {
				p.t.Fatalf("%s ended without output that matches %s:\n%s", p.cmd.Args[2], pattern, p.output())
			}
		case <-timeout:
			p.t.Fatalf("%s has no output that matches %s:\n%s", p.cmd.Args[2], pattern, p.output())
		}
	}
}

// startPool starts the toy pool, with its server of the endpoint list.
func (s *section) startPool(more ...string) {
	s.t.Helper()
	pool := s.start("toypool", append(more, "-listen 127.0.0.1:0 -bulletin 127.0.0.1:0")...)
	s.replaced["127.0.0.1:5061"] = pool.waitFor(`pool on (\S+) with`)
	s.replaced["127.0.0.1:4222"] = pool.waitFor(`bulletin on (\S+)`)
}

// waitForCall fails the test unless the caller's call was established, and released at its end.
func waitForCall(caller *process) {
	caller.t.Helper()
	caller.waitFor(`< .*"type":"answer".*m=audio 31000`)
	caller.waitFor(`< .*"type":"released?".*"cause":16`)
}

func TestReadme_OneMachine(t *testing.T) {
	t.Parallel()
	readme := newSection(t, "Trying it on one machine")
	readme.startPool()
	readme.replaced["127.0.0.1:5060"] = "127.0.0.1:0"
	readme.replaceFile("example/config.json", nil)
	for _, address := range []string{"127.0.0.1:5070", "127.0.0.1:5071", "127.0.0.1:5072"} {
		readme.replaced[address] = "127.0.0.1:0"
	}
	readme.replaceFile("deploy/callcontrol.toml", nil)
	daemon := readme.start("cmd/eidertrail ")
	readme.replaced["127.0.0.1:5070"] = daemon.waitFor(`"address":"(\S+?)","field":"listen"`)
	health := daemon.waitFor(`"address":"(\S+?)","field":"health"`)
	listen := "-address " + daemon.waitFor(`"listen":"(\S+?)".*"serving"`)

	waitForCall(readme.start("example/caller", listen))
	waitForCall(readme.start("-ws"))

	var callers [4]*process
	for i := range callers {
		callers[i] = readme.start("example/caller", listen)
	}
	rejected := 0
	for _, caller := range callers {
		<-caller.ended
		if strings.Contains(caller.output(), `"type":"release"`) && strings.Contains(caller.output(), `"cause":34`) {
			rejected++
		} else {
			waitForCall(caller)
		}
	}
	if rejected != 1 {
		t.Errorf("%d of four callers were rejected for want of an agent, want 1", rejected)
	}
	response, err := http.Get("http://" + health + "/ready")
	if err != nil {
		t.Fatalf("ready: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("ready: %v", response)
	}
}

func TestReadme_SyncPoolsFromDNS(t *testing.T) {
	t.Parallel()
	readme := newSection(t, "Sync pools from DNS SRV")
	readme.startPool("-hold 200ms")
	readme.replaced["127.0.0.1:5060"] = "127.0.0.1:0"
	readme.replaceFile("example/config.json", nil)
	dns := readme.start("srvdns", "-listen 127.0.0.1:0")
	readme.replaced["127.0.0.1:5353"] = dns.waitFor(`pools on (\S+)`)
	readme.replaceFile("example/discovery.toml", nil)
	daemon := readme.start("cmd/eidertrail ")
	daemon.waitFor(`s-toy@\S+/up/g0/bulletin\+dns`)
	waitForCall(readme.start("example/caller", "-address "+daemon.waitFor(`"listen":"(\S+?)".*"serving"`)))
}

func TestReadme_FleetOfTwo(t *testing.T) {
	t.Parallel()
	readme := newSection(t, "A fleet of two")
	readme.startPool("-hold 200ms")
	network := fakeplatform.NewDatagrams(t, 2, 1)
	var members [2]*process
	for i := range members {
		path := fmt.Sprintf("example/fleet/n%d.json", i)
		readme.replaceFile(path, func(text string) string {
			var settings map[string]any
			if err := json.Unmarshal([]byte(text), &settings); err != nil {
				t.Fatal(err)
			}
			settings["listen"], settings["peer_listen"] = "127.0.0.1:0", "127.0.0.1:0"
			settings["peers"] = network.Peers(i)
			edited, err := json.Marshal(settings)
			if err != nil {
				t.Fatal(err)
			}
			return string(edited)
		})
		members[i] = readme.start(path)
	}
	for i, daemon := range members {
		daemon.waitFor(fmt.Sprintf(`"member":%d,.*"is":"alive"`, 1-i))
		daemon.waitFor(`"units":.*"message":"quota changed"`)
		caller := exec.Command(filepath.Join(programs, "caller"), "-address", daemon.waitFor(`"listen":"(\S+?)".*"serving"`))
		if out, err := caller.CombinedOutput(); err != nil || !strings.Contains(string(out), `"type":"answer"`) {
			t.Errorf("a call at member %d: %v\n%s", i, err, out)
		}
	}
}
