package sippool_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
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
	id       string
	leave    context.CancelFunc
	done     bool
	leg      dispatch.Leg
	ending   dispatch.Ending
	noted    bool // the transcript holds its result
	endNoted bool // and the end of its standing call
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
	notes         []string // callbacks that the transcript does not hold yet
	logged        bytes.Buffer
	failedDials   int
	rejectDials   bool
	ignoreDials   bool // a dial ends with its context
	distinct      bool // a message that was written before is left out, and so is the number of its connection
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
	s.notes = append(s.notes, text)
}

func (s *session) printf(format string, values ...any) { fmt.Fprintf(&s.transcript, format, values...) }

// play runs one dialog in a bubble with a clock of its own and returns its transcript.
func play(t *testing.T, level zerolog.Level, steps func(s *session)) string {
	t.Helper()
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		played := &session{clock: clock.New(), count: &telemetry.Counters{}}
		played.began = played.clock.Now()
		played.set = sippool.New(ctx, sippool.Config{
			Name:           "controller-7",
			ConnectTimeout: 500_000,
			ReportFree:     "idle",
			ReportAgents:   "circuits",
			ReportCapacity: "max_rate",
			Clock:          played.clock,
			Log:            zerolog.New(played).Level(level),
			Counters:       played.count,
			Dial:           played.dial,
			OnLoadReport: func(uid string, report dispatch.LoadReport) {
				played.note("observed " + uid + " " + stateText(report))
			},
			OnCapacity:         func(uid string, rate float64) { played.note("rate " + uid + " " + number(rate)) },
			OnUnmatchedRelease: func(id string, cause int) { played.note("stray " + id + " cause " + strconv.Itoa(cause)) },
		})
		played.list(endpointlist.Endpoint{UID: "pool-1", Address: "192.0.2.1:5060", Group: 3, Zone: "east"})
		steps(played)
		played.summary()
		stop()
		played.set.Wait()
		played.closePeers()
		synctest.Wait()
		transcript = played.transcript.String()
	})
	return transcript
}

func (s *session) dial(ctx context.Context, _ string) (net.Conn, error) {
	s.mu.Lock()
	rejectDials, ignoreDials := s.rejectDials, s.ignoreDials
	if rejectDials || ignoreDials {
		s.failedDials++
	}
	s.mu.Unlock()
	if ignoreDials {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if rejectDials {
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
	for _, line := range s.notes {
		s.printf("%s\n", line)
	}
	s.notes = nil
}

func (s *session) settleConnection(conn *connection) {
	if s.distinct {
		s.settleDistinct(conn)
		return
	}
	if !conn.opened {
		conn.opened = true
		s.printf("connection %d opened\n", conn.number)
	}
	s.printf("%s", quotedLines(strconv.Itoa(conn.number)+" > ", conn.written.String()))
	conn.written.Reset()
	if conn.ended && !conn.endNoted {
		conn.endNoted = true
		s.printf("connection %d closed\n", conn.number)
	}
}

// settleDistinct is for dialogs in which a release that is being written when its connection is closed may be written
// twice: the transcript does not say which of the two connections carries it first.
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

func (s *session) settleAttempt(call *attempt) {
	if call.done && !call.noted {
		call.noted = true
		s.printf("attempt %s: %s", call.id, s.endingText(call.ending))
		if call.leg != nil {
			s.printf(" description %q", call.leg.SDP())
		}
		s.printf("\n")
	}
	if !call.done || call.leg == nil || call.endNoted {
		return
	}
	select {
	case <-call.leg.Done():
		call.endNoted = true
		s.printf("standing call %s: %s\n", call.id, s.endingText(call.leg.Ending()))
	default:
	}
}

func (s *session) endingText(e dispatch.Ending) string {
	return fmt.Sprintf("outcome %s after %d us %s cause %d",
		outcomeText(e.Outcome), e.At-s.began, stateText(e.Load), e.Cause)
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

// summary ends the transcript with the established calls, the counters and the log.
func (s *session) summary() {
	s.settle()
	connected, up := s.set.Connected()
	s.printf("after %d us: %d standing, %d of %d connected, busy %t\n",
		s.clock.Now()-s.began, s.set.EstablishedCalls(), connected, up, s.set.Busy("pool-1"))
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
	return s.attempt(dispatch.Attempt{Setup: setup(id), Endpoint: "pool-1"}, within)
}

func (s *session) attempt(a dispatch.Attempt, within time.Duration) *attempt {
	s.printf("step: attempt %d of %s at %s within %d us\n", a.Number, a.ID, a.Endpoint, within.Microseconds())
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

func (s *session) releaseUnmatched(id string, cause int) {
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
	_, _ = c.peer.Write([]byte(text)) // an error is the controller's closing of the connection, which the transcript holds
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

func (s *session) dials(rejectDials, ignoreDials bool) {
	s.printf("step: dials are refused %t, unanswered %t\n", rejectDials, ignoreDials)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectDials, s.ignoreDials = rejectDials, ignoreDials
}

// message returns a message of the pool.
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

func failed(status, id string, headers ...string) string {
	return message("SIP/2.0 "+status, id, "1 INVITE", "", headers...)
}

func bye(id string, headers ...string) string {
	return message("BYE sip:exchange@net SIP/2.0", id, "2 BYE", "", headers...)
}

func notify(body string, headers ...string) string {
	return message("NOTIFY sip:exchange@net SIP/2.0", "0000000000000000", "1 NOTIFY", body, headers...)
}
