// Package panicguard contains panics that are the fault of one connection, so that they end that connection and not the
// process. What works on state that others share must not be run under it: a panic could leave that state half
// changed.
package panicguard

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// PanicError is a panic that was contained.
type PanicError struct {
	Value any
	Stack []byte // of the goroutine that panicked
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (e *PanicError) MarshalZerologObject(event *zerolog.Event) {
	event.Str("panic", fmt.Sprint(e.Value)).Bytes("stack", e.Stack)
}

// Run calls work, and returns a panic of it as an error, nil for none.
func Run(work func()) (contained *PanicError) {
	defer func() {
		if value := recover(); value != nil {
			contained = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	work()
	return nil
}
