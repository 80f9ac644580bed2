// The tests of this file are characterisation tests: they record what the program does today with every line of the
// callers' wire, so that a change of names or shape can be shown to change nothing else. The recorded files are in
// testdata/characterization. On a purposeful change of behaviour they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/linecodec -run TestCharacterization
//
// and the commit has to say why they changed.
package linecodec_test

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"

	"eidertrail/internal/frontend/linecodec"
)

// fieldNames are the fields of a set-up that the program reads.
var fieldNames = []string{"class", "left", "key", "tenant", "extras"}

// parsedLines are lines that a caller may send, well formed and not.
var parsedLines = []string{
	// set-ups, with and without each field
	`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500","key":"7f3a","tenant":"acme",` +
		`"extras":"dest:2;width:1;via:-1"},"sdp":"v=0\r\ns=-\r\n"}`,
	`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"left":"1500","key":"7f3a",` +
		`"tenant":"acme","extras":"dest:2"},"sdp":"x"}`,
	`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","key":"7f3a"},"sdp":"x"}`,
	`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500"}}`,
	`{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{},"sdp":""}`,
	`{"type":"setup","id":"9b1f03aa5c7e2d41"}`,
	`{"type":"setup"}`,
	`{"id":"9b1f03aa5c7e2d41"}`,
	`{"sdp":"x","fields":{"class":"voice"},"id":"a","type":"setup"}`,
	// fields of other kinds
	`{"type":"setup","id":"a","fields":{"class":7,"left":1500,"key":true,"tenant":null,"extras":["dest:2"]}}`,
	`{"type":"setup","id":"a","fields":{"left":1.5e3,"class":-0,"key":1E+2}}`,
	`{"type":"setup","id":"a","fields":{"left":"1","left":"2"}}`,
	`{"type":"setup","id":"a","fields":{"le\u0066t":"1","class":"\u0076oice\n\"\\\u00e9\ud83d\ude00"}}`,
	`{"type":"setup","id":"a","fields":{"class.x":"1","class":{"class":"voice"}}}`,
	// members twice
	`{"type":"setup","id":"a","id":"b"}`,
	`{"type":"setup","type":"release","id":"a"}`,
	`{"type":"setup","id":"a","sdp":"1","sdp":"2"}`,
	`{"type":"setup","id":"a","fields":{"class":"1"},"fields":{"left":"2"}}`,
	// cancels and releases
	`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`,
	`{"type":"release","id":"9b1f03aa5c7e2d41"}`,
	`{"type":"release"}`,
	`{"type":"release","id":"a","cause":0}`,
	`{"type":"release","id":"a","cause":-1}`,
	`{"type":"release","id":"a","cause":-7}`,
	`{"type":"release","id":"a","cause":31.9}`,
	`{"type":"release","id":"a","cause":1e3}`,
	`{"type":"release","id":"a","cause":"16"}`,
	`{"type":"release","id":"a","cause":null}`,
	`{"type":"cancel","id":"a"}`,
	// the rest of the wire
	`{"type":"ping","id":"p1","fields":{},"cause":0}`,
	`{"type":"pong","id":"p1","fields":{},"cause":1}`,
	`{"type":"progress","id":"a"}`,
	`{"type":"answer","id":"a","fields":{},"sdp":"v=0\r\n"}`,
	`{"type":"released","id":"a","fields":{}}`,
	`{"type":"unheard","id":"a","more":[1,{"type":"x"}]}`,
	`{"Type":"setup","ID":"a"}`,
	`{"ty\u0070e":"setup","i\u0064":"\u0061"}`,
	" \t{ \"type\" : \"setup\" , \"id\" : \"a\" } \t",
	`{"type":"setup","id":"é\u0000\u007f\ud800"}`,
	"{\"type\":\"setup\",\"id\":\"\xff\xfe\"}",
	"{\"type\":\"setup\",\"id\":\"a\tb\"}",
	// not a message
	``, ` `, `x`, `nonsense`, `7`, `null`, `true`, `"setup"`, `[]`, `[{"type":"setup"}]`, `{}`, `{"a":1}`, `{"type":""}`,
	`{"type":1}`, `{"type":null}`, `{"type":["setup"]}`, `{"type":"setup","id":7}`, `{"type":"setup","id":null}`,
	`{"type":"setup","fields":[]}`, `{"type":"setup","fields":"x"}`, `{"type":"setup","fields":null}`,
	`{"type":"setup","sdp":{}}`, `{"type":"setup","sdp":null}`, `{"type":"setup","sdp":7}`,
	`{"type":"setup"`, `{"type":"setup",}`, `{'type':'setup'}`, `{"type":"setup"}{"type":"setup"}`, `{"type":"setup"} x`,
	"\xef\xbb\xbf{\"type\":\"setup\"}", "{\"type\":\"set\nup\"}", `{"type":"setup","id":7,"fields":7,"cause":"x"}`,
}

