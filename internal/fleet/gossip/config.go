package gossip

import (
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// Clock is a monotonic clock, in µs.
type Clock interface {
	Now() int64
}

// Config is the configuration of a Runner.
type Config struct {
	Node        swim.Config
	Listen      string   // UDP address:port
	Peers       []string // addresses by member number; this member's own is included and not used
	Fleet       string   // the fleet's name; datagrams of another fleet are rejected
	Incarnation uint64
	Seed        uint64
	Clock       Clock
	Log         zerolog.Logger
	Counters    *telemetry.Counters
	// Protocols are the other protocols between the members, in the order in which they are called.
	Protocols []Protocol
	// ProtocolInterval is the time between two Ticks of the protocols, 0 for none.
	ProtocolInterval time.Duration
}
