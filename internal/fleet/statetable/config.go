package statetable

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxValue is the longest value, in bytes.
	MaxValue = maxFragments * fragmentBytes
	// MaxKinds is how many kinds may be registered.
	MaxKinds = 16

	maxMembers     = 1 << 15 // an origin has two bytes in a message, and the end of a key range is one past the last
	minInterval    = 10 * time.Millisecond
	maxFanout      = 16
	maxPackets     = 16
	maxRetransmit  = 16
	maxDigestEvery = 1000
)

// The defaults of a Config.
const (
	defaultInterval    = 250 * time.Millisecond
	defaultFanout      = 2
	defaultPackets     = 2
	defaultRetransmit  = 2
	defaultDigestEvery = 2
)

// KindSpec registers a kind.
type KindSpec struct {
	Kind      Kind
	Name      string // for errors and logs
	MaxLength int    // of a value, in bytes
}

// Config configures a Table. Default fills in all but the kinds.
type Config struct {
	Self, Members int
	// Incarnation distinguishes the starts of this member. Each start has a higher one than the last, by its start time.
	Incarnation uint64
	Seed        uint64
	Interval    time.Duration // between two rounds of dissemination
	Fanout      int           // how many members get updates each Interval
	Packets     int           // how many datagrams of updates each of them gets at most
	Retransmit  int           // a fragment is transmitted Retransmit * ceil(log10(members+1)) times
	DigestEvery int           // how many Intervals pass between two digests
	Kinds       []KindSpec
}

// DefaultConfig returns the settings for a fleet of that many members, without kinds.
func DefaultConfig(self, members int, incarnation, seed uint64) Config {
	return Config{
		Self:        self,
		Members:     members,
		Incarnation: incarnation,
		Seed:        seed,
		Interval:    defaultInterval,
		Fanout:      defaultFanout,
		Packets:     defaultPackets,
		Retransmit:  defaultRetransmit,
		DigestEvery: defaultDigestEvery,
	}
}

// Check returns a *ConfigError for the first invalid field.
func (c Config) Check() error {
	switch {
	case c.Members < 1 || c.Self < 0 || c.Self >= c.Members:
		return &ConfigError{Field: "index", Want: "one of the members"}
	case c.Members > maxMembers:
		return &ConfigError{Field: "peers", Want: "32,768 members at the most"}
	case c.Interval < minInterval:
		return &ConfigError{Field: "interval", Want: "10ms or more"}
	}
	for _, field := range []struct {
		name       string
		value, max int
	}{
		{"fanout", c.Fanout, maxFanout},
		{"packets", c.Packets, maxPackets},
		{"retransmit", c.Retransmit, maxRetransmit},
		{"digest_every", c.DigestEvery, maxDigestEvery},
	} {
		if field.value < 1 || field.value > field.max {
			return &ConfigError{Field: field.name, Want: fmt.Sprintf("1 to %d", field.max)}
		}
	}
	return c.checkKinds()
}

func (c Config) checkKinds() error {
	if len(c.Kinds) > MaxKinds {
		return &ConfigError{Field: "kinds", Want: fmt.Sprintf("%d at the most", MaxKinds)}
	}
	for i, spec := range c.Kinds {
		duplicate := slices.ContainsFunc(c.Kinds[:i], func(earlier KindSpec) bool { return earlier.Kind == spec.Kind })
		if duplicate || spec.MaxLength < 1 || spec.MaxLength > MaxValue {
			return &ConfigError{Field: "kind " + spec.Name, Want: fmt.Sprintf("each once, with 1 to %d bytes", MaxValue)}
		}
	}
	return nil
}

// spec returns the registration of a kind, nil where it is not registered.
func (c *Config) spec(kind Kind) *KindSpec {
	for i := range c.Kinds {
		if c.Kinds[i].Kind == kind {
			return &c.Kinds[i]
		}
	}
	return nil
}
