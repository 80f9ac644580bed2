package daemon

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// A discovery file that makes no sense at SIGHUP is logged with its field, and the old one holds; at
// the start it ends the start with that line.
func TestDiscovery_BadFileAtStartAndReload(t *testing.T) {
	dns := fakeplatform.NewDNS(t)
	good := fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\n", dns.Addr, daemontest.SRVName)
	path := daemontest.WriteFile(t, "discovery.toml", good)
	cfg := daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"))
	if _, err := Start(context.Background(), Options{Config: cfg, Discovery: daemontest.WriteFile(t, "bad.toml", "jitter = 2\n"+good)},
		zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), "discovery: jitter:") {
		t.Fatalf("start with a bad file: %v", err)
	}
	log := &buffer{}
	d, err := Start(context.Background(), Options{Config: cfg, Discovery: path}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	reloadRefused(t, d, s, log, path, "refresh_floor = \"0s\"\n"+good, "refresh_floor")
	os.WriteFile(path, []byte(good), 0o600)
	s.Reload <- syscall.SIGHUP
	for d.counters.Get(telemetry.Reloads) != 1 {
		time.Sleep(10 * time.Millisecond)
	}
	stopping(t, s, ended)
}
