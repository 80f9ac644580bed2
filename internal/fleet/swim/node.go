// Package swim is the membership of a fleet of controllers: which members are alive, suspect, dead or have left, by
// the SWIM protocol (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard (Dadgar, Phillips and Currey,
// 2018). Members are numbered from 0 and all of them are known from the start, as the configuration lists their
// addresses; what the protocol learns is their state.
//
// A Node is one member's state machine. It does no I/O and reads no clock: messages and the time, in µs of a
// monotonic clock, are passed in; messages to send and state changes are taken out. It is not safe for concurrent
// use. docs/design-cluster.md records the alternatives that were considered.
package swim

import (
	"math"
	"math/rand/v2"
)

// stallThreshold is the part of a probe interval by which a Tick has to come late for the node to conclude that its
// process was stalled.
const stallThreshold = 0.5

// Node is one member.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	members     []member
	health      healthScore
	seq         uint32 // of the latest Ping that this node sent

	probe      probe
	nextProbe  int64 // when the next probe starts
	probeCount int   // probes started, those that found no target included
	liveRound  []int // the members that this round has still to probe
	deadRound  []int // the same for members that are not alive
	relays     map[uint32]*relay

	broadcasts       broadcastQueue
	antiEntropyIndex int // the member whose state is sent along next

	dueAt   int64 // the time by which Tick was requested
	out     []Envelope
	changes []Change
	counts  Counts
}

// New returns a member that has just started. Its incarnation must be higher than any that it had before: the
// time of its start is, and a claim of a higher one, from a clock that was ahead, is refuted with a higher one yet.
// The seed determines the order of probes.
func New(cfg Config, incarnation, seed uint64, now int64) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(seed, uint64(cfg.Self))),
		incarnation: incarnation,
		members:     make([]member, cfg.Members),
		relays:      map[uint32]*relay{},
		nextProbe:   now,
		dueAt:       now,
	}
	n.members[cfg.Self].Member = Member{State: Alive, Incarnation: incarnation, Since: now}
	// The start is announced at once: a member that was declared dead is alive again after one exchange.
	n.announce()
	return n, nil
}

// Take returns the messages to send and the state changes since the last Take.
func (n *Node) Take() (out []Envelope, changes []Change) {
	out, changes, n.out, n.changes = n.out, n.changes, nil, nil
	return out, changes
}

// View returns the state of every member, by number, this one included.
func (n *Node) View() []Member {
	view := make([]Member, len(n.members))
	for i, m := range n.members {
		view[i] = m.Member
	}
	return view
}

// Health returns the local health score: 0 is healthy, each step slows this node's probes and suspicions down.
func (n *Node) Health() int { return int(n.health) }

// Counts returns the totals since the node's start.
func (n *Node) Counts() Counts { return n.counts }

// Incarnation returns this member's own incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Next returns the time by which Tick has to be called, unless a message comes before.
func (n *Node) Next() int64 {
	next := n.nextProbe
	if n.probe.state != probeIdle {
		next = earlier(next, n.probe.endAt)
	}
	if n.probe.state == probeDirect {
		next = earlier(next, n.probe.timeoutAt)
	}
	for _, r := range n.relays {
		next = earlier(next, r.nackAt)
		next = earlier(next, r.expiresAt)
	}
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			next = earlier(next, min(s.nextPing, n.suspicionDeadline(i)))
		}
	}
	n.dueAt = next
	return next
}

// earlier returns the earlier of two times; a candidate of 0 is not set.
func earlier(next, candidate int64) int64 {
	if candidate > 0 && candidate < next {
		return candidate
	}
	return next
}

// Tick does what is due. It has to be called before Receive whenever time has passed.
func (n *Node) Tick(now int64) {
	if late := now - n.dueAt; float64(late) > stallThreshold*float64(n.cfg.ProbeInterval) {
		n.recoverFromStall(late)
	}
	n.dueAt = now
	n.tickRelays(now)
	n.tickProbe(now)
	n.tickSuspicions(now)
	if now >= n.nextProbe && !n.hasLeft() {
		n.nextProbe = now + n.health.scale(n.cfg.ProbeInterval)
		n.startProbe(now)
	}
}

// recoverFromStall accounts for a pause of this process, which it notices only now: that nothing was received
// meanwhile says nothing about the others. Without this, a member that was stopped for a while would declare all
// others dead as soon as it continues.
func (n *Node) recoverFromStall(late int64) {
	n.counts.Stalls++
	n.health.degrade(1)
	n.probe = probe{}
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			s.start += late
		}
	}
	for _, r := range n.relays {
		r.settleNack()
	}
}

// Receive handles a message. One from a number that is no other member's is ignored, and so is an update that is
// invalid.
func (n *Node) Receive(now int64, message Message) {
	if !n.isMember(message.From) || message.From == n.cfg.Self {
		return
	}
	n.apply(now, Update{Member: message.From, State: Alive, Incarnation: message.Incarnation, From: message.From})
	for _, update := range message.Updates {
		if n.isMember(update.Member) && update.State < stateCount {
			n.apply(now, update)
		}
	}
	switch message.Kind {
	case Ping:
		n.receivePing(message)
	case PingReq:
		n.receivePingReq(now, message)
	case Ack:
		n.receiveAck(message)
	case Nack:
		n.receiveNack(message)
	case Gossip, User: // the updates are all that concerns the membership
	}
}

// isMember reports whether a number is a member's.
func (n *Node) isMember(number int) bool { return number >= 0 && number < len(n.members) }

// Leave announces that this member leaves the fleet. After it the node answers, and starts no probes.
func (n *Node) Leave(now int64) {
	n.probe, n.nextProbe = probe{}, math.MaxInt64
	n.members[n.cfg.Self].Member = Member{State: Left, Incarnation: n.incarnation, Since: now}
	n.announce()
}

// hasLeft reports whether Leave was called.
func (n *Node) hasLeft() bool { return n.members[n.cfg.Self].State == Left }

// announce sends the node's own state to all other members.
func (n *Node) announce() {
	for to := range n.members {
		if to != n.cfg.Self {
			n.send(to, Message{Kind: Gossip})
		}
	}
}

// ping sends a Ping with a sequence number of its own, and returns that.
func (n *Node) ping(target int) uint32 {
	n.seq++
	n.send(target, Message{Kind: Ping, Seq: n.seq, Target: target})
	return n.seq
}

// send queues a message with this node's state and the updates that it piggybacks.
func (n *Node) send(to int, m Message) {
	m.From, m.Incarnation, m.Updates = n.cfg.Self, n.incarnation, n.updatesFor(to)
	n.out = append(n.out, Envelope{To: to, Message: m})
}
