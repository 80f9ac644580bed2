package daemon

import (
	"strings"
	"testing"

	"eidertrail/internal/testing/daemontest"
)

func TestCheck_ClusterErrorNamesTheField(t *testing.T) {
	alone := writeConfiguration(t, nobody)
	member := daemontest.WriteFile(t, "member.json", strings.Replace(daemontest.Configuration(anyAddress, nobody),
		`"listen"`, `"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"listen"`, 1))
	for _, test := range []struct{ config, text, want string }{
		{alone, "", "cluster: peer_listen, peers: absent"},
		{member, `probe_interval = "1ms"`, "cluster: probe_interval:"},
		{member, `probe_timeout = "900ms"`, "cluster: probe_timeout:"},
		{member, `colour = 1`, "cluster: colour: not a known field"},
		{member, `region = "a b"`, "cluster: region:"},
		{member, `regions = ["north", "south"]`, "cluster: regions: 2 for 1 members"},
		{member, "region = \"north\"\nregions = [\"south\"]", "cluster: region: \"north\", but regions[0]"},
	} {
		t.Setenv("RELAY_CONFIG", test.config)
		err := Check(Options{Cluster: daemontest.WriteFile(t, "cluster.toml", test.text)}.FromEnvironment())
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", test.text, err, test.want)
		}
	}
}
