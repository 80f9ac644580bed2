package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/rollout"
)

// Run carries the file's rollout out, from where the state file says it is, until it is done, rolled back or stuck, or
// ctx is done.
func Run(ctx context.Context, file *File, statePath string, log zerolog.Logger) error {
	store := stateFile(statePath)
	lock, err := store.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	plan, err := file.Plan()
	if err != nil {
		return err
	}
	state, resumed, err := store.resume(plan, file.id)
	if err != nil {
		return err
	}
	if resumed {
		log.Info().Str("phase", string(state.Phase)).Int("stage", state.Stage+1).Msg("going on")
	}
	r := &run{file: file, plan: plan, state: state, store: store, log: log, logged: len(state.Log)}
	if err := r.loop(ctx); err != nil {
		return err
	}
	return r.finish()
}

// run is a rollout that is being carried out.
type run struct {
	file   *File
	plan   rollout.Plan
	state  *rollout.State
	store  stateFile
	log    zerolog.Logger
	logged int // lines of the state's log that were logged
}

// loop carries out one action after another until the phase is final. The state is saved before each action and after
// each transition.
func (r *run) loop(ctx context.Context) error {
	for {
		action := r.plan.Next(r.state, r.observe(ctx))
		if err := r.store.save(r.state); err != nil {
			return err
		}
		if action.Kind == rollout.ActionTransition {
			if err := r.carryOut(ctx, action); err != nil {
				return err
			}
		}
		r.logProgress()
		switch action.Kind {
		case rollout.ActionFinish:
			return nil
		case rollout.ActionWait:
			if err := sleepUntil(ctx, time.UnixMilli(action.Until)); err != nil {
				return err
			}
		}
	}
}

// carryOut carries out a transition and records how it ended. One that ctx interrupts is not recorded: the saved state
// says that it has begun, so the next run begins it again.
func (r *run) carryOut(ctx context.Context, action rollout.Action) error {
	controller := r.file.Controllers[action.Index]
	r.log.Info().Str("controller", controller.Name).Str("to", string(action.To)).Msg("moving")
	err := r.transition(ctx, controller, action.To)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.state.EndTransition(action.Index, action.To, err)
	return r.store.save(r.state)
}

// logProgress logs the lines that were added to the state's log.
func (r *run) logProgress() {
	for _, line := range r.state.Log[min(r.logged, len(r.state.Log)):] {
		r.log.Info().Msg(line)
	}
	r.logged = len(r.state.Log)
}

// observe polls all controllers at once. Outside PhaseRunning nothing depends on what they count.
func (r *run) observe(ctx context.Context) rollout.Observation {
	count := len(r.file.Controllers)
	observation := rollout.Observation{
		Counts:       make([]rollout.Counts, count),
		Incarnations: make([]string, count),
		Abort:        r.store.abortRequested(),
	}
	if r.state.Phase == rollout.PhaseRunning {
		var polls sync.WaitGroup
		for i, controller := range r.file.Controllers {
			polls.Go(func() {
				if reply, err := readCounters(ctx, controller); err == nil {
					observation.Counts[i], observation.Incarnations[i] = reply.counts(), reply.incarnation()
				}
			})
		}
		polls.Wait()
	}
	observation.Now = time.Now().UnixMilli()
	return observation
}

// finish removes the files that a final phase leaves without use, and returns the phase's error.
func (r *run) finish() error {
	switch r.state.Phase {
	case rollout.PhaseAborted:
		r.store.clearAbort()
		return fmt.Errorf("%w: %s", ErrRolledBack, r.state.Reason)
	case rollout.PhaseStuck:
		return fmt.Errorf("%w: %s", ErrStuck, r.state.Reason)
	}
	for _, controller := range r.file.Controllers {
		removeBackup(controller)
	}
	return nil
}

// sleepUntil returns at the time, or earlier with the error of ctx when that is done.
func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Duration(at.UnixMilli()-time.Now().UnixMilli()) * time.Millisecond
	if wait <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
