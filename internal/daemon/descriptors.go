package daemon

import (
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
)

const (
	// ownDescriptors are the process's own: standard streams, the runtime's poller, the platform's listener, the peers'
	// socket, the endpoint list's connections and the next one, a file that is read, a connection that is accepted before
	// it is rejected, and the socket and the connection of a handover.
	ownDescriptors = 13 + endpointlist.MaxOpenPolls
	// minPoolConnections are reserved for pools however few are listed at the start: the list changes, and for a second a
	// pool that is gone keeps its connection beside that of its successor.
	minPoolConnections = 64
	// connectionsPerPool is how many are reserved for each pool that is known at the start.
	connectionsPerPool = 2
	// callControlListeners each have maxExtraConnections of their own.
	callControlListeners = 3
	// maxExtraConnections bounds the connections of a listener for health checks, and those that the WebSocket front
	// accepts only to reject them.
	maxExtraConnections = 16
	// Callers have at most one descriptor in two and, as the platform demands, at least one in three.
	maxCallersDivisor = 2
	minCallersDivisor = 3
)

// connectionLimits are how the descriptors of limits.sockets are divided.
type connectionLimits struct {
	callers int // the most connections of callers
	pools   int // the connections to pools that there is room for then
}

// divideDescriptors gives callers half of limits.sockets, less what everything else needs, and never less than a third.
//
// Otherwise idle callers could take the descriptors that the endpoint list and the pools need, and a pool that cannot
// be dialled for want of one counts as unreachable.
func divideDescriptors(
	cfg *config.Config, available limits, callControl *config.CallControl, srvNames int,
) connectionLimits {
	listed := map[string]bool{}
	for _, event := range cfg.KnownEndpoints.Events {
		for _, endpoint := range event.Endpoints {
			listed[endpoint.UID] = true
		}
	}
	others := ownDescriptors + srvNames // a look-up at a time for each SRV name
	if cfg.Control != "" {
		connections := controlConnections(available)
		others += connections + 2 // the listener, and a connection that is accepted before another is evicted
	}
	if callControl != nil {
		sockets := min(callControl.MaxConnections, available.sockets/callControlDivisor)
		others += sockets + callControlListeners*(1+maxExtraConnections)
	}
	rest := available.sockets - others
	pools := max(minPoolConnections, connectionsPerPool*len(listed))
	callers := max(min(available.sockets/maxCallersDivisor, rest-pools), available.sockets/minCallersDivisor)
	if available.callers > 0 {
		callers = available.callers
	}
	callers = min(callers, callersByMemory(available))
	return connectionLimits{callers: callers, pools: rest - callers}
}
