package daemon

import (
	"slices"
	"sync/atomic"

	"github.com/rs/zerolog"

	"eidertrail/internal/config"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/statetable"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// regionTable is this controller's replica of the fleet's state table, in which every member announces its region. The
// gossip loop owns the table; the regions are published for other goroutines.
type regionTable struct {
	table      *statetable.Table
	log        zerolog.Logger
	counters   *telemetry.Counters
	counted    statetable.Counts // what counters have of the table's
	answers    []statetable.Out  // to what came since the last Tick; bounded by what comes in protocolInterval
	configured []string          // the regions of all members, nil where the file does not name them
	regions    atomic.Pointer[[]string]
}

func (d *Daemon) newRegionTable(node swim.Config, file *config.Cluster, incarnation uint64) (*regionTable, error) {
	cfg := statetable.DefaultConfig(node.Self, node.Members, incarnation, d.cfg.Seed)
	cfg.Kinds = []statetable.KindSpec{{Kind: statetable.Region, Name: "region", MaxLength: config.MaxRegionLength}}
	now := d.clock.Now()
	table, err := statetable.New(cfg, now)
	if err != nil {
		return nil, err
	}
	r := &regionTable{table: table, log: d.peerLog, counters: d.counters, configured: file.Regions}
	regions := make([]string, node.Members)
	copy(regions, file.Regions)
	regions[node.Self] = file.Region
	r.regions.Store(&regions)
	return r, table.Set(now, statetable.Region, []byte(file.Region))
}

// Regions are the members' regions as they are known now, by number, "" where one is not.
func (r *regionTable) Regions() []string { return *r.regions.Load() }

// MembersChanged implements gossip.Protocol.
func (r *regionTable) MembersChanged(_ int64, members []swim.Member) {
	r.table.SetAlive(aliveMembers(members))
}

// Receive implements gossip.Protocol.
func (r *regionTable) Receive(now int64, from int, body []byte) (bool, error) {
	if !statetable.IsMessage(body) {
		return false, nil
	}
	answers, err := r.table.Receive(now, from, body)
	r.answers = append(r.answers, answers...)
	for _, change := range r.table.TakeChanges() {
		r.apply(change)
	}
	return true, err
}

// apply publishes what a member has announced. A region that differs from the file's is logged and not taken.
func (r *regionTable) apply(change statetable.Change) {
	if change.Kind != statetable.Region {
		return
	}
	member, region := change.Origin, string(change.Value)
	if r.configured != nil && r.configured[member] != region {
		r.log.Warn().Int("member", member).Str("region", region).Str("file", r.configured[member]).
			Msg("member region differs from file")
		return
	}
	regions := slices.Clone(r.Regions())
	if regions[member] == region && r.configured == nil { // a new incarnation of the member, or of this one
		return
	}
	regions[member] = region
	r.regions.Store(&regions)
	r.log.Info().Int("member", member).Str("region", region).Msg("member region")
}

// Tick implements gossip.Protocol.
func (r *regionTable) Tick(now int64, send gossip.Send) {
	for _, message := range append(r.answers, r.table.Tick(now)...) {
		send(message.To, message.Body)
	}
	r.answers = r.answers[:0]
	counts := r.table.Counts()
	r.counters.AddN(telemetry.StateTableBytes, int64(counts.Bytes-r.counted.Bytes))
	r.counters.AddN(telemetry.StateTableRepairs, int64(counts.Repairs-r.counted.Repairs))
	r.counted = counts
}
