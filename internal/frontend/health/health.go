// Package health tells load balancers how the session controller is: HAProxy's
// agent-check line over TCP, and live and ready over HTTP.
package health

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Status is how the session controller is.
type Status struct {
	Live     bool // its loop turns
	Ready    bool // it can serve
	Draining bool // it is about to end: what it has it finishes
	// RejectionRate is the share of calls that it turned away of late, 0 to 1.
	RejectionRate float64
}

// Check tells the status. It must answer before ctx is done.
type Check func(ctx context.Context) Status

const (
	timeout   = 2 * time.Second // for a check, and for an agent's connection
	mostAgent = 16              // agent connections at a time
)

// AgentLine is the line of HAProxy's agent-check protocol: a state, and a weight that falls with the
// share of calls turned away, so that a pressed controller gets fewer. It never falls to 0, which would
// be a drain.
func (s Status) AgentLine() string {
	switch {
	case !s.Live:
		return "down #loop does not turn\n"
	case s.Draining:
		return "drain #stopping\n"
	case !s.Ready:
		return "down #not ready\n"
	}
	return fmt.Sprintf("up ready %d%%\n", max(1, min(100, int(100*(1-s.RejectionRate)+0.5))))
}

// ServeAgent answers each connection with one line and closes it, until the listener is closed. What an
// agent sends is not read. It returns when every connection has ended.
func ServeAgent(l net.Listener, check Check) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	room := make(chan struct{}, mostAgent)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case room <- struct{}{}:
		default: // more checks at once than any balancer makes
			c.Close()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-room }()
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			line := check(ctx).AgentLine()
			if c.SetDeadline(time.Now().Add(timeout)) == nil {
				c.Write([]byte(line))
			}
		}()
	}
}

// Handler serves GET /live and /ready: 200, or 503 with the reason; and GET /counters: what read gives, as JSON.
func Handler(check Check, read func() any) http.Handler {
	mux := http.NewServeMux()
	serve := func(good func(Status) (bool, string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), timeout)
			defer cancel()
			ok, why := good(check(ctx))
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.Header().Set("Cache-Control", "no-store")
			if !ok {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprintln(w, why)
		}
	}
	mux.HandleFunc("GET /live", serve(func(s Status) (bool, string) {
		if !s.Live {
			return false, "loop does not turn"
		}
		return true, "live"
	}))
	mux.HandleFunc("GET /ready", serve(func(s Status) (bool, string) {
		switch {
		case !s.Live:
			return false, "loop does not turn"
		case s.Draining:
			return false, "stopping"
		case !s.Ready:
			return false, "not ready"
		}
		return true, "ready"
	}))
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		json.NewEncoder(w).Encode(read()) // what the client does not read is its loss
	})
	return mux
}
