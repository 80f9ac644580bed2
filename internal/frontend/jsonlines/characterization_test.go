// The tests of this file are characterisation tests: they record what callers send and get over the platform's wire,
// byte for byte, what reaches the pools, what is logged and what is counted, so that a change of names or shape in the
// code can be shown to change nothing else. The recorded files are in testdata/characterization. On a purposeful change
// they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/jsonlines -run TestCharacterization
//
// and the commit has to say why they changed.
package jsonlines_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/frontend/jsonlines"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// compareRecorded compares a text with the recorded file of that name, or writes the file with EIDERTRAIL_UPDATE=1.
func compareRecorded(t *testing.T, name, got string) {
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
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("the recorded file: %v", err)
	}
	if string(want) != got {
		reportFirstDifference(t, path, strings.SplitAfter(string(want), "\n"), strings.SplitAfter(got, "\n"))
	}
}

// reportFirstDifference fails the test with the first line that differs.
func reportFirstDifference(t *testing.T, path string, want, got []string) {
	t.Helper()
	for i := range max(len(want), len(got)) {
		var recorded, now string
		if i < len(want) {
			recorded = want[i]
		}
		if i < len(got) {
			now = got[i]
		}
		if recorded != now {
			t.Errorf("%s, line %d:\nrecorded %q\nnow      %q", path, i+1, recorded, now)
			return
		}
	}
}

// shown is a text as the recorded files hold it: as it is where that can be read, else quoted; long ones by their
// beginning and digest.
func shown(text string) string {
	const most = 400
	if len(text) > most {
		return fmt.Sprintf("%s... (%d bytes, SHA-256 %x)", shown(text[:60]), len(text), sha256.Sum256([]byte(text)))
	}
	for _, r := range text {
		if r == utf8.RuneError || !strconv.IsPrint(r) {
			return strconv.Quote(text)
		}
	}
	return text
}

// journal is what happens in a scenario, in order; it is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) add(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.text, format+"\n", values...)
}

// scriptedPools is a trunk that ends every attempt as the scenario last said.
type scriptedPools struct {
	*journal
	outcome dispatch.Outcome
	state   dispatch.LoadReport
	sdp     string
	quiet   bool // attempts are not recorded
	legs    []*scriptedLeg
}

