package dispatch

import (
	"cmp"
	"slices"

	"eidertrail"
)

// maxAttempts is how many attempts a call may have at most, whatever the module decides and the settings say.
const maxAttempts = 2

// maySend is the last check of the rules, whatever the module decides: one attempt at a time, no more attempts than the
// site allows, the release awaited, no repetition of a call that is not idempotent once it may have been carried out,
// not where a message of an earlier attempt may still be on its way, and only to an endpoint that is listed as up, that
// the filters offer and that the class may use.
func (e *Engine) maySend(now int64, candidate *call, uid string) bool {
	endpoint, listed := e.endpoints[uid]
	switch {
	case candidate.state != callWaiting,
		candidate.attempt >= min(maxAttempts, cmp.Or(e.settings.MaxAttempts, maxAttempts)),
		candidate.mayHaveRun && e.mustNotRepeat(candidate.Class),
		now < candidate.notBefore,
		now >= candidate.Deadline,
		uid == candidate.inDoubtAt,
		!listed,
		endpoint.Mode != eidertrail.Ready,
		!e.filters.admits(now, uid, candidate.Class):
		return false
	}
	groups := e.settings.Classes[candidate.Class].Pools
	return groups == nil || slices.Contains(groups, endpoint.Group)
}

// mustNotRepeat reports whether a set-up of the class must not be repeated once it may have been carried out.
func (e *Engine) mustNotRepeat(class int) bool {
	return class >= 0 && class < len(e.settings.Classes) &&
		e.settings.Classes[class].Idempotency != eidertrail.Idempotent
}
