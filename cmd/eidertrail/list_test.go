package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	"eidertrail/internal/testing/fakeplatform"
)

// bulletinOf serves a bulletin on loopback: answer is asked with the number of each question, from 0 on.
func bulletinOf(t *testing.T, answer func(question int, w http.ResponseWriter, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	questions := make(chan int, 1)
	questions <- 0
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-questions
		questions <- n + 1
		answer(n, w, r)
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// Guards against an INVITE to a pool that was told as draining, after a bulletin that lags has told it as up once more.
func TestAnOlderListTakesNoDrainBack(t *testing.T) {
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
	from := bulletinOf(t, func(question int, w http.ResponseWriter, r *http.Request) {
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
	cfg := strings.Replace(configuration("127.0.0.1:0", address), `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, from), 1)
	d, err := start(context.Background(), environment{config: write(t, "config.json", cfg)}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	<-told
	c := dial(t, d.listener.Addr().String())
	c.setup("00000000000000c1")
	if m := c.next(); m.Type != "release" || len(invited) > 0 {
		t.Errorf("%+v, %d INVITEs to a pool that drains", m, len(invited))
	}
	stopping(t, s, ended)
}

// Guards against a drain that waits for a look-up that hangs: a new discovery file has the watchers started anew, and
// the pool set's one owner waits for them to end. It guards as well against a stop that waits so.
func TestADrainDoesNotWaitForALookUp(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	file := write(t, "discovery.toml", fmt.Sprintf("server = %q\n[[name]]\nsrv = %q\ngroup = 0\n", server.LocalAddr(), srvName))
	disc, err := config.LoadDiscovery(file)
	if err != nil {
		t.Fatal(err)
	}
	disc.Timeout = time.Hour // whoever waits for it waits for ever

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loaded, err := config.Load(write(t, "config.json", configuration("127.0.0.1:0", "127.0.0.1:1")), clock.New())
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
	src := newSources(now, pools, d, zerolog.Nop(), count, 1)
	src.reloads = make(chan *config.Discovery) // unbuffered: once it is sent, the owner is about it
	go src.run(ctx, disc)
	line := endpointlist.Endpoint{UID: "s-1", Address: "127.0.0.1:1"}
	src.bulletin(ctx, endpointlist.Event{Version: 1, Snapshot: true, Endpoints: []endpointlist.Endpoint{line}})
	if _, _, err := server.ReadFrom(make([]byte, 1500)); err != nil { // the look-up is out, and is never answered
		t.Fatal(err)
	}

	src.reloads <- disc
	line.State = endpointlist.Draining
	src.bulletin(ctx, endpointlist.Event{Version: 2, Endpoints: []endpointlist.Endpoint{line}})
	src.bulletin(ctx, endpointlist.Event{Version: 3}) // the owner is done with the one before
	if _, up := pools.Connected(); up != 0 {
		t.Errorf("%d pools are up, want none", up)
	}
	stop()
	<-src.done
	pools.Wait()
}

// The sum of what holds descriptors against limits.sockets.
func TestCallersLeaveDescriptors(t *testing.T) {
	for _, k := range []struct {
		sockets, listed int
		second          *config.CallControl
		names           int
		callers, pools  int
	}{
		{1024, 24, nil, 0, 512, 500},
		{1024, 200, nil, 0, 512, 500},
		{1024, 400, nil, 0, 341, 671},
		{1024, 24, &config.CallControl{MaxConnections: 256}, 32, 512, 161},
		{256, 24, nil, 0, 128, 116},
		{256, 24, &config.CallControl{MaxConnections: 64}, 0, 85, 44},
		{128, 24, nil, 0, 52, 64},
		{64, 24, nil, 0, 21, 31},
		{32, 24, nil, 0, 10, 10},
	} {
		cfg := &config.Config{Sockets: k.sockets, KnownEndpoints: endpointlist.Page{Events: []endpointlist.Event{{}, {}}}}
		for n := range k.listed {
			cfg.KnownEndpoints.Events[n%2].Endpoints = append(cfg.KnownEndpoints.Events[n%2].Endpoints, endpointlist.Endpoint{UID: fmt.Sprint(n)})
		}
		callers, pools := mostCallers(cfg, k.second, k.names)
		if callers != k.callers || pools != k.pools {
			t.Errorf("%+v: %d callers and room for %d pools", k, callers, pools)
		}
	}
}

// Guards against idle callers taking the descriptors that the list and the pools need: with 64 descriptors and callers
// that fill their part while the bulletin has nothing to tell, the list still comes, and so do connections to all of
// its 30 pools.
func TestIdleCallersLeaveDescriptorsForThePools(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	const pools = 30
	connected := make(chan int, 1024)
	var lines []string
	for n := range pools {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				connected <- n
			}
		}()
		lines = append(lines, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"pod_group":0,"state":"up"}`, n, l.Addr()))
	}
	filled := make(chan struct{})
	from := bulletinOf(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "1" {
			<-r.Context().Done()
			return
		}
		select {
		case <-filled:
			fmt.Fprintf(w, `{"no":2,"items":[{"no":2,"roster":{"all":true,"targets":[%s]}}]}`, strings.Join(lines, ","))
		case <-r.Context().Done():
		}
	})
	cfg := strings.Replace(configuration("127.0.0.1:0", "127.0.0.1:1"), `"sockets":1024`, `"sockets":64`, 1)
	cfg = strings.Replace(cfg, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, from), 1)
	cmd := exec.Command("sh", "-c", "ulimit -n 64 && exec "+build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+write(t, "config.json", cfg))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	log := &logWatch{news: make(chan struct{}, 1)}
	go log.read(stderr)
	serving, _ := log.await(t, 0, func(l string) bool { return strings.Contains(l, `"serving"`) })
	_, rest, _ := strings.Cut(serving, `"listen":"`)
	listen, _, _ := strings.Cut(rest, `"`)
	var last *caller
	for range 64 { // each is served; later ones have earlier ones make room
		last = dial(t, listen)
		fmt.Fprintln(last, `{"type":"ping","id":"p","cause":0}`)
		last.next()
	}
	left := make(chan struct{}) // the daemon ends idle connections after 8 s: then there is room again
	go func() {
		defer close(left)
		io.Copy(io.Discard, last)
	}()
	close(filled)
	seen := map[int]bool{}
	for len(seen) < pools {
		select {
		case n := <-connected:
			seen[n] = true
		case <-left:
			t.Fatalf("connections to %d of %d pools while the callers were there", len(seen), pools)
		}
	}
}
