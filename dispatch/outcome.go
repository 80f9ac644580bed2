package dispatch

import "eidertrail"

// Outcome is what became of an attempt.
type Outcome int

// The outcomes.
const (
	Answered      Outcome = iota // the call is established; a further Report ends it
	Ended                        // the call was established and has ended
	Errored                      // a signalling fault
	LinesBusy                    // all lines of the number are busy
	NoAgent                      // the endpoint has no free agent
	ProcessorFull                // the endpoint's processor is full
	TimedOut
	ConnectFailed // it never reached the endpoint
	Reset         // the set-up or the established call was cut
	Cancelled     // called off
	NotSent       // never sent
	outcomeCount
)

// name is the outcome's name in the log.
func (o Outcome) name() string {
	switch o {
	case Answered:
		return "answered"
	case Ended:
		return "ended"
	case NoAgent:
		return "no agent"
	case ProcessorFull:
		return "processor full"
	case Errored:
		return "errored"
	case LinesBusy:
		return "lines busy"
	case TimedOut:
		return "timed out"
	case ConnectFailed:
		return "connect failed"
	case Reset:
		return "reset"
	case Cancelled:
		return "cancelled"
	case NotSent:
		return "not sent"
	}
	return "unknown"
}

// neverRan reports whether the outcome proves that the attempt was not carried out.
func (o Outcome) neverRan() bool { return o.status().NeverRan() }

// awaitsRelease reports whether the endpoint's release must be awaited before the next attempt.
func (o Outcome) awaitsRelease() bool {
	return o == TimedOut || o == Reset || o == Cancelled
}

// blamesEndpoint reports whether routing counts the outcome as a fault of the endpoint.
func (o Outcome) blamesEndpoint() bool {
	return o == TimedOut || o == Reset || o == ConnectFailed || o == Errored
}

// status is the outcome as the module knows it. What is not an outcome proves nothing of its attempt.
func (o Outcome) status() eidertrail.Status {
	switch o {
	case Answered, Ended:
		return eidertrail.Ended
	case NoAgent, ProcessorFull:
		return eidertrail.Full
	case TimedOut:
		return eidertrail.TimedOut
	case ConnectFailed:
		return eidertrail.ConnectFailed
	case Reset:
		return eidertrail.Reset
	case Cancelled:
		return eidertrail.Cancelled
	case NotSent:
		return eidertrail.NotSent
	}
	return eidertrail.Error
}

// cause refines the outcome's status.
func (o Outcome) cause() eidertrail.Cause {
	switch o {
	case LinesBusy:
		return eidertrail.LinesBusy
	case NoAgent:
		return eidertrail.NoAgent
	case ProcessorFull:
		return eidertrail.ProcessorFull
	}
	return eidertrail.NoCause
}
