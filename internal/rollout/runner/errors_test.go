package runner

import (
	"errors"
	"fmt"
	"testing"

	"eidertrail/internal/remedy"
	"eidertrail/internal/rollout"
)

func TestOperatorErrors_HaveRemedy(t *testing.T) {
	for _, sentinel := range []error{ErrBusy, ErrRolledBack, ErrStuck, ErrOtherPlan} {
		wrapped := fmt.Errorf("%w: the reason", sentinel)
		if !errors.Is(wrapped, sentinel) || remedy.Of(wrapped) == "" {
			t.Errorf("%v: remedy %q", wrapped, remedy.Of(wrapped))
		}
	}
}

func TestFileError_NamesThePlansField(t *testing.T) {
	_, planError := rollout.ParseStage("most", 3)

	err := fileError(planError)

	var fileErr *FileError
	if !errors.As(err, &fileErr) || fileErr.Field != "stages" {
		t.Errorf("%v does not name the field", err)
	}
}
