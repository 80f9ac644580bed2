package config

import (
	"fmt"
	"strings"
)

// Defaults and bounds of a call control file.
const (
	defaultCallControlPath = "/call-control"
	defaultMaxConnections  = 64
	maxMaxConnections      = 1024
)

// CallControl is the configuration of the WebSocket front and of the health checks (deploy/callcontrol.toml). An empty
// address leaves that part off.
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
	return loadFile(CallControlFile, path, parseCallControl)
}

func parseCallControl(text string) (*CallControl, error) {
	return parseChecked(CallControlFile, text, &CallControl{
		Path:           defaultCallControlPath,
		MaxConnections: defaultMaxConnections,
	})
}

func (c *CallControl) check() error {
	checked := checks{file: CallControlFile}
	checked.address("listen", c.Listen)
	checked.address("agent_check", c.AgentCheck)
	checked.address("health", c.Health)
	if c.Listen == "" && c.AgentCheck == "" && c.Health == "" {
		checked.fail("listen", "no address is given for anything")
	}
	if !strings.HasPrefix(c.Path, "/") {
		checked.fail("path", "want a leading /")
	}
	if c.MaxConnections < 1 || c.MaxConnections > maxMaxConnections {
		checked.fail("max_connections", fmt.Sprintf("want 1 to %d", maxMaxConnections))
	}
	return checked.err
}
