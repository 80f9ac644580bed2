package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/miekg/dns"

	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
)

// Discovery is the configuration of DNS SRV as a source of sync pools (deploy/discovery.toml).
type Discovery struct {
	Server         string        `toml:"server"`          // host:port of the DNS server
	Timeout        time.Duration `toml:"timeout"`         // one exchange, UDP or TCP
	RefreshFloor   time.Duration `toml:"refresh_floor"`   // least time between two questions for a name
	RefreshCeiling time.Duration `toml:"refresh_ceiling"` // most time between them
	Jitter         float64       `toml:"jitter"`          // share of the TTL by which a refresh comes early
	StaleFor       time.Duration `toml:"stale_for"`       // a record is kept this long past its TTL while DNS fails
	DrainFor       time.Duration `toml:"drain_for"`       // the longest drain of a pool that vanished
	Tombstone      time.Duration `toml:"tombstone"`       // a bulletin's removal holds DNS out this long
	MaxRecords     int           `toml:"most_records"`    // records kept for one name
	Names          []SRVName     `toml:"name"`
}

// SRVName is one SRV name and the group its pools get.
type SRVName struct {
	SRV   string `toml:"srv"`   // _service._proto.name
	Group int    `toml:"group"` // the pod group that calls and classes name the pools by
	Zone  string `toml:"zone"`  // the zone of its pools, for routing; "" for none
}

// Schedule is when names are asked again, in µs.
func (d *Discovery) Schedule() srv.Schedule {
	return srv.Schedule{Floor: d.RefreshFloor.Microseconds(), Ceiling: d.RefreshCeiling.Microseconds(), Jitter: d.Jitter}
}

// EndpointSet is what the pool set keeps, in µs.
func (d *Discovery) EndpointSet() endpointset.Config {
	return endpointset.Config{
		StaleFor: d.StaleFor.Microseconds(), DrainFor: d.DrainFor.Microseconds(),
		Tombstone: d.Tombstone.Microseconds(), MaxRecords: d.MaxRecords, MaxEndpoints: 1024,
	}
}

// LoadDiscovery reads the file at path. An error is one line that names the field.
func LoadDiscovery(path string) (*Discovery, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return ParseDiscovery(string(text))
}

// ParseDiscovery reads the text of a discovery file.
func ParseDiscovery(text string) (*Discovery, error) {
	d := &Discovery{
		Timeout: 500 * time.Millisecond, RefreshFloor: time.Second, RefreshCeiling: 5 * time.Minute,
		Jitter: 0.1, StaleFor: 5 * time.Minute, DrainFor: 30 * time.Second, Tombstone: time.Minute, MaxRecords: 64,
	}
	if _, err := decode("discovery", text, d); err != nil {
		return nil, err
	}
	r := &reader{}
	r.checkAddress("server", d.Server)
	if d.Server == "" {
		r.fail("server", "want host:port")
	}
	within := func(field string, v, least, most time.Duration) {
		if v < least || v > most {
			r.fail(field, fmt.Sprintf("want %v to %v", least, most))
		}
	}
	within("timeout", d.Timeout, 10*time.Millisecond, 10*time.Second)
	within("refresh_floor", d.RefreshFloor, 100*time.Millisecond, time.Hour)
	within("refresh_ceiling", d.RefreshCeiling, d.RefreshFloor, 24*time.Hour)
	within("stale_for", d.StaleFor, 0, 24*time.Hour)
	within("drain_for", d.DrainFor, 0, time.Hour)
	within("tombstone", d.Tombstone, 0, 24*time.Hour)
	if !(d.Jitter >= 0 && d.Jitter <= 0.5) {
		r.fail("jitter", "want 0 to 0.5")
	}
	if d.MaxRecords < 1 || d.MaxRecords > srv.MaxRecords {
		r.fail("most_records", fmt.Sprintf("want 1 to %d", srv.MaxRecords))
	}
	if len(d.Names) == 0 {
		r.fail("name", "want at least one [[name]]")
	}
	if len(d.Names) > 32 {
		r.fail("name", "want at most 32")
	}
	seen := map[string]bool{}
	for i, n := range d.Names {
		field := fmt.Sprintf("name[%d].srv", i)
		labels := dns.SplitDomainName(n.SRV)
		_, ok := dns.IsDomainName(n.SRV)
		switch {
		case !ok || len(labels) < 3 || !strings.HasPrefix(labels[0], "_") || !strings.HasPrefix(labels[1], "_"):
			r.fail(field, "want _service._proto.name")
		case seen[strings.ToLower(dns.Fqdn(n.SRV))]:
			r.fail(field, "named twice")
		}
		seen[strings.ToLower(dns.Fqdn(n.SRV))] = true
		if n.Group < 0 || n.Group > 1<<16 {
			r.fail(fmt.Sprintf("name[%d].group", i), "want 0 to 65536")
		}
	}
	if r.err != nil {
		return nil, fmt.Errorf("discovery: %s", strings.TrimPrefix(r.err.Error(), "config: "))
	}
	return d, nil
}
