package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"eidertrail/internal/invariant"
	"eidertrail/internal/platformfile"
	"eidertrail/internal/simulation"
)

// ErrUnfit is the error of a scenario that the daemon cannot run on loopback.
var ErrUnfit = fmt.Errorf("%w: the scenario does not fit", ErrLab)

const (
	// firstReportsDelay is how long a live run waits for the first load reports before callers arrive.
	firstReportsDelay = 300 * time.Millisecond
	// drainTimeout bounds the wait for the last answers, which are looked for at every drainCheckInterval.
	drainTimeout       = 20 * time.Second
	drainCheckInterval = 50 * time.Millisecond
	// answerTolerance and abandonTolerance are those of the checker of the wire's rules, which sees messages as late as
	// the machine is busy.
	answerTolerance, abandonTolerance = 100 * time.Millisecond, 100 * time.Millisecond
	maxAttemptsPerRequest             = 2
	// randomStream sets the random numbers of live runs apart from the simulator's for the same seed.
	randomStream = 9
)

// liveKinds are the kinds of event that a live run can cause.
func liveKinds() []string {
	return []string{
		string(simulation.EventBurst), string(simulation.EventSlow), string(simulation.EventErrors),
	}
}

// Live runs a scenario in real time: processes of the daemon on loopback, with fake pools that behave as the
// simulator's pools, and callers. The result has the figures that can be seen from outside.
func Live(ctx context.Context, variant *Variant, daemon string, seed uint64) (*simulation.Result, error) {
	if err := checkFits(variant); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "eidertrail-lab")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, stop := context.WithCancel(ctx)
	run := newLiveRun(variant, seed)
	defer func() {
		stop()
		run.tasks.Wait()
	}()
	if err := run.start(ctx, daemon, folder); err != nil {
		return nil, err
	}
	run.play(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return run.result(seed), nil
}

// checkFits returns an error for a scenario with parts that only the simulator has.
func checkFits(variant *Variant) error {
	kinds := liveKinds()
	for _, e := range variant.Event {
		if !slices.Contains(kinds, string(e.Kind)) {
			return fmt.Errorf("%w: event %s: want one of %s", ErrUnfit, e.Kind, strings.Join(kinds, ", "))
		}
	}
	if variant.Fleet != nil || variant.Routing != nil || variant.SRV != nil {
		return fmt.Errorf("%w: fleet, routing and srv are the simulator's", ErrUnfit)
	}
	return nil
}

// liveRun is a run in real time. Its fields above mu do not change once callers arrive.
type liveRun struct {
	variant     *Variant
	tasks       sync.WaitGroup // ended by the run's context
	checker     *invariant.Checker
	startedAt   time.Time
	pools       []*livePool
	controllers []*liveController

	mu          sync.Mutex
	random      *rand.Rand
	burstFactor float64 // times the rate of new calls
	requests    int
	requestByID map[string]*liveRequest
	attempts    int
	windows     []simulation.Window
	times       []int64 // from the first request to the answer, µs
}

func newLiveRun(variant *Variant, seed uint64) *liveRun {
	return &liveRun{
		variant:     variant,
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		startedAt:   time.Now(),
		burstFactor: 1,
		requestByID: map[string]*liveRequest{},
		checker: invariant.New(invariant.Config{
			ReleaseWait:      variant.Settings.ReleaseWait.Microseconds(),
			MaxAttempts:      maxAttemptsPerRequest,
			DrainGrace:       math.MaxInt64 / 4, //nolint:mnd // never over, with room to add a time
			AnswerTolerance:  answerTolerance.Microseconds(),
			AbandonTolerance: abandonTolerance.Microseconds(),
		}),
	}
}

// start starts the pools and the controllers; the end of ctx stops them.
func (l *liveRun) start(ctx context.Context, daemon, folder string) error {
	var targets []platformfile.Target
	for _, spec := range l.variant.Pool {
		for i := range max(spec.Count, 1) {
			pool, err := l.startPool(ctx, simulation.NewPoolModel(spec, i))
			if err != nil {
				return err
			}
			targets = append(targets, platformfile.Target{
				UID:      pool.model.UID(),
				Endpoint: pool.address,
				Zone:     spec.Zone,
				Group:    pool.model.GroupNumber(),
				State:    "up",
			})
		}
	}
	for index := range l.variant.Controllers {
		if err := l.startController(ctx, folder, daemon, index, targets); err != nil {
			return err
		}
	}
	return nil
}

// now is the time for the checker, µs. It is never 0, which means no time there.
func (l *liveRun) now() int64 { return time.Since(l.startedAt).Microseconds() + 1 }

// uniform draws a number from [0, 1).
func (l *liveRun) uniform() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// networkDelay draws how long a message takes between a controller and a pool.
func (l *liveRun) networkDelay() time.Duration {
	low, high := time.Duration(l.variant.Network.Near[0]), time.Duration(l.variant.Network.Near[1])
	return low + time.Duration(l.uniform()*float64(high-low))
}

// play has callers arrive for as long as the scenario says, and waits until the last has its answer.
func (l *liveRun) play(ctx context.Context) {
	time.Sleep(firstReportsDelay)
	l.mu.Lock()
	start := time.Now()
	l.windows = make([]simulation.Window, int(l.variant.Length.Seconds())+1)
	l.mu.Unlock()
	for _, event := range l.variant.Event {
		time.AfterFunc(event.At, func() { l.handleEvent(event, eventStarts) })
		if event.Duration > 0 {
			time.AfterFunc(event.At+event.Duration, func() { l.handleEvent(event, eventEnds) })
		}
	}
	l.placeCalls(ctx, start)
	l.awaitAnswers(ctx)
	l.checker.Finish(l.now())
}

// awaitAnswers waits until no request is without its answer, for a bounded time.
func (l *liveRun) awaitAnswers(ctx context.Context) {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && l.unanswered() > 0 {
		time.Sleep(drainCheckInterval)
	}
}

// eventPhase is the beginning or the end of an event: the exponent of its factor.
type eventPhase float64

const (
	eventStarts eventPhase = 1
	eventEnds   eventPhase = -1
)

// handleEvent begins or ends an event.
func (l *liveRun) handleEvent(event simulation.Event, phase eventPhase) {
	factor := math.Pow(event.Factor, float64(phase))
	if event.Kind == simulation.EventBurst {
		l.mu.Lock()
		l.burstFactor *= factor
		l.mu.Unlock()
		return
	}
	for _, pool := range l.pools {
		if event.Pool != "" && event.Pool != pool.model.UID() || event.Zone != "" && event.Zone != pool.model.Zone {
			continue
		}
		pool.mu.Lock()
		switch {
		case event.Kind == simulation.EventSlow:
			pool.model.ScaleServiceTime(factor)
		case phase == eventStarts:
			pool.model.SetErrorRate(event.Fraction)
		default:
			pool.model.SetErrorRate(pool.model.ErrorRate)
		}
		pool.mu.Unlock()
	}
}

// result sums up the run.
func (l *liveRun) result(seed uint64) *simulation.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := &simulation.Result{
		Scenario: l.variant.Name + " (daemon)",
		Seed:     seed,
		Windows:  l.windows,
		Attempts: l.attempts,
		Requests: l.requests,
	}
	var offered, served float64
	for _, w := range l.windows {
		result.Calls += w.Calls
		result.InTime += w.InTime
		result.Late += w.Late
		result.Lost += w.Lost
		offered, served = offered+w.OfferedWeight, served+w.ServedWeight
	}
	if offered > 0 {
		result.Service = served / offered
	}
	result.Summarize(l.times)
	result.RecordViolations(l.checker)
	return result
}
