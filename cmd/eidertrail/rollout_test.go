package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"eidertrail/internal/rollout/runner"
	"eidertrail/internal/testing/daemontest"
)

// staged is a fleet of controllers under a rollout file, each with callers who go by its readiness, as the ones
// behind a load balancer do.
type staged struct {
	t     *testing.T
	dir   string
	old   string // the programs
	new   string
	at    []controller
	state string
	mu    sync.Mutex
	loads []*load // one for each life of each controller
	stop  chan struct{}
	wg    sync.WaitGroup
}

type controller struct {
	name, listen, health, config, newConfig string
}

// newStaged starts so many controllers on one pool, with callers at each.
func newStaged(t *testing.T, controllers int) *staged {
	t.Helper()
	old := program(t)
	fleet := &staged{t: t, dir: t.TempDir(), old: old, stop: make(chan struct{})}
	fleet.new = filepath.Join(fleet.dir, "eidertrail-new")
	if err := os.Symlink(old, fleet.new); err != nil {
		t.Fatal(err)
	}
	fleet.state = filepath.Join(fleet.dir, "state.json")
	p := newMetered(t, time.Millisecond, "idle:900;circuits:1000")
	for i := range controllers {
		c := controller{name: fmt.Sprintf("n%d", i), listen: reserveAddress(t), health: reserveAddress(t)}
		c.config = fleet.write(c.name+".json", fmt.Sprintf(
			`{"name":%q,"listen":%q,"seed":"%d","limits":{"memory_mb":192,"sockets":1024},%s,
 "settings":{"balancers":%d,"index":%d,"tick":1000000,
  "extra":{"clear_wait":300000000,"t1":400000000,"mean_hold":[1000000000]},
  "request_classes":[{"name":"voice","promise":1000000000,"deadline":15000000000}]}}`,
			c.name, c.listen, i+1, p.roster(time.Time{}), controllers, i))
		fleet.write(c.name+".toml", fmt.Sprintf("health = %q\n", c.health))
		fleet.at = append(fleet.at, c)
	}
	t.Cleanup(func() {
		close(fleet.stop)
		fleet.wg.Wait()
		for i := range fleet.at {
			if pid := fleet.pid(i); pid > 0 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
		if t.Failed() {
			for _, c := range fleet.at {
				text, _ := os.ReadFile(filepath.Join(fleet.dir, c.name+".log"))
				t.Logf("%s:\n%s", c.name, text)
			}
		}
	})
	for i, controller := range fleet.at {
		log, err := os.Create(filepath.Join(fleet.dir, controller.name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(fleet.old, fleet.args(controller)...)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+controller.config)
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		log.Close()
		go func() { _ = cmd.Wait() }()
		fleet.write(controller.name+".pid", strconv.Itoa(cmd.Process.Pid))
		fleet.wg.Go(func() { fleet.follow(i) })
	}
	for i := range fleet.at {
		fleet.until("all serve", func() bool { return fleet.ready(i) })
	}
	return fleet
}

func (s *staged) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *staged) args(c controller) []string {
	return []string{"--callcontrol", filepath.Join(s.dir, c.name+".toml")}
}

func (s *staged) pid(i int) int {
	text, err := os.ReadFile(filepath.Join(s.dir, s.at[i].name+".pid"))
	if err != nil {
		return 0
	}
	pid, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return pid
}

// program is what a controller runs now.
func (s *staged) program(i int) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", s.pid(i)))
	name, _, _ := bytes.Cut(text, []byte{0})
	return string(name)
}

func (s *staged) ready(i int) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + s.at[i].health + "/ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// follow places calls at a controller while it says that it is ready.
func (s *staged) follow(i int) {
	var now *load
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		switch ready := s.ready(i); {
		case ready && now == nil:
			now = newLoad(s.t, s.at[i].listen)
			s.mu.Lock()
			s.loads = append(s.loads, now)
			s.mu.Unlock()
			if now.place(60) != nil { // it went just then
				now = nil
			}
		case !ready && now != nil:
			now.end()
			now = nil
		}
	}
}

