package swim

const (
	// maxRelays bounds the indirect probes in flight for other members.
	maxRelays = 64
	// nackFraction of a probe's time-out passes before a relay answers that it has no acknowledgement yet.
	nackFraction = 0.8
)

// relay is an indirect probe in flight for another member.
type relay struct {
	origin    int
	originSeq uint32
	target    int
	nackAt    int64 // 0: no Nack is due any more
	expiresAt int64
}

func (r *relay) nackDue(now int64) bool { return r.nackAt > 0 && now >= r.nackAt }

// settleNack has no Nack sent from now on.
func (r *relay) settleNack() { r.nackAt = 0 }

// receivePingReq starts an indirect probe; one of an unknown target or past the bound is ignored.
func (n *Node) receivePingReq(now int64, m Message) {
	if !n.isMember(m.Target) || m.Target == n.cfg.Self || len(n.relays) >= maxRelays {
		return
	}
	n.relays[n.ping(m.Target)] = &relay{
		origin:    m.From,
		originSeq: m.Seq,
		target:    m.Target,
		nackAt:    now + int64(nackFraction*float64(n.cfg.ProbeTimeout)),
		expiresAt: now + n.cfg.ProbeInterval,
	}
}

// tickRelays sends the Nacks that are due, and drops relays that have expired.
func (n *Node) tickRelays(now int64) {
	for seq, r := range n.relays {
		if r.nackDue(now) {
			r.settleNack()
			n.send(r.origin, Message{Kind: Nack, Seq: r.originSeq, Target: r.target})
		}
		if now >= r.expiresAt {
			delete(n.relays, seq)
		}
	}
}

// relayAck passes an Ack on to the origin of the relay that it answers, and ends that.
func (n *Node) relayAck(m Message) {
	r := n.relays[m.Seq]
	if r == nil || r.target != m.Target {
		return
	}
	delete(n.relays, m.Seq)
	n.send(r.origin, Message{Kind: Ack, Seq: r.originSeq, Target: r.target})
}
