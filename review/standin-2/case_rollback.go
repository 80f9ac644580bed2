package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The rule on drains, on sockets: 7 s until news of the bulletin counts as told, 0.5 s to stop, 0.05 s more for sockets.
const drainLimit = 7*time.Second + 500*time.Millisecond + 50*time.Millisecond

// rollBack has a rollout rolled back, then a new configuration with SIGHUP that moves the bulletin, then a second rollout
// rolled back. The bulletin tells of a drain after that.
func rollBack(w *world) error {
	pools, err := w.pools(5, 20*time.Millisecond)
	if err != nil {
		return err
	}
	s := site{pools: pools, classes: tbilisiClasses()}
	c, err := w.controller(s)
	if err != nil {
		return err
	}
	_, err = w.another("n1", s, c.bulletin)
	if err != nil {
		return err
	}
	for _, one := range w.controllers {
		if _, err := one.withCallControl(); err != nil {
			return err
		}
		if err := one.start(); err != nil {
			return err
		}
		pid := strconv.Itoa(one.process.Process.Pid) + "\n"
		if err := os.WriteFile(one.pidFile(), []byte(pid), 0o600); err != nil {
			return err
		}
	}
	if w.trouble {
		if err := w.rolledBack("first", c.bulletin.addr); err != nil {
			return err
		}
	}
	moved, err := startBulletin(w.rec, "new bulletin")
	if err != nil {
		return err
	}
	w.rec.logf("new configurations: the bulletin is elsewhere; SIGHUP")
	for _, one := range w.controllers {
		if err := one.writeConfig(one.config, moved.addr, 192); err != nil {
			return err
		}
		if err := one.process.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	c.bulletin.leave()
	time.Sleep(2500 * time.Millisecond)
	if moved.polls < 2 {
		return fmt.Errorf("the new bulletin is not read")
	}
	if err := w.rolledBack("second", moved.addr); err != nil {
		return err
	}
	text, err := os.ReadFile(c.config)
	if err != nil {
		return err
	}
	w.rec.logf("the configuration after the rollback names the new bulletin: %v, the old one: %v",
		strings.Contains(string(text), moved.addr), strings.Contains(string(text), c.bulletin.addr))
	time.Sleep(3 * time.Second)
	told := time.Now()
	moved.tell(s.target(0, "draining"))
	conn, err := connect(w.rec, "caller", c.listen, nil)
	if err != nil {
		return err
	}
	for time.Since(told) < 20*time.Second {
		conn.setup("avail-read", 0, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
	}
	conn.awaitFinals(6 * time.Second)
	late := 0
	pools[0].set(func(p *pool) {
		for _, one := range p.setups {
			if after := one.at.Sub(told); after > drainLimit {
				if late++; late <= 5 {
					w.rec.logf("BROKEN set-up %s at pool0 %d ms after the bulletin told that it drains", one.id, after.Milliseconds())
				}
			}
		}
	})
	w.rec.sayf("set-ups at a pool that drains, later than %v after the bulletin's event: %d of %d calls",
		drainLimit, late, len(conn.all()))
	if late > 0 {
		return errBroken
	}
	return nil
}

func (c *controller) pidFile() string { return filepath.Join(c.folder, "pid") }

// rolledBack begins a rollout of another memory limit, and has it rolled back once the first controller is new.
func (w *world) rolledBack(name, bulletin string) error {
	program, state := filepath.Join(w.root, "bin", "eidertrail"), filepath.Join(w.folder, name+"-state.json")
	text := fmt.Sprintf("stages = [\"1\", \"2\"]\n[old]\nbinary = %q\n[new]\nbinary = %q\n", program, program)
	for _, c := range w.controllers {
		next := filepath.Join(c.folder, name+"-next.json")
		if err := c.writeConfig(next, bulletin, 160); err != nil {
			return err
		}
		text += fmt.Sprintf("[[controller]]\nname = %q\nargs = [\"-callcontrol\", %q]\nconfig = %q\nnew_config = %q\n"+
			"pid_file = %q\nlog = %q\nhealth = %q\n", c.name, filepath.Join(c.folder, "callcontrol.toml"), c.config, next,
			c.pidFile(), filepath.Join(c.folder, "controller.log"), c.health)
	}
	plan := filepath.Join(w.folder, name+".toml")
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		return err
	}
	w.rec.logf("%s rollout: start", name)
	output, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	start := exec.Command(program, "rollout", "start", plan, "--state", state)
	start.Stdout, start.Stderr = output, output
	start.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := start.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- start.Wait() }()
	status := func() string {
		text, _ := exec.Command(program, "rollout", "status", "--state", state).CombinedOutput()
		return string(text)
	}
	for until := time.Now().Add(15 * time.Second); !strings.Contains(status(), "n0: new"); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			_ = start.Process.Kill()
			said, _ := os.ReadFile(output.Name())
			return fmt.Errorf("the %s rollout does not make the controller new: %s %s", name, status(), said)
		}
	}
	w.rec.logf("%s rollout: n0 is new; abort", name)
	if text, err := exec.Command(program, "rollout", "abort", "--state", state).CombinedOutput(); err != nil {
		return fmt.Errorf("abort: %w: %s", err, text)
	}
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		_ = start.Process.Kill()
		return fmt.Errorf("the %s rollout does not end", name)
	}
	w.rec.logf("%s rollout: %s", name, strings.ReplaceAll(strings.TrimSpace(status()), "\n", "; "))
	if !strings.Contains(status(), "n0: old") {
		return fmt.Errorf("the %s rollout is not rolled back", name)
	}
	return nil
}
