package swim_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"

	"eidertrail/internal/fleet/swim"
)

// namedMessage is a message that has a line in the recorded file.
type namedMessage struct {
	name    string
	message swim.Message
}

func messages() []namedMessage {
	updates := []swim.Update{
		{Member: 0, State: swim.Unknown, Incarnation: 0, From: 1},
		{Member: 1, State: swim.Alive, Incarnation: 1_700_000_000_000_001, From: 1},
		{Member: 2, State: swim.Suspect, Incarnation: 0x0102030405060708, From: 3},
		{Member: 511, State: swim.Dead, Incarnation: math.MaxUint64, From: 510},
		{Member: 256, State: swim.Left, Incarnation: 1 << 63, From: 256},
	}
	outOfRange := []swim.Update{{Member: 65535, State: 255, Incarnation: 1, From: 65535}}
	many := make([]swim.Update, 0, swim.MaxUpdates+2)
	for i := range swim.MaxUpdates + 2 {
		many = append(many, swim.Update{Member: i, State: swim.Alive, Incarnation: uint64(i) << 33, From: i + 1})
	}
	head := func(kind swim.Kind) swim.Message {
		return swim.Message{Kind: kind, From: 0x0102, Incarnation: 0x1112131415161718, Seq: 0x21222324, Target: 0x0131}
	}
	with := func(m swim.Message, updates []swim.Update, body string) swim.Message {
		m.Updates, m.Body = updates, []byte(body)
		return m
	}
	return []namedMessage{
		{"ping", head(swim.Ping)},
		{"ack", head(swim.Ack)},
		{"ping-req", head(swim.PingReq)},
		{"nack", head(swim.Nack)},
		{"gossip", head(swim.Gossip)},
		{"user", with(head(swim.User), nil, "\x01body")},
		{"user-empty-body", head(swim.User)},
		{"zero", swim.Message{}},
		{"ping-each-state", with(head(swim.Ping), updates, "")},
		{"gossip-most-updates-of-more", with(head(swim.Gossip), many, "")},
		{"user-most-body", with(head(swim.User), nil, strings.Repeat("b", swim.MaxBody))},
		{"user-updates-beside-body", with(head(swim.User), updates, strings.Repeat("b", swim.MaxBody-2*13-5))},
		{"state-of-no-program", with(head(swim.Gossip), outOfRange, "")},
	}
}

// malformedDatagrams are made of a good one; those that only the checksum would reject are given a right one.
func malformedDatagrams(t *testing.T) []namedBytes {
	t.Helper()
	good, err := messages()[8].message.Append(nil, fleetNumber)
	if err != nil {
		t.Fatal(err)
	}
	changed := func(at int, to byte) []byte {
		b := bytes.Clone(good)
		b[at] = to
		return sealed(b)
	}
	flipped := bytes.Clone(good)
	flipped[30] ^= 1
	other, err := messages()[0].message.Append(nil, fleetNumber+1)
	if err != nil {
		t.Fatal(err)
	}
	long, short := append(bytes.Clone(good), make([]byte, swim.MaxDatagram+1-len(good))...), good[:27]
	return []namedBytes{
		{"bad-empty", nil},
		{"bad-one-byte", good[:1]},
		{"bad-short", short},
		{"bad-cut", good[:len(good)-1]},
		{"bad-long", sealed(long)},
		{"bad-flipped", flipped},
		{"bad-magic", changed(0, 0xE8)},
		{"bad-version", changed(1, 2)},
		{"bad-kind-6", changed(2, 6)},
		{"bad-kind-255", changed(2, 255)},
		{"bad-updates-past-the-end", changed(3, 6)},
		{"odd-fewer-updates-than-bytes", changed(3, 4)},
		{"bad-other-fleet", other},
	}
}

// namedBytes is a datagram that has a line in the recorded file.
type namedBytes struct {
	name  string
	bytes []byte
}

