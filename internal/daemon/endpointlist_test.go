package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// Guards against an INVITE to a pool that was told as draining, after a bulletin that lags has told it as up once more.
func TestEndpointList_OlderPageDoesNotUndoADrain(t *testing.T) {
	invited := make(chan struct{}, 1)
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			invited <- struct{}{}
			q.Answer(200, "", "hello\r\n")
		}
	}}
	address := at.Listen(t)
	page := func(no int, state string) string {
		return fmt.Sprintf(`{"no":%d,"items":[{"no":%[1]d,"roster":{"targets":[{"uid":"s-1","endpoint":%q,"pod_group":0,"state":%q}]}}]}`, no, address, state)
	}
	told := make(chan struct{})
	from := daemontest.ServeEndpointList(t, func(question int, w http.ResponseWriter, r *http.Request) {
		switch question {
		case 0:
			fmt.Fprint(w, page(2, "draining"))
		case 1:
			fmt.Fprint(w, page(1, "up"))
		case 2: // what came before has been told
			close(told)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	cfg := strings.Replace(daemontest.Configuration("127.0.0.1:0", address), `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, from), 1)
	d, err := Start(context.Background(), Options{Config: daemontest.WriteFile(t, "config.json", cfg)}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	<-told
	c := daemontest.Dial(t, d.listener.Addr().String())
	c.Setup("00000000000000c1")
	if m := c.Next(); m.Type != "release" || len(invited) > 0 {
		t.Errorf("%+v, %d INVITEs to a pool that drains", m, len(invited))
	}
	stopping(t, s, ended)
}

// Guards against a drain that waits for a look-up that hangs: a new discovery file has the watchers started anew, and
// the pool set's one owner waits for them to end. It guards as well against a stop that waits so.
func TestEndpointSources_DrainDoesNotWaitForALookUp(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	file := daemontest.WriteFile(t, "discovery.toml", fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\ngroup = 0\n", server.LocalAddr(), daemontest.SRVName))
	disc, err := config.LoadDiscovery(file)
	if err != nil {
		t.Fatal(err)
	}
	disc.Timeout = time.Hour // whoever waits for it waits for ever

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loaded, err := config.Load(daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1")), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	now, count := clock.New(), &telemetry.Counters{}
	d, err := dispatch.New(loaded.Settings, loaded.Seed, loaded.MaxRetryAfter, now, zerolog.Nop(), count)
	if err != nil {
		t.Fatal(err)
	}
	go d.Run(ctx)
	pools := sippool.New(ctx, sippool.Config{ConnectTimeout: 1_000_000, Clock: now, Log: zerolog.Nop(), Counters: count})
	src := newEndpointSources(sourcesConfig{
		clock: now, pools: pools, dispatcher: d, log: zerolog.Nop(), counters: count, seed: 1,
	})
	src.reloads = make(chan *config.Discovery) // unbuffered: once it is sent, the owner is about it
	go src.run(ctx, disc)
	line := endpointlist.Endpoint{UID: "s-1", Address: "127.0.0.1:1"}
	src.deliver(ctx, endpointlist.Event{Version: 1, Snapshot: true, Endpoints: []endpointlist.Endpoint{line}})
	if _, _, err := server.ReadFrom(make([]byte, 1500)); err != nil { // the look-up is out, and is never answered
		t.Fatal(err)
	}

	src.reloads <- disc
	line.State = endpointlist.Draining
	src.deliver(ctx, endpointlist.Event{Version: 2, Endpoints: []endpointlist.Endpoint{line}})
	src.deliver(ctx, endpointlist.Event{Version: 3}) // the owner is done with the one before
	if _, up := pools.Connected(); up != 0 {
		t.Errorf("%d pools are up, want none", up)
	}
	stop()
	<-src.done
	pools.Wait()
}
