package statetable

import (
	"encoding/binary"

	"eidertrail/internal/fleet/swim"
)

// messageType is the first byte of a body. Other protocols between the members use other numbers: the quotas of the
// fleet have 1 to 3.
//
// Numbers are big-endian. A stamped key is origin (2 bytes), kind (1), incarnation (8) and version (4).
//
//	fragments: fragments of stamped key, index (1), count (1), length (1) and data
//	digest:    a CRC-32 (4) for each block of members, over the stamped keys held of it
//	summary:   whether a reply is wanted (1), the range of keys from and to before (3 each: origin, kind), and lines of
//	           stamped key and a bit for each fragment received (4)
type messageType byte

const (
	fragmentsMessage messageType = 0x20
	digestMessage    messageType = 0x21
	summaryMessage   messageType = 0x22
)

// maxBody is the longest body, in bytes.
const maxBody = swim.MaxBody

// The lengths of fields, in bytes.
const (
	uint16Size     = 2
	uint32Size     = 4
	uint64Size     = 8
	typeSize       = 1
	keySize        = uint16Size + 1
	stampedKeySize = keySize + uint64Size + uint32Size
)

// IsMessage reports whether a body is a message of the state table.
func IsMessage(body []byte) bool {
	if len(body) == 0 {
		return false
	}
	first := messageType(body[0])
	return first >= fragmentsMessage && first <= summaryMessage
}

func appendKey(b []byte, key entryKey) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(key.origin))
	return append(b, byte(key.kind))
}

func appendStamped(b []byte, key entryKey, stamp Stamp) []byte {
	b = appendKey(b, key)
	b = binary.BigEndian.AppendUint64(b, stamp.Incarnation)
	return binary.BigEndian.AppendUint32(b, stamp.Version)
}

// fieldReader reads fields from the front of its bytes. The caller checks beforehand that they are long enough.
type fieldReader []byte

// take returns the next bytes.
func (r *fieldReader) take(length int) []byte {
	field := (*r)[:length]
	*r = (*r)[length:]
	return field
}

func (r *fieldReader) uint8() uint8   { return r.take(1)[0] }
func (r *fieldReader) uint16() uint16 { return binary.BigEndian.Uint16(r.take(uint16Size)) }
func (r *fieldReader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(uint32Size)) }
func (r *fieldReader) uint64() uint64 { return binary.BigEndian.Uint64(r.take(uint64Size)) }

func (r *fieldReader) key() entryKey {
	origin := int(r.uint16())
	return entryKey{origin: origin, kind: Kind(r.uint8())}
}

func (r *fieldReader) stamped() (entryKey, Stamp) {
	key := r.key()
	incarnation := r.uint64()
	return key, Stamp{Incarnation: incarnation, Version: r.uint32()}
}
