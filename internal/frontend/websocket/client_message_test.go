package websocket

import (
	"encoding/json"
	"testing"
)

// FuzzParse checks that no message makes the parser fail but with an error that has a code, and that what it accepts
// can be answered in valid JSON.
func FuzzParse(f *testing.F) {
	f.Add(setup("c1", 1000))
	f.Add(`{"type":"release","id":"c1","cause":16}`)
	f.Add(`{"type":"setup","id":{},"class":[],"left_ms":1e999}`)
	f.Fuzz(func(t *testing.T, text string) {
		m, err := parse([]byte(text))
		var sent []byte
		if err != nil {
			sent = errorMessage(m.id, err, 1)
		} else {
			sent = releasedMessage(m.id, m.cause)
		}
		if !json.Valid(sent) {
			t.Errorf("%q was answered with %s", text, sent)
		}
	})
}
