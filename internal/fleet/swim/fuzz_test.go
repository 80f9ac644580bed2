package swim

import (
	"errors"
	"testing"
)

const (
	// fuzzedMessage is how many bytes of the input make one message.
	fuzzedMessage = headerSize - 4
	// maxFuzzedMessages bounds the work for one input.
	maxFuzzedMessages = 16 * headerSize
	// fuzzStep is the unit of time between two messages, in µs.
	fuzzStep = 50_000
)

// FuzzReceive feeds a node messages of any content, between ticks: it never fails, always holds itself alive, sends
// nothing over 256 bytes, and never goes back in a member's incarnation.
func FuzzReceive(f *testing.F) {
	seed := Message{Kind: Ping, From: 1, Incarnation: 5, Target: 0, Updates: []Update{
		{Member: 0, State: Dead, Incarnation: 9, From: 2},
		{Member: 2, State: Suspect, Incarnation: 1, From: 3},
	}}
	encoded, err := seed.Append(nil, testFleetID)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, uint8(3))
	f.Fuzz(func(t *testing.T, input []byte, step uint8) {
		node, err := New(DefaultConfig(0, 4), 10, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(0)
		for i := 0; i+fuzzedMessage <= len(input) && i < maxFuzzedMessages; i += fuzzedMessage {
			before := node.View()
			now += int64(step) * fuzzStep
			node.Tick(now)
			node.Receive(now, fuzzed(input[i:i+fuzzedMessage]))
			checkSent(t, node)
			checkView(t, before, node.View())
			node.Next()
		}
		if _, err := Parse(input, testFleetID); err != nil && !errors.Is(err, ErrDatagram) {
			t.Fatal(err)
		}
	})
}

// fuzzed makes a message of bytes. It bypasses the checksum, which would let hardly any through.
func fuzzed(b []byte) Message {
	return Message{
		Kind:        Kind(b[0] % byte(kindCount)),
		From:        int(b[1] % 6),
		Target:      int(b[2] % 6),
		Seq:         uint32(b[3]),
		Incarnation: uint64(b[4]),
		Updates: []Update{{
			Member:      int(b[5] % 6),
			State:       State(b[6] % 7),
			Incarnation: uint64(b[7]),
			From:        int(b[8]),
		}},
	}
}

func checkSent(tb testing.TB, node *Node) {
	tb.Helper()
	out, _ := node.Take()
	for _, envelope := range out {
		encoded, err := envelope.Append(nil, testFleetID)
		if err != nil || len(encoded) > MaxDatagram || envelope.To == 0 {
			tb.Fatalf("to %d, %d bytes, %v", envelope.To, len(encoded), err)
		}
	}
}

func checkView(tb testing.TB, before, after []Member) {
	tb.Helper()
	for i, m := range after {
		if m.Incarnation < before[i].Incarnation {
			tb.Fatalf("member %d went from incarnation %d to %d", i, before[i].Incarnation, m.Incarnation)
		}
	}
	if after[0].State != Alive {
		tb.Fatalf("holds itself %v", after[0].State)
	}
}
