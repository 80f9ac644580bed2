package invariant

import "slices"

// The times within which a caller is told that its call is over, µs.
const (
	// notifyAfterRelease counts from the release by the pool, notifyAfterEnd from the call's end where no release was
	// sent.
	notifyAfterRelease, notifyAfterEnd = 1_000_000, 8_000_000
)

// endedCall is a call that was answered and has ended, and whose caller is to be told.
type endedCall struct {
	endedAt    int64
	releasedAt int64 // the pool's release has reached the controller, 0: it has not
	awayUntil  int64 // no caller was connected then, 0: one was at any time
}

// CallEnded records the end of an established call at its pool. Without a caller to be told it is not recorded.
func (c *Checker) CallEnded(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedCalls[id] == nil {
		c.endedCalls[id] = &endedCall{endedAt: now}
	}
}

// CallReleased records that the pool's release of a call has reached the controller.
func (c *Checker) CallReleased(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.endedCalls[id]; ended != nil && ended.releasedAt == 0 {
		ended.releasedAt = now
	}
}

// EndNotified records that the caller was told of its call's end.
func (c *Checker) EndNotified(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.endedCalls[id]; ended != nil {
		c.report(c.checkNotifiedInTime(now, id, ended))
	}
	delete(c.endedCalls, id)
}

// EndPostponed records that the end of a call cannot be told now, as no caller is connected: it is owed to the next one
// that is.
func (c *Checker) EndPostponed(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.endedCalls[id]; ended != nil {
		ended.awayUntil = now
	}
}

// EndExcused records that nobody is owed the end of a call: its process has ended, or its caller has left.
func (c *Checker) EndExcused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endedCalls, id)
}

// CheckEndsNotified checks the calls whose callers were not told yet. A call that was reported is not checked again.
func (c *Checker) CheckEndsNotified(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.endedCalls))
	for id := range c.endedCalls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if violation := c.checkNotifiedInTime(now, id, c.endedCalls[id]); violation != nil {
			c.report(violation)
			delete(c.endedCalls, id)
		}
	}
}

func (c *Checker) checkNotifiedInTime(now int64, id string, ended *endedCall) *Violation {
	due := ended.endedAt + notifyAfterEnd
	if ended.releasedAt != 0 {
		due = min(due, ended.releasedAt+notifyAfterRelease)
	}
	if ended.awayUntil != 0 {
		due = max(due, ended.awayUntil+notifyAfterRelease)
	}
	if now <= due+c.config.TimeTolerance {
		return nil
	}
	return violated(RuleEndNotified, now, id,
		"the caller was not told %.2f s after the call's end", seconds(now-ended.endedAt))
}

// AnswerLost records an accepted call whose connection ended without its answer.
func (c *Checker) AnswerLost(now int64, id, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(violated(RuleNotLost, now, id, "%s", detail))
	c.call(id).callerGone = true // reported once
}

// AnswerForged records an answer with a description that no pool made for the call.
func (c *Checker) AnswerForged(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(violated(RuleNotForged, now, id, "answered with what no pool made for it"))
}

// SentWhileClosed records an attempt that reached a pool after the time by which its controller had to stop.
func (c *Checker) SentWhileClosed(now int64, id, pool string, late int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(violated(RuleEndpointOpen, now, id, "sent to %s %.2f s after that counts as told", pool, seconds(late)))
}
