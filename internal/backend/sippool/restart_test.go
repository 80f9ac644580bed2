package sippool_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// The list reports that a pool's process has started anew while a call of the process before is established there: the
// call is cut, and Apply returns.
func TestApply_RestartWhileACallIsEstablished(t *testing.T) {
	now := clock.New()
	server := &fakeplatform.Pool{OnRequest: func(r fakeplatform.Request) {
		if r.Method == "INVITE" {
			r.Answer(200, "", "a\r\n")
		}
	}}
	pools := sippool.New(t.Context(), sippool.Config{
		Name:           "n0",
		ConnectTimeout: 5_000_000,
		Clock:          now,
		Log:            zerolog.Nop(),
		Counters:       &telemetry.Counters{},
		Dial:           server.Dial,
	})
	apply := func(startedAt int64) {
		endpoint := endpointlist.Endpoint{UID: "p1", Address: "192.0.2.1:5060", StartedAt: startedAt}
		pools.Apply(endpointlist.Event{Endpoints: []endpointlist.Endpoint{endpoint}}, func([]dispatch.Endpoint) {})
	}
	apply(0)
	attempt := dispatch.Attempt{
		Setup:    dispatch.Setup{ID: "c1", SDP: "a\r\n"},
		Endpoint: "p1",
		Deadline: now.Now() + 60_000_000,
	}
	leg, ending := pools.Invite(t.Context(), attempt)
	if leg == nil {
		t.Fatalf("the call was not established: %+v", ending)
	}

	applied := make(chan struct{})
	go func() {
		defer close(applied)
		apply(now.Now() + 1000)
	}()

	select {
	case <-applied:
	case <-time.After(10 * time.Second):
		t.Fatal("Apply has not returned within 10 s")
	}
	<-leg.Done()
	if cause := leg.Ending().Cause; cause != dispatch.CauseCut {
		t.Errorf("the call ended with cause %d, want %d", cause, dispatch.CauseCut)
	}
}
