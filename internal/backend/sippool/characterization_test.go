// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold every byte that is written to a sync pool, and the outcome
// of each attempt, in the files under testdata/characterization. On a purposeful change the files are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/backend/sippool -run TestCharacterization
//
// and the commit has to say why they changed.
package sippool_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/backend/sippool"
	"eidertrail/internal/clock"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/telemetry"
)

// compareFile compares got with a recorded file. With EIDERTRAIL_UPDATE=1 it writes the file.
func compareFile(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "characterization", name)
	if os.Getenv("EIDERTRAIL_UPDATE") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, have := strings.Split(string(recorded), "\n"), strings.Split(got, "\n")
	for i := range max(len(want), len(have)) {
		if i >= len(want) || i >= len(have) || want[i] != have[i] {
			t.Fatalf("%s differs from line %d on:\nrecorded %q\nnow      %q", path, i+1, want[min(i, len(want)):min(i+3, len(want))],
				have[min(i, len(have)):min(i+3, len(have))])
		}
	}
}

// connection is the pool's end of one connection.
type connection struct {
	number   int
	peer     net.Conn
	written  bytes.Buffer // what the controller wrote and the transcript does not hold yet; under session.mu
	opened   bool         // the transcript holds its opening
	ended    bool         // the controller closed it; under session.mu
	endNoted bool
}

// attempt is one call of Invite. Its result is valid once done; under session.mu.
type attempt struct {
	id     string
	leave  context.CancelFunc
	done   bool
	leg    dispatch.Leg
	ending dispatch.Ending
	noted  bool // the transcript holds its result
	over   bool // and the end of its standing call
}

// session is a set with one pool, pool-1, whose other side is played by the test, and the transcript of both.
type session struct {
	set        *sippool.Pools
	clock      *clock.Clock
	count      *telemetry.Counters
	began      int64
	attempts   []*attempt
	transcript strings.Builder

	mu            sync.Mutex
	connections   []*connection
	told          []string // calls of Observe, Rate and Stray that the transcript does not hold yet
	logged        bytes.Buffer
	failedDials   int
	refuse, mute  bool // dials are refused, or not answered at all
	distinct      bool // a message that was written before is passed over, and its connection is not told
	distinctWrote []string
}

// Write takes what is logged.
func (s *session) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logged.Write(line)
}

func (s *session) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, text)
}

func (s *session) printf(format string, values ...any) { fmt.Fprintf(&s.transcript, format, values...) }

// play runs one dialog in a bubble with a clock of its own and returns its transcript.
func play(t *testing.T, level zerolog.Level, steps func(s *session)) string {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &session{clock: clock.New(), count: &telemetry.Counters{}}
		s.began = s.clock.Now()
		s.set = sippool.New(ctx, sippool.Config{
			Name: "controller-7", ConnectTimeout: 500_000, ReportFree: "idle", ReportAgents: "circuits", ReportCapacity: "max_rate",
			Clock: s.clock, Log: zerolog.New(s).Level(level), Counters: s.count, Dial: s.dial,
			OnLoadReport:       func(uid string, state dispatch.LoadReport) { s.note("observed " + uid + " " + stateText(state)) },
			OnCapacity:         func(uid string, rate float64) { s.note("rate " + uid + " " + number(rate)) },
			OnUnmatchedRelease: func(id string, cause int) { s.note("stray " + id + " cause " + strconv.Itoa(cause)) },
		})
		s.list(endpointlist.Endpoint{UID: "pool-1", Address: "192.0.2.1:5060", Group: 3, Zone: "east"})
		steps(s)
		s.summary()
		stop()
		s.set.Wait()
		s.closePeers()
		synctest.Wait()
		transcript = s.transcript.String()
	})
	return transcript
}

func (s *session) dial(ctx context.Context, _ string) (net.Conn, error) {
	s.mu.Lock()
	refuse, mute := s.refuse, s.mute
	if refuse || mute {
		s.failedDials++
	}
	s.mu.Unlock()
	if mute {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if refuse {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	s.mu.Lock()
	c := &connection{number: len(s.connections) + 1, peer: far}
	s.connections = append(s.connections, c)
	s.mu.Unlock()
	go s.receive(c)
	return near, nil
}

// receive takes what the controller writes on a connection until its end.
func (s *session) receive(c *connection) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := c.peer.Read(buffer)
		s.mu.Lock()
		c.written.Write(buffer[:n])
		c.ended = err != nil
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (s *session) closePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.peer.Close()
	}
}

