package config

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
)

// Defaults of a cluster file.
const (
	defaultProbeInterval     = time.Second
	defaultProbeTimeout      = 300 * time.Millisecond
	defaultIndirect          = 3
	defaultSuspicionMult     = 4
	defaultSuspicionMax      = 3
	defaultRetransmit        = 4
	defaultLease             = 2 * time.Second
	defaultLeaseMargin       = 500 * time.Millisecond
	defaultReserved          = 0.25
	defaultSlowStartFraction = 0.5
)

// Bounds of the quotas' leases.
const (
	minLease         = 100 * time.Millisecond
	maxLease         = time.Minute
	maxLeaseMargin   = time.Minute
	minMarginDivisor = 20 // the margin is at least the lease divided by this
)

// MaxRegionLength is the longest name of a region, in bytes.
const MaxRegionLength = 32

// UnitsOwned is a member's own part of each quota, in units.
const UnitsOwned = 1000

// Cluster is the configuration of membership among controllers (deploy/cluster.toml). The members' addresses come from
// the platform: peer_listen and peers of its configuration.
type Cluster struct {
	Fleet         string        `toml:"fleet"`          // datagrams of another fleet are ignored
	ProbeInterval time.Duration `toml:"probe_interval"` // from one probe to the next
	ProbeTimeout  time.Duration `toml:"probe_timeout"`  // after which other members probe as well
	Indirect      int           `toml:"indirect"`       // how many of them
	SuspicionMult int           `toml:"suspicion_mult"` // probe intervals that a confirmed suspicion lasts
	SuspicionMax  int           `toml:"suspicion_max"`  // multiple of that for a suspicion that nobody confirms
	Retransmit    int           `toml:"retransmit"`     // how often an update is passed on
	// Region is where this controller is, the same as its zone of the routing file; "": no replicated state table.
	Region string `toml:"region"`
	// Regions are those of all members, by number; absent: the members announce them.
	Regions []string `toml:"regions"`
	Budget  *Budget  `toml:"budget"` // absent: no fleet-wide quotas
}

// Budget is the configuration of the quotas that the members divide.
type Budget struct {
	Lease             time.Duration `toml:"lease"`      // how long a lent quota is valid
	Margin            time.Duration `toml:"margin"`     // for how much longer its lender does not use it
	Reserved          float64       `toml:"keep"`       // the fraction of its own quota that a member never lends
	SlowStartFraction float64       `toml:"cold_part"`  // of a warming pool's overload rate, for all members together
	RateField         string        `toml:"rate_field"` // the field of load reports with a pool's rate, "" for none
}

// LoadCluster reads the file at path. An error is one line that names the field.
func LoadCluster(path string) (*Cluster, error) { return loadFile(ClusterFile, path, ParseCluster) }

// ParseCluster reads the text of a cluster file.
func ParseCluster(text string) (*Cluster, error) {
	cluster := &Cluster{
		ProbeInterval: defaultProbeInterval,
		ProbeTimeout:  defaultProbeTimeout,
		Indirect:      defaultIndirect,
		SuspicionMult: defaultSuspicionMult,
		SuspicionMax:  defaultSuspicionMax,
		Retransmit:    defaultRetransmit,
		Budget: &Budget{
			Lease:             defaultLease,
			Margin:            defaultLeaseMargin,
			Reserved:          defaultReserved,
			SlowStartFraction: defaultSlowStartFraction,
		},
	}
	meta, err := decode(ClusterFile, text, cluster)
	if err != nil {
		return nil, err
	}
	if !meta.IsDefined("budget") {
		cluster.Budget = nil
	}
	return cluster, nil
}

