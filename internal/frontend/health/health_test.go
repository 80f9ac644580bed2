package health

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

var states = map[string]struct {
	s           Status
	agent       string
	live, ready int
}{
	"serves":      {Status{Live: true, Ready: true}, "up ready 100%\n", 200, 200},
	"pressed":     {Status{Live: true, Ready: true, RejectionRate: 0.25}, "up ready 75%\n", 200, 200},
	"all refused": {Status{Live: true, Ready: true, RejectionRate: 1}, "up ready 1%\n", 200, 200}, // 0% would be a drain
	"starting":    {Status{Live: true}, "down #not ready\n", 200, 503},
	"stopping":    {Status{Live: true, Draining: true}, "drain #stopping\n", 200, 503},
	"stuck":       {Status{Ready: true}, "down #loop does not turn\n", 503, 503},
}

func TestAgentCheck(t *testing.T) {
	for name, k := range states {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- ServeAgent(l, func(context.Context) Status { return k.s }) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		line, err := io.ReadAll(c) // one line, and the end
		if err != nil || string(line) != k.agent {
			t.Errorf("%s: %q, %v", name, line, err)
		}
		c.Close()
		l.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestHTTP(t *testing.T) {
	for name, k := range states {
		h := Handler(func(context.Context) Status { return k.s }, func() any { return map[string]int{"answered": 7} })
		for path, want := range map[string]int{"/live": k.live, "/ready": k.ready, "/counters": 200, "/other": 404} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			if w.Code != want || strings.TrimSpace(w.Body.String()) == "" {
				t.Errorf("%s: %s is %d %q, want %d", name, path, w.Code, w.Body, want)
			}
		}
	}
}
