package quota

import (
	"errors"
	"fmt"
)

// ErrConfig is what every *ConfigError wraps.
var ErrConfig = errors.New("budget: bad config")

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field   string // as in the cluster file
	Problem string
}

func (e *ConfigError) Error() string { return ErrConfig.Error() + ": " + e.Problem }

// Unwrap returns ErrConfig.
func (e *ConfigError) Unwrap() error { return ErrConfig }

// Remedy implements remedy.Error.
func (e *ConfigError) Remedy() string {
	return "mend the field in the cluster file; without the file the controller runs alone"
}

// MessageError reports an invalid message of a member.
type MessageError struct{ Problem string }

func (e *MessageError) Error() string { return "budget: " + e.Problem }

// Remedy implements remedy.Error.
func (e *MessageError) Remedy() string {
	return "compare the versions of the two controllers, and that no other fleet uses their addresses"
}

// CapacityError reports a message about a resource for which there is no capacity beside the others.
type CapacityError struct {
	Resource string
	Others   int // how many resources are divided already
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("budget: no room for %q beside %d others", e.Resource, e.Others)
}

// Remedy implements remedy.Error.
func (e *CapacityError) Remedy() string {
	return fmt.Sprintf("divide at most %d pools at a time, or wait until the leases of removed pools have expired",
		MaxResources)
}
