package srv_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"eidertrail/internal/endpoint/srv"
	"eidertrail/internal/testing/fakeplatform"
)

// A server that is down at the start is asked again with backoff, and its first answer is taken.
func TestWatchOutlastsAServerDownAtStart(t *testing.T) {
	d := fakeplatform.NewDNS(t)
	twoPools(d, 30, true)
	d.SetMode(fakeplatform.ServFail)
	out := make(chan srv.Update)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		srv.Watch(ctx, resolver(d), srv.Schedule{Floor: 10_000, Ceiling: 40_000}, name, func() int64 { return 0 }, 1, out)
	})
	defer func() {
		cancel()
		wg.Wait()
	}()
	for range 3 {
		if u := <-out; u.Err == nil {
			t.Fatalf("%+v: want a failure while the server fails", u)
		}
	}
	d.SetMode(fakeplatform.Answer)
	for {
		u := <-out
		if u.Err == nil {
			if len(u.Answer.Records) != 3 {
				t.Fatalf("%+v", u)
			}
			return
		}
	}
}

// The watcher asks again before each TTL runs out: with a TTL of one second and a floor of 0.1 s, about
// once a second and never more often than the floor lets it.
func TestWatchRefreshesWithinTheTTL(t *testing.T) {
	d := fakeplatform.NewDNS(t)
	twoPools(d, 1, true)
	out := make(chan srv.Update, 16)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() {
		srv.Watch(ctx, resolver(d), srv.Schedule{Floor: 100_000, Ceiling: 10_000_000, Jitter: 0.2}, name,
			func() int64 { return time.Since(start).Microseconds() }, 1, out)
	})
	var at []int64
	for len(at) < 4 {
		u := <-out
		if u.Err != nil {
			t.Fatal(u.Err)
		}
		at = append(at, u.At)
	}
	cancel()
	wg.Wait()
	for i := 1; i < len(at); i++ {
		// At least 0.8 s apart by the schedule (0.8 to 0.9 s, the look-up's round trip on top).
		if gap := at[i] - at[i-1]; gap < 800_000 {
			t.Errorf("refresh %d came %d µs after the one before, sooner than the TTL less its jitter", i, gap)
		}
	}
	if q := d.Queries(name, ""); q < 4 || q > 5 {
		t.Errorf("%d questions for 4 look-ups (one may have been on its way at the cancel)", q)
	}
}