func TestCharacterization_ParsedLines(t *testing.T) {
	var out strings.Builder
	for _, text := range parsedLines {
		m, err := linecodec.Parse([]byte(text))
		fmt.Fprintf(&out, "line %s\n", strconv.Quote(text))
		fmt.Fprintf(&out, "  type %s id %s cause %d\n", strconv.Quote(m.Type), strconv.Quote(m.ID), m.Cause)
		if m.HasSDP || m.SDP != "" {
			fmt.Fprintf(&out, "  sdp %s, present: %t\n", strconv.Quote(m.SDP), m.HasSDP)
		}
		if m.Fields.Raw != "" {
			fmt.Fprintf(&out, "  fields %s\n", strconv.Quote(m.Fields.Raw))
		}
		for _, name := range fieldNames {
			if value := m.Field(name); value != "" {
				fmt.Fprintf(&out, "  field %s %s\n", name, strconv.Quote(value))
			}
		}
		if err != nil {
			fmt.Fprintf(&out, "  error %s, malformed: %t\n", strconv.Quote(err.Error()), errors.Is(err, linecodec.ErrMalformed))
		}
	}
	recorded.Compare(t, "parsed-lines.txt", out.String())
}

// stream is what comes on a connection, and how large the reader's buffer is.
type stream struct {
	name   string
	bytes  string
	buffer int
}

func TestCharacterization_Framing(t *testing.T) {
	longest := strings.Repeat("x", linecodec.MaxLine-1)
	streams := []stream{
		{"line feeds", "one\ntwo\n", 64},
		{"carriage returns before line feeds", "one\r\ntwo\r\r\nthr\ree\r\n", 64},
		{"empty lines", "\n\r\n\none\n", 64},
		{"a last line without a line feed", "one\ntwo", 64},
		{"nothing", "", 64},
		{"lines longer than the buffer", strings.Repeat("a", 100) + "\n" + strings.Repeat("b", 33) + "\n", 16},
		{"the longest line", longest + "\nnext\n", 2048},
		{"one byte more", longest + "y\nnext\n", 2048},
		{"the longest line with a carriage return", longest[1:] + "\r\nnext\n", 2048},
		{"much too long and without an end", longest + longest, 2048},
		{"bytes that are not UTF-8", "\xff\x00\xfe\n", 64},
	}
	var out strings.Builder
	fmt.Fprintf(&out, "most bytes in a line with its line feed: %d\n", linecodec.MaxLine)
	for _, s := range streams {
		fmt.Fprintf(&out, "stream: %s, buffer of %d\n", s.name, s.buffer)
		writeLines(&out, bufio.NewReaderSize(strings.NewReader(s.bytes), s.buffer))
	}
	recorded.Compare(t, "framing.txt", out.String())
}

// writeLines writes what is read from a stream, line by line, up to the first error.
func writeLines(out *strings.Builder, r *bufio.Reader) {
	var buffer []byte
	for {
		line, err := linecodec.ReadLine(r, buffer)
		if err != nil {
			fmt.Fprintf(out, "  error %s, too long: %t\n", strconv.Quote(err.Error()), errors.Is(err, linecodec.ErrTooLong))
			return
		}
		if len(line) > 200 {
			fmt.Fprintf(out, "  %d bytes, SHA-256 %x\n", len(line), sha256.Sum256(line))
		} else {
			fmt.Fprintf(out, "  %s\n", strconv.Quote(string(line)))
		}
		buffer = line
	}
}

// writtenTexts are ids and descriptions that lines are written with.
var writtenTexts = []string{
	"", "9b1f03aa5c7e2d41", "v=0\r\no=- 1 1 IN IP4 10.4.7.9\r\ns=-\r\n", `"quoted" and \`, "tab\tand\vothers\b\f\a",
	"\x00\x01\x1f\x7f",
	"é\u2028\u2029\ufeff\U0001f600", "</script>&amp;", "\xff", "a\xc3", "\xed\xa0\x80", "\xc3\xa9\xe9",
}

func TestCharacterization_WrittenLines(t *testing.T) {
	var out strings.Builder
	write := func(what string, line []byte) { fmt.Fprintf(&out, "%s %s\n", what, strconv.Quote(string(line))) }
	for _, text := range writtenTexts {
		write("string", linecodec.AppendString([]byte("before "), text))
		write("answer", linecodec.AppendAnswer(nil, "9b1f03aa5c7e2d41", text))
		write("answer", linecodec.AppendAnswer([]byte("before "), text, "v=0\r\n"))
		write("release", linecodec.AppendCause(nil, "release", text, 34))
		write("released", linecodec.AppendBare(nil, "released", text))
		write("kind", linecodec.AppendBare(nil, text, "a"))
	}
	for _, cause := range []int{0, 1, 16, 34, 41, 42, 102, -1, 1 << 40} {
		write("pong", linecodec.AppendCause(nil, "pong", "p1", cause))
	}
	for b := range 256 {
		write("byte", linecodec.AppendString(nil, string([]byte{byte(b)})))
	}
	recorded.Compare(t, "written-lines.txt", out.String())
}
