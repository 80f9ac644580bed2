package daemon

import (
	"eidertrail/internal/fleet/gossip"
	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// quotaProtocol carries the leases of the fleet's quotas between the members' allocators.
type quotaProtocol struct {
	allocator *quota.SharedAllocator
	counters  *telemetry.Counters
	answers   []quota.Out  // to what came since the last Tick; bounded by what comes in protocolInterval
	counted   quota.Counts // what counters have of the allocator's
}

// MembersChanged implements gossip.Protocol.
func (q *quotaProtocol) MembersChanged(_ int64, members []swim.Member) {
	q.allocator.SetAlive(aliveMembers(members))
}

// Receive implements gossip.Protocol.
func (q *quotaProtocol) Receive(now int64, from int, body []byte) (bool, error) {
	if !quota.IsMessage(body) {
		return false, nil
	}
	answers, err := q.allocator.Receive(now, from, body)
	q.answers = append(q.answers, answers...)
	return true, err
}

// Tick implements gossip.Protocol.
func (q *quotaProtocol) Tick(now int64, send gossip.Send) {
	for _, message := range append(q.answers, q.allocator.Tick(now)...) {
		send(message.To, message.Body)
	}
	q.answers = q.answers[:0]
	counts := q.allocator.Counts()
	q.counters.AddN(telemetry.LeasesRequested, int64(counts.Requested-q.counted.Requested))
	q.counters.AddN(telemetry.LeasesGranted, int64(counts.Granted-q.counted.Granted))
	q.counted = counts
}
