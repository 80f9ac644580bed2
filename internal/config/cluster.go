package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"eidertrail/cluster"
)

// Cluster is the configuration of membership among controllers (deploy/cluster.toml). Where the members are is
// the platform's to tell: peer_listen and peers of the configuration.
type Cluster struct {
	Fleet         string        `toml:"fleet"`          // datagrams of another fleet are passed over
	ProbeInterval time.Duration `toml:"probe_interval"` // from one probe to the next
	ProbeTimeout  time.Duration `toml:"probe_timeout"`  // then others are asked to probe
	Indirect      int           `toml:"indirect"`       // how many
	SuspicionMult int           `toml:"suspicion_mult"` // a shared suspicion lasts so many intervals
	SuspicionMax  int           `toml:"suspicion_max"`  // and one that nobody shares so many times as long
	Retransmit    int           `toml:"retransmit"`     // how often news is passed on
}

// Node is the membership's configuration for the controller of cfg.
func (c *Cluster) Node(cfg *Config) (cluster.Config, error) {
	n := cluster.Config{Self: cfg.Settings.Index, Members: len(cfg.Peers), Interval: c.ProbeInterval.Microseconds(),
		Timeout: c.ProbeTimeout.Microseconds(), Indirect: c.Indirect, SuspicionMult: c.SuspicionMult,
		SuspicionMax: c.SuspicionMax, Retransmit: c.Retransmit}
	if cfg.PeerListen == "" || len(cfg.Peers) == 0 {
		return n, fmt.Errorf("cluster: peer_listen, peers: absent from the configuration: this platform gives no way between controllers")
	}
	if err := n.Check(); err != nil {
		return n, fmt.Errorf("cluster: %s", strings.TrimPrefix(err.Error(), "cluster: bad config: "))
	}
	return n, nil
}

// LoadCluster reads the file at path. An error is one line that names the field.
func LoadCluster(path string) (*Cluster, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return ParseCluster(string(text))
}

// ParseCluster reads the text of a cluster file.
func ParseCluster(text string) (*Cluster, error) {
	c := &Cluster{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, Indirect: 3, SuspicionMult: 4,
		SuspicionMax: 3, Retransmit: 4}
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, fmt.Errorf("cluster: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fmt.Errorf("cluster: %s: not a known field", left[0])
	}
	return c, nil
}
