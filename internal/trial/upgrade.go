package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"eidertrail/internal/invariant"
)

const (
	// upgradeYesTimeout is within what time the new process says yes; without one SIGTERM comes then all the same.
	upgradeYesTimeout = 6 * time.Second
	// upgradeKillDeadline bounds the longest deadline after which SIGKILL comes to the old process.
	upgradeKillDeadline = 5 * time.Second
	// notifiedAfterUpgrade is within what time after the yes the endpoint list's events count as notified.
	notifiedAfterUpgrade = 2 * time.Second
	// upgradePollInterval is how often the supervisor asks the new process.
	upgradePollInterval = 20 * time.Millisecond
)

// upgrade is one replacement of a process that is under way. The process's mutex guards it.
type upgrade struct {
	counts    *counts // of what may be either incarnation's
	failures  int     // connections that were refused or reset, or whose request was not read
	disturbed bool    // a signal of another fault came to either
}

// replace replaces the process's incarnation as operators do: a second one starts beside it, SIGTERM comes at its yes
// or after 6 s, and SIGKILL at the earliest time.
func (p *process) replace(ctx context.Context) {
	if !p.upgrading.TryLock() {
		return
	}
	defer p.upgrading.Unlock()
	old, next := p.startBeside(ctx)
	if next == nil {
		return
	}
	took, yes := p.awaitYes(ctx, next)
	if ctx.Err() != nil {
		return
	}
	p.promote(old, next, yes)
	p.awaitOldEnd(ctx, old)
	p.finishUpgrade(old, next, took, yes)
}

// replaceAndKill starts a second process beside the first, and kills it after a while: the first serves on.
func (p *process) replaceAndKill(ctx context.Context, after time.Duration) {
	if !p.upgrading.TryLock() {
		return
	}
	defer p.upgrading.Unlock()
	old, next := p.startBeside(ctx)
	if next == nil {
		return
	}
	sleep(ctx, after)
	p.mu.Lock()
	p.upgrade.disturbed = true // the connections of the process that is killed are reset
	exited := next.signal(syscall.SIGKILL)
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
	sleep(ctx, settleExit)
	p.finishUpgrade(next, old, 0, true)
}

// startBeside starts the incarnation that is to replace the current one. It returns nil where none serves.
func (p *process) startBeside(ctx context.Context) (old, next *incarnation) {
	p.starting.Lock()
	defer p.starting.Unlock()
	p.mu.Lock()
	old = p.current
	serves := old.running && old.stopped.IsZero() && old.wasReady
	if serves {
		p.upgrade = &upgrade{counts: newCounts()}
		old.shared = true
	}
	p.mu.Unlock()
	if !serves || ctx.Err() != nil {
		return nil, nil
	}
	started, err := p.launch(ctx, p.list.present(), true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.upgrade = nil
		return nil, nil
	}
	p.next = started
	return old, started
}

// awaitYes waits until the new process says yes at its own address.
func (p *process) awaitYes(ctx context.Context, next *incarnation) (took time.Duration, yes bool) {
	for sleep(ctx, upgradePollInterval) {
		took = time.Since(next.startAt)
		answer := p.callAt(ctx, next.control, http.MethodGet, "/_ready")
		if answer.err == nil && answer.status == http.StatusOK {
			return took, true
		}
		p.mu.Lock()
		exited := !next.running
		p.mu.Unlock()
		if took > upgradeYesTimeout || exited {
			return took, false
		}
	}
	return took, false
}

// promote sends SIGTERM to the old process; from then on the new one is the process's.
func (p *process) promote(old, next *incarnation, yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.timeline.add(p.name, fmt.Sprintf("%s says yes: %t", next.name, yes))
	next.wasReady = next.wasReady || yes
	old.signal(syscall.SIGTERM)
	if next.running && p.current == old {
		p.current = next
	}
	if yes {
		p.list.replaced()
	}
}

// awaitOldEnd waits for the old process's end, and kills it at the earliest time.
func (p *process) awaitOldEnd(ctx context.Context, old *incarnation) {
	earliest := time.NewTimer(min(p.world.plan.LongestDeadline(), upgradeKillDeadline) + killDelay)
	defer earliest.Stop()
	select {
	case <-old.exited:
	case <-ctx.Done():
	case <-earliest.C:
		p.mu.Lock()
		exited := old.signal(syscall.SIGKILL)
		p.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// finishUpgrade ends the time of two processes, and has it judged.
func (p *process) finishUpgrade(ended, left *incarnation, took time.Duration, yes bool) {
	p.mu.Lock()
	finished := p.upgrade
	p.upgrade, p.next = nil, nil
	leftRuns := left.running
	p.mu.Unlock()
	p.world.timeline.add(p.name, fmt.Sprintf("%s is gone, %s runs: %t", ended.name, left.name, leftRuns))
	if finished.disturbed {
		return
	}
	p.world.checker.ProcessReplaced(p.world.now(), left.name, invariant.Replacement{
		TookMicros:        took.Microseconds(),
		BecameReady:       yes,
		FailedConnections: finished.failures,
	})
}

// connectionFailed notes that a connection was refused or reset, or that its request was not read.
func (p *process) connectionFailed(err error) {
	failed := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upgrade != nil && failed {
		p.upgrade.failures++
		p.world.timeline.add(p.name, fmt.Sprintf("connection failed during an upgrade: %v", err))
	}
}

// requestUnread notes that a request crossed the end of its connection.
func (p *process) requestUnread(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upgrade != nil {
		p.upgrade.failures++
		p.world.timeline.add(p.name, "request unread during an upgrade: "+id)
	}
}

// upgradeUnderWay reports whether two incarnations run.
func (p *process) upgradeUnderWay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upgrade != nil
}

// blockLog leaves the current incarnation's log unread for a while.
func (p *process) blockLog(ctx context.Context, duration time.Duration) {
	p.mu.Lock()
	log := p.current.log
	p.mu.Unlock()
	log.block(ctx, duration)
}
