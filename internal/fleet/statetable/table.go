// Package table is the fleet's shared word: small values that every member tells of itself and all others hold, each
// value under a kind. Per origin and kind the newest whole value counts, by the origin's incarnation and then by its
// version, so that datagrams lost, doubled, late or out of order change nothing but the time that it takes.
//
// A Table is one member's part. It spreads values as rumours, and makes good what rumours lost by comparing digests
// with one other member at a time. It does no I/O and reads no clock: bodies of datagrams and the time, in µs of a
// clock that never moves backwards, are handed in, and what is to be sent comes out. It is not safe for concurrent use.
//
// Each user of the table registers a kind. One that is not registered is passed over and not passed on, so that
// programs that know different kinds run side by side. docs/design-table.md weighs the choices and says what it costs.
package statetable

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Kind names a user of the table. It is part of the wire: one that was used stays taken.
type Kind uint8

// The kinds of this program.
const (
	Region   Kind = 1 // a member's region, its name
	Versions Kind = 2 // what a member acts on (cluster/audit)
	Sketch   Kind = 3 // what a member observed of the numbers called
)

const (
	// MaxValue is the longest value, in bytes.
	MaxValue = mostFragments * fragmentBytes
	// MaxKinds bounds the kinds registered.
	MaxKinds = 16
	// mostFragments is how many fragments a value has at the most: a bit each in a line's mask.
	mostFragments = 32
	// mostBlocks is how many hashes a digest has at the most; they cover all members.
	mostBlocks = (mostBody - 1) / 4
	// mostReplies bounds the datagrams sent in answer to one.
	mostReplies = 4
	// mostPartials is how many versions of a value may be coming in at a time. Two: a value that changes while it
	// comes is not begun again each time.
	mostPartials = 2
	// patience is how many intervals a version waits at the most for the one before.
	patience = 40
	// mostPassedOver bounds the rumours that are looked at for one that still fits into a body.
	mostPassedOver = 8
)

// Spec registers a kind.
type Spec struct {
	Kind      Kind
	Name      string // for errors and logs
	MaxLength int    // the longest value, in bytes
}

// Config is what a Table is made with.
type Config struct {
	Self, Members int
	// Incarnation is this member's life: higher than that of any life before, by its start time.
	Incarnation uint64
	Seed        uint64
	Interval    int64 // from one Tick's sending to the next, µs
	Fanout      int   // to how many members rumours go each Interval
	Packets     int   // datagrams of rumours to each of them at the most
	Retransmit  int   // * ceil(log10(members+1)): how often a rumour is passed on
	DigestEvery int   // so many Intervals from one digest to the next
	Kinds       []Spec
}

// Default are the settings for a fleet of so many members.
func Default(self, members int, incarnation, seed uint64) Config {
	return Config{
		Self: self, Members: members, Incarnation: incarnation, Seed: seed, Interval: 250_000, Fanout: 2,
		Packets: 2, Retransmit: 2, DigestEvery: 2,
	}
}

// ConfigError tells of a Config that makes no sense.
type ConfigError struct{ Field, Want string }

func (e *ConfigError) Error() string { return fmt.Sprintf("table: %s: want %s", e.Field, e.Want) }

// Remedy implements remedy.Error.
func (e *ConfigError) Remedy() string {
	return "mend the field in the cluster file; without the file the controller runs alone"
}

// Check tells what is wrong with the Config.
func (c Config) Check() error {
	bad := func(field, want string) error { return &ConfigError{field, want} }
	switch {
	case c.Members < 1 || c.Self < 0 || c.Self >= c.Members:
		return bad("index", "one of the members")
	case c.Members > 1<<15:
		return bad("peers", "32,768 members at the most")
	case c.Interval < 10_000:
		return bad("interval", "10ms or more")
	case c.Fanout < 1 || c.Fanout > 16:
		return bad("fanout", "1 to 16")
	case c.Packets < 1 || c.Packets > 16:
		return bad("packets", "1 to 16")
	case c.Retransmit < 1 || c.Retransmit > 16:
		return bad("retransmit", "1 to 16")
	case c.DigestEvery < 1 || c.DigestEvery > 1000:
		return bad("digest_every", "1 to 1000")
	case len(c.Kinds) > MaxKinds:
		return bad("kinds", fmt.Sprintf("%d at the most", MaxKinds))
	}
	for i, s := range c.Kinds {
		if s.MaxLength < 1 || s.MaxLength > MaxValue || slices.ContainsFunc(c.Kinds[:i], func(o Spec) bool { return o.Kind == s.Kind }) {
			return bad("kind "+s.Name, fmt.Sprintf("each once, with 1 to %d bytes", MaxValue))
		}
	}
	return nil
}

