package eidertrail_test

import (
	"eidertrail"
)

// listChanges changes a server and reports it after a while, in one of the kinds of list.
func (h *host) listChanges() {
	h.after(h.between(100*millisecond, 3*second), h.listChanges)
	server := h.servers[h.random.IntN(len(h.servers))]
	switch h.random.IntN(8) {
	case 0:
		h.replace(server)
	case 1, 2: // a new process in its place
		server.StartedAt, server.condition = h.now-h.between(0, second), healthy
	case 3: // for a while
		server.Mode = eidertrail.Draining
		h.after(h.between(0, 4*second), func() {
			if server.Mode == eidertrail.Draining {
				server.Mode = eidertrail.Ready
				h.emitChange(server)
			}
		})
	case 4: // some classes are denied, or none
		server.DeniedClasses = h.random.Uint64() & h.random.Uint64()
		if h.oneIn(2) {
			server.DeniedClasses = 0
		}
	case 5: // another server of the pool
		if len(h.servers) < 2*h.deployment.pools {
			server = h.addServer(server.Pool, h.now)
		}
	default:
		server.Mode, server.DeniedClasses = eidertrail.Ready, 0
	}
	h.after(h.between(0, second), func() { h.emitChange(server) })
}

// replace takes a server out, if another is left, and puts a new one in its place.
func (h *host) replace(server *hostServer) {
	server.Mode = eidertrail.Removed
	for i, other := range h.servers {
		if other == server {
			h.servers = append(h.servers[:i:i], h.servers[i+1:]...)
			break
		}
	}
	h.addServer(server.Pool, h.now)
}

func (h *host) emitChange(server *hostServer) {
	switch h.random.IntN(8) {
	case 0:
		h.emitList(eidertrail.Snapshot, h.completeList())
	case 1:
		h.emitList(eidertrail.Cached, h.completeList())
	case 2: // one is missing
		list := h.completeList()
		h.emitList(eidertrail.Snapshot, list[:len(list)-1])
		h.after(h.between(0, 2*second), func() { h.emitList(eidertrail.Snapshot, h.completeList()) })
	case 3:
		h.emitList(eidertrail.Failed, nil)
	default:
		h.emitList(eidertrail.Delta, []eidertrail.Server{server.Server})
	}
}

// completeList is the list of all servers, in an order that changes.
func (h *host) completeList() []eidertrail.Server {
	list := make([]eidertrail.Server, 0, len(h.servers))
	for _, server := range h.servers {
		list = append(list, server.Server)
	}
	h.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (h *host) emitList(kind eidertrail.ListKind, list []eidertrail.Server) {
	h.counts.lists++
	h.emit(eidertrail.ServerList{Kind: kind, Servers: list})
}

// answerWatch answers a request for the list, or fails it.
func (h *host) answerWatch() {
	if h.oneIn(3) {
		h.emitList(eidertrail.Failed, nil)
		return
	}
	h.emitList(eidertrail.Snapshot, h.completeList())
}

// oddEvents reports something stale, unknown or reported before.
func (h *host) oddEvents() {
	h.after(h.between(10*millisecond, 400*millisecond), h.oddEvents)
	id := eidertrail.CallID(h.random.Uint64N(uint64(h.lastCall) + 3)) // known, ended or never seen
	switch h.random.IntN(11) {
	case 0, 1:
		if len(h.recentEnds) > 0 {
			h.emit(h.recentEnds[h.random.IntN(len(h.recentEnds))])
		}
	case 2:
		h.emit(eidertrail.Outcome{Call: h.lastCall, Attempt: 2 + h.random.IntN(4), Status: eidertrail.TimedOut})
	case 3:
		h.emit(eidertrail.Answered{Call: h.lastCall, Attempt: -1, Took: second})
	case 4:
		h.emit(eidertrail.Outcome{Call: h.lastCall + 1000, Status: eidertrail.Ended, Took: millisecond})
	case 5:
		h.emit(eidertrail.CallerGone{Call: h.lastCall + 1000})
	case 6:
		h.emit(eidertrail.Report{Server: "s-unknown", Free: 5, Agents: 10})
	case 7: // the id of a call that is open
		if call := h.calls[id]; call != nil && !call.done {
			h.emit(call.Call)
		}
	case 8:
		h.emit(eidertrail.Wake{Token: h.random.Uint64()})
	case 9:
		h.emitList(eidertrail.Delta, []eidertrail.Server{{ID: "s-never", Mode: eidertrail.Removed}})
	case 10: // reported twice, the later entry counts
		server := h.servers[h.random.IntN(len(h.servers))]
		draining := server.Server
		draining.Mode = eidertrail.Draining
		h.emitList(eidertrail.Delta, []eidertrail.Server{draining, server.Server})
	}
}
