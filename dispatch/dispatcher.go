// Package dispatch is the blocking facade over the decision module, and the life of a call on top of it. A frontend
// hands each set-up to a CallTable, which admits it and has Serve take it to its one final answer: Pick waits for the
// module's decision, an Inviter carries the attempt to an endpoint, Report returns what became of it. An Engine hosts
// the module with the filters that narrow its choice and a last check of the rules before each attempt; one loop
// goroutine, the Dispatcher's, owns it. Outside this package nobody sees the module's events and actions.
//
// All times are whole microseconds of one monotonic clock, read once per iteration of the loop.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/clock"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// Clock reads microseconds that never move backwards.
type Clock interface{ Now() int64 }

// Counters count what is taken in, sent and answered; the zero value is ready, and they log themselves as
// a zerolog object. Wherever they are asked for, nil does without.
type Counters = telemetry.Counters

// ErrClosed is returned once the dispatcher has stopped.
var ErrClosed = errors.New("dispatch: closed")

// ErrNoDecision is returned when no decision came before the caller's deadline.
var ErrNoDecision = errors.New("dispatch: no decision in time")

const (
	inboxCapacity       = 1024 // messages to the loop; a sender waits when it is full
	maxMessagesPerStep  = 256
	maxGatherDelay      = time.Millisecond // how long an iteration waits at most after its first message
	decisionGraceMicros = 10_000           // how long after the deadline Pick still waits for a decision
	// stallThresholdMicros is how late a due iteration or a decision must be for the process to have stalled, and
	// stallRecoveryDelay is how long the readers of connections then get before anything is decided or sent: an
	// attempt must not start more than 0.1 s after its caller has left.
	stallThresholdMicros = 50_000
	stallRecoveryDelay   = 2 * time.Millisecond
	// idleTimeout is the loop's timer while nothing is due.
	idleTimeout = time.Hour
)

// Dispatcher runs an Engine in one loop goroutine. Its methods are safe for concurrent use.
type Dispatcher struct {
	clock       Clock
	gatherDelay time.Duration // how long an iteration waits for more messages that come together
	inbox       chan func(now int64)
	done        chan struct{}
	closeDone   sync.Once
	lastCall    atomic.Uint64
	engine      *Engine
	attemptLog  zerolog.Logger // zero: no lines
}

// New returns a dispatcher; its loop is Run. maxRetryAfter bounds the time, in µs, that any caller is asked to stay
// away. A nil clock is the system's monotonic one.
func New(
	settings eidertrail.Settings,
	seed uint64,
	maxRetryAfter int64,
	timeSource Clock,
	log zerolog.Logger,
	counters *Counters,
) (*Dispatcher, error) {
	if timeSource == nil {
		timeSource = clock.New()
	}
	engine, err := NewEngine(settings, seed, maxRetryAfter, log, counters)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		clock:       timeSource,
		gatherDelay: min(maxGatherDelay, settings.Tick),
		inbox:       make(chan func(int64), inboxCapacity),
		done:        make(chan struct{}),
		engine:      engine,
	}, nil
}

// LogAttempts has a line logged for each attempt that ends without an answer. Call it before Run.
func (d *Dispatcher) LogAttempts(log zerolog.Logger) { d.attemptLog = log }

// Run is the loop. It ends when ctx is done; calls without a decision get ErrClosed.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.closeDone.Do(func() { close(d.done) })
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		timer.Reset(d.untilDue())
		var first func(int64)
		select {
		case <-ctx.Done():
			return
		case first = <-d.inbox:
		case <-timer.C:
		}
		if due := d.engine.NextDue(d.clock.Now()); due > 0 {
			d.recoverFromStall(d.clock.Now() - due)
		}
		d.iterate(first)
	}
}

// untilDue is how long the loop may wait for a message.
func (d *Dispatcher) untilDue() time.Duration {
	due := d.engine.NextDue(d.clock.Now())
	if due == 0 {
		return idleTimeout
	}
	return duration(max(0, due-d.clock.Now()))
}

