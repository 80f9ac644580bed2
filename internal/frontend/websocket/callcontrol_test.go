package websocket

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// rig is the whole of both fronts over loopback, with one stand-in pool that answers as onInvite says.
type rig struct {
	t       *testing.T
	server  *Server
	http    *httptest.Server
	jsonl   string // where the platform's front listens
	pools   *sippool.Pools
	address string // of the pool
	count   *telemetry.Counters
	d       *dispatch.Dispatcher

	mu       sync.Mutex
	onInvite func(r fakeplatform.Request)
	got      map[string]int // requests at the pool, by method
	arrived  chan string    // methods, as they arrive at the pool
}

// answerAll answers each INVITE with a description of its own.
func answerAll(r fakeplatform.Request) { r.Answer(200, "", "sdp of "+string(r.Body)) }

func newRig(t *testing.T, onInvite func(r fakeplatform.Request)) *rig {
	r := &rig{t: t, count: &telemetry.Counters{}, onInvite: onInvite, got: map[string]int{}, arrived: make(chan string, 4096)}
	now := clock.New()
	var err error
	r.d, err = dispatch.New(eidertrail.Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond,
		RetransmitInterval: time.Minute, // attempts wait for at least twice this: no verdict hangs on how quick the machine is
		Tick:               5 * time.Millisecond,
		Classes:            []eidertrail.Class{{Name: "read", LatencyObjective: 30 * time.Second, Deadline: 60 * time.Second, PriorityWeight: 1, MeanHoldingTime: time.Second}},
	}, 1, 2_000_000, now, zerolog.Nop(), r.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { r.d.Run(ctx) })
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		r.mu.Lock()
		r.got[q.Method]++
		answer := r.onInvite
		r.mu.Unlock()
		r.arrived <- q.Method
		if q.Method == "INVITE" && answer != nil {
			answer(q)
		}
	}}
	r.address = at.Listen(t)
	r.pools = sippool.New(ctx, sippool.Config{
		Name: "n0", ConnectTimeout: 5_000_000, ReportFree: "idle", ReportAgents: "circuits",
		Clock: now, Log: zerolog.Nop(), Counters: r.count, OnLoadReport: r.d.Observe, OnUnmatchedRelease: func(string, int) {},
	})
	r.list(endpointlist.Up)

	r.server = New(Config{
		Dispatcher: r.d, Inviter: r.pools, Ready: func() bool { return true }, MaxConnections: 16,
		Log: zerolog.Nop(), Counters: r.count,
	})
	r.http = httptest.NewServer(r.server)
	platform := jsonlines.New(jsonlines.Config{
		Calls: dispatch.NewCallTable(dispatch.CallTableConfig{Dispatcher: r.d, Inviter: r.pools, MaxCalls: 1000, Counters: r.count}),
		Clock: now, MaxConnections: 16, Ready: func() bool { return true }, ReleaseUnmatched: func(string, int) {},
		Log: zerolog.Nop(), Counters: r.count,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.jsonl = l.Addr().String()
	loop.Go(func() { platform.Serve(l) })
	t.Cleanup(func() {
		l.Close()
		platform.Close()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		r.server.Shutdown(ended)
		r.http.Close()
		stop()
		loop.Wait()
		r.pools.Wait()
	})
	return r
}

func (r *rig) list(state endpointlist.State) {
	r.pools.Apply(endpointlist.Event{Endpoints: []endpointlist.Endpoint{{UID: "p1", Address: r.address, State: state}}},
		func(l []dispatch.Endpoint) { r.d.UpdateEndpoints(l, false) })
}

func (r *rig) seen(method string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got[method]
}

// await waits until the pool has got such a request.
func (r *rig) await(method string) {
	for m := range r.arrived {
		if m == method {
			return
		}
	}
}

// Guards against the end of a call being lost with the socket in whose queue it was: another one of the site
// is told.
func TestUnwrittenEndsAreToldElsewhere(t *testing.T) {
	r := newRig(t, answerAll)
	other := r.dial("a")
	other.say(`{"type":"ping","id":"x"}`)
	other.next()
	r.server.mu.Lock()
	gone := &conn{server: r.server, desk: r.server.sites["a"], queue: make(chan line, 4), end: make(chan struct{})}
	r.server.mu.Unlock()
	gone.send(pong("y", true))
	gone.CallEnded("c1", 16)
	gone.unwritten()
	if m := other.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 16 {
		t.Errorf("told %+v", m)
	}
}

// client is one WebSocket.
type client struct {
	*websocket.Conn
	t *testing.T
}

// told is a message from the server.
type told struct {
	Type, ID, Code, SDP, Message string
	Cause                        int
	RetryAfterMS                 int64 `json:"retry_after_ms"`
	Ready                        bool
}

func (r *rig) dial(site string) *client {
	r.t.Helper()
	c, _, err := websocket.Dial(context.Background(), r.http.URL+"?site="+site, &websocket.DialOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.CloseNow() })
	return &client{c, r.t}
}

