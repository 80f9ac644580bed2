package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// controller is one session controller, as the platform starts it.
type controller struct {
	rec    *record
	root   string // of the repository
	folder string // temporary
	name   string

	temporary string // TMPDIR
	listen    string
	control   string
	config    string
	args      string // of the program, beside the deploy file's
	health    string
	site      site

	bulletin *bulletin

	process *exec.Cmd
	ended   chan error
}

// site is what differs between the cases' settings.
type site struct {
	pools   []*pool
	classes []class
	half    bool // memory and descriptors are cut by half
}

// class is a class of calls; times in ms.
type class struct {
	name                    string
	promise, deadline, hold int
	effect                  string
}

// The classes of the deployment tbilisi-main: its site file and the brief.
func tbilisiClasses() []class {
	return []class{
		{"avail-read", 5000, 15000, 9500, "safe"},
		{"stop-sell", 1500, 6000, 7600, "safe"},
		{"rate-push", 5000, 15000, 7600, "safe"},
	}
}

const millisecond = 1_000_000 // nanoseconds

func (s site) settings() map[string]any {
	var classes, allowed, hold []any
	groups := make([]int, len(s.pools))
	for i := range groups {
		groups[i] = i
	}
	for _, c := range s.classes {
		classes = append(classes, map[string]any{
			"name": c.name, "promise": c.promise * millisecond, "deadline": c.deadline * millisecond,
			"worth": 1, "late_worth": 0.25, "effect": c.effect, "group": "all", "streaming": true,
			"window": 5000 * millisecond,
		})
		allowed = append(allowed, groups)
		hold = append(hold, c.hold*millisecond)
	}
	return map[string]any{
		"balancers": 5, "index": 0, "tick": 5 * millisecond,
		"caps": map[string]any{
			"max_attempts": 6, "connect_timeout": 500 * millisecond, "max_retry_after": 2000 * millisecond, "cancel": true,
		},
		"extra": map[string]any{
			"here": -1, "shape": "skills", "allowed_pools": allowed, "clear_wait": 300 * millisecond, "t1": 0, "mean_hold": hold,
		},
		"request_classes": classes,
		"rules": map[string]any{
			"cold": 14000 * millisecond, "cold_share": 0.3, "fall_multiple": 3, "tip_after": 1500 * millisecond,
			"drain_grace": 500 * millisecond,
		},
		"stats": map[string]any{"names": []string{"x0", "x1", "eps", "latency_ms"}, "via": "piggyback"},
	}
}

// roster is the bulletin's first event: the whole list.
func (s site) roster() map[string]any {
	targets := []any{}
	for i := range s.pools {
		targets = append(targets, s.target(i, "up"))
	}
	return map[string]any{"no": 1, "items": []any{
		map[string]any{"no": 1, "roster": map[string]any{"rev": 1, "all": true, "targets": targets}},
	}}
}

// target is the list's line of a pool.
func (s site) target(i int, state string) map[string]any {
	return map[string]any{
		"uid": fmt.Sprintf("s-%08x", 0x41f7a+i), "endpoint": s.pools[i].addr, "az": "tbilisi", "model": "std-1core",
		"pod_group": i, "state": state, "capacity_hint": 1, "boot_ms": 0,
	}
}

// bulletin is the platform's list of sync pools. The list's first event is in every configuration.
type bulletin struct {
	rec    *record
	name   string
	addr   string
	server *http.Server

	mu     sync.Mutex
	events []map[string]any // after the first
	news   chan struct{}    // closed by tell
	polls  int
}

