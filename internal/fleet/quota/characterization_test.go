// Characterisation tests of the quotas: they record what the program does today, as digests of whole seeded
// runs and as the bytes of every kind of message, so that a change of names or shape can be shown to change nothing.
// On a purposeful change of behaviour the files are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/fleet/quota -run TestCharacterization
//
// and the commit has to say why.
package quota_test

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"eidertrail/internal/fleet/quota"
	"eidertrail/internal/testing/recorded"
)

// messagesFile is the recorded file with the encoded messages.
const messagesFile = "messages.txt"

func TestCharacterization_AllocatorDigests(t *testing.T) {
	var lines strings.Builder
	for _, test := range []struct {
		name                   string
		members, names, events int
		unit, keep             int
		seed                   uint64
		corrupting             bool
	}{
		{"two-members", 2, 1, 15_000, 4, 1, 1, false},
		{"five-members", 5, 4, 25_000, 1000, 250, 2, false},
		{"five-members-spoilt-messages", 5, 4, 15_000, 1000, 250, 3, true},
		{"nine-members-more-wholes-than-kept", 9, 80, 15_000, 100, 0, 4, true},
	} {
		record := recorded.NewSeries(test.name+"/%d-of-10", test.events)
		config := quota.Config{
			Members:    test.members,
			OwnedUnits: test.unit,
			Reserved:   test.keep,
			TTL:        leaseLength,
			Margin:     leaseMargin,
		}
		w := newNetwork(t, record, config, test.names, test.seed, test.corrupting)
		w.run(test.events)
		if total := test.members * test.unit; !test.corrupting && w.maxInUse > total {
			t.Errorf("%s: %d of %d units in force", test.name, w.maxInUse, total)
		}
		lines.WriteString(record.Lines())
		t.Logf("%s: %d s, at most %d of %d units in force", test.name, w.now/1_000_000, w.maxInUse, test.members*test.unit)
	}
	recorded.Compare(t, "digests.txt", lines.String())
}

func TestCharacterization_TokenBucketDigests(t *testing.T) {
	const events = 20_000
	record := recorded.NewSeries("meter/%d-of-10", events)
	rng := rand.New(rand.NewPCG(4, 4))
	var bucket quota.TokenBucket
	now := startOfTime
	for range events {
		now += []int64{0, 1, 1000, 20_000, 5_000_000, -700}[rng.IntN(6)]
		rate := []float64{0, 0.1, 7, 33.3, 1000}[rng.IntN(5)]
		burst := []float64{0, 1, 2.5, 64}[rng.IntN(4)]
		if bucket.Ready(now, rate, burst) {
			record.Text("ready")
			if rng.IntN(2) == 0 {
				record.Text("take")
				bucket.Take()
			}
		}
		record.Number(bucket.NextReady(rate))
		record.Step()
	}
	recorded.Compare(t, "meter.txt", record.Lines())
}

const poolName = "pool-a"

func newAllocator(tb testing.TB, self int, incarnation uint32) *quota.Allocator {
	tb.Helper()
	config := quota.Config{
		Self:        self,
		Members:     3,
		Incarnation: incarnation,
		OwnedUnits:  1000,
		Reserved:    250,
		TTL:         leaseLength,
		Margin:      leaseMargin,
	}
	allocator, err := quota.New(config, 0)
	if err != nil {
		tb.Fatal(err)
	}
	allocator.SetAlive([]bool{true, true, true})
	return allocator
}

// only is the one body of an output.
func only(tb testing.TB, out []quota.Out, err error) []byte {
	tb.Helper()
	if err != nil || len(out) != 1 {
		tb.Fatalf("%d messages, %v", len(out), err)
	}
	return out[0].Body
}

// writtenMessages has allocators write a message of each type: two requests, their grants, and a return.
func writtenMessages(tb testing.TB) []recorded.Body {
	tb.Helper()
	borrower, lender := newAllocator(tb, 0, 0xABCD), newAllocator(tb, 1, 1)
	now := 2 * leaseLength
	borrower.Demand(now, poolName, 3000)
	requests := borrower.Tick(now)
	if len(requests) != 2 {
		tb.Fatalf("%d requests", len(requests))
	}
	replies, err := lender.Receive(now, 0, requests[0].Body)
	grant := only(tb, replies, err)
	starting := newAllocator(tb, 2, 1)
	replies, err = starting.Receive(1, 0, requests[1].Body)
	emptyGrant := only(tb, replies, err)
	if _, err := borrower.Receive(now, 1, grant); err != nil {
		tb.Fatal(err)
	}
	borrower.Demand(now, poolName, 0)
	returned := only(tb, borrower.Tick(now), nil)
	long := newAllocator(tb, 0, math.MaxUint32)
	long.SetAlive([]bool{true, true, false})
	long.Demand(now, strings.Repeat("n", quota.MaxNameLength), math.MaxInt)
	return []recorded.Body{
		{Name: "ask", Bytes: requests[0].Body},
		{Name: "ask-of-another-member", Bytes: requests[1].Body},
		{Name: "grant", Bytes: grant},
		{Name: "grant-of-nothing", Bytes: emptyGrant},
		{Name: "return", Bytes: returned},
		{Name: "ask-longest-name", Bytes: only(tb, long.Tick(now), nil)},
	}
}

