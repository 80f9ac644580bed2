package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// soon is the bound within which what has to happen is waited for: a crash takes 2 * 4 rounds of probes and a suspicion
// of 3 s at the most, and the machine may be busy.
const soon = 30 * time.Second

// built is the daemon's program, built once for all tests that start processes.
var built = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildDir(), "eidertrail")
	if err := os.MkdirAll(buildDir(), 0o700); err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// buildDir is where built puts it, for this run of the tests alone.
func buildDir() string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("eidertrail-test-%d", os.Getpid()))
}

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(buildDir())
	os.Exit(code)
}

// program is the path of the daemon's program.
func program(t *testing.T) string {
	t.Helper()
	path, err := built()
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	return path
}

// waitFor waits until condition holds, as long as it takes within reason.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > soon {
			t.Fatalf("not within %v: %s", soon, what)
		}
	}
}

// loggingProcess is a process of the daemon whose log can be waited for.
type loggingProcess struct {
	cmd   *exec.Cmd
	ended chan error // the process's end

	mu    sync.Mutex
	lines []string
	more  chan struct{} // holds a value when there is a new line
}

// startLogging starts the command, and ends it with the test.
func startLogging(t *testing.T, cmd *exec.Cmd) *loggingProcess {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	process := &loggingProcess{cmd: cmd, ended: make(chan error, 1), more: make(chan struct{}, 1)}
	go func() {
		process.read(stderr)
		process.ended <- cmd.Wait()
	}()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return process
}

func (p *loggingProcess) read(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		p.mu.Unlock()
		select {
		case p.more <- struct{}{}:
		default:
		}
	}
}

// await returns the first line from index from on that matches and the index after it, waiting up to a minute.
func (p *loggingProcess) await(t *testing.T, from int, match func(line string) bool) (string, int) {
	t.Helper()
	deadline := time.After(time.Minute)
	for {
		line, next, found := p.find(from, match)
		if found {
			return line, next
		}
		from = next
		select {
		case <-p.more:
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			t.Fatalf("no such line in the log")
		}
	}
}

// find is the first line from index from on that matches, and the index of the first line that was not looked at.
func (p *loggingProcess) find(from int, match func(line string) bool) (line string, next int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := from; i < len(p.lines); i++ {
		if match(p.lines[i]) {
			return p.lines[i], i + 1, true
		}
	}
	return "", len(p.lines), false
}

// awaitServing waits until the daemon serves, and returns its line and the index after it.
func (p *loggingProcess) awaitServing(t *testing.T) (string, int) {
	t.Helper()
	return p.await(t, 0, func(line string) bool { return gjson.Get(line, "message").Str == "serving" })
}

// last are the last lines of the log.
func (p *loggingProcess) last(count int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[max(0, len(p.lines)-count):]
}
