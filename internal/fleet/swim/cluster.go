// Package cluster is the membership of a fleet of controllers: who is alive, suspect, dead or has left, by
// SWIM's probing with Lifeguard's extensions. Members are numbered from 0, and all of them are known from the
// start (the configuration's peers): what is learnt is their state.
//
// A Node is one member's share of the protocol. It does no I/O and reads no clock: messages and the time, in
// µs of a clock that never moves backwards, are handed in, and what it wants sent and what has changed is taken
// out. It is not safe for concurrent use. docs/design-cluster.md weighs the choices.
package swim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// State is what a member is held to be.
type State uint8

// The states.
const (
	Unknown State = iota // nothing was heard of it since this node's start
	Alive
	Suspect // probes failed; dead unless it refutes that in time
	Dead
	Left // said so itself
	states
)

var stateNames = [states]string{"unknown", "alive", "suspect", "dead", "left"}

func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Config is what a Node is made with. Times are in µs.
type Config struct {
	Self    int // this member's number
	Members int // how many there are, 1 to MostMembers
	// Interval is the time from one probe to the next, Timeout how long a direct probe's answer may take before
	// others are asked to probe: at most half the interval. Both are multiplied by 1 + the local health score.
	Interval, Timeout int64
	Indirect          int // how many others are asked
	// A suspicion lasts SuspicionMult * max(1, log10(members)) intervals once enough others share it, and
	// SuspicionMax times as long while nobody does; more while this node's own health is bad.
	SuspicionMult, SuspicionMax int
	// Retransmit * ceil(log10(members + 1)) is how often an update is passed on.
	Retransmit int
}

const (
	// MaxMembers bounds a fleet.
	MaxMembers = 512
	// mostHealth is the worst local health score: probes are then 9 times slower.
	mostHealth = 8
	// deadEvery rounds one probe goes to a member that is not alive, so that healed partitions find together.
	deadEvery = 4
	// mostRelays bounds the probes made for others at a time.
	mostRelays = 64
	// filler is how many members' states are sent along beside the news: what was lost is made good by them.
	filler = 2
	// nackShare of a probe's time-out is when a relay says that it has no answer yet.
	nackShare = 0.8
	// standstill is the part of an interval by which a node that wakes too late knows that it stood still.
	standstill = 0.5
)

// ErrConfig tells of a Config that makes no sense; the message names the field.
var ErrConfig = errors.New("cluster: bad config")

// Check tells what is wrong with the Config.
func (c Config) Check() error {
	switch {
	case c.Members < 1 || c.Members > MaxMembers:
		return fmt.Errorf("%w: peers: %d members, want 1 to %d", ErrConfig, c.Members, MaxMembers)
	case c.Self < 0 || c.Self >= c.Members:
		return fmt.Errorf("%w: index: %d, want 0 to %d", ErrConfig, c.Self, c.Members-1)
	case c.Interval < 10_000:
		return fmt.Errorf("%w: probe_interval: want 10ms or more", ErrConfig)
	case c.Timeout <= 0 || c.Timeout > c.Interval/2:
		return fmt.Errorf("%w: probe_timeout: want more than 0, at most half of probe_interval", ErrConfig)
	case c.Indirect < 0 || c.Indirect > 16:
		return fmt.Errorf("%w: indirect: want 0 to 16", ErrConfig)
	case c.SuspicionMult < 2 || c.SuspicionMult > 64:
		return fmt.Errorf("%w: suspicion_mult: want 2 to 64", ErrConfig)
	case c.SuspicionMax < 1 || c.SuspicionMax > 64:
		return fmt.Errorf("%w: suspicion_max: want 1 to 64", ErrConfig)
	case c.Retransmit < 1 || c.Retransmit > 16:
		return fmt.Errorf("%w: retransmit: want 1 to 16", ErrConfig)
	}
	return nil
}

// Default are the settings of a fleet of so many members: a crash is known everywhere within DetectWithin.
func Default(self, members int) Config {
	return Config{
		Self: self, Members: members, Interval: 1_000_000, Timeout: 300_000, Indirect: 3,
		SuspicionMult: 4, SuspicionMax: 3, Retransmit: 4,
	}
}

