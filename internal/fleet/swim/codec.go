package swim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Sizes of a datagram, in bytes.
const (
	// MaxDatagram bounds a datagram: the platform's limit.
	MaxDatagram = 256
	// MaxUpdates bounds the updates of a message without a body.
	MaxUpdates = MaxBody / updateSize
	// MaxBody bounds a body, in a message without updates.
	MaxBody = MaxDatagram - headerSize - checksumSize

	headerSize   = 24
	updateSize   = 13
	checksumSize = 4
)

// A datagram is a header, updates, a body, and the CRC-32 (IEEE 802.3) of all before it. Numbers are big-endian. The
// header begins with the magic number and the version; these are the offsets of its fields.
const (
	magic   = 0xE7
	version = 1

	offsetMagic       = 0  // 1 byte
	offsetVersion     = 1  // 1 byte
	offsetKind        = 2  // 1 byte
	offsetUpdates     = 3  // 1 byte, their number
	offsetFrom        = 4  // 2 bytes
	offsetTarget      = 6  // 2 bytes
	offsetSeq         = 8  // 4 bytes
	offsetIncarnation = 12 // 8 bytes
	offsetFleet       = 20 // 4 bytes
)

// The offsets of an update's fields.
const (
	offsetUpdateMember      = 0 // 2 bytes
	offsetUpdateState       = 2 // 1 byte
	offsetUpdateFrom        = 3 // 2 bytes
	offsetUpdateIncarnation = 5 // 8 bytes
)

// ErrDatagram is the error of a datagram that is malformed or another fleet's.
var ErrDatagram = errors.New("cluster: bad datagram")

// FleetID returns the number that distinguishes a fleet's datagrams from another's.
func FleetID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// Append encodes the message for a fleet at the end of b. Updates that do not fit beside the body are left out, the
// last first.
func (m Message) Append(b []byte, fleet uint32) ([]byte, error) {
	if len(m.Body) > MaxBody {
		return b, fmt.Errorf("cluster: body of %d bytes, at most %d fit", len(m.Body), MaxBody)
	}
	updates := m.Updates[:min(len(m.Updates), (MaxBody-len(m.Body))/updateSize)]
	start := len(b)
	b = append(b, magic, version, byte(m.Kind), byte(len(updates)))
	b = binary.BigEndian.AppendUint16(b, uint16(m.From))
	b = binary.BigEndian.AppendUint16(b, uint16(m.Target))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint32(b, fleet)
	for _, u := range updates {
		b = u.append(b)
	}
	b = append(b, m.Body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[start:])), nil
}

func (u Update) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(u.Member))
	b = append(b, byte(u.State))
	b = binary.BigEndian.AppendUint16(b, uint16(u.From))
	return binary.BigEndian.AppendUint64(b, u.Incarnation)
}

// Parse decodes a datagram of a fleet. The message's body aliases b. Its errors wrap ErrDatagram.
func Parse(b []byte, fleet uint32) (Message, error) {
	if err := checkDatagram(b, fleet); err != nil {
		return Message{}, err
	}
	message := Message{
		Kind:        Kind(b[offsetKind]),
		From:        int(binary.BigEndian.Uint16(b[offsetFrom:])),
		Target:      int(binary.BigEndian.Uint16(b[offsetTarget:])),
		Seq:         binary.BigEndian.Uint32(b[offsetSeq:]),
		Incarnation: binary.BigEndian.Uint64(b[offsetIncarnation:]),
	}
	updates, rest := int(b[offsetUpdates]), b[headerSize:len(b)-checksumSize]
	if updates*updateSize > len(rest) {
		return Message{}, fmt.Errorf("%w: %d updates in %d bytes", ErrDatagram, updates, len(rest))
	}
	for range updates {
		message.Updates = append(message.Updates, parseUpdate(rest))
		rest = rest[updateSize:]
	}
	message.Body = rest
	return message, nil
}

// checkDatagram checks all that can be checked before the fields are read.
func checkDatagram(b []byte, fleet uint32) error {
	switch {
	case len(b) < headerSize+checksumSize || len(b) > MaxDatagram:
		return fmt.Errorf("%w: %d bytes", ErrDatagram, len(b))
	case b[offsetMagic] != magic || b[offsetVersion] != version:
		return fmt.Errorf("%w: magic %#x version %d", ErrDatagram, b[offsetMagic], b[offsetVersion])
	case !checksumMatches(b):
		return fmt.Errorf("%w: checksum", ErrDatagram)
	case binary.BigEndian.Uint32(b[offsetFleet:]) != fleet:
		return fmt.Errorf("%w: of another fleet", ErrDatagram)
	case Kind(b[offsetKind]) >= kindCount:
		return fmt.Errorf("%w: kind %d", ErrDatagram, b[offsetKind])
	}
	return nil
}

func checksumMatches(b []byte) bool {
	summed, checksum := b[:len(b)-checksumSize], b[len(b)-checksumSize:]
	return crc32.ChecksumIEEE(summed) == binary.BigEndian.Uint32(checksum)
}

func parseUpdate(b []byte) Update {
	return Update{
		Member:      int(binary.BigEndian.Uint16(b[offsetUpdateMember:])),
		State:       State(b[offsetUpdateState]),
		From:        int(binary.BigEndian.Uint16(b[offsetUpdateFrom:])),
		Incarnation: binary.BigEndian.Uint64(b[offsetUpdateIncarnation:]),
	}
}
