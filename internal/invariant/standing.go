package invariant

import "slices"

// The times within which a caller is told that its call is over, µs.
const (
	// toldAfterRelease counts from the release by the pool, toldAfterEnd from the call's end where no release was sent.
	toldAfterRelease, toldAfterEnd = 1_000_000, 8_000_000
)

// standingCall is a call that was answered and has ended, and whose caller is to be told.
type standingCall struct {
	endedAt    int64
	releasedAt int64 // the pool's release has reached the controller, 0: it has not
}

// CallOver records the end of an established call at its pool. Without a caller to be told it is not recorded.
func (c *Checker) CallOver(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over[id] == nil {
		c.over[id] = &standingCall{endedAt: now}
	}
}

// CallReleased records that the pool's release of a call has reached the controller.
func (c *Checker) CallReleased(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if over := c.over[id]; over != nil && over.releasedAt == 0 {
		over.releasedAt = now
	}
}

// EndTold records that the caller was told of its call's end.
func (c *Checker) EndTold(now int64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if over := c.over[id]; over != nil {
		c.report(c.checkToldInTime(now, id, over))
	}
	delete(c.over, id)
}

// EndExcused records that nobody is owed the end of a call: its process has ended, or its caller is not reachable.
func (c *Checker) EndExcused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.over, id)
}

// CheckEndsTold checks the calls whose callers were not told yet. A call that was reported is not checked again.
func (c *Checker) CheckEndsTold(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.over))
	for id := range c.over {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if violation := c.checkToldInTime(now, id, c.over[id]); violation != nil {
			c.report(violation)
			delete(c.over, id)
		}
	}
}

func (c *Checker) checkToldInTime(now int64, id string, over *standingCall) *Violation {
	due := over.endedAt + toldAfterEnd
	if over.releasedAt != 0 {
		due = min(due, over.releasedAt+toldAfterRelease)
	}
	if now <= due+c.config.TimeTolerance {
		return nil
	}
	return violated(RuleEndTold, now, id, "the caller was not told %.2f s after the call's end", seconds(now-over.endedAt))
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