// DetectionTime is within which time of a crash all other members that are healthy and hear one another hold
// the member dead, without loss: it is probed within two rounds of the members, its suspicion is shared by
// nobody at the worst, and the news takes a few intervals.
func (c Config) DetectionTime() int64 {
	rounds := int64(2*(c.Members-1) + 1)
	_, most, _ := c.suspicion(c.Members)
	spread := int64(math.Ceil(math.Log2(float64(c.Members)))+2) * c.Interval
	return rounds*c.Interval*5/4 + most + spread
}

// suspicion is the least and the most time that a suspicion lasts among so many members, and how many others
// have to share it for the least.
func (c Config) suspicion(members int) (least, most int64, shared int) {
	least = int64(float64(c.SuspicionMult) * max(1, math.Log10(float64(max(members, 1)))) * float64(c.Interval))
	shared = max(0, min(c.SuspicionMult-2, members-2))
	if shared == 0 {
		return least, least, 0
	}
	return least, least * int64(c.SuspicionMax), shared
}

// Update is a claim about a member. From is who made it first; it tells shared suspicions apart.
type Update struct {
	Member      int
	State       State
	Incarnation uint64
	From        int
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds. Every message also says that its sender is alive, and carries Updates.
const (
	Ping    Kind = iota // wants an Ack of Seq from Target
	Ack                 // Seq is answered; from Target, who may be another than the sender
	PingReq             // wants Target probed, and an Ack or a Nack of Seq
	Nack                // Target has not answered the sender so far
	Gossip              // Updates alone
	User                // Body is for another protocol between the members
	kinds
)

// Message is one datagram.
type Message struct {
	Kind        Kind
	From        int
	Incarnation uint64 // From's
	Seq         uint32
	Target      int
	Updates     []Update
	Body        []byte // with User, at most MostBody bytes
}

// Out is a message to be sent.
type Out struct {
	To int
	Message
}

// Change is a change of a member's state.
type Change struct {
	Member            int
	Previous, Current State
	Incarnation       uint64
}

// Member is a line of the view.
type Member struct {
	State       State
	Incarnation uint64
	Since       int64 // it has this state, or this incarnation, since then
}

type member struct {
	Member
	by        int // who said so first
	suspicion *suspicion
}

// suspicion is a running one.
type suspicion struct {
	start   int64
	askAt   int64        // the suspect is asked again then
	sharers map[int]bool // others than the first
}

// probe is the one probe out.
type probe struct {
	seq       uint32
	target    int
	indirect  bool // others were asked
	asked     int
	nacks     int
	answered  bool
	timeoutAt int64
	endAt     int64
}

// relay is a probe made for another.
type relay struct {
	origin    int
	originSeq uint32
	target    int
	nackAt    int64 // 0: said
	dropAt    int64
}

type news struct {
	Update
	sends int
}

// Counts are what a Node has seen; all only grow.
type Counts struct {
	Probes, Failed, Indirect, Suspicions, Deaths, Refutations, Stalls uint64
}

// Node is one member.
type Node struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	members     []member
	health      int
	seq         uint32
	order       []int // the probes of this round still to come
	dead        []int // the same for members that are not alive
	rounds      int
	probe       *probe
	probeAt     int64 // the next probe
	dueAt       int64 // Tick was wanted by then
	relays      map[uint32]*relay
	news        []news // one a member at most
	fill        int    // the member whose state fills the next message
	leaving     bool
	out         []Out
	changes     []Change
	count       Counts
}

// New returns a member that has just started. Its incarnation must be higher than any that it had before: the
// time of its start does, and a claim about a higher one, by a clock that was ahead, is refuted with a higher
// one yet. seed is for the order of probes.
func New(cfg Config, incarnation, seed uint64, now int64) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))), incarnation: incarnation,
		members: make([]member, cfg.Members), relays: map[uint32]*relay{}, probeAt: now,
	}
	n.members[cfg.Self].Member = Member{State: Alive, Incarnation: incarnation, Since: now}
	n.dueAt = now
	// Everyone is told of the start at once: a member that was held dead is alive again in one exchange.
	for to := range n.members {
		if to != cfg.Self {
			n.send(to, Message{Kind: Gossip})
		}
	}
	return n, nil
}

// Take hands out what is to be sent and what has changed since the last Take.
func (n *Node) Take() (out []Out, changes []Change) {
	out, changes, n.out, n.changes = n.out, n.changes, nil, nil
	return out, changes
}

// View is the state of every member, by number, this one included.
func (n *Node) View() []Member {
	view := make([]Member, len(n.members))
	for i, m := range n.members {
		view[i] = m.Member
	}
	return view
}

