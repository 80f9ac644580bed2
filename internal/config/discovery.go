package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"

	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
)

// Defaults of a discovery file.
const (
	defaultDNSTimeout     = 500 * time.Millisecond
	defaultRefreshFloor   = time.Second
	defaultRefreshCeiling = 5 * time.Minute
	defaultJitter         = 0.1
	defaultStaleFor       = 5 * time.Minute
	defaultDrainFor       = 30 * time.Second
	defaultTombstone      = time.Minute
	defaultMaxRecords     = 64
)

// Bounds of a discovery file.
const (
	minDNSTimeout     = 10 * time.Millisecond
	maxDNSTimeout     = 10 * time.Second
	minRefreshFloor   = 100 * time.Millisecond
	maxRefreshFloor   = time.Hour
	maxRefreshCeiling = 24 * time.Hour
	maxJitter         = 0.5
	maxStaleFor       = 24 * time.Hour
	maxDrainFor       = time.Hour
	maxTombstone      = 24 * time.Hour
	maxNames          = 32
	maxGroup          = 1 << 16
	maxEndpoints      = 1024 // in the pool set; no field changes it
)

// minSRVLabels are those of _service._proto.name.
const minSRVLabels = 3

// Discovery is the configuration of DNS SRV as a source of sync pools (deploy/discovery.toml).
type Discovery struct {
	Server         string        `toml:"server"`          // host:port of the DNS server
	Timeout        time.Duration `toml:"timeout"`         // one exchange, UDP or TCP
	RefreshFloor   time.Duration `toml:"refresh_floor"`   // minimum time between two queries for a name
	RefreshCeiling time.Duration `toml:"refresh_ceiling"` // maximum time between them
	Jitter         float64       `toml:"jitter"`          // fraction of the TTL by which a refresh comes early
	StaleFor       time.Duration `toml:"stale_for"`       // a record is kept this long past its TTL while DNS fails
	DrainFor       time.Duration `toml:"drain_for"`       // the longest drain of a pool that vanished
	Tombstone      time.Duration `toml:"tombstone"`       // a removal by the endpoint list overrides DNS this long
	MaxRecords     int           `toml:"most_records"`    // records kept for one name
	Names          []SRVName     `toml:"name"`
}

// SRVName is one SRV name and the group its pools get.
type SRVName struct {
	SRV   string `toml:"srv"`   // _service._proto.name
	Group int    `toml:"group"` // the pod group that calls and classes name the pools by
	Zone  string `toml:"zone"`  // the zone of its pools, for routing; "" for none
}

// Schedule is when names are queried again, in µs.
func (d *Discovery) Schedule() srv.Schedule {
	return srv.Schedule{
		Floor:   d.RefreshFloor.Microseconds(),
		Ceiling: d.RefreshCeiling.Microseconds(),
		Jitter:  d.Jitter,
	}
}

// EndpointSet is what the pool set keeps, in µs.
func (d *Discovery) EndpointSet() endpointset.Config {
	return endpointset.Config{
		MaxStale:     d.StaleFor.Microseconds(),
		DrainTimeout: d.DrainFor.Microseconds(),
		TombstoneTTL: d.Tombstone.Microseconds(),
		MaxRecords:   d.MaxRecords,
		MaxEndpoints: maxEndpoints,
	}
}

// LoadDiscovery reads the file at path. An error is one line that names the field.
func LoadDiscovery(path string) (*Discovery, error) {
	return loadFile(DiscoveryFile, path, ParseDiscovery)
}

// ParseDiscovery reads the text of a discovery file.
func ParseDiscovery(text string) (*Discovery, error) {
	return parseChecked(DiscoveryFile, text, &Discovery{
		Timeout:        defaultDNSTimeout,
		RefreshFloor:   defaultRefreshFloor,
		RefreshCeiling: defaultRefreshCeiling,
		Jitter:         defaultJitter,
		StaleFor:       defaultStaleFor,
		DrainFor:       defaultDrainFor,
		Tombstone:      defaultTombstone,
		MaxRecords:     defaultMaxRecords,
	})
}

func (d *Discovery) check() error {
	checked := &checks{file: DiscoveryFile}
	checked.address("server", d.Server)
	if d.Server == "" {
		checked.fail("server", "want host:port")
	}
	checked.duration("timeout", d.Timeout, minDNSTimeout, maxDNSTimeout)
	checked.duration("refresh_floor", d.RefreshFloor, minRefreshFloor, maxRefreshFloor)
	checked.duration("refresh_ceiling", d.RefreshCeiling, d.RefreshFloor, maxRefreshCeiling)
	checked.duration("stale_for", d.StaleFor, 0, maxStaleFor)
	checked.duration("drain_for", d.DrainFor, 0, maxDrainFor)
	checked.duration("tombstone", d.Tombstone, 0, maxTombstone)
	if !(d.Jitter >= 0 && d.Jitter <= maxJitter) { // so written, NaN fails too
		checked.fail("jitter", fmt.Sprintf("want 0 to %g", maxJitter))
	}
	if d.MaxRecords < 1 || d.MaxRecords > srv.MaxRecords {
		checked.fail("most_records", fmt.Sprintf("want 1 to %d", srv.MaxRecords))
	}
	if len(d.Names) == 0 {
		checked.fail("name", "want at least one [[name]]")
	}
	if len(d.Names) > maxNames {
		checked.fail("name", fmt.Sprintf("want at most %d", maxNames))
	}
	d.checkNames(checked)
	return checked.err
}

func (d *Discovery) checkNames(checked *checks) {
	seen := map[string]bool{} // DNS names are the same in any case
	for i, name := range d.Names {
		field := fmt.Sprintf("name[%d].srv", i)
		canonical := strings.ToLower(dns.Fqdn(name.SRV))
		switch {
		case !isServiceName(name.SRV):
			checked.fail(field, "want _service._proto.name")
		case seen[canonical]:
			checked.fail(field, "named twice")
		}
		seen[canonical] = true
		if name.Group < 0 || name.Group > maxGroup {
			checked.fail(fmt.Sprintf("name[%d].group", i), fmt.Sprintf("want 0 to %d", maxGroup))
		}
	}
}

// isServiceName reports whether the text has the form of RFC 2782, _service._proto.name.
func isServiceName(text string) bool {
	labels := dns.SplitDomainName(text)
	_, valid := dns.IsDomainName(text)
	return valid && len(labels) >= minSRVLabels &&
		strings.HasPrefix(labels[0], "_") && strings.HasPrefix(labels[1], "_")
}
