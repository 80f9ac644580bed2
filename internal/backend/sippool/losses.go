package sippool

import (
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

const (
	// rejectedTimeout is how long a pool must refuse connections before its calls count as lost. A process that has ended
	// refuses at once; one that only has too many connections soon accepts one again.
	rejectedTimeout = time.Second
	// unreachableTimeout is the same for a pool to which no connection comes up at all: a machine that was cut off may
	// come back.
	unreachableTimeout = 5 * time.Second
)

// terminateUnreachable ends the calls of a pool that has been unreachable for too long, is removed or has gone: at its
// address, where its own releases would come from, is another one.
func (p *pool) terminateUnreachable() {
	now := p.set.now()
	p.mu.Lock()
	var lost []*dialog
	if p.superseded || p.removalExpired(now) || p.isLost(now) {
		lost = p.establishedDialogs()
		p.pendingReleases = nil
	}
	p.mu.Unlock()
	p.terminateLost(lost)
}

// isLost reports whether the pool has been without a connection for so long that its calls count as lost. The caller
// holds mu.
func (p *pool) isLost(now int64) bool {
	if p.downSince <= 0 || p.failedHere {
		return false
	}
	rejected := p.rejectedSince > 0 && elapsed(p.rejectedSince, now) >= rejectedTimeout
	return rejected || elapsed(p.downSince, now) >= unreachableTimeout
}

// establishedDialogs returns the calls that are established. The caller holds mu.
func (p *pool) establishedDialogs() []*dialog {
	dialogs := make([]*dialog, 0, len(p.established))
	for _, d := range p.established {
		dialogs = append(dialogs, d)
	}
	return dialogs
}

// terminateLost terminates the calls of a pool that is lost, and logs how many there are.
func (p *pool) terminateLost(dialogs []*dialog) {
	if len(dialogs) > 0 {
		p.set.cfg.Log.Warn().Str("pool", p.uid).Int("calls", len(dialogs)).Msg("pool lost, its calls are released")
	}
	p.terminate(dialogs)
}

// terminate ends established calls whose own release will not come.
func (p *pool) terminate(dialogs []*dialog) {
	for _, d := range dialogs {
		if d.terminate(lostCallEnding(p.set.now())) {
			p.count(telemetry.CutCalls)
		}
	}
}

// connectionStable marks the calls whose release may have been lost for good as unconfirmed.
func (p *pool) connectionStable(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answeredBefore, unconfirmedUntil, lost := p.losses.connectionStable(now)
	if !lost {
		return
	}
	for _, d := range p.established {
		if d.answeredAt < answeredBefore && d.unconfirmedUntil == 0 {
			d.unconfirmedUntil = unconfirmedUntil
		}
	}
}

// releaseUnconfirmed releases, towards both sides, the calls that have been unconfirmed for too long.
func (p *pool) releaseUnconfirmed(now int64) {
	for _, d := range p.expiredUnconfirmed(now) {
		p.count(telemetry.UncertainCalls)
		p.set.cfg.Log.Warn().Str("pool", p.uid).Str("call", d.callID).
			Msg("call end may be lost, call released")
		d.release(lostCallEnding(now))
	}
}

func (p *pool) expiredUnconfirmed(now int64) []*dialog {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*dialog
	for _, d := range p.established {
		if d.unconfirmedUntil > 0 && now >= d.unconfirmedUntil {
			expired = append(expired, d)
		}
	}
	return expired
}

// lostCallEnding returns the ending of a call that was lost with its pool or connection.
func lostCallEnding(now int64) dispatch.Ending {
	ending := endingAt(now, dispatch.Reset)
	ending.Cause = dispatch.CauseCut
	return ending
}
