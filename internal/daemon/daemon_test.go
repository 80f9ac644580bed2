package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// The whole daemon: a call, the counters, what balancers are told, and a planned restart in which what was
// taken before and after SIGTERM is answered.
func TestDaemon_ServesAndStopsInOrder(t *testing.T) {
	held := make(chan fakeplatform.Request, 4)
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			held <- q
		}
	}}
	log := &buffer{}
	d, err := Start(context.Background(), Options{
		Config:      daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", at.Listen(t))),
		CallControl: daemontest.WriteFile(t, "callcontrol.toml", "listen = \"127.0.0.1:0\"\nagent_check = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n"),
	}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	listen, ws, agent, health := d.listener.Addr().String(), d.addresses["listen"], d.addresses["agent_check"], d.addresses["health"]
	s, ended := serving(d)

	c := daemontest.Dial(t, listen)
	for ready := false; !ready; {
		fmt.Fprintln(c, `{"type":"ping","id":"p","cause":0}`)
		ready = c.Next().Cause == 1
	}
	c.Setup("00000000000000c1")
	(<-held).Answer(200, "", "hello\r\n")
	if m := c.Next(); m.Type != "answer" || m.ID != "00000000000000c1" || m.SDP != "hello\r\n" {
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

	s.LogCounters <- syscall.SIGUSR1
	for !strings.Contains(log.String(), `"answered":1`) {
	}
	c.Setup("00000000000000c2")
	q := <-held
	s.Terminate <- syscall.SIGTERM
	for !d.stopping.Load() {
	}
	late := daemontest.Dial(t, listen) // calls may still come
	late.Setup("00000000000000c3")
	q.Answer(200, "", "hello\r\n")
	(<-held).Answer(200, "", "hello\r\n")
	if m := c.Next(); m.Type != "answer" || m.ID != "00000000000000c2" {
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

func TestStart_CallControlIsOffWithoutItsFile(t *testing.T) {
	d, err := Start(context.Background(), Options{Config: daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"))}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if d.sockets != nil || len(d.closers) != 0 {
		t.Error("something else than the platform's front listens")
	}
	d.stop(0)
}

func TestStart_ErrorNamesFileAndField(t *testing.T) {
	good := daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"))
	for _, k := range []struct {
		env  Options
		want string
	}{
		{Options{}, "RELAY_CONFIG"},
		{Options{Config: "/nowhere"}, "RELAY_CONFIG"},
		{Options{Config: daemontest.WriteFile(t, "config.json", strings.Replace(daemontest.Configuration("x", "127.0.0.1:1"), "", "", 1))}, "listen"},
		{Options{Config: good, Listen: "127.0.0.1:99999"}, "listen"},
		{Options{Config: good, CallControl: "/nowhere"}, "callcontrol"},
		{Options{Config: good, CallControl: daemontest.WriteFile(t, "c.toml", "listen = \"127.0.0.1:99999\"")}, "callcontrol: listen"},
	} {
		_, err := Start(context.Background(), k.env, zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), k.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want a line with %s", k.env, err, k.want)
		}
	}
}
