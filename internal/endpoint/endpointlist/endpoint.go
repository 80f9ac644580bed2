// Package endpointlist follows the list of sync pools that the platform publishes (its bulletin): numbered events, of
// which the configuration holds the first and a long poll brings the rest. An event is a change of some endpoints or a
// snapshot of all of them.
//
// Watch delivers each event once and in order, across failures, moves to another address, and lists whose versions go
// back. Times are readings of the daemon's clock in microseconds.
package endpointlist

import (
	"cmp"
	"errors"
)

// State is an endpoint's state as the list gives it.
type State int

// The states of an endpoint.
const (
	Up       State = iota // takes new set-ups
	Draining              // finishes what it has, takes nothing new
	Removed               // gone
)

// Endpoint is one sync pool of the list. Its UID names it; its address may have been another endpoint's before.
type Endpoint struct {
	UID       string
	Address   string // host:port; empty where a removal does not give it
	Group     int    // the number by which calls and classes name it
	Zone      string // its availability zone ("az"), "" where the list does not give it
	StartedAt int64  // clock reading of its start, 0: before any time worth knowing
	State     State
}

// Event is one change of the list. A snapshot names every endpoint: one that it does not name is removed.
type Event struct {
	Version   int64 // 0: the event has none of its own
	Snapshot  bool
	Endpoints []Endpoint
}

// Page is an answer to a poll: the version of the last event, and events ordered by their versions.
type Page struct {
	Version int64
	Events  []Event
}

// versionOf returns the event's version, or the page's for an event that has none.
func (p Page) versionOf(e Event) int64 { return cmp.Or(e.Version, p.Version) }

// ErrInvalidEndpoint reports an invalid endpoint on a page. The page holds the others, and may be used.
var ErrInvalidEndpoint = errors.New("bulletin: a pool that makes no sense")
