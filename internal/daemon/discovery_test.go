package daemon

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// A bad discovery file at SIGHUP is logged with its field, and the last good one stays in force; at the start it ends
// the start with that line.
func TestDiscovery_BadFileAtStartAndReload(t *testing.T) {
	dns := fakeplatform.NewDNS(t)
	good := fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\n", dns.Addr, daemontest.SRVName)
	path := daemontest.WriteFile(t, "discovery.toml", good)
	bad := daemontest.WriteFile(t, "bad.toml", "jitter = 2\n"+good)
	configuration := writeConfiguration(t, nobody)
	_, err := Start(context.Background(), Options{Config: configuration, Discovery: bad}, zerolog.Nop())
	if err == nil || !strings.HasPrefix(err.Error(), "discovery: jitter:") {
		t.Fatalf("start with a bad file: %v", err)
	}
	log := &logBuffer{}
	daemon, err := Start(context.Background(), Options{Config: configuration, Discovery: path}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	reloadRejected(t, daemon, signals, log, path, "refresh_floor = \"0s\"\n"+good, "refresh_floor")
	rewrite(t, path, good)
	signals.Reload <- syscall.SIGHUP
	for daemon.counters.Get(telemetry.Reloads) != 1 {
		time.Sleep(10 * time.Millisecond)
	}
	terminate(t, signals, ended)
}
