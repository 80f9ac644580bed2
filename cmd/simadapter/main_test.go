package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestRun_EndsWithItsInput(t *testing.T) {
	for name, test := range map[string]struct{ in, out, err string }{
		"nothing":          {"", "", ""},
		"one empty batch":  {"{\"clock\":1,\"nodes\":[]}\n", "{\"nodes\":[]}\n", ""},
		"no last newline":  {`{"clock":1,"nodes":[]}`, "{\"nodes\":[]}\n", ""},
		"blank lines":      {"\n{\"clock\":1,\"nodes\":[]}\n\n", "{\"nodes\":[]}\n", ""},
		"malformed second": {"{\"clock\":1,\"nodes\":[]}\nwhat\n", "{\"nodes\":[]}\n", "line 2"},
		"very long line": {
			`{"clock":1,"nodes":[` + strings.Repeat(" ", 3<<20) + "]}\n", "{\"nodes\":[]}\n", "",
		},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(test.in), &out)
		if out.String() != test.out {
			t.Errorf("%s: wrote %q, want %q", name, out.String(), test.out)
		}
		if (err == nil) != (test.err == "") || err != nil && !strings.Contains(err.Error(), test.err) {
			t.Errorf("%s: error %v, want %q", name, err, test.err)
		}
	}
}
