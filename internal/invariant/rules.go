package invariant

// attempt is an attempt of a call as it is sent.
type attempt struct {
	at                   int64 // it was sent by then
	earliest             int64 // and no earlier
	id, controller, pool string
}

// final is a final answer to a call.
type final struct {
	at         int64
	id, answer string
}

// checkAttempt returns the first rule's violation by an attempt, nil if it keeps all. The order decides which of
// several violations is reported.
func (c *Checker) checkAttempt(k *call, a attempt) *Violation {
	for _, check := range []func(*call, attempt) *Violation{
		c.checkSingleAttempt,
		c.checkMaxAttempts,
		c.checkReleaseAwaited,
		c.checkEndpointOpen,
		c.checkNotAfterAnswer,
		c.checkNotAfterCaller,
	} {
		if v := check(k, a); v != nil {
			return v
		}
	}
	return nil
}

func (c *Checker) checkSingleAttempt(k *call, a attempt) *Violation {
	if !k.inFlight {
		return nil
	}
	return violated(RuleSingleAttempt, a.at, a.id, "a second attempt is out, at %s", a.pool)
}

func (c *Checker) checkMaxAttempts(k *call, a attempt) *Violation {
	if k.attempts < c.config.MaxAttempts {
		return nil
	}
	return violated(RuleMaxAttempts, a.at, a.id, "sent for the %d. time", k.attempts+1)
}

func (c *Checker) checkReleaseAwaited(k *call, a attempt) *Violation {
	if a.at >= k.releasedAt {
		return nil
	}
	early := (k.releasedAt - a.at + microsPerMilli - 1) / microsPerMilli // rounded up
	return violated(RuleReleaseAwaited, a.at, a.id, "sent again %d ms before its release", early)
}

func (c *Checker) checkEndpointOpen(_ *call, a attempt) *Violation {
	since, closed := c.closedSince[endpointView{a.controller, a.pool}]
	if !closed || a.at <= since+c.config.DrainGrace {
		return nil
	}
	return violated(RuleEndpointOpen, a.at, a.id,
		"sent to %s, which drains or is gone since %.3f s", a.pool, seconds(since))
}

func (c *Checker) checkNotAfterAnswer(k *call, a attempt) *Violation {
	if k.finals == 0 || a.earliest < k.answeredAt {
		return nil
	}
	return violated(RuleNotAfterAnswer, a.at, a.id, "sent after its end")
}

func (c *Checker) checkNotAfterCaller(k *call, a attempt) *Violation {
	if !k.callerGone || a.at <= k.callerGoneAt+c.config.AbandonTolerance {
		return nil
	}
	late := (a.at - k.callerGoneAt) / microsPerMilli
	return violated(RuleNotAfterCaller, a.at, a.id, "sent to %s %d ms after its caller left", a.pool, late)
}

// checkFinal returns the first rule's violation by a final answer, which is counted already, nil if it keeps all.
func (c *Checker) checkFinal(k *call, f final) *Violation {
	for _, check := range []func(*call, final) *Violation{
		c.checkAnswerExpected,
		c.checkSingleAnswer,
		c.checkNothingSentAfter,
		c.checkCallerPresent,
		c.checkAnswerInTime,
	} {
		if v := check(k, f); v != nil {
			return v
		}
	}
	return nil
}

func (c *Checker) checkAnswerExpected(k *call, f final) *Violation {
	if k.accepted {
		return nil
	}
	return violated(RuleAnswerExpected, f.at, f.id, "answered (%s), and was never taken", f.answer)
}

func (c *Checker) checkSingleAnswer(k *call, f final) *Violation {
	if k.finals <= 1 {
		return nil
	}
	return violated(RuleSingleAnswer, f.at, f.id, "a second final answer (%s)", f.answer)
}

// checkNothingSentAfter finds an attempt that was sent after the answer, and was seen before it.
func (c *Checker) checkNothingSentAfter(k *call, f final) *Violation {
	if k.sentAt <= f.at {
		return nil
	}
	return violated(RuleNotAfterAnswer, k.sentAt, f.id, "sent after its end (%s)", f.answer)
}

func (c *Checker) checkCallerPresent(k *call, f final) *Violation {
	if !k.callerGone {
		return nil
	}
	return violated(RuleCallerPresent, f.at, f.id, "answered (%s) after its caller left", f.answer)
}

func (c *Checker) checkAnswerInTime(k *call, f final) *Violation {
	if f.at <= k.deadline+c.config.AnswerTolerance {
		return nil
	}
	late := (f.at - k.deadline) / microsPerMilli
	return violated(RuleAnswerInTime, f.at, f.id, "answered (%s) %d ms late", f.answer, late)
}

func (k *call) checkAcceptedOnce(now int64, id string) *Violation {
	if !k.accepted {
		return nil
	}
	return violated(RuleAcceptedOnce, now, id, "taken twice")
}
