// These are characterisation tests: they record which endpoints the monitor has for silent today, so that a change of
// names or structure can be shown to change none of it. The recorded digests and texts are in
// testdata/characterization. After a purposeful change they are renewed with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/liveness -run TestCharacterization
//
// and the commit has to say why they changed.
package liveness_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"eidertrail/internal/endpoint/liveness"
	"eidertrail/internal/testing/recorded"
)

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// scenario is the classes' groups, and the report intervals of endpoints.
type scenario struct {
	name      string
	classes   [][]int
	intervals []int64
	jitter    float64 // the part of its interval by which a report may be late
}

func scenarios() []scenario {
	return []scenario{
		{"every class uses all", [][]int{nil, nil}, []int64{500 * millisecond}, 0.1},
		{"quick and slow", [][]int{nil}, []int64{100 * millisecond, 400 * millisecond, 2 * second}, 0.2},
		{"groups", [][]int{{0}, {0, 1}, {2, 1}}, []int64{100 * millisecond, 300 * millisecond}, 0.15},
		{"one class", [][]int{{0, 2}}, []int64{50 * millisecond, 250 * millisecond}, 0.4},
		{"no class", nil, []int64{200 * millisecond}, 0.1},
	}
}

// modelEndpoint is an endpoint as the generator knows it.
type modelEndpoint struct {
	uid      string
	group    int
	interval int64
	next     int64 // when it reports next
	hangs    bool
	listed   bool
}

// world is the random surroundings of one monitor.
type world struct {
	scenario
	random    *rand.Rand
	monitor   *liveness.Monitor
	now       int64
	endpoints []*modelEndpoint
	changes   int // how often the silent endpoints changed
	silent    string
}

func newWorld(s scenario, seed uint64) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, 3)), monitor: liveness.New(s.classes)}
	for i := range 7 {
		w.endpoints = append(w.endpoints, &modelEndpoint{
			uid: fmt.Sprintf("p%d", i), group: i % 3, listed: i < 6,
			interval: s.intervals[i%len(s.intervals)], next: w.random.Int64N(second),
		})
	}
	w.updateEndpoints()
	return w
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

func (w *world) anyEndpoint() *modelEndpoint { return w.endpoints[w.random.IntN(len(w.endpoints))] }

func (w *world) updateEndpoints() {
	var up []liveness.Endpoint
	for _, endpoint := range w.endpoints {
		if endpoint.listed {
			up = append(up, liveness.Endpoint{UID: endpoint.uid, Group: endpoint.group})
		}
	}
	w.monitor.UpdateEndpoints(up)
}

// reportNext moves time on to the next report.
func (w *world) reportNext() {
	soonest := w.endpoints[0]
	for _, endpoint := range w.endpoints {
		if endpoint.next < soonest.next {
			soonest = endpoint
		}
	}
	w.now = max(w.now, soonest.next)
	soonest.next = w.now + soonest.interval + w.random.Int64N(1+int64(w.jitter*float64(soonest.interval)))
	if w.chance(0.01) { // a report that is lost or very late
		soonest.next += w.random.Int64N(3 * soonest.interval)
	}
	if !soonest.hangs {
		w.monitor.RecordReport(w.now, soonest.uid)
	}
}

// wake moves time on to when the monitor says that something may change, unless a report comes before.
func (w *world) wake() {
	next := w.monitor.Next(w.now)
	for _, endpoint := range w.endpoints {
		if endpoint.next < next {
			return
		}
	}
	w.now = max(w.now, next)
}

// change changes what is up, what hangs and in which group and at which interval an endpoint reports.
func (w *world) change() {
	endpoint := w.anyEndpoint()
	switch w.random.IntN(10) {
	case 0:
		endpoint.listed = !endpoint.listed
	case 1:
		endpoint.group = w.random.IntN(3)
	case 2:
		endpoint.interval = w.intervals[w.random.IntN(len(w.intervals))]
	case 3:
		for _, other := range w.endpoints {
			other.hangs = w.chance(0.5)
		}
	case 4, 5, 6:
		for _, other := range w.endpoints {
			other.hangs, other.listed = false, other.listed || w.chance(0.5)
		}
	default:
		endpoint.hangs = !endpoint.hangs
	}
	w.updateEndpoints()
}

