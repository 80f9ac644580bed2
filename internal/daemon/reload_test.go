package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// A new configuration under load: the bulletin is asked at its new address with the numbers continued, calls
// on both fronts stand on, and a file that makes no sense is named and changes nothing. Without a handler
// SIGHUP ended the daemon.
func TestReload_TakesOverANewConfigurationUnderCalls(t *testing.T) {
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
		return strings.Replace(daemontest.Configuration("127.0.0.1:0", at), `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, address), 1)
	}
	log := &buffer{}
	env := Options{
		Config:      daemontest.WriteFile(t, "config.json", withBulletin(bulletins[0])),
		CallControl: daemontest.WriteFile(t, "callcontrol.toml", "listen = \"127.0.0.1:0\"\n"),
	}
	d, err := Start(context.Background(), env, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	if got := <-asked; got != "0 after 1" {
		t.Errorf("asked %s", got)
	}
	c := daemontest.Dial(t, d.listener.Addr().String())
	c.Setup("00000000000000c1")
	if m := c.Next(); m.Type != "answer" {
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

	if err := os.WriteFile(env.Config, []byte(`{"listen":"127.0.0.1:0","settings":{"tick":"soon"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Reload <- syscall.SIGHUP
	for !strings.Contains(log.String(), "settings.tick") {
	}
	if err := os.WriteFile(env.Config, []byte(withBulletin(bulletins[1])), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Reload <- syscall.SIGHUP
	if got := <-asked; got != "1 after 1" {
		t.Errorf("asked %s, want the new address with the numbers continued", got)
	}
	fmt.Fprintln(c, `{"type":"release","id":"00000000000000c1","fields":{},"cause":16}`)
	if m := c.Next(); m.Type != "released" || m.ID != "00000000000000c1" {
		t.Errorf("a call that stood over the change: %+v", m)
	}
	socket.Write(context.Background(), websocket.MessageText, []byte(`{"type":"release","id":"w1","cause":16}`))
	if _, text, err := socket.Read(context.Background()); !strings.Contains(string(text), `"released"`) {
		t.Errorf("%s, %v", text, err)
	}
	stopping(t, s, ended)
}
