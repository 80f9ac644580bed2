package dispatch

import "eidertrail/internal/telemetry"

// FinalKind is what a final answer means to its caller. Each kind has one meaning, and decides alone what a frontend
// may say of a retry.
type FinalKind int

// The final answers. The zero value is the one after which nothing may be sent again.
const (
	// FinalMayHaveRun: an attempt may have been carried out, and set-ups of the class must not be repeated then.
	FinalMayHaveRun  FinalKind = iota
	FinalEstablished           // the call is established
	FinalNoAgent               // rejected, as no agent was free
	FinalCongestion            // rejected, as no endpoint takes the call now
	FinalTimedOut              // no endpoint was found in the caller's time
	FinalCallerGone            // none is owed: the caller has left
	finalKindCount
)

// FinalKinds returns every kind of final answer that a CallerConn can get.
func FinalKinds() []FinalKind {
	kinds := make([]FinalKind, 0, finalKindCount)
	for kind := range finalKindCount {
		if kind != FinalCallerGone {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// String returns the kind's name.
func (k FinalKind) String() string {
	switch k {
	case FinalMayHaveRun:
		return "may have run"
	case FinalEstablished:
		return "established"
	case FinalNoAgent:
		return "no agent"
	case FinalCongestion:
		return "congestion"
	case FinalTimedOut:
		return "timed out"
	case FinalCallerGone:
		return "caller gone"
	}
	return "unknown"
}

// Cause returns the Q.850 cause of a set-up that was not established. A kind without a cause of its own has that of a
// set-up that may have run.
func (k FinalKind) Cause() int {
	switch k {
	case FinalNoAgent:
		return CauseNoCircuit
	case FinalCongestion:
		return CauseCongestion
	case FinalTimedOut:
		return CauseRecoveryOnTimer
	}
	return CauseTemporaryFailure
}

// AllowsRetry reports whether a retry is harmless: nothing was carried out, or the class may be repeated.
func (k FinalKind) AllowsRetry() bool { return CauseAllowsRetry(k.Cause()) }

// rejects reports whether the call was rejected without waiting for the end of its time.
func (k FinalKind) rejects() bool { return k == FinalNoAgent || k == FinalCongestion }

// outcome is the final answer as its caller sees it; a caller that has left sees none.
func (k FinalKind) outcome() telemetry.Outcome {
	switch {
	case k == FinalEstablished:
		return telemetry.OutcomeAnswered
	case k.AllowsRetry():
		return telemetry.OutcomeDeferred
	}
	return telemetry.OutcomeErrored
}

// Final is the one final answer to a call.
type Final struct {
	Kind FinalKind
	Call *EstablishedCall // with FinalEstablished
	// Errored: the last endpoint rejected the set-up as one that it cannot process.
	Errored bool

	retryAfter int64 // µs
}

// RetryAfter returns after how many µs a retry is welcome. It reports false where a retry is not harmless: a frontend
// names no time then.
func (f Final) RetryAfter() (micros int64, harmless bool) {
	if !f.Kind.AllowsRetry() {
		return 0, false
	}
	return f.retryAfter, true
}
