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

// The daemon with --routing, on loopback stand-in pools in two zones: calls stay in the own zone, spill to
// the neighbour when the own zone's pools refuse connections, come home again when they take them, three
// times over, and every call gets one final answer.
func TestRouting_CallsSpillWhileTheOwnZoneFails(t *testing.T) {
	var mu sync.Mutex
	by := map[string]int{}
	pools := map[string]*fakeplatform.Pool{}
	var targets []string
	for _, uid := range []string{"ba1", "ba2", "tb1", "tb2"} {
		p := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
			if q.Method != "INVITE" {
				return
			}
			mu.Lock()
			by[uid[:2]]++
			mu.Unlock()
			q.Answer(200, "", "v=0\r\n")
			q.Bye(16)
		}}
		pools[uid] = p
		zone := map[string]string{"ba": "batumi", "tb": "tbilisi"}[uid[:2]]
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"pod_group":0,"state":"up"}`, uid, p.Listen(t), zone))
	}
	cfg := daemontest.WriteFile(t, "config.json", fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[%s]}}]},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`, strings.Join(targets, ",")))
	routes := daemontest.WriteFile(t, "routing.toml", `zone = "batumi"
zones = ["batumi", "tbilisi"]
least = 2
hold = "300ms"
most_hold = "1s"
warm_up = "1s"
[tiers]
batumi = [["tbilisi"]]
`)
	log := &buffer{}
	d, err := Start(context.Background(), Options{Config: cfg, Routing: routes}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	call := daemontest.NewSequentialCaller(daemontest.Dial(t, d.listener.Addr().String()))
	for range 10 {
		call.Place()
	}
	mu.Lock()
	if by["tb"] != 0 || by["ba"] == 0 {
		t.Errorf("with batumi up: %v, want all in batumi\n%s", by, log.String())
	}
	mu.Unlock()
	count := func(zone string) int {
		mu.Lock()
		defer mu.Unlock()
		return by[zone]
	}
	for flap := range 3 {
		away := count("tb")
		for _, uid := range []string{"ba1", "ba2"} { // batumi goes dark
			pools[uid].SetRejecting(true, false)
			pools[uid].Drop()
		}
		for range 10 {
			call.Place()
		}
		if count("tb") == away {
			t.Errorf("flap %d, with batumi dark: no call went to tbilisi", flap)
		}
		// batumi comes back: after its hold, and doubled holds while it still failed, calls go home again.
		home := count("ba")
		for _, uid := range []string{"ba1", "ba2"} {
			pools[uid].SetRejecting(false, false)
		}
		for began := time.Now(); count("ba") == home; {
			if time.Since(began) > testTimeout {
				t.Fatalf("flap %d: no call went home within %v of batumi's coming back", flap, testTimeout)
			}
			call.Place()
		}
	}
	call.Check()
	if !strings.Contains(log.String(), "batumi:out") && !strings.Contains(log.String(), "batumi:dark") {
		t.Errorf("the zone's going out is not logged")
	}
	stopping(t, s, ended)
}

// A routing file that makes no sense ends the start with a line naming the field; at SIGHUP it is logged
// and the old one holds.
func TestRouting_BadFileAtStartAndReload(t *testing.T) {
	good := "zone = \"batumi\"\nzones = [\"batumi\", \"tbilisi\"]\n[tiers]\nbatumi = [[\"tbilisi\"]]\n"
	cfg := daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"))
	for field, bad := range map[string]string{
		"tiers.batumi[0]":  strings.Replace(good, `[["tbilisi"]]`, `[["gori"]]`, 1),
		"spill_share":      "spill_share = 1.5\n" + good,
		"tiers.batumi[0]:": strings.Replace(good, `[["tbilisi"]]`, `[["batumi"]]`, 1),
	} {
		_, err := Start(context.Background(), Options{Config: cfg, Routing: daemontest.WriteFile(t, "bad.toml", bad)}, zerolog.Nop())
		if err == nil || !strings.HasPrefix(err.Error(), "routing: "+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	path := daemontest.WriteFile(t, "routing.toml", good)
	log := &buffer{}
	d, err := Start(context.Background(), Options{Config: cfg, Routing: path}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	reloadRefused(t, d, s, log, path, "warm_from = 0\n"+good, "warm_from")
	stopping(t, s, ended)
}