// Stamp orders the values of one origin and kind.
type Stamp struct {
	Incarnation uint64
	Version     uint32
}

// Compare is negative where s is older than o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Version, o.Version))
}

// Entry is a whole value.
type Entry struct {
	Stamp
	Value []byte // not to be changed
	At    int64  // when it was whole here
}

// Out is a body for another member.
type Out struct {
	To   int
	Body []byte
}

// Change tells that a value of another member was replaced.
type Change struct {
	Origin int
	Kind   Kind
	Entry
}

// Counts are what a Table has done; all only grow.
type Counts struct {
	Bytes, Packets   uint64 // sent
	Repairs          uint64 // fragments sent as a digest differed
	Stale            uint64 // fragments that brought nothing new
	Unknown, Invalid uint64 // items of kinds not registered; items that made no sense
}

type key struct {
	origin int
	kind   Kind
}

func (a key) compare(b key) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.kind, b.kind))
}

// partial is a value that is coming in.
type partial struct {
	Stamp
	count int
	have  uint32
	parts [mostFragments][]byte
}

// cell is what is held of one origin and kind.
type cell struct {
	Entry
	whole    bool
	partials []partial
	next     []byte // of an own value: what it is to be once the last is out, nil: nothing
	begun    bool   // of an own value: a fragment was sent
}

// rumour is a fragment that is passed on.
type rumour struct {
	item
	sends int
}

// Table is one member's part of the fleet's shared word.
type Table struct {
	cfg         Config
	rng         *rand.Rand
	incarnation uint64
	alive       []bool
	cells       map[key]*cell
	fresh, told []rumour // those that were not passed on yet go first, the others in turn
	hashes      []uint32 // of the blocks, 0: to be made
	tickAt      int64
	ticks       int
	changes     []Change
	count       Counts
}

// New returns the table of a member that has just started.
func New(cfg Config, now int64) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Table{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), incarnation: cfg.Incarnation,
		alive: make([]bool, cfg.Members), cells: map[key]*cell{}, hashes: make([]uint32, mostBlocks), tickAt: now,
	}, nil
}

// Counts returns what the table has done.
func (t *Table) Counts() Counts { return t.count }

// SetAlive takes who is held alive: nothing is sent to others. What they told stays until Drop.
func (t *Table) SetAlive(alive []bool) { copy(t.alive, alive) }

func (t *Table) spec(k Kind) *Spec {
	for i := range t.cfg.Kinds {
		if t.cfg.Kinds[i].Kind == k {
			return &t.cfg.Kinds[i]
		}
	}
	return nil
}

// ValueError tells that a value cannot be told.
type ValueError struct {
	Kind      Kind
	Bytes     int
	MaxLength int
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("table: a value of %d bytes for kind %d, at most %d", e.Bytes, e.Kind, e.MaxLength)
}

// Remedy implements remedy.Error.
func (e *ValueError) Remedy() string {
	return "a fault of the program: the value is not told and the last one stands; report it with the log"
}

// Set has this member tell a value. One equal to the last is no news.
func (t *Table) Set(now int64, kind Kind, value []byte) error {
	s := t.spec(kind)
	if s == nil || len(value) > s.MaxLength {
		e := &ValueError{Kind: kind, Bytes: len(value)}
		if s != nil {
			e.MaxLength = s.MaxLength
		}
		return e
	}
	k := key{t.cfg.Self, kind}
	c := t.cells[k]
	if c == nil {
		c = &cell{}
		t.cells[k] = c
	} else if bytes.Equal(c.Value, value) {
		c.next = nil
		return nil
	} else if t.passing(now, k, c) {
		c.next = slices.Clone(value)
		return nil
	}
	t.publish(now, k, c, value)
	return nil
}

