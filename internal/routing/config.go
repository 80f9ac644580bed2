package routing

import (
	"errors"
	"fmt"
)

// Config is the operator's. Times are in microseconds.
type Config struct {
	// Zone is the controller's own zone.
	Zone string
	// PriorityLevels are the priority levels of the classes that have none of their own.
	PriorityLevels PriorityTable
	// ClassPriorityLevels take the place of Tiers for single classes, by the class's index: an important class may spill
	// further than the rest, one that can wait not at all.
	ClassPriorityLevels map[int]PriorityTable
	// SpillBudget is the part of a priority level's capacity (its agents, this controller's quota of them) that calls of
	// this zone may hold in other zones, in flight and established together: 0 to 1.
	SpillBudget float64
	// SpillDelay is how long a call waits for capacity in the serving priority level before the next one opens. Without
	// it, calls would wait for a zone that the decision module uses only one call at a time, as after a failure: such a
	// zone is neither ejected nor full.
	SpillDelay int64
	// Window is how long an outcome counts in the judgement of its zone.
	Window int64
	// EjectionThreshold is the part of failures in the window from which on a zone is ejected.
	EjectionThreshold float64
	// MinSamples is how many outcomes a zone needs in the window to be judged. As many failures in a row eject it.
	MinSamples int
	// EjectionTime is the shortest time that a zone stays ejected, MaxEjectionTime the longest to which flapping prolongs
	// it.
	EjectionTime, MaxEjectionTime int64
	// FlapWindow is how soon after its return an ejection of a zone is flapping: it lasts twice as long as the one before.
	FlapWindow int64
	// SlowStartWindow is how long an endpoint that returns takes to reach its full capacity.
	SlowStartWindow int64
	// SlowStartCapacity is the part of its capacity that it starts with: 0 to 1.
	SlowStartCapacity float64
	// Classes is the number of classes of call, 1 to MaxClasses.
	Classes int
	// Nodes is the number of controllers that share the endpoints, each with its part of their agents.
	Nodes int
}

// ErrConfig is what every ConfigError wraps.
var ErrConfig = errors.New("routing: bad config")

// ConfigError is a field of a Config that is out of range.
type ConfigError struct {
	Field   string // or fields, as operators know them
	Problem string
}

// Error names the field and what is wrong with it.
func (e *ConfigError) Error() string { return ErrConfig.Error() + ": " + e.Field + ": " + e.Problem }

// Unwrap makes every ConfigError an ErrConfig.
func (e *ConfigError) Unwrap() error { return ErrConfig }

// Check returns a ConfigError for the first field that is out of range, names a zone that is not among the zones, or
// has a zone twice in its priority levels. It leaves ClassTiers to New.
func (c Config) Check(zones []string) error {
	known := setOf(zones)
	switch {
	case c.Zone == "" || !known[c.Zone]:
		return &ConfigError{"zone", fmt.Sprintf("%q is not a known zone", c.Zone)}
	case !(c.SpillBudget >= 0 && c.SpillBudget <= 1):
		return &ConfigError{"spill_share", "want 0 to 1 (0% to 100%)"}
	case !isPositivePart(c.EjectionThreshold):
		return &ConfigError{"out_share", "want more than 0, at most 1"}
	case !isPositivePart(c.SlowStartCapacity):
		return &ConfigError{"warm_from", "want more than 0, at most 1"}
	case !c.hasValidTimes():
		return &ConfigError{
			"spill_after, window, hold, most_hold, flap_within, warm_up",
			"want window > 0, most_hold >= hold >= 0",
		}
	case c.MinSamples < 1 || c.Nodes < 1:
		return &ConfigError{"least and nodes", "want at least 1"}
	case c.Classes < 1 || c.Classes > MaxClasses:
		return &ConfigError{"classes", fmt.Sprintf("want 1 to %d", MaxClasses)}
	}
	return CheckPriorityLevels(c.PriorityLevels, known)
}

// isPositivePart reports whether a number is over 0 and at most 1; NaN is not.
func isPositivePart(x float64) bool { return x > 0 && x <= 1 }

func (c Config) hasValidTimes() bool {
	return c.Window > 0 &&
		c.EjectionTime >= 0 &&
		c.MaxEjectionTime >= c.EjectionTime &&
		c.FlapWindow >= 0 &&
		c.SlowStartWindow >= 0 &&
		c.SpillDelay >= 0
}

// checkClassLevels returns a ConfigError for a class that does not exist or has bad priority levels.
func (c Config) checkClassLevels(zones []string, allClasses Classes) error {
	known := setOf(zones)
	for class, table := range c.ClassPriorityLevels {
		if !allClasses.Has(class) {
			return &ConfigError{fmt.Sprintf("class %d", class), "not a class"}
		}
		if err := CheckPriorityLevels(table, known); err != nil {
			return err
		}
	}
	return nil
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
