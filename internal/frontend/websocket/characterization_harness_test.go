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

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/websocket"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
	"eidertrail/internal/testing/frontendtest"
)

// service is a call-control server with its dispatcher, in a bubble of synctest.
type service struct {
	*frontendtest.Journal
	t          *testing.T
	server     *websocket.Server
	lifecycle  *lifecycle.Lifecycle
	dispatcher *dispatch.Dispatcher
	// stopDispatcher ends the dispatcher's loop.
	stopDispatcher context.CancelFunc

	listener *fakeplatform.Listener
	pools    *frontendtest.Pools
	count    *telemetry.Counters
	ready    bool
	log      *frontendtest.LockedBuffer
	began    time.Time
	clients  []*client
}

// maxSockets is how many sockets the servers of these tests take.
const maxSockets = 70

// newService starts a call-control server.
func newService(t *testing.T, journal *frontendtest.Journal) (s *service, stop func()) {
	t.Helper()
	s = &service{
		Journal:  journal,
		t:        t,
		listener: fakeplatform.NewListener(),
		count:    &telemetry.Counters{},
		ready:    true,
		log:      &frontendtest.LockedBuffer{},
		began:    time.Now(),
		pools: &frontendtest.Pools{
			Journal:  journal,
			CallName: func(id string) string { return fmt.Sprintf("a call with a name of %d bytes", len(id)) },
			SDP:      "v=0\r\ns=-\r\n",
			Load:     dispatch.UnknownLoad,
		},
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
		{
			Name:             "keyed",
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   1,
			Idempotency:      eidertrail.IdempotentByKey,
		},
	}
	settings := eidertrail.Settings{Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond, Classes: classes}
	s.dispatcher, err = dispatch.New(settings, 1, 2_000_000, clock.New(), zerolog.Nop(), s.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopDispatcher = cancel
	go s.dispatcher.Run(ctx)
	s.lifecycle = lifecycle.New(s.dispatcher.Now(), nil)
	s.lifecycle.Serve(s.dispatcher.Now())
	s.roster(eidertrail.Ready)
	s.server = websocket.New(websocket.Config{
		Dispatcher: s.dispatcher, Inviter: s.pools, Lifecycle: s.lifecycle,
		Ready: func() bool { return s.ready }, MaxConnections: maxSockets,
		Log: zerolog.New(s.log).Level(zerolog.WarnLevel), Counters: s.count,
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
	s.Add("%d ms pass", d.Milliseconds())
	time.Sleep(d)
	s.observe()
}

// observe records what has happened: what was logged, and what the clients got.
func (s *service) observe() {
	synctest.Wait()
	for line := range strings.Lines(s.log.Take()) {
		s.Add("  logged: %s", frontendtest.Shown(strings.TrimSuffix(line, "\n")))
	}
	for _, c := range s.clients {
		frames, ended := c.take()
		for _, f := range frames {
			s.Add("  %s gets %s", c.name, f)
		}
		if ended {
			s.Add("  %s is closed, %d µs after the start", c.name, time.Since(s.began).Microseconds())
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
	s.Add(
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
	recording := &frontendtest.Journal{}
	for _, one := range scenarios {
		recording.Add("== %s", one.name)
		synctest.Test(t, func(t *testing.T) {
			s, stop := newService(t, recording)
			one.steps(s)
			s.counted()
			text := recording.Text()
			stop()
			recording.Reset(text) // what the end of the test does is no part of the scenario
		})
	}
	recorded.Compare(t, file, recording.Text())
}
