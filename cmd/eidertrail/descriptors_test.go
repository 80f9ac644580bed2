package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"eidertrail/internal/testing/daemontest"
)

// Guards against idle callers taking the descriptors that the list and the pools need: with 64 descriptors and callers
// that fill their part while the bulletin has nothing to tell, the list still comes, and so do connections to all of
// its 30 pools.
func TestProcess_IdleCallersLeaveDescriptorsForPools(t *testing.T) {
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
	from := daemontest.ServeEndpointList(t, func(_ int, w http.ResponseWriter, r *http.Request) {
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
	cfg := strings.Replace(daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1"), `"sockets":1024`, `"sockets":64`, 1)
	cfg = strings.Replace(cfg, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, from), 1)
	cmd := exec.Command("sh", "-c", "ulimit -n 64 && exec "+build(t))
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+daemontest.WriteFile(t, "config.json", cfg))
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
	var last *daemontest.Caller
	for range 64 { // each is served; later ones have earlier ones make room
		last = daemontest.Dial(t, listen)
		fmt.Fprintln(last, `{"type":"ping","id":"p","cause":0}`)
		last.Next()
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