// Health is the local health score: 0 is well, each step slows this node's probes and its verdicts down.
func (n *Node) Health() int { return n.health }

// Counts returns what the node has seen.
func (n *Node) Counts() Counts { return n.count }

// Incarnation is this member's own.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Next is when Tick is wanted.
func (n *Node) Next() int64 {
	next := n.probeAt
	soonest := func(at int64) {
		if at > 0 && at < next {
			next = at
		}
	}
	if p := n.probe; p != nil {
		soonest(p.endAt)
		if !p.indirect && !p.answered {
			soonest(p.timeoutAt)
		}
	}
	for _, r := range n.relays {
		soonest(r.nackAt)
		soonest(r.dropAt)
	}
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			soonest(min(s.askAt, n.deadline(i)))
		}
	}
	n.dueAt = next
	return next
}

// Tick does what is due. It is called before Receive whenever time has passed.
func (n *Node) Tick(now int64) {
	if late := now - n.dueAt; float64(late) > standstill*float64(n.cfg.Interval) {
		n.stoodStill(late)
	}
	n.dueAt = now
	for seq, r := range n.relays {
		if r.nackAt > 0 && now >= r.nackAt {
			r.nackAt = 0
			n.send(r.origin, Message{Kind: Nack, Seq: r.originSeq, Target: r.target})
		}
		if now >= r.dropAt {
			delete(n.relays, seq)
		}
	}
	n.tickProbe(now)
	for i := range n.members {
		m := &n.members[i]
		if m.suspicion == nil {
			continue
		}
		if now >= n.deadline(i) {
			n.count.Deaths++
			n.set(now, Update{i, Dead, m.Incarnation, n.cfg.Self})
			continue
		}
		// The suspect is asked again and again, with the suspicion told: its answer refutes it. Guards against a
		// member that is alive being declared dead where datagrams are lost: one refutation may be.
		if now >= m.suspicion.askAt && !n.leaving {
			m.suspicion.askAt = now + n.cfg.Timeout
			n.seq++
			n.send(i, Message{Kind: Ping, Seq: n.seq, Target: i})
		}
	}
	if now >= n.probeAt && !n.leaving {
		n.probeAt = now + n.scaled(n.cfg.Interval)
		n.startProbe(now)
	}
}

// stoodStill takes a pause of this node, of which only now it knows: nothing that it did not hear meanwhile
// says anything of the others. Guards against a member that was stopped for a while declaring all others dead
// the moment it goes on.
func (n *Node) stoodStill(late int64) {
	n.count.Stalls++
	n.worse(1)
	n.probe = nil
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			s.start += late
		}
	}
	for _, r := range n.relays {
		r.nackAt = 0
	}
}

func (n *Node) worse(by int) { n.health = min(max(n.health+by, 0), mostHealth) }

func (n *Node) scaled(t int64) int64 { return t * int64(n.health+1) }

func (n *Node) tickProbe(now int64) {
	p := n.probe
	if p == nil {
		return
	}
	if now >= p.timeoutAt && !p.answered && !p.indirect {
		p.indirect = true
		for _, k := range n.pick(n.cfg.Indirect, p.target) {
			n.count.Indirect++
			p.asked++
			n.send(k, Message{Kind: PingReq, Seq: p.seq, Target: p.target})
		}
	}
	if now < p.endAt {
		return
	}
	n.probe = nil
	if p.answered {
		return
	}
	n.count.Failed++
	// Lifeguard: those that were asked answer even if the target does not. Where they do not, it is this node
	// that hears badly; with nobody to ask, that may be so, but not again for each probe of one that is held for
	// suspect or dead already: in a fleet of two the suspicion would last the longer the longer the other is dead.
	m := n.members[p.target]
	if p.asked > 0 {
		n.worse(p.asked - p.nacks)
	} else if m.State == Alive {
		n.worse(1)
	}
	if m.State == Alive || m.State == Suspect {
		n.apply(now, Update{p.target, Suspect, m.Incarnation, n.cfg.Self})
	}
}

