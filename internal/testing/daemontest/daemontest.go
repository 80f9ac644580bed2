// Package daemontest has what the tests of a daemon share, whether it runs in the test's own process or in another: its
// configuration, callers on the platform's wire, an endpoint list and SRV targets, all on loopback.
package daemontest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"eidertrail/internal/testing/fakeplatform"
)

// SRVName is the SRV name of the tests' pools.
const SRVName = "_sip._tcp.g0.pools.example.org"

// Of the SRV targets.
const (
	targetPriority = 10
	targetWeight   = 10
)

// WriteFile writes a file of that name into a folder of its own, and returns its path.
func WriteFile(tb testing.TB, name, text string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}

// Configuration is that of a daemon with one pool. Its t1 lets attempts wait for two minutes, so that no result depends
// on the speed of the machine.
func Configuration(listen, pool string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[
  {"uid":"s-1","endpoint":%q,"pod_group":0,"state":"up"}]}}]},
 "settings":{"balancers":1,"index":0,"tick":5000000,"extra":{"clear_wait":300000000,"t1":60000000000},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000}]}}`, listen, pool)
}

// ServeEndpointList serves an endpoint list, and returns its address: answer is called with the number of each request,
// from 0 on.
func ServeEndpointList(tb testing.TB, answer func(number int, w http.ResponseWriter, r *http.Request)) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a listener on loopback waits for nothing
	if err != nil {
		tb.Fatal(err)
	}
	next := make(chan int, 1)
	next <- 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		number := <-next
		next <- number + 1
		answer(number, w, r)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// SRVTarget is a target of an SRV record at the address.
func SRVTarget(tb testing.TB, host, address string) fakeplatform.SRVTarget {
	tb.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		tb.Fatal(err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		tb.Fatal(err)
	}
	return fakeplatform.SRVTarget{
		Host:     host,
		Port:     uint16(number),
		Priority: targetPriority,
		Weight:   targetWeight,
		IP:       "127.0.0.1",
		TTL:      1,
	}
}