// scriptedLeg is a call that stands.
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
	if !p.quiet {
		p.add("  pool %s is told: attempt %d of %s, class %s, number %s, times out after %d µs, sdp %s",
			attempt.Pool, attempt.Number, attempt.ID, shown(attempt.Class), attempt.Setup.Number,
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

// platform is a front with its dispatcher, in a bubble of synctest.
type platform struct {
	*journal
	front    *jsonlines.Server
	calls    *dispatch.CallTable
	listener *fakeplatform.Listener
	pools    *scriptedPools
	count    *telemetry.Counters
	ready    bool
	log      *lockedBuffer
	began    time.Time
	callers  []*caller
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// take is what was written since it was last called.
func (b *lockedBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buffer.String()
	b.buffer.Reset()
	return text
}

// setting is what differs between scenarios.
type setting struct {
	level   zerolog.Level
	tenants []string
	most    int // connections
	calls   int // of the call table
	pools   []dispatch.Endpoint
}

// usual is the setting of most scenarios.
func usual() setting {
	return setting{
		level: zerolog.WarnLevel, tenants: []string{"acme", "globex"}, most: 8, calls: 1000,
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
func newPlatform(t *testing.T, j *journal, settings setting) (p *platform, stop func()) {
	t.Helper()
	p = &platform{
		journal:  j,
		listener: fakeplatform.NewListener(),
		count:    &telemetry.Counters{},
		ready:    true,
		log:      &lockedBuffer{},
		began:    time.Now(),
		pools:    &scriptedPools{journal: j, sdp: "v=0\r\ns=-\r\n", state: dispatch.UnknownLoad},
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
		MaxConnections:   settings.most,
		Tenants:          settings.tenants,
		Ready:            func() bool { return p.ready },
		ReleaseUnmatched: func(id string, cause int) { p.add("  all pools are told: release of %s, cause %d", id, cause) },
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
	for line := range strings.Lines(p.log.take()) {
		p.add("  logged: %s", shown(strings.TrimSuffix(line, "\n")))
	}
	for _, c := range p.callers {
		lines, ended := c.take()
		for _, line := range lines {
			whole, isWhole := strings.CutSuffix(line, "\n")
			if !isWhole {
				whole += " (without a line feed)"
			}
			p.add("  %s gets: %s", c.name, shown(whole))
		}
		if ended {
			p.add("  %s is closed, %d µs after the start", c.name, time.Since(p.began).Microseconds())
		}
	}
}

// write has a caller write bytes.
func (p *platform) write(c *caller, text string) {
	p.add("%s writes: %s", c.name, shown(strings.TrimSuffix(text, "\n")))
	_, _ = io.WriteString(c, text) // the front may have closed it: what comes of that is recorded
	p.observe()
}

// say has a caller write one line.
func (p *platform) say(c *caller, line string) { p.write(c, line+"\n") }

// wait lets time pass.
func (p *platform) wait(d time.Duration) {
	p.add("%d ms pass", d.Milliseconds())
	time.Sleep(d)
	p.observe()
}

// hangUp has a caller close its connection.
func (p *platform) hangUp(c *caller) {
	p.add("%s closes", c.name)
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
	p.add("  counted: %s", strings.Join(text, ", "))
}

// scenario is a sequence of steps on a front of its own.
type scenario struct {
	name  string
	steps func(p *platform)
}

// play plays scenarios one by one and compares what happened with the recorded file.
func play(t *testing.T, file string, s setting, scenarios []scenario) {
	t.Helper()
	recording := &journal{}
	for _, one := range scenarios {
		recording.add("== %s", one.name)
		synctest.Test(t, func(t *testing.T) {
			p, stop := newPlatform(t, recording, s)
			one.steps(p)
			p.counted()
			p.callers = nil
			held := recording.text.String()
			stop()
			recording.text.Reset() // what the end of the test does is no part of the scenario
			recording.text.WriteString(held)
		})
	}
	compareRecorded(t, file, recording.text.String())
}

const (
	callID = "9b1f03aa5c7e2d41"
	setup  = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500","key":"7f3a",` +
		`"extras":"dest:0;width:1;via:-1"},"sdp":"v=0"}`
	release = `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`
)

// numbered is a line about the call of that number.
func numbered(line string, n int) string {
	return strings.ReplaceAll(line, callID, fmt.Sprintf("%016x", n))
}

// oneLine are scenarios in which a caller of its own writes one line each.
func oneLine(lines []string) []scenario {
	all := make([]scenario, len(lines))
	for i, line := range lines {
		all[i] = scenario{fmt.Sprintf("line %d", i+1), func(p *platform) {
			p.say(p.dial(), line)
		}}
	}
	return all
}

// each gives a line for each of the values.
func each(values []string, line func(value string) string) []string {
	lines := make([]string, len(values))
	for i, value := range values {
		lines[i] = line(value)
	}
	return lines
}

func TestCharacterization_SetUps(t *testing.T) {
	head, tail := `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":`, `,"sdp":"v=0"}`
	lines := []string{setup}
	lines = append(lines, each([]string{
		`{"class":"voice","left":"1500"}`,
		`{"class":"voice","left":1500,"key":"HOTEL-1._+"}`,
		`{"class":"once","left":"1500","key":"7f3a"}`,
		`{"class":"voice","left":"1500","key":42}`, `{"class":"voice","left":"1e3"}`, `{"class":"voice","left":"1500.75"}`,
		`{"class":"voice","left":"0x10p4"}`, `{"class":"voice","left":" 1500"}`, `{"class":"voice","left":"1_500"}`,
		`{"class":"voice","left":"0"}`,
		`{"class":"voice","left":"20"}`,
		`{"class":"voice","left":"-1"}`,
		`{"class":"voice","left":"nan"}`,
		`{"class":"voice","left":"inf"}`, `{"class":"voice","left":"1e9"}`, `{"class":"voice","left":"1000000001"}`,
		`{"class":"voice","left":"soon"}`,
		`{"class":"voice","left":""}`,
		`{"class":"voice","left":true}`,
		`{"class":"voice"}`,
		`{"left":"1500"}`,
		`{"class":"fax","left":"1500"}`,
		`{"class":"VOICE","left":"1500"}`,
		`{"class":7,"left":"1500"}`,
		`{}`,
		`{"class":"voice","left":"1500","key":"a b"}`,
		`{"class":"voice","left":"1500","key":"a\r\nBYE"}`,
		`{"class":"voice","left":"1500","key":"é"}`,
		`{"class":"voice","left":"1500","key":"` + strings.Repeat("k", 64) + `"}`,
		`{"class":"voice","left":"1500","key":"` + strings.Repeat("k", 65) + `"}`,
		`{"class":"voice","left":"1500","tenant":"acme"}`, `{"class":"voice","left":"1500","tenant":"globex"}`,
		`{"class":"voice","left":"1500","tenant":"nobody"}`,
		`{"class":"voice","left":"1500","tenant":""}`,
		`{"class":"voice","left":"1500","tenant":7}`,
		`{"class":"voice","left":"1500","extras":""}`, `{"class":"voice","left":"1500","extras":"dest:2"}`,
		`{"class":"voice","left":"1500","extras":"dest:-1;width:1;via:-1"}`,
		`{"class":"voice","left":"1500","extras":"via:3;width:2;dest:1.9"}`,
		`{"class":"voice","left":"1500","extras":"unheard:5"}`, `{"class":"voice","left":"1500","extras":":5"}`,
		`{"class":"voice","left":"1500","extras":"dest"}`, `{"class":"voice","left":"1500","extras":"dest:"}`,
		`{"class":"voice","left":"1500","extras":"dest:two"}`, `{"class":"voice","left":"1500","extras":"dest:nan"}`,
		`{"class":"voice","left":"1500","extras":"dest:inf"}`, `{"class":"voice","left":"1500","extras":"dest:-2"}`,
		`{"class":"voice","left":"1500","extras":"dest:1e6"}`, `{"class":"voice","left":"1500","extras":"dest:999999"}`,
		`{"class":"voice","left":"1500","extras":"width:0"}`, `{"class":"voice","left":"1500","extras":"width:0.5"}`,
		`{"class":"voice","left":"1500","extras":"dest:1;"}`,
		`{"class":"voice","left":"1500","extras":"dest:1,width:1"}`,
		`7`,
		`null`,
		`"x"`,
		`[]`,
		`{"class":"fax","left":"soon","key":"a b","tenant":"nobody","extras":"x"}`,
		`{"class":"fax","left":"soon","key":"a b"}`,
	}, func(fields string) string {
		return head + fields + tail
	})...)
	fields := `,"fields":{"class":"voice","left":"1500"}`
	lines = append(lines, each([]string{
		`"id":"9B1F03AA5C7E2D41"` + fields, `"id":"9b1f03aa5c7e2d4"` + fields, `"id":"9b1f03aa5c7e2d411"` + fields,
		`"id":"9b1f03aa5c7e2d4g"` + fields,
		`"id":"a-name.pools+cannot_read"` + fields,
		`"id":"` + strings.Repeat("a", 64) + `"` + fields,
		`"id":"` + strings.Repeat("a", 65) + `"` + fields,
		`"id":"` + strings.Repeat("b", 120) + `","fields":7`,
		`"id":"a b"` + fields,
		`"id":""` + fields,
		`"id":"é"` + fields, `"id":7` + fields, fields[1:], `"id":"` + callID + `"`, `"id":"` + callID + `"` + fields,
		`"id":"` + callID + `"` + fields + `,"sdp":""`,
		`"id":"` + callID + `"` + fields + `,"sdp":7`,
		`"id":"` + callID + `"` + fields + `,"cause":"x"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"\u0000\"\\é\ud83d\ude00\r\n"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"` + strings.Repeat("s", 15<<10) + `"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"` + strings.Repeat("s", 15<<10+1) + `"`,
		`"sdp":7,"id":"` + callID + `"` + fields,
	}, func(members string) string {
		return `{"type":"setup",` + members + `}`
	})...)
	play(t, "set-ups.txt", usual(), oneLine(lines))
}

func TestCharacterization_OtherLines(t *testing.T) {
	lines := []string{
		`{"type":"release","id":"` + callID + `","cause":16}`,
		`{"type":"release","id":"` + callID + `"}`,
		`{"type":"release","id":"` + callID + `","cause":-3}`,
		`{"type":"release","id":"` + callID + `","cause":0}`, `{"type":"release","id":"` + callID + `","cause":31.9}`,
		`{"type":"release","id":"` + callID + `","cause":1000}`,
		`{"type":"release","id":"` + callID + `","cause":"16"}`,
		`{"type":"release","id":"x"}`,
		`{"type":"release"}`, `{"type":"cancel","id":"` + callID + `"}`,
		`{"type":"ping","id":"p1","fields":{},"cause":0}`,
		`{"type":"ping"}`,
		`{"type":"ping","id":"\"\\\u0000\u007f\té\ud83d\ude00"}`,
		`{"type":"ping","id":"\ud800"}`,
		"{\"type\":\"ping\",\"id\":\"\xff\"}",
		`{"type":"ping","id":7}`,
		`{"type":"progress","id":"x"}`,
		`{"type":"released","id":"x"}`,
		`{"type":"pong","id":"x","cause":1}`,
		`{"type":"state","id":"x"}`,
		`{"type":"answer","id":"x"}`,
		`{"type":"dance","id":"x"}`,
		`{"type":"` + strings.Repeat("d", 60) + `","id":"x"}`,
		`{"type":"Setup"}`,
		``,
		` `,
		`nonsense`,
		`7`,
		`null`,
		`[]`,
		`"setup"`,
		`{}`,
		`{"a":1}`,
		`{"type":7,"id":"x"}`,
		`{"type":"","id":"x"}`,
		setup[:len(setup)-1],
		setup + ` x`,
		setup + setup,
		"\xef\xbb\xbf" + setup, setup + "\r", " \t" + setup + " \t\r\r",
		`{"type":"ping","id":"p"` + strings.Repeat(" ", linecodec.MaxLine-25) + `}`,
		`{"type":"ping","id":"p"` + strings.Repeat(" ", linecodec.MaxLine-24) + `}`,
		strings.Repeat("x", 2*linecodec.MaxLine), `{"type":"ping","id":"` + strings.Repeat("p", 8000) + `"}`,
	}
	all := oneLine(lines)
	all = append(all,
		scenario{"a ping while the program is not ready", func(p *platform) {
			p.ready = false
			p.say(p.dial(), `{"type":"ping","id":"p2","fields":{},"cause":0}`)
		}},
		scenario{"two lines at once and one in parts", func(p *platform) {
			c := p.dial()
			p.write(c, `{"type":"ping","id":"p1"}`+"\n"+`{"type":"ping","id":"p2"}`+"\n"+`{"type":"pi`)
			p.write(c, `ng","id":"p3"`)
			p.write(c, "}\n")
		}},
		scenario{"half a line, and the caller closes", func(p *platform) {
			c := p.dial()
			p.write(c, setup[:40])
			p.hangUp(c)
		}},
	)
	play(t, "other-lines.txt", usual(), all)
}

func TestCharacterization_AnyTenant(t *testing.T) {
	s := usual()
	s.tenants = nil
	line := strings.Replace(setup, `"key"`, `"tenant":"nobody","key"`, 1)
	play(t, "any-tenant.txt", s, oneLine([]string{line}))
}

// Which pool is of first choice is told by the extras.
func TestCharacterization_FirstChoice(t *testing.T) {
	settings := usual()
	settings.pools = []dispatch.Endpoint{{UID: "a", Group: 0}, {UID: "b", Group: 1}, {UID: "c", Group: 2}}
	lines := each([]string{
		"dest:0",
		"dest:1",
		"dest:2",
		"dest:2.9",
		"dest:0;dest:1",
		"via:2;width:1",
		"dest:1;via:0;width:3",
		"Dest:1",
		"dest:7",
	}, func(extras string) string {
		return strings.Replace(setup, "dest:0;width:1;via:-1", extras, 1)
	})
	play(t, "first-choice.txt", settings, oneLine(lines))
}

func TestCharacterization_Calls(t *testing.T) {
	play(t, "calls.txt", usual(), []scenario{
		{"answered and released by the caller, then released again", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(c, release)
			p.say(c, setup)
		}},
		{"released without a cause on another connection", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(other, `{"type":"release","id":"`+callID+`"}`)
		}},
		{"released with odd causes", func(p *platform) {
			c := p.dial()
			for i, cause := range []string{"0", "-3", "1000", "31.9"} {
				p.say(c, numbered(setup, i))
				p.say(c, numbered(`{"type":"release","id":"`+callID+`","cause":`+cause+`}`, i))
			}
		}},
		{"ended by the pool", func(p *platform) {
			c := p.dial()
			for i, cause := range []int{16, 41, 0} {
				p.say(c, numbered(setup, i))
				p.add("the pool ends the call with cause %d", cause)
				p.pools.legs[i].end(dispatch.Ended, cause)
				p.observe()
			}
		}},
		{"ended by the pool while no connection is there", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.hangUp(c)
			p.add("the pool ends the call")
			p.pools.legs[0].end(dispatch.Reset, 41)
			p.observe()
			p.dial()
			p.observe()
			p.wait(399 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"cancelled before the answer", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.wait(3 * time.Second)
			p.say(c, release)
		}},
		{"the caller closes before the answer", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.hangUp(c)
			p.say(p.dial(), setup)
		}},
		{"a cancel that overtakes its set-up", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(other, release)
			p.say(c, setup)
			p.wait(2 * time.Second)
		}},
		{"one id twice on one connection, while the first is out", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, setup)
		}},
		{"one id twice on one connection, while the first stands", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, setup)
		}},
		{"one id twice on one connection, the second malformed", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, `{"type":"setup","id":"`+callID+`","fields":7}`)
		}},
		{"one id on two connections", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(other, setup)
		}},
		{"one id twice, the first over", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(other, setup)
		}},
		{"answers with descriptions of many kinds", func(p *platform) {
			c := p.dial()
			for i, sdp := range []string{
				"",
				"v=0\r\né\"\\\t\x00\x7f\u2028\U0001f600",
				"\xff\xc3",
				strings.Repeat("s", 12_000),
			} {
				p.pools.sdp = sdp
				p.say(c, numbered(setup, i))
			}
		}},
	})
}

