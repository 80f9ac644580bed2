package dispatch

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// SetupRequest is a set-up as a frontend reads it. The CallTable validates it, for all frontends.
type SetupRequest struct {
	ID            string // the caller's name for the call
	Class         string
	Number        string  // the number called, "" for none
	Group         int     // the pool group of first choice, -1 for none
	TimeoutMillis float64 // how long the caller waits, from ReceivedAt on
	ReceivedAt    int64   // clock reading when it had been received completely
	SDP           string
}

// What can be wrong with a set-up or with what follows it.
var (
	ErrInvalidID      = errors.New("id: want 1 to 64 letters, digits or -._+")
	ErrUnknownClass   = errors.New("class: not known")
	ErrInvalidTimeout = errors.New("left: want milliseconds, 0 or more")
	ErrInvalidNumber  = errors.New("number: want at most 64 letters, digits or -._+")
	ErrDuplicateID    = errors.New("id: in use")
	ErrTooManyCalls   = errors.New("too many calls")
	ErrUnknownCall    = errors.New("id: not known")
	ErrCallEnded      = errors.New("id: the call is over")
	ErrSDPTooLong     = errors.New("sdp: too long")
	// ErrDraining is returned for a set-up that came while the controller is being emptied: another one takes it.
	ErrDraining = errors.New("the controller is draining")
	// ErrNotEstablished is ErrTooMany for a connection on which no call was answered yet.
	ErrNotEstablished = fmt.Errorf("%w for a connection that had none answered", ErrTooManyCalls)
)

const (
	// answerMarginMicros is how long before the caller's time-out its answer must be on its way.
	answerMarginMicros = 20_000
	maxTimeoutMillis   = 1e9
	maxTokenLength     = 64
	// maxSDPBytes leaves room for the head of an INVITE of at most 16 KiB.
	maxSDPBytes = 15 << 10
	// noNumber stands for the number called where a set-up has none.
	noNumber = "0"

	microsPerMilli = 1000
)

// validate checks the request by itself and returns the index of its class.
func (s *SetupRequest) validate(classes map[string]int) (class int, err error) {
	class, known := classes[s.Class]
	switch {
	case !known:
		return 0, ErrUnknownClass
	case !(s.TimeoutMillis >= 0 && s.TimeoutMillis <= maxTimeoutMillis): // NaN is neither
		return 0, ErrInvalidTimeout
	case s.Number != "" && !IsToken(s.Number):
		return 0, ErrInvalidNumber
	case len(s.SDP) > maxSDPBytes:
		return 0, ErrSDPTooLong
	}
	return class, nil
}

// deadline is when the final answer must be on its way.
func (s *SetupRequest) deadline() int64 {
	return s.ReceivedAt + int64(s.TimeoutMillis*microsPerMilli) - answerMarginMicros
}

// IsToken reports whether s can stand in the head of a message as one word, on every wire.
func IsToken(s string) bool {
	if s == "" || len(s) > maxTokenLength {
		return false
	}
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return true
}

func isTokenByte(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	default:
		return strings.IndexByte("-._+", c) >= 0
	}
}

// NumberKey is a number called as the module compares it: a hexadecimal number's value, otherwise a hash.
func NumberKey(number string) uint64 {
	if key, err := strconv.ParseUint(number, 16, 64); err == nil {
		return key
	}
	h := fnv.New64a()
	h.Write([]byte(number))
	return h.Sum64()
}
