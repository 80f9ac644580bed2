// The tests of this file are characterisation tests: they record what clients of the call-control API send and get over
// WebSocket, byte for byte, every error code with its text, every close code with its reason, what reaches the pools,
// what is logged and what is counted, so that a change of names or shape in the code can be shown to change nothing
// else. The recorded files are in testdata/characterization. On a purposeful change they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/websocket -run TestCharacterization
//
// and the commit has to say why they changed.
package websocket_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// compareRecorded compares a text with the recorded file of that name, or writes the file with EIDERTRAIL_UPDATE=1.
func compareRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "characterization", name)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("the recorded file: %v", err)
	}
	if string(want) != got {
		reportFirstDifference(t, path, strings.SplitAfter(string(want), "\n"), strings.SplitAfter(got, "\n"))
	}
}

// reportFirstDifference fails the test with the first line that differs.
func reportFirstDifference(t *testing.T, path string, want, got []string) {
	t.Helper()
	for i := range max(len(want), len(got)) {
		var recorded, now string
		if i < len(want) {
			recorded = want[i]
		}
		if i < len(got) {
			now = got[i]
		}
		if recorded != now {
			t.Errorf("%s, line %d:\nrecorded %q\nnow      %q", path, i+1, recorded, now)
			return
		}
	}
}

// shown is a text as the recorded files hold it: as it is where that can be read, else quoted; long ones by their
// beginning and digest.
func shown(text string) string {
	const most = 400
	if len(text) > most {
		return fmt.Sprintf("%s... (%d bytes, SHA-256 %x)", shown(text[:60]), len(text), sha256.Sum256([]byte(text)))
	}
	for _, r := range text {
		if r == utf8.RuneError || !strconv.IsPrint(r) {
			return strconv.Quote(text)
		}
	}
	return text
}

// journal is what happens in a scenario, in order; it is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) add(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.text, format+"\n", values...)
}

// scriptedPools is a trunk that ends every attempt as the scenario last said.
type scriptedPools struct {
	*journal
	outcome dispatch.Outcome
	state   dispatch.LoadReport
	sdp     string
	quiet   bool // attempts are not recorded
	legs    []*scriptedLeg
}

// scriptedLeg is a call that stands.
type scriptedLeg struct {
	*journal
	sdp    string
	done   chan struct{}
	ending dispatch.Ending
}

// SDP implements dispatch.Leg.
func (l *scriptedLeg) SDP() string { return l.sdp }

// Done implements dispatch.Leg.
func (l *scriptedLeg) Done() <-chan struct{} { return l.done }

// Ending implements dispatch.Leg.
func (l *scriptedLeg) Ending() dispatch.Ending { return l.ending }

// Release implements dispatch.Leg.
func (l *scriptedLeg) Release(cause int) { l.add("  pool is told: release, cause %d", cause) }

// end has the pool end the call.
func (l *scriptedLeg) end(outcome dispatch.Outcome, cause int) {
	l.ending = dispatch.Ending{Outcome: outcome, Cause: cause, Load: dispatch.UnknownLoad}
	close(l.done)
}

