// These are characterisation tests: they record what the engine decides and what the call table sends callers today, so
// that a change of names or structure can be shown to change none of it. The recorded digests and transcripts are in
// testdata/characterization. After a purposeful change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./dispatch -run TestCharacterization
//
// and the commit has to say why they changed.
package dispatch_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strings"
	"time"

	"eidertrail"
)

// digest hashes results in an encoding of its own: numbers, reals and words, each with its length or of fixed length.
type digest struct {
	hash    hash.Hash
	encoded []byte
}

func newDigest() *digest { return &digest{hash: sha256.New()} }

func (d *digest) number(n int64) { d.encoded = binary.AppendVarint(d.encoded, n) }

func (d *digest) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}

func (d *digest) text(s string) {
	d.number(int64(len(s)))
	d.encoded = append(d.encoded, s...)
}

// sum is the digest of all results so far.
func (d *digest) sum() string {
	d.hash.Write(d.encoded)
	d.encoded = d.encoded[:0]
	return hex.EncodeToString(d.hash.Sum(nil))
}

// digestInTenths plays a case of so many steps and returns a line for each tenth of it: the case's name and the tenth,
// the steps played until then and the digest of all results until then.
func digestInTenths(name string, steps int, play func(d *digest)) string {
	d, lines := newDigest(), &strings.Builder{}
	for i := 1; i <= steps; i++ {
		play(d)
		if i%(steps/10) == 0 {
			fmt.Fprintf(lines, "%s/%02d %d %s\n", name, i/(steps/10), i, d.sum())
		}
	}
	return lines.String()
}

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

func baseSettings() eidertrail.Settings {
	return eidertrail.Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, MaxAttempts: 6,
		SlowStartWindow: 10 * time.Second, SlowStartCapacity: 0.3,
		OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		Classes: []eidertrail.Class{
			{
				Name: "voice", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1,
				LateFactor: 0.5, MeanHoldingTime: 2 * time.Second,
			},
			{
				Name: "text", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3,
				Pools: []int{1, 2}, MeanHoldingTime: time.Second,
			},
			{
				Name: "order", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 2,
				Idempotency: eidertrail.NotIdempotent, MeanHoldingTime: 2 * time.Second,
			},
			{
				Name: "change", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 2,
				Idempotency: eidertrail.IdempotentByKey, MeanHoldingTime: 2 * time.Second,
			},
		},
	}
}
