package websocket

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// rig is both fronts over loopback, with one fake pool that answers as onInvite says.
type rig struct {
	t          *testing.T
	server     *Server
	http       *httptest.Server
	platform   string // the address of the platform's front
	pools      *sippool.Pools
	address    string // of the pool
	counters   *telemetry.Counters
	dispatcher *dispatch.Dispatcher

	mu       sync.Mutex
	onInvite func(r fakeplatform.Request)
	received map[string]int // requests at the pool, by method
	arrived  chan string    // methods, as they arrive at the pool
}

// answerAll answers each INVITE with a description of its own.
func answerAll(r fakeplatform.Request) { r.Answer(200, "", "sdp of "+string(r.Body)) }

func newRig(t *testing.T, onInvite func(r fakeplatform.Request)) *rig {
	t.Helper()
	r := &rig{
		t:        t,
		counters: &telemetry.Counters{},
		onInvite: onInvite,
		received: map[string]int{},
		arrived:  make(chan string, 4096),
	}
	now := clock.New()
	r.dispatcher = newDispatcher(t, now, r.counters)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.dispatcher.Run(ctx) })
	r.startPool(ctx, now)
	r.server = New(Config{
		Dispatcher:     r.dispatcher,
		Inviter:        r.pools,
		Ready:          func() bool { return true },
		MaxConnections: 16,
		Log:            zerolog.Nop(),
		Counters:       r.counters,
	})
	r.http = httptest.NewServer(r.server)
	closePlatform := r.startPlatform(now, &running)
	t.Cleanup(func() {
		closePlatform()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		r.server.Shutdown(ended)
		r.http.Close()
		stop()
		running.Wait()
		r.pools.Wait()
	})
	return r
}

