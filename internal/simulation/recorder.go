package simulation

import (
	"fmt"
	"strings"

	"eidertrail/internal/fleet/swim"
)

// recorder collects the result of a run.
type recorder struct {
	scenario *Scenario
	result   *Result
	total    weights
	byClass  []weights
	times    []int64 // from the first request to the answer, µs
}

// weights are the priority weights of calls: of all, and of those served.
type weights struct{ arrived, served float64 }

// service is the part of the weight that was served.
func (w weights) service() float64 {
	if w.arrived == 0 {
		return 0
	}
	return w.served / w.arrived
}

func newRecorder(scenario *Scenario, seed uint64) *recorder {
	windows := (scenario.Length.Microseconds() + windowLength - 1) / windowLength
	result := &Result{Scenario: scenario.Name, Seed: seed, Windows: make([]Window, windows)}
	for _, class := range scenario.Class {
		result.Class = append(result.Class, ClassResult{Name: class.Name})
	}
	return &recorder{scenario: scenario, result: result, byClass: make([]weights, len(scenario.Class))}
}

// note adds a line to the result's notes.
func (r *recorder) note(now int64, text string) {
	r.result.Notes = append(r.result.Notes, fmt.Sprintf("%.1f s: %s", float64(now-origin)/1e6, text))
}

func (r *recorder) eventStarted(now int64, e Event) {
	words := []string{string(e.Kind)}
	for _, where := range []string{e.Pool, e.Zone} {
		if where != "" {
			words = append(words, where)
		}
	}
	if e.Duration > 0 {
		words = append(words, "for", e.Duration.String())
	}
	r.note(now, strings.Join(words, " "))
}

func (r *recorder) memberChanged(now int64, observer string, change swim.Change) {
	if change.Current == swim.Dead {
		r.result.Deaths++
		r.note(now, fmt.Sprintf("%s holds n%d dead", observer, change.Member))
	}
}

func (r *recorder) callArrived(c *caller) {
	weight := r.scenario.Class[c.class].PriorityWeight
	r.total.arrived += weight
	r.byClass[c.class].arrived += weight
	r.result.Calls++
	r.result.Class[c.class].Calls++
	window := r.window(c)
	window.Calls++
	window.OfferedWeight += weight
}

func (r *recorder) callEstablished(c *caller, now int64) {
	r.times = append(r.times, now-c.arrivedAt)
	r.countServed(c, now, 1)
}

// callDropped takes back what callEstablished counted.
func (r *recorder) callDropped(c *caller, establishedAt int64) {
	r.result.Dropped++
	r.window(c).Dropped++
	r.countServed(c, establishedAt, -1)
}

// countServed adds a call to those served, or with a sign of -1 takes it out: in time or late, with its weight.
func (r *recorder) countServed(call *caller, establishedAt int64, sign int) {
	class, window := r.scenario.Class[call.class], r.window(call)
	weight := class.PriorityWeight
	if establishedAt-call.arrivedAt > class.LatencyObjective.Microseconds() {
		weight *= class.LateFactor
		r.result.Late += sign
		window.Late += sign
	} else {
		r.result.InTime += sign
		window.InTime += sign
	}
	weight *= float64(sign)
	r.total.served += weight
	r.byClass[call.class].served += weight
	window.ServedWeight += weight
}

func (r *recorder) window(c *caller) *Window { return &r.result.Windows[c.window] }

// requestFailed counts a request that did not establish a call.
func (r *recorder) requestFailed(answer finalAnswer) {
	switch answer {
	case answerRejected:
		r.result.Rejected++
	case answerFailed:
		r.result.Failed++
	default:
		r.result.CallerGone++
	}
}

// callLost counts a caller that gives up.
func (r *recorder) callLost(c *caller) {
	r.result.Lost++
	r.window(c).Lost++
}

// recordRemovalNoticed records how long after a record's removal a controller learned of it, µs.
func (r *recorder) recordRemovalNoticed(lag int64) {
	r.result.RecordLag = max(r.result.RecordLag, float64(lag)/1000)
}

// finish completes the result at the end of a run.
func (r *recorder) finish(run *simulator) *Result {
	result := r.result
	result.Service = r.total.service()
	for i := range result.Class {
		result.Class[i].Service = r.byClass[i].service()
	}
	result.Summarize(r.times)
	for _, p := range run.pools {
		load := p.slowStartLoad.Worst()
		result.Pool = append(result.Pool, PoolResult{
			UID:           p.uid,
			Arrivals:      p.arrivals,
			Overflowed:    p.overflowed,
			SlowStartLoad: load,
		})
		result.SlowStartLoad = max(result.SlowStartLoad, load)
	}
	result.RecordViolations(run.checker)
	result.Counters = map[string]int64{
		"tries":         int64(result.Requests),
		"sends":         int64(result.Attempts),
		"tries_refused": int64(result.Rejected),
		"tries_failed":  int64(result.Failed),
		"tries_left":    int64(result.CallerGone),
		"datagrams":     int64(result.Datagrams),
	}
	for _, c := range run.controllers {
		for name, value := range c.counters.Snapshot().Counters {
			if value != 0 {
				result.Counters[name] += value
			}
		}
	}
	return result
}
