package eidertrail

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings are what the access node knows about its deployment at start.
type Settings struct {
	Nodes       int // access nodes in the tier, this one included
	Index       int // this node's number among them, from 0
	OwnExchange int // own exchange number in a mesh, -1 where servers are pools
	Classes     []Class

	ReleaseWait        time.Duration // wait after a timeout, reset or cancel before the next attempt
	RetransmitInterval time.Duration // the sender's stack retransmits an unanswered set-up after this; 0: never
	MaxAttempts        int           // attempts a call may have; 0: no limit
	PollEndpoints      bool          // the server list comes only when requested by Watch
	PollInterval       time.Duration // with PollEndpoints: the longest time between two requests

	SlowStartWindow   time.Duration // a started server reaches its full capacity no later than this
	SlowStartCapacity float64       // and starts with at least this share of it
	OverloadMultiple  float64       // a warming server that is sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long is overloaded and fails
	Tick              time.Duration // shortest time between two batches
}

// Idempotency states what a repeat of a set-up may do.
type Idempotency int

// The degrees of idempotency of a class.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // repeats are recognised by some servers
	NotIdempotent                      // a set-up that may have run must not be repeated
)

// Class is a class of call.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a call established within this earns its full weight
	Deadline         time.Duration // the caller keeps trying for this long
	PriorityWeight   float64
	LateFactor       float64 // fraction of the weight earned after the latency objective
	Idempotency      Idempotency
	Pools            []int         // pools the class may use; nil: all
	MeanHoldingTime  time.Duration // mean length of a call; 0: not known
}

// SettingsError reports a setting with an invalid value.
type SettingsError struct {
	Field     string // the field as the operators' files name it
	Reason    string // what is wrong with its value
	separator string // between the two in the text
}

// Error returns the field and the reason in one line.
func (e *SettingsError) Error() string { return "settings: " + e.Field + e.separator + e.Reason }

func invalidSetting(field, format string, values ...any) error {
	return &SettingsError{Field: field, Reason: fmt.Sprintf(format, values...), separator: " "}
}

// validate returns a *SettingsError for the first invalid field.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return invalidSetting("Classes", "is empty")
	case s.Nodes < 1:
		return invalidSetting("Nodes", "is %d, want at least 1", s.Nodes)
	case s.Index < 0 || s.Index >= s.Nodes:
		return invalidSetting("Index", "is %d, want 0 to %d", s.Index, s.Nodes-1)
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"Release", float64(s.ReleaseWait)},
		{"Resend", float64(s.RetransmitInterval)},
		{"Tick", float64(s.Tick)},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"AskWithin", float64(s.PollInterval)},
		{"Cold", float64(s.SlowStartWindow)},
		{"ColdShare", s.SlowStartCapacity},
		{"FallMultiple", s.OverloadMultiple},
		{"FallAfter", float64(s.OverloadWindow)},
	} {
		if !(field.value >= 0) || math.IsInf(field.value, 0) {
			return invalidSetting(field.name, "is %v, want 0 or more", field.value)
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("Classes[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the class that the settings hold as field.
func (k *Class) validate(field string) error {
	timesValid := k.Deadline > 0 && k.LatencyObjective >= 0 && k.MeanHoldingTime >= 0
	weightsValid := k.PriorityWeight >= 0 && k.LateFactor >= 0 // not for NaN either
	if !timesValid || !weightsValid {
		return &SettingsError{
			Field:     field,
			Reason:    "Aim, Deadline, Hold or a worth makes no sense",
			separator: ": ",
		}
	}
	if slices.ContainsFunc(k.Pools, func(pool int) bool { return pool < 0 }) {
		return invalidSetting(field+".Pools", "has a negative index")
	}
	return nil
}
