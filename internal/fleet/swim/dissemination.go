package swim

import "slices"

// antiEntropyUpdates is how many members' states a message carries beside the updates that are news: they repair what
// the dissemination lost.
const antiEntropyUpdates = 2

// broadcast is an update that is still to be passed on.
type broadcast struct {
	Update
	transmits int
}

// broadcastQueue holds the updates to be passed on, one a member at most.
type broadcastQueue struct {
	queued []broadcast
}

// enqueue adds an update; it replaces an older one about the member.
func (q *broadcastQueue) enqueue(u Update) {
	q.queued = slices.DeleteFunc(q.queued, func(b broadcast) bool { return b.Member == u.Member })
	q.queued = append(q.queued, broadcast{Update: u})
}

// addTo adds updates to a message, those transmitted least often first, and forgets the ones that have been transmitted
// often enough.
func (q *broadcastQueue) addTo(carried *piggyback, maxTransmits int) {
	slices.SortStableFunc(q.queued, func(x, y broadcast) int { return x.transmits - y.transmits })
	for i := range q.queued {
		if carried.full() {
			break
		}
		if !carried.covers(q.queued[i].Member) {
			carried.add(q.queued[i].Update)
			q.queued[i].transmits++
		}
	}
	q.queued = slices.DeleteFunc(q.queued, func(b broadcast) bool { return b.transmits >= maxTransmits })
}

// piggyback collects the updates that one message carries, one a member and MaxUpdates at most.
type piggyback struct {
	updates []Update
}

func (p *piggyback) full() bool { return len(p.updates) >= MaxUpdates }

func (p *piggyback) add(u Update) { p.updates = append(p.updates, u) }

func (p *piggyback) covers(member int) bool {
	return slices.ContainsFunc(p.updates, func(u Update) bool { return u.Member == member })
}

// updatesFor returns the updates that a message to a member carries: first what that member has to refute, then
// broadcasts, then a few members' states. A node that has left says so in each of its messages, before all else.
func (n *Node) updatesFor(recipient int) []Update {
	carried := &piggyback{}
	n.addClaimAbout(recipient, carried)
	n.broadcasts.addTo(carried, n.cfg.maxTransmits())
	n.addAntiEntropy(carried)
	if !n.hasLeft() {
		return carried.updates
	}
	others := carried.updates[:min(len(carried.updates), MaxUpdates-1)]
	return append([]Update{n.ownUpdate(Left)}, others...)
}

// addClaimAbout adds what is held against the recipient of a message, which it can refute if it is alive (Lifeguard's
// buddy system).
func (n *Node) addClaimAbout(recipient int, carried *piggyback) {
	switch n.members[recipient].State {
	case Suspect, Dead, Left:
		carried.add(n.heldClaim(recipient))
	case Unknown, Alive: // nothing to refute
	}
}

// addAntiEntropy adds the states of the next members in turn.
func (n *Node) addAntiEntropy(carried *piggyback) {
	added := 0
	for range n.members {
		if added >= antiEntropyUpdates || carried.full() {
			return
		}
		next := n.antiEntropyIndex
		n.antiEntropyIndex = (next + 1) % len(n.members)
		if next != n.cfg.Self && n.members[next].State != Unknown && !carried.covers(next) {
			carried.add(n.heldClaim(next))
			added++
		}
	}
}

// heldClaim is the claim on which a member's state rests.
func (n *Node) heldClaim(number int) Update {
	m := &n.members[number]
	return Update{Member: number, State: m.State, Incarnation: m.Incarnation, From: m.claimedBy}
}