// sealed gives a datagram the checksum of what it holds.
func sealed(b []byte) []byte {
	body := b[:len(b)-4]
	return binary.BigEndian.AppendUint32(bytes.Clone(body), checksum(body))
}

// checksum is the CRC-32 of IEEE 802.3, bit by bit.
func checksum(b []byte) uint32 {
	sum := ^uint32(0)
	for _, c := range b {
		sum ^= uint32(c)
		for range 8 {
			sum = sum>>1 ^ 0xEDB88320*(sum&1)
		}
	}
	return ^sum
}

func TestCharacterization_DatagramsWritten(t *testing.T) {
	var text strings.Builder
	for _, m := range messages() {
		b, err := m.message.Append([]byte("before"), fleetNumber)
		if err != nil || !bytes.HasPrefix(b, []byte("before")) {
			t.Fatalf("%s: %x, %v", m.name, b, err)
		}
		fmt.Fprintf(&text, "%s %x\n", m.name, b[len("before"):])
	}
	for _, b := range malformedDatagrams(t) {
		fmt.Fprintf(&text, "%s %x\n", b.name, b.bytes)
	}
	recorded.Compare(t, "datagrams.txt", text.String())

	tooLong := swim.Message{Kind: swim.User, Body: make([]byte, swim.MaxBody+1)}
	b, err := tooLong.Append([]byte("before"), fleetNumber)
	recorded.Compare(t, "body-too-long.txt", fmt.Sprintf("%s %s\n", b, errorText(err)))
	recorded.Compare(t, "fleet-numbers.txt", fmt.Sprintf("empty %d\nname %d\nbytes %d\n",
		swim.FleetID(""), swim.FleetID("eidertrail"), swim.FleetID("\x00\xff")))
}

// The recorded datagrams, as read today.
func TestCharacterization_DatagramsRead(t *testing.T) {
	var text strings.Builder
	for _, recorded := range recordedBytes(t, "datagrams.txt") {
		message, err := swim.Parse(recorded.bytes, fleetNumber)
		if err != nil {
			if !errors.Is(err, swim.ErrDatagram) {
				t.Errorf("%s: %v is not the error of a datagram", recorded.name, err)
			}
			fmt.Fprintf(&text, "%s error: %v\n", recorded.name, err)
			continue
		}
		fmt.Fprintf(&text, "%s kind %s from %d incarnation %d seq %d target %d", recorded.name,
			kindName(message.Kind), message.From, message.Incarnation, message.Seq, message.Target)
		for _, u := range message.Updates {
			fmt.Fprintf(&text, " update %d %s %d by %d", u.Member, stateName(u.State), u.Incarnation, u.From)
		}
		fmt.Fprintf(&text, " body %x\n", message.Body)
		reencoded, err := message.Append(nil, fleetNumber)
		if err != nil || recorded.name != "odd-fewer-updates-than-bytes" && !bytes.Equal(reencoded, recorded.bytes) {
			t.Errorf("%s: written again as %x, %v", recorded.name, reencoded, err)
		}
	}
	recorded.Compare(t, "readings.txt", text.String())
}

// recordedBytes reads the lines of a file: a name and bytes in hex.
func recordedBytes(t *testing.T, name string) []namedBytes {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(recordedDirectory, name))
	if err != nil {
		t.Fatal(err)
	}
	var all []namedBytes
	for line := range strings.Lines(string(text)) {
		label, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		b, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", name, label, err)
		}
		all = append(all, namedBytes{label, b})
	}
	return all
}

// kindName is this test's own name of a kind.
func kindName(kind swim.Kind) string {
	switch kind {
	case swim.Ping:
		return "ping"
	case swim.Ack:
		return "ack"
	case swim.PingReq:
		return "ping-req"
	case swim.Nack:
		return "nack"
	case swim.Gossip:
		return "gossip"
	case swim.User:
		return "user"
	}
	return fmt.Sprintf("kind-%d", uint8(kind))
}