func TestCharacterization_FinalCauses(t *testing.T) {
	endings := []struct {
		word    string
		outcome dispatch.Outcome
	}{
		{"no agent", dispatch.NoAgent},
		{"processor full", dispatch.ProcessorFull},
		{"lines busy", dispatch.LinesBusy},
		{"error", dispatch.Errored},
		{"reset", dispatch.Reset},
		{"connect failed", dispatch.ConnectFailed},
		{"moot", dispatch.NotSent},
		{"timed out", dispatch.TimedOut},
	}
	classNames := []string{"voice", "once"}
	timesLeft := []string{"200", "1500"}
	all := make([]scenario, 0, len(endings)*len(classNames)*len(timesLeft)+len(classNames))
	for _, ending := range endings {
		for _, class := range classNames {
			for _, left := range timesLeft {
				all = append(all, scenario{ending.word + ", class " + class + ", " + left + " ms left", func(p *platform) {
					p.pools.outcome = ending.outcome
					p.say(p.dial(), strings.NewReplacer("voice", class, "1500", left).Replace(setup))
					p.wait(3 * time.Second)
				}})
			}
		}
	}
	for _, class := range classNames {
		all = append(all, scenario{"given up with an attempt out, class " + class, func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, strings.Replace(setup, "voice", class, 1))
			p.add("everything is given up")
			p.calls.AbortPending()
			p.observe()
			p.say(c, strings.Replace(numbered(setup, 1), "voice", class, 1))
		}})
	}
	play(t, "final-causes.txt", usual(), all)
}

