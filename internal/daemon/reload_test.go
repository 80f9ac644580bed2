package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"eidertrail/internal/testing/daemontest"
)

// A new configuration under load: the endpoint list is polled at its new address with the versions continued, calls
// on both fronts stay established, and a bad file is named in the log and changes nothing.
func TestReload_AppliesANewConfigurationUnderCalls(t *testing.T) {
	polled := make(chan string, 8)
	lists := make([]string, 2)
	for i := range lists {
		lists[i] = daemontest.ServeEndpointList(t, func(_ int, _ http.ResponseWriter, r *http.Request) {
			polled <- fmt.Sprint(i, " after ", r.URL.Query().Get("after"))
			<-r.Context().Done() // neither address has anything new
		})
	}
	configuration := daemontest.Configuration(anyAddress, answeringPool().Listen(t))
	log := &logBuffer{}
	options := Options{
		Config:      daemontest.WriteFile(t, "config.json", withEndpointList(configuration, lists[0])),
		CallControl: daemontest.WriteFile(t, "callcontrol.toml", "listen = \"127.0.0.1:0\"\n"),
	}
	daemon, err := Start(context.Background(), options, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	if got := <-polled; got != "0 after 1" {
		t.Errorf("polled %s", got)
	}
	caller := daemontest.Dial(t, daemon.listener.Addr().String())
	caller.Setup("00000000000000c1")
	if m := caller.Next(); m.Type != "answer" {
		t.Errorf("%+v", m)
	}
	socket := dialWebSocket(t, daemon)
	sendText(t, socket, `{"type":"setup","id":"w1","class":"voice","left_ms":9000,"sdp":"x"}`)
	if _, text, err := socket.Read(context.Background()); !strings.Contains(string(text), `"answer"`) {
		t.Errorf("%s, %v", text, err)
	}

	rewrite(t, options.Config, `{"listen":"127.0.0.1:0","settings":{"tick":"soon"}}`)
	signals.Reload <- syscall.SIGHUP
	for !strings.Contains(log.String(), "settings.tick") {
	}
	rewrite(t, options.Config, withEndpointList(configuration, lists[1]))
	signals.Reload <- syscall.SIGHUP
	if got := <-polled; got != "1 after 1" {
		t.Errorf("polled %s, want the new address with the versions continued", got)
	}
	caller.Send(`{"type":"release","id":"00000000000000c1","fields":{},"cause":16}`)
	if m := caller.Next(); m.Type != "released" || m.ID != "00000000000000c1" {
		t.Errorf("a call that was established over the change: %+v", m)
	}
	sendText(t, socket, `{"type":"release","id":"w1","cause":16}`)
	if _, text, err := socket.Read(context.Background()); !strings.Contains(string(text), `"released"`) {
		t.Errorf("%s, %v", text, err)
	}
	terminate(t, signals, ended)
}

func sendText(t *testing.T, socket *websocket.Conn, text string) {
	t.Helper()
	if err := socket.Write(context.Background(), websocket.MessageText, []byte(text)); err != nil {
		t.Error(err)
	}
}

// A key or a variable that the program does not know is named at the start and at each reload: it may ask for a duty
// that nothing holds.
func TestStartAndReload_NameWhatIsNotKnown(t *testing.T) {
	t.Setenv("RELAY_DETACH", "127.0.0.1:9")
	configuration := daemontest.Configuration(anyAddress, nobody)
	log := &logBuffer{}
	options := Options{
		Config: daemontest.WriteFile(t, "config.json", strings.Replace(configuration, `"seed"`, `"detach":"x","seed"`, 1)),
	}
	_, signals, ended := startControlled(t, options, log)
	const variables = `"variables":["RELAY_DETACH"]`
	if text := log.String(); !strings.Contains(text, `"keys":["detach"]`) || strings.Count(text, variables) != 1 {
		t.Errorf("at the start:\n%s", text)
	}
	rewrite(t, options.Config, strings.Replace(configuration, `"seed"`, `"attach":"x","seed"`, 1))
	signals.Reload <- syscall.SIGHUP
	for !strings.Contains(log.String(), "new configuration") {
		time.Sleep(time.Millisecond)
	}
	if text := log.String(); !strings.Contains(text, `"keys":["attach"]`) || strings.Count(text, variables) != 2 {
		t.Errorf("at the reload:\n%s", text)
	}
	terminate(t, signals, ended)
}
