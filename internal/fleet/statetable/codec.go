package statetable

import (
	"encoding/binary"

	"eidertrail/internal/fleet/swim"
)

// Bodies, numbers big-endian. Each begins with its kind, none of which another protocol between the members uses
// (cluster/budget has 1 to 3):
//
//	fragments: items of origin (2 bytes), kind (1), incarnation (8), version (4), part, count (1 each), length (1), bytes
//	blocks:    a CRC-32 (4) for each block of members, over the stamps held of it
//	lines:     whether an answer is wanted (1), the range of keys from and to (3 each: origin, kind), lines of
//	           origin (2), kind (1), incarnation (8), version (4), a bit for each fragment held (4)
const (
	fragmentsMessage = 0x20
	blocksMessage    = 0x21
	linesMessage     = 0x22

	mostBody      = swim.MaxBody
	itemHead      = 18
	fragmentBytes = 160
	rangeSize     = 6
	lineSize      = 19
	mostLines     = (mostBody - 2 - rangeSize) / lineSize
	wantAnswer    = 1
	all           = 1<<32 - 1
)

// IsMessage tells whether a body is one of the table's.
func IsMessage(body []byte) bool {
	return len(body) > 0 && body[0] >= fragmentsMessage && body[0] <= linesMessage
}

// fragments is how many a value has; an empty one has one too.
func fragments(n int) int { return max(1, (n+fragmentBytes-1)/fragmentBytes) }

func roundUp(n int) int { return fragments(n) * fragmentBytes }

// part is the i-th fragment of a value.
func part(value []byte, i int) []byte {
	return value[i*fragmentBytes : min(len(value), (i+1)*fragmentBytes)]
}

// item is a fragment on its way.
type item struct {
	key
	Stamp
	part, count int
	bytes       []byte
}

func appendItem(b []byte, i item) []byte {
	b = appendStamped(b, i.key, i.Stamp)
	b = append(b, byte(i.part), byte(i.count), byte(len(i.bytes)))
	return append(b, i.bytes...)
}

func appendStamped(b []byte, k key, s Stamp) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(k.origin))
	b = append(b, byte(k.kind))
	b = binary.BigEndian.AppendUint64(b, s.Incarnation)
	return binary.BigEndian.AppendUint32(b, s.Version)
}

func parseStamped(b []byte) (key, Stamp) {
	return key{int(binary.BigEndian.Uint16(b)), Kind(b[2])}, Stamp{binary.BigEndian.Uint64(b[3:]), binary.BigEndian.Uint32(b[11:])}
}

// parseItem reads the first item. One that no member makes is not ok: no part past its count, whole parts but the last.
func parseItem(b []byte) (i item, rest []byte, ok bool) {
	if len(b) < itemHead {
		return i, nil, false
	}
	i.key, i.Stamp = parseStamped(b)
	i.part, i.count = int(b[15]), int(b[16])
	n := int(b[17])
	if len(b) < itemHead+n || i.count < 1 || i.count > mostFragments || i.part >= i.count || n > fragmentBytes ||
		i.part < i.count-1 && n != fragmentBytes || i.count > 1 && n == 0 {
		return i, nil, false
	}
	i.bytes = b[itemHead : itemHead+n]
	return i, b[itemHead+n:], true
}

func appendRange(b []byte, first, last key) []byte {
	for _, k := range []key{first, last} {
		b = binary.BigEndian.AppendUint16(b, uint16(k.origin))
		b = append(b, byte(k.kind))
	}
	return b
}

func parseRange(b []byte) (first, last key) {
	return key{int(binary.BigEndian.Uint16(b)), Kind(b[2])}, key{int(binary.BigEndian.Uint16(b[3:])), Kind(b[5])}
}

func appendLine(b []byte, k key, s Stamp, have uint32) []byte {
	return binary.BigEndian.AppendUint32(appendStamped(b, k, s), have)
}

func parseLine(b []byte) (key, Stamp, uint32) {
	k, s := parseStamped(b)
	return k, s, binary.BigEndian.Uint32(b[15:])
}

// packer packs items into as few bodies as they fill one after another.
type packer struct {
	bodies [][]byte
	b      []byte
}

func (p *packer) item(i item) {
	if len(p.b)+itemHead+len(i.bytes) > mostBody {
		p.bodies = p.done()
		p.b = nil
	}
	if len(p.b) == 0 {
		p.b = []byte{fragmentsMessage}
	}
	p.b = appendItem(p.b, i)
}

// done are all bodies.
func (p *packer) done() [][]byte {
	if len(p.b) > 0 {
		return append(p.bodies, p.b)
	}
	return p.bodies
}
