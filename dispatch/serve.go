package dispatch

import (
	"context"
	"errors"
)

// This file is the life of a call, the same for every front: it is placed, sent, sent once more at
// most, and it ends in one Final or stands.

// Set-up that a front hands over, beside the Request. Trunks pass it on unchanged.
type Setup struct {
	ID     string // the caller's name for the call
	Number string // the number called
	Class  string
	SDP    string // the description
}

// Attempt is one send of a call.
type Attempt struct {
	Setup
	Pool      string // uid
	Number    int    // 0 for the first
	DecidedAt int64  // when it was decided
	Deadline  int64  // it times out then
	// SendBy: it must not be sent later than this (Moot), 0: at any time.
	SendBy int64
}

// Ending tells how an attempt or a standing call ended.
type Ending struct {
	Outcome Outcome
	At      int64 // when it was seen
	Load    LoadReport
	Cause   int // Q.850 cause of the release, 0 where there is none
}

// Leg is a call that stands at a pool.
type Leg interface {
	// SDP is the description that the pool answered with.
	SDP() string
	// Done is closed when the pool has ended the call.
	Done() <-chan struct{}
	// Ending is valid once Done is closed.
	Ending() Ending
	// Release ends the call from the caller's side. It does not wait.
	Release(cause int)
}

// Inviter carries attempts to the pools. Invite blocks until the attempt is answered, has ended, is past
// Until (then it is called off, and the ending is TimedOut) or ctx is done (called off, Cancelled).
type Inviter interface {
	Invite(ctx context.Context, a Attempt) (Leg, Ending)
}

// FinalKind is the kind of a final answer.
type FinalKind int

// The final answers. Gone means that none is owed: the caller has left.
const (
	FinalEstablished FinalKind = iota
	FinalRejected              // refused: trying again is harmless, as no attempt was carried out or the class is Safe
	FinalFailed
	FinalCallerGone
)

// Final is the one final answer to a call.
type Final struct {
	Kind        FinalKind
	Call        *EstablishedCall // with Stands
	RetryAfter  int64            // with Turned and GivenUp: when to come back
	NoAgentFree bool             // with Turned: no agent was free
	// MayHaveRun, with GivenUp: an attempt may have been carried out, and trying again is not harmless.
	MayHaveRun bool
	// Errored: the last pool could make nothing of the set-up.
	Errored bool
}

// EstablishedCall is a call that stands. End or WaitEnd must be called once.
type EstablishedCall struct {
	Leg
	d       *Dispatcher
	call    uint64
	attempt Attempt
}

// Serve takes one call from its set-up to its final answer. ctx is done when the caller leaves, and then no
// answer is owed; or when the call is given up at the end of the process (errGivenUp), and then one is.
func Serve(ctx context.Context, d *Dispatcher, t Inviter, r Request, s Setup) Final {
	errored, ran := false, false
	// settled is f as the rules of the call's class allow it. Guards against a call that may stand at a pool, of a
	// class whose set-ups must not be repeated, being refused when the process ends: its caller would try again.
	settled := func(f Final) Final {
		if ran && d.engine.once(r.Class) {
			f.Kind, f.NoAgentFree, f.MayHaveRun = FinalFailed, false, true
		}
		return f
	}
	left := func() Final {
		if errors.Is(context.Cause(ctx), errGivenUp) {
			return settled(Final{Kind: FinalRejected, RetryAfter: d.engine.most})
		}
		return Final{Kind: FinalCallerGone}
	}
	for {
		p, err := d.Pick(ctx, r)
		switch {
		case err != nil && ctx.Err() != nil:
			return left()
		case errors.Is(err, ErrClosed):
			return settled(Final{Kind: FinalRejected, RetryAfter: leastAfter})
		case err != nil || p.Kind == DecisionFail:
			return settled(Final{Kind: FinalFailed, RetryAfter: max(p.RetryAfter, leastAfter), Errored: errored})
		case p.Kind == DecisionReject:
			return settled(Final{Kind: FinalRejected, RetryAfter: p.RetryAfter, NoAgentFree: p.NoAgentFree, Errored: errored})
		}
		a := Attempt{Setup: s, Pool: p.Pool, Number: p.Attempt, DecidedAt: p.DecidedAt, Deadline: r.Deadline, SendBy: p.SendBy}
		if p.Timeout > 0 {
			a.Deadline = min(a.Deadline, p.DecidedAt+p.Timeout)
		}
		leg, end := t.Invite(ctx, a)
		report := Result{
			Call: r.Call, Attempt: p.Attempt, Pool: p.Pool, Outcome: end.Outcome,
			Took: end.At - p.DecidedAt, Load: end.Load, CallerGone: ctx.Err() != nil,
		}
		ran = ran || !end.Outcome.neverRan()
		if leg == nil {
			d.Report(report)
			if report.CallerGone {
				return left()
			}
			errored = end.Outcome == Errored
			continue
		}
		if report.CallerGone || d.Now() >= r.Deadline { // the answer crossed the caller's leaving: nobody is served by it
			leg.Release(CauseNormal)
			report.Outcome, report.CallerGone = Cancelled, true
			d.Report(report)
			if ctx.Err() != nil {
				return left()
			}
			return settled(Final{Kind: FinalFailed, RetryAfter: leastAfter})
		}
		report.Outcome = Answered
		d.Report(report)
		return Final{Kind: FinalEstablished, Call: &EstablishedCall{leg, d, r.Call, a}}
	}
}

// CauseNormal and CauseCut are the Q.850 causes of calls that have come to their end and that were cut.
const (
	CauseNormal = 16
	CauseCut    = 41
)

// WaitEnd waits until the pool ends the call, or until released hands the cause with which the caller
// does, and reports the end. It tells the cause, and whether the pool ended it: the caller is to be told
// then. When ctx is done first the call is left standing.
func (s *EstablishedCall) WaitEnd(ctx context.Context, released <-chan int) (cause int, byPool bool) {
	select {
	case <-s.Done():
		e := s.Ending()
		s.report(e)
		return e.Cause, true
	case cause = <-released:
		s.End(cause)
		return cause, false
	case <-ctx.Done():
		return 0, false
	}
}

// End releases the call towards the pool and reports its end.
func (s *EstablishedCall) End(cause int) {
	s.Release(cause)
	s.report(Ending{Outcome: Cancelled, At: s.d.Now(), Load: UnknownLoad})
}

func (s *EstablishedCall) report(e Ending) {
	s.d.Report(Result{
		Call: s.call, Attempt: s.attempt.Number, Pool: s.attempt.Pool, Outcome: e.Outcome,
		Took: e.At - s.attempt.DecidedAt, Load: e.Load,
	})
}
