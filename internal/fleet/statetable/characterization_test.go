// Characterisation tests of the replicated table: they record what the program does today, as digests of whole seeded
// runs and as the bytes of every kind of body, so that a change of names or shape can be shown to change nothing. On a
// purposeful change of behaviour the files are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/fleet/statetable -run TestCharacterization
//
// and the commit has to say why.
package statetable_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/fleet/statetable"
	"eidertrail/internal/testing/recorded"
)

// bodiesFile is the recorded file with the encoded bodies.
const bodiesFile = "bodies.txt"

func TestCharacterization_TableDigests(t *testing.T) {
	var lines strings.Builder
	for _, test := range []struct {
		name            string
		members, events int
		seed            uint64
	}{
		{"two-members", 2, 10_000, 1},
		{"five-members", 5, 20_000, 2},
		{"twelve-members", 12, 20_000, 3},
		{"sixty-members-two-a-block", 60, 15_000, 4},
	} {
		record := recorded.NewSeries(test.name+"/%d-of-10", test.events)
		w := newNetwork(t, record, test.members, test.seed)
		w.run(test.events)
		lines.WriteString(record.Lines())
		total := statetable.Counts{}
		for i := range w.processes {
			counts := w.processes[i].table.Counts()
			total.Repairs += counts.Repairs
			total.Stale += counts.Stale
			total.Unknown += counts.Unknown
			total.Invalid += counts.Invalid
		}
		t.Logf("%s: %d s; since the last starts: %d repairs, %d stale, %d unknown, %d rejected; own values above a refuted "+
			"incarnation, when recorded: %d",
			test.name, w.now/second, total.Repairs, total.Stale, total.Unknown, total.Invalid, w.refuted)
	}
	recorded.Compare(t, "digests.txt", lines.String())
}

const tableMembers = 3

func newTable(tb testing.TB, self int) *statetable.Table {
	tb.Helper()
	config := statetable.DefaultConfig(self, tableMembers, 1_700_000_000_000_000+uint64(self), 7)
	config.Fanout, config.Packets, config.DigestEvery = 1, 16, 1
	config.Kinds = kinds()
	made, err := statetable.New(config, 0)
	if err != nil {
		tb.Fatal(err)
	}
	made.SetAlive([]bool{true, true, true})
	return made
}

func set(tb testing.TB, to *statetable.Table, kind statetable.Kind, value string) {
	tb.Helper()
	if err := to.Set(0, kind, []byte(value)); err != nil {
		tb.Fatal(err)
	}
}

// longValue has three fragments.
func longValue() string {
	value := make([]byte, 400)
	for i := range value {
		value[i] = byte(i * 7)
	}
	return string(value)
}

// receive passes a body to a table, which must accept it.
func receive(tb testing.TB, to *statetable.Table, from int, body []byte) []statetable.Out {
	tb.Helper()
	out, err := to.Receive(1000, from, body)
	if err != nil {
		tb.Fatal(err)
	}
	return out
}

// named gives each body of an output a line.
func named(name string, out []statetable.Out) (all []recorded.Body) {
	for i, o := range out {
		all = append(all, recorded.Body{Name: fmt.Sprintf("%s-%d-to-%d", name, i, o.To), Bytes: o.Body})
	}
	return all
}

// writtenBodies has tables write a body of each type: updates and a digest, summaries in answer to the digest, a
// request in answer to the summaries, and fragments in answer to the request.
func writtenBodies(tb testing.TB) []recorded.Body {
	tb.Helper()
	empty := newTable(tb, 1)
	all := named("digest-of-nothing", empty.Tick(0))
	publisher := newTable(tb, 0)
	set(tb, publisher, statetable.Region, "north")
	set(tb, publisher, statetable.Versions, "")
	set(tb, publisher, statetable.Sketch, longValue())
	published := publisher.Tick(0)
	all = append(all, named("rumours-and-digest", published)...)
	digest := published[len(published)-1].Body
	lines := receive(tb, empty, 0, digest)
	all = append(all, named("lines-of-nothing", lines)...)
	all = append(all, named("repairs-of-all", receive(tb, publisher, 1, lines[0].Body))...)
	part := newTable(tb, 2)
	set(tb, part, statetable.Region, "south")
	receive(tb, part, 0, published[1].Body) // some of the fragments
	lines = receive(tb, part, 0, digest)
	all = append(all, named("lines-of-some", lines)...)
	for i, line := range lines {
		all = append(all, named(fmt.Sprintf("repairs-of-some-%d", i), receive(tb, publisher, 2, line.Body))...)
	}
	lines = receive(tb, publisher, 2, lastBody(tb, part.Tick(0)))
	all = append(all, named("lines-of-many", lines)...)
	answers := receive(tb, part, 0, lines[0].Body)
	all = append(all, named("wanted-and-repairs", answers)...)
	return append(all, named("repairs-of-wanted", receive(tb, publisher, 2, answers[0].Body))...)
}