// settle waits until nothing more happens at this time, and takes what has happened into the transcript.
func (s *session) settle() {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedDials > 0 {
		s.printf("dials that failed or wait: %d\n", s.failedDials)
		s.failedDials = 0
	}
	for _, c := range s.connections {
		s.settleConnection(c)
	}
	for _, a := range s.attempts {
		s.settleAttempt(a)
	}
	for _, line := range s.told {
		s.printf("%s\n", line)
	}
	s.told = nil
}

func (s *session) settleConnection(c *connection) {
	if s.distinct {
		s.settleDistinct(c)
		return
	}
	if !c.opened {
		c.opened = true
		s.printf("connection %d opened\n", c.number)
	}
	s.printf("%s", quotedLines(strconv.Itoa(c.number)+" > ", c.written.String()))
	c.written.Reset()
	if c.ended && !c.endNoted {
		c.endNoted = true
		s.printf("connection %d closed\n", c.number)
	}
}

// settleDistinct is for dialogs in which a release that is just being written when its connection is closed may be
// written twice: which of the two connections carries it first is not told.
func (s *session) settleDistinct(c *connection) {
	c.opened, c.endNoted = true, c.ended
	for _, message := range strings.SplitAfter(c.written.String(), "\r\n\r\n") {
		if message != "" && !slices.Contains(s.distinctWrote, message) {
			s.distinctWrote = append(s.distinctWrote, message)
			s.printf("%s", quotedLines("any > ", message))
		}
	}
	c.written.Reset()
}

func (s *session) settleAttempt(a *attempt) {
	if a.done && !a.noted {
		a.noted = true
		s.printf("attempt %s: %s", a.id, s.endingText(a.ending))
		if a.leg != nil {
			s.printf(" description %q", a.leg.SDP())
		}
		s.printf("\n")
	}
	if !a.done || a.leg == nil || a.over {
		return
	}
	select {
	case <-a.leg.Done():
		a.over = true
		s.printf("standing call %s: %s\n", a.id, s.endingText(a.leg.Ending()))
	default:
	}
}

func (s *session) endingText(e dispatch.Ending) string {
	return fmt.Sprintf("outcome %s after %d us %s cause %d", outcomeText(e.Outcome), e.At-s.began, stateText(e.Load), e.Cause)
}

func outcomeText(o dispatch.Outcome) string {
	switch o {
	case dispatch.Answered:
		return "answered"
	case dispatch.Ended:
		return "ended"
	case dispatch.Errored:
		return "errored"
	case dispatch.LinesBusy:
		return "lines-busy"
	case dispatch.NoAgent:
		return "no-agent"
	case dispatch.ProcessorFull:
		return "processor-full"
	case dispatch.TimedOut:
		return "timed-out"
	case dispatch.ConnectFailed:
		return "connect-failed"
	case dispatch.Reset:
		return "reset"
	case dispatch.Cancelled:
		return "cancelled"
	case dispatch.NotSent:
		return "never-sent"
	}
	return "unknown"
}

