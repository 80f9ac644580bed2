package health

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Handler serves GET /live and GET /ready, which answer 200, or 503 with the reason; and GET /counters, which answers
// with what counters returns, as JSON.
func Handler(check Check, counters func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", statusHandler(check, Status.liveness))
	mux.HandleFunc("GET /ready", statusHandler(check, Status.readiness))
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		_ = json.NewEncoder(w).Encode(counters()) // a client that has disconnected loses this answer alone
	})
	return mux
}

// statusHandler answers with one side of the status.
func statusHandler(check Check, probe func(Status) (ok bool, reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), checkTimeout)
		defer cancel()
		ok, reason := probe(check(ctx))
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprintln(w, reason) // a client that has disconnected loses this answer alone
	}
}
