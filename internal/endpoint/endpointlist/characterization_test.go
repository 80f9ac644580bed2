// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold the requests of the long poll, documents as read, the order
// in which events are delivered, and the texts of errors. On a purposeful change the files under
// testdata/characterization are written anew with
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
	"io"
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

// eventText is an event as the recorded files have it.
func eventText(event endpointlist.Event) string {
	var text strings.Builder
	fmt.Fprintf(&text, "event %d whole %t", event.Version, event.Snapshot)
	for _, e := range event.Endpoints {
		fmt.Fprintf(&text, " | %q at %q group %d zone %q born %d %s",
			e.UID, e.Address, e.Group, e.Zone, e.StartedAt, stateText(e.State))
	}
	return text.String() + "\n"
}

// item is one event of a document, with its endpoints.
func item(version int, snapshot bool, endpoints ...string) string {
	const format = `{"no":%d,"roster":{"rev":7,"all":%t,"targets":[%s]}}`
	return fmt.Sprintf(format, version, snapshot, strings.Join(endpoints, ","))
}

// endpoint is one endpoint of an event.
func endpoint(uid, address, state string, bootMillis int64) string {
	const format = `{"uid":%q,"endpoint":%q,"az":"east","model":"std","pod_group":2,"state":%q,"boot_ms":%d}`
	return fmt.Sprintf(format, uid, address, state, bootMillis)
}

func document(version int, items ...string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, version, strings.Join(items, ","))
}

// documentTexts are valid documents first, then those with invalid members, then what is none.
func documentTexts() []string {
	first := endpoint("s-1", "192.0.2.3:5060", "up", 0)
	event := func(endpoints ...string) string { return document(9, item(4, false, endpoints...)) }
	return []string{
		document(0),
		document(41, item(41, true,
			first,
			endpoint("s-2", "[2001:db8::1]:5060", "draining", 0),
			endpoint("s-3", "", "removed", 0),
		)),
		document(9, item(5, false, first), `{"no":6,"lot":{}}`, item(4, false, first), item(5, true)),
		document(9, `{"roster":{"targets":[`+first+`]}}`, item(3, false, first)),
		`{"no":3}`,
		`{"no":3,"items":{}}`,
		`{"no":3,"items":null}`,
		`{"no":3,"items":[null,1,"x",{"roster":null}]}`,
		`{"no":-4,"items":[]}`,
		`{"no":4.7,"items":[]}`,
		`{"no":1e3,"items":[]}`,
		`{"no":3,"items":[{"no":"x","roster":{"all":"true","targets":{}}}]}`,
		event(
			endpoint("s-1", "pool.example.org:sip", "up", 946684800500),
			endpoint("s-2", "192.0.2.3:", "up", -5),
			endpoint("s-3", ":5060", "up", 1),
		),
		event(`{"uid":"s-1","endpoint":"192.0.2.3:5060","state":"up","pod_group":"3","boot_ms":"946684800500","az":7}`),
		event(`{"uid":"s-1","endpoint":"192.0.2.3:5060","state":"up","pod_group":-1.9}`),
		event(`{"uid":7,"endpoint":"192.0.2.3:5060","state":"up"}`, first),
		event(`{"endpoint":"192.0.2.3:5060","state":"removed"}`, first),
		event(
			endpoint("", "192.0.2.3:5060", "odd", 0),
			endpoint("s-4", "192.0.2.3:5060", "UP", 0),
			`{"uid":"s-5","endpoint":"192.0.2.3:5060"}`,
			first,
		),
		event(
			first,
			endpoint("s-0", "x", "up", 0),
			endpoint("s-2", "y", "draining", 0),
			endpoint("s-3", "z", "removed", 0),
		),
		event(endpoint("s-0", strings.Repeat("long", 20), "up", 0)),
		event(endpoint("s-0", "2001:db8::1:5060", "up", 0)),
		event("7", "null", `"x"`),
		"",
		" ",
		"{",
		"[]",
		"null",
		"7",
		`"x"`,
		"{}",
		`{"no":"1","items":[]}`,
		`{"no":null}`,
		`{"no":true}`,
		`{"items":[]}`,
		"{\"no\":1}x",
		"\xff",
		`{"no":1,"no":2}`,
	}
}

func TestCharacterization_Documents(t *testing.T) {
	var record strings.Builder
	synctest.Test(t, func(*testing.T) { // its clock begins at a fixed time
		now := clock.New()
		for _, text := range documentTexts() {
			page, err := endpointlist.ParsePage([]byte(text), now)
			fmt.Fprintf(&record, "=== %q\nnumber %d\n", text, page.Version)
			for _, e := range page.Events {
				record.WriteString(eventText(e))
			}
			if err != nil {
				usable := errors.Is(err, endpointlist.ErrInvalidEndpoint)
				fmt.Fprintf(&record, "error: %s, page to be used %t\n", err, usable)
			}
		}
	})
	recorded.Compare(t, "documents.txt", record.String())
}

// exchange is one answer of the long poll's server, byte for byte, and what becomes of the connection after it.
type exchange struct {
	answer string
	after  connectionEnd
}

