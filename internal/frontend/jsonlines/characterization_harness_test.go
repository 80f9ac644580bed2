package jsonlines_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/testing/recorded"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
	"eidertrail/internal/testing/frontendtest"
)

// platform is a front with its dispatcher, in a bubble of synctest.
type platform struct {
	*frontendtest.Journal
	front    *jsonlines.Server
	calls    *dispatch.CallTable
	listener *fakeplatform.Listener
	pools    *frontendtest.Pools
	count    *telemetry.Counters
	ready    bool
	log      *frontendtest.LockedBuffer
	began    time.Time
	callers  []*caller
}

// setting is what differs between scenarios.
type setting struct {
	level          zerolog.Level
	tenants        []string
	maxConnections int
	calls          int // of the call table
	pools          []dispatch.Endpoint
}

// defaultSetting is the setting of most scenarios.
func defaultSetting() setting {
	return setting{
		level: zerolog.WarnLevel, tenants: []string{"acme", "globex"}, maxConnections: 8, calls: 1000,
		pools: []dispatch.Endpoint{{UID: "a"}},
	}
}

// classes are those of the scenarios' settings.
func classes() []eidertrail.Class {
	return []eidertrail.Class{
		{Name: "voice", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
		{
			Name:             "once",
			LatencyObjective: 2 * time.Second,
			Deadline:         6 * time.Second,
			PriorityWeight:   1,
			Idempotency:      eidertrail.NotIdempotent,
		},
	}
}

// newPlatform starts a front.
func newPlatform(t *testing.T, journal *frontendtest.Journal, settings setting) (p *platform, stop func()) {
	t.Helper()
	p = &platform{
		Journal:  journal,
		listener: fakeplatform.NewListener(),
		count:    &telemetry.Counters{},
		ready:    true,
		log:      &frontendtest.LockedBuffer{},
		began:    time.Now(),
		pools: &frontendtest.Pools{
			Journal: journal,
			SDP:     "v=0\r\ns=-\r\n",
			Load:    dispatch.UnknownLoad,
		},
	}
	now := clock.New()
	dispatcher, err := dispatch.New(eidertrail.Settings{
		Nodes:       1,
		OwnExchange: -1,
		ReleaseWait: 300 * time.Millisecond,
		Classes:     classes(),
	}, 1, 2_000_000, now, zerolog.Nop(), p.count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go dispatcher.Run(ctx)
	dispatcher.UpdateEndpoints(settings.pools, false)
	p.calls = dispatch.NewCallTable(dispatch.CallTableConfig{
		Dispatcher: dispatcher,
		Inviter:    p.pools,
		MaxCalls:   settings.calls,
		UniqueIDs:  true,
		Counters:   p.count,
	})
	p.front = jsonlines.New(jsonlines.Config{
		Calls:            p.calls,
		Clock:            now,
		MaxConnections:   settings.maxConnections,
		Tenants:          settings.tenants,
		Ready:            func() bool { return p.ready },
		ReleaseUnmatched: func(id string, cause int) { p.Add("  all pools are told: release of %s, cause %d", id, cause) },
		Log:              zerolog.New(p.log).Level(settings.level),
		Counters:         p.count,
	})
	served := make(chan error, 1)
	go func() { served <- p.front.Serve(p.listener) }()
	return p, func() {
		if err := p.listener.Close(); err != nil {
			t.Error(err)
		}
		p.calls.Close()
		p.front.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		cancel()
	}
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	name string

	mu     sync.Mutex
	got    []byte
	ended  bool
	closed bool // the end was recorded
}

// dial opens a connection and reads it to its end.
func (p *platform) dial() *caller {
	c := &caller{Conn: p.listener.Dial(), name: "caller " + strconv.Itoa(len(p.callers)+1)}
	p.callers = append(p.callers, c)
	go c.read()
	synctest.Wait()
	return c
}

func (c *caller) read() {
	for b := make([]byte, 4096); ; {
		n, err := c.Read(b)
		c.mu.Lock()
		c.got = append(c.got, b[:n]...)
		c.ended = err != nil
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take is what has come since it was last called, by lines, and whether the connection has ended just now.
func (c *caller) take() (lines []string, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range strings.Lines(string(c.got)) {
		lines = append(lines, line)
	}
	c.got = nil
	ended = c.ended && !c.closed
	c.closed = c.ended
	return lines, ended
}

// observe records what has happened: what was logged, and what the callers got.
func (p *platform) observe() {
	synctest.Wait()
	for line := range strings.Lines(p.log.Take()) {
		p.Add("  logged: %s", frontendtest.Shown(strings.TrimSuffix(line, "\n")))
	}
	for _, c := range p.callers {
		lines, ended := c.take()
		for _, line := range lines {
			text, complete := strings.CutSuffix(line, "\n")
			if !complete {
				text += " (without a line feed)"
			}
			p.Add("  %s gets: %s", c.name, frontendtest.Shown(text))
		}
		if ended {
			p.Add("  %s is closed, %d µs after the start", c.name, time.Since(p.began).Microseconds())
		}
	}
}

// write has a caller write bytes.
func (p *platform) write(c *caller, text string) {
	p.Add("%s writes: %s", c.name, frontendtest.Shown(strings.TrimSuffix(text, "\n")))
	_, _ = io.WriteString(c, text) // the front may have closed it: what comes of that is recorded
	p.observe()
}

// say has a caller write one line.
func (p *platform) say(c *caller, line string) { p.write(c, line+"\n") }

// wait lets time pass.
func (p *platform) wait(d time.Duration) {
	p.Add("%d ms pass", d.Milliseconds())
	time.Sleep(d)
	p.observe()
}

// hangUp has a caller close its connection.
func (p *platform) hangUp(c *caller) {
	p.Add("%s closes", c.name)
	c.Close()
	synctest.Wait()
	c.take()
	p.observe()
}

// counted records the counters that are not zero, in the order of their names.
func (p *platform) counted() {
	counters := p.count.Snapshot().Counters
	var text []string
	for name, value := range counters {
		if value != 0 {
			text = append(text, fmt.Sprintf("%s %d", name, value))
		}
	}
	slices.Sort(text)
	p.Add("  counted: %s", strings.Join(text, ", "))
}

// scenario is a sequence of steps on a front of its own.
type scenario struct {
	name  string
	steps func(p *platform)
}

// play plays scenarios one by one and compares what happened with the recorded file.
func play(t *testing.T, file string, s setting, scenarios []scenario) {
	t.Helper()
	recording := &frontendtest.Journal{}
	for _, one := range scenarios {
		recording.Add("== %s", one.name)
		synctest.Test(t, func(t *testing.T) {
			p, stop := newPlatform(t, recording, s)
			one.steps(p)
			p.counted()
			p.callers = nil
			text := recording.Text()
			stop()
			recording.Reset(text) // what the end of the test does is no part of the scenario
		})
	}
	recorded.Compare(t, file, recording.Text())
}
