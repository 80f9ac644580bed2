package eidertrail

import "time"

// Action is one thing for the host to do, in order. The concrete types follow.
type Action interface{ action() }

// Send starts an attempt. A call's attempts are numbered from 0 in the order of its Sends.
type Send struct {
	Call    CallID
	Server  ServerID
	Timeout time.Duration // of the attempt; 0: until the caller gives up
}

// Reject is a final answer: the call is not admitted. RetryAfter estimates when a retry is likely to succeed.
type Reject struct {
	Call       CallID
	RetryAfter time.Duration
}

// Fail is a final answer: the call was given up. RetryAfter is as in Reject.
type Fail struct {
	Call       CallID
	RetryAfter time.Duration
}

// WakeAt requests a Wake after In.
type WakeAt struct {
	Token uint64
	In    time.Duration
}

// Watch requests the server list, and its changes from now on.
type Watch struct{}

func (Send) action()   {}
func (Reject) action() {}
func (Fail) action()   {}
func (WakeAt) action() {}
func (Watch) action()  {}