func TestCharacterization_Closes(t *testing.T) {
	faults := func(line string, times int) func(p *platform) {
		return func(p *platform) {
			c := p.dial()
			for range times {
				p.say(c, line)
			}
		}
	}
	play(t, "closes.txt", usual(), []scenario{
		{"a silent caller", func(p *platform) {
			p.dial()
			p.wait(2504 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"half a first line", func(p *platform) {
			p.write(p.dial(), setup[:40])
			p.wait(2504 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"half a later line", func(p *platform) {
			c := p.dial()
			p.say(c, `{"type":"ping","id":"p"}`)
			p.wait(100 * time.Millisecond)
			p.write(c, setup[:40])
			p.wait(2004 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"idle", func(p *platform) {
			p.say(p.dial(), `{"type":"ping","id":"p"}`)
			p.wait(8004 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"idle while a call stands, and after it", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.wait(20 * time.Second)
			p.say(c, release)
			p.wait(8006 * time.Millisecond)
		}},
		{"idle while a set-up is open, and after it", func(p *platform) {
			p.pools.outcome = dispatch.TimedOut
			p.say(p.dial(), strings.Replace(setup, "1500", "9000", 1))
			p.wait(8500 * time.Millisecond)
			p.wait(12 * time.Second)
		}},
		{"empty lines", faults("", 17)},
		{"unknown types", faults(`{"type":"dance"}`, 17)},
		{"releases of names that no pool can read", faults(`{"type":"release","id":"x"}`, 17)},
		{"set-ups that cannot be", faults(strings.Replace(setup, "voice", "fax", 1), 17)},
		{"releases of unknown calls", func(p *platform) {
			c := p.dial()
			for i := range 82 {
				p.say(c, numbered(release, i))
			}
			p.wait(time.Second)
			other := p.dial()
			for i := range 34 {
				p.say(other, numbered(release, i+1000))
			}
		}},
		{"more connections than there may be", func(p *platform) {
			for range 9 {
				p.dial()
				time.Sleep(time.Millisecond)
			}
			p.observe()
			for _, c := range p.callers[1:] {
				p.say(c, `{"type":"ping","id":"p"}`)
				time.Sleep(time.Millisecond) // the one that was quiet for longest makes room
			}
			time.Sleep(2 * time.Second)
			p.dial()
			p.observe()
		}},
		{"a planned stop", func(running *platform) {
			idle, stands, open := running.dial(), running.dial(), running.dial()
			running.say(idle, `{"type":"ping","id":"p"}`)
			running.say(stands, setup)
			running.pools.outcome = dispatch.TimedOut
			running.say(open, numbered(setup, 1))
			running.add("the front drains")
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				running.front.Drain(context.Background())
			}()
			running.observe()
			running.pools.outcome = dispatch.Answered
			running.say(open, numbered(setup, 2))
			running.add("everything is given up")
			running.calls.AbortPending()
			running.observe()
			<-drained
		}},
	})
}

func TestCharacterization_Floods(t *testing.T) {
	s := usual()
	s.calls = 70
	play(t, "floods.txt", s, []scenario{
		{"set-ups of a connection that had none answered", func(p *platform) {
			p.pools.outcome, p.pools.quiet = dispatch.TimedOut, true
			c := p.dial()
			for i := range 82 {
				p.say(c, numbered(setup, i))
			}
		}},
		{"more calls than there may be, on a connection that is served", func(p *platform) {
			c := p.dial()
			p.say(c, numbered(setup, 1000))
			p.pools.outcome, p.pools.quiet = dispatch.TimedOut, true
			for i := range 90 {
				p.say(c, numbered(setup, i))
			}
		}},
		{"set-ups that pools can make nothing of", func(p *platform) {
			p.pools.outcome = dispatch.Errored
			c := p.dial()
			for i := range 6 {
				p.say(c, numbered(setup, i))
				p.wait(3 * time.Second)
			}
		}},
	})
}

func TestCharacterization_Trace(t *testing.T) {
	s := usual()
	s.level = zerolog.DebugLevel
	play(t, "trace.txt", s, []scenario{
		{"a call", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(c, "")
			p.say(c, `{"type":"dance","id":"x"}`)
		}},
	})
}