func (c *client) say(text string) {
	c.t.Helper()
	if err := c.Write(context.Background(), websocket.MessageText, []byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) next() told {
	c.t.Helper()
	kind, data, err := c.Read(context.Background())
	if err != nil || kind != websocket.MessageText {
		c.t.Fatalf("read: %v, %v", kind, err)
	}
	var m told
	if err := json.Unmarshal(data, &m); err != nil {
		c.t.Fatalf("%s: %v", data, err)
	}
	return m
}

// closed is the status with which the server closes the socket; messages before it are passed over.
func (c *client) closed() websocket.StatusCode {
	for {
		if _, _, err := c.Read(context.Background()); err != nil {
			return websocket.CloseStatus(err)
		}
	}
}

func setup(id string, left int) string {
	return fmt.Sprintf(`{"type":"setup","id":%q,"class":"read","number":"hotel-%s","pool":0,"left_ms":%d,"sdp":%q}`, id, id, left, id+"\r\n\u00e9\r\n")
}

func TestSetupAnswerRelease(t *testing.T) {
	r := newRig(t, answerAll)
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" || m.ID != "c1" || m.SDP != "sdp of c1\r\né\r\n" {
		t.Fatalf("%+v", m)
	}
	c.say(`{"type":"release","id":"c1","cause":31}`)
	if m := c.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 31 {
		t.Errorf("%+v", m)
	}
	r.await("BYE")
	c.say(`{"type":"ping","id":"x"}`)
	if m := c.next(); m.Type != "pong" || m.ID != "x" || !m.Ready {
		t.Errorf("%+v", m)
	}
}

func TestPoolEndsTheCall(t *testing.T) {
	r := newRig(t, func(q fakeplatform.Request) { answerAll(q); q.Bye(41) })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	if m := c.next(); m.Type != "released" || m.ID != "c1" || m.Cause != 41 {
		t.Errorf("%+v", m)
	}
}

func TestRefusalsAndDeadlinesAreMapped(t *testing.T) {
	r := newRig(t, func(q fakeplatform.Request) { q.Answer(503, "blocked", "") })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "refused" || m.Code != "no_agent" || m.Cause != 34 || m.RetryAfterMS < 1 || m.RetryAfterMS > 2000 {
		t.Errorf("no agent: %+v", m)
	}
	r.mu.Lock()
	r.onInvite = nil // never answers
	r.mu.Unlock()
	c.say(setup("c2", 400))
	if m := c.next(); m.Type != "failed" || m.Code != "timed_out" || m.Cause != 102 || m.RetryAfterMS < 1 {
		t.Errorf("deadline: %+v", m)
	}
	r.list(endpointlist.Removed)
	c.say(setup("c3", 200))
	if m := c.next(); m.Type != "refused" && m.Type != "failed" || m.RetryAfterMS < 1 {
		t.Errorf("no pool: %+v", m)
	}
}