// malformedMessages are made of a valid request.
func malformedMessages(request []byte) []recorded.Body {
	changed := func(at int, to ...byte) []byte {
		b := bytes.Clone(request)
		copy(b[at:], to)
		return b
	}
	return []recorded.Body{
		{Name: "bad-empty", Bytes: nil},
		{Name: "bad-one-byte", Bytes: request[:1]},
		{Name: "bad-cut-in-head", Bytes: request[:12]},
		{Name: "bad-no-name", Bytes: request[:13]},
		{Name: "odd-cut-in-name", Bytes: request[:14]},
		{
			Name:  "bad-name-too-long",
			Bytes: append(bytes.Clone(request[:13]), bytes.Repeat([]byte("n"), quota.MaxNameLength+1)...),
		},
		{Name: "bad-kind-0", Bytes: changed(0, 0)},
		{Name: "bad-kind-4", Bytes: changed(0, 4)},
		{Name: "bad-kind-255", Bytes: changed(0, 255)},
		{Name: "bad-units", Bytes: changed(9, 0x40, 0, 0, 1)},
		{Name: "odd-most-units", Bytes: changed(9, 0x40, 0, 0, 0)},
		{Name: "odd-grant-not-asked-for", Bytes: changed(0, 2)},
		{Name: "odd-return-of-nothing", Bytes: changed(0, 3)},
	}
}

func TestCharacterization_MessagesWritten(t *testing.T) {
	written := writtenMessages(t)
	var text strings.Builder
	for _, m := range append(written, malformedMessages(written[0].Bytes)...) {
		if len(m.Bytes) > maxBodyBytes {
			t.Errorf("%s: %d bytes do not fit into a datagram", m.Name, len(m.Bytes))
		}
		fmt.Fprintf(&text, "%s %x\n", m.Name, m.Bytes)
	}
	recorded.Compare(t, messagesFile, text.String())
}

// Each recorded message is read by a member that has sent the recorded request, so that its grant counts, and
// by one that has granted what is returned.
func TestCharacterization_MessagesRead(t *testing.T) {
	var text strings.Builder
	for _, m := range recorded.ReadBodies(t, messagesFile) {
		reader := newAllocator(t, 0, 0xABCD)
		now := 2 * leaseLength
		reader.Demand(now, poolName, 3000)
		reader.Tick(now)
		readMessage(&text, "borrower", reader, now, 1, m)
		lender := newAllocator(t, 1, 1)
		readMessage(&text, "lender", lender, now, 0, m)
	}
	reader := newAllocator(t, 0, 1)
	request := recorded.ReadBodies(t, messagesFile)[0]
	for _, from := range []int{-1, 0, 3, 2} {
		readMessage(&text, fmt.Sprintf("from %d:", from), reader, 2*leaseLength, from, request)
	}
	for i := range quota.MaxResources {
		reader.Demand(2*leaseLength, fmt.Sprintf("pool-%d", i), 1)
	}
	longest := recorded.ReadBodies(t, messagesFile)[5]
	readMessage(&text, "no room:", reader, 2*leaseLength, 1, recorded.Body{Name: "ask-longest-name", Bytes: longest.Bytes})
	recorded.Compare(t, "readings.txt", text.String())
}

// readMessage writes down how an allocator handles a message: the error, replies, and the quota afterwards.
func readMessage(text *strings.Builder, who string, reader *quota.Allocator, now int64, from int, m recorded.Body) {
	out, err := reader.Receive(now, from, m.Bytes)
	fmt.Fprintf(text, "%s %s is-ledgers %t", who, m.Name, quota.IsMessage(m.Bytes))
	if err != nil {
		fmt.Fprintf(text, " error %q", err.Error())
	}
	for _, o := range out {
		fmt.Fprintf(text, " answers %d %x", o.To, o.Body)
	}
	// In the end all leases have expired, borrowed and granted.
	for _, later := range []int64{0, leaseMargin, leaseLength, leaseLength + leaseMargin} {
		fmt.Fprintf(text, " share %d", reader.Quota(now+later, poolName))
	}
	counts := reader.Counts()
	fmt.Fprintf(text, " asked %d granted %d borrowed %d\n", counts.Requested, counts.Granted, counts.Borrowed)
}

// A lender uses what it granted again once the borrower returns it and the margin is over.
func TestCharacterization_ReturnIsRead(t *testing.T) {
	messages := recorded.ReadBodies(t, messagesFile)
	lender := newAllocator(t, 1, 1)
	now := 2 * leaseLength
	var text strings.Builder
	if _, err := lender.Receive(now, 0, messages[0].Bytes); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "granted: share %d\n", lender.Quota(now, poolName))
	readMessage(&text, "lender", lender, now+1000, 0, messages[4])
	recorded.Compare(t, "return.txt", text.String())
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	good := quota.Config{Self: 1, Members: 3, OwnedUnits: 10, Reserved: 2, TTL: 1000}
	var text strings.Builder
	for _, test := range []struct {
		name   string
		change func(c *quota.Config)
	}{
		{"good", func(c *quota.Config) {}},
		{"no-members", func(c *quota.Config) { c.Members = 0 }},
		{"self", func(c *quota.Config) { c.Self = 3 }},
		{"keep", func(c *quota.Config) { c.Reserved = 11 }},
		{"unit", func(c *quota.Config) { c.OwnedUnits = 0 }},
		{"lease", func(c *quota.Config) { c.TTL = 999 }},
		{"margin", func(c *quota.Config) { c.Margin = -1 }},
	} {
		config := good
		test.change(&config)
		err := config.Check()
		if err != nil && !errors.Is(err, quota.ErrConfig) {
			t.Errorf("%s: %v is not the error of a config", test.name, err)
		}
		if err == nil {
			err = errors.New("ok")
		}
		fmt.Fprintf(&text, "%s: %s\n", test.name, err.Error())
	}
	fmt.Fprintf(&text, "most wholes %d name %d\n", quota.MaxResources, quota.MaxNameLength)
	recorded.Compare(t, "config.txt", text.String())
}
