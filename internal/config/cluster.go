package config

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
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
	// Region is where this controller is, as its zone of the routing file; "": no table of the fleet's shared word.
	Region string `toml:"region"`
	// Regions are those of all members, by number; absent: they are learnt from the members.
	Regions []string `toml:"regions"`
	Budget  *Budget  `toml:"budget"` // absent: no fleet-wide budgets
}

// MaxRegionLength is the longest name of a region, in bytes.
const MaxRegionLength = 32

// regionName is what a region may be called.
var regionName = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

func (c *Cluster) checkRegions(n swim.Config) error {
	name := func(field, text string) error {
		if len(text) > MaxRegionLength || !regionName.MatchString(text) {
			return fmt.Errorf("%s: %.40q: want letters, digits or ._-, %d at the most", field, text, MaxRegionLength)
		}
		return nil
	}
	if c.Region == "" && c.Regions == nil {
		return nil
	}
	if c.Regions != nil && len(c.Regions) != n.Members {
		return fmt.Errorf("regions: %d for %d members", len(c.Regions), n.Members)
	}
	if c.Region == "" {
		c.Region = c.Regions[n.Self]
	}
	if err := name("region", c.Region); err != nil || c.Regions == nil {
		return err
	}
	for i, r := range c.Regions {
		if err := name(fmt.Sprintf("regions[%d]", i), r); err != nil {
			return err
		}
	}
	if r := c.Regions[n.Self]; r != c.Region {
		return fmt.Errorf("region: %q, but regions[%d], which is this controller's, is %q", c.Region, n.Self, r)
	}
	return nil
}

// Budget is the configuration of the budgets that the members divide.
type Budget struct {
	Lease             time.Duration `toml:"lease"`      // how long a borrowed share holds
	Margin            time.Duration `toml:"margin"`     // for how much longer its lender leaves it alone
	Reserved          float64       `toml:"keep"`       // the part of its own share that a member never lends
	SlowStartFraction float64       `toml:"cold_part"`  // the part of what makes a cold pool fall over that all may send it
	RateField         string        `toml:"rate_field"` // the field of pools' reports with the rate they can take, "" for none
}

// UnitsOwned is a member's own share of each budget, in units.
const UnitsOwned = 1000

// Allocator is the books' configuration for the member of n; life is another at each start.
func (b *Budget) Allocator(n swim.Config, life uint32) quota.Config {
	return quota.Config{
		Self: n.Self, Members: n.Members, Incarnation: life, Unit: UnitsOwned, Reserved: int(b.Reserved * UnitsOwned),
		TTL: b.Lease.Microseconds(), Margin: b.Margin.Microseconds(),
	}
}

func (b *Budget) check(names []string) error {
	switch {
	case b.Lease < 100*time.Millisecond || b.Lease > time.Minute:
		return fmt.Errorf("budget.lease: want 100ms to 1m")
	case b.Margin < b.Lease/20 || b.Margin > time.Minute:
		return fmt.Errorf("budget.margin: want a twentieth of budget.lease at the least, 1m at the most")
	case !(b.Reserved >= 0 && b.Reserved <= 1):
		return fmt.Errorf("budget.keep: want 0 to 1")
	case !(b.SlowStartFraction > 0 && b.SlowStartFraction <= 1):
		return fmt.Errorf("budget.cold_part: want more than 0, at most 1")
	case b.RateField != "" && len(names) > 0 && !slices.Contains(names, b.RateField):
		return fmt.Errorf("budget.rate_field: %q is none of the settings' stats.names", b.RateField)
	}
	return nil
}

// Rate is the field of pools' reports with the rate they can take, "" for none.
func (c *Cluster) Rate() string {
	if c == nil || c.Budget == nil {
		return ""
	}
	return c.Budget.RateField
}

// Node is the membership's configuration for the controller of cfg, against which the file is checked. Where only
// regions are named, the controller's own becomes Region.
func (c *Cluster) Node(cfg *Config) (swim.Config, error) {
	n := swim.Config{
		Self: cfg.Settings.Index, Members: len(cfg.Peers), Interval: c.ProbeInterval.Microseconds(),
		Timeout: c.ProbeTimeout.Microseconds(), Indirect: c.Indirect, SuspicionMult: c.SuspicionMult,
		SuspicionMax: c.SuspicionMax, Retransmit: c.Retransmit,
	}
	if cfg.PeerListen == "" || len(cfg.Peers) == 0 {
		return n, fmt.Errorf("cluster: peer_listen, peers: absent from the configuration: this platform gives no way between controllers")
	}
	if err := n.Check(); err != nil {
		return n, fmt.Errorf("cluster: %s", strings.TrimPrefix(err.Error(), "cluster: bad config: "))
	}
	if err := c.checkRegions(n); err != nil {
		return n, fmt.Errorf("cluster: %w", err)
	}
	if c.Budget != nil {
		if err := c.Budget.check(cfg.ReportNames); err != nil {
			return n, fmt.Errorf("cluster: %w", err)
		}
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
	c := &Cluster{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, Indirect: 3, SuspicionMult: 4,
		SuspicionMax: 3, Retransmit: 4, Budget: &Budget{Lease: 2 * time.Second, Margin: 500 * time.Millisecond, Reserved: 0.25, SlowStartFraction: 0.5},
	}
	meta, err := decode("cluster", text, c)
	if err != nil {
		return nil, err
	}
	if !meta.IsDefined("budget") {
		c.Budget = nil
	}
	return c, nil
}
