package frontendtest

import (
	"context"
	"time"

	"eidertrail/dispatch"
)

// Pools is a dispatch.Inviter that records each attempt and ends it as the scenario last said. The scenario sets its
// fields while no attempt is being sent.
type Pools struct {
	*Journal
	// CallName is how the journal names a call; nil: by its id.
	CallName func(id string) string
	Outcome  dispatch.Outcome
	Load     dispatch.LoadReport
	SDP      string // of answers
	Muted    bool   // attempts are not recorded
	Legs     []*Leg // of the calls that were answered
}

// Invite implements dispatch.Inviter. An attempt that times out stays out until the caller disconnects or its time is
// over.
func (p *Pools) Invite(ctx context.Context, attempt dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	p.record(attempt)
	ending, leg := p.begin(attempt)
	switch ending.Outcome {
	case dispatch.Answered:
		return leg, ending
	case dispatch.TimedOut:
		select {
		case <-ctx.Done():
			ending.Outcome = dispatch.Cancelled
		case <-time.After(time.Duration(attempt.Deadline-attempt.DecidedAt) * time.Microsecond):
			ending.At = attempt.Deadline
		}
	}
	return nil, ending
}

func (p *Pools) record(attempt dispatch.Attempt) {
	if p.Muted {
		return
	}
	name := attempt.ID
	if p.CallName != nil {
		name = p.CallName(name)
	}
	p.Add("  pool %s is told: attempt %d of %s, class %s, number %s, times out after %d µs, sdp %s",
		attempt.Endpoint, attempt.Number, name, Shown(attempt.Class), attempt.Setup.Number,
		attempt.Deadline-attempt.DecidedAt, Shown(attempt.SDP))
}

// begin gives the ending that the scenario wants, and the leg of an attempt that is answered.
func (p *Pools) begin(attempt dispatch.Attempt) (dispatch.Ending, *Leg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ending := dispatch.Ending{Outcome: p.Outcome, At: attempt.DecidedAt, Load: p.Load}
	if ending.Outcome != dispatch.Answered {
		return ending, nil
	}
	leg := &Leg{journal: p.Journal, sdp: p.SDP, done: make(chan struct{})}
	p.Legs = append(p.Legs, leg)
	return ending, leg
}

// Leg is an established call at a pool. It implements dispatch.Leg.
type Leg struct {
	journal *Journal
	sdp     string
	done    chan struct{}
	ending  dispatch.Ending
}

// SDP implements dispatch.Leg.
func (l *Leg) SDP() string { return l.sdp }

// Done implements dispatch.Leg.
func (l *Leg) Done() <-chan struct{} { return l.done }

// Ending implements dispatch.Leg.
func (l *Leg) Ending() dispatch.Ending { return l.ending }

// Release implements dispatch.Leg.
func (l *Leg) Release(cause int) { l.journal.Add("  pool is told: release, cause %d", cause) }

// End has the pool end the call.
func (l *Leg) End(outcome dispatch.Outcome, cause int) {
	l.ending = dispatch.Ending{Outcome: outcome, Cause: cause, Load: dispatch.UnknownLoad}
	close(l.done)
}
