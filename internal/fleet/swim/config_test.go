package swim

import (
	"errors"
	"strings"
	"testing"
)

func TestConfig_CheckNamesTheInvalidField(t *testing.T) {
	for field, change := range map[string]func(c *Config){
		"peers:":          func(c *Config) { c.Members = 0 },
		"index:":          func(c *Config) { c.Self = 9 },
		"probe_interval:": func(c *Config) { c.ProbeInterval = 1 },
		"probe_timeout:":  func(c *Config) { c.ProbeTimeout = c.ProbeInterval },
		"indirect:":       func(c *Config) { c.IndirectProbes = -1 },
		"suspicion_mult:": func(c *Config) { c.SuspicionMultiplier = 1 },
		"suspicion_max:":  func(c *Config) { c.MaxSuspicionMultiplier = 0 },
		"retransmit:":     func(c *Config) { c.RetransmitMultiplier = 0 },
	} {
		config := DefaultConfig(0, 5)
		change(&config)
		if _, err := New(config, 1, 1, 0); !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s %v", field, err)
		}
	}
}

// The texts of all bounds, as operators read them.
func TestConfig_CheckNamesTheBounds(t *testing.T) {
	for _, test := range []struct {
		want   string
		change func(c *Config)
	}{
		{"peers: 513 members, want 1 to 512", func(c *Config) { c.Members = 513 }},
		{"index: 5, want 0 to 4", func(c *Config) { c.Self = 5 }},
		{"probe_interval: want 10ms or more", func(c *Config) { c.ProbeInterval = 9_999 }},
		{
			"probe_timeout: want more than 0, at most half of probe_interval",
			func(c *Config) { c.ProbeTimeout = 0 },
		},
		{"indirect: want 0 to 16", func(c *Config) { c.IndirectProbes = 17 }},
		{"suspicion_mult: want 2 to 64", func(c *Config) { c.SuspicionMultiplier = 65 }},
		{"suspicion_max: want 1 to 64", func(c *Config) { c.MaxSuspicionMultiplier = 65 }},
		{"retransmit: want 1 to 16", func(c *Config) { c.RetransmitMultiplier = 17 }},
	} {
		config := DefaultConfig(0, 5)
		test.change(&config)
		if err := config.Check(); err == nil || err.Error() != "cluster: bad config: "+test.want {
			t.Errorf("%v, want %s", err, test.want)
		}
	}
}
