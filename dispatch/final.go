package dispatch

// FinalKind is the kind of a final answer.
type FinalKind int

// The final answers. FinalCallerGone means that none is owed: the caller has left.
const (
	FinalEstablished FinalKind = iota
	FinalRejected              // a retry is harmless: no attempt was carried out, or the class is idempotent
	FinalFailed
	FinalCallerGone
)

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
