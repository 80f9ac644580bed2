package srv_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"eidertrail/internal/endpoint/srv"
	"eidertrail/internal/testing/fakeplatform"
)

// A server that is down at the start is queried again with backoff, and its first answer is taken.
func TestWatch_OutlastsAServerDownAtStart(t *testing.T) {
	server := fakeplatform.NewDNS(t)
	setThreePools(server, 30, true)
	server.SetMode(fakeplatform.DNSServFail)
	out := make(chan srv.Update)
	ctx, cancel := context.WithCancel(context.Background())
	var watches sync.WaitGroup
	watches.Go(func() {
		schedule := srv.Schedule{Floor: 10_000, Ceiling: 40_000}
		srv.Watch(ctx, resolver(server), schedule, name, func() int64 { return 0 }, 1, out)
	})
	defer func() {
		cancel()
		watches.Wait()
	}()
	for range 3 {
		if update := <-out; update.Err == nil {
			t.Fatalf("%+v: want a failure while the server fails", update)
		}
	}
	server.SetMode(fakeplatform.DNSAnswer)
	for {
		update := <-out
		if update.Err == nil {
			if len(update.Answer.Records) != 3 {
				t.Fatalf("%+v", update)
			}
			return
		}
	}
}

// The watcher queries again before each TTL expires: with a TTL of one second and a floor of 0.1 s, about once a second
// and never more often than the floor lets it.
func TestWatch_RefreshesWithinTheTTL(t *testing.T) {
	server := fakeplatform.NewDNS(t)
	setThreePools(server, 1, true)
	out := make(chan srv.Update, 16)
	ctx, cancel := context.WithCancel(context.Background())
	var watches sync.WaitGroup
	start := time.Now()
	watches.Go(func() {
		srv.Watch(ctx, resolver(server), srv.Schedule{Floor: 100_000, Ceiling: 10_000_000, Jitter: 0.2}, name,
			func() int64 { return time.Since(start).Microseconds() }, 1, out)
	})
	var at []int64
	for len(at) < 4 {
		update := <-out
		if update.Err != nil {
			t.Fatal(update.Err)
		}
		at = append(at, update.At)
	}
	cancel()
	watches.Wait()
	for i := 1; i < len(at); i++ {
		// At least 0.8 s apart by the schedule (0.8 to 0.9 s, the look-up's round trip on top).
		if gap := at[i] - at[i-1]; gap < 800_000 {
			t.Errorf("refresh %d came %d µs after the one before, sooner than the TTL less its jitter", i, gap)
		}
	}
	if queries := server.Queries(name, ""); queries < 4 || queries > 5 {
		t.Errorf("%d queries for 4 look-ups (one may have been in flight at the cancel)", queries)
	}
}
