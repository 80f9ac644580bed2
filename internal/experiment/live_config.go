package experiment

import "strconv"

// daemonConfig is the daemon's deployment file, as the platform writes it. Durations are in ns.
type daemonConfig struct {
	Name     string         `json:"name"`
	Listen   string         `json:"listen"`
	Seed     string         `json:"seed"`
	Limits   limitsConfig   `json:"limits"`
	Known    knownConfig    `json:"known"`
	Settings settingsConfig `json:"settings"`
}

type limitsConfig struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// knownConfig is a version of the endpoint list.
type knownConfig struct {
	Version int               `json:"no"`
	Items   []knownItemConfig `json:"items"`
}

type knownItemConfig struct {
	Version int          `json:"no"`
	Roster  rosterConfig `json:"roster"`
}

type rosterConfig struct {
	All     bool           `json:"all"`
	Targets []targetConfig `json:"targets"`
}

type targetConfig struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

type settingsConfig struct {
	Controllers int           `json:"balancers"`
	Index       int           `json:"index"`
	Tick        int64         `json:"tick"`
	Extra       extraConfig   `json:"extra"`
	Caps        capsConfig    `json:"caps"`
	Rules       rulesConfig   `json:"rules"`
	Classes     []classConfig `json:"request_classes"`
}

type extraConfig struct {
	ReleaseWait        int64   `json:"clear_wait"`
	RetransmitInterval int64   `json:"t1"`
	Shape              string  `json:"shape,omitempty"`
	MeanHoldingTimes   []int64 `json:"mean_hold"`
	AllowedPools       [][]int `json:"allowed_pools"`
}

type capsConfig struct {
	MaxAttempts int `json:"max_attempts"`
}

type rulesConfig struct {
	SlowStartWindow   int64   `json:"cold"`
	SlowStartCapacity float64 `json:"cold_share"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	OverloadWindow    int64   `json:"tip_after"`
}

type classConfig struct {
	Name             string  `json:"name"`
	LatencyObjective int64   `json:"promise"`
	Deadline         int64   `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	LateFactor       float64 `json:"late_worth"`
}

// newDaemonConfig is the file of the controller of an index.
func newDaemonConfig(variant *Variant, index int, targets []targetConfig) daemonConfig {
	settings := variant.Settings
	config := daemonConfig{
		Name:   "n" + strconv.Itoa(index),
		Listen: "127.0.0.1:0",
		Seed:   strconv.FormatInt(int64(index)+1, 16),
		Limits: limitsConfig{MemoryMB: memoryLimitMB, Sockets: socketLimit},
		Known: knownConfig{
			Version: 1,
			Items:   []knownItemConfig{{Version: 1, Roster: rosterConfig{All: true, Targets: targets}}},
		},
		Settings: settingsConfig{
			Controllers: variant.Controllers,
			Index:       index,
			Tick:        settings.Tick.Nanoseconds(),
			Extra: extraConfig{
				ReleaseWait:        settings.ReleaseWait.Nanoseconds(),
				RetransmitInterval: settings.RetransmitInterval.Nanoseconds(),
			},
			Caps: capsConfig{MaxAttempts: settings.MaxAttempts},
			Rules: rulesConfig{
				SlowStartWindow:   settings.SlowStartWindow.Nanoseconds(),
				SlowStartCapacity: settings.SlowStartCapacity,
				OverloadMultiple:  settings.OverloadMultiple,
				OverloadWindow:    settings.OverloadWindow.Nanoseconds(),
			},
		},
	}
	config.Settings.addClasses(variant)
	return config
}

// addClasses adds the classes of calls. Where one may use some pools alone, the site's shape says so.
func (s *settingsConfig) addClasses(variant *Variant) {
	for _, class := range variant.Class {
		s.Classes = append(s.Classes, classConfig{
			Name:             class.Name,
			LatencyObjective: class.LatencyObjective.Nanoseconds(),
			Deadline:         class.Deadline.Nanoseconds(),
			PriorityWeight:   class.PriorityWeight,
			LateFactor:       class.LateFactor,
		})
		s.Extra.MeanHoldingTimes = append(s.Extra.MeanHoldingTimes, class.MeanHoldingTime.Nanoseconds())
		s.Extra.AllowedPools = append(s.Extra.AllowedPools, class.Groups)
		if class.Groups != nil {
			s.Extra.Shape = "skills"
		}
	}
}
