package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// A pool that is draining gets no INVITE although an endpoint list that lags lists it as up once more.
func TestEndpointList_OlderPageDoesNotUndoADrain(t *testing.T) {
	invited := make(chan struct{}, 1)
	pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method == "INVITE" {
			invited <- struct{}{}
			request.Answer(200, "", "hello\r\n")
		}
	}}
	address := pool.Listen(t)
	page := func(version int, state string) string {
		target := fmt.Sprintf(`{"uid":"s-1","endpoint":%q,"pod_group":0,"state":%q}`, address, state)
		return fmt.Sprintf(`{"no":%d,"items":[{"no":%[1]d,"roster":{"targets":[%s]}}]}`, version, target)
	}
	applied := make(chan struct{})
	list := daemontest.ServeEndpointList(t, func(number int, w http.ResponseWriter, r *http.Request) {
		switch number {
		case 0:
			_, _ = fmt.Fprint(w, page(2, "draining"))
		case 1:
			_, _ = fmt.Fprint(w, page(1, "up"))
		case 2: // what came before has been applied
			close(applied)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	configuration := withEndpointList(daemontest.Configuration(anyAddress, address), list)
	options := Options{Config: daemontest.WriteFile(t, "config.json", configuration)}
	daemon, err := Start(context.Background(), options, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	<-applied
	caller := daemontest.Dial(t, daemon.listener.Addr().String())
	caller.Setup("00000000000000c1")
	if m := caller.Next(); m.Type != "release" || len(invited) > 0 {
		t.Errorf("%+v, %d INVITEs to a pool that drains", m, len(invited))
	}
	terminate(t, signals, ended)
}

// A drain does not wait for a look-up that hangs although a new discovery file has the watchers started again, and the
// endpoint set's one owner waits for them to end. Neither does a stop.
func TestEndpointSources_DrainDoesNotWaitForALookUp(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	discovery, err := config.ParseDiscovery(
		fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\ngroup = 0\n", server.LocalAddr(), daemontest.SRVName))
	if err != nil {
		t.Fatal(err)
	}
	discovery.Timeout = time.Hour // whoever waits for it waits for ever

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loaded, err := config.Load(writeConfiguration(t, nobody), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	now, counters := clock.New(), &telemetry.Counters{}
	dispatcher, err := dispatch.New(loaded.Settings, loaded.Seed, loaded.MaxRetryAfter, now, zerolog.Nop(), counters)
	if err != nil {
		t.Fatal(err)
	}
	go dispatcher.Run(ctx)
	pools := sippool.New(ctx, sippool.Config{
		ConnectTimeout: 1_000_000, Clock: now, Log: zerolog.Nop(), Counters: counters,
	})
	sources := newEndpointSources(sourcesConfig{
		clock: now, pools: pools, dispatcher: dispatcher, log: zerolog.Nop(), counters: counters, seed: 1,
	})
	sources.reloads = make(chan *config.Discovery) // unbuffered: once it is sent, the owner is about it
	go sources.run(ctx, discovery)
	endpoint := endpointlist.Endpoint{UID: "s-1", Address: "127.0.0.1:1"}
	sources.deliver(ctx, endpointlist.Event{Version: 1, Snapshot: true, Endpoints: []endpointlist.Endpoint{endpoint}})
	if _, _, err := server.ReadFrom(make([]byte, 1500)); err != nil { // the look-up is out, and is never answered
		t.Fatal(err)
	}

	sources.reloads <- discovery
	endpoint.State = endpointlist.Draining
	sources.deliver(ctx, endpointlist.Event{Version: 2, Endpoints: []endpointlist.Endpoint{endpoint}})
	sources.deliver(ctx, endpointlist.Event{Version: 3}) // the owner is done with the one before
	if _, up := pools.Connected(); up != 0 {
		t.Errorf("%d pools are up, want none", up)
	}
	stop()
	<-sources.done
	pools.Wait()
}