// Invite implements dispatch.Inviter. An attempt that times out stays out until the caller leaves or its time is over.
func (p *scriptedPools) Invite(ctx context.Context, attempt dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	if !p.quiet {
		p.add("  pool %s is told: attempt %d of a call with a name of %d bytes, class %s, number %s, "+
			"times out after %d µs, sdp %s",
			attempt.Pool, attempt.Number, len(attempt.ID), shown(attempt.Class), attempt.Setup.Number,
			attempt.Deadline-attempt.DecidedAt, shown(attempt.SDP))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	end := dispatch.Ending{Outcome: p.outcome, At: attempt.DecidedAt, Load: p.state}
	switch end.Outcome {
	case dispatch.Answered:
		l := &scriptedLeg{journal: p.journal, sdp: p.sdp, done: make(chan struct{})}
		p.legs = append(p.legs, l)
		return l, end
	case dispatch.TimedOut:
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			end.Outcome = dispatch.Cancelled
		case <-time.After(time.Duration(attempt.Deadline-attempt.DecidedAt) * time.Microsecond):
			end.At = attempt.Deadline
		}
		p.mu.Lock()
	}
	return nil, end
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// take is what was written since it was last called.
func (b *lockedBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buffer.String()
	b.buffer.Reset()
	return text
}

// service is a call-control server with its dispatcher, in a bubble of synctest.
type service struct {
	*journal
	t          *testing.T
	server     *websocket.Server
	dispatcher *dispatch.Dispatcher
	listener   *fakeplatform.Listener
	pools      *scriptedPools
	count      *telemetry.Counters
	ready      bool
	log        *lockedBuffer
	began      time.Time
	clients    []*client
}

// maxSockets is how many sockets the servers of these tests take.
const maxSockets = 70

// newService starts a call-control server.
func newService(t *testing.T, j *journal) (s *service, stop func()) {
	t.Helper()
	s = &service{
		journal:  j,
		t:        t,
		listener: fakeplatform.NewListener(),
		count:    &telemetry.Counters{},
		ready:    true,
		log:      &lockedBuffer{},
		began:    time.Now(),
		pools:    &scriptedPools{journal: j, sdp: "v=0\r\ns=-\r\n", state: dispatch.UnknownLoad},
	}
	var err error
	classes := []eidertrail.Class{
		{Name: "read", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
		{
			Name:             "once",
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   1,
			Idempotency:      eidertrail.NotIdempotent,
		},
	}
	settings := eidertrail.Settings{Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, Classes: classes}
	s.dispatcher, err = dispatch.New(settings, 1, 2_000_000, clock.New(), zerolog.Nop(), s.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.dispatcher.Run(ctx)
	s.roster(eidertrail.Ready)
	s.server = websocket.New(websocket.Config{
		Dispatcher: s.dispatcher, Inviter: s.pools, Ready: func() bool { return s.ready },
		MaxConnections: maxSockets, Log: zerolog.New(s.log).Level(zerolog.WarnLevel), Counters: s.count,
	})
	web := &http.Server{Handler: s.server, ErrorLog: log.New(io.Discard, "", 0)}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = web.Serve(s.listener) // it ends when the server is closed
	}()
	return s, func() {
		for _, c := range s.clients {
			c.Close()
		}
		s.server.Shutdown(ctx)
		web.Close()
		<-served
		cancel()
	}
}

// roster lists the pools, all in one mode.
func (s *service) roster(mode eidertrail.Mode) {
	s.dispatcher.UpdateEndpoints(
		[]dispatch.Endpoint{{UID: "a", Group: 0, Mode: mode}, {UID: "b", Group: 1, Mode: mode}},
		false,
	)
	synctest.Wait()
}

// client is one socket of a client, which writes and reads frames as they are on the wire.
type client struct {
	net.Conn
	name string

	mu     sync.Mutex
	got    []byte
	ended  bool
	closed bool // the end was recorded
	paused bool // nothing more is read after what is being read
}

// connect opens a connection and reads it to its end.
func (s *service) connect() *client {
	c := &client{Conn: s.listener.Dial(), name: "client " + strconv.Itoa(len(s.clients)+1)}
	s.clients = append(s.clients, c)
	go c.readAll()
	return c
}

func (c *client) readAll() {
	for b := make([]byte, 4096); ; {
		n, err := c.Read(b)
		c.mu.Lock()
		c.got = append(c.got, b[:n]...)
		c.ended = err != nil
		paused := c.paused
		c.mu.Unlock()
		if err != nil || paused {
			return
		}
	}
}

// pause has the client read no more than what it is about to read.
func (c *client) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = true
}

// upgrade asks for a socket, with these further header lines, and records the answer.
func (s *service) upgrade(c *client, target string, header ...string) {
	s.t.Helper()
	s.add("%s asks for %s %s", c.name, target, strings.Join(header, ", "))
	c.request(target, header...)
	s.answer(c)
	s.observe()
}

// request writes a request. What becomes of it is recorded.
func (c *client) request(target string, header ...string) {
	lines := slices.Concat([]string{"GET " + target + " HTTP/1.1", "Host: controller"}, header, []string{"", ""})
	_, _ = io.WriteString(c, strings.Join(lines, "\r\n"))
	synctest.Wait()
}

// writeFrame writes a frame. The server may have closed the connection: what comes of that is recorded.
func (c *client) writeFrame(first byte, payload string) {
	_, _ = c.Write(frame(first, payload))
}

// upgradeHeader is what a WebSocket client sends.
func upgradeHeader(more ...string) []string {
	return append(
		[]string{
			"Connection: Upgrade",
			"Upgrade: websocket",
			"Sec-WebSocket-Version: 13",
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
		},
		more...,
	)
}

// answer records the answer to a request: status, header without the date, and body. What follows it stays.
func (s *service) answer(asking *client) {
	s.t.Helper()
	asking.mu.Lock()
	defer asking.mu.Unlock()
	reader := bufio.NewReader(bytes.NewReader(asking.got))
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.t.Fatalf("%s: no answer: %v", asking.name, err)
	}
	defer answer.Body.Close()
	s.add("  %s gets: status %d", asking.name, answer.StatusCode)
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		if name != "Date" {
			s.add("    %s: %s", name, strings.Join(answer.Header[name], ", "))
		}
	}
	if answer.StatusCode != http.StatusSwitchingProtocols {
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			s.t.Fatalf("%s: no body: %v", asking.name, err)
		}
		s.add("    body %s", strconv.Quote(string(body)))
	}
	asking.got, _ = io.ReadAll(reader)
}