// lastBody is the digest of an output, which comes last.
func lastBody(tb testing.TB, out []statetable.Out) []byte {
	tb.Helper()
	if len(out) == 0 {
		tb.Fatal("nothing is sent")
	}
	return out[len(out)-1].Body
}

// fragment is the fields of one, as they stand on the wire.
type fragment struct {
	origin      int
	kind        byte
	incarnation uint64
	version     uint32
	part, count int
	length      int // what the length field says
	bytes       string
}

// fragmentsBody encodes fragments without the package's own codec.
func fragmentsBody(fragments ...fragment) []byte {
	b := []byte{0x20}
	for _, f := range fragments {
		b = binary.BigEndian.AppendUint16(b, uint16(f.origin))
		b = append(b, f.kind)
		b = binary.BigEndian.AppendUint64(b, f.incarnation)
		b = binary.BigEndian.AppendUint32(b, f.version)
		b = append(b, byte(f.part), byte(f.count), byte(f.length))
		b = append(b, f.bytes...)
	}
	return b
}

// linesBody encodes a summary without the package's own codec: a line of each origin, kind 2.
func linesBody(answer byte, first, last int, origins ...int) []byte {
	b := []byte{0x22, answer}
	b = append(binary.BigEndian.AppendUint16(b, uint16(first)), 0)
	b = append(binary.BigEndian.AppendUint16(b, uint16(last)), 0)
	for _, origin := range origins {
		b = append(binary.BigEndian.AppendUint16(b, uint16(origin)), 2)
		b = binary.BigEndian.AppendUint64(b, 1<<62)
		b = binary.BigEndian.AppendUint32(b, 5)
		b = binary.BigEndian.AppendUint32(b, math.MaxUint32)
	}
	return b
}

// oddBodies are those that no member of this program writes, most of them malformed.
func oddBodies() []recorded.Body {
	good := fragment{origin: 0, kind: 2, incarnation: 1 << 62, version: 3, part: 0, count: 1, length: 5, bytes: "value"}
	other := fragment{origin: 2, kind: 1, incarnation: 4, version: 1, count: 1, length: 1, bytes: "r"}
	changed := func(change func(f *fragment)) []byte {
		f := good
		change(&f)
		return fragmentsBody(f)
	}
	complete := fragmentsBody(good)
	full := strings.Repeat("f", 160)
	return []recorded.Body{
		{Name: "bad-empty", Bytes: nil},
		{Name: "bad-kind-0", Bytes: []byte{0}},
		{Name: "bad-kind-31", Bytes: []byte{0x1f, 1, 2}},
		{Name: "bad-kind-35", Bytes: []byte{0x23, 1, 2}},
		{Name: "bad-too-long", Bytes: append([]byte{0x20}, make([]byte, maxBodyBytes)...)},
		{Name: "odd-no-fragments", Bytes: []byte{0x20}},
		{Name: "odd-two-fragments", Bytes: fragmentsBody(good, other)},
		{Name: "odd-two-fragments-cut", Bytes: fragmentsBody(good, good)[:len(complete)+10]},
		{Name: "bad-cut-in-head", Bytes: complete[:10]},
		{Name: "bad-cut-in-value", Bytes: complete[:len(complete)-1]},
		{Name: "bad-part-past-count", Bytes: changed(func(f *fragment) { f.part = 1 })},
		{Name: "bad-count-0", Bytes: changed(func(f *fragment) { f.count = 0 })},
		{Name: "bad-count-33", Bytes: changed(func(f *fragment) { f.count = 33 })},
		{Name: "bad-length-past-most", Bytes: changed(func(f *fragment) { f.length, f.bytes = 161, full+"f" })},
		{Name: "bad-short-part-in-the-middle", Bytes: changed(func(f *fragment) { f.kind, f.count = 3, 2 })},
		{
			Name:  "bad-empty-last-part",
			Bytes: changed(func(f *fragment) { f.kind, f.count, f.part, f.length, f.bytes = 3, 2, 1, 0, "" }),
		},
		{
			Name:  "bad-more-fragments-than-the-kind-has",
			Bytes: changed(func(f *fragment) { f.count, f.length, f.bytes = 3, 160, full }),
		},
		{Name: "odd-empty-value", Bytes: changed(func(f *fragment) { f.length, f.bytes = 0, "" })},
		{
			Name:  "odd-part-of-a-value",
			Bytes: changed(func(f *fragment) { f.kind, f.count, f.length, f.bytes = 3, 2, 160, full }),
		},
		{Name: "odd-kind-not-registered", Bytes: changed(func(f *fragment) { f.kind = 77 })},
		{Name: "odd-origin-not-there", Bytes: changed(func(f *fragment) { f.origin = tableMembers })},
		{Name: "odd-own-value-of-a-later-life", Bytes: changed(func(f *fragment) { f.origin = 1 })},
		{Name: "bad-digest-of-nothing", Bytes: []byte{0x21}},
		{Name: "bad-digest-of-other-members", Bytes: append([]byte{0x21}, make([]byte, 4*(tableMembers+1))...)},
		{Name: "bad-lines-empty", Bytes: []byte{0x22}},
		{Name: "bad-lines-cut", Bytes: linesBody(1, 0, 3, 0)[:20]},
		{Name: "bad-lines-range-backwards", Bytes: linesBody(1, 2, 1)},
		{Name: "bad-lines-range-past-members", Bytes: linesBody(1, 0, 4)},
		{Name: "odd-lines-newer", Bytes: linesBody(1, 0, 3, 0, 2)},
		{Name: "odd-lines-newer-no-answer-wanted", Bytes: linesBody(0, 0, 3, 0, 2)},
		{Name: "odd-lines-of-own-value-newer", Bytes: linesBody(1, 0, 3, 1)},
		{Name: "odd-lines-origin-not-there", Bytes: linesBody(1, 0, 3, 9)},
		{Name: "odd-lines-of-an-empty-range", Bytes: linesBody(1, 1, 1)},
	}
}

