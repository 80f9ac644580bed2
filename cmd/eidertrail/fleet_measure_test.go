package main

import (
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/fakeplatform"
)

// counter asks a process for its counters, and reads one.
func (f *fleet) counter(i int, name string) int64 {
	f.t.Helper()
	process := f.procs[i]
	process.mu.Lock()
	before := process.messages["counters"]
	process.mu.Unlock()
	f.signal(i, syscall.SIGUSR1)
	var value int64
	f.waitFor("counters", func() bool {
		process.mu.Lock()
		defer process.mu.Unlock()
		if process.messages["counters"] == before {
			return false
		}
		for n := len(process.lines) - 1; n >= 0; n-- {
			if l := gjson.Parse(process.lines[n]); l.Get("message").Str == "counters" {
				value = l.Get(name).Int()
				return true
			}
		}
		return false
	})
	return value
}

// The measurement of docs/measurements/cluster.md: EIDERTRAIL_MEASURE=1 go test -run TestMeasureFleet -v
// -timeout 30m ./cmd/eidertrail
func TestMeasureFleet(t *testing.T) {
	if os.Getenv("EIDERTRAIL_MEASURE") == "" {
		t.Skip("a measurement")
	}
	for _, members := range []int{3, 5, 9} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			f := newFleet(t, members, "", nil)
			f.wantAlive()
			const idle = 20 * time.Second
			sent, bytes := f.counter(0, "peer_out"), f.counter(0, "peer_bytes_out")
			time.Sleep(idle)
			sent, bytes = f.counter(0, "peer_out")-sent, f.counter(0, "peer_bytes_out")-bytes
			t.Logf("quiet: %.1f datagrams and %.0f bytes a member a second",
				float64(sent)/idle.Seconds(), float64(bytes)/idle.Seconds())
			for n := range 5 {
				victim := 1 + n%(members-1)
				f.kill(victim)
				t.Logf("crash %d known to all after %v", n, f.wantAll(victim, "dead").Round(10*time.Millisecond))
				f.start(victim)
				f.wantAlive()
			}
			deaths := func() (n int64) {
				for i := range members {
					n += f.counter(i, "members_died")
				}
				return n
			}
			suspected := func() (n int64) {
				for i := range members {
					n += f.counter(i, "members_suspected")
				}
				return n
			}
			diedBefore, suspectedBefore := deaths(), suspected()
			f.net.SetFaults(func(int, int) fakeplatform.Fault { return fakeplatform.Fault{Loss: 0.2} })
			time.Sleep(60 * time.Second)
			f.net.Heal()
			t.Logf("60 s of 20%% loss: %d suspicions, %d false deaths", suspected()-suspectedBefore, deaths()-diedBefore)
			time.Sleep(2 * time.Second)
			diedBefore, suspectedBefore = deaths(), suspected()
			for n := range 10 {
				f.signal(n%members, syscall.SIGSTOP)
				time.Sleep(3 * probeInterval)
				f.signal(n%members, syscall.SIGCONT)
				time.Sleep(4 * probeInterval)
			}
			t.Logf("10 pauses of three intervals: %d suspicions, %d false deaths",
				suspected()-suspectedBefore, deaths()-diedBefore)
		})
	}
}
