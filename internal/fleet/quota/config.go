package quota

import "fmt"

const (
	// MaxResources is how many resources are divided at a time.
	MaxResources = 64
	// MaxNameLength is the longest name of a resource, in bytes.
	MaxNameLength = 100

	minTTL = 1000 // µs
)

// Config configures an Allocator.
type Config struct {
	Self, Members int
	// Incarnation differs at each start of the member, so a grant for a request of an earlier start is not taken for
	// one of this start.
	Incarnation uint32
	OwnedUnits  int   // the units of each resource that a member owns: the total is Members * Unit
	Reserved    int   // how many of the own units are never lent
	TTL         int64 // the length of a lease, µs
	// Margin is for how much longer than TTL the lender leaves the units alone, µs. It has to cover the drift between
	// two clocks within a lease, and the time from a decision until its request is sent.
	Margin int64
}

// Check returns a *ConfigError for the first invalid field.
func (c Config) Check() error {
	switch {
	case c.Members < 1 || c.Self < 0 || c.Self >= c.Members:
		return &ConfigError{Field: "index", Problem: fmt.Sprintf("member %d of %d", c.Self, c.Members)}
	case c.OwnedUnits < 1 || c.Reserved < 0 || c.Reserved > c.OwnedUnits:
		return &ConfigError{Field: "keep", Problem: "keep: want 0 to 1"}
	case c.TTL < minTTL || c.Margin < 0:
		return &ConfigError{
			Field:   "lease, margin",
			Problem: "lease, margin: want a lease of 1ms or more, a margin of 0 or more",
		}
	}
	return nil
}

// isPeer reports whether the index is that of another member.
func (c Config) isPeer(member int) bool { return member >= 0 && member < c.Members && member != c.Self }

// leaseAtLender is for how long a lender counts a lease, µs.
func (c Config) leaseAtLender() int64 { return c.TTL + c.Margin }