// open opens a socket of a site and records nothing.
func (s *service) open(site string) *client {
	s.t.Helper()
	c := s.connect()
	s.handshake(c, site)
	return c
}

// handshake asks for a socket of a site.
func (s *service) handshake(c *client, site string) {
	s.t.Helper()
	c.request("/?site="+site, upgradeHeader()...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.HasPrefix(c.got, []byte("HTTP/1.1 101 ")) {
		s.t.Fatalf("%s: no socket: %.40q", c.name, c.got)
	}
	_, c.got, _ = bytes.Cut(c.got, []byte("\r\n\r\n"))
}

// The opcodes of frames, and the bit of a message's last frame (RFC 6455, section 5.2).
const (
	continuation = 0
	text         = 1
	binaryData   = 2
	closing      = 8
	ping         = 9
	pong         = 10
	lastFrame    = 0x80
)

// frame is one frame with a mask of zeros.
func frame(first byte, payload string) []byte {
	b := []byte{first}
	if len(payload) > 125 {
		b = append(b, 0x80|126)
		b = binary.BigEndian.AppendUint16(b, uint16(len(payload)))
	} else {
		b = append(b, 0x80|byte(len(payload)))
	}
	return append(append(b, 0, 0, 0, 0), payload...)
}

// write has a client write a frame.
func (s *service) write(c *client, first byte, payload string) {
	s.add("%s writes, first byte %#02x: %s", c.name, first, shown(payload))
	c.writeFrame(first, payload)
	s.observe()
}

// say has a client write a text message.
func (s *service) say(c *client, message string) {
	s.add("%s writes: %s", c.name, shown(message))
	c.writeFrame(lastFrame|text, message)
	s.observe()
}

// sayQuietly has a client write a text message and records nothing.
func (s *service) sayQuietly(c *client, message string) {
	c.writeFrame(lastFrame|text, message)
	synctest.Wait()
}

// wait lets time pass.
func (s *service) wait(d time.Duration) {
	s.add("%d ms pass", d.Milliseconds())
	time.Sleep(d)
	s.observe()
}

// hangUp has a client close its connection with no close frame.
func (s *service) hangUp(c *client) {
	s.add("%s closes its connection", c.name)
	c.Close()
	synctest.Wait()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	s.observe()
}

// observe records what has happened: what was logged, and what the clients got.
func (s *service) observe() {
	synctest.Wait()
	for line := range strings.Lines(s.log.take()) {
		s.add("  logged: %s", shown(strings.TrimSuffix(line, "\n")))
	}
	for _, c := range s.clients {
		frames, ended := c.take()
		for _, f := range frames {
			s.add("  %s gets %s", c.name, f)
		}
		if ended {
			s.add("  %s is closed, %d µs after the start", c.name, time.Since(s.began).Microseconds())
		}
	}
}

// take is the frames that have come since it was last called, and whether the connection has ended just now.
func (c *client) take() (frames []string, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.got) > 0 {
		f, size := readFrame(c.got)
		frames = append(frames, f)
		c.got = c.got[size:]
	}
	ended = c.ended && !c.closed
	c.closed = c.closed || c.ended
	return frames, ended
}