func newDispatcher(t *testing.T, now dispatch.Clock, counters *telemetry.Counters) *dispatch.Dispatcher {
	t.Helper()
	dispatcher, err := dispatch.New(eidertrail.Settings{
		Nodes:       1,
		OwnExchange: -1,
		ReleaseWait: 300 * time.Millisecond,
		// Attempts wait for at least twice this: no result depends on how quick the machine is.
		RetransmitInterval: time.Minute,
		Tick:               5 * time.Millisecond,
		Classes: []eidertrail.Class{{
			Name:             "read",
			LatencyObjective: 30 * time.Second,
			Deadline:         60 * time.Second,
			PriorityWeight:   1,
			MeanHoldingTime:  time.Second,
		}},
	}, 1, 2_000_000, now, zerolog.Nop(), counters)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

func (r *rig) startPool(ctx context.Context, now dispatch.Clock) {
	pool := &fakeplatform.Pool{OnRequest: r.onRequest}
	r.address = pool.Listen(r.t)
	r.pools = sippool.New(ctx, sippool.Config{
		Name:               "n0",
		ConnectTimeout:     5_000_000,
		ReportFree:         "idle",
		ReportAgents:       "circuits",
		Clock:              now,
		Log:                zerolog.Nop(),
		Counters:           r.counters,
		OnLoadReport:       r.dispatcher.Observe,
		OnUnmatchedRelease: func(string, int) {},
	})
	r.setPoolState(endpointlist.Up)
}

// onRequest handles a request at the pool.
func (r *rig) onRequest(q fakeplatform.Request) {
	r.mu.Lock()
	r.received[q.Method]++
	onInvite := r.onInvite
	r.mu.Unlock()
	r.arrived <- q.Method
	if q.Method == "INVITE" && onInvite != nil {
		onInvite(q)
	}
}

// startPlatform starts the platform's front. The returned function ends it.
func (r *rig) startPlatform(now dispatch.Clock, running *sync.WaitGroup) (end func()) {
	platform := jsonlines.New(jsonlines.Config{
		Calls: dispatch.NewCallTable(dispatch.CallTableConfig{
			Dispatcher: r.dispatcher,
			Inviter:    r.pools,
			MaxCalls:   1000,
			Counters:   r.counters,
		}),
		Clock:            now,
		MaxConnections:   16,
		Ready:            func() bool { return true },
		ReleaseUnmatched: func(string, int) {},
		Log:              zerolog.Nop(),
		Counters:         r.counters,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.platform = l.Addr().String()
	running.Go(func() { _ = platform.Serve(l) }) // it ends with its listener
	return func() {
		l.Close()
		platform.Close()
	}
}

func (r *rig) setPoolState(state endpointlist.State) {
	event := endpointlist.Event{Endpoints: []endpointlist.Endpoint{{UID: "p1", Address: r.address, State: state}}}
	r.pools.Apply(event, func(endpoints []dispatch.Endpoint) { r.dispatcher.UpdateEndpoints(endpoints, false) })
}

func (r *rig) setOnInvite(onInvite func(r fakeplatform.Request)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onInvite = onInvite
}

// invites is how many INVITEs the pool has received.
func (r *rig) invites() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received["INVITE"]
}

// await waits until the pool receives a request with a method.
func (r *rig) await(method string) {
	for arrived := range r.arrived {
		if arrived == method {
			return
		}
	}
}

// sockets is the number of sockets that the server has.
func (r *rig) sockets() int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return len(r.server.sockets)
}

// client is one WebSocket.
type client struct {
	*websocket.Conn
	t *testing.T
}

// serverMessage is a message from the server.
type serverMessage struct {
	Type, ID, Code, SDP, Message string
	Cause                        int
	RetryAfterMS                 int64 `json:"retry_after_ms"`
	Ready                        bool
}

func (r *rig) dial(site string) *client {
	r.t.Helper()
	options := &websocket.DialOptions{Subprotocols: []string{subprotocol}}
	conn, response, err := websocket.Dial(context.Background(), r.http.URL+"?site="+site, options)
	if err != nil {
		r.t.Fatal(err)
	}
	closeBody(response)
	r.t.Cleanup(func() { _ = conn.CloseNow() })
	return &client{conn, r.t}
}

// dialStatus connects and gives the status of the HTTP answer, and what it says of a retry.
func (r *rig) dialStatus(query string) (status int, retryAfter string) {
	r.t.Helper()
	conn, response, err := websocket.Dial(context.Background(), r.http.URL+query, nil)
	if err == nil {
		_ = conn.CloseNow()
	}
	if response == nil {
		r.t.Fatal(err)
	}
	closeBody(response)
	return response.StatusCode, response.Header.Get("Retry-After")
}

func closeBody(response *http.Response) {
	if response.Body != nil {
		response.Body.Close()
	}
}

func (c *client) say(text string) {
	c.t.Helper()
	if err := c.Write(context.Background(), websocket.MessageText, []byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) next() serverMessage {
	c.t.Helper()
	kind, data, err := c.Read(context.Background())
	if err != nil || kind != websocket.MessageText {
		c.t.Fatalf("read: %v, %v", kind, err)
	}
	var m serverMessage
	if err := json.Unmarshal(data, &m); err != nil {
		c.t.Fatalf("%s: %v", data, err)
	}
	return m
}

// closeStatus is the status with which the server closes the socket; messages before it are skipped.
func (c *client) closeStatus() websocket.StatusCode {
	for {
		if _, _, err := c.Read(context.Background()); err != nil {
			return websocket.CloseStatus(err)
		}
	}
}

// setup is a set-up whose caller waits for so many milliseconds.
func setup(id string, left int) string {
	return fmt.Sprintf(`{"type":"setup","id":%q,"class":"read","number":"hotel-%s","pool":0,"left_ms":%d,"sdp":%q}`,
		id, id, left, id+"\r\n\u00e9\r\n")
}

const ping = `{"type":"ping","id":"x"}`

// rawClient is a WebSocket client that writes the frames of the test.
type rawClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (r *rig) dialRaw() *rawClient {
	r.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.http.URL, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	writeText(conn, "GET /?site=raw HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	closeBody(response)
	if response.StatusCode != http.StatusSwitchingProtocols {
		r.t.Fatalf("handshake: %v", response)
	}
	return &rawClient{conn, r.t, reader}
}

// writeText writes to a connection that the server may have closed: the test reads why.
func writeText(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

// Frame types of RFC 6455, section 5.2, with and without the bit of the last fragment.
const (
	frameText         = 0x01
	frameContinuation = 0x00
	frameFinal        = 0x80
	framePing         = 0x09
	opcodeText        = 1
	opcodeClose       = 8
	opcodePong        = 10
)

// frame writes one masked frame (with a mask of zeros) of up to 125 bytes or up to 64 KiB.
func (w *rawClient) frame(first byte, payload string) {
	b := []byte{first, 0x80 | byte(len(payload))}
	if len(payload) > 125 {
		b = []byte{first, 0x80 | 126, byte(len(payload) >> 8), byte(len(payload))}
	}
	_, _ = w.Write(append(append(b, 0, 0, 0, 0), payload...)) // the server may have closed: the test reads why
}

// next reads one unfragmented frame.
func (w *rawClient) next() (opcode byte, payload string) {
	w.t.Helper()
	head := w.read(2)
	size := int(head[1] & 127)
	if size == 126 {
		long := w.read(2)
		size = int(long[0])<<8 | int(long[1])
	}
	return head[0] & 15, string(w.read(size))
}

func (w *rawClient) read(size int) []byte {
	w.t.Helper()
	b := make([]byte, size)
	if _, err := io.ReadFull(w.reader, b); err != nil {
		w.t.Fatal(err)
	}
	return b
}
