package routing

import (
	"slices"
	"testing"

	"eidertrail/internal/testing/fakeplatform"
)

// FuzzRouter plays random steps (endpoint lists, reports, calls, time) and checks the Router's invariants after each.
func FuzzRouter(f *testing.F) {
	seeds := []string{
		"\x00\x00\x01\x03\x02\x00\x02\x01\x06\x40\x00\x0f\x02\x05",
		"\x00\x0f\x03\x02\x03\x02\x03\x02\x06\xff\x00\x00",
	}
	fakeplatform.FuzzScripts(f, seeds, func(t *testing.T, script []byte) {
		t.Helper()
		r, err := New(validConfig(), zones)
		if err != nil {
			t.Fatal(err)
		}
		fuzzed := &fuzzedRouter{Router: r, all: endpointsUp()}
		steps := []func(byte){
			fuzzed.updateEndpoints, fuzzed.report, fuzzed.send, fuzzed.fail, fuzzed.answerAndEnd, fuzzed.pass,
		}
		fakeplatform.RunScript(script, steps, func() {
			fuzzed.checkEligible(t)
			fuzzed.checkSpillBudgets(t)
			fuzzed.checkInFlight(t)
		})
	})
}

// fuzzedRouter is a Router with the calls sent through it. Each step takes an argument from the fuzzer.
type fuzzedRouter struct {
	*Router
	now  int64
	all  []Endpoint
	sent []string // UIDs of calls that have not ended
}

func (r *fuzzedRouter) uid(argument byte) string { return r.all[int(argument)%len(r.all)].UID }

// updateEndpoints gives the Router a list: the argument's bits say which endpoints are down, its top bit that one is
// removed.
func (r *fuzzedRouter) updateEndpoints(argument byte) {
	var list []Endpoint
	for i, line := range r.all {
		line.Up = argument&(1<<(i%7)) == 0
		if argument&0x80 != 0 && i == int(argument)%len(r.all) {
			continue
		}
		list = append(list, line)
	}
	r.UpdateEndpoints(r.now, list)
}

func (r *fuzzedRouter) report(argument byte) { r.Report(r.uid(argument), float64(argument%12), 10) }

// send sends a call where the Router lets it.
func (r *fuzzedRouter) send(argument byte) {
	uid := r.uid(argument)
	if r.Eligible(r.now)[uid] != 0 {
		r.Sent(uid)
		r.sent = append(r.sent, uid)
	}
}

// takeSent removes one of the calls sent.
func (r *fuzzedRouter) takeSent(argument byte) (uid string, ok bool) {
	if len(r.sent) == 0 {
		return "", false
	}
	i := int(argument) % len(r.sent)
	uid = r.sent[i]
	r.sent = slices.Delete(r.sent, i, i+1)
	return uid, true
}

func (r *fuzzedRouter) fail(argument byte) {
	if uid, ok := r.takeSent(argument); ok {
		r.Ended(r.now, uid, Failure, false)
	}
}

func (r *fuzzedRouter) answerAndEnd(argument byte) {
	if uid, ok := r.takeSent(argument); ok {
		r.Answered(r.now, uid)
		r.Ended(r.now, uid, Neutral, true)
	}
}

func (r *fuzzedRouter) pass(argument byte) { r.now += int64(argument) * second / 8 }

// checkEligible checks that only endpoints that are up are eligible, and in slow start only under their capacity.
func (r *fuzzedRouter) checkEligible(tb testing.TB) {
	tb.Helper()
	for uid := range r.Eligible(r.now) {
		e := r.endpoints[uid]
		if e == nil || !e.Up {
			tb.Fatalf("at %d %s is eligible but not up", r.now, uid)
		}
		if capacity := r.slowStartCapacity(r.now, e); e.inSlowStart() && float64(e.inFlight) >= capacity {
			tb.Fatalf("at %d %s is eligible in slow start holding %d of %.0f", r.now, uid, e.inFlight, capacity)
		}
	}
}

// checkSpillBudgets checks that a priority level past the own zone is eligible only under its spill budget.
func (r *fuzzedRouter) checkSpillBudgets(tb testing.TB) {
	tb.Helper()
	eligible := r.Eligible(r.now)
	for _, level := range r.PriorityLevels()[1:] {
		eligibleHere := false
		for uid := range eligible {
			eligibleHere = eligibleHere || slices.Contains(level, r.endpoints[uid].Zone)
		}
		if eligibleHere && !r.underSpillBudget(r.now, level) {
			tb.Fatalf("at %d level %v is eligible over its spill budget", r.now, level)
		}
	}
}

// checkInFlight checks that the numbers of calls agree.
func (r *fuzzedRouter) checkInFlight(tb testing.TB) {
	tb.Helper()
	for uid, e := range r.endpoints {
		if e.inFlight < 0 || e.setups < 0 || e.setups > e.inFlight {
			tb.Fatalf("%s: in flight %d, set-ups %d", uid, e.inFlight, e.setups)
		}
	}
}
