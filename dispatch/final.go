package dispatch

import "eidertrail/internal/telemetry"

// FinalKind is the kind of a final answer.
type FinalKind int

// The final answers. FinalCallerGone means that none is owed: the caller has left.
const (
	FinalEstablished FinalKind = iota
	FinalRejected              // a retry is harmless: no attempt was carried out, or the class is idempotent
	FinalFailed
	FinalCallerGone
)

// String returns the kind's name.
func (k FinalKind) String() string {
	switch k {
	case FinalEstablished:
		return "established"
	case FinalRejected:
		return "rejected"
	case FinalFailed:
		return "failed"
	case FinalCallerGone:
		return "caller gone"
	}
	return "unknown"
}

// outcome is the final answer as its caller sees it; a caller that has left sees none.
func (f Final) outcome() telemetry.Outcome {
	switch {
	case f.Kind == FinalEstablished:
		return telemetry.OutcomeAnswered
	case f.Kind == FinalFailed && f.MayHaveRun:
		return telemetry.OutcomeErrored
	}
	return telemetry.OutcomeDeferred
}

// Final is the one final answer to a call.
type Final struct {
	Kind        FinalKind
	Call        *EstablishedCall // with FinalEstablished
	RetryAfter  int64            // with FinalRejected and FinalFailed: when a retry is welcome
	NoAgentFree bool             // with FinalRejected: no agent was free
	// MayHaveRun, with FinalFailed: an attempt may have been carried out, and a retry is not harmless.
	MayHaveRun bool
	// Errored: the last endpoint rejected the set-up as one that it cannot process.
	Errored bool
}
