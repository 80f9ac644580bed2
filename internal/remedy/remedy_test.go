package remedy_test

import (
	"errors"
	"fmt"
	"testing"

	"eidertrail/internal/remedy"
)

// fault is an error with a remedy.
type fault struct{ remedy string }

func (fault) Error() string    { return "it is broken" }
func (f fault) Remedy() string { return f.remedy }

func TestOf(t *testing.T) {
	plain := errors.New("it is broken")
	repair := fault{"repair it"}
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"no error", nil, ""},
		{"an error without a remedy", plain, ""},
		{"an error with one", repair, "repair it"},
		{"a wrapped error with one", fmt.Errorf("start: %w", fmt.Errorf("read: %w", repair)), "repair it"},
		{"a wrapped error without one", fmt.Errorf("start: %w", plain), ""},
		{"a remedy lost with the chain", fmt.Errorf("start: %s", repair.Error()), ""},
		{"joined errors of which the second has one", errors.Join(plain, repair), "repair it"},
		{"joined errors with two", errors.Join(repair, fault{"replace it"}), "repair it"},
		{"the outermost of two in a chain", wrapper{fault{"replace it"}, repair}, "replace it"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := remedy.Of(test.err); got != test.want {
				t.Errorf("remedy %q, want %q", got, test.want)
			}
		})
	}
}

// wrapper is an error with a remedy around another.
type wrapper struct {
	fault

	cause error
}

func (w wrapper) Unwrap() error { return w.cause }
