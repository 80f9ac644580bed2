package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// build makes the daemon's binary, as the deploy build does.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "eidertrail")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// invites counts the INVITEs each stand-in pool got, and when the last came.
type invites struct {
	mu   sync.Mutex
	by   map[string]int
	last map[string]time.Time
}

func (v *invites) pool(t *testing.T, name string) (*fakeplatform.Pool, string) {
	p := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method != "INVITE" {
			return
		}
		v.mu.Lock()
		v.by[name]++
		v.last[name] = time.Now()
		v.mu.Unlock()
		q.Answer(200, "", "v=0\r\ns="+name+"\r\n")
		q.Bye(16)
	}}
	return p, p.Listen(t)
}

func (v *invites) count(name string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.by[name]
}

// logWatch reads the daemon's log, and tells of the lines that match.
type logWatch struct {
	mu    sync.Mutex
	lines []string
	news  chan struct{}
}

func (w *logWatch) read(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		w.mu.Lock()
		w.lines = append(w.lines, s.Text())
		w.mu.Unlock()
		select {
		case w.news <- struct{}{}:
		default:
		}
	}
}

// await returns the first line from index from on that matches, waiting for it up to a minute.
func (w *logWatch) await(t *testing.T, from int, match func(string) bool) (string, int) {
	t.Helper()
	deadline := time.After(time.Minute)
	for {
		w.mu.Lock()
		for i := from; i < len(w.lines); i++ {
			if match(w.lines[i]) {
				line := w.lines[i]
				w.mu.Unlock()
				return line, i + 1
			}
		}
		from = len(w.lines)
		w.mu.Unlock()
		select {
		case <-w.news:
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			t.Fatalf("no such line in the log")
		}
	}
}

// The daemon, started from its command line with SRV on against the DNS stand-in, carries a scripted
// caller's calls to stand-in pools whose set changes under it: a pool that vanishes from DNS gets no
// set-up once the daemon has taken its going, and one that comes gets calls.
func TestProcess_FollowsSRVRecordsUnderCalls(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	bin := build(t)
	seen := &invites{by: map[string]int{}, last: map[string]time.Time{}}
	_, a := seen.pool(t, "a")
	_, b := seen.pool(t, "b")
	_, c := seen.pool(t, "c")
	dns := fakeplatform.NewDNS(t)
	dns.SetSRV(daemontest.SRVName, 1, daemontest.SRVTarget(t, "a.pools.example.org", a), daemontest.SRVTarget(t, "b.pools.example.org", b))
	dns.SetMode(fakeplatform.Silent) // down at the start

	dir := t.TempDir()
	cfg := filepath.Join(dir, "config.json")
	os.WriteFile(cfg, []byte(`{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`), 0o600)
	disc := filepath.Join(dir, "discovery.toml")
	os.WriteFile(disc, []byte(fmt.Sprintf(`server = %q
timeout = "300ms"
refresh_floor = "200ms"
refresh_ceiling = "2s"
stale_for = "5s"
drain_for = "3s"
[[name]]
srv = %q
group = 0
`, dns.Addr, daemontest.SRVName)), 0o600)

	cmd := exec.Command(bin, "-discovery", disc) // the flag as earlier versions spelt theirs
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+cfg)
	stderr, _ := cmd.StderrPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	log := &logWatch{news: make(chan struct{}, 1)}
	go func() {
		log.read(stderr)
		done <- cmd.Wait()
	}()
	t.Cleanup(func() { cmd.Process.Kill() })
	serving, from := log.await(t, 0, func(l string) bool { return gjson.Get(l, "message").Str == "serving" })
	if !gjson.Get(serving, "discovery").Bool() {
		t.Fatalf("discovery is not on: %s", serving)
	}
	isSet := func(want ...string) func(string) bool {
		return func(l string) bool {
			pools := gjson.Get(l, "pools").Str
			if gjson.Get(l, "message").Str != "pool set" {
				return false
			}
			up := 0
			for _, p := range strings.Fields(pools) {
				if strings.Contains(p, "/up/") {
					up++
				}
			}
			for _, w := range want {
				if !strings.Contains(pools, w+"/up/") {
					return false
				}
			}
			return up == len(want)
		}
	}
	_, from = log.await(t, from, func(l string) bool { return strings.Contains(l, "dns look-up failed") })
	dns.SetMode(fakeplatform.Answer)
	_, from = log.await(t, from, isSet(a, b))

	t.Cleanup(func() {
		if t.Failed() {
			log.mu.Lock()
			for _, l := range log.lines[max(0, len(log.lines)-15):] {
				t.Log(l)
			}
			log.mu.Unlock()
		}
	})
	caller := daemontest.Dial(t, gjson.Get(serving, "listen").Str)
	call := daemontest.NewSequentialCaller(caller)
	for range 20 {
		call.Place()
	}
	if seen.count("a")+seen.count("b") == 0 || seen.count("c") != 0 {
		t.Fatalf("before the change: %v", seen.by)
	}

	// b vanishes, c comes: within b's TTL and the refresh the daemon takes it.
	dns.SetSRV(daemontest.SRVName, 1, daemontest.SRVTarget(t, "a.pools.example.org", a), daemontest.SRVTarget(t, "c.pools.example.org", c))
	_, from = log.await(t, from, isSet(a, c))
	bBefore := seen.count("b")
	for range 40 {
		call.Place()
	}
	if got := seen.count("b"); got != bBefore {
		t.Errorf("%d set-ups went to b after it vanished", got-bBefore)
	}
	if seen.count("c") == 0 {
		t.Errorf("no set-up went to c after it came: %v", seen.by)
	}

	// The DNS server fails: the last good set stands, and calls go on.
	dns.SetMode(fakeplatform.ServFail)
	log.await(t, from, func(l string) bool { return strings.Contains(l, "dns look-up failed") })
	for range 10 {
		call.Place()
	}
	call.Check()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("exit: %v", err)
	}
}
