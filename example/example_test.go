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

// soon bounds what is waited for: the machine may be busy.
const soon = 60 * time.Second

// programs is where the example's programs and the daemon are built, once for all tests.
var programs string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "eidertrail-example-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		build := exec.Command("go", "build", "-o", dir, "./example/...", "./cmd/...")
		build.Dir, programs = "..", dir
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v: %s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// section is one section of the README: its commands, with the README's addresses replaced by free ones.
type section struct {
	t        *testing.T
	commands []string
	replace  map[string]string // addresses and files of the README and its files, and what stands for them here
}

// newSection reads the commands under a heading.
func newSection(t *testing.T, heading string) *section {
	t.Parallel()
	text, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	s := &section{t: t, replace: map[string]string{}}
	in := false
	for line := range strings.Lines(string(text)) {
		switch command, is := strings.CutPrefix(line, "    "); {
		case strings.HasPrefix(line, "#"):
			in = strings.TrimSpace(strings.TrimLeft(line, "#")) == heading
		case in && is:
			command, _, _ = strings.Cut(command, "  #")
			s.commands = append(s.commands, strings.TrimSpace(command))
		}
	}
	if len(s.commands) == 0 {
		t.Fatalf("README.md has no commands under %q", heading)
	}
	return s
}

// file has a copy of a file, with the addresses in it replaced, stand for it; edit may change more.
func (s *section) file(path string, edit func(text string) string) {
	s.t.Helper()
	text, err := os.ReadFile(filepath.Join("..", path))
	if err != nil {
		s.t.Fatal(err)
	}
	for old, with := range s.replace {
		text = []byte(strings.ReplaceAll(string(text), old, with))
	}
	if edit != nil {
		text = []byte(edit(string(text)))
	}
	if left := regexp.MustCompile(`127\.0\.0\.1:[1-9]\d*`).FindAllString(string(text), -1); edit == nil {
		for _, address := range left {
			if !s.chosen(address) {
				s.t.Errorf("%s: the test would use %s", path, address)
			}
		}
	}
	to := filepath.Join(s.t.TempDir(), filepath.Base(path))
	if err := os.WriteFile(to, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.replace[path] = to
}

func (s *section) chosen(address string) bool {
	for _, with := range s.replace {
		if with == address {
			return true
		}
	}
	return false
}

// start starts the section's command that holds what, with more arguments; the n-th of them, from 0.
func (s *section) start(what string, n int, more ...string) *process {
	s.t.Helper()
	for _, line := range s.commands {
		if !strings.Contains(line, what) {
			continue
		}
		if n--; n >= 0 {
			continue
		}
		for old, with := range s.replace {
			line = strings.ReplaceAll(line, old, with)
		}
		line = regexp.MustCompile(`go run \./(?:example|cmd)/(\S+)|\bbin/(\S+)`).ReplaceAllString(line, programs+"/$1$2")
		p := &process{t: s.t, ended: make(chan struct{}), changed: make(chan struct{}, 1)}
		p.cmd = exec.Command("sh", "-c", regexp.MustCompile(`^(\w+=\S+ )?`).ReplaceAllString(line, "${1}exec ")+" "+strings.Join(more, " "))
		p.cmd.Dir = ".."
		p.start()
		return p
	}
	s.t.Fatalf("README.md has no command with %q in %q", what, s.commands)
	return nil
}

// process is a running program of the example.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	ended   chan struct{}
	changed chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (p *process) start() {
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
		p.cmd.Wait()
	}()
	p.t.Cleanup(func() {
		p.cmd.Process.Kill()
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

// says waits until the output matches, and returns what the first group matched.
func (p *process) says(pattern string) string {
	p.t.Helper()
	re := regexp.MustCompile(pattern)
	for late := time.After(soon); ; {
		if m := re.FindStringSubmatch(p.output()); m != nil {
			return m[len(m)-1]
		}
		select {
		case <-p.changed:
		case <-p.ended:
			if !re.MatchString(p.output()) {
				p.t.Fatalf("%s ended and did not say %s:\n%s", p.cmd.Args[2], pattern, p.output())
			}
		case <-late:
			p.t.Fatalf("%s did not say %s:\n%s", p.cmd.Args[2], pattern, p.output())
		}
	}
}

// pool starts the toy pool and bulletin.
func (s *section) pool(more ...string) {
	s.t.Helper()
	p := s.start("toypool", 0, append(more, "-listen 127.0.0.1:0 -bulletin 127.0.0.1:0")...)
	s.replace["127.0.0.1:5061"] = p.says(`pool on (\S+) with`)
	s.replace["127.0.0.1:4222"] = p.says(`bulletin on (\S+)`)
}

// answered fails the test unless the call stood and was released at its end.
func answered(p *process) {
	p.t.Helper()
	p.says(`< .*"type":"answer".*m=audio 31000`)
	p.says(`< .*"type":"released?".*"cause":16`)
}

func TestOneMachine(t *testing.T) {
	s := newSection(t, "Trying it on one machine")
	s.pool()
	s.replace["127.0.0.1:5060"] = "127.0.0.1:0"
	s.file("example/config.json", nil)
	for _, address := range []string{"127.0.0.1:5070", "127.0.0.1:5071", "127.0.0.1:5072"} {
		s.replace[address] = "127.0.0.1:0"
	}
	s.file("deploy/callcontrol.toml", nil)
	d := s.start("cmd/eidertrail ", 0)
	s.replace["127.0.0.1:5070"] = d.says(`"address":"(\S+?)","field":"listen"`)
	health := d.says(`"address":"(\S+?)","field":"health"`)
	listen := "-address " + d.says(`"listen":"(\S+?)".*"serving"`)

	lines := s.start("example/caller", 0, listen)
	answered(lines)
	answered(s.start("-ws", 0))

	var four []*process
	for range 4 {
		four = append(four, s.start("example/caller", 0, listen))
	}
	refused := 0
	for _, p := range four {
		<-p.ended
		if strings.Contains(p.output(), `"type":"release"`) && strings.Contains(p.output(), `"cause":34`) {
			refused++
		} else {
			answered(p)
		}
	}
	if refused != 1 {
		t.Errorf("%d of four callers were told that there is no agent, want 1", refused)
	}
	if r, err := http.Get("http://" + health + "/ready"); err != nil || r.StatusCode != http.StatusOK {
		t.Errorf("ready: %v, %v", r, err)
	}
}

func TestSyncPoolsFromDNS(t *testing.T) {
	s := newSection(t, "Sync pools from DNS SRV")
	s.pool("-hold 200ms")
	s.replace["127.0.0.1:5060"] = "127.0.0.1:0"
	s.file("example/config.json", nil)
	dns := s.start("srvdns", 0, "-listen 127.0.0.1:0")
	s.replace["127.0.0.1:5353"] = dns.says(`pools on (\S+)`)
	s.file("example/discovery.toml", nil)
	d := s.start("cmd/eidertrail ", 0)
	d.says(`s-toy@\S+/up/g0/bulletin\+dns`)
	answered(s.start("example/caller", 0, "-address "+d.says(`"listen":"(\S+?)".*"serving"`)))
}

func TestFleetOfTwo(t *testing.T) {
	s := newSection(t, "A fleet of two")
	s.pool("-hold 200ms")
	between := fakeplatform.NewDatagrams(t, 2, 1)
	var members []*process
	for i := range 2 {
		path := fmt.Sprintf("example/fleet/n%d.json", i)
		s.file(path, func(text string) string {
			var c map[string]any
			if err := json.Unmarshal([]byte(text), &c); err != nil {
				t.Fatal(err)
			}
			c["listen"], c["peer_listen"], c["peers"] = "127.0.0.1:0", "127.0.0.1:0", between.Peers(i)
			out, _ := json.Marshal(c)
			return string(out)
		})
		members = append(members, s.start(path, 0))
	}
	for i, d := range members {
		d.says(fmt.Sprintf(`"member":%d,.*"is":"alive"`, 1-i))
		d.says(`"units":.*"message":"share"`)
		c := exec.Command(filepath.Join(programs, "caller"), "-address", d.says(`"listen":"(\S+?)".*"serving"`))
		if out, err := c.CombinedOutput(); err != nil || !strings.Contains(string(out), `"type":"answer"`) {
			t.Errorf("a call at member %d: %v\n%s", i, err, out)
		}
	}
}
