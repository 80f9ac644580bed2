package websocket

import (
	"errors"

	"eidertrail/dispatch"
)

// Code says what went wrong, in a word that programs can compare.
type Code string

// The codes of rejections and failures, which are final answers.
const (
	NoAgent      Code = "no_agent"      // refused: no agent was free
	Congestion   Code = "congestion"    // refused: the pools are too busy
	TimedOut     Code = "timed_out"     // failed: no place was found in the time that the caller gave
	MayHaveRun   Code = "may_have_run"  // failed: the call may have been carried out and must not be sent again
	ShuttingDown Code = "shutting_down" // refused: this controller is about to end
)

// The codes of errors: the message was not accepted.
const (
	BadJSON      Code = "bad_json"
	BadMessage   Code = "bad_message"
	UnknownType  Code = "unknown_type"
	BadID        Code = "bad_id"
	BadClass     Code = "bad_class"
	BadLeft      Code = "bad_left"
	BadNumber    Code = "bad_number"
	DuplicateID  Code = "duplicate_id"
	UnknownID    Code = "unknown_id"
	CallEnded    Code = "call_over" // a cancel or release crossed the call's end
	TooManyCalls Code = "too_many_calls"
)

var (
	errJSON = errors.New("not JSON")
	errType = errors.New("type: not known")
)

// codeOf is the code of a message's error. The first match counts.
func codeOf(err error) Code {
	for _, known := range []struct {
		err  error
		code Code
	}{
		{dispatch.ErrInvalidID, BadID},
		{dispatch.ErrUnknownClass, BadClass},
		{dispatch.ErrInvalidTimeout, BadLeft},
		{dispatch.ErrInvalidNumber, BadNumber},
		{dispatch.ErrDuplicateID, DuplicateID},
		{dispatch.ErrTooManyCalls, TooManyCalls},
		{dispatch.ErrUnknownCall, UnknownID},
		{dispatch.ErrCallEnded, CallEnded},
		{errJSON, BadJSON},
		{errType, UnknownType},
	} {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return BadMessage
}