// The length of a digest shows how many members a hash covers.
func TestCharacterization_DigestLengths(t *testing.T) {
	var text strings.Builder
	for _, members := range []int{2, 55, 56, 57, 111, 112, 113, 512} {
		config := statetable.DefaultConfig(0, members, 1, 1)
		config.DigestEvery = 1
		made, err := statetable.New(config, 0)
		if err != nil {
			t.Fatal(err)
		}
		made.SetAlive([]bool{true, true})
		fmt.Fprintf(&text, "members %d digest %d bytes\n", members, len(lastBody(t, made.Tick(0))))
	}
	recorded.Compare(t, "digest-lengths.txt", text.String())
}

func TestCharacterization_BodiesWritten(t *testing.T) {
	var text strings.Builder
	for _, b := range append(writtenBodies(t), oddBodies()...) {
		fmt.Fprintf(&text, "%s %x\n", b.Name, b.Bytes)
	}
	recorded.Compare(t, bodiesFile, text.String())
}

// Each recorded body is read by a member that holds a value of its own, and by the one that published most of them.
func TestCharacterization_BodiesRead(t *testing.T) {
	var text strings.Builder
	bodies := recorded.ReadBodies(t, bodiesFile)
	for _, b := range bodies {
		reader := newTable(t, 1)
		set(t, reader, statetable.Versions, "mine")
		readBody(t, &text, "reader", reader, 0, b)
	}
	for _, b := range bodies {
		publisher := newTable(t, 0)
		set(t, publisher, statetable.Region, "north")
		set(t, publisher, statetable.Versions, "")
		set(t, publisher, statetable.Sketch, longValue())
		readBody(t, &text, "teller", publisher, 2, b)
	}
	for _, from := range []int{-1, 1, tableMembers} {
		reader := newTable(t, 1)
		readBody(t, &text, fmt.Sprintf("from %d:", from), reader, from, bodies[0])
	}
	recorded.Compare(t, "readings.txt", text.String())
}

// readBody writes down how a table handles a body: the error, answers, changes and counters.
func readBody(tb testing.TB, text *strings.Builder, who string, reader *statetable.Table, from int, b recorded.Body) {
	tb.Helper()
	out, err := reader.Receive(1000, from, b.Bytes)
	fmt.Fprintf(text, "%s %s is-tables %t", who, b.Name, statetable.IsMessage(b.Bytes))
	if err != nil {
		var wrong *statetable.MessageError
		if !errors.As(err, &wrong) {
			tb.Errorf("%s: %v is not the error of a message", b.Name, err)
			return
		}
		fmt.Fprintf(text, " error %q remedy %q", err.Error(), wrong.Remedy())
	}
	for _, o := range out {
		fmt.Fprintf(text, " answers %d %x", o.To, o.Body)
	}
	for _, change := range reader.TakeChanges() {
		fmt.Fprintf(text, " change %d %d %d.%d at %d %x", change.Origin, change.Kind, change.Incarnation, change.Version,
			change.At, change.Value)
	}
	if own, is := reader.Get(1, statetable.Versions); is {
		fmt.Fprintf(text, " own %d.%d", own.Incarnation, own.Version)
	}
	counts := reader.Counts()
	fmt.Fprintf(text, " bytes %d packets %d repairs %d stale %d unknown %d refused %d\n", counts.Bytes, counts.Packets,
		counts.Repairs, counts.Stale, counts.Unknown, counts.Invalid)
}

