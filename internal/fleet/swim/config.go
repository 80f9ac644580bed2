package swim

import (
	"errors"
	"fmt"
	"math"
)

// MaxMembers bounds a fleet.
const MaxMembers = 512

// Bounds of the other settings.
const (
	minIntervalMicros = 10_000
	maxIndirect       = 16
	minSuspicionMult  = 2
	maxSuspicionMult  = 64
	maxSuspicionMax   = 64
	maxRetransmit     = 16
)

// The settings of Default.
const (
	defaultIntervalMicros = 1_000_000
	defaultTimeoutMicros  = 300_000
	defaultIndirect       = 3
	defaultSuspicionMult  = 4
	defaultSuspicionMax   = 3
	defaultRetransmit     = 4
)

// Config is the configuration of a Node. Times are in µs.
type Config struct {
	Self    int // this member's number
	Members int // how many there are, 1 to MaxMembers
	// ProbeInterval is the time from one probe to the next, Timeout the time for a direct probe's acknowledgement, after
	// which others are requested to probe: at most half the interval. Both are multiplied by 1 + the local health score.
	ProbeInterval, ProbeTimeout int64
	IndirectProbes              int // how many others are requested to probe indirectly
	// A suspicion lasts SuspicionMult * max(1, log10(members)) intervals once enough others have confirmed it, and
	// SuspicionMax times as long without confirmations; longer while this node's own health is bad.
	SuspicionMultiplier, MaxSuspicionMultiplier int
	// RetransmitMultiplier * ceil(log10(members + 1)) is how often an update is transmitted.
	RetransmitMultiplier int
}

// ErrConfig is the error of an invalid Config; the message names the field.
var ErrConfig = errors.New("cluster: bad config")

// DefaultConfig returns the settings of a fleet of so many members: a crash is detected everywhere within
// DetectionTime.
func DefaultConfig(self, members int) Config {
	return Config{
		Self:                   self,
		Members:                members,
		ProbeInterval:          defaultIntervalMicros,
		ProbeTimeout:           defaultTimeoutMicros,
		IndirectProbes:         defaultIndirect,
		SuspicionMultiplier:    defaultSuspicionMult,
		MaxSuspicionMultiplier: defaultSuspicionMax,
		RetransmitMultiplier:   defaultRetransmit,
	}
}

// Check returns an error that wraps ErrConfig for the first field that is out of bounds.
func (c Config) Check() error {
	switch {
	case c.Members < 1 || c.Members > MaxMembers:
		return fmt.Errorf("%w: peers: %d members, want 1 to %d", ErrConfig, c.Members, MaxMembers)
	case c.Self < 0 || c.Self >= c.Members:
		return fmt.Errorf("%w: index: %d, want 0 to %d", ErrConfig, c.Self, c.Members-1)
	case c.ProbeInterval < minIntervalMicros:
		return fmt.Errorf("%w: probe_interval: want 10ms or more", ErrConfig)
	case c.ProbeTimeout <= 0 || c.ProbeTimeout > c.ProbeInterval/2:
		return fmt.Errorf("%w: probe_timeout: want more than 0, at most half of probe_interval", ErrConfig)
	case c.IndirectProbes < 0 || c.IndirectProbes > maxIndirect:
		return fmt.Errorf("%w: indirect: want 0 to %d", ErrConfig, maxIndirect)
	case c.SuspicionMultiplier < minSuspicionMult || c.SuspicionMultiplier > maxSuspicionMult:
		return fmt.Errorf("%w: suspicion_mult: want %d to %d", ErrConfig, minSuspicionMult, maxSuspicionMult)
	case c.MaxSuspicionMultiplier < 1 || c.MaxSuspicionMultiplier > maxSuspicionMax:
		return fmt.Errorf("%w: suspicion_max: want 1 to %d", ErrConfig, maxSuspicionMax)
	case c.RetransmitMultiplier < 1 || c.RetransmitMultiplier > maxRetransmit:
		return fmt.Errorf("%w: retransmit: want 1 to %d", ErrConfig, maxRetransmit)
	}
	return nil
}

// DetectionTime is the time, in µs, within which all healthy members that hear one another hold a crashed member dead,
// without loss: it is probed within two rounds of the members, its suspicion is confirmed by nobody at the worst, and
// the update spreads in a few intervals.
func (c Config) DetectionTime() int64 {
	const (
		roundMarginDivisor = 4 // a round may take a quarter longer than its probes' intervals
		spreadMargin       = 2 // intervals beside those that an update takes to spread
	)
	rounds := int64(2*(c.Members-1)+1) * c.ProbeInterval
	rounds += rounds / roundMarginDivisor
	spread := int64(math.Ceil(math.Log2(float64(c.Members)))+spreadMargin) * c.ProbeInterval
	return rounds + c.suspicionTimeout(c.Members).longest + spread
}

// suspicionTimeout returns the time-outs of a suspicion among so many members that are alive or suspect.
func (c Config) suspicionTimeout(present int) suspicionTimeout {
	scale := max(1, math.Log10(float64(max(present, 1))))
	shortest := int64(float64(c.SuspicionMultiplier) * scale * float64(c.ProbeInterval))
	confirmations := max(0, min(c.SuspicionMultiplier-2, present-2))
	if confirmations == 0 {
		return suspicionTimeout{shortest: shortest, longest: shortest}
	}
	return suspicionTimeout{
		shortest:      shortest,
		longest:       shortest * int64(c.MaxSuspicionMultiplier),
		confirmations: confirmations,
	}
}

// maxTransmits is how often an update is transmitted.
func (c Config) maxTransmits() int {
	return c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(c.Members+1))))
}