// startProbe probes the next member of the round: every one that is alive or suspect once, in an order drawn
// anew each round, and now and then one of the others.
func (n *Node) startProbe(now int64) {
	n.rounds++
	target, found := n.nextOf(&n.order, func(s State) bool { return s == Alive || s == Suspect })
	if !found || n.rounds%deadEvery == 0 {
		if t, any := n.nextOf(&n.dead, func(s State) bool { return s == Dead || s == Unknown }); any {
			target, found = t, true
		}
	}
	if !found {
		return
	}
	n.seq++
	n.count.Probes++
	n.probe = &probe{seq: n.seq, target: target, timeoutAt: now + n.scaled(n.cfg.Timeout), endAt: n.probeAt}
	n.send(target, Message{Kind: Ping, Seq: n.seq, Target: target})
}

// nextOf takes the next member of a round that is in such a state, drawing a new round when the last is over.
func (n *Node) nextOf(round *[]int, is func(State) bool) (int, bool) {
	for range 2 {
		for len(*round) > 0 {
			t := (*round)[0]
			*round = (*round)[1:]
			if is(n.members[t].State) {
				return t, true
			}
		}
		for i := range n.members {
			if i != n.cfg.Self {
				*round = append(*round, i)
			}
		}
		n.rng.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
	}
	return 0, false
}

// pick draws up to k members that are alive, none of them target.
func (n *Node) pick(k, target int) []int {
	var from []int
	for i, m := range n.members {
		if i != n.cfg.Self && i != target && m.State == Alive {
			from = append(from, i)
		}
	}
	n.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(k, len(from))]
}

// Receive takes a message. One that makes no sense is passed over.
func (n *Node) Receive(now int64, m Message) {
	if m.From < 0 || m.From >= len(n.members) || m.From == n.cfg.Self {
		return
	}
	n.apply(now, Update{m.From, Alive, m.Incarnation, m.From})
	for _, u := range m.Updates {
		if u.Member >= 0 && u.Member < len(n.members) && u.State < states {
			n.apply(now, u)
		}
	}
	switch m.Kind {
	case Ping:
		if m.Target == n.cfg.Self { // else it reached the wrong member
			n.send(m.From, Message{Kind: Ack, Seq: m.Seq, Target: n.cfg.Self})
		}
	case PingReq:
		if m.Target < 0 || m.Target >= len(n.members) || m.Target == n.cfg.Self || len(n.relays) >= mostRelays {
			return
		}
		n.seq++
		n.relays[n.seq] = &relay{
			origin: m.From, originSeq: m.Seq, target: m.Target,
			nackAt: now + int64(nackShare*float64(n.cfg.Timeout)), dropAt: now + n.cfg.Interval,
		}
		n.send(m.Target, Message{Kind: Ping, Seq: n.seq, Target: m.Target})
	case Ack:
		if r := n.relays[m.Seq]; r != nil && r.target == m.Target {
			delete(n.relays, m.Seq)
			n.send(r.origin, Message{Kind: Ack, Seq: r.originSeq, Target: r.target})
		}
		if p := n.probe; p != nil && p.seq == m.Seq && p.target == m.Target && !p.answered {
			p.answered = true
			n.worse(-1)
		}
	case Nack:
		if p := n.probe; p != nil && p.seq == m.Seq && p.target == m.Target && p.indirect {
			p.nacks = min(p.nacks+1, p.asked)
		}
	}
}

// apply takes a claim, if it is news.
func (n *Node) apply(now int64, u Update) {
	if u.Member == n.cfg.Self {
		n.refute(now, u)
		return
	}
	m := &n.members[u.Member]
	newer := u.Incarnation > m.Incarnation || m.State == Unknown
	same := u.Incarnation == m.Incarnation
	switch u.State {
	case Alive:
		if newer {
			if p := n.probe; p != nil && p.target == u.Member {
				n.probe = nil // it was of the member's last life: what became of it says nothing of this one
			}
			n.set(now, u)
		}
	case Suspect:
		switch {
		case m.suspicion != nil && same:
			n.share(u)
		case newer || same && m.State == Alive:
			n.count.Suspicions++
			n.set(now, u)
		}
	case Dead, Left:
		if newer || same && (m.State == Alive || m.State == Suspect || m.State == Dead && u.State == Left) {
			n.set(now, u)
		}
	}
}

// refute answers a claim about this node itself: with a higher incarnation it is alive.
func (n *Node) refute(now int64, u Update) {
	if n.leaving || u.State == Unknown || u.Incarnation < n.incarnation || u.State == Alive && u.Incarnation == n.incarnation {
		return
	}
	if u.State != Alive { // it was held for dead: it may be slow
		n.count.Refutations++
		n.worse(1)
	}
	n.incarnation = u.Incarnation + 1
	n.members[n.cfg.Self].Member = Member{Alive, n.incarnation, now}
	n.tell(Update{n.cfg.Self, Alive, n.incarnation, n.cfg.Self})
}

