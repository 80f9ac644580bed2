package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"

	"eidertrail/internal/rollout"
)

// Suffixes of the files beside a state file.
const (
	abortSuffix = ".abort" // present when the operator wants the change rolled back
	lockSuffix  = ".lock"  // locked by the process that carries the rollout out
)

// ReadState reads a state file.
func ReadState(path string) (*rollout.State, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	state := &rollout.State{}
	if err := json.Unmarshal(text, state); err != nil {
		return nil, fmt.Errorf("rollout: state file: %w", err)
	}
	return state, nil
}

// Abort asks for the rollout to be rolled back, by the process that carries it out or by the next one.
func Abort(statePath string) error {
	if _, err := ReadState(statePath); err != nil {
		return err
	}
	return replaceFile(statePath+abortSuffix, nil)
}

// stateFile is the path of a rollout's state file.
type stateFile string

// lock takes the rollout's lock, ErrBusy if another process has it. Closing the file, as the process's end does,
// releases it.
func (f stateFile) lock() (*os.File, error) {
	lock, err := os.OpenFile(string(f)+lockSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrBusy
	}
	return lock, nil
}

// resume returns the state in the file and true, or the state of a rollout that begins when there is none. The id
// identifies the plan.
func (f stateFile) resume(plan rollout.Plan, id string) (state *rollout.State, resumed bool, err error) {
	state, err = ReadState(string(f))
	switch {
	case errors.Is(err, os.ErrNotExist):
		return plan.Begin(id), false, nil
	case err != nil:
		return nil, false, err
	case state.Plan != id:
		return nil, false, ErrOtherPlan
	}
	return state, true, nil
}

// save replaces the file by the state, on disk when it returns.
func (f stateFile) save(state *rollout.State) error {
	text, err := json.MarshalIndent(state, "", " ")
	if err == nil {
		err = replaceFile(string(f), append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("rollout: state file: %w", err)
	}
	return nil
}

// abortRequested reports whether the operator wants the change rolled back.
func (f stateFile) abortRequested() bool {
	_, err := os.Stat(string(f) + abortSuffix)
	return err == nil
}

// clearAbort removes the operator's request once the change is rolled back.
func (f stateFile) clearAbort() {
	_ = os.Remove(string(f) + abortSuffix)
}
