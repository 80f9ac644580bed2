package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// class is a class of the settings.
type class struct {
	name             string
	promise, dead    time.Duration
	worth, lateWorth float64
}

// site is the part of the settings by which the cases differ.
type site struct {
	classes     []class
	pools       int     // groups that every class may use: 0 to pools-1
	allowed     [][]int // by class, where that differs
	unsafe      string  // the class that must not be set up twice; "": none
	release     time.Duration
	maxAttempts int
	retryAfter  bool
}

// lakes and tbilisi are settings like those of the two deployments.
func lakes(pools int) site {
	return site{
		classes:     []class{{"lookup", 1200 * time.Millisecond, 9 * time.Second, 1, 0.1}, {"store", 1200 * time.Millisecond, 9 * time.Second, 2, 0.1}},
		pools:       pools,
		release:     500 * time.Millisecond,
		maxAttempts: 4,
		retryAfter:  true,
	}
}

func tbilisi(pools int) site {
	return site{
		classes:     []class{{"avail-read", 5 * time.Second, 15 * time.Second, 1, 0.25}, {"stop-sell", 1500 * time.Millisecond, 6 * time.Second, 5, 0.25}, {"rate-push", 5 * time.Second, 15 * time.Second, 3, 0.1}},
		pools:       pools,
		release:     300 * time.Millisecond,
		maxAttempts: 6,
	}
}

func (s site) settings() map[string]any {
	var classes []any
	var allowed, hold, widths []any
	groups := []int{}
	for i := range s.pools {
		groups = append(groups, i)
	}
	for i, c := range s.classes {
		if s.allowed != nil {
			groups = s.allowed[i]
		}
		effect := "safe"
		if c.name == s.unsafe {
			effect = "unsafe"
		}
		classes = append(classes, map[string]any{"name": c.name, "promise": c.promise.Nanoseconds(), "deadline": c.dead.Nanoseconds(),
			"worth": c.worth, "late_worth": c.lateWorth, "effect": effect})
		allowed, hold, widths = append(allowed, groups), append(hold, int64(9e9)), append(widths, 1)
	}
	return map[string]any{
		"balancers": 1, "index": 0, "request_classes": classes,
		"caps":  map[string]any{"max_attempts": s.maxAttempts, "connect_timeout": int64(500e6), "max_retry_after": int64(2e9), "retry_after": s.retryAfter, "cancel": true, "peers": true},
		"extra": map[string]any{"here": -1, "shape": "skills", "allowed_pools": allowed, "clear_wait": s.release.Nanoseconds(), "t1": 0, "mean_hold": hold, "widths": widths},
		"rules": map[string]any{"cold": int64(14e9), "cold_share": 0.3, "fall_multiple": 3, "tip_after": int64(1500e6), "drain_grace": int64(500e6)},
		"stats": map[string]any{"names": []string{"idle", "circuits"}, "via": "piggyback"},
		"tick":  int64(5e6),
	}
}

// controller is one process of the deploy file's run command.
type controller struct {
	rec     *record
	name    string
	root    string
	dir     string
	listen  string
	control string
	health  string // of the call control file
	args    string
	config  map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// killAll ends what the case has started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, cmd := range started {
		if cmd.ProcessState == nil {
			cmd.Process.Signal(syscall.SIGCONT)
			cmd.Process.Kill()
		}
	}
}

// freePort returns a loopback address that nothing listens on.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runCommand is the run command of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("no run in the deploy file")
}

func newController(e *env, name string, s site, b *bulletin) *controller {
	c := &controller{rec: e.rec, name: name, root: e.root, dir: filepath.Join(e.tmp, name), listen: freePort(), control: freePort()}
	os.MkdirAll(filepath.Join(c.dir, "tmp"), 0o700)
	known, _ := b.page(0)
	c.config = map[string]any{
		"name": name, "listen": c.listen, "control": c.control, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": b.addr, "known": known, "settings": s.settings(),
	}
	return c
}

// start starts the process; known is what the bulletin holds now.
func (c *controller) start(b *bulletin) error {
	c.config["known"], _ = b.page(0)
	if err := c.writeConfig(); err != nil {
		return err
	}
	path := filepath.Join(c.dir, "config.json")
	run, err := runCommand(c.root)
	if err != nil {
		return err
	}
	if c.args != "" {
		run += " " + c.args
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = c.root
	cmd.Env = append(os.Environ(), "RELAY_NAME="+c.name, "RELAY_LISTEN="+c.listen, "RELAY_CONTROL="+c.control, "RELAY_CONFIG="+path,
		"TMPDIR="+filepath.Join(c.dir, "tmp"), "GOMAXPROCS=1")
	log, err := os.OpenFile(filepath.Join(c.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		log.Close()
		c.rec.logf("%s: process %d has ended (%v)", c.name, cmd.Process.Pid, err)
		close(exited)
	}()
	c.mu.Lock()
	c.cmd, c.exited = cmd, exited
	c.mu.Unlock()
	c.rec.logf("%s: process %d started: %s", c.name, cmd.Process.Pid, run)
	return nil
}

// writeConfig replaces the configuration file.
func (c *controller) writeConfig() error {
	text, err := json.MarshalIndent(c.config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.dir, "config.json"), text, 0o600)
}

func (c *controller) signal(s syscall.Signal) {
	c.rec.logf("%s: %v to process %d", c.name, s, c.cmd.Process.Pid)
	c.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (c *controller) kill() {
	c.signal(syscall.SIGKILL)
	<-c.exited
}

// ready asks at the clients' address, on connections of its own, until the answer is yes.
func (c *controller) ready(most time.Duration) bool {
	return wait(most, func() bool {
		front, err := dialCaller(c.rec, newBook(), "front", c.listen)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			return false
		}
		defer front.close()
		if front.ping() {
			c.rec.logf("%s: ready", c.name)
			return true
		}
		time.Sleep(50 * time.Millisecond)
		return false
	})
}

// appendLog adds the end of the controller's log to the record.
func (c *controller) appendLog(lines int) {
	file, err := os.Open(filepath.Join(c.dir, "log"))
	if err != nil {
		return
	}
	defer file.Close()
	var last []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if last = append(last, scanner.Text()); len(last) > lines {
			last = last[1:]
		}
	}
	c.rec.logf("the last lines of %s's log:", c.name)
	for _, line := range last {
		c.rec.logf("  log: %s", line)
	}
}
