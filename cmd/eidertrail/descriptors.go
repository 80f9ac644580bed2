package main

import "eidertrail/internal/config"

const (
	// ownDescriptors are the process's: standard streams, the runtime's poller, the platform's listener, the peers'
	// socket, the bulletin's connection and the next one, a file that is read, and a connection that is accepted before
	// it is turned away.
	ownDescriptors = 12
	// leastPools are the connections to pools that there is room for, however few are listed at the start: the list
	// changes, and for a second a pool that is gone keeps its connection beside that of the one in its place.
	leastPools = 64
	// secondListeners are the second front's, each with mostExtra connections of its own.
	secondListeners = 3
)

// mostCallers is how many connections callers may have, of cfg.Sockets descriptors: half, but what is needed for all
// else is left, and never under the third that callers may hold by the platform's word. It tells as well for how many
// connections to pools there is room then.
//
// Guards against idle callers taking the descriptors that the list and the pools need: a pool that could not be dialled
// for want of one counted as out of reach.
func mostCallers(cfg *config.Config, second *config.CallControl, names int) (callers, pools int) {
	listed := map[string]bool{}
	for _, e := range cfg.KnownEndpoints.Events {
		for _, l := range e.Endpoints {
			listed[l.UID] = true
		}
	}
	others := ownDescriptors + names // a look-up at a time for each SRV name
	if second != nil {
		others += second.MaxConnections + secondListeners*(1+mostExtra)
	}
	free := cfg.Sockets - others
	callers = max(min(cfg.Sockets/2, free-max(leastPools, 2*len(listed))), cfg.Sockets/3)
	return callers, free - callers
}
