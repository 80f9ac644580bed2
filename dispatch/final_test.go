package dispatch

import (
	"slices"
	"testing"
)

// The cause of a kind decides what a frontend may say of a retry: no two kinds share one, and neither the zero value
// nor a kind without a cause of its own allows a retry.
func TestFinalKind_CauseDecidesWhetherARetryIsHarmless(t *testing.T) {
	const unknownKind = finalKindCount
	causes := map[int]FinalKind{}
	for _, kind := range append(FinalKinds(), unknownKind) {
		final := Final{Kind: kind, retryAfter: minRetryAfterMicros}
		retryAfter, harmless := final.RetryAfter()
		want := slices.Contains([]FinalKind{FinalNoAgent, FinalCongestion, FinalTimedOut}, kind)
		if harmless != want || (retryAfter > 0) != want || kind.AllowsRetry() != want {
			t.Errorf("%v: a retry is harmless: %t, after %d µs; want %t", kind, harmless, retryAfter, want)
		}
		if other, taken := causes[kind.Cause()]; taken && want {
			t.Errorf("%v and %v have the cause %d", kind, other, kind.Cause())
		}
		causes[kind.Cause()] = kind
	}
	if (FinalKind(0)).AllowsRetry() || (Final{}).Kind == FinalEstablished {
		t.Error("the zero value of a final answer says more than that the call may have run")
	}
}
