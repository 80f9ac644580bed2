package eidertrail

import (
	"math"
	"slices"

	"eidertrail/internal/callstate"
	"eidertrail/internal/splitmix"
)

const minFreeAgents = 0.01 // what a server counts as in draws that has no free agents or reported none

// selectServer returns the server that gets the call now, or nil.
func (c *Controller) selectServer(call *callRecord) *serverRecord {
	if !c.mayAttempt(call) {
		return nil
	}
	if call.state == callstate.Arrived { // L moves with each new call, not with those queued
		call.state.Enqueue()
		c.updateLoadRatio()
	}
	var best *serverRecord
	for _, server := range c.servers {
		admitted := c.eligible(call, server) && c.passesGate(call, server)
		if admitted && (best == nil || c.preferred(call, server, best)) {
			best = server
		}
	}
	return best
}

// eligible reports whether the server may get the call at all. Where a message of an earlier attempt may
// still be on its way it would meet a further one.
func (c *Controller) eligible(call *callRecord, server *serverRecord) bool {
	return server != call.inDoubtAt && c.mayServe(call, server)
}

// mayServe reports whether the server may get calls as this one.
func (c *Controller) mayServe(call *callRecord, server *serverRecord) bool {
	if server.mode != Ready || server.pool == c.settings.OwnExchange || server.denied>>call.Class&1 == 1 {
		return false
	}
	if call.Transit {
		return server.pool == call.Pool
	}
	pools := c.settings.Classes[call.Class].Pools
	return pools == nil || slices.Contains(pools, server.pool)
}

// preferred orders servers: one that has not failed the call first; for a call above the mean weight one with
// few faults; the first choice; the larger key.
func (c *Controller) preferred(call *callRecord, server, other *serverRecord) bool {
	switch {
	case (server == call.failedAt) != (other == call.failedAt):
		return other == call.failedAt
	case c.aboveMeanWeight(call) && server.faulty() != other.faulty():
		return other.faulty()
	case (server.pool == call.Pool) != (other.pool == call.Pool):
		return server.pool == call.Pool
	}
	return c.weightedKey(call, server) > c.weightedKey(call, other)
}

// weightedKey is the server's key in a weighted random sample by free agents, of which the largest is drawn.
// Departure: drawn, as all nodes get the same reports at once and would all send to one pool until the next.
// Harms where only one pool has capacity: some calls go elsewhere.
func (c *Controller) weightedKey(call *callRecord, server *serverRecord) float64 {
	return math.Log(c.uniform(call.ID, server)) / max(server.freeAgents, minFreeAgents)
}

// uniform is a random number in [0, 1), the same each time that the call is considered for the server.
func (c *Controller) uniform(id CallID, server *serverRecord) float64 {
	return splitmix.Float64(c.seed ^ uint64(id)*splitmix.Gamma ^ uint64(server.index)<<32)
}