// readFrame reads the frame at the beginning of b as the recorded files tell it, and how long it is.
func readFrame(b []byte) (frame string, size int) {
	if len(b) < 2 {
		return fmt.Sprintf("a part of a frame: %x", b), len(b)
	}
	head, n := 2, int(b[1])
	if n == 126 && len(b) >= 4 {
		head, n = 4, int(binary.BigEndian.Uint16(b[2:]))
	}
	if n >= 127 && head == 2 || len(b) < head+n {
		return fmt.Sprintf("a part of a frame: %x", b), len(b)
	}
	payload := string(b[head : head+n])
	switch b[0] {
	case lastFrame | text:
		frame = "message: " + shown(payload)
	case lastFrame | closing:
		frame = "close without a code"
		if n >= 2 {
			frame = fmt.Sprintf("close: %d %s", binary.BigEndian.Uint16(b[head:]), strconv.Quote(payload[2:]))
		}
	case lastFrame | ping:
		frame = "ping"
	case lastFrame | pong:
		frame = "pong: " + shown(payload)
	default:
		frame = fmt.Sprintf("frame, first byte %#02x: %s", b[0], shown(payload))
	}
	return frame, head + n
}

// counted records the counters that are not zero, in the order of their names.
func (s *service) counted() {
	counters := s.count.Snapshot().Counters
	var all []string
	for name, value := range counters {
		if value != 0 {
			all = append(all, fmt.Sprintf("%s %d", name, value))
		}
	}
	slices.Sort(all)
	s.add(
		"  counted: %s; open %d, standing %d",
		strings.Join(all, ", "),
		s.server.PendingSetups(),
		s.server.EstablishedCalls(),
	)
}

// scenario is a sequence of steps on a server of its own.
type scenario struct {
	name  string
	steps func(s *service)
}

// play plays scenarios one by one and compares what happened with the recorded file.
func play(t *testing.T, file string, scenarios []scenario) {
	t.Helper()
	recording := &journal{}
	for _, one := range scenarios {
		recording.add("== %s", one.name)
		synctest.Test(t, func(t *testing.T) {
			s, stop := newService(t, recording)
			one.steps(s)
			s.counted()
			held := recording.text.String()
			stop()
			recording.text.Reset() // what the end of the test does is no part of the scenario
			recording.text.WriteString(held)
		})
	}
	compareRecorded(t, file, recording.text.String())
}

const (
	setup   = `{"type":"setup","id":"c1","class":"read","number":"7f3a","pool":0,"left_ms":1500,"sdp":"v=0\r\n"}`
	cancel  = `{"type":"cancel","id":"c1"}`
	release = `{"type":"release","id":"c1","cause":31}`
	status  = `{"type":"ping","id":"x"}`
)

// setupOf is the set-up of the call with that id.
func setupOf(id string) string { return strings.Replace(setup, `"c1"`, strconv.Quote(id), 1) }

