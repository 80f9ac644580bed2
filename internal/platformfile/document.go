// Package platformfile is the platform's configuration of a session controller as it is written, for those that play
// the platform: experiments and trials. internal/config reads it.
package platformfile

// Document is a session controller's configuration. Durations are in ns.
type Document struct {
	Name     string   `json:"name"`
	Listen   string   `json:"listen"`
	Control  string   `json:"control,omitempty"`  // the address for operators
	Bulletin string   `json:"bulletin,omitempty"` // the endpoint list's server
	Seed     string   `json:"seed"`
	Limits   Limits   `json:"limits"`
	Known    Known    `json:"known"`
	Settings Settings `json:"settings"`
}

// Limits are what the process may use.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// Known is a version of the endpoint list.
type Known struct {
	Version int    `json:"no"`
	Items   []Item `json:"items"`
}

// Item is an event of the endpoint list.
type Item struct {
	Version int    `json:"no"`
	Roster  Roster `json:"roster"`
}

// Roster is what an event says of endpoints: all of them, or those that have changed.
type Roster struct {
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is an endpoint in the list.
type Target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// Settings are the site's.
type Settings struct {
	Controllers int     `json:"balancers"`
	Index       int     `json:"index"`
	Tick        int64   `json:"tick"`
	Extra       Extra   `json:"extra"`
	Caps        Caps    `json:"caps"`
	Rules       Rules   `json:"rules"`
	Classes     []Class `json:"request_classes"`
}

// Extra are the settings of this kind of service.
type Extra struct {
	ReleaseWait        int64   `json:"clear_wait"`
	RetransmitInterval int64   `json:"t1"`
	Shape              string  `json:"shape,omitempty"`
	MeanHoldingTimes   []int64 `json:"mean_hold"`
	AllowedPools       [][]int `json:"allowed_pools"`
}

// Caps are what the site permits.
type Caps struct {
	MaxAttempts int `json:"max_attempts"`
}

// Rules are the figures of the site's rules.
type Rules struct {
	SlowStartWindow   int64   `json:"cold"`
	SlowStartCapacity float64 `json:"cold_share"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	OverloadWindow    int64   `json:"tip_after"`
}

// Class is a class of calls.
type Class struct {
	Name             string  `json:"name"`
	LatencyObjective int64   `json:"promise"`
	Deadline         int64   `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	LateFactor       float64 `json:"late_worth"`
	Effect           string  `json:"effect,omitempty"` // "unsafe": must not be repeated
}
