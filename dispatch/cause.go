package dispatch

// The Q.850 causes that callers and endpoints are told.
const (
	CauseNormal           = 16  // an established call was cleared normally
	CauseNoCircuit        = 34  // a set-up was rejected: no agent was free
	CauseCut              = 41  // an established call was cut
	CauseTemporaryFailure = 41  // a set-up has failed: it may have run, or is not valid
	CauseCongestion       = 42  // a set-up was rejected: the endpoints are too busy
	CauseRecoveryOnTimer  = 102 // a set-up has failed: no endpoint was found in time
)

// CauseAllowsRetry reports whether a set-up whose final answer has that cause may be sent again, whatever its class.
func CauseAllowsRetry(cause int) bool {
	switch cause {
	case CauseNoCircuit, CauseCongestion, CauseRecoveryOnTimer:
		return true
	}
	return false
}
