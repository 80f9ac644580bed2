package config

import "strings"

// FileKind is a kind of configuration file, as errors name it.
type FileKind string

// The kinds of files.
const (
	PlatformFile    FileKind = "config"
	CallControlFile FileKind = "callcontrol"
	ClusterFile     FileKind = "cluster"
	DiscoveryFile   FileKind = "discovery"
	RoutingFile     FileKind = "routing"
)

// FieldError is a field of a configuration file with a value that the program cannot use.
type FieldError struct {
	File   FileKind
	Field  string // its path in the file; "" if the file as a whole is wrong
	Reason string // one line
	err    error  // what the reason is the text of, or nil
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return string(e.File) + ": " + e.Reason
	}
	return string(e.File) + ": " + e.Field + ": " + e.Reason
}

// Unwrap is the error of the system or of another package that the reason was taken from, nil for a check of this one.
func (e *FieldError) Unwrap() error { return e.err }

// WrapError is err, which says what is wrong with a field or, for "", with the whole file.
func WrapError(file FileKind, field string, err error) error {
	return &FieldError{File: file, Field: field, Reason: err.Error(), err: err}
}

// rejectedSettings is an error of the package that a file's settings are for, told as one of the file. Such a text
// begins with prefix, which names the package, and with the field below parent.
func rejectedSettings(file FileKind, prefix, parent string, err error) error {
	text := strings.TrimPrefix(err.Error(), prefix)
	field, reason, found := strings.Cut(text, ": ")
	if !found {
		field, reason = "", text
	}
	if parent == "" {
		return &FieldError{File: file, Field: field, Reason: reason}
	}
	if field == "" {
		return &FieldError{File: file, Reason: parent + "." + reason}
	}
	return &FieldError{File: file, Field: parent + "." + field, Reason: reason}
}