// connectionEnd is what becomes of a connection after an answer.
type connectionEnd int

const (
	closed connectionEnd = iota // the server closes it
	silent                      // it stays open, and nothing comes
	reused                      // the next request comes on it
)

// pollServer is the server of a long poll on loopback. It gives its answers in order, whatever is requested, and
// records the requests. After the last one it asks the test to end.
type pollServer struct {
	listener net.Listener
	answers  []exchange
	done     func()
	mu       sync.Mutex
	record   strings.Builder
	wait     sync.WaitGroup
}

func newPollServer(tb testing.TB, answers []exchange) *pollServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return &pollServer{listener: listener, answers: answers}
}

func (p *pollServer) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(&p.record, format, values...)
}

// serve takes the connections one after the other until the answers are used up.
func (p *pollServer) serve() {
	defer p.done()
	for number := 1; ; number++ {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.note("connection %d\n", number)
		if p.converse(connection) {
			return
		}
	}
}

// converse answers the requests of one connection, and reports whether no answer is left.
func (p *pollServer) converse(connection net.Conn) (last bool) {
	keep := true
	defer func() {
		if keep {
			connection.Close()
		}
	}()
	requests := bufio.NewReader(connection)
	for keep {
		request, err := readRequest(requests)
		if err != nil {
			return false
		}
		p.note("%s", request)
		if len(p.answers) == 0 {
			p.done() // before the connection ends, which would be an error of the watch
			return true
		}
		next := p.answers[0]
		p.answers = p.answers[1:]
		p.note("answered with %q\n", next.answer)
		_, _ = io.WriteString(connection, next.answer) // the watch may have gone: the record shows what it does
		switch next.after {
		case silent:
			keep = false
			p.wait.Go(func() {
				_, _ = requests.ReadByte() // until the watch closes it
				connection.Close()
			})
			return false
		case closed:
			return false
		case reused:
		}
	}
	return false
}

// readRequest reads the head of one request and quotes it line by line.
func readRequest(requests *bufio.Reader) (string, error) {
	var quoted strings.Builder
	for {
		text, err := requests.ReadString('\n')
		if err != nil {
			return "", err
		}
		quoted.WriteString("> " + strconv.Quote(text) + "\n")
		if text == "\r\n" {
			return quoted.String(), nil
		}
	}
}

var (
	loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	pause    = regexp.MustCompile(`"again_in":[0-9.]+`)
)

// fixed replaces in text what differs from run to run: ports, and pauses that depend on how long an attempt took.
func fixed(text string) string {
	return pause.ReplaceAllString(loopback.ReplaceAllString(text, "ADDRESS"), `"again_in":PAUSE`)
}

// playWatch plays one watch against the answers and returns the record: requests, answers and events in order, then the
// log and the counters.
func playWatch(tb testing.TB, known endpointlist.Page, answers ...exchange) string {
	tb.Helper()
	server := newPollServer(tb, answers)
	ctx, stop := context.WithCancel(context.Background())
	server.done = stop
	server.wait.Go(server.serve)
	var log bytes.Buffer
	counters := &telemetry.Counters{}
	endpointlist.Watch(ctx, endpointlist.Config{
		Address:  server.listener.Addr().String(),
		Known:    known,
		Clock:    clock.New(),
		Log:      zerolog.New(&log),
		Counters: counters,
		Deliver:  func(e endpointlist.Event) { server.note("told %s", eventText(e)) },
	})
	server.listener.Close()
	server.wait.Wait()
	server.note("log\n%s", log.String())
	server.note("counted %d events, %d errors\n",
		counters.Get(telemetry.EndpointListEvents), counters.Get(telemetry.EndpointListErrors))
	return fixed(server.record.String())
}

// ok is a valid answer with a document.
func ok(text string) string {
	const format = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Sprintf(format, len(text), text)
}

func parsePage(tb testing.TB, text string) endpointlist.Page {
	tb.Helper()
	page, err := endpointlist.ParsePage([]byte(text), clock.New())
	if err != nil {
		tb.Fatal(err)
	}
	return page
}

