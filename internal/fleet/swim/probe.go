package swim

import "fmt"

// deadProbePeriod is the number of probes of which one goes to a member that is not alive, so that the halves of a
// healed partition find each other.
const deadProbePeriod = 4

// probeState is where a probe stands.
type probeState uint8

const (
	probeIdle         probeState = iota // no probe is in flight
	probeDirect                         // the target was pinged, its Ack is awaited
	probeIndirect                       // the time-out is over, other members were requested to ping the target
	probeAcknowledged                   // the target answered; the probe's interval is not over yet
)

func (s probeState) String() string {
	switch s {
	case probeIdle:
		return "idle"
	case probeDirect:
		return "direct"
	case probeIndirect:
		return "indirect"
	case probeAcknowledged:
		return "acknowledged"
	}
	return fmt.Sprintf("probe state %d", uint8(s))
}

// probe is the one probe that a node has in flight; the zero value is none.
type probe struct {
	state     probeState
	seq       uint32
	target    int
	requested int // members requested to probe indirectly
	nacks     int // those of them that answered with a Nack
	timeoutAt int64
	endAt     int64
}

// awaitsAck reports whether a message answers the probe, which has not been acknowledged yet.
func (p *probe) awaitsAck(m Message) bool {
	return (p.state == probeDirect || p.state == probeIndirect) && p.seq == m.Seq && p.target == m.Target
}

func (p *probe) goIndirect() { p.state = probeIndirect }

func (p *probe) acknowledge() { p.state = probeAcknowledged }

// startProbe probes the next member of the round: every one that is alive or suspect once, in an order drawn
// anew each round; and one of the others every deadProbePeriod probes, or when there is none alive.
func (n *Node) startProbe(now int64) {
	n.probeCount++
	target, found := n.nextTarget(&n.liveRound, State.present)
	if !found || n.probeCount%deadProbePeriod == 0 {
		if other, otherFound := n.nextTarget(&n.deadRound, State.absent); otherFound {
			target, found = other, true
		}
	}
	if !found {
		return
	}
	n.counts.Probes++
	n.probe = probe{
		state:     probeDirect,
		seq:       n.ping(target),
		target:    target,
		timeoutAt: now + n.health.scale(n.cfg.ProbeTimeout),
		endAt:     n.nextProbe,
	}
}

// nextTarget takes the next member of a round whose state is eligible, and draws a new round when the last is over.
func (n *Node) nextTarget(round *[]int, eligible func(State) bool) (target int, found bool) {
	for range 2 { // what is left of this round, and one more
		for len(*round) > 0 {
			target = (*round)[0]
			*round = (*round)[1:]
			if eligible(n.members[target].State) {
				return target, true
			}
		}
		*round = n.newRound(*round)
	}
	return 0, false
}

// newRound appends all other members to a round that is over, in random order.
func (n *Node) newRound(round []int) []int {
	for i := range n.members {
		if i != n.cfg.Self {
			round = append(round, i)
		}
	}
	n.shuffle(round)
	return round
}

// randomAlive returns up to count members that are alive, other than the target, in random order.
func (n *Node) randomAlive(count, target int) []int {
	candidates := make([]int, 0, len(n.members))
	for i := range n.members {
		if i != n.cfg.Self && i != target && n.members[i].State == Alive {
			candidates = append(candidates, i)
		}
	}
	n.shuffle(candidates)
	return candidates[:min(count, len(candidates))]
}

func (n *Node) shuffle(members []int) {
	n.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// tickProbe goes on with the probe in flight: indirect probes after its time-out, a verdict at its end.
func (n *Node) tickProbe(now int64) {
	if n.probe.state == probeDirect && now >= n.probe.timeoutAt {
		n.requestIndirectProbes()
	}
	if n.probe.state != probeIdle && now >= n.probe.endAt {
		n.endProbe(now)
	}
}

// requestIndirectProbes has other members ping the target.
func (n *Node) requestIndirectProbes() {
	n.probe.goIndirect()
	for _, to := range n.randomAlive(n.cfg.IndirectProbes, n.probe.target) {
		n.counts.Indirect++
		n.probe.requested++
		n.send(to, Message{Kind: PingReq, Seq: n.probe.seq, Target: n.probe.target})
	}
}

// endProbe ends the probe; without an acknowledgement its target is suspect.
func (n *Node) endProbe(now int64) {
	ended := n.probe
	n.probe = probe{}
	if ended.state == probeAcknowledged {
		return
	}
	n.counts.Failed++
	target := n.members[ended.target].Member
	n.degradeAfterFailure(ended, target.State)
	if target.State.present() {
		n.apply(now, Update{
			Member:      ended.target,
			State:       Suspect,
			Incarnation: target.Incarnation,
			From:        n.cfg.Self,
		})
	}
}

// degradeAfterFailure charges a failed probe to this node's own health. Members that were requested to probe answer
// with a Nack even if the target does not answer: where Nacks are missing, it is this node that receives badly
// (Lifeguard). With nobody to request, the fault may be this node's own too, but that counts once and not for a target
// that is suspect or dead already: in a fleet of two, the suspicion would last the longer the longer the other is dead.
func (n *Node) degradeAfterFailure(failed probe, target State) {
	switch {
	case failed.requested > 0:
		n.health.degrade(failed.requested - failed.nacks)
	case target == Alive:
		n.health.degrade(1)
	}
}

// receivePing acknowledges a Ping; one for another member reached the wrong address and is ignored.
func (n *Node) receivePing(m Message) {
	if m.Target == n.cfg.Self {
		n.send(m.From, Message{Kind: Ack, Seq: m.Seq, Target: n.cfg.Self})
	}
}

// receiveAck passes an Ack on to the member for which the target was pinged, and takes it for this node's own probe.
func (n *Node) receiveAck(m Message) {
	n.relayAck(m)
	if n.probe.awaitsAck(m) {
		n.probe.acknowledge()
		n.health.improve()
	}
}

func (n *Node) receiveNack(m Message) {
	if p := &n.probe; p.state == probeIndirect && p.awaitsAck(m) {
		p.nacks = min(p.nacks+1, p.requested)
	}
}
