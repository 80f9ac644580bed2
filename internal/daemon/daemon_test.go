package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/internal/lifecycle"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// The whole daemon: a call, the counters, what load balancers are answered, and a planned restart in which what was
// taken before and after SIGTERM is answered.
func TestDaemon_ServesAndStopsInOrder(t *testing.T) {
	held := make(chan fakeplatform.Request, 4)
	pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method == "INVITE" {
			held <- request
		}
	}}
	log := &logBuffer{}
	daemon, err := Start(context.Background(), Options{
		Config: writeConfiguration(t, pool.Listen(t)),
		CallControl: daemontest.WriteFile(t, "callcontrol.toml",
			"listen = \"127.0.0.1:0\"\nagent_check = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n"),
	}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	listen := daemon.listener.Addr().String()
	signals, ended := serve(daemon)

	caller := daemontest.Dial(t, listen)
	caller.AwaitReady()
	caller.Setup("00000000000000c1")
	(<-held).Answer(200, "", "hello\r\n")
	if m := caller.Next(); m.Type != "answer" || m.ID != "00000000000000c1" || m.SDP != "hello\r\n" {
		t.Errorf("%+v", m)
	}
	agent, err := net.Dial("tcp", daemon.addresses["agent_check"])
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	if line, _ := io.ReadAll(agent); string(line) != "up ready 100%\n" {
		t.Errorf("agent-check: %q", line)
	}
	response, err := http.Get("http://" + daemon.addresses["health"] + "/ready")
	if err != nil {
		t.Fatalf("ready: %v", err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("ready: %v", response)
	}
	socket := dialWebSocket(t, daemon)

	signals.LogCounters <- syscall.SIGUSR1
	for !strings.Contains(log.String(), `"answered":1`) {
	}
	caller.Setup("00000000000000c2")
	request := <-held
	signals.Terminate <- syscall.SIGTERM
	for daemon.lifecycle.State() != lifecycle.Stopping {
	}
	late := daemontest.Dial(t, listen) // calls may still come
	late.Setup("00000000000000c3")
	request.Answer(200, "", "hello\r\n")
	(<-held).Answer(200, "", "hello\r\n")
	if m := caller.Next(); m.Type != "answer" || m.ID != "00000000000000c2" {
		t.Errorf("taken before SIGTERM: %+v", m)
	}
	if m := late.Next(); m.Type != "answer" || m.ID != "00000000000000c3" {
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

// dialWebSocket connects to the daemon's WebSocket front until the test ends.
func dialWebSocket(t *testing.T, d *Daemon) *websocket.Conn {
	t.Helper()
	socket, response, err := websocket.Dial(context.Background(), "ws://"+d.addresses["listen"]+"/call-control", nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.Body != nil {
		response.Body.Close()
	}
	t.Cleanup(func() { _ = socket.CloseNow() })
	return socket
}

func TestStart_CallControlIsOffWithoutItsFile(t *testing.T) {
	daemon, err := Start(context.Background(), Options{Config: writeConfiguration(t, nobody)}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if daemon.sockets != nil || len(daemon.closers) != 0 {
		t.Error("something else than the platform's front listens")
	}
	daemon.stop(0)
}

func TestStart_ErrorNamesFileAndField(t *testing.T) {
	good := writeConfiguration(t, nobody)
	badListen := daemontest.WriteFile(t, "config.json", daemontest.Configuration("x", nobody))
	tooMany := daemontest.WriteFile(t, "c.toml", "listen = \"127.0.0.1:0\"\nmax_connections = 257")
	badPort := daemontest.WriteFile(t, "c.toml", "listen = \"127.0.0.1:99999\"")
	for _, test := range []struct {
		options Options
		want    string
	}{
		{Options{}, "RELAY_CONFIG"},
		{Options{Config: "/nowhere"}, "RELAY_CONFIG"},
		{Options{Config: badListen}, "listen"},
		{Options{Config: good, Listen: "127.0.0.1:99999"}, "listen"},
		{Options{Config: good, CallControl: "/nowhere"}, "callcontrol"},
		{Options{Config: good, CallControl: badPort}, "callcontrol: listen"},
		{
			Options{Config: good, CallControl: tooMany},
			"callcontrol: max_connections: want at most a quarter of limits.sockets, 256",
		},
	} {
		_, err := Start(context.Background(), test.options, zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want a line with %s", test.options, err, test.want)
		}
	}
}