// oneMessage are scenarios in which a client of its own writes one message each.
func oneMessage(messages []string) []scenario {
	all := make([]scenario, len(messages))
	for i, message := range messages {
		all[i] = scenario{fmt.Sprintf("message %d", i+1), func(s *service) { s.say(s.open("a"), message) }}
	}
	return all
}

// setupsWith are set-ups in which a text is replaced, by the prefix and one value each.
func setupsWith(text, prefix string, values ...string) []string {
	setups := make([]string, len(values))
	for i, value := range values {
		setups[i] = strings.Replace(setup, text, prefix+value, 1)
	}
	return setups
}

// releasesWith are releases with one cause each.
func releasesWith(causes ...string) []string {
	releases := make([]string, len(causes))
	for i, cause := range causes {
		releases[i] = `{"type":"release","id":"c1","cause":` + cause + `}`
	}
	return releases
}

func TestCharacterization_SetUps(t *testing.T) {
	messages := slices.Concat([]string{
		setup, strings.Replace(setup, `"number":"7f3a",`, ``, 1), strings.Replace(setup, `"pool":0,`, ``, 1),
		strings.Replace(setup, `"class":"read",`, ``, 1), strings.Replace(setup, `"left_ms":1500,`, ``, 1),
		strings.Replace(setup, `,"sdp":"v=0\r\n"`, ``, 1),
		strings.Replace(setup, `"id":"c1",`, ``, 1),
		strings.Replace(setup, `"type":"setup",`, ``, 1),
	}, setupsWith(`"pool":0`, `"pool":`,
		`1`, `-1`, `7`, `1.5`, `1e9`, `3000000000`, `"1"`, `null`, `true`,
	), setupsWith(`"left_ms":1500`, `"left_ms":`,
		`0`,
		`20`,
		`21`,
		`0.5`,
		`1e9`,
		`1000000001`,
		`-1`,
		`1e400`,
		`"1500"`,
		`null`,
		`true`,
		`{}`,
	), setupsWith(`"read"`, ``,
		`""`, `"fax"`, `"READ"`, `"once"`, `7`, `null`, `["read"]`,
	), setupsWith(`"7f3a"`, ``,
		`""`,
		`"HOTEL-1._+"`,
		`"a b"`,
		`"a\r\nBYE"`,
		`"é"`,
		`7`,
		`null`,
		`"`+strings.Repeat("k", 64)+`"`,
		`"`+strings.Repeat("k", 65)+`"`,
	), setupsWith(`"c1"`, ``,
		`""`,
		`"c 1"`,
		`"é"`,
		`"\u0063\u0031"`,
		`7`,
		`null`,
		`"`+strings.Repeat("i", 64)+`"`,
		`"`+strings.Repeat("i", 65)+`"`,
		`"\"\\\u0000"`,
	), setupsWith(`"v=0\r\n"`, ``,
		`""`,
		`7`,
		`null`,
		`"\u0000\"\\é\ud83d\ude00\ud800"`,
		`"`+strings.Repeat("s", 15<<10)+`"`,
		`"`+strings.Repeat("s", 15<<10+1)+`"`,
	), []string{
		`{"type":"setup","id":7,"class":7,"number":7,"pool":"x","left_ms":"x","sdp":7}`,
		`{"type":"setup","id":"c 1","class":"fax","number":"a b","left_ms":-1}`,
		`{"type":"setup","id":"c1","class":"fax","number":"a b","left_ms":-1}`,
		`{"type":"setup","id":"c1","class":"read","number":"a b","left_ms":-1}`, `{"type":"setup","id":"c1"}`,
	})
	play(t, "set-ups.txt", oneMessage(messages))
}

