package dispatch

// callState is where a call of the engine is between its set-up and its end.
type callState int

const (
	callWaiting     callState = iota // no attempt is in flight
	callSent                         // an attempt was decided on and has no outcome yet
	callEstablished                  // the attempt was answered, and the call has not ended
)

// String returns the state's name.
func (s callState) String() string {
	switch s {
	case callWaiting:
		return "waiting"
	case callSent:
		return "sent"
	case callEstablished:
		return "established"
	default:
		return "unknown"
	}
}

// noAttempt is the number before that of the first attempt.
const noAttempt = -1

// call is what the engine knows of a call. The zero state waits.
type call struct {
	Request
	Decider
	state       callState
	attempt     int    // the number of the latest attempt, noAttempt before the first
	endpoint    string // where the latest attempt went
	notBefore   int64  // the release after the latest attempt is awaited until then
	waitsSince  int64  // it waits for a decision since then
	noAgentFree bool   // the latest attempt found no free agent
	mayHaveRun  bool   // an attempt may have been carried out
	routed      bool   // routing counts it at its endpoint
	inDoubtAt   string // a message of an earlier attempt may still be on its way there, "": none may
}

// attemptEnded takes the outcome of the attempt in flight, or the end of the established call: it waits again, and
// where the endpoint's release must be awaited, no attempt is sent before released.
func (c *call) attemptEnded(outcome Outcome, released int64) {
	c.state = callWaiting
	c.noAgentFree = outcome == NoAgent
	c.mayHaveRun = c.mayHaveRun || !outcome.neverRan()
	if outcome.awaitsRelease() {
		c.notBefore = released
	}
}
