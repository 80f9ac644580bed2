package config

import (
	"fmt"
	"net"
	"time"
)

// checks collects what is wrong with a file, and keeps the first error alone: later ones often follow from it.
type checks struct {
	file FileKind
	err  error
}

func (c *checks) fail(field, reason string) {
	if c.err == nil {
		c.err = &FieldError{File: c.file, Field: field, Reason: reason}
	}
}

// address fails for a text that is neither empty nor host:port.
func (c *checks) address(field, text string) {
	if text == "" {
		return
	}
	if _, port, err := net.SplitHostPort(text); err != nil || port == "" {
		c.fail(field, fmt.Sprintf("%q is not address:port", text))
	}
}

// duration fails for a value outside of the bounds.
func (c *checks) duration(field string, value, lower, upper time.Duration) {
	if value < lower || value > upper {
		c.fail(field, fmt.Sprintf("want %v to %v", lower, upper))
	}
}

// CheckAddress returns an error for a text that is not host:port. The field is a key or a variable of the platform's.
func CheckAddress(field, text string) error {
	c := &checks{file: PlatformFile}
	c.address(field, text)
	return c.err
}