func modeText(m eidertrail.Mode) string {
	switch m {
	case eidertrail.Ready:
		return "ready"
	case eidertrail.Draining:
		return "draining"
	case eidertrail.Removed:
		return "gone"
	}
	return "unknown"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func stateText(s dispatch.LoadReport) string {
	return "free " + number(s.Free) + " agents " + number(s.Agents)
}

// quotedLines quotes text line by line, so that every byte shows.
func quotedLines(prefix, text string) string {
	var b strings.Builder
	for line := range strings.SplitAfterSeq(text, "\n") {
		if line != "" {
			b.WriteString(prefix + strconv.Quote(line) + "\n")
		}
	}
	return b.String()
}

// summary ends the transcript with what stands, the counters and the log.
func (s *session) summary() {
	s.settle()
	connected, up := s.set.Connected()
	s.printf("after %d us: %d standing, %d of %d connected, busy %t\n", s.clock.Now()-s.began, s.set.EstablishedCalls(), connected, up,
		s.set.Busy("pool-1"))
	counters := s.count.Snapshot().Counters
	var names []string
	for name, n := range counters {
		if n != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		s.printf("counter %s %d\n", name, counters[name])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.printf("%s", quotedLines("log ", s.logged.String()))
}

// ---- steps ----

// list applies lines of the list of pools.
func (s *session) list(pools ...endpointlist.Endpoint) { s.apply(endpointlist.Event{Endpoints: pools}) }

func (s *session) apply(e endpointlist.Event) {
	s.printf("step: list, whole %t\n", e.Snapshot)
	s.set.Apply(e, func(lines []dispatch.Endpoint) {
		for _, l := range lines {
			s.printf("line %s group %d zone %q born %d %s\n", l.UID, l.Group, l.Zone, l.StartedAt, modeText(l.Mode))
		}
	})
	s.settle()
}

// setup is an attempt's content with which most dialogs are played.
func setup(id string) dispatch.Setup {
	return dispatch.Setup{ID: id, Number: "7f3a", Class: "voice", SDP: "v=0\r\no=caller 1 1 IN IP4 192.0.2.9\r\n"}
}

func (s *session) invite(id string, within time.Duration) *attempt {
	return s.attempt(dispatch.Attempt{Setup: setup(id), Pool: "pool-1"}, within)
}

func (s *session) attempt(a dispatch.Attempt, within time.Duration) *attempt {
	s.printf("step: attempt %d of %s at %s within %d us\n", a.Number, a.ID, a.Pool, within.Microseconds())
	a.DecidedAt = s.clock.Now()
	a.Deadline = a.DecidedAt + within.Microseconds()
	ctx, leave := context.WithCancel(context.Background())
	x := &attempt{id: a.ID, leave: leave}
	s.attempts = append(s.attempts, x)
	go func() {
		leg, ending := s.set.Invite(ctx, a)
		s.mu.Lock()
		defer s.mu.Unlock()
		x.leg, x.ending, x.done = leg, ending, true
	}()
	s.settle()
	return x
}

func (s *session) leave(a *attempt) {
	s.printf("step: the caller of %s leaves\n", a.id)
	a.leave()
	s.settle()
}

func (s *session) release(a *attempt, cause int) {
	s.printf("step: the caller of %s releases with cause %d\n", a.id, cause)
	a.leg.Release(cause)
	s.settle()
}

func (s *session) releaseStray(id string, cause int) {
	s.printf("step: a release of %s, which is not known, with cause %d\n", id, cause)
	s.set.ReleaseUnmatched(id, cause)
	s.settle()
}

// say writes text on the youngest connection, as the pool.
func (s *session) say(text string) {
	s.mu.Lock()
	c := s.connections[len(s.connections)-1]
	s.mu.Unlock()
	if !s.distinct {
		s.printf("%s", quotedLines(strconv.Itoa(c.number)+" < ", text))
	}
	c.peer.Write([]byte(text)) // an error is the controller's closing of the connection, which the transcript holds
	s.settle()
}

func (s *session) pass(d time.Duration) {
	s.printf("step: %d us pass\n", d.Microseconds())
	time.Sleep(d)
	s.settle()
}

// drop closes the pool's connections.
func (s *session) drop() {
	s.printf("step: the pool closes its connections\n")
	s.closePeers()
	s.settle()
}

func (s *session) dials(refuse, mute bool) {
	s.printf("step: dials are refused %t, unanswered %t\n", refuse, mute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.mute = refuse, mute
}

// ---- what the pool says ----

func message(first, callID, sequence, body string, headers ...string) string {
	var b strings.Builder
	b.WriteString(first + "\r\n")
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Call-ID: %s\r\nCSeq: %s\r\nContent-Length: %d\r\n\r\n%s", callID, sequence, len(body), body)
	return b.String()
}

const description = "v=0\r\no=pool 2 2 IN IP4 192.0.2.1\r\n"

func answered(id string, headers ...string) string {
	return message("SIP/2.0 200 OK", id, "1 INVITE", description, headers...)
}

func refused(status, id string, headers ...string) string {
	return message("SIP/2.0 "+status, id, "1 INVITE", "", headers...)
}

func bye(id string, headers ...string) string {
	return message("BYE sip:exchange@net SIP/2.0", id, "2 BYE", "", headers...)
}

func notify(body string, headers ...string) string {
	return message("NOTIFY sip:exchange@net SIP/2.0", "0000000000000000", "1 NOTIFY", body, headers...)
}

// dialog is one recorded dialog.
type dialog struct {
	name  string
	steps func(s *session)
}

// record plays the dialogs and compares their transcripts with one file.
func record(t *testing.T, file string, dialogs ...dialog) {
	t.Helper()
	recordLogged(t, file, zerolog.WarnLevel, dialogs...)
}

func recordLogged(t *testing.T, file string, level zerolog.Level, dialogs ...dialog) {
	t.Helper()
	var b strings.Builder
	for _, d := range dialogs {
		b.WriteString("=== " + d.name + "\n" + play(t, level, d.steps))
	}
	compareFile(t, file, b.String())
}

// standing plays a set-up that the pool answers.
func (s *session) standing(id string) *attempt {
	a := s.invite(id, time.Minute)
	s.say(answered(id))
	return a
}

func TestCharacterization_Answered(t *testing.T) {
	record(t, "answered.txt",
		dialog{"released by the pool, and once more", func(s *session) {
			s.standing("c1")
			s.pass(1234 * time.Millisecond)
			s.say(bye("c1", "Via: SIP/2.0/TCP pool-1;branch=z9", "f: <sip:a@net>;tag=1", "To: <sip:b@net>", "Reason: Q.850;cause=16",
				"X-State: idle:3;circuits:40;max_rate:12.5"))
			s.say(bye("c1", "Reason: Q.850;cause=16"))
		}},
		dialog{"cut by the pool", func(s *session) {
			s.standing("c1")
			s.say(bye("c1", "Reason: Q.850;cause=41"))
		}},
		dialog{"released by the pool without a cause", func(s *session) {
			s.standing("c1")
			s.say(bye("c1"))
		}},
		dialog{"released by the pool with another cause", func(s *session) {
			s.standing("c1")
			s.say(bye("c1", "Reason: SIP;cause=200;text=x , Q.850 ; cause=31;text=\"y\""))
		}},
		dialog{"released by the caller, and once more", func(s *session) {
			a := s.standing("c1")
			s.release(a, 31)
			s.say(message("SIP/2.0 200 OK", "c1", "2 BYE", ""))
			s.release(a, 16)
		}},
		dialog{"both sides release", func(s *session) {
			a := s.standing("c1")
			s.release(a, 16)
			s.say(bye("c1", "Reason: Q.850;cause=16"))
		}},
		dialog{"provisional answers first, the answer said again", func(s *session) {
			s.invite("c1", time.Minute)
			s.say(message("SIP/2.0 100 Trying", "c1", "1 INVITE", ""))
			s.say(message("SIP/2.0 180 Ringing", "c1", "1 INVITE", "", "X-State: idle:4;circuits:40"))
			s.say(answered("c1", "X-State: x0:7;x1:41;queue:2"))
			s.say(answered("c1"))
		}},
		dialog{"second send after a refusal", func(s *session) {
			s.invite("c1", time.Minute)
			s.say(refused("503 Service Unavailable", "c1", "X-Note: blocked"))
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-1", Number: 1}, 1500*time.Millisecond)
			s.say(answered("c1"))
		}},
		dialog{"two calls, one after the other", func(s *session) {
			s.invite("c1", time.Minute)
			s.invite("c2", time.Minute)
			s.say(answered("c2"))
			s.say(answered("c1"))
			s.say(bye("c2", "Reason: Q.850;cause=16"))
		}},
	)
}

func TestCharacterization_InviteContents(t *testing.T) {
	var dialogs []dialog
	for _, k := range []struct {
		name   string
		setup  dispatch.Setup
		within time.Duration
	}{
		{"plain", dispatch.Setup{ID: "9b1f00", Number: "7f3a", Class: "voice", SDP: "v=0\r\n"}, 1500 * time.Millisecond},
		{"patience of a microsecond", dispatch.Setup{ID: "a", Number: "1", Class: "voice", SDP: "v=0\r\n"}, time.Microsecond},
		{"patience under a millisecond", dispatch.Setup{ID: "a", Number: "1", Class: "voice", SDP: "v=0\r\n"}, 999 * time.Microsecond},
		{"patience of a millisecond", dispatch.Setup{ID: "a", Number: "1", Class: "voice", SDP: "v=0\r\n"}, time.Millisecond},
		{"patience over a millisecond", dispatch.Setup{ID: "a", Number: "1", Class: "voice", SDP: "v=0\r\n"}, 1001 * time.Microsecond},
		{"letters of other scripts, no description", dispatch.Setup{ID: "É-1", Number: "+47 22", Class: "Øyeblikkelig hjelp", SDP: ""}, time.Second},
		{"empty", dispatch.Setup{}, time.Second},
		{"long description", dispatch.Setup{ID: "a", Number: "1", Class: "x: y", SDP: strings.Repeat("a=line\n", 60)}, time.Second},
	} {
		dialogs = append(dialogs, dialog{k.name, func(s *session) {
			s.attempt(dispatch.Attempt{Setup: k.setup, Pool: "pool-1"}, k.within)
		}})
	}
	record(t, "invite-contents.txt", dialogs...)
}

func TestCharacterization_Refused(t *testing.T) {
	var dialogs []dialog
	refusal := func(status string, headers ...string) {
		dialogs = append(dialogs, dialog{status + " " + strings.Join(headers, ", "), func(s *session) {
			s.invite("c1", time.Minute)
			s.say(refused(status, "c1", headers...))
		}})
	}
	for _, status := range []string{
		"300 Multiple Choices", "302 Moved", "400 Bad Request", "401 Unauthorized", "403 Forbidden",
		"404 Not Found", "408 Request Timeout", "480 Temporarily Unavailable", "481 No Call", "486 Busy Here", "487 Request Terminated",
		"488 Not Acceptable", "500 Error", "501 Not Implemented", "503 Service Unavailable", "504 Time-out", "513 Too Large",
		"600 Busy Everywhere", "603 Decline", "699 X",
	} {
		refusal(status)
	}
	for _, status := range []string{"480 X", "486 X", "487 X", "500 X", "503 X", "504 X"} {
		for _, note := range []string{"blocked", "swamped", "occupied", "other"} {
			refusal(status, "X-Note: "+note)
		}
	}
	refusal("503 X", "x-note:  swamped ", "X-State: idle:0;circuits:40;max_rate:8", "Retry-After: 3")
	refusal("503 X", "X-State: x1:12")
	record(t, "refused.txt", dialogs...)
}

func TestCharacterization_CalledOff(t *testing.T) {
	heard := notify("", "X-State: idle:12;circuits:40")
	record(t, "called-off.txt",
		dialog{"the caller leaves before the answer", func(s *session) {
			a := s.invite("c1", time.Minute)
			s.leave(a)
			s.say(message("SIP/2.0 200 OK", "c1", "1 CANCEL", ""))
			s.say(refused("487 Request Terminated", "c1"))
		}},
		dialog{"the answer crosses the cancel", func(s *session) {
			a := s.invite("c1", time.Minute)
			s.leave(a)
			s.say(answered("c1"))
			s.say(message("SIP/2.0 200 OK", "c1", "2 BYE", ""))
		}},
		dialog{"a refusal crosses the cancel", func(s *session) {
			a := s.invite("c1", time.Minute)
			s.leave(a)
			s.say(refused("503 X", "c1", "X-Note: swamped"))
		}},
		dialog{"the caller leaves after the answer, which changes nothing", func(s *session) {
			a := s.standing("c1")
			s.leave(a)
		}},
		dialog{"timed out, something was heard", func(s *session) {
			s.invite("c1", 307*time.Millisecond)
			s.pass(100 * time.Millisecond)
			s.say(heard)
			s.pass(207 * time.Millisecond)
			s.say(refused("487 X", "c1"))
		}},
		dialog{"timed out, answered late", func(s *session) {
			s.invite("c1", 307*time.Millisecond)
			s.say(heard)
			s.pass(307 * time.Millisecond)
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-1", Number: 1}, time.Second)
			s.say(answered("c1"))
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-1", Number: 1}, time.Second)
		}},
		dialog{"timed out so soon that the silence says nothing", func(s *session) {
			s.invite("c1", 107*time.Millisecond)
			s.pass(107 * time.Millisecond)
		}},
		dialog{"timed out with nothing heard", func(s *session) {
			s.distinct = true
			s.pass(113 * time.Millisecond)
			s.invite("c1", 307*time.Millisecond)
			s.pass(307 * time.Millisecond)
			s.pass(113 * time.Millisecond)
		}},
		dialog{"timed out with nothing heard while a call stands", func(s *session) {
			s.standing("c0")
			s.pass(113 * time.Millisecond)
			s.invite("c1", 307*time.Millisecond)
			s.pass(307 * time.Millisecond)
			s.pass(113 * time.Millisecond)
		}},
		dialog{"timed out in the middle of a message", func(s *session) {
			s.distinct = true
			s.invite("c1", 307*time.Millisecond)
			s.pass(13 * time.Millisecond)
			s.say(heard)
			s.pass(100 * time.Millisecond)
			s.say("SIP/2.0 200 OK\r\nCall-")
			s.pass(194 * time.Millisecond)
			s.pass(113 * time.Millisecond)
		}},
		dialog{"not to leave any more", func(s *session) {
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-1", SendBy: s.clock.Now() - 1}, time.Second)
		}},
		dialog{"to leave just now", func(s *session) {
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-1", SendBy: s.clock.Now()}, time.Second)
		}},
		dialog{"a pool that is not listed", func(s *session) {
			s.attempt(dispatch.Attempt{Setup: setup("c1"), Pool: "pool-2"}, time.Second)
		}},
	)
}

func TestCharacterization_Connections(t *testing.T) {
	record(t, "connections.txt",
		dialog{"lost while a set-up is out", func(s *session) {
			s.invite("c1", time.Minute)
			s.drop()
			s.pass(27 * time.Millisecond)
		}},
		dialog{"lost while a call stands, which the pool releases on the next", func(s *session) {
			s.standing("c1")
			s.drop()
			s.pass(27 * time.Millisecond)
			s.say(bye("c1", "Reason: Q.850;cause=16"))
		}},
		dialog{"a release waits for the next connection", func(s *session) {
			a := s.standing("c1")
			s.dials(true, false)
			s.drop()
			s.release(a, 16)
			s.dials(false, false)
			s.pass(107 * time.Millisecond)
		}},
		dialog{"a release that the pool has not said it heard, then quiet", func(s *session) {
			a := s.standing("c1")
			s.standing("c2")
			s.release(a, 16)
			s.pass(1607 * time.Millisecond)
		}},
		dialog{"refused", func(s *session) {
			s.dials(true, false)
			s.drop()
			s.invite("c1", time.Second)
			s.pass(27 * time.Millisecond)
			s.pass(5 * time.Second)
		}},
		dialog{"refused for long while a call stands", func(s *session) {
			s.standing("c1")
			s.dials(true, false)
			s.drop()
			s.pass(7007 * time.Millisecond)
		}},
		dialog{"refused for a while, then a new process", func(s *session) {
			s.standing("c1")
			s.dials(true, false)
			s.drop()
			s.pass(307 * time.Millisecond)
			s.dials(false, false)
			s.pass(607 * time.Millisecond)
		}},
		dialog{"no connection comes up", func(s *session) {
			s.dials(false, true)
			s.drop()
			s.invite("c1", time.Minute)
			s.pass(607 * time.Millisecond)
		}},
		dialog{"the caller leaves while there is no connection", func(s *session) {
			s.dials(false, true)
			s.drop()
			a := s.invite("c1", time.Minute)
			s.pass(107 * time.Millisecond)
			s.leave(a)
		}},
		dialog{"time is over while there is no connection", func(s *session) {
			s.dials(false, true)
			s.drop()
			s.invite("c1", 107*time.Millisecond)
			s.pass(107 * time.Millisecond)
		}},
		dialog{"the pool's machine vanishes", func(s *session) {
			s.standing("c1")
			s.dials(false, true)
			s.pass(10007 * time.Millisecond)
		}},
	)
}

func TestCharacterization_Listed(t *testing.T) {
	first := endpointlist.Endpoint{UID: "pool-1", Address: "192.0.2.1:5060", Group: 3, Zone: "east"}
	state := func(to endpointlist.State) endpointlist.Endpoint {
		p := first
		p.State = to
		return p
	}
	record(t, "listed.txt",
		dialog{"drains: nothing new, what stands goes on", func(s *session) {
			s.standing("c1")
			s.list(state(endpointlist.Draining))
			s.invite("c2", time.Second)
			s.say(bye("c1", "Reason: Q.850;cause=16"))
		}},
		dialog{"removed: its calls are cut a second later", func(s *session) {
			s.standing("c1")
			s.list(state(endpointlist.Removed))
			s.invite("c2", time.Second)
			s.pass(2007 * time.Millisecond)
		}},
		dialog{"not in the whole list", func(s *session) {
			s.standing("c1")
			s.apply(endpointlist.Event{Snapshot: true})
			s.say(bye("c1", "Reason: Q.850;cause=16"))
			s.pass(2007 * time.Millisecond)
			s.list(first)
		}},
		dialog{"started anew, nothing stands there", func(s *session) {
			p := first
			p.StartedAt = s.clock.Now() + 1
			s.list(p)
			s.standing("c1")
		}},
		dialog{"started anew before the call that stands there", func(s *session) {
			p := first
			p.StartedAt = s.clock.Now()
			s.pass(time.Millisecond)
			s.standing("c1")
			s.list(p)
		}},
		dialog{"its address is another's now", func(s *session) {
			s.standing("c1")
			s.list(endpointlist.Endpoint{UID: "pool-2", Address: "192.0.2.1:5060", Group: 4})
			s.invite("c2", 207*time.Millisecond)
			s.pass(2007 * time.Millisecond)
		}},
		dialog{"it has moved", func(s *session) {
			s.standing("c1")
			p := first
			p.Address = "192.0.2.7:5062"
			s.list(p)
			s.pass(107 * time.Millisecond)
		}},
	)
}

func TestCharacterization_Told(t *testing.T) {
	dialogs := []dialog{
		{"releases of calls that are not known", func(s *session) {
			s.say(bye("00aa", "Reason: Q.850;cause=31"))
			s.say(bye("00aa", "Reason: Q.850;cause=31"))
			s.say(bye("00ab"))
			s.say(bye("00ac", "Reason: Q.850;cause=3"))
			s.say("BYE sip:exchange@net SIP/2.0\r\nContent-Length: 0\r\n\r\n")
			s.releaseStray("00aa", 16)
			s.releaseStray("00bb", 16)
			s.releaseStray("00cc", 31)
		}},
		{"answers to set-ups that are not known", func(s *session) {
			s.say(answered("nobody"))
			s.say(refused("503 X", "nobody", "X-Note: swamped"))
			s.say(message("SIP/2.0 180 Ringing", "nobody", "1 INVITE", ""))
			s.say(message("SIP/2.0 481 X", "nobody", "2 BYE", ""))
			s.say(message("SIP/2.0 200 OK", "nobody", "1 CANCEL", ""))
		}},
		{"a state that rides on an answer to a release", func(s *session) {
			s.say(message("SIP/2.0 200 OK", "x", "2 BYE", "", "X-State: idle:1;max_rate:4"))
		}},
	}
	for _, method := range []string{"OPTIONS", "ACK", "INVITE", "CANCEL", "SUBSCRIBE", "INFO", "notify", "PRACK"} {
		dialogs = append(dialogs, dialog{"a request: " + method, func(s *session) {
			s.say(message(method+" sip:exchange@net SIP/2.0", "x1", "7 "+method, "", "v: SIP/2.0/TCP pool-1", "Subject: y",
				"From: <sip:a@net>", "t: <sip:b@net>", "Via: SIP/2.0/TCP other"))
		}})
	}
	for _, state := range []string{
		"idle:12;circuits:40", "x0:12;x1:40;queue:3", "idle:12", "circuits:40", "idle : 1.5 ; circuits : 1e2",
		"reduce:-1;recent_ms:x", "idle:NaN;circuits:5", "idle:-3;circuits:-1", "idle:1;idle:2", "max_rate:12.5", "max_rate:-1;idle:0",
		"max_rate:Inf", "", ";;:;idle", "IDLE:3", "idle:0x10;circuits:1_0",
	} {
		dialogs = append(dialogs,
			dialog{"a state in the header: " + state, func(s *session) { s.say(notify("", "X-State: "+state)) }},
			dialog{"a state in the body: " + state, func(s *session) { s.say(notify(state)) }})
	}
	dialogs = append(dialogs, dialog{"a state in both", func(s *session) { s.say(notify("idle:1;circuits:2", "X-State: idle:3")) }})
	record(t, "told.txt", dialogs...)
}

func TestCharacterization_Malformed(t *testing.T) {
	head := "SIP/2.0 200 OK\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\n"
	var dialogs []dialog
	for _, k := range []struct{ name, text string }{
		{"noise", "\x00\xff\x17noise\r\n\r\n"},
		{"another version", strings.Replace(head, "2.0", "9.9", 1) + "Content-Length: 3\r\n\r\na\r\n"},
		{"a header without a colon", head + "no colon\r\nContent-Length: 3\r\n\r\na\r\n"},
		{"a length that is no number", head + "Content-Length: x\r\n\r\na\r\n"},
		{"a negative length", head + "Content-Length: -1\r\n\r\n"},
		{"two lengths", head + "Content-Length: 3\r\nl: 4\r\n\r\na\r\n"},
		{"no length", head + "\r\n"},
		{"a length of 3 GB", head + "Content-Length: 3000000000\r\n\r\na\r\n"},
		{"an endless line", head + "X: " + strings.Repeat("y", 17<<10)},
		{"a body that stops short", head + "Content-Length: 300\r\n\r\na\r\n"},
		{"a head that stops short", head[:20]},
		{"a description that stops short", head + "Content-Length: 2\r\n\r\na\r"},
		{"a description of noise", head + "Content-Length: 6\r\n\r\n\x00\xff\xfe\x01\r\n"},
		{"a description with a control character", head + "Content-Length: 4\r\n\r\na\x7f\r\n"},
		{"a description that holds a message", head + "Content-Length: 18\r\n\r\na\r\nSIP/2.0 200 OK\r\n"},
		{"no description", head + "Content-Length: 0\r\n\r\n"},
		{"a refusal with a body", "SIP/2.0 503 X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\na\r\n"},
		{"a provisional answer with a body", "SIP/2.0 183 X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\na\r\n"},
		{"a status out of range", "SIP/2.0 700 X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"},
		{"an answer without a Call-ID", "SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"},
		{"an answer without a CSeq", "SIP/2.0 200 OK\r\nCall-ID: c1\r\nContent-Length: 0\r\n\r\n"},
		{"a CSeq without a number", "SIP/2.0 200 OK\r\nCall-ID: c1\r\nCSeq: one INVITE\r\nContent-Length: 0\r\n\r\n"},
		{"a description with tabs and bare line feeds is good", head + "Content-Length: 6\r\n\r\na\tb\nc\n"},
	} {
		dialogs = append(dialogs, dialog{k.name, func(s *session) {
			s.invite("c1", time.Minute)
			s.say(k.text)
			s.pass(357 * time.Millisecond)
		}})
	}
	record(t, "malformed.txt", dialogs...)
}

// The trace of the option --verbose.
func TestCharacterization_Trace(t *testing.T) {
	recordLogged(t, "trace.txt", zerolog.DebugLevel,
		dialog{"answered, released by the pool, connection lost", func(s *session) {
			s.standing("c1")
			s.say(bye("c1", "Reason: Q.850;cause=16"))
			s.say(notify("", "X-State: idle:12;circuits:40"))
			s.drop()
		}},
	)
}
