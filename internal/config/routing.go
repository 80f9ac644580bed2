package config

import (
	"slices"
	"time"

	"eidertrail/internal/routing"
)

// Defaults of a routing file.
const (
	defaultSpillBudget         = 0.3
	defaultSpillDelay          = 100 * time.Millisecond
	defaultOutlierWindow       = 10 * time.Second
	defaultEjectionThreshold   = 0.5
	defaultMinSamples          = 8
	defaultEjectionTime        = 10 * time.Second
	defaultMaxEjectionTime     = 2 * time.Minute
	defaultFlapWindow          = time.Minute
	defaultZoneSlowStart       = 30 * time.Second
	defaultZoneStartupCapacity = 0.1
)

// maxZones is how many zones a routing file may name; the error's text states it.
const maxZones = 64

// Routing is the configuration of zone-aware routing (deploy/routing.toml).
type Routing struct {
	Zone              string                `toml:"zone"`        // this controller's zone
	Zones             []string              `toml:"zones"`       // every zone there is
	Tiers             map[string][][]string `toml:"tiers"`       // by zone: its priority levels, nearest first
	Class             map[string]ClassTiers `toml:"class"`       // by the class's name: levels of its own
	SpillBudget       float64               `toml:"spill_share"` // of a level's agents, for other zones' calls
	SpillDelay        time.Duration         `toml:"spill_after"` // in the queue, after which the next level opens
	Window            time.Duration         `toml:"window"`      // of the outcomes that a zone is judged by
	EjectionThreshold float64               `toml:"out_share"`   // failure rate in the window that ejects a zone
	MinSamples        int                   `toml:"least"`       // outcomes below which a zone is not judged
	EjectionTime      time.Duration         `toml:"hold"`        // minimum time ejected
	MaxEjectionTime   time.Duration         `toml:"most_hold"`   // maximum time ejected, after flaps
	FlapWindow        time.Duration         `toml:"flap_within"` // an ejection so soon after a return is a flap
	SlowStartWindow   time.Duration         `toml:"warm_up"`     // slow start of a returning pool or zone
	SlowStartCapacity float64               `toml:"warm_from"`   // the fraction of its capacity it starts at
}

// ClassTiers are the priority levels of one class, by zone.
type ClassTiers struct {
	Tiers map[string][][]string `toml:"tiers"`
}

// LoadRouting reads the file at path. An error is one line that names the field.
func LoadRouting(path string) (*Routing, error) { return loadFile(RoutingFile, path, ParseRouting) }

// ParseRouting reads the text of a routing file.
func ParseRouting(text string) (*Routing, error) {
	return parseChecked(RoutingFile, text, &Routing{
		SpillBudget:       defaultSpillBudget,
		SpillDelay:        defaultSpillDelay,
		Window:            defaultOutlierWindow,
		EjectionThreshold: defaultEjectionThreshold,
		MinSamples:        defaultMinSamples,
		EjectionTime:      defaultEjectionTime,
		MaxEjectionTime:   defaultMaxEjectionTime,
		FlapWindow:        defaultFlapWindow,
		SlowStartWindow:   defaultZoneSlowStart,
		SlowStartCapacity: defaultZoneStartupCapacity,
	})
}

func (r *Routing) check() error {
	if len(r.Zones) == 0 || len(r.Zones) > maxZones {
		return &FieldError{File: RoutingFile, Field: "zones", Reason: "want 1 to 64 zones"}
	}
	if err := r.config(1, 1).Check(r.Zones); err != nil {
		return rejectedRouting("", err)
	}
	known := map[string]bool{}
	for _, zone := range r.Zones {
		known[zone] = true
	}
	for name, class := range r.Class {
		if err := routing.CheckPriorityLevels(class.Tiers, known); err != nil {
			return rejectedRouting("class."+name, err)
		}
	}
	return nil
}

// Router makes the routing.Router of the file, for a fleet of so many nodes and the settings' classes.
func (r *Routing) Router(nodes int, classes []string) (*routing.Router, error) {
	cfg := r.config(nodes, len(classes))
	cfg.ClassPriorityLevels = map[int]map[string][][]string{}
	for name, class := range r.Class {
		i := slices.Index(classes, name)
		if i < 0 {
			return nil, &FieldError{File: RoutingFile, Field: "class." + name, Reason: "not a class of the settings"}
		}
		cfg.ClassPriorityLevels[i] = class.Tiers
	}
	router, err := routing.New(cfg, r.Zones)
	if err != nil {
		return nil, rejectedRouting("", err)
	}
	return router, nil
}

func (r *Routing) config(nodes, classes int) routing.Config {
	return routing.Config{
		Zone:              r.Zone,
		PriorityLevels:    r.Tiers,
		Classes:           classes,
		SpillBudget:       r.SpillBudget,
		SpillDelay:        r.SpillDelay.Microseconds(),
		Window:            r.Window.Microseconds(),
		EjectionThreshold: r.EjectionThreshold,
		MinSamples:        r.MinSamples,
		EjectionTime:      r.EjectionTime.Microseconds(),
		MaxEjectionTime:   r.MaxEjectionTime.Microseconds(),
		FlapWindow:        r.FlapWindow.Microseconds(),
		SlowStartWindow:   r.SlowStartWindow.Microseconds(),
		SlowStartCapacity: r.SlowStartCapacity,
		Nodes:             max(nodes, 1),
	}
}

// rejectedRouting is an error of package routing, about a field below parent.
func rejectedRouting(parent string, err error) error {
	return rejectedSettings(RoutingFile, "routing: bad config: ", parent, err)
}
