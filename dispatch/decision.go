package dispatch

// DecisionKind is what was decided for a call.
type DecisionKind int

// The decisions.
const (
	DecisionSend   DecisionKind = iota // send an attempt, then Report
	DecisionReject                     // final: rejected, a retry is harmless
	DecisionFail                       // final: no endpoint was found in time
)

// Decision is the decision for a call.
type Decision struct {
	Kind        DecisionKind
	Endpoint    string // the uid of the endpoint that gets the attempt
	Attempt     int
	Timeout     int64 // of the attempt, 0: until the caller's deadline
	DecidedAt   int64 // when it was decided; Result.Took counts from here
	SendBy      int64 // it must not be sent later than this, 0: at any time
	RetryAfter  int64 // with DecisionReject and DecisionFail: when a retry is welcome
	NoAgentFree bool  // with DecisionReject: the last attempt found no free agent
}
