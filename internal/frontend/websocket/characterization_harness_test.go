package websocket_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// scriptedPools is an inviter that ends every attempt as the scenario last said.
type scriptedPools struct {
	*journal
	outcome dispatch.Outcome
	state   dispatch.LoadReport
	sdp     string
	muted   bool // attempts are not recorded
	legs    []*scriptedLeg
}

// scriptedLeg is an established call.
type scriptedLeg struct {
	*journal
	sdp    string
	done   chan struct{}
	ending dispatch.Ending
}

// SDP implements dispatch.Leg.
func (l *scriptedLeg) SDP() string { return l.sdp }

// Done implements dispatch.Leg.
func (l *scriptedLeg) Done() <-chan struct{} { return l.done }

// Ending implements dispatch.Leg.
func (l *scriptedLeg) Ending() dispatch.Ending { return l.ending }

// Release implements dispatch.Leg.
func (l *scriptedLeg) Release(cause int) { l.add("  pool is told: release, cause %d", cause) }

// end has the pool end the call.
func (l *scriptedLeg) end(outcome dispatch.Outcome, cause int) {
	l.ending = dispatch.Ending{Outcome: outcome, Cause: cause, Load: dispatch.UnknownLoad}
	close(l.done)
}

// Invite implements dispatch.Inviter. An attempt that times out stays out until the caller leaves or its time is over.
func (p *scriptedPools) Invite(ctx context.Context, attempt dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	if !p.muted {
		p.add("  pool %s is told: attempt %d of a call with a name of %d bytes, class %s, number %s, "+
			"times out after %d µs, sdp %s",
			attempt.Pool, attempt.Number, len(attempt.ID), shown(attempt.Class), attempt.Setup.Number,
			attempt.Deadline-attempt.DecidedAt, shown(attempt.SDP))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	end := dispatch.Ending{Outcome: p.outcome, At: attempt.DecidedAt, Load: p.state}
	switch end.Outcome {
	case dispatch.Answered:
		l := &scriptedLeg{journal: p.journal, sdp: p.sdp, done: make(chan struct{})}
		p.legs = append(p.legs, l)
		return l, end
	case dispatch.TimedOut:
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			end.Outcome = dispatch.Cancelled
		case <-time.After(time.Duration(attempt.Deadline-attempt.DecidedAt) * time.Microsecond):
			end.At = attempt.Deadline
		}
		p.mu.Lock()
	}
	return nil, end
}

// service is a call-control server with its dispatcher, in a bubble of synctest.
type service struct {
	*journal
	t          *testing.T
	server     *websocket.Server
	dispatcher *dispatch.Dispatcher
	listener   *fakeplatform.Listener
	pools      *scriptedPools
	count      *telemetry.Counters
	ready      bool
	log        *lockedBuffer
	began      time.Time
	clients    []*client
}

// maxSockets is how many sockets the servers of these tests take.
const maxSockets = 70

// newService starts a call-control server.
func newService(t *testing.T, j *journal) (s *service, stop func()) {
	t.Helper()
	s = &service{
		journal:  j,
		t:        t,
		listener: fakeplatform.NewListener(),
		count:    &telemetry.Counters{},
		ready:    true,
		log:      &lockedBuffer{},
		began:    time.Now(),
		pools:    &scriptedPools{journal: j, sdp: "v=0\r\ns=-\r\n", state: dispatch.UnknownLoad},
	}
	var err error
	classes := []eidertrail.Class{
		{Name: "read", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
		{
			Name:             "once",
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   1,
			Idempotency:      eidertrail.NotIdempotent,
		},
	}
	settings := eidertrail.Settings{Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, Classes: classes}
	s.dispatcher, err = dispatch.New(settings, 1, 2_000_000, clock.New(), zerolog.Nop(), s.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.dispatcher.Run(ctx)
	s.roster(eidertrail.Ready)
	s.server = websocket.New(websocket.Config{
		Dispatcher: s.dispatcher, Inviter: s.pools, Ready: func() bool { return s.ready },
		MaxConnections: maxSockets, Log: zerolog.New(s.log).Level(zerolog.WarnLevel), Counters: s.count,
	})
	web := &http.Server{Handler: s.server, ErrorLog: log.New(io.Discard, "", 0)}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = web.Serve(s.listener) // it ends when the server is closed
	}()
	return s, func() {
		for _, c := range s.clients {
			c.Close()
		}
		s.server.Shutdown(ctx)
		web.Close()
		<-served
		cancel()
	}
}

// roster lists the pools, all in one mode.
func (s *service) roster(mode eidertrail.Mode) {
	s.dispatcher.UpdateEndpoints(
		[]dispatch.Endpoint{{UID: "a", Group: 0, Mode: mode}, {UID: "b", Group: 1, Mode: mode}},
		false,
	)
	synctest.Wait()
}

// wait lets time pass.
func (s *service) wait(d time.Duration) {
	s.add("%d ms pass", d.Milliseconds())
	time.Sleep(d)
	s.observe()
}

// observe records what has happened: what was logged, and what the clients got.
func (s *service) observe() {
	synctest.Wait()
	for line := range strings.Lines(s.log.take()) {
		s.add("  logged: %s", shown(strings.TrimSuffix(line, "\n")))
	}
	for _, c := range s.clients {
		frames, ended := c.take()
		for _, f := range frames {
			s.add("  %s gets %s", c.name, f)
		}
		if ended {
			s.add("  %s is closed, %d µs after the start", c.name, time.Since(s.began).Microseconds())
		}
	}
}

// counted records the counters that are not zero, in the order of their names.
func (s *service) counted() {
	counters := s.count.Snapshot().Counters
	var all []string
	for name, value := range counters {
		if value != 0 {
			all = append(all, fmt.Sprintf("%s %d", name, value))
		}
	}
	slices.Sort(all)
	s.add(
		"  counted: %s; open %d, standing %d",
		strings.Join(all, ", "),
		s.server.PendingSetups(),
		s.server.EstablishedCalls(),
	)
}

// scenario is a sequence of steps on a server of its own.
type scenario struct {
	name  string
	steps func(s *service)
}

// play plays scenarios one by one and compares what happened with the recorded file.
func play(t *testing.T, file string, scenarios []scenario) {
	t.Helper()
	recording := &journal{}
	for _, one := range scenarios {
		recording.add("== %s", one.name)
		synctest.Test(t, func(t *testing.T) {
			s, stop := newService(t, recording)
			one.steps(s)
			s.counted()
			held := recording.text.String()
			stop()
			recording.text.Reset() // what the end of the test does is no part of the scenario
			recording.text.WriteString(held)
		})
	}
	compareRecorded(t, file, recording.text.String())
}
