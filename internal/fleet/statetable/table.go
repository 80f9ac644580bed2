// Package statetable is the fleet's replicated state table: every member publishes small values about itself, each
// under a kind, and all members hold all values. Of one origin and kind the newest complete value counts, by the
// origin's incarnation and then by its version, so datagrams that are lost, duplicated, late or out of order change
// nothing but the time until all members agree.
//
// A Table is one member's replica. It disseminates values as updates (rumour mongering), and repairs what these missed
// by comparing digests with one other member at a time (anti-entropy; Demers et al., 1987). It does no I/O and reads no
// clock: bodies of datagrams and the time, in µs of a monotonic clock, are passed in, and the bodies to send are
// returned. It is not safe for concurrent use.
//
// Each user of the table registers a kind. A kind that is not registered is ignored and not relayed, so programs that
// know different kinds run side by side. docs/design-table.md weighs the alternatives and their cost.
package statetable

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

// maxReplies is how many datagrams are sent in answer to one.
const maxReplies = 4

// Out is a body for another member.
type Out struct {
	To   int
	Body []byte
}

// Table is one member's replica of the state table.
type Table struct {
	cfg         Config
	interval    int64 // Config.Interval in µs
	rng         *rand.Rand
	incarnation uint64
	alive       []bool
	records     map[entryKey]*record
	updates     updateQueue
	blockHashes []uint32 // 0 for one that has to be computed
	nextTick    int64
	ticks       int
	changes     []Change
	counts      Counts
}

// New returns the table of a member that has just started.
func New(cfg Config, now int64) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Table{
		cfg:         cfg,
		interval:    cfg.Interval.Microseconds(),
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))),
		incarnation: cfg.Incarnation,
		alive:       make([]bool, cfg.Members),
		records:     map[entryKey]*record{},
		blockHashes: make([]uint32, maxBlocks),
		nextTick:    now,
	}, nil
}

// SetAlive replaces the set of members that are alive, by index; nothing is sent to the others. Their values stay until
// Drop.
func (t *Table) SetAlive(alive []bool) { copy(t.alive, alive) }

// Set publishes a value of this member. One equal to the last is not published again.
func (t *Table) Set(now int64, kind Kind, value []byte) error {
	spec := t.cfg.spec(kind)
	if spec == nil {
		return &ValueError{Kind: kind, Bytes: len(value)}
	}
	if len(value) > spec.MaxLength {
		return &ValueError{Kind: kind, Bytes: len(value), MaxLength: spec.MaxLength}
	}
	key := entryKey{t.cfg.Self, kind}
	own := t.records[key]
	switch {
	case own == nil:
		own = &record{}
		t.records[key] = own
	case bytes.Equal(own.Value, value):
		own.pending = nil
		return nil
	case t.disseminating(now, key, own):
		own.pending = slices.Clone(value)
		return nil
	}
	t.publish(now, key, own, value)
	return nil
}

// Get returns the newest complete value of an origin.
func (t *Table) Get(origin int, kind Kind) (Entry, bool) {
	if held := t.records[entryKey{origin, kind}]; held != nil && held.complete {
		return held.Entry, true
	}
	return Entry{}, false
}

// Each calls visit with every complete value of a kind, in the order of the origins.
func (t *Table) Each(kind Kind, visit func(origin int, e Entry)) {
	for origin := range t.cfg.Members {
		if entry, found := t.Get(origin, kind); found {
			visit(origin, entry)
		}
	}
}

// Drop forgets a value of another member. It comes back from any member that still holds it, its origin included.
func (t *Table) Drop(origin int, kind Kind) {
	if origin == t.cfg.Self {
		return
	}
	delete(t.records, entryKey{origin, kind})
	t.invalidateBlock(origin)
}

// TakeChanges returns the changes since the last Take.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// NextTick is when Tick is due.
func (t *Table) NextTick() int64 { return t.nextTick }

// Tick does what is due: it sends updates to some members, and a digest to one.
func (t *Table) Tick(now int64) []Out {
	if now < t.nextTick {
		return nil
	}
	t.nextTick = now + t.interval
	t.publishPending(now)
	peers := t.shuffledPeers()
	if len(peers) == 0 {
		return nil
	}
	out := t.disseminate(peers[:min(t.cfg.Fanout, len(peers))])
	if t.ticks++; t.ticks%t.cfg.DigestEvery == 0 {
		out = append(out, Out{peers[t.rng.IntN(len(peers))], t.digest()})
	}
	return t.countSent(out)
}

// shuffledPeers returns the other members that are alive, in random order.
func (t *Table) shuffledPeers() []int {
	var peers []int
	for member, alive := range t.alive {
		if alive && member != t.cfg.Self {
			peers = append(peers, member)
		}
	}
	t.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// Receive takes the body of a member's message, and returns the answers to it. An invalid message returns a
// *MessageError; new values are returned by Take.
func (t *Table) Receive(now int64, from int, body []byte) ([]Out, error) {
	if from < 0 || from >= t.cfg.Members || from == t.cfg.Self || len(body) == 0 || len(body) > maxBody {
		return nil, t.rejectMessage(from, "a body of %d bytes", len(body))
	}
	var replies [][]byte
	var err error
	switch payload := body[1:]; messageType(body[0]) {
	case fragmentsMessage:
		err = t.receiveFragments(now, from, payload)
	case digestMessage:
		replies, err = t.receiveDigest(from, payload)
	case summaryMessage:
		replies, err = t.receiveSummary(from, payload)
	default:
		err = t.rejectMessage(from, "message kind %d", body[0])
	}
	var out []Out
	for _, reply := range replies[:min(len(replies), maxReplies)] {
		out = append(out, Out{from, reply})
	}
	return t.countSent(out), err
}