// Node is the membership's configuration for the controller of cfg, against which the file is checked. Where only
// regions are named, the controller's own becomes Region.
func (c *Cluster) Node(cfg *Config) (swim.Config, error) {
	node := swim.Config{
		Self:                   cfg.Settings.Index,
		Members:                len(cfg.Peers),
		ProbeInterval:          c.ProbeInterval.Microseconds(),
		ProbeTimeout:           c.ProbeTimeout.Microseconds(),
		IndirectProbes:         c.Indirect,
		SuspicionMultiplier:    c.SuspicionMult,
		MaxSuspicionMultiplier: c.SuspicionMax,
		RetransmitMultiplier:   c.Retransmit,
	}
	if cfg.PeerListen == "" || len(cfg.Peers) == 0 {
		return node, clusterError("peer_listen, peers",
			"absent from the configuration: this platform gives no way between controllers")
	}
	if err := node.Check(); err != nil {
		return node, rejectedSettings(ClusterFile, "cluster: bad config: ", "", err)
	}
	if err := c.checkRegions(node); err != nil {
		return node, err
	}
	if c.Budget != nil {
		if err := c.Budget.check(cfg.ReportNames); err != nil {
			return node, err
		}
	}
	return node, nil
}

func (c *Cluster) checkRegions(node swim.Config) error {
	if c.Region == "" && c.Regions == nil {
		return nil
	}
	if c.Regions != nil && len(c.Regions) != node.Members {
		return clusterError("regions", fmt.Sprintf("%d for %d members", len(c.Regions), node.Members))
	}
	if c.Region == "" {
		c.Region = c.Regions[node.Self]
	}
	if err := checkRegion("region", c.Region); err != nil || c.Regions == nil {
		return err
	}
	for i, region := range c.Regions {
		if err := checkRegion(fmt.Sprintf("regions[%d]", i), region); err != nil {
			return err
		}
	}
	if listed := c.Regions[node.Self]; listed != c.Region {
		return clusterError("region",
			fmt.Sprintf("%q, but regions[%d], which is this controller's, is %q", c.Region, node.Self, listed))
	}
	return nil
}

// regionName is what a region may be called.
var regionName = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

func checkRegion(field, name string) error {
	if len(name) > MaxRegionLength || !regionName.MatchString(name) {
		return clusterError(field, fmt.Sprintf("%.40q: want letters, digits or ._-, %d at the most", name, MaxRegionLength))
	}
	return nil
}

// check reports the first field that is out of its bounds. Comparisons of fractions are written so that NaN fails.
func (b *Budget) check(reportNames []string) error {
	switch {
	case b.Lease < minLease || b.Lease > maxLease:
		return clusterError("budget.lease", "want 100ms to 1m")
	case b.Margin < b.Lease/minMarginDivisor || b.Margin > maxLeaseMargin:
		return clusterError("budget.margin", "want a twentieth of budget.lease at the least, 1m at the most")
	case !(b.Reserved >= 0 && b.Reserved <= 1):
		return clusterError("budget.keep", "want 0 to 1")
	case !(b.SlowStartFraction > 0 && b.SlowStartFraction <= 1):
		return clusterError("budget.cold_part", "want more than 0, at most 1")
	case b.RateField != "" && len(reportNames) > 0 && !slices.Contains(reportNames, b.RateField):
		return clusterError("budget.rate_field", fmt.Sprintf("%q is none of the settings' stats.names", b.RateField))
	}
	return nil
}

// Allocator is the quota allocator's configuration for the member of node; the incarnation is another at each start.
func (b *Budget) Allocator(node swim.Config, incarnation uint32) quota.Config {
	return quota.Config{
		Self:        node.Self,
		Members:     node.Members,
		Incarnation: incarnation,
		OwnedUnits:  UnitsOwned,
		Reserved:    int(b.Reserved * UnitsOwned),
		TTL:         b.Lease.Microseconds(),
		Margin:      b.Margin.Microseconds(),
	}
}

// Rate is the field of pools' load reports with the rate that they take, "" for none.
func (c *Cluster) Rate() string {
	if c == nil || c.Budget == nil {
		return ""
	}
	return c.Budget.RateField
}

func clusterError(field, reason string) error {
	return &FieldError{File: ClusterFile, Field: field, Reason: reason}
}
