package experiment

import (
	"strconv"

	"eidertrail/internal/platformfile"
)

// newDaemonConfig is the file of the controller of an index.
func newDaemonConfig(variant *Variant, index int, targets []platformfile.Target) platformfile.Document {
	settings := variant.Settings
	config := platformfile.Document{
		Name:   "n" + strconv.Itoa(index),
		Listen: "127.0.0.1:0",
		Seed:   strconv.FormatInt(int64(index)+1, 16),
		Limits: platformfile.Limits{MemoryMB: memoryLimitMB, Sockets: socketLimit},
		Known: platformfile.Known{
			Version: 1,
			Items:   []platformfile.Item{{Version: 1, Roster: platformfile.Roster{All: true, Targets: targets}}},
		},
		Settings: platformfile.Settings{
			Controllers: variant.Controllers,
			Index:       index,
			Tick:        settings.Tick.Nanoseconds(),
			Extra: platformfile.Extra{
				ReleaseWait:        settings.ReleaseWait.Nanoseconds(),
				RetransmitInterval: settings.RetransmitInterval.Nanoseconds(),
			},
			Caps: platformfile.Caps{MaxAttempts: settings.MaxAttempts},
			Rules: platformfile.Rules{
				SlowStartWindow:   settings.SlowStartWindow.Nanoseconds(),
				SlowStartCapacity: settings.SlowStartCapacity,
				OverloadMultiple:  settings.OverloadMultiple,
				OverloadWindow:    settings.OverloadWindow.Nanoseconds(),
			},
		},
	}
	addClasses(&config.Settings, variant)
	return config
}

// addClasses adds the classes of calls. Where one may use some pools alone, the site's shape says so.
func addClasses(s *platformfile.Settings, variant *Variant) {
	for _, class := range variant.Class {
		s.Classes = append(s.Classes, platformfile.Class{
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
