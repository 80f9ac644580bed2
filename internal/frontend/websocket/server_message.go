package websocket

import (
	"strconv"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
)

// The types of messages that the server sends.
const (
	typeAnswer   = "answer"
	typeRejected = "refused"
	typeFailed   = "failed"
	typeReleased = "released"
	typePong     = "pong"
	typeError    = "error"
)

const microsPerMilli = 1000

// finalMessage is the final answer to a set-up.
func finalMessage(id string, final dispatch.Final) []byte {
	if final.Kind == dispatch.FinalEstablished {
		return answerMessage(id, final.Call.SDP())
	}
	messageType, code := finalTypeAndCode(final.Kind)
	retryAfter, harmless := final.RetryAfter()
	if !harmless {
		return failedMessage(id, code, final.Kind.Cause())
	}
	return rejectedMessage(messageType, id, code, final.Kind.Cause(), retryAfter)
}

// finalTypeAndCode are the type and the code of the final answer to a set-up that was not established.
func finalTypeAndCode(kind dispatch.FinalKind) (messageType string, code Code) {
	switch kind {
	case dispatch.FinalNoAgent:
		return typeRejected, NoAgent
	case dispatch.FinalCongestion:
		return typeRejected, Congestion
	case dispatch.FinalTimedOut:
		return typeFailed, TimedOut
	}
	return typeFailed, MayHaveRun
}

func answerMessage(id, sdp string) []byte {
	b := newMessage(typeAnswer, id)
	b = appendText(b, "sdp", sdp)
	return append(b, '}')
}

// rejectedMessage is the final answer to a set-up that may be sent again.
func rejectedMessage(messageType, id string, code Code, cause int, retryAfter int64) []byte {
	b := appendReason(newMessage(messageType, id), code, cause)
	b = appendNumber(b, "retry_after_ms", retryAfterMillis(retryAfter))
	return append(b, '}')
}

// failedMessage is the final answer to a set-up that must not be sent again.
func failedMessage(id string, code Code, cause int) []byte {
	b := appendReason(newMessage(typeFailed, id), code, cause)
	return append(b, '}')
}

func appendReason(b []byte, code Code, cause int) []byte {
	b = appendText(b, "code", string(code))
	return appendNumber(b, "cause", int64(cause))
}

// releasedMessage is the end of an established call.
func releasedMessage(id string, cause int) []byte {
	b := newMessage(typeReleased, id)
	b = appendNumber(b, "cause", int64(cause))
	return append(b, '}')
}

func pongMessage(id string, ready bool) []byte {
	b := newMessage(typePong, id)
	b = append(b, `,"ready":`...)
	b = strconv.AppendBool(b, ready)
	return append(b, '}')
}

// errorMessage says that a message was not accepted. retryAfter is in µs, 0 for none.
func errorMessage(id string, err error, retryAfter int64) []byte {
	b := newMessage(typeError, id)
	b = appendText(b, "code", string(codeOf(err)))
	b = appendText(b, "message", err.Error())
	if retryAfter > 0 {
		b = appendNumber(b, "retry_after_ms", retryAfterMillis(retryAfter))
	}
	return append(b, '}')
}

// retryAfterMillis rounds µs up to whole milliseconds, one at least: with 0 the client would retry at once.
func retryAfterMillis(micros int64) int64 {
	return max(1, (micros+microsPerMilli-1)/microsPerMilli)
}

// newMessage begins a message; one without an id names no call.
func newMessage(messageType, id string) []byte {
	b := linecodec.AppendString([]byte(`{"type":`), messageType)
	if id != "" {
		b = appendText(b, "id", id)
	}
	return b
}

func appendText(b []byte, name, value string) []byte {
	return linecodec.AppendString(appendName(b, name), value)
}

func appendNumber(b []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendName(b, name), value, 10)
}

func appendName(b []byte, name string) []byte {
	b = append(b, `,"`...)
	b = append(b, name...)
	return append(b, `":`...)
}
