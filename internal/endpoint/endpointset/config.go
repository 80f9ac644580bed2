package endpointset

import "errors"

// Config bounds what a Set keeps. Times are in microseconds.
type Config struct {
	// MaxStale is how long a DNS record is kept past its TTL while its name cannot be looked up (RFC 8767).
	MaxStale int64
	// DrainTimeout is the longest that an endpoint that vanished from DNS drains before it is removed.
	DrainTimeout int64
	// TombstoneTTL is how long a removal by the endpoint list keeps DNS from adding that address again.
	TombstoneTTL int64
	// MaxRecords bounds the records kept for one name, MaxEndpoints the entries kept of the endpoint list.
	MaxRecords, MaxEndpoints int
}

// ErrConfig is what every ConfigError wraps.
var ErrConfig = errors.New("membership: bad config")

// ConfigError is a field of a Config that is out of range.
type ConfigError struct {
	Field   string // as operators know it
	Problem string
}

// Error names the field and what is wrong with it.
func (e *ConfigError) Error() string { return ErrConfig.Error() + ": " + e.Field + " " + e.Problem }

// Unwrap makes every ConfigError an ErrConfig.
func (e *ConfigError) Unwrap() error { return ErrConfig }

// check returns a ConfigError for the first field that is out of range.
func (c Config) check() error {
	const negative = "is negative"
	switch {
	case c.MaxStale < 0:
		return &ConfigError{"stale_for", negative}
	case c.DrainTimeout < 0:
		return &ConfigError{"drain_for", negative}
	case c.TombstoneTTL < 0:
		return &ConfigError{"tombstone", negative}
	case c.MaxRecords < 1 || c.MaxEndpoints < 1:
		return &ConfigError{"most_records and most_pools", "want at least 1"}
	}
	return nil
}
