package dispatch

import (
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/endpoint/liveness"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// livenessFilter denies the endpoints that have stopped reporting their load.
type livenessFilter struct {
	monitor  *liveness.Monitor
	silent   map[string]bool // as last logged
	log      zerolog.Logger
	counters *telemetry.Counters
}

func newLivenessFilter(
	classes []eidertrail.Class,
	log zerolog.Logger,
	counters *telemetry.Counters,
) *livenessFilter {
	groups := make([][]int, 0, len(classes))
	for _, class := range classes {
		groups = append(groups, class.Pools)
	}
	return &livenessFilter{monitor: liveness.New(groups), log: log, counters: counters}
}

func (f *livenessFilter) updateEndpoints(_ int64, endpoints map[string]Endpoint) {
	var up []liveness.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Mode == eidertrail.Ready {
			up = append(up, liveness.Endpoint{UID: endpoint.UID, Group: endpoint.Group})
		}
	}
	f.monitor.UpdateEndpoints(up)
}

func (f *livenessFilter) narrow(now int64, uid string, classes routing.Classes) routing.Classes {
	if f.monitor.IsSilent(now, uid) {
		return 0
	}
	return classes
}

func (f *livenessFilter) nextChange(now int64) int64 { return f.monitor.Next(now) }

// logChanges logs and counts the endpoints that have fallen silent.
func (f *livenessFilter) logChanges(now int64) {
	silent := f.monitor.Silent(now)
	for uid := range silent {
		if !f.silent[uid] {
			f.counters.Add(telemetry.SilentPools)
			f.log.Info().Str("pool", uid).Msg("pool stopped reporting")
		}
	}
	f.silent = silent
}