func TestErrorsAreNoFinalAnswers(t *testing.T) {
	r := newRig(t, answerAll)
	c := r.dial("a")
	for _, k := range [][2]string{
		{`nonsense`, "bad_json"},
		{"{\"type\":\"ping\",\"id\":\"\xff\"}", "bad_json"},
		{`[]`, "bad_message"},
		{`{}`, "bad_message"},
		{`{"type":"dance","id":"x"}`, "unknown_type"},
		{`{"type":"release","id":"nobody"}`, "unknown_id"},
		{`{"type":"cancel","id":"nobody"}`, "unknown_id"},
		{`{"type":"release","id":"x","cause":"16"}`, "bad_message"},
		{`{"type":"release","id":"x","cause":1e9}`, "bad_message"},
		{`{"type":"setup","id":7}`, "bad_message"},
		{strings.Replace(setup("c1", 1000), `"c1"`, `"c 1"`, 1), "bad_id"},
		{strings.Replace(setup("c1", 1), `"read"`, `"fax"`, 1), "bad_class"},
		{setup("c1", -1), "bad_left"},
		{strings.Replace(setup("c1", 1), `"left_ms":1`, `"left_ms":"1"`, 1), "bad_left"},
		{strings.Replace(setup("c1", 1), "hotel-c1", "a\\r\\nBYE", 1), "bad_number"},
	} {
		c.say(k[0])
		if m := c.next(); m.Type != "error" || m.Code != k[1] || m.Message == "" {
			t.Errorf("%s: %+v, want %s", k[0], m, k[1])
		}
	}
	c.say(setup("c1", 60000)) // the socket still serves, and the id was never taken
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	if r.seen("INVITE") != 1 {
		t.Errorf("%d INVITEs", r.seen("INVITE"))
	}
}

// Guards against two final answers for one id: the second set-up is an error, and the first still gets its answer.
func TestDuplicateID(t *testing.T) {
	held := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c, other := r.dial("a"), r.dial("a")
	c.say(setup("c1", 60000))
	q := <-held
	other.say(setup("c1", 60000))
	if m := other.next(); m.Type != "error" || m.Code != "duplicate_id" {
		t.Errorf("%+v", m)
	}
	q.Answer(200, "", "x\r\n")
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	// Another site may choose the same name: towards the pools the calls are different.
	site := r.dial("b")
	site.say(setup("c1", 60000))
	if q2 := <-held; q2.CallID == q.CallID || len(q2.CallID) != 16 {
		t.Errorf("Call-IDs %q and %q", q.CallID, q2.CallID)
	}
}

func TestCancelGetsNoAnswer(t *testing.T) {
	held := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	q := <-held
	c.say(`{"type":"cancel","id":"c1"}`)
	r.await("CANCEL")
	q.Answer(200, "", "crosses the cancel\r\n")
	r.await("ACK")
	r.await("BYE") // the agent is not held for nobody
	c.say(`{"type":"ping"}`)
	if m := c.next(); m.Type != "pong" {
		t.Errorf("after the cancel: %+v", m)
	}
}

// A socket that closes mid-call: the set-up's attempt is called off, what stands stands on, and the site's
// next socket may release it and is told its end.
func TestSocketClosesMidCall(t *testing.T) {
	held := make(chan fakeplatform.Request, 4)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	for _, id := range []string{"c1", "c2"} {
		c.say(setup(id, 60000))
		(<-held).Answer(200, "", "x\r\n")
		if m := c.next(); m.Type != "answer" {
			t.Fatalf("%+v", m)
		}
	}
	c.say(setup("c3", 60000))
	<-held
	c.CloseNow()
	r.await("CANCEL")
	if n := r.server.EstablishedCalls(); n != 2 {
		t.Errorf("%d calls stand", n)
	}
	stranger := r.dial("b")
	stranger.say(`{"type":"release","id":"c1"}`)
	if m := stranger.next(); m.Code != "unknown_id" {
		t.Errorf("another site releases it: %+v", m)
	}
	next := r.dial("a")
	next.say(`{"type":"release","id":"c1"}`)
	if m := next.next(); m.Type != "released" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	r.await("BYE")
}

