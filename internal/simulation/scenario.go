package simulation

import (
	"fmt"
	"slices"
	"time"

	"eidertrail"
	"eidertrail/internal/config"
	"eidertrail/internal/routing"
	"eidertrail/internal/slowstart"
)

// Scenario is a deployment, its callers and the faults that occur. Its file is TOML; durations are texts such as "4ms".
type Scenario struct {
	Name        string          `toml:"name"`
	Length      time.Duration   `toml:"length"`      // of the time in which callers arrive
	Controllers int             `toml:"controllers"` // that share the pools
	Zone        []string        `toml:"zone"`        // of the controllers, in turn
	Settings    Settings        `toml:"settings"`
	Class       []Class         `toml:"class"`
	Callers     Callers         `toml:"callers"`
	Pool        []Pool          `toml:"pool"`
	Network     NetworkSettings `toml:"net"`
	SRV         *SRV            `toml:"srv"`     // absent: the endpoint list announces the pools
	Fleet       *Fleet          `toml:"fleet"`   // absent: controllers do not know each other
	Routing     map[string]any  `toml:"routing"` // as in a routing file, but for its zone; absent: off
	Event       []Event         `toml:"event"`

	routing string // the text of the section
	text    string
}

// Settings are those of the platform.
type Settings struct {
	ReleaseWait        time.Duration `toml:"release"`
	RetransmitInterval time.Duration `toml:"resend"`
	SlowStartWindow    time.Duration `toml:"cold"`
	SlowStartCapacity  float64       `toml:"cold_share"`
	OverloadMultiple   float64       `toml:"fall_multiple"`
	OverloadWindow     time.Duration `toml:"fall_after"`
	MaxAttempts        int           `toml:"max_attempts"`
	// DrainGrace is how long after the notification of a drain the rules allow a set-up to be sent.
	DrainGrace time.Duration `toml:"grace"`
	// Retransmits has set-ups repeated after RetransmitInterval, then at intervals that double: work for their pool.
	Retransmits bool          `toml:"repeats"`
	Tick        time.Duration `toml:"tick"`
}

// Class is a class of calls.
type Class struct {
	Name             string        `toml:"name"`
	Fraction         float64       `toml:"share"` // of the calls
	LatencyObjective time.Duration `toml:"aim"`
	Deadline         time.Duration `toml:"deadline"`
	PriorityWeight   float64       `toml:"worth"`
	LateFactor       float64       `toml:"late_worth"`
	MeanHoldingTime  time.Duration `toml:"hold"`
	Groups           []int         `toml:"groups"` // of the pools that it may use; none: all
}

// Callers are the callers of all controllers.
type Callers struct {
	Rate              float64       `toml:"rate"`    // new calls a second
	AttemptFraction   float64       `toml:"try"`     // the part of the deadline that a caller waits for one request
	Retries           int           `toml:"retries"` // after a rejection, or a request in vain
	Backoff           time.Duration `toml:"backoff"` // before a retry; longer if the answer asks for it
	ControllerWeights []float64     `toml:"shares"`  // of the new calls, by controller; none: all alike
}

// Pool is a number of pools of one kind.
type Pool struct {
	Name           string        `toml:"name"` // NAME1, NAME2, ... if there are several
	Count          int           `toml:"count"`
	Group          int           `toml:"group"` // of the first; each pool has one of its own
	Zone           string        `toml:"zone"`
	Agents         int           `toml:"agents"`
	ServiceTime    time.Duration `toml:"work"`      // of a set-up, on the pool's one processor
	MaxWait        time.Duration `toml:"most_wait"` // for the processor; set-ups that would wait longer are rejected
	ReportInterval time.Duration `toml:"tell"`      // of load reports
	ErrorRate      float64       `toml:"errors"`    // the fraction of the set-ups that fail
	LoadUnreported bool          `toml:"untold"`
	ReportNoise    float64       `toml:"noise"` // free agents are reported wrongly by up to this part of all agents
}

// NetworkSettings are the delays and the losses of messages. Ranges are the lowest and the highest value.
type NetworkSettings struct {
	Near         [2]Duration `toml:"near"`       // one way within a zone
	Far          [2]Duration `toml:"far"`        // one way between zones
	ListDelay    [2]Duration `toml:"list"`       // from a change to its announcement by the endpoint list
	ListSkew     Duration    `toml:"list_apart"` // between the first controller that is notified and the last
	PeerDelay    [2]Duration `toml:"peers"`
	PeerLoss     float64     `toml:"peer_loss"` // of the datagrams between controllers
	RefusalDelay Duration    `toml:"refuse"`    // that a refused connection takes in addition
}

