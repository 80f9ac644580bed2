package config

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"eidertrail/internal/routing"
)

// Routing is the configuration of zone-aware routing (deploy/routing.toml).
type Routing struct {
	Zone              string                `toml:"zone"`        // this controller's zone
	Zones             []string              `toml:"zones"`       // every zone there is
	Tiers             map[string][][]string `toml:"tiers"`       // by zone: the tiers it spills to, nearest first
	Class             map[string]ClassTiers `toml:"class"`       // by the class's name: tiers of its own
	SpillBudget       float64               `toml:"spill_share"` // of a tier's agents that another zone's calls may hold
	SpillDelay        time.Duration         `toml:"spill_after"` // a call that has waited so long opens the next tier
	Window            time.Duration         `toml:"window"`      // outcomes a zone is judged by
	EjectionThreshold float64               `toml:"out_share"`   // failures in the window that take a zone out
	MinSamples        int                   `toml:"least"`       // outcomes below which a zone is not judged
	EjectionTime      time.Duration         `toml:"hold"`        // least time out
	MaxEjectionTime   time.Duration         `toml:"most_hold"`   // most time out after flaps
	FlapWindow        time.Duration         `toml:"flap_within"` // out again within this of a return: a flap
	SlowStartWindow   time.Duration         `toml:"warm_up"`     // slow start of a returning pool or zone
	SlowStartCapacity float64               `toml:"warm_from"`   // the share of its capacity it starts at
}

// ClassTiers are the tiers of one class.
type ClassTiers struct {
	Tiers map[string][][]string `toml:"tiers"`
}

// Router makes the routing.Router of the file, for nodes controllers and the settings' classes.
func (r *Routing) Router(nodes int, classes []string) (*routing.Router, error) {
	cfg := r.config(nodes, len(classes))
	cfg.ClassTiers = map[int]map[string][][]string{}
	for name, c := range r.Class {
		i := slices.Index(classes, name)
		if i < 0 {
			return nil, fmt.Errorf("routing: class.%s: not a class of the settings", name)
		}
		cfg.ClassTiers[i] = c.Tiers
	}
	router, err := routing.New(cfg, r.Zones)
	if err != nil {
		return nil, oneLine("", err)
	}
	return router, nil
}

func oneLine(field string, err error) error {
	return fmt.Errorf("routing: %s%s", field, strings.TrimPrefix(err.Error(), "routing: bad config: "))
}

func (r *Routing) config(nodes, classes int) routing.Config {
	return routing.Config{
		Zone: r.Zone, Tiers: r.Tiers, Classes: classes, SpillBudget: r.SpillBudget, SpillDelay: r.SpillDelay.Microseconds(),
		Window:            r.Window.Microseconds(),
		EjectionThreshold: r.EjectionThreshold, MinSamples: r.MinSamples, EjectionTime: r.EjectionTime.Microseconds(), MaxEjectionTime: r.MaxEjectionTime.Microseconds(),
		FlapWindow: r.FlapWindow.Microseconds(), SlowStartWindow: r.SlowStartWindow.Microseconds(), SlowStartCapacity: r.SlowStartCapacity, Nodes: max(nodes, 1),
	}
}

// LoadRouting reads the file at path. An error is one line that names the field.
func LoadRouting(path string) (*Routing, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	return ParseRouting(string(text))
}

// ParseRouting reads the text of a routing file.
func ParseRouting(text string) (*Routing, error) {
	r := &Routing{
		SpillBudget: 0.3, SpillDelay: 100 * time.Millisecond, Window: 10 * time.Second, EjectionThreshold: 0.5, MinSamples: 8, EjectionTime: 10 * time.Second,
		MaxEjectionTime: 2 * time.Minute, FlapWindow: time.Minute, SlowStartWindow: 30 * time.Second, SlowStartCapacity: 0.1,
	}
	if _, err := decode("routing", text, r); err != nil {
		return nil, err
	}
	if len(r.Zones) == 0 || len(r.Zones) > 64 {
		return nil, fmt.Errorf("routing: zones: want 1 to 64 zones")
	}
	if err := r.config(1, 1).Check(r.Zones); err != nil {
		return nil, oneLine("", err)
	}
	known := map[string]bool{}
	for _, z := range r.Zones {
		known[z] = true
	}
	for name, c := range r.Class {
		if err := routing.CheckTiers(c.Tiers, known); err != nil {
			return nil, oneLine("class."+name+".", err)
		}
	}
	return r, nil
}
