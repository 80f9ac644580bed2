package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// stamped is a log that notes when each line of the pool set was written.
type stamped struct {
	mu   sync.Mutex
	sets []stampedSet
}

type stampedSet struct {
	at    time.Time
	pools string
}

func (s *stamped) Write(p []byte) (int, error) {
	now := time.Now()
	if gjson.GetBytes(p, "message").Str == "pool set" {
		s.mu.Lock()
		s.sets = append(s.sets, stampedSet{now, gjson.GetBytes(p, "pools").Str})
		s.mu.Unlock()
	}
	return len(p), nil
}

// firstAfter is when the first pool set after t was written in which address is up (or not), or zero.
func (s *stamped) firstAfter(t time.Time, address string, up bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sets {
		if x.at.After(t) && strings.Contains(x.pools, "@"+address+"/up/") == up {
			return x.at
		}
	}
	return time.Time{}
}

// TestMeasureSRV measures how soon the daemon follows a change of SRV records, how often it asks, and
// whether any set-up reaches a pool after the daemon took its going, while callers keep it busy. It is
// a measurement, not a check for CI: EIDERTRAIL_MEASURE=1 go test -run TestMeasureSRV -v ./internal/daemon
// (EIDERTRAIL_ROUNDS and EIDERTRAIL_TTL change its size).
func TestMeasureSRV(t *testing.T) {
	if os.Getenv("EIDERTRAIL_MEASURE") == "" {
		t.Skip("a measurement: set EIDERTRAIL_MEASURE=1")
	}
	rounds, ttl := 20, uint32(2)
	fmt.Sscan(os.Getenv("EIDERTRAIL_ROUNDS"), &rounds)
	fmt.Sscan(os.Getenv("EIDERTRAIL_TTL"), &ttl)
	const pools = 6

	type arrival struct {
		pool int
		at   time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	addresses := make([]string, pools)
	targets := make([]fakeplatform.Target, pools)
	for i := range pools {
		p := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
			if q.Method != "INVITE" {
				return
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{i, time.Now()})
			mu.Unlock()
			q.Answer(200, "", "v=0\r\n")
			q.Bye(16)
		}}
		addresses[i] = p.Listen(t)
		targets[i] = daemontest.SRVTarget(t, fmt.Sprintf("p%d.pools.example.org", i), addresses[i])
		targets[i].TTL = ttl
	}
	dns := fakeplatform.NewDNS(t)
	dns.SetSRV(daemontest.SRVName, ttl, targets...)
	disc := daemontest.WriteFile(t, "discovery.toml", fmt.Sprintf("server = %q\nrefresh_floor = \"200ms\"\nrefresh_ceiling = \"1m\"\n"+
		"jitter = 0.1\nstale_for = \"30s\"\ndrain_for = \"5s\"\n[[name]]\nsrv = %q\n", dns.Addr, daemontest.SRVName))
	log := &stamped{}
	d, err := Start(context.Background(), Options{
		Config:    daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", "127.0.0.1:1")),
		Discovery: disc,
	}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s, ended := serving(d)
	for log.firstAfter(time.Time{}, addresses[pools-1], true).IsZero() {
		time.Sleep(10 * time.Millisecond)
	}

	// Load: four callers, one set-up at a time each, as long as the rounds go on.
	var stop atomic.Bool
	var calls, answered atomic.Int64
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			conn := daemontest.Dial(t, d.listener.Addr().String())
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("%08x%08x", c, n)
				conn.Setup(id)
				calls.Add(1)
				for {
					m := conn.Next()
					if m.ID == id {
						if m.Type == "answer" {
							answered.Add(1)
						}
						break
					}
				}
			}
		})
	}

	began := time.Now()
	var gone, back []time.Duration
	violations := 0
	var lateBy []time.Duration // of the set-ups that arrived after the line: by how much
	for r := range rounds {
		out := r % pools
		left := slices.Delete(slices.Clone(targets), out, out+1)
		time.Sleep(rand.N(time.Duration(ttl) * time.Second)) // at any phase of the refreshes
		changed := time.Now()
		dns.SetSRV(daemontest.SRVName, ttl, left...)
		var seen time.Time
		for seen = log.firstAfter(changed, addresses[out], false); seen.IsZero(); seen = log.firstAfter(changed, addresses[out], false) {
			time.Sleep(5 * time.Millisecond)
		}
		gone = append(gone, seen.Sub(changed))
		time.Sleep(500 * time.Millisecond) // calls go on without it
		mu.Lock()
		for _, a := range arrivals {
			if a.pool == out && a.at.After(seen) {
				violations++
				lateBy = append(lateBy, a.at.Sub(seen))
			}
		}
		mu.Unlock()
		changed = time.Now()
		dns.SetSRV(daemontest.SRVName, ttl, targets...)
		for seen = log.firstAfter(changed, addresses[out], true); seen.IsZero(); seen = log.firstAfter(changed, addresses[out], true) {
			time.Sleep(5 * time.Millisecond)
		}
		back = append(back, seen.Sub(changed))
	}
	elapsed := time.Since(began)
	stop.Store(true)
	callers.Wait()
	s.Terminate <- syscall.SIGTERM
	<-ended

	stat := func(xs []time.Duration) string {
		slices.Sort(xs)
		return fmt.Sprintf("min %v, median %v, p95 %v, max %v", xs[0].Round(time.Millisecond), xs[len(xs)/2].Round(time.Millisecond),
			xs[len(xs)*95/100].Round(time.Millisecond), xs[len(xs)-1].Round(time.Millisecond))
	}
	t.Logf("TTL %d s, floor 0.2 s, jitter 0.1, %d pools, %d rounds in %v", ttl, pools, rounds, elapsed.Round(time.Second))
	t.Logf("record removed to pool out of the set: %s", stat(gone))
	t.Logf("record added to pool in the set:       %s", stat(back))
	t.Logf("SRV questions a minute for the name:   %.1f", float64(dns.Queries(daemontest.SRVName, ""))/elapsed.Minutes())
	t.Logf("calls %d, answered %d; set-ups that reached a pool after its going was taken: %d %v", calls.Load(), answered.Load(),
		violations, lateBy)
	limit := time.Duration(ttl) * time.Second
	for _, x := range append(gone, back...) {
		if x > limit+100*time.Millisecond {
			t.Errorf("a change took %v, over the TTL of %v", x, limit)
		}
	}
	if violations > 0 {
		t.Errorf("%d set-ups reached vanished pools", violations)
	}
}
