package jsonlines

// closeReason is why a connection was closed.
type closeReason int

const (
	closeByCaller      closeReason = iota // the caller closed or reset it
	closeOverdue                          // no line came in time
	closeInvalidInput                     // its input was invalid
	closeEvicted                          // another connection needed its place
	closeNoPlace                          // there was no place for it
	closeDrained                          // the controller sends its callers away
	closeSlowReader                       // the caller does not read
	closeWriteFailed                      // a line could not be written
	closeServerClosed                     // the server was closed
	closeInternalError                    // serving it panicked
)

// String is the reason as the log has it.
func (r closeReason) String() string {
	switch r {
	case closeByCaller:
		return "by the caller"
	case closeOverdue:
		return "no line in time"
	case closeInvalidInput:
		return "invalid input"
	case closeEvicted:
		return "evicted"
	case closeNoPlace:
		return "no place"
	case closeDrained:
		return "drained"
	case closeSlowReader:
		return "slow reader"
	case closeWriteFailed:
		return "write failed"
	case closeServerClosed:
		return "server closed"
	case closeInternalError:
		return "internal error"
	}
	return "unknown"
}