func startBulletin(rec *record, name string) (*bulletin, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{rec: rec, name: name, addr: listener.Addr().String(), news: make(chan struct{})}
	b.server = &http.Server{Handler: http.HandlerFunc(b.poll)}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

func (b *bulletin) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	b.mu.Lock()
	if b.polls++; b.polls == 1 {
		b.rec.logf("%s: first poll, after=%d", b.name, after)
	}
	news := b.news
	b.mu.Unlock()
	if b.last() <= after {
		select {
		case <-news:
		case <-time.After(time.Duration(min(patience, 5000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	items := []map[string]any{}
	for _, event := range b.events {
		if event["no"].(int) > after {
			items = append(items, event)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"no": 1 + len(b.events), "items": items})
}

func (b *bulletin) last() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 1 + len(b.events)
}

// tell adds an event with one line of the list.
func (b *bulletin) tell(target map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := 2 + len(b.events)
	b.events = append(b.events, map[string]any{"no": no, "roster": map[string]any{
		"rev": no, "all": false, "targets": []any{target},
	}})
	close(b.news)
	b.news = make(chan struct{})
	b.rec.logf("%s: event %d, %v is %v", b.name, no, target["uid"], target["state"])
}

// freeAddress is a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func newController(rec *record, root, folder, name string, s site, bulletin *bulletin) (*controller, error) {
	folder = filepath.Join(folder, name)
	err := os.Mkdir(folder, 0o700)
	if err != nil {
		return nil, err
	}
	if bulletin == nil {
		if bulletin, err = startBulletin(rec, "bulletin"); err != nil {
			return nil, err
		}
	}
	c := &controller{
		rec: rec, root: root, folder: folder, name: name, config: filepath.Join(folder, "config.json"), bulletin: bulletin, site: s,
	}
	if c.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if c.control, err = freeAddress(); err != nil {
		return nil, err
	}
	return c, c.writeConfig(c.config, bulletin.addr, 192)
}

// writeConfig writes a configuration of the controller, in one step.
func (c *controller) writeConfig(path, bulletin string, memoryMB int) error {
	sockets := 1024
	if c.site.half {
		memoryMB, sockets = memoryMB/2, sockets/2
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": c.name, "listen": c.listen, "control": c.control, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"bulletin": bulletin, "known": c.site.roster(), "settings": c.site.settings(),
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// withCallControl has the second front on, at the address returned.
func (c *controller) withCallControl() (address string, err error) {
	if address, err = freeAddress(); err != nil {
		return "", err
	}
	file := filepath.Join(c.folder, "callcontrol.toml")
	c.args = " -callcontrol " + file
	if c.health, err = freeAddress(); err != nil {
		return "", err
	}
	text := fmt.Sprintf("listen = %q\npath = \"/call-control\"\norigins = []\nmax_connections = 64\nhealth = %q\n",
		address, c.health)
	return address, os.WriteFile(file, []byte(text), 0o600)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the process by the deploy file's run command. Its temporary folder is its own, and empty, unless the
// controller has a process already: then it is that one's.
func (c *controller) start() error {
	deploy, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("the deploy file has no run")
	}
	if c.process == nil {
		if c.temporary, err = os.MkdirTemp(c.folder, "tmp"); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(c.folder, "controller.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", string(run[1])+c.args)
	command.Dir = c.root
	command.Env = append(os.Environ(), "RELAY_NAME="+c.name, "RELAY_LISTEN="+c.listen, "RELAY_CONFIG="+c.config,
		"RELAY_CONTROL="+c.control, "TMPDIR="+c.temporary)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(command); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	c.process, c.ended = command, ended
	c.rec.logf("%s: started", c.name)
	return c.awaitReady()
}

// awaitReady waits until the process says that it is ready, 30 s at most.
func (c *controller) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + c.control + "/_ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			c.rec.logf("%s: ready", c.name)
			return nil
		}
	}
	return fmt.Errorf("the controller is not ready")
}

// restart is a planned restart: SIGTERM, and the process is started again once it has ended.
func (c *controller) restart() error {
	c.rec.logf("%s: SIGTERM", c.name)
	if err := c.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-c.ended:
		c.process = nil
		c.rec.logf("%s: ended", c.name)
	case <-time.After(3700 * time.Millisecond):
		c.kill()
	}
	return c.start()
}

// kill ends the process and all that it started.
func (c *controller) kill() {
	if c.process == nil {
		return
	}
	_ = syscall.Kill(-c.process.Process.Pid, syscall.SIGKILL)
	select {
	case <-c.ended:
	case <-time.After(5 * time.Second):
	}
	c.process = nil
	c.rec.logf("%s: killed", c.name)
}

// copyLog appends the controller's log to the record, but for its noise.
func (c *controller) copyLog() {
	text, err := os.ReadFile(filepath.Join(c.folder, "controller.log"))
	if err != nil {
		return
	}
	c.rec.logf("%s: its log:", c.name)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	const most = 400
	for i, line := range lines {
		if i >= most {
			c.rec.logf("... %d lines more", len(lines)-most)
			return
		}
		c.rec.logf("  %s", line)
	}
}
