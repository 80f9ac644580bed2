package main

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"eidertrail/internal/config"
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/statetable"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// word is this controller's part of the fleet's shared word: what every member tells of itself. The gossip loop owns
// the table; what others read of it is published.
type word struct {
	table   *statetable.Table
	log     zerolog.Logger
	count   *telemetry.Counters
	counted statetable.Counts
	owed    []statetable.Out // to what has come since the last time; bounded by what comes in 0.1 s
	given   []string         // the regions of all members, where the file names them
	regions atomic.Pointer[[]string]
}

func newWord(node swim.Config, fleet *config.Cluster, incarnation, seed uint64, now int64, log zerolog.Logger, count *telemetry.Counters) (*word, error) {
	cfg := statetable.Default(node.Self, node.Members, incarnation, seed)
	cfg.Kinds = []statetable.Spec{{Kind: statetable.Region, Name: "region", MaxLength: config.MaxRegionLength}}
	t, err := statetable.New(cfg, now)
	if err != nil {
		return nil, err
	}
	w := &word{table: t, log: log, count: count, given: fleet.Regions}
	regions := make([]string, node.Members)
	copy(regions, fleet.Regions)
	regions[node.Self] = fleet.Region
	w.regions.Store(&regions)
	return w, t.Set(now, statetable.Region, []byte(fleet.Region))
}

// Regions are the members' regions as they are known now, by number, "" where one is not.
func (w *word) Regions() []string { return *w.regions.Load() }

// MembersChanged implements gossip.Protocol.
func (w *word) MembersChanged(_ int64, members []swim.Member) { w.table.SetAlive(living(members)) }

// Receive implements gossip.Protocol.
func (w *word) Receive(now int64, from int, body []byte) (bool, error) {
	if !statetable.IsMessage(body) {
		return false, nil
	}
	out, err := w.table.Receive(now, from, body)
	w.owed = append(w.owed, out...)
	for _, c := range w.table.Take() {
		w.take(c)
	}
	return true, err
}

// take takes what a member tells newly.
func (w *word) take(c statetable.Change) {
	if c.Kind != statetable.Region {
		return
	}
	region := string(c.Value)
	regions := append([]string(nil), w.Regions()...)
	if w.given != nil && w.given[c.Origin] != region {
		w.log.Warn().Int("member", c.Origin).Str("region", region).Str("file", w.given[c.Origin]).
			Msg("member tells another region than the file")
		return
	}
	if regions[c.Origin] == region && w.given == nil { // a new life of the member, or of this one
		return
	}
	regions[c.Origin] = region
	w.regions.Store(&regions)
	w.log.Info().Int("member", c.Origin).Str("region", region).Msg("member region")
}

// Tick implements gossip.Protocol.
func (w *word) Tick(now int64, send gossip.Send) {
	for _, o := range append(w.owed, w.table.Tick(now)...) {
		send(o.To, o.Body)
	}
	w.owed = w.owed[:0]
	c := w.table.Counts()
	w.count.AddN(telemetry.StateTableBytes, int64(c.Bytes-w.counted.Bytes))
	w.count.AddN(telemetry.StateTableRepairs, int64(c.Repairs-w.counted.Repairs))
	w.counted = c
}
