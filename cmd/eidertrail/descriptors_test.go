package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
)

// Idle callers must not take the descriptors that the endpoint list and the pools need: with 64 descriptors and callers
// that fill their part while the list has nothing new, the list still comes, and so do connections to all of its 30
// pools.
func TestProcess_IdleCallersLeaveDescriptorsForPools(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	const pools = 30
	targets, connected := listenAsPools(t, pools)
	filled := make(chan struct{})
	list := daemontest.ServeEndpointList(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "1" {
			<-r.Context().Done()
			return
		}
		select {
		case <-filled:
			_, _ = fmt.Fprintf(w, `{"no":2,"items":[{"no":2,"roster":{"all":true,"targets":[%s]}}]}`,
				strings.Join(targets, ","))
		case <-r.Context().Done():
		}
	})
	configuration := daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1")
	configuration = strings.Replace(configuration, `"sockets":1024`, `"sockets":64`, 1)
	configuration = strings.Replace(configuration, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, list), 1)
	cmd := exec.Command("sh", "-c", "ulimit -n 64 && exec "+program(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+daemontest.WriteFile(t, "config.json", configuration))
	serving, _ := startLogging(t, cmd).awaitServing(t)

	var last *daemontest.Caller
	for range 64 { // each is served; later ones have earlier ones make room
		last = daemontest.Dial(t, gjson.Get(serving, "listen").Str)
		last.Ping("p")
	}
	ended := last.Ended() // the daemon ends idle connections after 8 s: then there is room again
	close(filled)
	seen := map[int]bool{}
	for len(seen) < pools {
		select {
		case n := <-connected:
			seen[n] = true
		case <-ended:
			t.Fatalf("connections to %d of %d pools while the callers were there", len(seen), pools)
		}
	}
}

// listenAsPools listens at so many addresses, and returns them as targets of an endpoint list and the number of the one
// that each new connection is to.
func listenAsPools(t *testing.T, count int) ([]string, <-chan int) {
	t.Helper()
	connected := make(chan int, 1024)
	targets := make([]string, count)
	for n := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				connected <- n
			}
		}()
		targets[n] = fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"pod_group":0,"state":"up"}`, n, listener.Addr())
	}
	return targets, connected
}
