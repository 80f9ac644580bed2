package statetable

import "fmt"

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field string
	Want  string // the values that are valid
}

func (e *ConfigError) Error() string { return fmt.Sprintf("table: %s: want %s", e.Field, e.Want) }

// Remedy implements remedy.Error.
func (e *ConfigError) Remedy() string {
	return "mend the field in the cluster file; without the file the controller runs alone"
}

// ValueError reports a value that cannot be published: its kind is not registered, or it is longer than the kind
// allows.
type ValueError struct {
	Kind      Kind
	Bytes     int
	MaxLength int // in bytes, 0 for a kind that is not registered
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("table: a value of %d bytes for kind %d, at most %d", e.Bytes, e.Kind, e.MaxLength)
}

// Remedy implements remedy.Error.
func (e *ValueError) Remedy() string {
	return "a fault of the program: the value is not told and the last one stands; report it with the log"
}

// MessageError reports an invalid message of a member.
type MessageError struct {
	From int
	What string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("table: member %d sent %s", e.From, e.What)
}

// Remedy implements remedy.Error.
func (e *MessageError) Remedy() string {
	return "compare the versions of the two controllers, and that no other fleet uses their addresses"
}

// rejectMessage counts an invalid message, and returns its error.
func (t *Table) rejectMessage(from int, format string, args ...any) error {
	t.counts.Invalid++
	return &MessageError{From: from, What: fmt.Sprintf(format, args...)}
}
