package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// zonePools are two pools in each of two zones, which answer every call and end it, and count the calls by zone.
type zonePools struct {
	mu      sync.Mutex
	calls   map[string]int // by zone
	pools   map[string][]*fakeplatform.Pool
	targets []string // of the platform's configuration
}

func newZonePools(t *testing.T, zones ...string) *zonePools {
	t.Helper()
	zoned := &zonePools{calls: map[string]int{}, pools: map[string][]*fakeplatform.Pool{}}
	for _, zone := range zones {
		for n := range 2 {
			pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
				if request.Method != "INVITE" {
					return
				}
				zoned.mu.Lock()
				zoned.calls[zone]++
				zoned.mu.Unlock()
				request.Answer(200, "", "v=0\r\n")
				request.Bye(16)
			}}
			zoned.pools[zone] = append(zoned.pools[zone], pool)
			target := `{"uid":"%s%d","endpoint":%q,"az":%[1]q,"pod_group":0,"state":"up"}`
			zoned.targets = append(zoned.targets, fmt.Sprintf(target, zone, n, pool.Listen(t)))
		}
	}
	return zoned
}

func (z *zonePools) count(zone string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.calls[zone]
}

// reject has the pools of a zone reject connections, and drops those that stand; or accept them again.
func (z *zonePools) reject(zone string, rejecting bool) {
	for _, pool := range z.pools[zone] {
		pool.SetRejecting(rejecting, false)
		if rejecting {
			pool.CloseConnections()
		}
	}
}

func (z *zonePools) configuration() string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[%s]}}]},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`, strings.Join(z.targets, ","))
}

// With --routing and fake pools in two zones, calls stay in the own zone, spill to the neighbour while the own zone's
// pools refuse connections, and come back when they accept them, three times over; every call gets one final answer.
func TestRouting_CallsSpillWhileTheOwnZoneFails(t *testing.T) {
	zones := newZonePools(t, "batumi", "tbilisi")
	options := Options{
		Config: daemontest.WriteFile(t, "config.json", zones.configuration()),
		Routing: daemontest.WriteFile(t, "routing.toml", `zone = "batumi"
zones = ["batumi", "tbilisi"]
least = 2
hold = "300ms"
most_hold = "1s"
warm_up = "1s"
[tiers]
batumi = [["tbilisi"]]
`),
	}
	log := &logBuffer{}
	daemon, err := Start(context.Background(), options, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	caller := daemontest.NewSequentialCaller(daemontest.Dial(t, daemon.listener.Addr().String()))
	for range 10 {
		caller.Place()
	}
	if zones.count("tbilisi") != 0 || zones.count("batumi") == 0 {
		t.Errorf("with batumi up: %d calls in batumi and %d in tbilisi, want all in batumi\n%s",
			zones.count("batumi"), zones.count("tbilisi"), log.String())
	}
	for flap := range 3 {
		spilled := zones.count("tbilisi")
		zones.reject("batumi", true)
		for range 10 {
			caller.Place()
		}
		if zones.count("tbilisi") == spilled {
			t.Errorf("flap %d, with batumi failing: no call went to tbilisi", flap)
		}
		// After batumi's ejection, which doubles while it still fails, calls go home again.
		home := zones.count("batumi")
		zones.reject("batumi", false)
		for began := time.Now(); zones.count("batumi") == home; {
			if time.Since(began) > testTimeout {
				t.Fatalf("flap %d: no call went home within %v of batumi's return", flap, testTimeout)
			}
			caller.Place()
		}
	}
	caller.Check()
	if !strings.Contains(log.String(), "batumi:out") && !strings.Contains(log.String(), "batumi:dark") {
		t.Errorf("the zone's ejection is not logged")
	}
	terminate(t, signals, ended)
}

// A bad routing file ends the start with a line naming the field; at SIGHUP it is logged and the last good one stays in
// force.
func TestRouting_BadFileAtStartAndReload(t *testing.T) {
	good := "zone = \"batumi\"\nzones = [\"batumi\", \"tbilisi\"]\n[tiers]\nbatumi = [[\"tbilisi\"]]\n"
	configuration := writeConfiguration(t, nobody)
	for field, text := range map[string]string{
		"tiers.batumi[0]":  strings.Replace(good, `[["tbilisi"]]`, `[["gori"]]`, 1),
		"spill_share":      "spill_share = 1.5\n" + good,
		"tiers.batumi[0]:": strings.Replace(good, `[["tbilisi"]]`, `[["batumi"]]`, 1),
	} {
		bad := Options{Config: configuration, Routing: daemontest.WriteFile(t, "bad.toml", text)}
		_, err := Start(context.Background(), bad, zerolog.Nop())
		if err == nil || !strings.HasPrefix(err.Error(), "routing: "+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	path := daemontest.WriteFile(t, "routing.toml", good)
	log := &logBuffer{}
	daemon, err := Start(context.Background(), Options{Config: configuration, Routing: path}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	reloadRejected(t, daemon, signals, log, path, "warm_from = 0\n"+good, "warm_from")
	terminate(t, signals, ended)
}
