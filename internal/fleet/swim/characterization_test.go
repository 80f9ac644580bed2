// Characterisation tests of the membership protocol: they record what the program does today, as digests of complete
// seeded runs and as the bytes of every kind of datagram, so that a change of names or shape can be shown to change
// nothing. On a purposeful change of behaviour the files are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/fleet/swim -run TestCharacterization
//
// and the commit has to say why.
package swim_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"

	"eidertrail/internal/fleet/swim"
)

// ---- recorded files ----

const recordedDirectory = "testdata/characterization"

// recording is a running SHA-256 over numbers, words and bytes in an encoding of this test's own.
type recording struct {
	name    string
	sum     hash.Hash
	events  int
	scratch []byte
	lines   strings.Builder
}

func newRecording(name string) *recording { return &recording{name: name, sum: sha256.New()} }

func (r *recording) number(n int64) {
	r.scratch = binary.AppendVarint(r.scratch[:0], n)
	r.sum.Write(r.scratch)
}

func (r *recording) unsigned(n uint64) {
	r.scratch = binary.AppendUvarint(r.scratch[:0], n)
	r.sum.Write(r.scratch)
}

func (r *recording) data(b []byte) {
	r.number(int64(len(b)))
	r.sum.Write(b)
}

func (r *recording) text(s string) { r.data([]byte(s)) }

// event counts an input, and notes the digest after each tenth of the run.
func (r *recording) event(total int) {
	r.events++
	if r.events%(total/10) == 0 {
		fmt.Fprintf(&r.lines, "%s/%d-of-10 %d %x\n", r.name, r.events/(total/10), r.events, r.sum.Sum(nil))
	}
}

// stateName is this test's own name of a state.
func stateName(state swim.State) string {
	switch state {
	case swim.Unknown:
		return "unknown"
	case swim.Alive:
		return "alive"
	case swim.Suspect:
		return "suspect"
	case swim.Dead:
		return "dead"
	case swim.Left:
		return "left"
	}
	return fmt.Sprintf("state-%d", uint8(state))
}

func TestCharacterization_MembershipDigests(t *testing.T) {
	var lines strings.Builder
	for _, test := range []struct {
		name            string
		members, events int
		seed            uint64
		odd             bool
	}{
		{"two-members", 2, 10_000, 1, false},
		{"three-members", 3, 15_000, 2, false},
		{"nine-members", 9, 25_000, 3, false},
		{"forty-members", 40, 20_000, 4, false},
		{"nine-members-odd-messages", 9, 25_000, 5, true},
	} {
		record := newRecording(test.name)
		played := newNetwork(t, record, test.members, test.seed, test.odd)
		played.run(test.events)
		lines.WriteString(record.lines.String())
		total := played.totals()
		t.Logf("%s: %d s; of the processes that run at the end: "+
			"%d deaths, %d indirect probes, %d refutations, %d stalls",
			test.name, played.now/second, total.Deaths, total.Indirect, total.Refutations, total.Stalls)
	}
	recorded.Compare(t, "digests.txt", lines.String())
}

// How late a member's Tick has to come, of an interval of 1 s, for the member to conclude that its process stalled.
func TestCharacterization_ProcessStallBound(t *testing.T) {
	var text strings.Builder
	for _, late := range []int64{0, 499_999, 500_000, 500_001, second} {
		node, err := swim.New(swim.DefaultConfig(0, 3), 1000, 1, second)
		if err != nil {
			t.Fatal(err)
		}
		node.Tick(second)
		node.Tick(node.Next() + late)
		fmt.Fprintf(&text, "late %d standstills %d health %d\n", late, node.Counts().Stalls, node.Health())
	}
	recorded.Compare(t, "standstill.txt", text.String())
}

// ---- settings ----

// The detection times, and the settings themselves, for every size of a fleet.
func TestCharacterization_DefaultSettings(t *testing.T) {
	var text strings.Builder
	for _, members := range []int{1, 2, 3, 5, 9, 10, 40, 100, 512} {
		c := swim.DefaultConfig(0, members)
		fmt.Fprintf(&text, "members %d interval %d timeout %d indirect %d ",
			members, c.ProbeInterval, c.ProbeTimeout, c.IndirectProbes)
		fmt.Fprintf(&text, "suspicion-mult %d suspicion-max %d retransmit %d detect-within %d\n",
			c.SuspicionMultiplier, c.MaxSuspicionMultiplier, c.RetransmitMultiplier, c.DetectionTime())
	}
	for _, members := range []int{0, 512, 513} {
		fmt.Fprintf(&text, "members %d check: %s\n", members, errorText(swim.DefaultConfig(0, members).Check()))
	}
	fmt.Fprintf(&text, "most members %d datagram %d updates %d body %d\n", swim.MaxMembers, swim.MaxDatagram,
		swim.MaxUpdates, swim.MaxBody)
	recorded.Compare(t, "settings.txt", text.String())
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
