package dispatch

import "context"

// Setup is what a frontend passes on beside the Request. An Inviter gets it unchanged.
type Setup struct {
	ID     string // the caller's name for the call
	Number string // the number called
	Class  string
	SDP    string // the session description
}

// Attempt is one attempt to set a call up.
type Attempt struct {
	Setup
	Endpoint  string // the endpoint's uid
	Number    int    // 0 for the first
	DecidedAt int64  // when it was decided
	Deadline  int64  // it times out then
	// RetriedUntil: no further attempt of the call is made after this; 0: none is made at all.
	RetriedUntil int64
	// SendBy: it must not be sent later than this (NotSent), 0: at any time.
	SendBy int64
}

// Ending is how an attempt or an established call ended.
type Ending struct {
	Outcome Outcome
	At      int64 // when it was seen
	Load    LoadReport
	Cause   int // Q.850 cause of the release, 0 where there is none
	// InDoubt: a message of the attempt may still be on its way to the endpoint. It could end, cancel or repeat a further
	// attempt of the call there.
	InDoubt bool
}

// Leg is a call that is established at an endpoint.
type Leg interface {
	// SDP is the description that the endpoint answered with.
	SDP() string
	// Done is closed when the endpoint has ended the call.
	Done() <-chan struct{}
	// Ending is valid once Done is closed.
	Ending() Ending
	// Release ends the call from the caller's side. It does not wait.
	Release(cause int)
}

// Inviter carries attempts to the endpoints. Invite blocks until the attempt is answered, has ended, is past its
// Deadline (then it is called off, and the ending is TimedOut) or ctx is done (called off, Cancelled).
type Inviter interface {
	Invite(ctx context.Context, a Attempt) (Leg, Ending)
}