func TestCharacterization_OtherMessages(t *testing.T) {
	messages := []string{
		status,
		`{"type":"ping"}`,
		`{"type":"ping","id":""}`,
		`{"type":"ping","id":7}`,
		`{"type":"ping","id":"\"\\\u0000\u007f\té\ud83d\ude00"}`,
		`{"type":"ping","id":"` + strings.Repeat("p", 8000) + `"}`,
		"{\"type\":\"ping\",\"id\":\"\xff\"}",
		`{"type":"ping","id":"\ud800"}`,
		cancel,
		`{"type":"cancel"}`,
		`{"type":"cancel","id":7}`,
		`{"type":"cancel","id":""}`,
		`{"type":"cancel","id":"c 1"}`,
		`{"type":"cancel","id":"c1","cause":"x"}`,
		release, `{"type":"release","id":"c1"}`, `{"type":"release"}`, `{"type":"release","id":7}`,
		`{"type":"dance","id":"x"}`,
		`{"type":"dance"}`,
		`{"type":"Setup","id":"x"}`,
		`{"type":"","id":"x"}`,
		`{"type":7,"id":"x"}`,
		`{"type":null,"id":"x"}`,
		`{"id":"x"}`,
		`{}`,
		`[]`,
		`7`,
		`null`,
		`"setup"`,
		``,
		` `,
		`nonsense`,
		setup[:len(setup)-1],
		setup + `x`,
		"\xef\xbb\xbf" + setup,
		" \t\r\n" + setup + "\n",
		`{"type":"ping","type":"dance","id":"x","id":"y"}`, `{"ty\u0070e":"ping","i\u0064":"x"}`,
	}
	causes := releasesWith(`1`, `127`, `0`, `128`, `-1`, `16.5`, `1e9`, `3e9`, `"16"`, `null`)
	all := oneMessage(slices.Concat(messages, causes))
	all = append(all, scenario{"a ping while the program is not ready", func(s *service) {
		s.ready = false
		s.say(s.open("a"), status)
	}})
	play(t, "other-messages.txt", all)
}

func TestCharacterization_Calls(t *testing.T) {
	play(t, "calls.txt", []scenario{
		{"answered, released, released again", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, release)
			s.say(c, release)
			s.say(c, cancel)
			s.say(c, setup) // an id that is not in use any more
		}},
		{"released without a cause on another socket of the site", func(s *service) {
			c, other := s.open("a"), s.open("a")
			s.say(c, setup)
			s.say(other, `{"type":"release","id":"c1"}`)
		}},
		{"cancelled while it stands", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, cancel)
		}},
		{"released by another site", func(s *service) {
			c, other := s.open("a"), s.open("b")
			s.say(c, setup)
			s.say(other, release)
		}},
		{"ended by the pool", func(s *service) {
			c := s.open("a")
			for i, cause := range []int{16, 41, 0} {
				s.say(c, setupOf(fmt.Sprintf("c%d", i)))
				s.add("the pool ends the call with cause %d", cause)
				s.pools.legs[i].end(dispatch.Ended, cause)
				s.observe()
			}
		}},
		{"ended by the pool while the site has no socket", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.hangUp(c)
			s.add("the pool ends the call")
			s.pools.legs[0].end(dispatch.Reset, 41)
			s.observe()
			s.open("b")
			s.open("a")
			s.observe()
		}},
		{"cancelled before the answer", func(s *service) {
			s.pools.outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.say(c, cancel)
			s.wait(2 * time.Second)
			s.say(c, cancel)
		}},
		{"released before the answer", func(s *service) {
			s.pools.outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.say(c, release)
			s.wait(2 * time.Second)
		}},
		{"the socket closes before the answer", func(s *service) {
			s.pools.outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.hangUp(c)
			s.wait(2 * time.Second)
		}},
		{"one id twice", func(s *service) {
			s.pools.outcome = dispatch.TimedOut
			c, other, site := s.open("a"), s.open("a"), s.open("b")
			s.say(c, setup)
			s.say(c, setup)
			s.say(other, setup)
			s.say(site, setup)
		}},
		{"one id twice, the first stands", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, setup)
		}},
		{"answers with descriptions of many kinds", func(s *service) {
			c := s.open("a")
			for i, sdp := range []string{
				"",
				"v=0\r\né\"\\\t\x00\x7f\u2028\U0001f600",
				"\xff\xc3",
				strings.Repeat("s", 12_000),
			} {
				s.pools.sdp = sdp
				s.say(c, setupOf(fmt.Sprintf("c%d", i)))
			}
		}},
	})
}

