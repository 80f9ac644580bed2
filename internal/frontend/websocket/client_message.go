package websocket

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"eidertrail/dispatch"
)

// The kinds of messages that a client sends.
const (
	kindSetup   = "setup"
	kindCancel  = "cancel"
	kindRelease = "release"
	kindPing    = "ping"
)

const (
	// noFirstChoice is dispatch's pool of a set-up that names none.
	noFirstChoice = -1
	// minCause and maxCause bound a Q.850 cause.
	minCause = 1
	maxCause = 127
)

// clientMessage is one message of a client.
type clientMessage struct {
	kind  string
	id    string
	setup dispatch.SetupRequest // of a set-up; without ReceivedAt
	cause int                   // of a release
}

// parse reads one message. What it returns with an error still names the call, if that could be read.
func parse(data []byte) (clientMessage, error) {
	message := clientMessage{cause: dispatch.CauseNormal}
	if !utf8.Valid(data) || !gjson.ValidBytes(data) {
		return message, errJSON
	}
	members := memberReader{root: gjson.ParseBytes(data)}
	if !members.root.IsObject() {
		return message, errors.New("want an object")
	}
	message.kind = members.requiredText("type")
	if message.kind == kindPing {
		message.id = members.text("id")
	} else {
		message.id = members.requiredText("id")
	}
	switch message.kind {
	case kindSetup:
		message.setup = members.setup(message.id)
	case kindRelease:
		message.cause = members.cause()
	case kindCancel, kindPing:
	default:
		members.fail(errType)
	}
	return message, members.err
}

// memberReader reads the members of a message's object, and keeps the first error.
type memberReader struct {
	root gjson.Result
	err  error
}

func (m *memberReader) fail(err error) {
	if m.err == nil {
		m.err = err
	}
}

// setup reads the members of a set-up.
func (m *memberReader) setup(id string) dispatch.SetupRequest {
	left := m.root.Get("left_ms")
	if left.Type != gjson.Number {
		m.fail(dispatch.ErrInvalidTimeout)
	}
	return dispatch.SetupRequest{
		ID:            id,
		Class:         m.requiredText("class"),
		Number:        m.text("number"),
		Group:         m.integer("pool", noFirstChoice),
		TimeoutMillis: left.Num,
		SDP:           m.text("sdp"),
	}
}

// cause reads the cause of a release.
func (m *memberReader) cause() int {
	cause := m.integer("cause", dispatch.CauseNormal)
	if cause < minCause || cause > maxCause {
		m.fail(errors.New("cause: want 1 to 127"))
	}
	return cause
}

// text reads a member that may be absent.
func (m *memberReader) text(name string) string {
	member := m.root.Get(name)
	if member.Exists() && member.Type != gjson.String {
		m.fail(fmt.Errorf("%s: want a string", name))
	}
	return member.Str
}

func (m *memberReader) requiredText(name string) string {
	if !m.root.Get(name).Exists() {
		m.fail(fmt.Errorf("%s: want a string", name))
	}
	return m.text(name)
}

// integer reads a member of 32 bits.
func (m *memberReader) integer(name string, absent int) int {
	member := m.root.Get(name)
	if !member.Exists() {
		return absent
	}
	if member.Type != gjson.Number || member.Num != float64(int32(member.Num)) {
		m.fail(fmt.Errorf("%s: want a whole number", name))
		return absent
	}
	return int(member.Num)
}
