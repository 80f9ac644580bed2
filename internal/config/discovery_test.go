package config

import (
	"strings"
	"testing"
	"time"
)

const goodDiscovery = `server = "127.0.0.1:53"
[[name]]
srv = "_sip._tcp.g0.pools.example.org"
group = 0
`

func TestParseDiscovery_Defaults(t *testing.T) {
	d, err := ParseDiscovery(goodDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	if d.Timeout != 500*time.Millisecond || d.RefreshFloor != time.Second ||
		d.StaleFor != 5*time.Minute || len(d.Names) != 1 {
		t.Errorf("%+v", d)
	}
	if err := d.Schedule().Check(); err != nil {
		t.Error(err)
	}
}

func TestParseDiscovery_ErrorNamesTheField(t *testing.T) {
	for field, text := range map[string]string{
		"server":          `[[name]]` + "\n" + `srv = "_sip._tcp.x.example.org"`,
		"timeout":         `timeout = "1h"` + "\n" + goodDiscovery,
		"refresh_floor":   `refresh_floor = "1ms"` + "\n" + goodDiscovery,
		"refresh_ceiling": `refresh_floor = "10s"` + "\n" + `refresh_ceiling = "5s"` + "\n" + goodDiscovery,
		"jitter":          `jitter = 0.9` + "\n" + goodDiscovery,
		"stale_for":       `stale_for = "-1s"` + "\n" + goodDiscovery,
		"most_records":    `most_records = 0` + "\n" + goodDiscovery,
		"name[0].srv":     `server = "127.0.0.1:53"` + "\n[[name]]\n" + `srv = "pools.example.org"`,
		"name[1].srv":     goodDiscovery + "[[name]]\n" + `srv = "_SIP._tcp.g0.pools.example.org."`,
		"name[0].group":   `server = "127.0.0.1:53"` + "\n[[name]]\n" + `srv = "_a._b.c"` + "\ngroup = -1",
		"colour":          `colour = "red"` + "\n" + goodDiscovery,
		"name":            `server = "127.0.0.1:53"`,
	} {
		_, err := ParseDiscovery(text)
		if err == nil || !strings.HasPrefix(err.Error(), "discovery: "+field+":") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
