package swim

import "math"

// suspicionTimeout is how long a suspicion lasts, in µs: the longest time without confirmations, and less with each up
// to the number that brings it down to the shortest (Lifeguard's dynamic suspicion time-outs).
type suspicionTimeout struct {
	shortest, longest int64
	confirmations     int
}

// after returns the time-out with so many confirmations.
func (t suspicionTimeout) after(confirmations int) int64 {
	if t.confirmations == 0 {
		return t.shortest
	}
	progress := math.Log(float64(confirmations+1)) / math.Log(float64(t.confirmations+1))
	return max(t.shortest, t.longest-int64(progress*float64(t.longest-t.shortest)))
}

// suspicion is the state of a member's suspicion while it lasts.
type suspicion struct {
	start       int64
	nextPing    int64        // when the suspect is pinged next
	confirmedBy map[int]bool // the members that suspect it too, without the first
}

func newSuspicion(now int64) *suspicion {
	return &suspicion{start: now, nextPing: now, confirmedBy: map[int]bool{}}
}

// tickSuspicions declares suspects dead whose time is over, and pings the others.
func (n *Node) tickSuspicions(now int64) {
	for i := range n.members {
		m := &n.members[i]
		switch {
		case m.suspicion == nil:
		case now >= n.suspicionDeadline(i):
			n.counts.Deaths++
			n.transition(now, Update{Member: i, State: Dead, Incarnation: m.Incarnation, From: n.cfg.Self})
		case now >= m.suspicion.nextPing && !n.hasLeft():
			// A Ping to a suspect carries the suspicion, and its Ack the refutation. Without these repeated Pings, a
			// member that is alive would be declared dead where the one refutation is lost.
			m.suspicion.nextPing = now + n.cfg.ProbeTimeout
			n.ping(i)
		}
	}
}

// confirmSuspicion records another member's suspicion of a suspect: the more confirm it, the sooner it ends.
func (n *Node) confirmSuspicion(u Update) {
	m := &n.members[u.Member]
	needed := n.cfg.suspicionTimeout(n.present()).confirmations
	confirmedBy := m.suspicion.confirmedBy
	if u.From == m.claimedBy || confirmedBy[u.From] || len(confirmedBy) >= needed {
		return
	}
	confirmedBy[u.From] = true
	n.broadcasts.enqueue(u)
}

// suspicionDeadline is when a suspect is declared dead.
func (n *Node) suspicionDeadline(suspect int) int64 {
	s := n.members[suspect].suspicion
	timeout := n.cfg.suspicionTimeout(n.present()).after(len(s.confirmedBy))
	return s.start + n.health.scale(timeout)
}