// SRV has the controllers discover their pools by DNS SRV names, one for each kind of pool, in place of the endpoint
// list.
type SRV struct {
	TTL          time.Duration `toml:"ttl"`
	Floor        time.Duration `toml:"floor"`     // of the time between refreshes, and between retries
	Ceiling      time.Duration `toml:"ceiling"`   // of the same
	StaleWindow  time.Duration `toml:"stale_for"` // in which records are used past their TTL while look-ups fail
	DrainTimeout time.Duration `toml:"drain_for"` // of a pool whose record is gone
	TCPDelay     time.Duration `toml:"tcp"`       // that an answer over TCP takes in addition
}

// Fleet has the controllers know each other, and with a lease divide quotas of the pools.
type Fleet struct {
	ProbeInterval     time.Duration `toml:"probe_interval"`
	Lease             time.Duration `toml:"lease"` // 0: no quotas
	Margin            time.Duration `toml:"margin"`
	SlowStartFraction float64       `toml:"cold_part"`
	ReportCapacity    bool          `toml:"rates"` // pools report the rate that they accept
}

// Duration is a time.Duration within a list.
type Duration time.Duration

// UnmarshalText reads a text such as "4ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

func (d Duration) microseconds() int64 { return time.Duration(d).Microseconds() }

func milliseconds(n int64) Duration { return Duration(time.Duration(n) * time.Millisecond) }

// slowStart is the profile of a process that has just started.
func (s *Settings) slowStart() slowstart.Profile {
	return slowstart.Profile{
		InitialCapacity:  s.SlowStartCapacity,
		Window:           s.SlowStartWindow.Microseconds(),
		OverloadMultiple: s.OverloadMultiple,
		OverloadWindow:   s.OverloadWindow.Microseconds(),
	}
}

// poolNames are the names of all pools, and their zones.
func (s *Scenario) poolNames() (names, zones []string) {
	for _, p := range s.Pool {
		for i := range max(p.Count, 1) {
			names = append(names, p.uid(i))
		}
		if !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	return names, zones
}

// uid is the name of the pool of an index among those of one kind.
func (p Pool) uid(index int) string {
	if p.Count <= 1 {
		return p.Name
	}
	return fmt.Sprintf("%s%d", p.Name, index+1)
}

// settings are those of the controller of an index.
func (s *Scenario) settings(index int) eidertrail.Settings {
	settings := eidertrail.Settings{
		Nodes:              s.Controllers,
		Index:              index,
		OwnExchange:        -1,
		ReleaseWait:        s.Settings.ReleaseWait,
		RetransmitInterval: s.Settings.RetransmitInterval,
		MaxAttempts:        s.Settings.MaxAttempts,
		SlowStartWindow:    s.Settings.SlowStartWindow,
		SlowStartCapacity:  s.Settings.SlowStartCapacity,
		OverloadMultiple:   s.Settings.OverloadMultiple,
		OverloadWindow:     s.Settings.OverloadWindow,
		Tick:               s.Settings.Tick,
	}
	for _, c := range s.Class {
		settings.Classes = append(settings.Classes, eidertrail.Class{
			Name:             c.Name,
			LatencyObjective: c.LatencyObjective,
			Deadline:         c.Deadline,
			PriorityWeight:   c.PriorityWeight,
			LateFactor:       c.LateFactor,
			Pools:            c.Groups,
			MeanHoldingTime:  c.MeanHoldingTime,
		})
	}
	return settings
}

// zone is that of the controller of an index.
func (s *Scenario) zone(index int) string {
	if len(s.Zone) == 0 {
		return ""
	}
	return s.Zone[index%len(s.Zone)]
}

// router is that of the controller of an index, nil where routing is off.
func (s *Scenario) router(index int) (*routing.Router, error) {
	if s.routing == "" {
		return nil, nil
	}
	r, err := config.ParseRouting(fmt.Sprintf("zone = %q\n%s", s.zone(index), s.routing))
	if err != nil {
		return nil, err
	}
	classes := make([]string, 0, len(s.Class))
	for _, c := range s.Class {
		classes = append(classes, c.Name)
	}
	return r.Router(s.Controllers, classes)
}
