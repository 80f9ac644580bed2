package websocket

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
)

// Code is what went wrong, in a word that programs can compare.
type Code string

// The codes of refusals and failures (final answers), and of errors (what was not accepted as a call).
const (
	NoAgent      Code = "no_agent"      // refused: no agent was free
	Congestion   Code = "congestion"    // refused: the pools are too busy
	TimedOut     Code = "timed_out"     // failed: no place was found in the time that the caller gave
	ShuttingDown Code = "shutting_down" // refused: this controller is about to end

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

var codes = []struct {
	err  error
	code Code
}{
	{dispatch.ErrID, BadID},
	{dispatch.ErrClass, BadClass},
	{dispatch.ErrLeft, BadLeft},
	{dispatch.ErrNumber, BadNumber},
	{dispatch.ErrDuplicate, DuplicateID},
	{dispatch.ErrTooMany, TooManyCalls},
	{dispatch.ErrUnknown, UnknownID},
	{dispatch.ErrCallEnded, CallEnded},
	{errJSON, BadJSON},
	{errType, UnknownType},
}

var (
	errJSON = errors.New("not JSON")
	errType = errors.New("type: not known")
)

func codeOf(err error) Code {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return BadMessage
}

// message is one message of a client.
type message struct {
	kind, id string
	call     dispatch.SetupRequest // of a set-up
	cause    int                   // of a release
}

// parse reads one message. What it returns with an error still names the call, if that could be read.
func parse(data []byte) (message, error) {
	m := message{cause: dispatch.CauseNormal}
	if !utf8.Valid(data) || !gjson.ValidBytes(data) {
		return m, errJSON
	}
	root := gjson.ParseBytes(data)
	if !root.IsObject() {
		return m, errors.New("want an object")
	}
	var err error
	fail := func(e error) { // the first is told
		if err == nil {
			err = e
		}
	}
	text := func(name string, must bool) string {
		v := root.Get(name)
		if v.Exists() && v.Type != gjson.String || must && !v.Exists() {
			fail(fmt.Errorf("%s: want a string", name))
		}
		return v.Str
	}
	whole := func(name string, absent int) int {
		v := root.Get(name)
		if !v.Exists() {
			return absent
		}
		if v.Type != gjson.Number || v.Num != float64(int32(v.Num)) {
			fail(fmt.Errorf("%s: want a whole number", name))
			return absent
		}
		return int(v.Num)
	}
	m.kind = text("type", true)
	m.id = text("id", m.kind != "ping")
	switch m.kind {
	case "setup":
		left := root.Get("left_ms")
		if left.Type != gjson.Number {
			fail(dispatch.ErrLeft)
		}
		m.call = dispatch.SetupRequest{
			ID: m.id, Class: text("class", true), Number: text("number", false),
			Pool: whole("pool", -1), TimeoutMillis: left.Num, SDP: text("sdp", false),
		}
	case "release":
		m.cause = whole("cause", dispatch.CauseNormal)
		if m.cause < 1 || m.cause > 127 {
			fail(errors.New("cause: want 1 to 127"))
		}
	case "cancel", "ping":
	default:
		if err == nil {
			err = errType
		}
	}
	return m, err
}

// ---- what the server sends ----

func head(kind, id string) []byte {
	b := linecodec.AppendString([]byte(`{"type":`), kind)
	if id != "" {
		b = linecodec.AppendString(append(b, `,"id":`...), id)
	}
	return b
}

func number(b []byte, name string, v int64) []byte {
	return strconv.AppendInt(append(append(append(b, `,"`...), name...), `":`...), v, 10)
}

func word(b []byte, name, v string) []byte {
	return linecodec.AppendString(append(append(append(b, `,"`...), name...), `":`...), v)
}

// retryAfter is a time to come back in whole milliseconds, one at least: 0 would say at once.
func retryAfter(us int64) int64 { return max(1, (us+999)/1000) }

func answer(id, sdp string) []byte { return append(word(head("answer", id), "sdp", sdp), '}') }

func turned(kind, id string, code Code, cause int, after int64) []byte {
	b := number(word(head(kind, id), "code", string(code)), "cause", int64(cause))
	return append(number(b, "retry_after_ms", retryAfter(after)), '}')
}

func final(id string, f dispatch.Final) []byte {
	switch {
	case f.Kind == dispatch.FinalEstablished:
		return answer(id, f.Call.SDP())
	case f.Kind == dispatch.FinalFailed:
		return turned("failed", id, TimedOut, 102, f.RetryAfter)
	case f.NoAgentFree:
		return turned("refused", id, NoAgent, 34, f.RetryAfter)
	}
	return turned("refused", id, Congestion, 42, f.RetryAfter)
}

func released(id string, cause int) []byte {
	return append(number(head("released", id), "cause", int64(cause)), '}')
}

func pong(id string, ready bool) []byte {
	return append(strconv.AppendBool(append(head("pong", id), `,"ready":`...), ready), '}')
}

func failure(id string, err error, after int64) []byte {
	b := word(word(head("error", id), "code", string(codeOf(err))), "message", err.Error())
	if after > 0 {
		b = number(b, "retry_after_ms", retryAfter(after))
	}
	return append(b, '}')
}
