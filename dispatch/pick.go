package dispatch

import (
	"context"
	"time"
)

// Pick blocks until there is a decision for the call. It is called for a new call, and again after each Report that
// left the call without one. When ctx is done first the caller has left: nothing more is owed for the call, and the
// error is ctx's cause.
func (d *Dispatcher) Pick(ctx context.Context, r Request) (Decision, error) {
	decisions, err := d.submit(r)
	if err != nil {
		return Decision{}, err
	}
	late := time.NewTimer(duration(max(0, r.Deadline-d.clock.Now()) + decisionGraceMicros))
	defer late.Stop()
	select {
	case decision := <-decisions:
		return d.accept(ctx, r, decision)
	case <-d.done:
		return Decision{}, ErrClosed
	case <-late.C:
		d.withdraw(r.Call)
		return Decision{}, ErrNoDecision
	case <-ctx.Done():
		d.withdraw(r.Call)
		return Decision{}, context.Cause(ctx)
	}
}

// submit enters the call and returns where its decisions come.
func (d *Dispatcher) submit(r Request) (decisionSlot, error) {
	entered := make(chan decisionSlot, 1)
	posted := d.post(func(now int64) {
		// Every call that came through Pick has a decisionSlot as its Decider.
		entered <- d.engine.Submit(now, r, make(decisionSlot, 1)).(decisionSlot)
	})
	if !posted {
		return nil, ErrClosed
	}
	select {
	case slot := <-entered:
		return slot, nil
	case <-d.done:
		return nil, ErrClosed
	}
}

// accept takes a decision over, unless the caller has left meanwhile.
func (d *Dispatcher) accept(ctx context.Context, r Request, decision Decision) (Decision, error) {
	if decision.Kind == DecisionSend {
		d.recoverFromStall(d.clock.Now() - decision.DecidedAt)
	}
	// The decision and the caller's leaving may both be there: without this check an attempt is sent for nobody.
	if ctx.Err() != nil {
		d.withdraw(r.Call)
		return Decision{}, context.Cause(ctx)
	}
	if decision.Kind != DecisionSend {
		d.post(func(int64) { d.engine.Forget(r.Call) })
	}
	return decision, nil
}

func (d *Dispatcher) withdraw(id uint64) {
	d.post(func(now int64) { d.engine.Withdraw(now, id) })
}

// decisionSlot holds the latest decision for a call until Pick takes it; its capacity is one.
type decisionSlot chan Decision

// Decide never blocks: a decision that nobody took yet gives way to a later one.
func (s decisionSlot) Decide(decision Decision) {
	for {
		select {
		case s <- decision:
			return
		default:
		}
		select {
		case <-s:
		default:
		}
	}
}
