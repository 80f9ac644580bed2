package swim

// Member is a member's state as a Node holds it.
type Member struct {
	State       State
	Incarnation uint64
	Since       int64 // the time from which it has had this state and incarnation
}

// Change is a change of a member's state or incarnation.
type Change struct {
	Member            int
	Previous, Current State
	Incarnation       uint64
}

// member is what a node knows of one member.
type member struct {
	Member
	claimedBy int        // the member that first claimed the state
	suspicion *suspicion // set exactly while the state is Suspect
}

// supersededBy reports whether a claim takes precedence over what is known (SWIM, section 4.2): the higher incarnation
// does, and with the same incarnation the later state.
func (m Member) supersededBy(u Update) bool {
	if m.State == Unknown || u.Incarnation != m.Incarnation {
		return m.State == Unknown || u.Incarnation > m.Incarnation
	}
	return u.State > m.State
}

// apply handles a claim about a member; one that is not new is ignored.
func (n *Node) apply(now int64, u Update) {
	if u.Member == n.cfg.Self {
		n.refute(now, u)
		return
	}
	switch u.State {
	case Alive:
		n.applyAlive(now, u)
	case Suspect:
		n.applySuspect(now, u)
	case Dead, Left:
		n.applyDeath(now, u)
	case Unknown: // claims nothing
	}
}

func (n *Node) applyAlive(now int64, u Update) {
	if !n.members[u.Member].supersededBy(u) {
		return
	}
	if n.probe.target == u.Member {
		n.probe = probe{} // it was of the earlier incarnation: its outcome says nothing about this one
	}
	n.transition(now, u)
}

func (n *Node) applySuspect(now int64, u Update) {
	m := &n.members[u.Member]
	switch {
	case m.suspicion != nil && u.Incarnation == m.Incarnation:
		n.confirmSuspicion(u)
	case m.supersededBy(u):
		n.counts.Suspicions++
		n.transition(now, u)
	}
}

func (n *Node) applyDeath(now int64, u Update) {
	if n.members[u.Member].supersededBy(u) {
		n.transition(now, u)
	}
}

// transition brings another member into the state of a claim, and passes the claim on.
func (n *Node) transition(now int64, claim Update) {
	held := &n.members[claim.Member]
	if held.State != claim.State || held.Incarnation != claim.Incarnation {
		n.changes = append(n.changes, Change{
			Member:      claim.Member,
			Previous:    held.State,
			Current:     claim.State,
			Incarnation: claim.Incarnation,
		})
	}
	*held = member{
		Member:    Member{State: claim.State, Incarnation: claim.Incarnation, Since: now},
		claimedBy: claim.From,
	}
	if claim.State == Suspect {
		held.suspicion = newSuspicion(now)
	}
	n.broadcasts.enqueue(claim)
}

// refute answers a claim about this node itself that contradicts its state: with a higher incarnation it is alive.
func (n *Node) refute(now int64, u Update) {
	switch {
	case n.hasLeft() || u.State == Unknown || u.Incarnation < n.incarnation:
		return
	case u.State == Alive && u.Incarnation == n.incarnation:
		return
	}
	if u.State != Alive { // it may have been too slow to answer
		n.counts.Refutations++
		n.health.degrade(1)
	}
	n.incarnation = u.Incarnation + 1
	n.members[n.cfg.Self].Member = Member{State: Alive, Incarnation: n.incarnation, Since: now}
	n.broadcasts.enqueue(n.ownUpdate(Alive))
}

// ownUpdate is this node's claim about itself.
func (n *Node) ownUpdate(state State) Update {
	return Update{Member: n.cfg.Self, State: state, Incarnation: n.incarnation, From: n.cfg.Self}
}

// present counts the members that are alive or suspect, this one included.
func (n *Node) present() int {
	count := 0
	for i := range n.members {
		if n.members[i].State.present() {
			count++
		}
	}
	return count
}
