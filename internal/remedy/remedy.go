// Package remedy is what this program's errors for operators have in common: each says, beside what is wrong, what
// an operator can do about it. An error type that an operator may meet implements Error; Of finds it in a chain.
package remedy

import "errors"

// Error is an error that says what an operator can do.
type Error interface {
	error
	// Remedy is one sentence, without a full stop.
	Remedy() string
}

// Of is the remedy that err or an error in its chain tells, "" if none does.
func Of(err error) string {
	var e Error
	if errors.As(err, &e) {
		return e.Remedy()
	}
	return ""
}
