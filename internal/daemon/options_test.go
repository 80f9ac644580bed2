package daemon

import (
	"strings"
	"testing"

	"eidertrail/internal/testing/daemontest"
)

func TestCheck_ClusterErrorNamesTheField(t *testing.T) {
	cfg := daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"))
	with := daemontest.WriteFile(t, "with.json", strings.Replace(daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"), `"listen"`,
		`"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"listen"`, 1))
	for _, c := range []struct{ config, text, want string }{
		{cfg, "", "cluster: peer_listen, peers: absent"},
		{with, `probe_interval = "1ms"`, "cluster: probe_interval:"},
		{with, `probe_timeout = "900ms"`, "cluster: probe_timeout:"},
		{with, `colour = 1`, "cluster: colour: not a known field"},
		{with, `region = "a b"`, "cluster: region:"},
		{with, `regions = ["north", "south"]`, "cluster: regions: 2 for 1 members"},
		{with, "region = \"north\"\nregions = [\"south\"]", "cluster: region: \"north\", but regions[0]"},
	} {
		t.Setenv("RELAY_CONFIG", c.config)
		err := Check(Options{Cluster: daemontest.WriteFile(t, "cluster.toml", c.text)}.FromEnvironment())
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}
