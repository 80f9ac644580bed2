package recorded

import (
	"encoding/hex"
	"strings"
	"testing"
)

// Body is an encoded message with a line in a recorded file: its name, a blank and its bytes in hex.
type Body struct {
	Name  string
	Bytes []byte
}

// ReadBodies returns the messages of the recorded file of that name.
func ReadBodies(tb testing.TB, name string) []Body {
	tb.Helper()
	var all []Body
	for line := range strings.Lines(Read(tb, name)) {
		label, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		b, err := hex.DecodeString(digits)
		if err != nil {
			tb.Fatalf("%s: %s: %v", name, label, err)
		}
		all = append(all, Body{label, b})
	}
	return all
}