func TestEndIsKeptForTheSitesNextSocket(t *testing.T) {
	held := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	q := <-held
	q.Answer(200, "", "x\r\n")
	c.next()
	c.CloseNow()
	for c.server(r) > 0 { // until the server has seen it
		time.Sleep(time.Millisecond)
	}
	q.Bye(16)
	for r.count.Get(telemetry.ReleasesPending) == 0 {
		time.Sleep(time.Millisecond)
	}
	if m := r.dial("a").next(); m.Type != "released" || m.ID != "c1" || m.Cause != 16 {
		t.Errorf("%+v", m)
	}
}

// server is the number of sockets that the server has.
func (c *client) server(r *rig) int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return len(r.server.conns)
}

// raw is a WebSocket client that writes frames as it is told.
type raw struct {
	net.Conn
	r *bufio.Reader
}

func (r *rig) raw() *raw {
	c, err := net.Dial("tcp", strings.TrimPrefix(r.http.URL, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "GET /?site=raw HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	w := &raw{c, bufio.NewReader(c)}
	answer, err := http.ReadResponse(w.r, nil)
	if err != nil || answer.StatusCode != http.StatusSwitchingProtocols {
		r.t.Fatalf("%v, %v", answer, err)
	}
	return w
}

// frame writes one masked frame (with a mask of zeros) of up to 125 bytes or up to 64 KiB.
func (w *raw) frame(first byte, payload string) {
	b := []byte{first, 0x80 | byte(len(payload))}
	if len(payload) > 125 {
		b = []byte{first, 0x80 | 126, byte(len(payload) >> 8), byte(len(payload))}
	}
	w.Write(append(append(b, 0, 0, 0, 0), payload...))
}

// next reads one unfragmented frame.
func (w *raw) next() (opcode byte, payload string) {
	head := make([]byte, 2)
	if _, err := readFull(w.r, head); err != nil {
		return 0, err.Error()
	}
	n := int(head[1] & 127)
	if n == 126 {
		long := make([]byte, 2)
		readFull(w.r, long)
		n = int(long[0])<<8 | int(long[1])
	}
	b := make([]byte, n)
	readFull(w.r, b)
	return head[0] & 15, string(b)
}

func readFull(r *bufio.Reader, b []byte) (int, error) {
	for n := 0; n < len(b); {
		m, err := r.Read(b[n:])
		if n += m; err != nil {
			return n, err
		}
	}
	return len(b), nil
}

func TestFragmentedMessage(t *testing.T) {
	r := newRig(t, answerAll)
	w := r.raw()
	text := setup("c1", 60000)
	w.frame(0x01, text[:10]) // text, more to come
	w.frame(0x89, "beat")    // a ping between the fragments
	w.frame(0x00, text[10:50])
	w.frame(0x00, "")
	w.frame(0x80, text[50:])
	if op, payload := w.next(); op != 10 || payload != "beat" {
		t.Errorf("pong: %d %q", op, payload)
	}
	if op, payload := w.next(); op != 1 || !strings.Contains(payload, `"answer"`) {
		t.Errorf("answer: %d %q", op, payload)
	}
	if n := r.seen("INVITE"); n != 1 {
		t.Errorf("%d INVITEs", n)
	}
}

func TestOversizedMessages(t *testing.T) {
	r := newRig(t, answerAll)
	long := `{"type":"setup","id":"c1","sdp":"` + strings.Repeat("x", mostMessage)
	w := r.raw()
	w.frame(0x81, long)
	if op, payload := w.next(); op != 8 || payload[:2] != "\x03\xf1" { // close, 1009
		t.Errorf("one frame: %d %q", op, payload)
	}
	w = r.raw()
	w.frame(0x01, long[:9000]) // no frame is too long by itself
	w.frame(0x80, long[9000:])
	if op, payload := w.next(); op != 8 || payload[:2] != "\x03\xf1" {
		t.Errorf("two frames: %d %q", op, payload)
	}
	if n := r.seen("INVITE"); n != 0 {
		t.Errorf("%d INVITEs", n)
	}
}

func TestBinaryMessage(t *testing.T) {
	held := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	<-held
	c.Write(context.Background(), websocket.MessageBinary, []byte(setup("c2", 60000)))
	if s := c.closed(); s != websocket.StatusUnsupportedData {
		t.Errorf("closed with %d", s)
	}
	r.await("CANCEL")
}

// Guards against a client that does not read holding up the loop, or memory: its queue is bounded.
func TestSlowReader(t *testing.T) {
	r := newRig(t, answerAll)
	w := r.raw()
	w.Conn.(*net.TCPConn).SetReadBuffer(4096)
	for i := 0; r.count.Get(telemetry.SlowReaders) == 0; i++ { // pings are answered and the answers never read
		w.SetWriteDeadline(time.Now().Add(time.Second))
		w.frame(0x81, `{"type":"ping","id":"`+strings.Repeat("x", 4000)+`"}`)
	}
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("others: %+v", m)
	}
}

func TestShutdownAnswersFirst(t *testing.T) {
	held := make(chan fakeplatform.Request, 2)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	q := <-held
	done := make(chan struct{})
	go func() {
		r.server.Shutdown(context.Background())
		close(done)
	}()
	for !r.server.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	c.say(setup("c2", 60000))
	if m := c.next(); m.Type != "refused" || m.ID != "c2" || m.Code != "shutting_down" || m.RetryAfterMS < 1 {
		t.Errorf("a set-up in between: %+v", m)
	}
	if _, answer, err := websocket.Dial(context.Background(), r.http.URL, nil); err == nil || answer.StatusCode != 503 || answer.Header.Get("Retry-After") == "" {
		t.Errorf("a socket in between: %v", err)
	}
	q.Answer(200, "", "x\r\n")
	if m := c.next(); m.Type != "answer" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	if s := c.closed(); s != websocket.StatusGoingAway {
		t.Errorf("closed with %d", s)
	}
	<-done
}

func TestShutdownThatMayNotWait(t *testing.T) {
	held := make(chan fakeplatform.Request, 1)
	r := newRig(t, func(q fakeplatform.Request) { held <- q })
	c := r.dial("a")
	c.say(setup("c1", 60000))
	<-held
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	go r.server.Shutdown(ended)
	if m := c.next(); m.Type != "refused" || m.ID != "c1" {
		t.Errorf("%+v", m)
	}
	if s := c.closed(); s != websocket.StatusGoingAway {
		t.Errorf("closed with %d", s)
	}
	r.await("CANCEL")
}

// A pool that drains while calls come: what stands stands on, and later calls go nowhere.
func TestPoolDrains(t *testing.T) {
	r := newRig(t, answerAll)
	c := r.dial("a")
	c.say(setup("c1", 60000))
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	r.list(endpointlist.Draining)
	c.say(setup("c2", 200))
	if m := c.next(); m.ID != "c2" || m.Type == "answer" || m.RetryAfterMS < 1 {
		t.Errorf("%+v", m)
	}
	if r.server.EstablishedCalls() != 1 || r.seen("INVITE") != 1 {
		t.Errorf("%d stand, %d INVITEs", r.server.EstablishedCalls(), r.seen("INVITE"))
	}
}

func TestBadSiteAndTooManySockets(t *testing.T) {
	r := newRig(t, answerAll)
	if _, answer, err := websocket.Dial(context.Background(), r.http.URL+"?site=a%20b", nil); err == nil || answer.StatusCode != 400 {
		t.Errorf("site with a space: %v", err)
	}
	for range 16 {
		c := r.dial("a")
		c.say(`{"type":"ping","id":"x"}`) // one that has spoken makes no room
		c.next()
	}
	if _, answer, err := websocket.Dial(context.Background(), r.http.URL, nil); err == nil || answer.StatusCode != 503 {
		t.Errorf("a 17th socket: %v", err)
	}
}

// TestBothTransports runs the same traffic over both fronts at once, through one dispatcher and pool of
// which every fifth call finds no agent: each call gets exactly one final answer on its own transport,
// and both transports get equal service.
func TestBothTransports(t *testing.T) {
	var mu sync.Mutex
	refused := map[string]bool{}
	r := newRig(t, func(q fakeplatform.Request) {
		mu.Lock()
		n := strings.TrimSuffix(string(q.Body), "\r\né")
		again := refused[n]
		turn := strings.HasSuffix(n, "0") || strings.HasSuffix(n, "5")
		refused[n] = turn
		mu.Unlock()
		if turn && !again {
			q.Answer(486, "", "") // the call's second send stands
			return
		}
		answerAll(q)
	})
	const calls = 60
	type outcome struct{ answers, others map[string]int }
	collect := func(next func() (kind, id string, err error)) outcome {
		o := outcome{map[string]int{}, map[string]int{}}
		for seen := 0; seen < calls+1; { // the calls, and the pong that comes after all of them
			kind, id, err := next()
			if err != nil {
				t.Error(err)
				return o
			}
			switch kind {
			case "answer":
				o.answers[id]++
				seen++
			case "refused", "failed", "release":
				o.others[id]++
				seen++
			case "pong":
				seen++
			}
		}
		return o
	}
	var wg sync.WaitGroup
	var ws, lines outcome
	wg.Go(func() {
		c := r.dial("a")
		wg.Go(func() {
			for i := range calls {
				c.say(setup(fmt.Sprintf("w%d", i), 60000))
			}
			c.say(`{"type":"ping","id":"end"}`)
		})
		ws = collect(func() (string, string, error) { m := c.next(); return m.Type, m.ID, nil })
	})
	wg.Go(func() {
		c, err := net.Dial("tcp", r.jsonl)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		wg.Go(func() {
			for i := range calls {
				fmt.Fprintf(c, `{"type":"setup","id":%[1]q,"fields":{"class":"read","left":"60000","key":"hotel-%[1]s","extras":"dest:0"},"sdp":"%[1]s\r\n\u00e9\r\n"}`+"\n", lineName(i))
			}
			fmt.Fprintf(c, `{"type":"ping","id":"end","cause":0}`+"\n")
		})
		in := bufio.NewReader(c)
		lines = collect(func() (string, string, error) {
			text, err := linecodec.ReadLine(in, nil)
			if err != nil {
				return "", "", err
			}
			m, err := linecodec.Parse(text)
			if err == nil && m.Type == "answer" && m.SDP != "sdp of "+m.ID+"\r\né\r\n" {
				err = errors.New(m.ID + " got " + m.SDP)
			}
			return m.Type, m.ID, err
		})
	})
	wg.Wait()
	for name, o := range map[string]outcome{"w": ws, "j": lines} {
		for i := range calls {
			id := fmt.Sprint(name, i)
			if name == "j" {
				id = lineName(i)
			}
			if o.answers[id]+o.others[id] != 1 {
				t.Errorf("%s: %d answers and %d others", id, o.answers[id], o.others[id])
			}
		}
	}
	if len(ws.answers) != len(lines.answers) || len(ws.answers) != calls {
		t.Errorf("of %d calls, %d stand over WebSocket and %d over JSON lines", calls, len(ws.answers), len(lines.answers))
	}
	if n := r.seen("INVITE"); n < 2*calls || n > 2*2*calls {
		t.Errorf("%d INVITEs for %d calls", n, 2*calls)
	}
}

// Guards against an answer that cannot be read being passed on, or taking the other front's call with it: it ends
// the connection to the pool, what was out on it is sent once more on the next, and both calls stand.
func TestASpoiltAnswerOverBothTransports(t *testing.T) {
	var mu sync.Mutex
	sent := 0
	r := newRig(t, func(q fakeplatform.Request) {
		mu.Lock()
		sent++
		n := sent
		mu.Unlock()
		if n == 3 { // the two before made the pool known
			q.Answer(200, "", "cut off")
			return
		}
		answerAll(q)
	})
	ws := r.dial("a")
	line, err := net.Dial("tcp", r.jsonl)
	if err != nil {
		t.Fatal(err)
	}
	defer line.Close()
	in := bufio.NewReader(line)
	for i := range 4 {
		ws.say(setup(fmt.Sprintf("w%d", i), 60000))
		fmt.Fprintf(line, `{"type":"setup","id":%q,"fields":{"class":"read","left":"60000"},"sdp":"a\r\n"}`+"\n", lineName(i))
		if m := ws.next(); m.Type != "answer" || !strings.HasPrefix(m.SDP, "sdp of ") {
			t.Errorf("over WebSocket call %d got %+v", i, m)
		}
		text, err := linecodec.ReadLine(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if m, err := linecodec.Parse(text); err != nil || m.Type != "answer" || m.SDP != "sdp of a\r\n" {
			t.Errorf("over lines call %d got %s", i, text)
		}
	}
	if n := r.seen("INVITE"); n < 9 || r.pools.EstablishedCalls() != 8 {
		t.Errorf("%d INVITEs, %d calls stand", n, r.pools.EstablishedCalls())
	}
	if !t.Failed() {
		r.await("BYE") // what may stand by the answer that was spoilt stands for nobody
	}
}

// FuzzParse checks that no message makes the reader fail but with an error that has a code, and that what
// it takes can be answered in valid JSON.
func FuzzParse(f *testing.F) {
	f.Add(setup("c1", 1000))
	f.Add(`{"type":"release","id":"c1","cause":16}`)
	f.Add(`{"type":"setup","id":{},"class":[],"left_ms":1e999}`)
	f.Fuzz(func(t *testing.T, text string) {
		m, err := parse([]byte(text))
		var sent []byte
		if err != nil {
			sent = failure(m.id, err, 1)
		} else {
			sent = released(m.id, m.cause)
		}
		if !json.Valid(sent) {
			t.Errorf("%q was answered with %s", text, sent)
		}
	})
}

// lineName is a call's name on the platform's wire.
func lineName(i int) string { return fmt.Sprintf("%016x", i) }

// Guards against clients that open sockets and say nothing shutting sites out, and against one that sends what
// makes no sense again and again. A socket that has spoken never makes room.
func TestSilentSocketsMakeRoomAndBadOnesAreClosed(t *testing.T) {
	r := newRig(t, nil)
	r.server.Admit(nil, 2)
	speaks, silent := r.dial("a"), r.dial("b")
	speaks.say(`{"type":"ping","id":"x"}`)
	speaks.next()
	third := r.dial("c")
	if code := silent.closed(); code != websocket.StatusTryAgainLater {
		t.Errorf("the silent socket ended with %v", code)
	}
	third.say(`{"type":"ping","id":"x"}`)
	third.next()
	if _, answer, err := websocket.Dial(context.Background(), r.http.URL, nil); err == nil || answer.StatusCode != 503 {
		t.Error("taken though all have spoken")
	}
	for range mostStrikes + 1 {
		third.say(`{}`)
	}
	third.closed()
	speaks.say(`{"type":"ping","id":"y"}`)
	speaks.next()
}