func (s *staged) until(what string, cond func() bool) {
	s.t.Helper()
	waitFor(s.t, what, cond)
}

// file writes the rollout file, and returns its path.
func (s *staged) file() string {
	var b strings.Builder
	fmt.Fprintf(&b, `stages = ["1", "50%%", "100%%"]
min_time = "800ms"
most_time = "20s"
min_calls = 40
look_every = "100ms"
tolerance = 0.1
stop_within = "5s"
ready_in = "10s"
[old]
binary = %q
[new]
binary = %q
`, s.old, s.new)
	for _, c := range s.at {
		args, pidFile, log := s.args(c), filepath.Join(s.dir, c.name+".pid"), filepath.Join(s.dir, c.name+".log")
		fmt.Fprintf(&b, "[[controller]]\nname = %q\nargs = [%q, %q]\nconfig = %q\n", c.name, args[0], args[1], c.config)
		fmt.Fprintf(&b, "pid_file = %q\nlog = %q\nhealth = %q\n", pidFile, log, c.health)
		if c.newConfig != "" {
			fmt.Fprintf(&b, "new_config = %q\n", c.newConfig)
		}
	}
	return s.write("rollout.toml", b.String())
}

// change makes it a change of the settings alone.
func (s *staged) change(to func(i int, text string) string) {
	s.new = s.old
	for i := range s.at {
		c := &s.at[i]
		text, err := os.ReadFile(c.config)
		if err != nil {
			s.t.Fatal(err)
		}
		c.newConfig = s.write(c.name+"-new.json", to(i, string(text)))
	}
}

// tool starts eidertrail rollout start as a process of its own.
func (s *staged) tool(file string) (*exec.Cmd, *bytes.Buffer) {
	s.t.Helper()
	var out bytes.Buffer
	cmd := exec.Command(s.old, "rollout", "start", file, "--state", s.state)
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, &out
}

// phase is what the state file says, and how many are new.
func (s *staged) phase() (phase string, stage, changed int, moving string) {
	text, _ := os.ReadFile(s.state)
	for _, c := range gjson.GetBytes(text, "controllers").Array() {
		if c.Get("version").Str == "new" {
			changed++
		}
		if c.Get("moving").Str != "" {
			moving = c.Get("name").Str
		}
	}
	return gjson.GetBytes(text, "phase").Str, int(gjson.GetBytes(text, "stage").Int()), changed, moving
}

// check compares how the rollout ended, and fails the test where a call was lost. lost is how many controllers
// were killed: what was open at them is.
func (s *staged) check(phase string, program string, killed bool) (placed, rejected int) {
	s.t.Helper()
	if is, _, _, _ := s.phase(); is != phase {
		s.t.Errorf("phase %q, want %q", is, phase)
	}
	for i, c := range s.at {
		if is := s.program(i); is != program && !strings.HasSuffix(is, "/sh") {
			s.t.Errorf("%s runs %s, want %s", c.name, is, program)
		}
	}
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	loads := s.loads
	s.mu.Unlock()
	for _, l := range loads {
		if killed {
			l.end()
		} else {
			l.check()
		}
		p, _, r, _ := l.counts()
		placed, rejected = placed+p, rejected+r
	}
	return placed, rejected
}

func TestRollout_GoodBuildIsDone(t *testing.T) {
	t.Parallel()
	controllers := newStaged(t, 5)
	began := time.Now()
	cmd, out := controllers.tool(controllers.file())
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	took := time.Since(began)
	placed, rejected := controllers.check("done", controllers.new, false)
	t.Logf("five controllers in %v; %d calls placed, %d rejected, none lost",
		took.Round(100*time.Millisecond), placed, rejected)
	if rejected*20 > placed {
		t.Errorf("%d of %d calls were rejected", rejected, placed)
	}
}