// share takes another member's suspicion of one that is suspect: the more share it, the sooner it ends.
func (n *Node) share(u Update) {
	m := &n.members[u.Member]
	_, _, shared := n.cfg.suspicion(n.present())
	if u.From == m.by || m.suspicion.sharers[u.From] || len(m.suspicion.sharers) >= shared {
		return
	}
	m.suspicion.sharers[u.From] = true
	n.tell(u)
}

// present is how many members are alive or suspect, this one included.
func (n *Node) present() int {
	k := 0
	for _, m := range n.members {
		if m.State == Alive || m.State == Suspect {
			k++
		}
	}
	return k
}

// deadline is when a suspicion ends in death.
func (n *Node) deadline(i int) int64 {
	s := n.members[i].suspicion
	least, most, shared := n.cfg.suspicion(n.present())
	lasts := least
	if shared > 0 {
		part := math.Log(float64(len(s.sharers)+1)) / math.Log(float64(shared+1))
		lasts = max(least, most-int64(part*float64(most-least)))
	}
	return s.start + n.scaled(lasts)
}

// set takes a new state of another member, and passes it on.
func (n *Node) set(now int64, u Update) {
	m := &n.members[u.Member]
	if m.State != u.State || m.Incarnation != u.Incarnation {
		n.changes = append(n.changes, Change{u.Member, m.State, u.State, u.Incarnation})
	}
	m.Member, m.by, m.suspicion = Member{u.State, u.Incarnation, now}, u.From, nil
	if u.State == Suspect {
		m.suspicion = &suspicion{start: now, askAt: now, sharers: map[int]bool{}}
	}
	n.tell(u)
}

// tell queues an update to be passed on; it takes the place of an older one about the member.
func (n *Node) tell(u Update) {
	n.news = slices.DeleteFunc(n.news, func(o news) bool { return o.Member == u.Member })
	n.news = append(n.news, news{Update: u})
}

// updates are what a message to a member carries: first what that member must refute, then the news least
// often told, then a few members' states.
func (n *Node) updates(to int) []Update {
	var us []Update
	has := func(member int) bool {
		return slices.ContainsFunc(us, func(u Update) bool { return u.Member == member })
	}
	if m := n.members[to]; m.State == Suspect || m.State == Dead || m.State == Left {
		us = append(us, Update{to, m.State, m.Incarnation, m.by})
	}
	most := n.cfg.Retransmit * int(math.Ceil(math.Log10(float64(len(n.members)+1))))
	slices.SortStableFunc(n.news, func(a, b news) int { return a.sends - b.sends })
	for i := range n.news {
		if len(us) >= MaxUpdates {
			break
		}
		if !has(n.news[i].Member) {
			us = append(us, n.news[i].Update)
			n.news[i].sends++
		}
	}
	n.news = slices.DeleteFunc(n.news, func(o news) bool { return o.sends >= most })
	for added, tried := 0, 0; added < filler && tried < len(n.members) && len(us) < MaxUpdates; tried++ {
		i := n.fill
		n.fill = (n.fill + 1) % len(n.members)
		if m := n.members[i]; i != n.cfg.Self && m.State != Unknown && !has(i) {
			us = append(us, Update{i, m.State, m.Incarnation, m.by})
			added++
		}
	}
	return us
}

func (n *Node) send(to int, m Message) {
	m.From, m.Incarnation, m.Updates = n.cfg.Self, n.incarnation, n.updates(to)
	if n.leaving {
		m.Updates = append([]Update{{n.cfg.Self, Left, n.incarnation, n.cfg.Self}}, m.Updates[:min(len(m.Updates), MaxUpdates-1)]...)
	}
	n.out = append(n.out, Out{to, m})
}

// Leave says to all that this member goes. After it the node only answers.
func (n *Node) Leave(now int64) {
	n.leaving, n.probe, n.probeAt = true, nil, math.MaxInt64
	n.members[n.cfg.Self].Member = Member{Left, n.incarnation, now}
	for to := range n.members {
		if to != n.cfg.Self {
			n.send(to, Message{Kind: Gossip})
		}
	}
}