// odd plays what should not come: reports of no endpoint, reports out of turn, and a list repeated.
func (w *world) odd() {
	switch w.random.IntN(4) {
	case 0:
		w.monitor.RecordReport(w.now, "nobody")
	case 1:
		w.monitor.RecordReport(w.now, w.anyEndpoint().uid)
	case 2:
		w.updateEndpoints()
	case 3:
		w.now += w.random.Int64N(4 * second)
	}
}

// step plays one random step and records which endpoints are then silent.
func (w *world) step(results *recorded.Digest) {
	recorded.PlayOne(w.random, []recorded.WeightedStep{
		{Weight: 700, Play: w.reportNext},
		{Weight: 200, Play: w.wake},
		{Weight: 80, Play: func() { w.now += w.random.Int64N(20 * millisecond) }},
		{Weight: 8, Play: w.change},
		{Weight: 4, Play: w.odd},
	})
	results.Number(w.now)
	results.Number(w.monitor.Next(w.now))
	silent := w.monitor.Silent(w.now)
	results.Flag(silent == nil)
	results.Number(int64(len(silent)))
	var uids []string
	for _, endpoint := range w.endpoints {
		results.Flag(silent[endpoint.uid])
		results.Flag(w.monitor.IsSilent(w.now, endpoint.uid))
		if silent[endpoint.uid] {
			uids = append(uids, endpoint.uid)
		}
	}
	results.Flag(w.monitor.IsSilent(w.now, "nobody"))
	if now := strings.Join(uids, " "); now != w.silent {
		w.silent = now
		w.changes++
	}
}

func TestCharacterization_Silence(t *testing.T) {
	var got strings.Builder
	for i, s := range scenarios() {
		w := newWorld(s, uint64(i+1))
		got.WriteString(recorded.DigestInTenths(strings.ReplaceAll(s.name, " ", "-"), 20_000, w.step))
		t.Logf("%s: the silent pools changed %d times in %d s", s.name, w.changes, w.now/second)
	}
	recorded.Compare(t, "silence.txt", got.String())
}

// silentPeriod is from when and until when an endpoint was silent.
type silentPeriod struct{ from, until int64 }

// silentPeriodOf finds, to the microsecond, when an endpoint with this interval that stops reporting is silent
// while another goes on.
func silentPeriodOf(interval int64) silentPeriod {
	monitor := liveness.New([][]int{nil})
	monitor.UpdateEndpoints([]liveness.Endpoint{{UID: "falls silent"}, {UID: "goes on"}})
	now := second
	for range 20 {
		now += interval
		monitor.RecordReport(now, "falls silent")
		monitor.RecordReport(now, "goes on")
	}
	period, last := silentPeriod{from: -1, until: -1}, now
	for checkedAt := last; period.until < 0 && checkedAt < last+100*second; {
		// The endpoint that goes on reports when it is due; what may change before that is looked at too.
		if next := monitor.Next(checkedAt); next > 0 && next < now+interval {
			checkedAt = next
		} else {
			now += interval
			checkedAt = now
			monitor.RecordReport(now, "goes on")
		}
		switch silent := monitor.IsSilent(checkedAt, "falls silent"); {
		case silent && period.from < 0:
			period.from = checkedAt - last
		case !silent && period.from >= 0:
			period.until = checkedAt - last
		}
	}
	return period
}

func TestCharacterization_HeldOutFor(t *testing.T) {
	var got strings.Builder
	got.WriteString("# rhythm, then from when and until when a pool that falls silent is held out: " +
		"microseconds since its last state\n")
	for _, rhythm := range []int64{20, 100, 200, 239, 240, 241, 400, 499, 500, 501, 1000, 2000, 5000} {
		period := silentPeriodOf(rhythm * millisecond)
		fmt.Fprintf(&got, "%d %d %d\n", rhythm*millisecond, period.from, period.until)
	}
	recorded.Compare(t, "held-out-for.txt", got.String())
}
