package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail"
	"eidertrail/internal/testing/fakeplatform"
)

// modelCall is a call as the rules allow it.
type modelCall struct {
	request   Request
	inFlight  bool
	final     bool
	attempts  int
	latest    int // the number of the latest attempt
	notBefore int64
}

// ruleModel plays random steps of a few calls on a rig and checks them against what the rules allow: one attempt in
// flight at a time, two attempts at most, the release awaited, none to an endpoint that drains, one final answer to
// each call.
type ruleModel struct {
	*rig
	calls []*modelCall
	mu    sync.Mutex // of the calls and of ready
	ready map[string]bool
}

// pick waits for a decision for the call and checks it.
func (m *ruleModel) pick(modelled *modelCall) {
	decision, err := m.Pick(context.Background(), modelled.request)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || modelled.final {
		m.t.Errorf("pick: %v, already final: %v", err, modelled.final)
		return
	}
	if decision.Kind != DecisionSend {
		modelled.final = true
		return
	}
	if modelled.inFlight || modelled.attempts >= 2 || decision.DecidedAt < modelled.notBefore ||
		!m.ready[decision.Endpoint] || modelled.request.Class == 1 && decision.Endpoint != "b" {
		m.t.Errorf("sent to %s: %+v", decision.Endpoint, *modelled)
	}
	modelled.inFlight, modelled.latest = true, decision.Attempt
	modelled.attempts++
}

// end ends the attempt of one of the calls, if it has one in flight.
func (m *ruleModel) end(b byte, outcome Outcome) {
	if len(m.calls) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[int(b)%len(m.calls)]
	if !c.inFlight {
		return
	}
	c.inFlight = false
	if outcome == TimedOut || outcome == Reset || outcome == Cancelled {
		c.notBefore = m.Now() + 300_000
	}
	m.Report(Result{Call: c.request.Call, Attempt: c.latest, Outcome: outcome, Took: 1000, Load: UnknownLoad})
	go m.pick(c)
}

// steps are what a script is made of, each with an argument.
func (m *ruleModel) steps() []func(byte) {
	return []func(byte){
		func(b byte) {
			c := &modelCall{request: m.request(int(b)%2, time.Duration(b)*20*time.Millisecond)}
			m.calls = append(m.calls, c)
			go m.pick(c)
		},
		func(b byte) { m.end(b, NoAgent) },
		func(b byte) { m.end(b, TimedOut) },
		func(b byte) { m.end(b, Outcome(int(b)%int(NotSent-Errored+1))+Errored) },
		func(b byte) { time.Sleep(time.Duration(b) * 10 * time.Millisecond) },
		func(b byte) {
			m.mu.Lock()
			m.ready["a"], m.ready["b"] = b&1 == 0, b&2 == 0
			m.mu.Unlock()
			m.list(eidertrail.Mode(b&1), eidertrail.Mode(b>>1&1))
		},
	}
}

// FuzzDispatcher plays random steps on a ruleModel.
func FuzzDispatcher(f *testing.F) {
	scripts := []string{
		"000000010102", "00020103020404", "0005020001000301", "000101060001", "0006000002010301", "0007010200030104",
	}
	fakeplatform.FuzzScripts(f, scripts, func(t *testing.T, script []byte) {
		t.Helper()
		runRig(t, settings(), func(r *rig) {
			model := &ruleModel{rig: r, ready: map[string]bool{"a": true, "b": true}}
			fakeplatform.RunScript(script, model.steps(), func() {})
			time.Sleep(10 * time.Second) // every caller's deadline has passed by now
			synctest.Wait()
			model.mu.Lock()
			defer model.mu.Unlock()
			for _, c := range model.calls {
				if !c.final && !c.inFlight {
					t.Errorf("no final answer: %+v", *c)
				}
			}
		})
	})
}