// A member that receives a value of its own from an earlier start whose clock was ahead publishes all its values again,
// one incarnation above it. The order in which it does so is not recorded: it is that of a map.
func TestCharacterization_RefutesAnEarlierIncarnation(t *testing.T) {
	starter, listener := newTable(t, 0), newTable(t, 1)
	set(t, starter, statetable.Region, "north")
	set(t, starter, statetable.Versions, "v1")
	set(t, starter, statetable.Versions, "v2")
	receive(t, starter, 1, fragmentsBody(fragment{
		origin: 0, kind: 1, incarnation: 1 << 62, version: 9, count: 1, length: 1, bytes: "s",
	}))
	for _, o := range starter.Tick(0) {
		receive(t, listener, 0, o.Body)
	}
	var text strings.Builder
	for _, holder := range []*statetable.Table{starter, listener} {
		for _, kind := range []statetable.Kind{statetable.Region, statetable.Versions} {
			e, is := holder.Get(0, kind)
			fmt.Fprintf(&text, "kind %d held %t %d.%d at %d %q\n", kind, is, e.Incarnation, e.Version, e.At, e.Value)
		}
	}
	recorded.Compare(t, "overtaken.txt", text.String())
}

func TestCharacterization_ConfigErrors(t *testing.T) {
	var text strings.Builder
	for _, test := range []struct {
		name   string
		change func(c *statetable.Config)
	}{
		{"good", func(c *statetable.Config) {}},
		{"no-members", func(c *statetable.Config) { c.Members = 0 }},
		{"self", func(c *statetable.Config) { c.Self = 5 }},
		{"members", func(c *statetable.Config) { c.Members = 1<<15 + 1 }},
		{"interval", func(c *statetable.Config) { c.Interval = 9999 * time.Microsecond }},
		{"fanout", func(c *statetable.Config) { c.Fanout = 17 }},
		{"packets", func(c *statetable.Config) { c.Packets = 0 }},
		{"retransmit", func(c *statetable.Config) { c.Retransmit = 17 }},
		{"digest-every", func(c *statetable.Config) { c.DigestEvery = 0 }},
		{"kinds", func(c *statetable.Config) { c.Kinds = make([]statetable.KindSpec, statetable.MaxKinds+1) }},
		{"kind-twice", func(c *statetable.Config) { c.Kinds = append(kinds(), kinds()[0]) }},
		{"kind-too-long", func(c *statetable.Config) { c.Kinds[0].MaxLength = statetable.MaxValue + 1 }},
	} {
		config := statetable.DefaultConfig(1, 5, 1, 1)
		config.Kinds = kinds()
		test.change(&config)
		text.WriteString(test.name)
		var wrong *statetable.ConfigError
		if err := config.Check(); errors.As(err, &wrong) {
			fmt.Fprintf(&text, " error %q field %q want %q remedy %q", err.Error(), wrong.Field, wrong.Want, wrong.Remedy())
		}
		text.WriteString("\n")
	}
	full := newTable(t, 0)
	for _, test := range []struct {
		kind   statetable.Kind
		length int
	}{{statetable.Region, 32}, {statetable.Region, 33}, {77, 1}} {
		fmt.Fprintf(&text, "value of %d bytes for kind %d", test.length, test.kind)
		var wrong *statetable.ValueError
		if err := full.Set(0, test.kind, make([]byte, test.length)); errors.As(err, &wrong) {
			fmt.Fprintf(&text, " error %q most %d remedy %q", err.Error(), wrong.MaxLength, wrong.Remedy())
		}
		text.WriteString("\n")
	}
	d := statetable.DefaultConfig(3, 9, 5, 7)
	fmt.Fprintf(&text, "default interval %d fanout %d packets %d retransmit %d digest-every %d\n",
		d.Interval.Microseconds(), d.Fanout, d.Packets, d.Retransmit, d.DigestEvery)
	fmt.Fprintf(&text, "most value %d kinds %d; region %d versions %d sketch %d\n", statetable.MaxValue,
		statetable.MaxKinds, statetable.Region, statetable.Versions, statetable.Sketch)
	recorded.Compare(t, "config.txt", text.String())
}
