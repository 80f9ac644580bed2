package middleware_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/middleware"
)

// A chi router whose handlers ask the pool that the module chose. Nothing here is internal to the module.
func Example() {
	settings := eidertrail.Settings{
		Nodes:       1,
		OwnExchange: -1,
		ReleaseWait: 300 * time.Millisecond,
		Classes: []eidertrail.Class{{
			Name:             "avail-read",
			LatencyObjective: 5 * time.Second,
			Deadline:         15 * time.Second,
			PriorityWeight:   1,
			MeanHoldingTime:  time.Second,
		}},
	}
	dispatcher, err := dispatch.New(settings, 1, 2_000_000, nil, zerolog.Nop(), nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go dispatcher.Run(ctx)
	dispatcher.UpdateEndpoints([]dispatch.Endpoint{{UID: "s-1"}}, true)

	router := chi.NewRouter()
	router.Use(middleware.Admission(middleware.Config{
		Dispatcher: dispatcher,
		Classify: func(r *http.Request) (middleware.Call, error) {
			return middleware.Call{Class: 0, Number: r.URL.Path, Pool: -1, Timeout: 2 * time.Second}, nil
		},
	}))
	router.Get("/rooms/{hotel}", func(w http.ResponseWriter, r *http.Request) {
		placement := middleware.FromContext(r.Context())
		_, _ = fmt.Fprintf(w, "rooms of %s, asked at %s", chi.URLParam(r, "hotel"), placement.Pool)
	})
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/rooms/rioni", http.NoBody))
	fmt.Println(w.Code, w.Body)
	// Output: 200 rooms of rioni, asked at s-1
}
