package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// scriptedProtocol owns the messages that begin with its letter, and notes its calls.
type scriptedProtocol struct {
	letter byte
	err    error // of each Receive
	calls  *[]string
}

func (p *scriptedProtocol) note(call string) {
	*p.calls = append(*p.calls, fmt.Sprintf("%c %s", p.letter, call))
}

func (p *scriptedProtocol) MembersChanged(int64, []swim.Member) { p.note("members") }

func (p *scriptedProtocol) Receive(_ int64, from int, body []byte) (bool, error) {
	p.note(fmt.Sprintf("receive %s of %d", body, from))
	return body[0] == p.letter, p.err
}

func (p *scriptedProtocol) Tick(int64, Send) { p.note("tick") }

// remediedError is an error of an operator's settings.
type remediedError struct{}

func (remediedError) Error() string  { return "bad value" }
func (remediedError) Remedy() string { return "change the setting" }

// runnerOf returns a runner without a socket, and the calls of its protocols a and b.
func runnerOf(log *bytes.Buffer, errorOfA, errorOfB error) (*Runner, *[]string) {
	calls := &[]string{}
	return &Runner{cfg: Config{
		Log:      zerolog.New(log),
		Counters: &telemetry.Counters{},
		Protocols: []Protocol{
			&scriptedProtocol{letter: 'a', err: errorOfA, calls: calls},
			&scriptedProtocol{letter: 'b', err: errorOfB, calls: calls},
		},
		ProtocolInterval: 100 * time.Millisecond,
	}}, calls
}

func TestRunner_DeliversAMessageToItsProtocol(t *testing.T) {
	for _, test := range []struct {
		body string
		want []string
	}{
		{"a1", []string{"a receive a1 of 7"}},
		{"b1", []string{"a receive b1 of 7", "b receive b1 of 7"}},
		{"c1", []string{"a receive c1 of 7", "b receive c1 of 7"}},
	} {
		runner, calls := runnerOf(&bytes.Buffer{}, nil, nil)

		runner.deliver(1, 7, []byte(test.body))

		if !slices.Equal(*calls, test.want) {
			t.Errorf("%s: calls %q, want %q", test.body, *calls, test.want)
		}
		if bad := runner.cfg.Counters.Get(telemetry.PeerBad); bad != 0 {
			t.Errorf("%s: %d bad messages", test.body, bad)
		}
	}
}

func TestRunner_CountsAndLogsAProtocolsError(t *testing.T) {
	log := &bytes.Buffer{}
	runner, _ := runnerOf(log, remediedError{}, errors.New("bad kind"))

	runner.deliver(1, 7, []byte("b1"))

	if bad := runner.cfg.Counters.Get(telemetry.PeerBad); bad != 2 {
		t.Errorf("%d bad messages, want 2", bad)
	}
	const (
		first  = `{"level":"warn","error":"bad value","member":7,"remedy":"change the setting","message":`
		second = `{"level":"warn","error":"bad kind","member":7,"remedy":"","message":`
		text   = `"invalid member message"}` + "\n"
	)
	if want := first + text + second + text; log.String() != want {
		t.Errorf("log %s, want %s", log, want)
	}
}

func TestRunner_TicksProtocolsEachInterval(t *testing.T) {
	runner, calls := runnerOf(&bytes.Buffer{}, nil, nil)
	for _, now := range []int64{0, 99_999, 100_000, 150_000, 250_000} {
		runner.tickProtocols(now)
	}
	if got := strings.Join(*calls, ", "); got != strings.Repeat("a tick, b tick, ", 2)+"a tick, b tick" {
		t.Errorf("calls %s, want a tick of each at 0, 100 and 250 ms", got)
	}

	runner.cfg.ProtocolInterval = 0
	runner.tickProtocols(1_000_000)
	if len(*calls) != 6 {
		t.Errorf("calls %q, want none without an interval", *calls)
	}
}

func TestRunner_PassesMembersToAllProtocols(t *testing.T) {
	runner, calls := runnerOf(&bytes.Buffer{}, nil, nil)

	runner.membersChanged(1, make([]swim.Member, 3))

	if want := []string{"a members", "b members"}; !slices.Equal(*calls, want) {
		t.Errorf("calls %q, want %q", *calls, want)
	}
}
