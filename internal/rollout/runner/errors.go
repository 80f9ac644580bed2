package runner

import (
	"errors"
	"fmt"

	"eidertrail/internal/rollout"
)

// operatorError is an error with a remedy for an operator, as package remedy looks for it.
type operatorError struct{ text, remedy string }

func (e *operatorError) Error() string { return e.text }

// Remedy says what an operator can do.
func (e *operatorError) Remedy() string { return e.remedy }

// How a rollout ends other than by being done. Each of them has a remedy.
var (
	// ErrBusy means that another process carries the rollout out.
	ErrBusy error = &operatorError{
		text:   "rollout: another process is at it",
		remedy: "wait until that process has ended, or abort the rollout",
	}
	// ErrRolledBack means that the change was stopped and rolled back; the state says why.
	ErrRolledBack error = &operatorError{
		text:   "rollout: stopped and taken back",
		remedy: "correct what the reason names, and begin a new rollout with another state file",
	}
	// ErrStuck means that a controller could be taken neither to the new version nor back.
	ErrStuck error = &operatorError{
		text:   "rollout: stuck",
		remedy: "see the controller's log, and start it by hand with the old program and its old configuration",
	}
	// ErrOtherPlan means that the state file is of a rollout by another file.
	ErrOtherPlan error = &operatorError{
		text:   "rollout: the state file is of another plan: end that one, or name another file",
		remedy: "run the rollout that the state file is of to its end with its own file, or name another state file",
	}
)

// Why a transition failed.
var (
	errTimedOut            = errors.New("it takes too long")
	errEndedAtReload       = errors.New("it ended at the reload")
	errConfigurationFailed = errors.New("it refused the configuration: see its log")
)

// FileError is an invalid field of a rollout file.
type FileError struct {
	Field   string
	Problem string // what is wrong, or what is wanted
}

func (e *FileError) Error() string { return fmt.Sprintf("rollout: %s: %s", e.Field, e.Problem) }

// fileError returns an error about a plan as one about the file that the plan is from.
func fileError(err error) error {
	var planError *rollout.PlanError
	if errors.As(err, &planError) {
		return &FileError{planError.Field, planError.Problem}
	}
	return err
}