func TestCharacterization_FinalAnswers(t *testing.T) {
	endings := []struct {
		word    string
		outcome dispatch.Outcome
	}{
		{"no agent", dispatch.NoAgent},
		{"processor full", dispatch.ProcessorFull},
		{"lines busy", dispatch.LinesBusy},
		{"error", dispatch.Errored},
		{"reset", dispatch.Reset},
		{"connect failed", dispatch.ConnectFailed},
		{"moot", dispatch.NotSent},
		{"timed out", dispatch.TimedOut},
	}
	classNames := []string{"read", "once"}
	all := make([]scenario, 0, len(endings)*len(classNames)+1)
	for _, ending := range endings {
		for _, class := range classNames {
			all = append(all, scenario{ending.word + ", class " + class, func(s *service) {
				s.pools.outcome = ending.outcome
				s.say(s.open("a"), strings.Replace(setup, "read", class, 1))
				s.wait(3 * time.Second)
			}})
		}
	}
	all = append(all, scenario{"no pool", func(s *service) {
		s.roster(eidertrail.Removed)
		s.say(s.open("a"), setup)
		s.wait(3 * time.Second)
	}})
	play(t, "final-answers.txt", all)
}

func TestCharacterization_Bounds(t *testing.T) {
	play(t, "bounds.txt", []scenario{
		{"more set-ups than a socket and a site may have", func(s *service) {
			s.pools.outcome, s.pools.quiet = dispatch.TimedOut, true
			for range 2 {
				c := s.open("a")
				for i := range 1024 {
					s.sayQuietly(c, setupOf(fmt.Sprintf("%s-%d", strings.Fields(c.name)[1], i)))
				}
				s.observe()
				s.say(c, setup)
			}
			s.say(s.open("a"), setup)
			s.say(s.open("b"), setup)
		}},
		{"messages that are not accepted", func(s *service) {
			c := s.open("a")
			for range 63 {
				s.sayQuietly(c, cancel)
			}
			c.take()
			s.log.take()
			s.say(c, cancel)
			s.say(c, cancel)
		}},
		{"more sockets than there may be, none has said anything", func(s *service) {
			for range maxSockets {
				s.open("a")
			}
			s.open("a")
			s.observe()
		}},
		{"more sockets than there may be, all have said something", func(s *service) {
			for range maxSockets {
				s.sayQuietly(s.open("a"), status)
			}
			for _, c := range s.clients {
				c.take()
			}
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader()...)
		}},
		{"more sites than there may be", func(s *service) {
			for i := range 64 {
				s.open(fmt.Sprintf("site-%d", i))
			}
			c := s.connect()
			s.upgrade(c, "/?site=one-more", upgradeHeader()...)
		}},
	})
}