// A new build that refuses every call is stopped at the first stage and taken back, and no call is lost.
func TestRollout_BuildThatRejectsCallsIsRolledBack(t *testing.T) {
	t.Parallel()
	controllers := newStaged(t, 4)
	if err := os.Remove(controllers.new); err != nil {
		t.Fatal(err)
	}
	controllers.write("eidertrail-new", fmt.Sprintf(`#!/bin/sh
[ "$1" = check ] && exec %[1]s "$@"
sed 's/"extra":{/"extra":{"shape":"skills","allowed_pools":[[7]],/' "$RELAY_CONFIG" > "$RELAY_CONFIG.bad"
RELAY_CONFIG="$RELAY_CONFIG.bad" exec %[1]s "$@"
`, controllers.old))
	if err := os.Chmod(controllers.new, 0o700); err != nil {
		t.Fatal(err)
	}
	cmd, out := controllers.tool(controllers.file())
	maxChanged := 0
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	var err error
	for ended := false; !ended; {
		select {
		case err = <-done:
			ended = true
		case <-time.After(5 * time.Millisecond):
			_, _, changed, _ := controllers.phase()
			maxChanged = max(maxChanged, changed)
		}
	}
	if err == nil || !strings.Contains(out.String(), "stopped and taken back: stage 1") {
		t.Errorf("the tool ended with %v:\n%s", err, out)
	}
	if maxChanged > 1 {
		t.Errorf("%d controllers were new at a time, want the first stage's one", maxChanged)
	}
	placed, rejected := controllers.check("aborted", controllers.old, false)
	t.Logf("%d calls placed, %d rejected before the stage was stopped", placed, rejected)
	if rejected == 0 {
		t.Error("the bad build rejected nothing")
	}
}

// A new process that is killed during its start is started again; and the tool, killed in the middle, goes on
// where it was.
func TestRollout_GoesOnAfterItWasKilled(t *testing.T) {
	t.Parallel()
	controllers := newStaged(t, 4)
	file := controllers.file()
	cmd, _ := controllers.tool(file)
	controllers.until("n1 is being moved", func() bool { _, _, _, m := controllers.phase(); return m == "n1" })
	before := controllers.pid(1)
	controllers.until("its new process begins", func() bool {
		pid := controllers.pid(1)
		return pid != before && pid > 0
	})
	if err := syscall.Kill(controllers.pid(1), syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	controllers.until("n2 is being moved", func() bool { _, _, _, m := controllers.phase(); return m == "n2" })
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if phase, _, _, _ := controllers.phase(); phase != "running" {
		t.Fatalf("phase %q", phase)
	}
	status, err := exec.Command(controllers.old, "rollout", "status", "--state", controllers.state).CombinedOutput()
	if err != nil || !strings.Contains(string(status), "n2: old (being made new)") {
		t.Errorf("status: %v\n%s", err, status)
	}
	cmd, out := controllers.tool(file)
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "going on") {
		t.Fatalf("%v\n%s", err, out)
	}
	controllers.check("done", controllers.new, true)
}

// Settings that fail their check at one stage: the controller is not touched, and the change is taken back.
func TestRollout_SettingsThatFailTheirCheckAreRolledBack(t *testing.T) {
	t.Parallel()
	controllers := newStaged(t, 3)
	controllers.change(func(i int, text string) string {
		if i == 1 {
			text = strings.Replace(text, `"deadline":15000000000`, `"deadline":-1`, 1)
		}
		return strings.Replace(text, `"promise":1000000000`, `"promise":1100000000`, 1)
	})
	file := controllers.file()
	plan, err := exec.Command(controllers.old, "rollout", "plan", file).CombinedOutput()
	if err != nil || !strings.Contains(string(plan), "n0: restart (settings changes only at a restart)") {
		t.Errorf("plan: %v\n%s", err, plan)
	}
	pids := []int{controllers.pid(0), controllers.pid(1), controllers.pid(2)}
	cmd, out := controllers.tool(file)
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "settings.request_classes.0.deadline") {
		t.Errorf("%v\n%s", err, out)
	}
	controllers.check("aborted", controllers.old, false)
	if controllers.pid(1) != pids[1] || controllers.pid(2) != pids[2] || controllers.pid(0) == pids[0] {
		t.Errorf("processes %v became %d %d %d: only the first was to be restarted",
			pids, controllers.pid(0), controllers.pid(1), controllers.pid(2))
	}
	for _, c := range controllers.at {
		if text, _ := os.ReadFile(c.config); !strings.Contains(string(text), `"promise":1000000000`) {
			t.Errorf("%s is left with the new settings", c.name)
		}
	}
}

