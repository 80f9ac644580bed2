package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"eidertrail/internal/invariant"
	"eidertrail/internal/trial/plan"
)

const (
	// timeTolerance is how much longer than a page's figure things may take on sockets.
	timeTolerance = 50 * time.Millisecond
	// lateAnswer is how long after its time a request may still be answered.
	lateAnswer = 500 * time.Millisecond
	// abandonTolerance is how long after its caller left an attempt may still begin.
	abandonTolerance = 100 * time.Millisecond
	maxAttempts      = 6
	// settleTime is how long after the last arrival the trial goes on: an end without a release is passed on within 8 s.
	settleTime = 9 * time.Second
	// watchInterval is how often the duties that go by time are checked.
	watchInterval = 50 * time.Millisecond
	randomStream  = 42
)

// world is one trial under way.
type world struct {
	plan     *plan.Plan
	program  string
	verbose  bool   // the daemon's logs have its trace
	folder   string // of configurations and logs
	network  network
	started  time.Time
	checker  *invariant.Checker
	timeline *timeline
	stall    stallMeter
	tasks    sync.WaitGroup  // ended by ctx
	ctx      context.Context //nolint:containedctx // the trial's own, set before anything is started

	pools     []*pool
	lists     []*list
	processes []*process
	callers   *callers

	mu     sync.Mutex
	random *rand.Rand
}

func newWorld(drawn *plan.Plan, options Options) *world {
	w := &world{
		plan:    drawn,
		program: options.Program,
		verbose: options.Verbose,
		folder:  filepath.Join(options.Folder, fmt.Sprintf("seed-%d", drawn.Seed)),
		network: newNetwork(options.Slot),
		started: time.Now(),
		checker: invariant.New(invariant.Config{
			ReleaseWait:      drawn.ReleaseWait.Microseconds() - timeTolerance.Microseconds(),
			MaxAttempts:      maxAttempts,
			DrainGrace:       never, // the trial knows itself when a drain counts as notified
			AnswerTolerance:  (lateAnswer + timeTolerance).Microseconds(),
			AbandonTolerance: abandonTolerance.Microseconds(),
			TimeTolerance:    timeTolerance.Microseconds(),
		}),
		random: rand.New(rand.NewPCG(drawn.Seed, randomStream)),
	}
	w.timeline = newTimeline(w.started)
	w.timeline.add("faults", "the trial begins at "+w.started.UTC().Format(time.RFC3339Nano))
	w.callers = newCallers(w)
	return w
}

// never is a time that a trial does not reach, with room to add others, µs.
const never = int64(1) << 60

// now is the time for the checker, µs. It is never 0, which means no time there.
func (w *world) now() int64 { return time.Since(w.started).Microseconds() + 1 }

// timeOf is a time for the checker.
func (w *world) timeOf(at time.Time) int64 { return at.Sub(w.started.Round(0)).Microseconds() + 1 }

// randomInt returns a number below n.
func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// randomExponential returns a duration drawn from the exponential distribution with that mean.
func (w *world) randomExponential(mean time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// play runs the trial to its end.
func (w *world) play(ctx context.Context) error {
	if err := os.MkdirAll(w.folder, 0o755); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		w.close()
		w.tasks.Wait()
	}()
	w.ctx = ctx
	if err := w.build(ctx); err != nil {
		return err
	}
	w.tasks.Go(func() { w.stall.run(ctx) })
	w.tasks.Go(func() { w.watch(ctx) })
	for _, p := range w.processes {
		if err := p.start(ctx, false); err != nil {
			return err
		}
		w.tasks.Go(func() { p.front(ctx) })
		w.tasks.Go(func() { p.pollFigures(ctx) })
	}
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	begin := time.Now()
	w.startSites(ctx, begin)
	for _, fault := range w.plan.Faults {
		w.tasks.Go(func() { w.cause(ctx, begin, fault) })
	}
	w.callers.arrive(ctx, begin)
	sleep(ctx, settleTime)
	w.checker.CheckEndsNotified(w.now())
	w.callers.excuseUnfinished()
	w.checker.Finish(w.now())
	return ctx.Err()
}

// earliestKill is how long after SIGTERM SIGKILL may come.
func (w *world) earliestKill() time.Duration {
	longest := w.plan.LongestDeadline()
	if w.plan.Sites {
		longest = max(longest, siteDeadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// startSites starts a site at each process, where the plan has sites.
func (w *world) startSites(ctx context.Context, begin time.Time) {
	if !w.plan.Sites {
		return
	}
	for _, p := range w.processes {
		s := newSite(w, p)
		w.tasks.Go(func() { s.run(ctx) })
		w.tasks.Go(func() { s.place(ctx, begin) })
	}
}

// build makes the parts, from the pools outwards.
func (w *world) build(ctx context.Context) error {
	for n := range w.plan.Pools {
		p, err := newPool(ctx, w, n)
		if err != nil {
			return err
		}
		w.pools = append(w.pools, p)
	}
	for n := range w.plan.Processes {
		process := newProcess(w, n)
		w.processes = append(w.processes, process)
		for _, p := range w.pools {
			if err := p.link(process); err != nil {
				return err
			}
		}
		l, err := newList(w, process)
		if err != nil {
			return err
		}
		w.lists = append(w.lists, l)
	}
	for _, p := range w.pools {
		w.announce(p, stateUp)
	}
	return nil
}

// announce adds an event of a pool to the endpoint list of every process.
func (w *world) announce(p *pool, state poolState) {
	uid, startedAt := p.identity()
	w.timeline.add("list", fmt.Sprintf("%s %s", uid, state))
	for _, l := range w.lists {
		l.add(p.number, uid, startedAt, state)
	}
}

// awaitReady waits until every process was ready once.
func (w *world) awaitReady(ctx context.Context) error {
	for _, p := range w.processes {
		for !p.inRotation() {
			if !sleep(ctx, watchInterval) {
				return ctx.Err()
			}
			if time.Since(w.started) > startTimeout {
				return &StartError{Process: p.name, Log: p.logPath()}
			}
		}
	}
	return nil
}

// watch checks what goes by time.
func (w *world) watch(ctx context.Context) {
	for sleep(ctx, watchInterval) {
		w.callers.excuseEnds()
		w.checker.CheckEndsNotified(w.now())
		for _, p := range w.processes {
			p.sample()
			w.checker.CheckEmptied(w.now(), p.incarnation())
		}
	}
}

// close ends the processes, and closes what the trial listens on.
func (w *world) close() {
	for _, p := range w.processes {
		p.end()
	}
	w.callers.close()
	for _, p := range w.pools {
		p.close()
	}
	for _, l := range w.lists {
		l.close()
	}
}

// sleep waits, and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