func TestCharacterization_LongPoll(t *testing.T) {
	first, draining := endpoint("s-1", "192.0.2.3:5060", "up", 0), endpoint("s-1", "192.0.2.3:5060", "draining", 0)
	removed, second := endpoint("s-1", "", "removed", 0), endpoint("s-2", "192.0.2.4:5060", "up", 0)
	blanks := strings.Repeat(" ", 1<<20+1)
	for _, test := range []struct {
		file    string
		known   string
		answers []exchange
	}{
		{"poll-in-order.txt", document(3, item(3, true, first)), []exchange{
			{answer: ok(document(4, item(4, false, second))), after: reused},
			{answer: ok(document(4)), after: reused},
			{answer: ok(document(7, item(5, false, draining), item(7, false, removed))), after: reused},
			{answer: ok(document(9, `{"no":8,"lot":{}}`)), after: reused},
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
			{answer: ok(blanks)},
			{answer: "HTTP/1.1 302 Found\r\nLocation: ftp://192.0.2.1/x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
			{answer: ok(document(4, item(4, false, endpoint("s-0", "x", "up", 0), second))), after: reused},
		}},
		{"poll-silent-from-the-start.txt", document(3), []exchange{{answer: "", after: silent}}},
		{"poll-silent-in-the-middle.txt", document(3), []exchange{
			{answer: ok(document(4, item(4, false, first)))[:100], after: silent},
			{answer: ok(document(4, item(4, false, first))), after: reused},
		}},
		{"poll-numbers-go-back.txt", document(5, item(1, true, first), item(5, false, draining)), []exchange{
			{answer: ok(document(2)), after: reused},
			{answer: ok(document(2, item(1, true, first), item(2, false, second))), after: reused},
			{answer: ok(document(6, item(3, false, first), item(6, false, first))), after: reused},
			{answer: ok(document(4, item(4, false, removed))), after: reused},
			{answer: ok(document(4, item(1, false, second), item(3, false, first), item(4, false, removed))), after: reused},
			{answer: ok(document(0)), after: reused},
			{answer: ok(document(1, item(1, true, endpoint("s-3", "192.0.2.3:5060", "up", 0)))), after: reused},
		}},
	} {
		t.Run(strings.TrimSuffix(test.file, ".txt"), func(t *testing.T) {
			t.Parallel()
			got := playWatch(t, parsePage(t, test.known), test.answers...)
			recorded.Compare(t, test.file, strings.ReplaceAll(got, blanks, "{over 1 MiB of blanks}"))
		})
	}
}

// What is logged when no connection is established.
func TestCharacterization_DialErrors(t *testing.T) {
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
func hashEvent(sum hash.Hash, event endpointlist.Event) {
	encoded := binary.AppendVarint(nil, event.Version)
	encoded = strconv.AppendBool(encoded, event.Snapshot)
	encoded = binary.AppendUvarint(encoded, uint64(len(event.Endpoints)))
	for _, e := range event.Endpoints {
		for _, text := range []string{e.UID, e.Address, e.Zone, stateText(e.State)} {
			encoded = append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
		}
		encoded = binary.AppendVarint(binary.AppendVarint(encoded, int64(e.Group)), e.StartedAt)
	}
	sum.Write(encoded)
}

// randomDocument is a document with events whose versions go on from version, repeat and go back.
func randomDocument(random *rand.Rand, version int, bootMillis int64) string {
	items := make([]string, random.IntN(4))
	for i := range items {
		endpoints := make([]string, random.IntN(4))
		for j := range endpoints {
			endpoints[j] = randomEndpoint(random, bootMillis)
		}
		items[i] = item(max(0, version+random.IntN(7)-3), random.IntN(4) == 0, endpoints...)
	}
	return document(version, items...)
}

// randomEndpoint is one of few endpoints, at one of few addresses or without one, in any state.
func randomEndpoint(random *rand.Rand, bootMillis int64) string {
	address := ""
	if random.IntN(8) > 0 {
		address = fmt.Sprintf("192.0.2.%d:5060", random.IntN(6))
	}
	boot := int64(0)
	if random.IntN(3) == 0 {
		boot = bootMillis + int64(random.IntN(20)*100)
	}
	state := []string{"up", "up", "up", "draining", "removed", "odd"}[random.IntN(6)]
	return endpoint(fmt.Sprintf("s-%d", random.IntN(6)), address, state, boot)
}

// deliverRandomDocuments has a watch take documents that new configurations bring. It returns how many events were
// delivered, and their digest.
func deliverRandomDocuments(t *testing.T, random *rand.Rand, documents int) (delivered int, digest string) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	now := clock.New()
	changes := make(chan endpointlist.AddressChange)
	sum := sha256.New()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		endpointlist.Watch(ctx, endpointlist.Config{
			Changes: changes,
			Clock:   now,
			Log:     zerolog.Nop(),
			Deliver: func(e endpointlist.Event) {
				delivered++
				hashEvent(sum, e)
			},
		})
	}()
	version := 0
	for range documents {
		version = max(0, version+random.IntN(6)-2)
		page, err := endpointlist.ParsePage([]byte(randomDocument(random, version, time.Now().UnixMilli())), now)
		if err != nil && !errors.Is(err, endpointlist.ErrInvalidEndpoint) {
			t.Fatal(err)
		}
		changes <- endpointlist.AddressChange{Known: page}
		time.Sleep(time.Millisecond)
	}
	synctest.Wait()
	stop()
	<-ended
	return delivered, hex.EncodeToString(sum.Sum(nil))
}

// Which events of the documents that new configurations bring count as delivered, and which lines are held back.
func TestCharacterization_DeliveredInOrder(t *testing.T) {
	var digests strings.Builder
	for block := range 10 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(block)))
			delivered, digest := deliverRandomDocuments(t, random, 400)
			fmt.Fprintf(&digests, "told-in-order-%d %d %s\n", block, delivered, digest)
		})
	}
	recorded.Compare(t, "told-in-order.txt", digests.String())
}
