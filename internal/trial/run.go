package trial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"eidertrail/internal/invariant"
	"eidertrail/internal/trial/plan"
)

// maxStall is how late this program's own timers may have been in a trial whose verdict counts.
const maxStall = timeTolerance

// Options are how trials are played.
type Options struct {
	Program  string      // the daemon's
	Folder   string      // for configurations and logs
	Kinds    []plan.Kind // of faults; nil: all
	Required []plan.Kind // each trial has a fault of each of these
	Verbose  bool        // the daemon's logs have its trace
	Sites    bool        // each process of a trial has a site on a WebSocket
	Parallel int         // trials at a time
	Slot     int         // of one trial's addresses
}

// Result is what came of a trial.
type Result struct {
	Plan       *plan.Plan
	Violations []invariant.Violation
	Calls      int
	Stall      time.Duration // the longest delay of this program's own timers
	Elapsed    time.Duration
	Timeline   string // of the first violation
}

// Verdict is a result's word.
type Verdict string

// The verdicts.
const (
	Passed Verdict = "passed"
	Broken Verdict = "broken"
	Late   Verdict = "late" // a duty was broken while this program was late itself: it has to be played again
)

// Verdict is the trial's.
func (r *Result) Verdict() Verdict {
	switch {
	case len(r.Violations) == 0:
		return Passed
	case r.Stall > maxStall:
		return Late
	}
	return Broken
}

// Rules are the rules that were broken.
func (r *Result) Rules() []invariant.Rule {
	var rules []invariant.Rule
	for _, violation := range r.Violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	return rules
}

// Play plays one trial.
func Play(ctx context.Context, p *plan.Plan, options Options) (*Result, error) {
	w := newWorld(p, options)
	if err := os.RemoveAll(w.folder); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if err := w.play(ctx); err != nil {
		return nil, err
	}
	result := &Result{
		Plan:       p,
		Violations: w.checker.FirstViolations(),
		Calls:      w.checker.AcceptedCalls(),
		Stall:      w.stall.Worst(),
		Elapsed:    time.Since(w.started),
	}
	everything := render(w.timeline.about([]string{""}))
	if err := os.WriteFile(filepath.Join(w.folder, "timeline.txt"), []byte(everything), 0o600); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if len(result.Violations) > 0 {
		first := result.Violations[0]
		process, _, _ := strings.Cut(first.CallID, ".")
		result.Timeline = render(w.timeline.about([]string{first.CallID, process}, "faults", "list", "operator"))
	}
	return result, nil
}

// PlayAll plays the trials of seeds, some at a time, and calls report with each result in the order in which they end.
// A trial that was late is played once more, alone.
func PlayAll(ctx context.Context, seeds []uint64, options Options, report func(*Result)) error {
	var late []uint64
	err := playSeeds(ctx, seeds, options, func(r *Result) {
		if r.Verdict() == Late {
			late = append(late, r.Plan.Seed)
			return
		}
		report(r)
	})
	if err != nil {
		return err
	}
	options.Parallel = 1
	return playSeeds(ctx, late, options, report)
}

func playSeeds(ctx context.Context, seeds []uint64, options Options, report func(*Result)) error {
	var workers sync.WaitGroup
	var reporting sync.Mutex
	var failed error
	next := make(chan uint64, len(seeds))
	for _, seed := range seeds {
		next <- seed
	}
	close(next)
	for slot := range max(options.Parallel, 1) {
		workers.Go(func() {
			own := options
			own.Slot = options.Slot + slot
			for seed := range next {
				drawn := plan.Generate(seed, options.Kinds)
				drawn.Require(options.Required)
				drawn.Sites = options.Sites
				result, err := Play(ctx, drawn, own)
				reporting.Lock()
				if err != nil && failed == nil {
					failed = fmt.Errorf("seed %d: %w", seed, err)
				} else if err == nil {
					report(result)
				}
				stop := failed != nil
				reporting.Unlock()
				if stop {
					return
				}
			}
		})
	}
	workers.Wait()
	return failed
}

// Shrink takes faults out of a plan one after another while the rule still breaks, and returns the least result that
// breaks it. Each reduced plan is played as often as given, since the order of events is the machine's.
func Shrink(ctx context.Context, broken *Result, plays int, options Options) (*Result, error) {
	rule := broken.Violations[0].Rule
	minimum := broken
	for index := len(minimum.Plan.Faults) - 1; index >= 0; index-- {
		reduced := minimum.Plan.Without(index)
		for range plays {
			result, err := Play(ctx, reduced, options)
			if err != nil {
				return minimum, err
			}
			if slices.Contains(result.Rules(), rule) {
				minimum = result
				break
			}
		}
	}
	return minimum, nil
}