func TestCharacterization_Closes(t *testing.T) {
	long := `{"type":"ping","id":"x"` + strings.Repeat(" ", 16<<10-24) + `}`
	play(t, "closes.txt", []scenario{
		{"a binary message", func(s *service) {
			s.write(s.open("a"), lastFrame|binaryData, setup)
			s.wait(499 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4498 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"the longest message", func(s *service) { s.say(s.open("a"), long) }},
		{"one byte more", func(s *service) { s.say(s.open("a"), long+" ") }},
		{"one byte more, in two frames", func(s *service) {
			c := s.open("a")
			s.write(c, text, long[:9000])
			s.write(c, lastFrame|continuation, long[9000:]+" ")
		}},
		{"a message in three frames with a ping between them", func(s *service) {
			c := s.open("a")
			s.write(c, text, setup[:10])
			s.write(c, lastFrame|ping, "beat")
			s.write(c, continuation, setup[10:50])
			s.write(c, lastFrame|continuation, setup[50:])
		}},
		{"an opcode that is not known", func(s *service) { s.write(s.open("a"), lastFrame|3, "x") }},
		{"a continuation of nothing", func(s *service) { s.write(s.open("a"), lastFrame|continuation, "x") }},
		{"the client closes with 1000", func(s *service) { s.write(s.open("a"), lastFrame|closing, "\x03\xe8done") }},
		{"the client closes with 4000", func(s *service) { s.write(s.open("a"), lastFrame|closing, "\x0f\xa0own reason") }},
		{"the client closes without a code", func(s *service) { s.write(s.open("a"), lastFrame|closing, "") }},
		{"the client closes with a code that is none", func(s *service) {
			s.write(s.open("a"), lastFrame|closing, "\x00\x01")
		}},
		{"a client that answers no pings", func(s *service) {
			s.open("a")
			s.wait(19_999 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4_998 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"a client that does not read", func(s *service) {
			c := s.open("a")
			c.pause()
			s.add("%s reads no more and writes 200 pings", c.name)
			for range 200 {
				s.sayQuietly(c, status)
			}
			s.counted()
			time.Sleep(3 * time.Second)
			if _, err := c.Write(frame(lastFrame|text, status)); err != nil {
				s.add("its connection is closed after 3 s")
			}
		}},
		{"a planned stop with nothing open", func(s *service) {
			s.open("a")
			s.add("the server shuts down")
			go s.server.Shutdown(context.Background())
			s.observe()
			s.wait(499 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4498 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"a planned stop, and the client closes too", func(s *service) {
			c := s.open("a")
			s.add("the server shuts down")
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.server.Shutdown(context.Background())
			}()
			s.observe()
			s.write(c, lastFrame|closing, "\x03\xe9shutting down")
			<-ended
		}},
		{"a planned stop with set-ups open", func(running *service) {
			running.pools.outcome = dispatch.TimedOut
			c := running.open("a")
			running.say(c, setup)
			running.add("the server shuts down")
			ctx, giveUp := context.WithCancel(context.Background())
			defer giveUp()
			go running.server.Shutdown(ctx)
			running.observe()
			running.say(c, setupOf("c2"))
			running.say(c, setupOf("c 2"))
			running.say(c, status)
			late := running.connect()
			running.upgrade(late, "/?site=a", upgradeHeader()...)
			running.add("the server may not wait any longer")
			giveUp()
			time.Sleep(10 * time.Millisecond)
			running.observe()
		}},
	})
}

func TestCharacterization_Handshakes(t *testing.T) {
	ask := func(target string, header ...string) scenario {
		return scenario{"asked for " + target + " " + strings.Join(header, ", "), func(s *service) {
			c := s.connect()
			s.upgrade(c, target, header...)
		}}
	}
	longest := strings.Repeat("s", 64)
	play(t, "handshakes.txt", []scenario{
		ask("/", upgradeHeader()...),
		ask("/call-control?site=a", upgradeHeader()...),
		ask("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: callcontrol.v1")...),
		ask("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: other, callcontrol.v1")...),
		ask("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: other")...),
		ask("/?site=a", upgradeHeader("Sec-WebSocket-Extensions: permessage-deflate")...),
		ask("/?site=", upgradeHeader()...),
		ask("/?site=a%20b", upgradeHeader()...),
		ask("/?site="+longest, upgradeHeader()...),
		ask("/?site="+longest+"s", upgradeHeader()...),
		ask("/?site=a", upgradeHeader("Origin: http://controller")...),
		ask("/?site=a", upgradeHeader("Origin: http://elsewhere.example")...),
		ask("/?site=a"),
		ask(
			"/?site=a",
			"Connection: Upgrade",
			"Upgrade: websocket",
			"Sec-WebSocket-Version: 12",
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
		),
		{"an origin that was admitted", func(s *service) {
			s.server.Admit([]string{"*.example"}, maxSockets)
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader("Origin: http://elsewhere.example")...)
		}},
		{"no sockets any more", func(s *service) {
			s.server.Admit(nil, 0)
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader()...)
		}},
	})
}
