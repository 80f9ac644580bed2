package middleware_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
	"eidertrail/middleware"
)

// site is a chi router with the middleware before a handler, and its dispatcher.
type site struct {
	dispatcher *dispatch.Dispatcher
	router     http.Handler
}

// get asks for a path.
func (s *site) get(ctx context.Context, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody).WithContext(ctx))
	return w
}

func (s *site) setPoolMode(mode eidertrail.Mode) {
	s.dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a", Mode: mode}}, false)
}

// serve runs a test on a site in a bubble of synctest.
func serve(t *testing.T, handler http.HandlerFunc, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		counters := &telemetry.Counters{}
		s := &site{dispatcher: newDispatcher(t, counters)}
		ctx, stop := context.WithCancel(context.Background())
		go s.dispatcher.Run(ctx)
		s.dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "a"}}, false)
		router := chi.NewRouter()
		router.Use(middleware.Admission(middleware.Config{
			Dispatcher: s.dispatcher,
			Counters:   counters,
			Classify:   classify,
		}))
		router.Get("/*", handler)
		s.router = router
		test(s)
		stop()
	})
}

func newDispatcher(t *testing.T, counters *telemetry.Counters) *dispatch.Dispatcher {
	t.Helper()
	dispatcher, err := dispatch.New(eidertrail.Settings{
		Nodes:       1,
		OwnExchange: -1,
		ReleaseWait: 300 * time.Millisecond,
		Classes: []eidertrail.Class{{
			Name:             "read",
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   1,
			MeanHoldingTime:  time.Second,
		}},
	}, 1, 5_000_000, clock.New(), zerolog.Nop(), counters)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

func classify(r *http.Request) (middleware.Call, error) {
	if r.URL.Query().Has("bad") {
		return middleware.Call{}, errors.New("bad: not wanted")
	}
	return middleware.Call{Number: r.URL.Path, Pool: -1, Timeout: time.Second}, nil
}

func TestAdmission_PlacesRequests(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		p := middleware.FromContext(r.Context())
		if _, limited := r.Context().Deadline(); p == nil || p.Pool != "a" || !limited {
			t.Errorf("placement %+v", p)
		}
		if _, err := w.Write([]byte("rooms")); err != nil {
			t.Error(err)
		}
		if http.NewResponseController(w).Flush() != nil {
			t.Error("the writer within is out of reach")
		}
	}
	serve(t, handler, func(s *site) {
		for range 20 {
			if w := s.get(context.Background(), "/hotel"); w.Code != 200 || w.Body.String() != "rooms" {
				t.Fatalf("%d %s", w.Code, w.Body)
			}
		}
		if w := s.get(context.Background(), "/hotel?bad"); w.Code != 400 {
			t.Errorf("what Classify does not accept: %d", w.Code)
		}
	})
}

func TestAdmission_RejectionHasRetryAfter(t *testing.T) {
	handler := func(http.ResponseWriter, *http.Request) { t.Error("served") }
	serve(t, handler, func(s *site) {
		s.setPoolMode(eidertrail.Removed)
		w := s.get(context.Background(), "/hotel")
		retryAfter, err := strconv.Atoi(w.Header().Get("Retry-After"))
		if w.Code != 503 || err != nil || retryAfter < 1 || retryAfter > 5 {
			t.Errorf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
	})
}

// A handler that fails, hangs or panics gives its place back. Without that, the decision module would hold its pool for
// overloaded, by the age of a set-up that nobody works on.
func TestAdmission_PlaceIsGivenBack(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"fails":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"hangs":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"panics": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"reports": func(_ http.ResponseWriter, r *http.Request) {
			middleware.FromContext(r.Context()).Report(dispatch.Reset, dispatch.UnknownLoad)
		},
	} {
		calls := 0
		counting := func(w http.ResponseWriter, r *http.Request) {
			calls++
			handler(w, r)
		}
		serve(t, counting, func(s *site) {
			for range 3 {
				getRecovering(s)
				time.Sleep(time.Minute) // whatever was remembered of the failure is forgotten
			}
		})
		if calls != 3 {
			t.Errorf("%s: %d of 3 requests were admitted", name, calls)
		}
	}
}

// getRecovering asks a handler that may panic.
func getRecovering(s *site) {
	defer func() { _ = recover() }()
	s.get(context.Background(), "/hotel")
}

func TestAdmission_DisconnectedClientGetsNoAnswer(t *testing.T) {
	handler := func(http.ResponseWriter, *http.Request) { t.Error("served") }
	serve(t, handler, func(s *site) {
		s.setPoolMode(eidertrail.Removed)
		ctx, leave := context.WithCancel(context.Background())
		leave()
		if w := s.get(ctx, "/hotel"); w.Body.Len() > 0 || w.Header().Get("Retry-After") != "" {
			t.Errorf("answered %d %s to nobody", w.Code, w.Body)
		}
	})
}

// A request that reached its handler may have run: whatever the handler makes of it, the middleware does not tell its
// client when to come again.
func TestAdmission_NoRetryAfterOnceTheHandlerRuns(t *testing.T) {
	withStatus := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	for name, handler := range map[string]http.HandlerFunc{
		"writes nothing in its time": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"gateway timeout":            withStatus(http.StatusGatewayTimeout),
		"unavailable":                withStatus(http.StatusServiceUnavailable),
		"too many requests":          withStatus(http.StatusTooManyRequests),
		"panics":                     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		served := false
		serve(t, func(w http.ResponseWriter, r *http.Request) {
			served = true
			handler(w, r)
		}, func(s *site) {
			w := httptest.NewRecorder()
			func() {
				defer func() { _ = recover() }() // net/http ends the connection then
				s.router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hotel", http.NoBody))
			}()
			if w.Header().Get("Retry-After") != "" || !served {
				t.Errorf("%s: Retry-After %q, served %t", name, w.Header().Get("Retry-After"), served)
			}
		})
	}
}
