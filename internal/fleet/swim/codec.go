package swim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A datagram: magic, version, kind, updates (1 byte each), from, target (2 bytes), seq (4), incarnation (8),
// fleet (4), the updates (member 2, state 1, from 2, incarnation 8), the body, CRC-32 of all before it (4).
// Numbers are big-endian.
const (
	// MaxDatagram is the most bytes of a datagram: the platform's limit.
	MaxDatagram = 256
	// MaxUpdates is the most updates of a message without a body.
	MaxUpdates = (MaxDatagram - headSize - sumSize) / updateSize
	// MaxBody is the most bytes of a body, in a message without updates.
	MaxBody = MaxDatagram - headSize - sumSize

	magic, version = 0xE7, 1
	headSize       = 24
	updateSize     = 13
	sumSize        = 4
)

// ErrDatagram tells of a datagram that is none of this fleet's.
var ErrDatagram = errors.New("cluster: bad datagram")

// Append encodes m for the fleet at the end of b. Updates that do not fit beside the body are left out, the
// last first.
func (m Message) Append(b []byte, fleet uint32) ([]byte, error) {
	if len(m.Body) > MaxBody {
		return b, fmt.Errorf("cluster: body of %d bytes, at most %d fit", len(m.Body), MaxBody)
	}
	us := m.Updates[:min(len(m.Updates), (MaxBody-len(m.Body))/updateSize)]
	start := len(b)
	b = append(b, magic, version, byte(m.Kind), byte(len(us)))
	b = binary.BigEndian.AppendUint16(b, uint16(m.From))
	b = binary.BigEndian.AppendUint16(b, uint16(m.Target))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint32(b, fleet)
	for _, u := range us {
		b = binary.BigEndian.AppendUint16(b, uint16(u.Member))
		b = append(b, byte(u.State))
		b = binary.BigEndian.AppendUint16(b, uint16(u.From))
		b = binary.BigEndian.AppendUint64(b, u.Incarnation)
	}
	b = append(b, m.Body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[start:])), nil
}

// Parse decodes a datagram of the fleet. The body is part of b.
func Parse(b []byte, fleet uint32) (Message, error) {
	var m Message
	switch {
	case len(b) < headSize+sumSize || len(b) > MaxDatagram:
		return m, fmt.Errorf("%w: %d bytes", ErrDatagram, len(b))
	case b[0] != magic || b[1] != version:
		return m, fmt.Errorf("%w: magic %#x version %d", ErrDatagram, b[0], b[1])
	case crc32.ChecksumIEEE(b[:len(b)-sumSize]) != binary.BigEndian.Uint32(b[len(b)-sumSize:]):
		return m, fmt.Errorf("%w: checksum", ErrDatagram)
	case binary.BigEndian.Uint32(b[20:]) != fleet:
		return m, fmt.Errorf("%w: of another fleet", ErrDatagram)
	case Kind(b[2]) >= kinds:
		return m, fmt.Errorf("%w: kind %d", ErrDatagram, b[2])
	}
	m = Message{
		Kind: Kind(b[2]), From: int(binary.BigEndian.Uint16(b[4:])), Target: int(binary.BigEndian.Uint16(b[6:])),
		Seq: binary.BigEndian.Uint32(b[8:]), Incarnation: binary.BigEndian.Uint64(b[12:]),
	}
	n, rest := int(b[3]), b[headSize:len(b)-sumSize]
	if n*updateSize > len(rest) {
		return Message{}, fmt.Errorf("%w: %d updates in %d bytes", ErrDatagram, n, len(rest))
	}
	for range n {
		m.Updates = append(m.Updates, Update{
			Member: int(binary.BigEndian.Uint16(rest)), State: State(rest[2]),
			From: int(binary.BigEndian.Uint16(rest[3:])), Incarnation: binary.BigEndian.Uint64(rest[5:]),
		})
		rest = rest[updateSize:]
	}
	m.Body = rest
	return m, nil
}

// FleetID is the number by which a fleet's datagrams are told from another's.
func FleetID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }
