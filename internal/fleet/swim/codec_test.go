package swim

import (
	"bytes"
	"errors"
	"testing"
)

const codecFleetID = 5

// encodeFull returns a message with more updates than fit, and its datagram.
func encodeFull(tb testing.TB) (Message, []byte) {
	tb.Helper()
	full := Message{Kind: Ack, From: 3, Incarnation: 1 << 60, Seq: 77, Target: 255}
	for i := range MaxUpdates + 3 {
		full.Updates = append(full.Updates, Update{
			Member:      i,
			State:       Suspect,
			Incarnation: uint64(i) << 40,
			From:        9,
		})
	}
	b, err := full.Append([]byte("before"), codecFleetID)
	if err != nil || len(b)-len("before") > MaxDatagram {
		tb.Fatalf("%d bytes, %v", len(b)-len("before"), err)
	}
	return full, b[len("before"):]
}

func TestMessage_UpdatesThatDoNotFitAreLeftOut(t *testing.T) {
	full, b := encodeFull(t)

	m, err := Parse(b, codecFleetID)

	if err != nil || len(m.Updates) != MaxUpdates || m.Updates[3] != full.Updates[3] || m.Seq != 77 || m.Target != 255 {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestMessage_BodyIsBounded(t *testing.T) {
	m := Message{Kind: User, Body: bytes.Repeat([]byte("x"), MaxBody)}
	if b, err := m.Append(nil, codecFleetID); err != nil || len(b) != MaxDatagram {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	m.Body = append(m.Body, 'x')
	if _, err := m.Append(nil, codecFleetID); err == nil {
		t.Error("a body that does not fit was accepted")
	}
}

func TestParse_RejectsMalformedDatagrams(t *testing.T) {
	_, b := encodeFull(t)
	flipped := bytes.Clone(b)
	flipped[40] ^= 1
	for name, malformed := range map[string][]byte{
		"short":   b[:20],
		"cut":     b[:len(b)-1],
		"flipped": flipped,
		"empty":   nil,
		"long":    append(bytes.Clone(b), make([]byte, 100)...),
	} {
		if _, err := Parse(malformed, codecFleetID); !errors.Is(err, ErrDatagram) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Parse(b, codecFleetID+1); !errors.Is(err, ErrDatagram) {
		t.Errorf("of another fleet: %v", err)
	}
}
