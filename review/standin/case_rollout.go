package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["rollout"] = caseRollout }

// caseRollout: a second staged change is taken back after an earlier one was.
func caseRollout(e *env) int {
	const (
		told  = 7 * time.Second
		grace = 500*time.Millisecond + 50*time.Millisecond
	)
	pools, targets, err := newPools(e, 5, 60, "tbilisi")
	if err != nil {
		return e.fail("%v", err)
	}
	for _, p := range pools {
		p.set(func() { p.hold = 9 * time.Second })
	}
	first, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	second, err := newBulletin(e.rec, targets)
	if err != nil {
		return e.fail("%v", err)
	}
	var nodes []*controller
	for i := range 2 {
		c := newController(e, fmt.Sprintf("n%d", i+1), tbilisi(5), first)
		file := filepath.Join(c.dir, "callcontrol.toml")
		c.health = freePort()
		if err := os.WriteFile(file, []byte(fmt.Sprintf("health = \"%s\"\n", c.health)), 0o600); err != nil {
			return e.fail("%v", err)
		}
		c.args = "-callcontrol " + file
		if err := c.start(first); err != nil {
			return e.fail("%v", err)
		}
		os.WriteFile(filepath.Join(c.dir, "pid"), []byte(fmt.Sprint(c.cmd.Process.Pid)), 0o600)
		nodes = append(nodes, c)
	}
	for _, c := range nodes {
		if !c.ready(20 * time.Second) {
			return e.fail("%s is not ready", c.name)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, c := range nodes {
		conn, err := dialCaller(e.rec, e.book, "caller of "+c.name, c.listen)
		if err != nil {
			return e.fail("%v", err)
		}
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				conn.setUp(id(i+1, n), "avail-read", 5*time.Second, n%5)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		// An earlier change, of the memory limit, which the operator takes back.
		if err := e.takenBack("change1", nodes, 160, first); err != nil {
			return e.fail("%v", err)
		}
	}
	// The bulletin moves: a new configuration and SIGHUP. The old address tells nothing more.
	e.rec.logf("the bulletin moves from %s to %s", first.addr, second.addr)
	for _, c := range nodes {
		c.config["bulletin"] = second.addr
		if err := c.writeConfig(); err != nil {
			return e.fail("%v", err)
		}
		c.signal(syscall.SIGHUP)
	}
	time.AfterFunc(1500*time.Millisecond, func() { first.server.Close() })
	time.Sleep(4 * time.Second)
	// A further change, of the memory limit again, and the operator takes it back, too.
	if err := e.takenBack("change2", nodes, 176, second); err != nil {
		return e.fail("%v", err)
	}
	time.Sleep(2 * time.Second)
	for _, c := range nodes {
		text, _ := os.ReadFile(filepath.Join(c.dir, "config.json"))
		var in struct{ Bulletin string }
		json.Unmarshal(text, &in)
		e.rec.say("%s: the configuration in force names the bulletin %s, and it is at %s", c.name, in.Bulletin, second.addr)
	}
	draining := targets[0]
	draining.State = "draining"
	event := second.add(draining)
	time.Sleep(told + grace + 4*time.Second)
	late, before := 0, 0
	pools[0].set(func() {
		for _, i := range pools[0].invites {
			if i.at.Before(event) {
				before++
			}
			if after := i.at.Sub(event); after > told+grace {
				late++
				e.rec.logf("check: set-up %s came to the draining pool %.3f s after the event", i.id, after.Seconds())
			}
		}
	})
	for _, c := range nodes {
		c.appendLog(10)
	}
	e.rec.say("%d set-ups came to pool1 before its drain, and %d later than 7.55 s after the bulletin held its drain", before, late)
	if before == 0 {
		return e.fail("pool1 was not used")
	}
	if late > 0 {
		return broken
	}
	return held
}

// takenBack begins a staged change of limits.memory_mb at all nodes and has it taken back by the operator.
func (e *env) takenBack(name string, nodes []*controller, memoryMB int, b *bulletin) error {
	binary := filepath.Join("bin", "eidertrail")
	var file strings.Builder
	fmt.Fprintf(&file, "stages = [\"1\", \"2\"]\nmin_time = \"30s\"\nmin_calls = 100\nmost_time = \"1m\"\nlook_every = \"500ms\"\n[old]\nbinary = %q\n[new]\nbinary = %q\n", binary, binary)
	for _, c := range nodes {
		config := map[string]any{}
		for key, value := range c.config {
			config[key] = value
		}
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
		config["known"], _ = b.page(0)
		text, _ := json.MarshalIndent(config, "", " ")
		path := filepath.Join(c.dir, name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		fmt.Fprintf(&file, "[[controller]]\nname = %q\nargs = [%q, %q]\nconfig = %q\nnew_config = %q\npid_file = %q\nlog = %q\nhealth = %q\n", c.name,
			"-callcontrol", filepath.Join(c.dir, "callcontrol.toml"), filepath.Join(c.dir, "config.json"), path, filepath.Join(c.dir, "pid"), filepath.Join(c.dir, "log"), c.health)
	}
	toml, state := filepath.Join(e.tmp, name+".toml"), filepath.Join(e.tmp, name+".state")
	if err := os.WriteFile(toml, []byte(file.String()), 0o600); err != nil {
		return err
	}
	run, err := runCommand(e.root)
	if err != nil {
		return err
	}
	tool := exec.Command("/bin/sh", "-c", run+" rollout start "+toml+" --state "+state)
	tool.Dir = e.root
	out, err := os.Create(state + ".out")
	if err != nil {
		return err
	}
	defer out.Close()
	tool.Stdout, tool.Stderr = out, out
	if err := tool.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, tool)
	startedMu.Unlock()
	e.rec.logf("%s: rollout start of memory_mb %d, process %d", name, memoryMB, tool.Process.Pid)
	ended := make(chan struct{})
	go func() { tool.Wait(); close(ended) }()
	if !wait(15*time.Second, func() bool {
		text, _ := os.ReadFile(state)
		return strings.Contains(string(text), "controllers are new")
	}) {
		text, _ := os.ReadFile(state + ".out")
		return fmt.Errorf("%s: its first stage was not reached: %s", name, text)
	}
	time.Sleep(time.Second)
	e.rec.logf("%s: rollout abort", name)
	abort := exec.Command("/bin/sh", "-c", run+" rollout abort --state "+state)
	abort.Dir = e.root
	if text, err := abort.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: abort: %v: %s", name, err, text)
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("%s: it did not end", name)
	}
	text, _ := os.ReadFile(state + ".out")
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		e.rec.logf("%s: %s", name, line)
	}
	if !strings.Contains(string(text), "all controllers are old again") {
		return fmt.Errorf("%s: it was not taken back: %s", name, text)
	}
	return nil
}
