package routing

import (
	"errors"
	"strings"
	"testing"
)

func TestNew_BadConfigNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"zone":                  func(c *Config) { c.Zone = "poti" },
		"tiers.poti":            func(c *Config) { c.PriorityLevels["poti"] = [][]string{{"batumi"}} },
		"tiers.batumi[1]":       func(c *Config) { c.PriorityLevels["batumi"][1] = []string{"gori"} },
		"spill_share":           func(c *Config) { c.SpillBudget = 1.5 },
		"warm_from":             func(c *Config) { c.SlowStartCapacity = 0 },
		"out_share":             func(c *Config) { c.EjectionThreshold = 0 },
		"least and nodes":       func(c *Config) { c.Nodes = 0 },
		"window, hold":          func(c *Config) { c.MaxEjectionTime = 1 },
		"tiers.batumi[0]: \"ba": func(c *Config) { c.PriorityLevels["batumi"][0] = []string{"batumi"} },
		"tiers.batumi[1]: \"tb": func(c *Config) { c.PriorityLevels["batumi"][1] = []string{"tbilisi"} },
	} {
		c := validConfig()
		c.PriorityLevels = PriorityTable{"batumi": {{"tbilisi", "kutaisi"}, {"telavi"}}}
		change(&c)
		_, err := New(c, zones)
		if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
		if configError := (*ConfigError)(nil); !errors.As(err, &configError) {
			t.Errorf("%s: %T is no ConfigError", field, err)
		}
	}
}