// passing tells whether a value of this member's own is still on its way: fragments of it are passed on here, or are
// likely to be elsewhere. Guards against a long value that changes often being whole nowhere: the next version waits
// for the last to be out, but no longer than patience.
func (t *Table) passing(now int64, k key, c *cell) bool {
	age := now - c.At
	of := func(r rumour) bool { return r.key == k }
	return c.begun && (age < int64(fragments(len(c.Value))-1)*t.cfg.Interval ||
		age < patience*t.cfg.Interval && (slices.ContainsFunc(t.fresh, of) || slices.ContainsFunc(t.told, of)))
}

// publish has a new version of an own value told.
func (t *Table) publish(now int64, k key, c *cell, value []byte) {
	stamp := Stamp{t.incarnation, c.Version + 1}
	if c.Incarnation < t.incarnation {
		stamp.Version = 1
	}
	c.Entry, c.whole, c.next, c.begun = Entry{stamp, slices.Clone(value), now}, true, nil, false
	t.changed(k)
	t.tell(k, c)
}

// Get is the newest whole value of an origin.
func (t *Table) Get(origin int, kind Kind) (Entry, bool) {
	if c := t.cells[key{origin, kind}]; c != nil && c.whole {
		return c.Entry, true
	}
	return Entry{}, false
}

// Each calls f with every whole value of a kind, by origin.
func (t *Table) Each(kind Kind, f func(origin int, e Entry)) {
	for origin := range t.cfg.Members {
		if e, is := t.Get(origin, kind); is {
			f(origin, e)
		}
	}
}

// Drop forgets what another member told. It is told again by those that hold it still, and by the member itself.
func (t *Table) Drop(origin int, kind Kind) {
	if origin == t.cfg.Self {
		return
	}
	delete(t.cells, key{origin, kind})
	t.changed(key{origin, kind})
}

// changed has the hash of a block made anew.
func (t *Table) changed(k key) { t.hashes[k.origin/t.blockSize()] = 0 }

// Take hands out the changes since the last Take.
func (t *Table) Take() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// tell has every fragment of a value passed on.
func (t *Table) tell(k key, c *cell) {
	n := fragments(len(c.Value))
	for i := range n {
		t.fresh = append(t.fresh, rumour{item: item{k, c.Stamp, i, n, part(c.Value, i)}})
	}
}

func (t *Table) mostSends() int {
	return t.cfg.Retransmit * int(math.Ceil(math.Log10(float64(t.cfg.Members+1))))
}

// Next is when Tick is wanted.
func (t *Table) Next() int64 { return t.tickAt }

// Tick does what is due: rumours to some members, a digest to one.
func (t *Table) Tick(now int64) (out []Out) {
	if now < t.tickAt {
		return nil
	}
	t.tickAt = now + t.cfg.Interval
	for _, s := range t.cfg.Kinds {
		k := key{t.cfg.Self, s.Kind}
		if c := t.cells[k]; c != nil && c.next != nil && !t.passing(now, k, c) {
			t.publish(now, k, c, c.next)
		}
	}
	peers := t.peers()
	if len(peers) == 0 {
		return nil
	}
	for _, to := range peers[:min(t.cfg.Fanout, len(peers))] {
		for range t.cfg.Packets {
			b := t.gossip()
			if b == nil {
				break
			}
			out = append(out, Out{to, b})
		}
	}
	if t.ticks++; t.ticks%t.cfg.DigestEvery == 0 {
		out = append(out, Out{peers[t.rng.IntN(len(peers))], t.blocks()})
	}
	return t.sent(out)
}

func (t *Table) sent(out []Out) []Out {
	for _, o := range out {
		t.count.Packets++
		t.count.Bytes += uint64(len(o.Body))
	}
	return out
}