// iterate handles the messages that have come, beginning with first where there is one, and steps the engine.
func (d *Dispatcher) iterate(first func(now int64)) {
	// Messages that come together are decided on together, as in the simulator's ticks. Otherwise a waiting call gets
	// its second choice because that endpoint's report came some microseconds before the others'.
	if first != nil {
		time.Sleep(d.gatherDelay)
	}
	now := d.clock.Now()
	if first != nil {
		first(now)
	}
	for n := 0; n < maxMessagesPerStep && len(d.inbox) > 0; n++ {
		(<-d.inbox)(now)
	}
	d.engine.Step(now)
}

// recoverFromStall lets the connections' readers run first if what was due is so late that the process has stalled.
// Timers run before readers then, and an attempt would be sent for a caller whose leaving was not read yet.
func (d *Dispatcher) recoverFromStall(lateness int64) {
	if lateness >= stallThresholdMicros {
		time.Sleep(stallRecoveryDelay)
	}
}

// post hands a message to the loop and reports whether the loop will run it, unless it stops first.
func (d *Dispatcher) post(message func(now int64)) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.inbox <- message:
		return true
	case <-d.done:
		return false
	}
}

// RejectionRate is the recent fraction of calls that were rejected, 0 to 1.
func (d *Dispatcher) RejectionRate() float64 { return d.engine.rejections.at(d.clock.Now()) }

// Avoids reports whether no set-up may go to an endpoint of the list now. It does not wait for the loop.
func (d *Dispatcher) Avoids(uid string) bool {
	avoided := d.engine.avoided.Load()
	return avoided != nil && (*avoided)[uid]
}

// NewCall returns the number of a new call.
func (d *Dispatcher) NewCall() uint64 { return d.lastCall.Add(1) }

// Now reads the clock.
func (d *Dispatcher) Now() int64 { return d.clock.Now() }

// Report takes what became of an attempt, or that an established call has ended.
func (d *Dispatcher) Report(r Result) {
	d.post(func(now int64) { d.engine.Report(now, r) })
}

// Observe takes a load report that an endpoint sent unasked.
func (d *Dispatcher) Observe(uid string, load LoadReport) {
	d.post(func(now int64) { d.engine.Observe(now, uid, load) })
}

// ObserveCapacity takes the set-ups a second that an endpoint says it can take from all controllers together.
func (d *Dispatcher) ObserveCapacity(uid string, rate float64) {
	d.post(func(now int64) { d.engine.ObserveCapacity(now, uid, rate) })
}

// UpdateEndpoints takes changed lines of the endpoint list, or the complete list if snapshot is set.
func (d *Dispatcher) UpdateEndpoints(endpoints []Endpoint, snapshot bool) {
	d.post(func(now int64) { d.engine.UpdateEndpoints(now, endpoints, snapshot) })
}

// SetRouter has routing narrow the module's choice from the next iteration on; nil takes it away. A new Router does not
// count the established calls and the attempts in flight: it sees them only as they end.
func (d *Dispatcher) SetRouter(r *routing.Router) {
	d.post(func(now int64) { d.engine.SetRouter(now, r) })
}

// SetQuotas has this controller's quotas of the fleet's budgets narrow the module's choice from the next iteration on.
func (d *Dispatcher) SetQuotas(cfg QuotaConfig) {
	d.post(func(now int64) { d.engine.SetQuotas(now, cfg) })
}

// SetProcesses takes how many processes the controller consists of now: two while one replaces the other.
func (d *Dispatcher) SetProcesses(processes int) {
	d.post(func(int64) { d.engine.SetProcesses(processes) })
}

// Tick makes the loop iterate now and returns when it has: what is due is done, and the loop is alive.
func (d *Dispatcher) Tick(ctx context.Context) error {
	done := make(chan struct{})
	if !d.post(func(int64) { close(done) }) {
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-d.done:
		return ErrClosed
	case <-ctx.Done():
		return fmt.Errorf("dispatch: tick: %w", ctx.Err())
	}
}

func duration(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }
