package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/config"
	"eidertrail/dispatch"
	"eidertrail/internal/bulletin"
	"eidertrail/internal/clock"
	"eidertrail/internal/standin"
	"eidertrail/internal/stats"
	"eidertrail/pool"
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
	at := &standin.Pool{OnRequest: func(q standin.Request) {
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
	now, count := clock.New(), &stats.Set{}
	d, err := dispatch.New(loaded.Settings, loaded.Seed, loaded.MaxRetryAfter, now, zerolog.Nop(), count)
	if err != nil {
		t.Fatal(err)
	}
	go d.Run(ctx)
	pools := pool.NewSet(ctx, pool.Config{ConnectTimeout: 1_000_000, Clock: now, Log: zerolog.Nop(), Count: count})
	src := newSources(now, pools, d, zerolog.Nop(), count, 1)
	src.reloads = make(chan *config.Discovery) // unbuffered: once it is sent, the owner is about it
	go src.run(ctx, disc)
	line := bulletin.Pool{UID: "s-1", Address: "127.0.0.1:1"}
	src.bulletin(ctx, bulletin.Event{No: 1, All: true, Pools: []bulletin.Pool{line}})
	if _, _, err := server.ReadFrom(make([]byte, 1500)); err != nil { // the look-up is out, and is never answered
		t.Fatal(err)
	}

	src.reloads <- disc
	line.State = bulletin.Draining
	src.bulletin(ctx, bulletin.Event{No: 2, Pools: []bulletin.Pool{line}})
	src.bulletin(ctx, bulletin.Event{No: 3}) // the owner is done with the one before
	if _, up := pools.Connected(); up != 0 {
		t.Errorf("%d pools are up, want none", up)
	}
	stop()
	<-src.done
	pools.Wait()
}