// peers are the others that are alive, in an order drawn anew.
func (t *Table) peers() []int {
	var peers []int
	for m, alive := range t.alive {
		if alive && m != t.cfg.Self {
			peers = append(peers, m)
		}
	}
	t.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// gossip packs the fragments that were passed on the least often into one body; nil where there are none. Each of
// them counts as passed on once a body.
func (t *Table) gossip() []byte {
	b := []byte{fragmentsMessage}
	most := t.mostSends()
	var passed, kept []rumour
	for _, queue := range []*[]rumour{&t.fresh, &t.told} {
		for n := len(*queue); n > 0; n-- {
			r := (*queue)[0]
			if len(b)+itemHead+len(r.bytes) > mostBody {
				if len(kept) >= mostPassedOver {
					break
				}
				kept, *queue = append(kept, r), (*queue)[1:]
				continue
			}
			*queue = (*queue)[1:]
			if c := t.cells[r.key]; c == nil || c.whole && c.Compare(r.Stamp) > 0 {
				continue // out of date
			}
			b = appendItem(b, r.item)
			t.cells[r.key].begun = true
			if r.sends++; r.sends < most {
				passed = append(passed, r)
			}
		}
		*queue = append(kept, *queue...)
		kept = nil
	}
	t.told = append(t.told, passed...)
	if len(b) == 1 {
		return nil
	}
	return b
}

// ---- digests ----

// blockSize is how many members one hash of a digest covers.
func (t *Table) blockSize() int { return (t.cfg.Members + mostBlocks - 1) / mostBlocks }

// keys are those of a range of origins, in order; only whole values count.
func (t *Table) keys(from, to int) []key {
	var keys []key
	for origin := from; origin < min(to, t.cfg.Members); origin++ {
		for _, s := range t.cfg.Kinds {
			if c := t.cells[key{origin, s.Kind}]; c != nil && c.whole {
				keys = append(keys, key{origin, s.Kind})
			}
		}
	}
	slices.SortFunc(keys, key.compare)
	return keys
}

// hash is over the stamps of a block, never 0.
func (t *Table) hash(block int) uint32 {
	if t.hashes[block] != 0 {
		return t.hashes[block]
	}
	size := t.blockSize()
	sum := uint32(0)
	var b [15]byte
	for _, k := range t.keys(block*size, (block+1)*size) {
		binary.BigEndian.PutUint16(b[:], uint16(k.origin))
		b[2] = byte(k.kind)
		binary.BigEndian.PutUint64(b[3:], t.cells[k].Incarnation)
		binary.BigEndian.PutUint32(b[11:], t.cells[k].Version)
		sum = crc32.Update(sum, crc32.IEEETable, b[:])
	}
	t.hashes[block] = max(sum, 1)
	return t.hashes[block]
}

// blocks is the digest of the whole table.
func (t *Table) blocks() []byte {
	b := []byte{blocksMessage}
	for block := range (t.cfg.Members + t.blockSize() - 1) / t.blockSize() {
		b = binary.BigEndian.AppendUint32(b, t.hash(block))
	}
	return b
}

// Receive takes the body of a member's message, and returns what is answered. What makes no sense is an error, and
// changes nothing; what is new is handed out by Take.
func (t *Table) Receive(now int64, from int, body []byte) ([]Out, error) {
	if from < 0 || from >= t.cfg.Members || from == t.cfg.Self || len(body) == 0 || len(body) > mostBody {
		return nil, t.refuse(from, "a body of %d bytes", len(body))
	}
	var bodies [][]byte
	var err error
	switch body[0] {
	case fragmentsMessage:
		err = t.receiveItems(now, from, body[1:])
	case blocksMessage:
		bodies, err = t.receiveBlocks(from, body[1:])
	case linesMessage:
		bodies, err = t.receiveLines(from, body[1:])
	default:
		err = t.refuse(from, "message kind %d", body[0])
	}
	var out []Out
	for _, b := range bodies[:min(len(bodies), mostReplies)] {
		out = append(out, Out{from, b})
	}
	return t.sent(out), err
}

// MessageError tells of a message of a member that makes no sense.
type MessageError struct {
	From int
	What string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("table: member %d sent %s", e.From, e.What)
}

// Remedy implements remedy.Error.
func (e *MessageError) Remedy() string {
	return "compare the versions of the two controllers, and that no other fleet uses their addresses"
}

func (t *Table) refuse(from int, format string, args ...any) error {
	t.count.Invalid++
	return &MessageError{from, fmt.Sprintf(format, args...)}
}

// receiveBlocks answers a digest with the lines of the blocks that differ, drawn where they are too many.
func (t *Table) receiveBlocks(from int, b []byte) ([][]byte, error) {
	size := t.blockSize()
	n := (t.cfg.Members + size - 1) / size
	if len(b) != 4*n {
		return nil, t.refuse(from, "a digest of %d bytes, not %d: another number of members", len(b), 4*n)
	}
	var differ []int
	for block := range n {
		if binary.BigEndian.Uint32(b[4*block:]) != t.hash(block) {
			differ = append(differ, block)
		}
	}
	t.rng.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	var out [][]byte
	for _, block := range differ {
		if out = append(out, t.lines(block*size, (block+1)*size)...); len(out) >= mostReplies {
			break
		}
	}
	return out, nil
}

// lines tell what is held of a range of origins, wanting what is newer. Each message says for which part of the range
// it is, so that what it does not list is known to be lacking.
func (t *Table) lines(from, to int) [][]byte {
	to = min(to, t.cfg.Members)
	keys := t.keys(from, to)
	var out [][]byte
	first := key{from, 0}
	for {
		n := min(len(keys), mostLines)
		last := key{to, 0}
		if n < len(keys) {
			last = keys[n]
		}
		b := appendRange([]byte{linesMessage, wantAnswer}, first, last)
		for _, k := range keys[:n] {
			stamp, have := t.cells[k].newest()
			b = appendLine(b, k, stamp, have)
		}
		out = append(out, b)
		if keys, first = keys[n:], last; len(keys) == 0 {
			return out
		}
	}
}

// receiveLines answers with the fragments that the other lacks, and asks for what it has and this member lacks.
func (t *Table) receiveLines(from int, b []byte) ([][]byte, error) {
	if len(b) < 1+rangeSize || (len(b)-1-rangeSize)%lineSize != 0 {
		return nil, t.refuse(from, "lines of %d bytes", len(b))
	}
	answer := b[0] == wantAnswer
	first, last := parseRange(b[1:])
	if first.origin > last.origin || last.origin > t.cfg.Members {
		return nil, t.refuse(from, "lines of members %d to %d", first.origin, last.origin)
	}
	var pack packer
	wants := []byte{linesMessage, 0}
	wants = appendRange(wants, key{}, key{})
	asked := 0
	listed := map[key]bool{}
	for b = b[1+rangeSize:]; len(b) > 0; b = b[lineSize:] {
		k, stamp, have := parseLine(b)
		listed[k] = true
		if k.origin >= t.cfg.Members || t.spec(k.kind) == nil {
			t.count.Unknown++
			continue
		}
		c := t.cells[k]
		newer := -1
		if c != nil && c.whole {
			newer = c.Compare(stamp)
		}
		switch {
		case newer > 0:
			t.pack(&pack, k, c, 0)
		case newer == 0:
			t.pack(&pack, k, c, have)
		case answer && have == all && asked < mostLines && k.origin != t.cfg.Self:
			wants = appendLine(wants, k, stamp, t.held(k, stamp))
			asked++
		}
	}
	if answer {
		for _, k := range t.keys(first.origin, last.origin+1) {
			if !listed[k] && k.compare(first) >= 0 && k.compare(last) < 0 {
				t.pack(&pack, k, t.cells[k], 0)
			}
		}
	}
	out := pack.done()
	if asked > 0 { // first: what is wanted is worth more than what is told
		out = append([][]byte{wants}, out...)
	}
	return out, nil
}

// held is which fragments of a version that is coming in are here.
func (t *Table) held(k key, stamp Stamp) uint32 {
	if c := t.cells[k]; c != nil {
		for i := range c.partials {
			if c.partials[i].Stamp == stamp {
				return c.partials[i].have
			}
		}
	}
	return 0
}

// newest is the newest version of which anything is here, and which fragments of it.
func (c *cell) newest() (Stamp, uint32) {
	stamp, have := c.Stamp, uint32(all)
	for i := range c.partials {
		if p := &c.partials[i]; p.Compare(stamp) > 0 {
			stamp, have = p.Stamp, p.have
		}
	}
	return stamp, have
}

// pack packs the fragments that are not in have, from a drawn one on: more than a few datagrams are not sent at once.
func (t *Table) pack(p *packer, k key, c *cell, have uint32) {
	n := fragments(len(c.Value))
	from := t.rng.IntN(n)
	for i := range n {
		i = (from + i) % n
		if have>>i&1 == 0 {
			t.count.Repairs++
			p.item(item{k, c.Stamp, i, fragments(len(c.Value)), part(c.Value, i)})
		}
	}
}

// receiveItems takes fragments.
func (t *Table) receiveItems(now int64, from int, b []byte) error {
	for len(b) > 0 {
		i, rest, ok := parseItem(b)
		if !ok {
			return t.refuse(from, "a fragment that is cut off, %d bytes before its end", len(b))
		}
		b = rest
		s := t.spec(i.kind)
		switch {
		case s == nil || i.origin >= t.cfg.Members:
			t.count.Unknown++
		case i.count*fragmentBytes > roundUp(s.MaxLength):
			return t.refuse(from, "%d fragments of %s, whose values have at most %d bytes", i.count, s.Name, s.MaxLength)
		default:
			t.item(now, i)
		}
	}
	return nil
}

// item takes one fragment of a kind that is known.
func (t *Table) item(now int64, i item) {
	c := t.cells[i.key]
	if i.origin == t.cfg.Self {
		t.overtake(now, i, c)
		return
	}
	if c == nil {
		c = &cell{}
		t.cells[i.key] = c
	}
	if c.whole && i.Stamp.Compare(c.Stamp) <= 0 {
		t.count.Stale++
		return
	}
	p := c.partial(i)
	if p == nil || p.have>>i.part&1 == 1 {
		t.count.Stale++
		return
	}
	p.have |= 1 << i.part
	i.bytes = slices.Clone(i.bytes)
	p.parts[i.part] = i.bytes
	// It is passed on at once, not only when the value is whole. Guards against a long value that changes often
	// coming from its origin alone, which has not the datagrams for all.
	t.fresh = append(t.fresh, rumour{item: i})
	if bits.OnesCount32(p.have) < p.count {
		return
	}
	value := bytes.Join(p.parts[:p.count], nil)
	c.Entry, c.whole = Entry{p.Stamp, value, now}, true
	c.partials = slices.DeleteFunc(c.partials, func(o partial) bool { return o.Compare(c.Stamp) <= 0 })
	t.changes = append(t.changes, Change{i.origin, i.kind, c.Entry})
	t.changed(i.key)
}

// partial finds or begins the value that a fragment belongs to; nil where newer ones are coming in already, or where
// it does not fit what came of the same version.
func (c *cell) partial(i item) *partial {
	for n := range c.partials {
		if p := &c.partials[n]; p.Stamp == i.Stamp {
			if p.count != i.count {
				return nil
			}
			return p
		}
	}
	if len(c.partials) >= mostPartials {
		oldest := 0
		for n := range c.partials {
			if c.partials[n].Compare(c.partials[oldest].Stamp) < 0 {
				oldest = n
			}
		}
		if c.partials[oldest].Compare(i.Stamp) > 0 {
			return nil
		}
		c.partials = slices.Delete(c.partials, oldest, oldest+1)
	}
	c.partials = append(c.partials, partial{Stamp: i.Stamp, count: i.count})
	return &c.partials[len(c.partials)-1]
}

// overtake answers a value of this member's own that others hold for newer than what it tells: one of an earlier life
// whose clock was ahead. It goes one over it.
func (t *Table) overtake(now int64, i item, c *cell) {
	own := Stamp{Incarnation: t.incarnation}
	if c != nil {
		own = c.Stamp
	}
	if i.Stamp.Compare(own) <= 0 {
		return
	}
	t.incarnation = i.Incarnation + 1
	for k, c := range t.cells {
		if k.origin == t.cfg.Self {
			c.Stamp, c.At = Stamp{t.incarnation, 1}, now
			t.changed(k)
			t.tell(k, c)
		}
	}
}
