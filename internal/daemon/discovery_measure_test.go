package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
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

// endpointSetLog is a log that notes when each line about the endpoint set was written.
type endpointSetLog struct {
	mu    sync.Mutex
	lines []endpointSetLine
}

type endpointSetLine struct {
	at    time.Time
	pools string
}

func (l *endpointSetLog) Write(p []byte) (int, error) {
	now := time.Now()
	if gjson.GetBytes(p, "message").Str == "pool set" {
		l.mu.Lock()
		l.lines = append(l.lines, endpointSetLine{now, gjson.GetBytes(p, "pools").Str})
		l.mu.Unlock()
	}
	return len(p), nil
}

// await waits for the first endpoint set after a time in which address is up (or not), and returns when it was written.
func (l *endpointSetLog) await(after time.Time, address string, up bool) time.Time {
	for {
		if at := l.first(after, address, up); !at.IsZero() {
			return at
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// first is when the first such endpoint set was written, or zero.
func (l *endpointSetLog) first(after time.Time, address string, up bool) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if line.at.After(after) && strings.Contains(line.pools, "@"+address+"/up/") == up {
			return line.at
		}
	}
	return time.Time{}
}

// arrivalPools are fake pools behind one SRV name. They answer every set-up, end the call at once, and record when each
// set-up came.
type arrivalPools struct {
	addresses []string
	targets   []fakeplatform.SRVTarget

	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	pool int
	at   time.Time
}

func newArrivalPools(t *testing.T, count int, ttl uint32) *arrivalPools {
	t.Helper()
	pools := &arrivalPools{addresses: make([]string, count), targets: make([]fakeplatform.SRVTarget, count)}
	for i := range count {
		pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
			if request.Method != "INVITE" {
				return
			}
			pools.mu.Lock()
			pools.arrivals = append(pools.arrivals, arrival{i, time.Now()})
			pools.mu.Unlock()
			request.Answer(200, "", "v=0\r\n")
			request.Bye(16)
		}}
		pools.addresses[i] = pool.Listen(t)
		pools.targets[i] = daemontest.SRVTarget(t, fmt.Sprintf("p%d.pools.example.org", i), pools.addresses[i])
		pools.targets[i].TTL = ttl
	}
	return pools
}

// without are the targets of all pools but one.
func (p *arrivalPools) without(pool int) []fakeplatform.SRVTarget {
	return slices.Delete(slices.Clone(p.targets), pool, pool+1)
}

// lateBy is by how much each set-up of the pool came after a time.
func (p *arrivalPools) lateBy(pool int, after time.Time) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var late []time.Duration
	for _, arrival := range p.arrivals {
		if arrival.pool == pool && arrival.at.After(after) {
			late = append(late, arrival.at.Sub(after))
		}
	}
	return late
}

// busyCallers place one set-up at a time each, without pause, until they are stopped.
type busyCallers struct {
	stopped         atomic.Bool
	calls, answered atomic.Int64
	callers         sync.WaitGroup
}

func (b *busyCallers) start(t *testing.T, count int, address string) {
	t.Helper()
	for c := range count {
		b.callers.Go(func() {
			caller := daemontest.Dial(t, address)
			for n := 0; !b.stopped.Load(); n++ {
				b.place(caller, fmt.Sprintf("%08x%08x", c, n))
			}
		})
	}
}

func (b *busyCallers) place(caller *daemontest.Caller, id string) {
	caller.Setup(id)
	b.calls.Add(1)
	for {
		m := caller.Next()
		if m.ID != id {
			continue
		}
		if m.Type == "answer" {
			b.answered.Add(1)
		}
		return
	}
}

func (b *busyCallers) stop() {
	b.stopped.Store(true)
	b.callers.Wait()
}

