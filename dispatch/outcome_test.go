package dispatch

import (
	"testing"
	"time"

	"eidertrail"
)

// An attempt that found all lines of its number busy was logged with the outcome "unknown".
func TestOutcome_EachHasAName(t *testing.T) {
	seen := map[string]bool{}
	for outcome := range outcomeCount {
		name := outcome.name()
		if name == "unknown" || seen[name] {
			t.Errorf("outcome %d: %q", outcome, name)
		}
		seen[name] = true
	}
}

// finalAfter is the final decision on a call whose attempts all end with an outcome, and what the engine and Serve keep
// of that outcome.
func finalAfter(r *rig, outcome Outcome) (decided DecisionKind, engineMayHaveRun, serveMayHaveRun bool) {
	r.t.Helper()
	served := servedCall{request: r.request(0, 200*time.Millisecond)}
	for {
		decision := r.pick(served.request)
		if decision.Kind != DecisionSend {
			return decision.Kind, engineMayHaveRun, served.mayHaveRun
		}
		served.attemptEnded(outcome)
		r.Report(Result{
			Call: served.request.Call, Attempt: decision.Attempt, Endpoint: decision.Endpoint,
			Outcome: outcome, Load: UnknownLoad,
		})
		reported := make(chan bool, 1)
		r.post(func(int64) { reported <- r.engine.calls[served.request.Call].mayHaveRun })
		engineMayHaveRun = <-reported
	}
}

// Whether an attempt may have been carried out is kept by the module, the engine and Serve: if one of them took an
// outcome for another proof than the others, a set-up that ran could be rejected as one that may be sent again.
func TestOutcome_AllAgreeOnWhatMayHaveRun(t *testing.T) {
	never := map[Outcome]bool{NoAgent: true, ProcessorFull: true, ConnectFailed: true, NotSent: true}
	const notAnOutcome = outcomeCount
	for outcome := Ended; outcome <= notAnOutcome; outcome++ {
		onRigWith(t, withIdempotency(eidertrail.NotIdempotent), func(r *rig) {
			decided, engine, serve := finalAfter(r, outcome)
			module := decided == DecisionFail
			want := !never[outcome]
			if module != want || engine != want || serve != want {
				t.Errorf("%s may have run: module %t, engine %t, Serve %t, want %t",
					outcome.name(), module, engine, serve, want)
			}
		})
	}
}
