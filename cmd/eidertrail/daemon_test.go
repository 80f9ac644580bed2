package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// buffer is a log that can be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// configuration is that of a daemon with one pool. Its t1 has attempts waited for for two minutes: no
// verdict hangs on how quick the machine is.
func configuration(listen, pool string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[{"uid":"s-1","endpoint":%q,"pod_group":0,"state":"up"}]}}]},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`, listen, pool)
}

func newSignals() signals {
	return signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
}

// serving runs d.serve in the background: the signals it takes, and its end.
func serving(d *daemon) (signals, <-chan error) {
	s, ended := newSignals(), make(chan error, 1)
	go func() { ended <- d.serve(s) }()
	return s, ended
}

// stopping sends SIGTERM and fails t unless the daemon then ends without an error.
func stopping(t *testing.T, s signals, ended <-chan error) {
	t.Helper()
	s.term <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// reloadRefused writes text to path, sends SIGHUP, waits until the log names field, and fails t unless
// the reload is the first one counted as refused.
func reloadRefused(t *testing.T, d *daemon, s signals, log fmt.Stringer, path, text, field string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.hup <- syscall.SIGHUP
	for !strings.Contains(log.String(), field) {
		time.Sleep(10 * time.Millisecond)
	}
	if d.count.Get(telemetry.BadReloads) != 1 {
		t.Errorf("bad reloads %d", d.count.Get(telemetry.BadReloads))
	}
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{c, t, bufio.NewReader(c)}
}

func (c *caller) setup(id string) {
	fmt.Fprintf(c, `{"type":"setup","id":%q,"fields":{"class":"voice","left":"9000","key":"7f"},"sdp":"x"}`+"\n", id)
}

func (c *caller) next() linecodec.Message {
	c.t.Helper()
	text, err := linecodec.ReadLine(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	m, err := linecodec.Parse(text)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

// The whole daemon: a call, the counters, what balancers are told, and a planned restart in which what was
// taken before and after SIGTERM is answered.
func TestServesAndEndsInOrder(t *testing.T) {
	held := make(chan fakeplatform.Request, 4)
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			held <- q
		}
	}}
	log := &buffer{}
	d, err := start(context.Background(), environment{
		config:      write(t, "config.json", configuration("127.0.0.1:0", at.Listen(t))),
		callControl: write(t, "callcontrol.toml", "listen = \"127.0.0.1:0\"\nagent_check = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n"),
	}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	listen, ws, agent, health := d.listener.Addr().String(), d.addresses["listen"], d.addresses["agent_check"], d.addresses["health"]
	s, ended := serving(d)

	c := dial(t, listen)
	for ready := false; !ready; {
		fmt.Fprintln(c, `{"type":"ping","id":"p","cause":0}`)
		ready = c.next().Cause == 1
	}
	c.setup("00000000000000c1")
	(<-held).Answer(200, "", "hello\r\n")
	if m := c.next(); m.Type != "answer" || m.ID != "00000000000000c1" || m.SDP != "hello\r\n" {
		t.Errorf("%+v", m)
	}
	a, err := net.Dial("tcp", agent)
	if err != nil {
		t.Fatal(err)
	}
	if line, _ := io.ReadAll(a); string(line) != "up ready 100%\n" {
		t.Errorf("agent-check: %q", line)
	}
	if r, err := http.Get("http://" + health + "/ready"); err != nil || r.StatusCode != 200 {
		t.Errorf("ready: %v, %v", r, err)
	}
	socket, _, err := websocket.Dial(context.Background(), "ws://"+ws+"/call-control", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.CloseNow()

	s.print <- syscall.SIGUSR1
	for !strings.Contains(log.String(), `"answered":1`) {
	}
	c.setup("00000000000000c2")
	q := <-held
	s.term <- syscall.SIGTERM
	for !d.stopping.Load() {
	}
	late := dial(t, listen) // calls may still come
	late.setup("00000000000000c3")
	q.Answer(200, "", "hello\r\n")
	(<-held).Answer(200, "", "hello\r\n")
	if m := c.next(); m.Type != "answer" || m.ID != "00000000000000c2" {
		t.Errorf("taken before SIGTERM: %+v", m)
	}
	if m := late.next(); m.Type != "answer" || m.ID != "00000000000000c3" {
		t.Errorf("taken after SIGTERM: %+v", m)
	}
	if _, _, err := socket.Read(context.Background()); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("the socket ended with %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	if text := log.String(); !strings.Contains(text, `"answered":3`) || !strings.Contains(text, "stopped") {
		t.Errorf("log:\n%s", text)
	}
}

// A SIGTERM that comes during the start is kept until the daemon serves, a second one changes nothing, and what was half
// read at the first is read to its end and answered.
func TestSIGTERMDuringTheStartAndTwice(t *testing.T) {
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			q.Answer(200, "", "hello\r\n")
		}
	}}
	d, err := start(context.Background(), environment{config: write(t, "config.json", configuration("127.0.0.1:0", at.Listen(t)))}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, d.listener.Addr().String())
	line := `{"type":"setup","id":"00000000000000c1","fields":{"class":"voice","left":"9000","key":"7f"},"sdp":"x"}` + "\n"
	io.WriteString(c, line[:40])
	s := newSignals()
	s.term = make(chan os.Signal, 2) // as in run
	s.term <- syscall.SIGTERM        // before the daemon serves
	s.term <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() { ended <- d.serve(s) }()
	for !d.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(c, line[40:])
	if m := c.next(); m.Type != "answer" || m.ID != "00000000000000c1" {
		t.Errorf("%+v", m)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(s.term) != 1 {
		t.Error("the second SIGTERM was taken for something")
	}
}

func TestSecondFrontIsOffWithoutItsFlag(t *testing.T) {
	d, err := start(context.Background(), environment{config: write(t, "config.json", configuration("127.0.0.1:0", "127.0.0.1:1"))}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if d.sockets != nil || len(d.closers) != 0 {
		t.Error("something else than the platform's front listens")
	}
	d.stop(0)
}

func TestBadConfigurationIsNamed(t *testing.T) {
	good := write(t, "config.json", configuration("127.0.0.1:0", "127.0.0.1:1"))
	for _, k := range []struct {
		env  environment
		want string
	}{
		{environment{}, "RELAY_CONFIG"},
		{environment{config: "/nowhere"}, "RELAY_CONFIG"},
		{environment{config: write(t, "config.json", strings.Replace(configuration("x", "127.0.0.1:1"), "", "", 1))}, "listen"},
		{environment{config: good, listen: "127.0.0.1:99999"}, "listen"},
		{environment{config: good, callControl: "/nowhere"}, "callcontrol"},
		{environment{config: good, callControl: write(t, "c.toml", "listen = \"127.0.0.1:99999\"")}, "callcontrol: listen"},
	} {
		_, err := start(context.Background(), k.env, zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), k.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want a line with %s", k.env, err, k.want)
		}
	}
}

// A new configuration under load: the bulletin is asked at its new address with the numbers continued, calls
// on both fronts stand on, and a file that makes no sense is named and changes nothing. Without a handler
// SIGHUP ended the daemon.
func TestNewConfigurationIsTaken(t *testing.T) {
	pool := &fakeplatform.Pool{}
	pool.OnRequest = func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			q.Answer(200, "", "hello\r\n")
		}
	}
	asked := make(chan string, 8)
	bulletins := make([]string, 2)
	for i := range bulletins {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			asked <- fmt.Sprint(i, " after ", r.URL.Query().Get("after"))
			<-r.Context().Done() // the old address tells nothing more, and neither does the new one
		})}
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		bulletins[i] = l.Addr().String()
	}
	at := pool.Listen(t)
	withBulletin := func(address string) string {
		return strings.Replace(configuration("127.0.0.1:0", at), `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, address), 1)
	}
	log := &buffer{}
	env := environment{
		config:      write(t, "config.json", withBulletin(bulletins[0])),
		callControl: write(t, "callcontrol.toml", "listen = \"127.0.0.1:0\"\n"),
	}
	d, err := start(context.Background(), env, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	if got := <-asked; got != "0 after 1" {
		t.Errorf("asked %s", got)
	}
	c := dial(t, d.listener.Addr().String())
	c.setup("00000000000000c1")
	if m := c.next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	socket, _, err := websocket.Dial(context.Background(), "ws://"+d.addresses["listen"]+"/call-control", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.CloseNow()
	socket.Write(context.Background(), websocket.MessageText, []byte(`{"type":"setup","id":"w1","class":"voice","left_ms":9000,"sdp":"x"}`))
	if _, text, err := socket.Read(context.Background()); !strings.Contains(string(text), `"answer"`) {
		t.Errorf("%s, %v", text, err)
	}

	if err := os.WriteFile(env.config, []byte(`{"listen":"127.0.0.1:0","settings":{"tick":"soon"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.hup <- syscall.SIGHUP
	for !strings.Contains(log.String(), "settings.tick") {
	}
	if err := os.WriteFile(env.config, []byte(withBulletin(bulletins[1])), 0o600); err != nil {
		t.Fatal(err)
	}
	s.hup <- syscall.SIGHUP
	if got := <-asked; got != "1 after 1" {
		t.Errorf("asked %s, want the new address with the numbers continued", got)
	}
	fmt.Fprintln(c, `{"type":"release","id":"00000000000000c1","fields":{},"cause":16}`)
	if m := c.next(); m.Type != "released" || m.ID != "00000000000000c1" {
		t.Errorf("a call that stood over the change: %+v", m)
	}
	socket.Write(context.Background(), websocket.MessageText, []byte(`{"type":"release","id":"w1","cause":16}`))
	if _, text, err := socket.Read(context.Background()); !strings.Contains(string(text), `"released"`) {
		t.Errorf("%s, %v", text, err)
	}
	stopping(t, s, ended)
}

// Guards against a planned stop that outlasts SIGKILL on a site whose classes give up sooner than 3 s: the
// last answer is due before the longest deadline (counted as 3 s at most) plus 0.7 s.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	for _, k := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{
		{[]time.Duration{6 * time.Second, 15 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{9 * time.Second, 9 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{1500 * time.Millisecond, 800 * time.Millisecond}, 1800 * time.Millisecond},
		{[]time.Duration{100 * time.Millisecond}, stayOpen},
	} {
		var classes []eidertrail.Class
		for _, d := range k.deadlines {
			classes = append(classes, eidertrail.Class{Deadline: d})
		}
		if got := drainWithin(classes); got != k.want {
			t.Errorf("deadlines %v: %v, want %v", k.deadlines, got, k.want)
		}
	}
}