// Settings that a running controller takes over go in by SIGHUP: no process ends. An abort takes them back.
func TestRollout_SettingsBySIGHUPAndAbort(t *testing.T) {
	t.Parallel()
	controllers := newStaged(t, 3)
	controllers.change(func(_ int, text string) string {
		return strings.Replace(text, `"memory_mb":192`, `"memory_mb":128`, 1)
	})
	file := controllers.file()
	f, err := runner.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if restart, why, err := f.Restarts(f.Controllers[0]); restart || err != nil {
		t.Errorf("restart %v, %s, %v", restart, why, err)
	}
	pids := []int{controllers.pid(0), controllers.pid(1), controllers.pid(2)}
	cmd, out := controllers.tool(file)
	controllers.until("the second stage", func() bool {
		_, stage, changed, _ := controllers.phase()
		return stage == 1 && changed == 2
	})
	if err := runner.Run(context.Background(), f, controllers.state, zerolog.Nop()); !errors.Is(err, runner.ErrBusy) {
		t.Errorf("a second tool: %v", err)
	}
	text, err := exec.Command(controllers.old, "rollout", "abort", "--state", controllers.state).CombinedOutput()
	if err != nil {
		t.Errorf("abort: %v\n%s", err, text)
	}
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "the operator aborted it") {
		t.Errorf("%v\n%s", err, out)
	}
	controllers.check("aborted", controllers.old, false)
	for i := range controllers.at {
		if controllers.pid(i) != pids[i] {
			t.Errorf("n%d was restarted", i)
		}
		if text, _ := os.ReadFile(controllers.at[i].config); !strings.Contains(string(text), `"memory_mb":192`) {
			t.Errorf("n%d is left with the new settings", i)
		}
	}
}

func TestRollout_BadFileNamesTheField(t *testing.T) {
	controller := func(name string) string {
		return fmt.Sprintf("[[controller]]\nname = %q\nconfig = \"c\"\npid_file = \"p\"\nlog = \"l\"\nhealth = \"h\"\n", name)
	}
	good := "stages = [\"1\", \"100%\"]\n[old]\nbinary = \"a\"\n[new]\nbinary = \"b\"\n" +
		controller("n0") + controller("n1")
	if _, err := runner.Load(daemontest.WriteFile(t, "good.toml", good)); err != nil {
		t.Fatal(err)
	}
	for field, text := range map[string]string{
		"stages:":              strings.Replace(good, `"100%"`, `"150%"`, 1),
		"confidence:":          "confidence = 2\n" + good,
		"min_calls:":           "min_calls = 1\n" + good,
		"old.binary":           strings.Replace(good, `binary = "a"`, "", 1),
		"controller[1].health": strings.TrimSuffix(good, "health = \"h\"\n"),
		"controller[0].new":    strings.Replace(good, `binary = "b"`, `binary = "a"`, 1),
		"controller:":          strings.Replace(good, `name = "n1"`, `name = "n0"`, 1),
		"colour:":              "colour = 1\n" + good,
	} {
		_, err := runner.Load(daemontest.WriteFile(t, "bad.toml", text))
		if err == nil || !strings.HasPrefix(err.Error(), "rollout: "+field) {
			t.Errorf("%s %v", field, err)
		}
	}
}
