package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// countingPools are fake pools that answer every call and end it, and count the set-ups by pool.
type countingPools struct {
	mu    sync.Mutex
	calls map[string]int
}

// add adds a pool, and returns its address.
func (c *countingPools) add(t *testing.T, name string) string {
	t.Helper()
	pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method != "INVITE" {
			return
		}
		c.mu.Lock()
		c.calls[name]++
		c.mu.Unlock()
		request.Answer(200, "", "v=0\r\ns="+name+"\r\n")
		request.Bye(16)
	}}
	return pool.Listen(t)
}

func (c *countingPools) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[name]
}

// isEndpointSet matches the log's line of an endpoint set in which the pools at these addresses are up, and no other.
func isEndpointSet(addresses ...string) func(line string) bool {
	return func(line string) bool {
		if gjson.Get(line, "message").Str != "pool set" {
			return false
		}
		pools := gjson.Get(line, "pools").Str
		up := 0
		for _, pool := range strings.Fields(pools) {
			if strings.Contains(pool, "/up/") {
				up++
			}
		}
		for _, address := range addresses {
			if !strings.Contains(pools, address+"/up/") {
				return false
			}
		}
		return up == len(addresses)
	}
}

func isFailedLookup(line string) bool { return strings.Contains(line, "dns lookup failed") }

// startWithDiscovery starts a daemon without known endpoints that follows daemontest.SRVName at the DNS server.
func startWithDiscovery(t *testing.T, dnsAddress string) *loggingProcess {
	t.Helper()
	config := daemontest.WriteFile(t, "config.json",
		`{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`)
	discovery := daemontest.WriteFile(t, "discovery.toml", fmt.Sprintf(`server = %q
timeout = "300ms"
refresh_floor = "200ms"
refresh_ceiling = "2s"
stale_for = "5s"
drain_for = "3s"
[[name]]
srv = %q
group = 0
`, dnsAddress, daemontest.SRVName))
	cmd := exec.Command(program(t), "-discovery", discovery) // the flag as earlier versions spelled theirs
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	process := startLogging(t, cmd)
	t.Cleanup(func() {
		if t.Failed() {
			for _, line := range process.last(15) {
				t.Log(line)
			}
		}
	})
	return process
}

// The daemon, started from its command line with SRV on against the fake DNS server, carries a caller's calls to fake
// pools whose set changes under it: a pool that vanishes from DNS gets no set-up once the daemon has taken its removal,
// and one that comes gets calls.
func TestProcess_FollowsSRVRecordsUnderCalls(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	pools := &countingPools{calls: map[string]int{}}
	addressA, addressB, addressC := pools.add(t, "a"), pools.add(t, "b"), pools.add(t, "c")
	targetA := daemontest.SRVTarget(t, "a.pools.example.org", addressA)
	targetB := daemontest.SRVTarget(t, "b.pools.example.org", addressB)
	targetC := daemontest.SRVTarget(t, "c.pools.example.org", addressC)
	dns := fakeplatform.NewDNS(t)
	dns.SetSRV(daemontest.SRVName, 1, targetA, targetB)
	dns.SetMode(fakeplatform.DNSSilent) // down at the start
	process := startWithDiscovery(t, dns.Addr)
	serving, from := process.awaitServing(t)
	if !gjson.Get(serving, "discovery").Bool() {
		t.Fatalf("discovery is not on: %s", serving)
	}
	_, from = process.await(t, from, isFailedLookup)
	dns.SetMode(fakeplatform.DNSAnswer)
	_, from = process.await(t, from, isEndpointSet(addressA, addressB))

	caller := daemontest.NewSequentialCaller(daemontest.Dial(t, gjson.Get(serving, "listen").Str))
	for range 20 {
		caller.Place()
	}
	if pools.count("a")+pools.count("b") == 0 || pools.count("c") != 0 {
		t.Fatalf("before the change: %d, %d, %d", pools.count("a"), pools.count("b"), pools.count("c"))
	}

	// b vanishes, c comes: within b's TTL and the refresh the daemon takes it.
	dns.SetSRV(daemontest.SRVName, 1, targetA, targetC)
	_, from = process.await(t, from, isEndpointSet(addressA, addressC))
	before := pools.count("b")
	for range 40 {
		caller.Place()
	}
	if got := pools.count("b"); got != before {
		t.Errorf("%d set-ups went to b after it vanished", got-before)
	}
	if pools.count("c") == 0 {
		t.Errorf("no set-up went to c after it came: %d, %d", pools.count("a"), pools.count("b"))
	}

	// The DNS server fails: the last good set stays in force, and calls go on.
	dns.SetMode(fakeplatform.DNSServFail)
	process.await(t, from, isFailedLookup)
	for range 10 {
		caller.Place()
	}
	caller.Check()
	if err := process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := <-process.ended; err != nil {
		t.Errorf("exit: %v", err)
	}
}