// TestMeasureSRV measures how soon the daemon follows a change of SRV records, how often it queries them, and whether
// any set-up reaches a pool after the daemon took its removal, while callers keep it busy. It is a measurement, not a
// check for CI: EIDERTRAIL_MEASURE=1 go test -run TestMeasureSRV -v ./internal/daemon (EIDERTRAIL_ROUNDS and
// EIDERTRAIL_TTL change its size).
func TestMeasureSRV(t *testing.T) {
	if os.Getenv("EIDERTRAIL_MEASURE") == "" {
		t.Skip("a measurement: set EIDERTRAIL_MEASURE=1")
	}
	const poolCount, callerCount = 6, 4
	rounds := fromVariable(t, "EIDERTRAIL_ROUNDS", 20)
	ttl := fromVariable(t, "EIDERTRAIL_TTL", 2)
	limit := time.Duration(ttl) * time.Second
	pools := newArrivalPools(t, poolCount, uint32(ttl))
	dns := fakeplatform.NewDNS(t)
	dns.SetSRV(daemontest.SRVName, uint32(ttl), pools.targets...)
	log := &endpointSetLog{}
	daemon, err := Start(context.Background(), Options{
		Config: writeConfiguration(t, nobody),
		Discovery: daemontest.WriteFile(t, "discovery.toml", fmt.Sprintf(
			"server = %q\nrefresh_floor = \"200ms\"\nrefresh_ceiling = \"1m\"\njitter = 0.1\nstale_for = \"30s\"\n"+
				"drain_for = \"5s\"\n[[name]]\nsrv = %q\n", dns.Addr, daemontest.SRVName)),
	}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := serve(daemon)
	log.await(time.Time{}, pools.addresses[poolCount-1], true)
	callers := &busyCallers{}
	callers.start(t, callerCount, daemon.listener.Addr().String())

	began := time.Now()
	removed, added := make([]time.Duration, 0, rounds), make([]time.Duration, 0, rounds)
	late := make([]time.Duration, 0, rounds) // of the set-ups that came after the removal was taken
	for round := range rounds {
		pool := round % poolCount
		time.Sleep(rand.N(limit)) // at any phase of the refreshes
		changed := time.Now()
		dns.SetSRV(daemontest.SRVName, uint32(ttl), pools.without(pool)...)
		taken := log.await(changed, pools.addresses[pool], false)
		removed = append(removed, taken.Sub(changed))
		time.Sleep(500 * time.Millisecond) // calls go on without it
		late = append(late, pools.lateBy(pool, taken)...)
		changed = time.Now()
		dns.SetSRV(daemontest.SRVName, uint32(ttl), pools.targets...)
		added = append(added, log.await(changed, pools.addresses[pool], true).Sub(changed))
	}
	elapsed := time.Since(began)
	callers.stop()
	signals.Terminate <- syscall.SIGTERM
	<-ended

	queries := float64(dns.Queries(daemontest.SRVName, ""))
	t.Logf("TTL %d s, floor 0.2 s, jitter 0.1, %d pools, %d rounds in %v",
		ttl, poolCount, rounds, elapsed.Round(time.Second))
	t.Logf("record removed to pool out of the set: %s", summary(removed))
	t.Logf("record added to pool in the set:       %s", summary(added))
	t.Logf("SRV questions a minute for the name:   %.1f", queries/elapsed.Minutes())
	t.Logf("calls %d, answered %d; set-ups that reached a pool after its removal was taken: %d %v",
		callers.calls.Load(), callers.answered.Load(), len(late), late)
	for _, delay := range append(removed, added...) {
		if delay > limit+100*time.Millisecond {
			t.Errorf("a change took %v, over the TTL of %v", delay, limit)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d set-ups reached vanished pools", len(late))
	}
}

// fromVariable is the number in a variable of the environment, or otherwise where it is not set.
func fromVariable(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// summary sorts the delays, and describes them.
func summary(delays []time.Duration) string {
	slices.Sort(delays)
	at := func(i int) time.Duration { return delays[i].Round(time.Millisecond) }
	count := len(delays)
	return fmt.Sprintf("min %v, median %v, p95 %v, max %v", at(0), at(count/2), at(count*95/100), at(count-1))
}
