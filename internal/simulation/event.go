package simulation

import "time"

// Event is a fault, or another change, that occurs in a scenario.
type Event struct {
	At       time.Duration `toml:"at"`
	Duration time.Duration `toml:"for"` // 0: to the end
	Kind     EventKind     `toml:"kind"`
	Pool     string        `toml:"pool"` // the one that it concerns, "" for all
	Zone     string        `toml:"zone"` // of the pools that it concerns, "" for all
	// Factor multiplies the rate of calls in a burst, or the service time of a slow pool.
	Factor float64 `toml:"times"`
	// Fraction is that of the set-ups that fail, or of the datagrams that are lost.
	Fraction float64 `toml:"share"`
}

// EventKind is the kind of an event, as a scenario's file names it.
type EventKind string

// The kinds of event.
const (
	EventBurst        EventKind = "burst"   // Factor times the calls
	EventSlow         EventKind = "slow"    // set-ups take Factor times the service time
	EventCrash        EventKind = "crash"   // processes die with their calls; new ones start after Duration
	EventVanish       EventKind = "vanish"  // the machine is cut off the network
	EventReplace      EventKind = "replace" // the pool drains for Duration, then a new process takes its place
	EventErrors       EventKind = "errors"  // Fraction of the set-ups fail
	EventDatagramLoss EventKind = "lose"    // controllers lose Fraction of their datagrams
	EventStall        EventKind = "stand"   // the process of the first controller stalls
)

// The kinds of event that need a scenario with SRV names.
const (
	EventUnlist   EventKind = "unlist"   // the pool's record is taken out
	EventDNSDown  EventKind = "dns_down" // look-ups fail
	EventTruncate EventKind = "truncate" // every answer arrives truncated, and again over TCP
)

// eventKinds are all kinds, in the order in which an error lists them.
func eventKinds() []string {
	kinds := []EventKind{
		EventBurst, EventSlow, EventCrash, EventVanish, EventReplace, EventErrors, EventDatagramLoss, EventStall,
		EventUnlist, EventDNSDown, EventTruncate,
	}
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return names
}

// needsSRV reports whether only a scenario with SRV names can have the event.
func (k EventKind) needsSRV() bool {
	return k == EventUnlist || k == EventDNSDown || k == EventTruncate
}

// needsList reports whether only a scenario with an endpoint list can have the event.
func (k EventKind) needsList() bool { return k == EventCrash || k == EventReplace }

// hasFactor reports whether the event uses its Factor.
func (k EventKind) hasFactor() bool { return k == EventBurst || k == EventSlow }

// hasFraction reports whether the event uses its Fraction.
func (k EventKind) hasFraction() bool { return k == EventErrors || k == EventDatagramLoss }
