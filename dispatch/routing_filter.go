package dispatch

import (
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// routingFilter denies the endpoints that routing by zone does not deem eligible for a class. Endpoints outside the
// zones that it manages stay as they are.
type routingFilter struct {
	router     *routing.Router
	eligible   map[string]routing.Classes // cached; nil: not known
	eligibleAt int64                      // eligible holds for this reading of the clock
	zones      string                     // the zones' states as last logged
	log        zerolog.Logger
	counters   *telemetry.Counters
}

func newRoutingFilter(router *routing.Router, log zerolog.Logger, counters *telemetry.Counters) *routingFilter {
	return &routingFilter{router: router, log: log, counters: counters}
}

func (f *routingFilter) updateEndpoints(now int64, endpoints map[string]Endpoint) {
	listed := make([]routing.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		listed = append(listed, routing.Endpoint{
			UID:  endpoint.UID,
			Zone: endpoint.Zone,
			Up:   endpoint.Mode == eidertrail.Ready,
		})
	}
	f.router.UpdateEndpoints(now, listed)
	f.forgetEligible()
}

func (f *routingFilter) narrow(now int64, uid string, classes routing.Classes) routing.Classes {
	if !f.router.Manages(uid) {
		return classes
	}
	if f.eligible == nil || f.eligibleAt != now {
		f.eligible, f.eligibleAt = f.router.Eligible(now), now
	}
	return classes & f.eligible[uid]
}

func (f *routingFilter) nextChange(now int64) int64 { return f.router.Next(now) }

// forgetEligible has eligibility computed anew.
func (f *routingFilter) forgetEligible() { f.eligible = nil }

// observeWaiting takes the calls that wait for a decision: routing spills to the next tier while one waits too long.
func (f *routingFilter) observeWaiting(now int64, waiting map[uint64]*call) {
	since := int64(0) // when the call that has waited longest could have been sent, 0: none waits
	for _, c := range waiting {
		if from := max(c.waitsSince, c.notBefore); from < now && (since == 0 || from < since) {
			since = from
		}
	}
	f.router.SetOldestWait(now, since)
}

// recordSent counts an attempt that is sent.
func (f *routingFilter) recordSent(sent *call) {
	f.router.Sent(sent.endpoint)
	sent.routed = true
}

// recordAnswered takes an attempt that was answered.
func (f *routingFilter) recordAnswered(now int64, answered *call) {
	if answered.routed {
		f.router.Answered(now, answered.endpoint)
	}
}

// recordEnded takes the end of an attempt that was not answered, or of an established call.
func (f *routingFilter) recordEnded(now int64, ended *call, outcome Outcome) {
	if !ended.routed {
		return
	}
	ended.routed = false
	established := ended.state == callEstablished
	judged := routing.Neutral
	if !established && outcome.blamesEndpoint() {
		judged = routing.Failure
	}
	f.router.Ended(now, ended.endpoint, judged, established)
}

// logChanges logs and counts changes of the zones' states.
func (f *routingFilter) logChanges() {
	var states []byte
	for _, zone := range f.router.Zones() {
		states = append(states, zone.Zone...)
		switch {
		case !zone.State.HasEndpoints():
			states = append(states, ":dark "...)
		case zone.State.Ejected():
			states = append(states, ":out "...)
		case zone.WarmingUp > 0:
			states = append(states, ":warming "...)
		default:
			states = append(states, ":up "...)
		}
	}
	if string(states) != f.zones {
		f.zones = string(states)
		f.counters.Add(telemetry.ZoneChanges)
		f.log.Info().Str("zones", f.zones).Msg("zones")
	}
}
