package config

import (
	"fmt"
	"os"
	"strings"
)

// CallControl is the configuration of the WebSocket front and of what balancers ask. An empty address
// leaves that part off.
type CallControl struct {
	Listen         string   `toml:"listen"`          // WebSocket front
	Path           string   `toml:"path"`            // of its URL
	Origins        []string `toml:"origins"`         // patterns of browser origins that may connect
	MaxConnections int      `toml:"max_connections"` // sockets at a time
	AgentCheck     string   `toml:"agent_check"`     // HAProxy's agent-check, plain TCP
	Health         string   `toml:"health"`          // HTTP: /live and /ready
}

// LoadCallControl reads the file at path. An error is one line that names the field.
func LoadCallControl(path string) (*CallControl, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("callcontrol: %w", err)
	}
	c := &CallControl{Path: "/call-control", MaxConnections: 64}
	if _, err := decode("callcontrol", string(text), c); err != nil {
		return nil, err
	}
	r := &reader{}
	r.checkAddress("listen", c.Listen)
	r.checkAddress("agent_check", c.AgentCheck)
	r.checkAddress("health", c.Health)
	if c.Listen == "" && c.AgentCheck == "" && c.Health == "" {
		r.fail("listen", "no address is given for anything")
	}
	if !strings.HasPrefix(c.Path, "/") {
		r.fail("path", "want a leading /")
	}
	if c.MaxConnections < 1 || c.MaxConnections > 1024 {
		r.fail("max_connections", "want 1 to 1024")
	}
	if r.err != nil {
		return nil, fmt.Errorf("callcontrol: %s", strings.TrimPrefix(r.err.Error(), "config: "))
	}
	return c, nil
}
