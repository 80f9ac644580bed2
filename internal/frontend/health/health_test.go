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

// statusCase is a status with the agent's line and the HTTP statuses that it gives.
type statusCase struct {
	status      Status
	agentLine   string
	live, ready int
}

func statusCases() map[string]statusCase {
	return map[string]statusCase{
		"serves":       {Status{Live: true, Ready: true}, "up ready 100%\n", 200, 200},
		"overloaded":   {Status{Live: true, Ready: true, RejectionRate: 0.25}, "up ready 75%\n", 200, 200},
		"all rejected": {Status{Live: true, Ready: true, RejectionRate: 1}, "up ready 1%\n", 200, 200}, // 0% would drain it
		"starting":     {Status{Live: true}, "down #not ready\n", 200, 503},
		"stopping":     {Status{Live: true, Draining: true}, "drain #stopping\n", 200, 503},
		"stuck":        {Status{Ready: true}, "down #loop does not turn\n", 503, 503},
	}
}

func TestServeAgent_WritesOneLineAndCloses(t *testing.T) {
	for name, k := range statusCases() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- ServeAgent(listener, func(context.Context) Status { return k.status }) }()
		agent, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		line, err := io.ReadAll(agent)
		if err != nil || string(line) != k.agentLine {
			t.Errorf("%s: %q, %v", name, line, err)
		}
		agent.Close()
		listener.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestHandler_AnswersWithTheStatus(t *testing.T) {
	for name, k := range statusCases() {
		check := func(context.Context) Status { return k.status }
		handler := Handler(check, func() any { return map[string]int{"answered": 7} })
		for path, want := range map[string]int{"/live": k.live, "/ready": k.ready, "/counters": 200, "/other": 404} {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
			if w.Code != want || strings.TrimSpace(w.Body.String()) == "" {
				t.Errorf("%s: %s is %d %q, want %d", name, path, w.Code, w.Body, want)
			}
		}
	}
}
