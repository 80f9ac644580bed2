// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold the requests of the long poll, documents
// as read, the order in which events are told, and the texts of errors.
// On a purposeful change the files under testdata/characterization are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/endpointlist -run TestCharacterization
//
// and the commit has to say why they changed.
package endpointlist_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"math/rand/v2"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/recorded"
)

func stateText(s endpointlist.State) string {
	switch s {
	case endpointlist.Up:
		return "up"
	case endpointlist.Draining:
		return "draining"
	case endpointlist.Removed:
		return "removed"
	}
	return "unknown"
}

func eventText(e endpointlist.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "event %d whole %t", e.Version, e.Snapshot)
	for _, p := range e.Endpoints {
		fmt.Fprintf(&b, " | %q at %q group %d zone %q born %d %s", p.UID, p.Address, p.Group, p.Zone, p.StartedAt, stateText(p.State))
	}
	return b.String() + "\n"
}

// item is one event of the document, with the lines of its roster.
func item(no int, whole bool, lines ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":7,"all":%t,"targets":[%s]}}`, no, whole, strings.Join(lines, ","))
}

// line is one line of a roster.
func line(uid, endpoint, state string, bootMillis int64) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"east","model":"std","pod_group":2,"state":%q,"boot_ms":%d}`, uid, endpoint, state, bootMillis)
}

func document(no int, items ...string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
}

func TestCharacterization_Documents(t *testing.T) {
	up := line("s-1", "192.0.2.3:5060", "up", 0)
	roster := func(lines ...string) string { return document(9, item(4, false, lines...)) }
	texts := []string{
		document(0), document(41, item(41, true, up, line("s-2", "[2001:db8::1]:5060", "draining", 0), line("s-3", "", "removed", 0))),
		document(9, item(5, false, up), `{"no":6,"lot":{}}`, item(4, false, up), item(5, true)),
		document(9, `{"roster":{"targets":[`+up+`]}}`, item(3, false, up)),
		`{"no":3}`, `{"no":3,"items":{}}`, `{"no":3,"items":null}`, `{"no":3,"items":[null,1,"x",{"roster":null}]}`, `{"no":-4,"items":[]}`,
		`{"no":4.7,"items":[]}`, `{"no":1e3,"items":[]}`, `{"no":3,"items":[{"no":"x","roster":{"all":"true","targets":{}}}]}`,
		roster(line("s-1", "pool.example.org:sip", "up", 946684800500), line("s-2", "192.0.2.3:", "up", -5), line("s-3", ":5060", "up", 1)),
		roster(`{"uid":"s-1","endpoint":"192.0.2.3:5060","state":"up","pod_group":"3","boot_ms":"946684800500","az":7}`),
		roster(`{"uid":"s-1","endpoint":"192.0.2.3:5060","state":"up","pod_group":-1.9}`),
		roster(`{"uid":7,"endpoint":"192.0.2.3:5060","state":"up"}`, up), roster(`{"endpoint":"192.0.2.3:5060","state":"removed"}`, up),
		roster(line("", "192.0.2.3:5060", "odd", 0), line("s-4", "192.0.2.3:5060", "UP", 0), `{"uid":"s-5","endpoint":"192.0.2.3:5060"}`, up),
		roster(up, line("s-0", "x", "up", 0), line("s-2", "y", "draining", 0), line("s-3", "z", "removed", 0)),
		roster(line("s-0", strings.Repeat("long", 20), "up", 0)), roster(line("s-0", "2001:db8::1:5060", "up", 0)), roster("7", "null", `"x"`),
		"", " ", "{", "[]", "null", "7", `"x"`, "{}", `{"no":"1","items":[]}`, `{"no":null}`, `{"no":true}`, `{"items":[]}`, "{\"no\":1}x", "\xff",
		`{"no":1,"no":2}`,
	}
	var b strings.Builder
	synctest.Test(t, func(t *testing.T) { // its clock begins at a fixed time
		now := clock.New()
		for _, text := range texts {
			p, err := endpointlist.ParsePage([]byte(text), now)
			fmt.Fprintf(&b, "=== %q\nnumber %d\n", text, p.Version)
			for _, e := range p.Events {
				b.WriteString(eventText(e))
			}
			if err != nil {
				fmt.Fprintf(&b, "error: %s, page to be used %t\n", err, errors.Is(err, endpointlist.ErrInvalidEndpoint))
			}
		}
	})
	recorded.Compare(t, "documents.txt", b.String())
}

// exchange is one answer of the long poll's other side, byte for byte. With hold the connection is kept open and silent
// after it, else it ends.
type exchange struct {
	answer string
	hold   bool
	keep   bool // the next request comes on the same connection
}

// poll is the other side of a long poll on loopback. It gives its answers in order, whatever is asked, and records
// the requests. After the last one it asks the test to end.
type poll struct {
	listener net.Listener
	answers  []exchange
	done     func()
	mu       sync.Mutex
	record   strings.Builder
	wait     sync.WaitGroup
}

func newPoll(t *testing.T, answers []exchange) *poll {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &poll{listener: listener, answers: answers}
}

func (p *poll) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(&p.record, format, values...)
}

// serve takes the connections one after the other until the answers are used up.
func (p *poll) serve() {
	defer p.done()
	for connection := 1; ; connection++ {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.note("connection %d\n", connection)
		if p.converse(c) {
			return
		}
	}
}

// converse answers the requests of one connection, and tells whether there is no answer left.
func (p *poll) converse(c net.Conn) (last bool) {
	keep := true
	defer func() {
		if keep {
			c.Close()
		}
	}()
	r := bufio.NewReader(c)
	for keep {
		request, err := readRequest(r)
		if err != nil {
			return false
		}
		p.note("%s", request)
		if len(p.answers) == 0 {
			p.done() // before the connection ends, which would be an error of the watch
			return true
		}
		a := p.answers[0]
		p.answers = p.answers[1:]
		p.note("answered with %q\n", a.answer)
		c.Write([]byte(a.answer))
		if a.hold {
			keep = false
			p.wait.Go(func() {
				r.ReadByte() // until the controller closes it
				c.Close()
			})
			return false
		}
		if !a.keep {
			return false
		}
	}
	return false
}

// readRequest reads the head of one request and quotes it line by line.
func readRequest(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString("> " + strconv.Quote(text) + "\n")
		if text == "\r\n" {
			return b.String(), nil
		}
	}
}

var (
	loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	pause    = regexp.MustCompile(`"again_in":[0-9.]+`)
)

// fixed takes out of text what differs from run to run: ports, and pauses that depend on how long a try took.
func fixed(text string) string {
	return pause.ReplaceAllString(loopback.ReplaceAllString(text, "ADDRESS"), `"again_in":PAUSE`)
}

// watched plays one watch against the answers and returns the record: requests, answers and events in order, then the
// log and the counters.
func watched(t *testing.T, known endpointlist.Page, answers ...exchange) string {
	t.Helper()
	p := newPoll(t, answers)
	ctx, stop := context.WithCancel(context.Background())
	p.done = stop
	p.wait.Go(p.serve)
	var log bytes.Buffer
	count := &telemetry.Counters{}
	endpointlist.Watch(ctx, endpointlist.Config{
		Address:  p.listener.Addr().String(),
		Known:    known,
		Clock:    clock.New(),
		Log:      zerolog.New(&log),
		Counters: count,
		Deliver:  func(e endpointlist.Event) { p.note("told %s", eventText(e)) },
	})
	p.listener.Close()
	p.wait.Wait()
	p.note("log\n%s", log.String())
	p.note("counted %d events, %d errors\n", count.Get(telemetry.EndpointListEvents), count.Get(telemetry.EndpointListErrors))
	return fixed(p.record.String())
}

// ok is a good answer with a document.
func ok(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func known(t *testing.T, text string) endpointlist.Page {
	t.Helper()
	p, err := endpointlist.ParsePage([]byte(text), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestCharacterization_LongPoll(t *testing.T) {
	up, drain := line("s-1", "192.0.2.3:5060", "up", 0), line("s-1", "192.0.2.3:5060", "draining", 0)
	gone, second := line("s-1", "", "removed", 0), line("s-2", "192.0.2.4:5060", "up", 0)
	for _, k := range []struct {
		file    string
		known   string
		answers []exchange
	}{
		{"poll-in-order.txt", document(3, item(3, true, up)), []exchange{
			{answer: ok(document(4, item(4, false, second))), keep: true},
			{answer: ok(document(4)), keep: true},
			{answer: ok(document(7, item(5, false, drain), item(7, false, gone))), keep: true},
			{answer: ok(document(9, `{"no":8,"lot":{}}`)), keep: true},
		}},
		{"poll-errors.txt", document(3), []exchange{
			{answer: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\nConnection: close\r\n\r\nlater"},
			{answer: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
			{answer: "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"},
			{answer: ok("{")},
			{answer: ok("{}")},
			{answer: ok("")},
			{answer: "noise\r\n\r\n"},
			{answer: ""},
			{answer: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nConnection: close\r\n\r\n{\"no\":4"},
			{answer: ok(strings.Repeat(" ", 1<<20+1))},
			{answer: "HTTP/1.1 302 Found\r\nLocation: ftp://192.0.2.1/x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
			{answer: ok(document(4, item(4, false, line("s-0", "x", "up", 0), second))), keep: true},
		}},
		{"poll-silent-from-the-start.txt", document(3), []exchange{{answer: "", hold: true}}},
		{"poll-silent-in-the-middle.txt", document(3), []exchange{
			{answer: ok(document(4, item(4, false, up)))[:100], hold: true},
			{answer: ok(document(4, item(4, false, up))), keep: true},
		}},
		{"poll-numbers-go-back.txt", document(5, item(1, true, up), item(5, false, drain)), []exchange{
			{answer: ok(document(2)), keep: true},
			{answer: ok(document(2, item(1, true, up), item(2, false, second))), keep: true},
			{answer: ok(document(6, item(3, false, up), item(6, false, up))), keep: true},
			{answer: ok(document(4, item(4, false, gone))), keep: true},
			{answer: ok(document(4, item(1, false, second), item(3, false, up), item(4, false, gone))), keep: true},
			{answer: ok(document(0)), keep: true},
			{answer: ok(document(1, item(1, true, line("s-3", "192.0.2.3:5060", "up", 0)))), keep: true},
		}},
	} {
		t.Run(strings.TrimSuffix(k.file, ".txt"), func(t *testing.T) {
			t.Parallel()
			got := watched(t, known(t, k.known), k.answers...)
			recorded.Compare(t, k.file, strings.ReplaceAll(got, strings.Repeat(" ", 1<<20+1), "{over 1 MiB of blanks}"))
		})
	}
}

// A watch that is refused: the error's text.
func TestCharacterization_Refused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	for name, address := range map[string]string{"refused.txt": address, "bad-address.txt": "a b:80"} {
		ctx, stop := context.WithCancel(context.Background())
		log := &firstLine{stop: stop}
		endpointlist.Watch(ctx, endpointlist.Config{
			Address: address,
			Known:   endpointlist.Page{Version: 3},
			Clock:   clock.New(),
			Log:     zerolog.New(log),
			Deliver: func(endpointlist.Event) {},
		})
		recorded.Compare(t, name, fixed(log.text))
	}
}

// firstLine keeps the first line that is logged, and stops the watch.
type firstLine struct {
	text string
	stop context.CancelFunc
}

// Write implements io.Writer.
func (f *firstLine) Write(b []byte) (int, error) {
	if f.text == "" {
		f.text = string(b)
		f.stop()
	}
	return len(b), nil
}

// hashEvent adds an event to a digest, in an encoding of this test's own.
func hashEvent(h hash.Hash, e endpointlist.Event) {
	b := binary.AppendVarint(nil, e.Version)
	b = strconv.AppendBool(b, e.Snapshot)
	b = binary.AppendUvarint(b, uint64(len(e.Endpoints)))
	for _, p := range e.Endpoints {
		for _, text := range []string{p.UID, p.Address, p.Zone, stateText(p.State)} {
			b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
		}
		b = binary.AppendVarint(binary.AppendVarint(b, int64(p.Group)), p.StartedAt)
	}
	h.Write(b)
}

// randomDocument is a document with events whose numbers go on from no, repeat and go back.
func randomDocument(random *rand.Rand, no int, bootMillis int64) string {
	var items []string
	for range random.IntN(4) {
		var lines []string
		for range random.IntN(4) {
			endpoint := ""
			if random.IntN(8) > 0 {
				endpoint = fmt.Sprintf("192.0.2.%d:5060", random.IntN(6))
			}
			boot := int64(0)
			if random.IntN(3) == 0 {
				boot = bootMillis + int64(random.IntN(20)*100)
			}
			state := []string{"up", "up", "up", "draining", "removed", "odd"}[random.IntN(6)]
			lines = append(lines, line(fmt.Sprintf("s-%d", random.IntN(6)), endpoint, state, boot))
		}
		items = append(items, item(max(0, no+random.IntN(7)-3), random.IntN(4) == 0, lines...))
	}
	return document(no, items...)
}

// What is told of documents that a new configuration brings: which events count as told, and which lines are held back.
func TestCharacterization_ToldInOrder(t *testing.T) {
	var digests strings.Builder
	for block := range 10 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(block)))
			ctx, stop := context.WithCancel(context.Background())
			now := clock.New()
			moves := make(chan endpointlist.AddressChange)
			sum, told := sha256.New(), 0
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				endpointlist.Watch(ctx, endpointlist.Config{
					Changes: moves,
					Clock:   now,
					Log:     zerolog.Nop(),
					Deliver: func(e endpointlist.Event) {
						told++
						hashEvent(sum, e)
					},
				})
			}()
			no := 0
			for range 400 {
				no = max(0, no+random.IntN(6)-2)
				page, err := endpointlist.ParsePage([]byte(randomDocument(random, no, time.Now().UnixMilli())), now)
				if err != nil && !errors.Is(err, endpointlist.ErrInvalidEndpoint) {
					t.Fatal(err)
				}
				moves <- endpointlist.AddressChange{Known: page}
				time.Sleep(time.Millisecond)
			}
			synctest.Wait()
			stop()
			<-ended
			fmt.Fprintf(&digests, "told-in-order-%d %d %s\n", block, told, hex.EncodeToString(sum.Sum(nil)))
		})
	}
	recorded.Compare(t, "told-in-order.txt", digests.String())
}
