// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold messages as read and as written, and the texts of errors.
// On a purposeful change the files under testdata/characterization are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/backend/sip -run TestCharacterization
//
// and the commit has to say why they changed.
package sip_test

import (
	"bufio"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/testing/recorded"
)

// input is one recorded text.
type input struct{ name, text string }

func kindText(err error) string {
	switch {
	case errors.Is(err, sip.ErrFraming):
		return "framing"
	case errors.Is(err, sip.ErrMalformed):
		return "malformed"
	}
	return "connection"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// fields returns a message in text, field by field.
func fields(m *sip.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "method %q uri %q status %d reason %q call-id %q cseq %d of %q cause %d\n",
		m.Method, m.URI, m.Status, m.Reason, m.CallID, m.CSeq, m.CSeqMethod, m.Cause())
	for _, h := range m.Headers {
		fmt.Fprintf(&b, "header %q %q\n", h.Name, h.Value)
	}
	fmt.Fprintf(&b, "body %q\n", m.Body)
	return b.String()
}

// longRun is a long run of one of the letters with which the texts are filled up.
var longRun = regexp.MustCompile(`x{100,}|y{100,}`)

// shortened quotes text, long runs of one letter by their length.
func shortened(text string) string {
	return strconv.Quote(longRun.ReplaceAllStringFunc(text, func(run string) string {
		return fmt.Sprintf("{%d times %c}", len(run), run[0])
	}))
}

// readAll reads the messages of a text, through a small buffer, until the connection cannot be used any longer.
func readAll(text string) string {
	var b strings.Builder
	r := bufio.NewReaderSize(strings.NewReader(text), 16)
	for {
		m, err := sip.Read(r)
		if m != nil {
			b.WriteString(fields(m))
		}
		if err != nil {
			fmt.Fprintf(&b, "error of %s: %s\n", kindText(err), err)
		}
		if err != nil && !errors.Is(err, sip.ErrMalformed) {
			return b.String()
		}
		if m != nil && err == nil {
			fmt.Fprintf(&b, "written again %s\n", shortened(string(m.Append(nil))))
		}
	}
}

func TestCharacterization_Read(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	var b strings.Builder
	for _, message := range []input{
		{
			"invite",
			"\r\n\r\nINVITE sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nFrom: <sip:a@net>\r\n" +
				"To: <sip:b@net>\r\nCall-ID: 9b1f\r\nCSeq: 1 INVITE\r\nSubject: voice\r\nX-Patience:1500\r\n" +
				"Content-Length: 4\r\n\r\na\r\nb",
		},
		{"compact names", "BYE x SIP/2.0\r\ni: 1\r\nv: a\r\nf: b\r\nt: c\r\ns: d\r\nl: 2\r\nCSeq: 2 BYE\r\n\r\nhi"},
		{"names in upper case", "BYE x SIP/2.0\r\nCALL-ID: 1\r\nI: 2\r\nCSEQ: 2 BYE\r\nCONTENT-LENGTH: 0\r\n\r\n"},
		{"bare line feeds", "BYE x SIP/2.0\nCall-ID: 1\nCSeq: 2 BYE\nContent-Length: 0\n\n"},
		{"blanks", "BYE x SIP/2.0\r\nSubject \t:\t a  b \t\r\nReason:Q.850;cause=16\r\nCSeq: 2  BYE \r\n" + end},
		{"blanks of Unicode", "BYE x SIP/2.0\r\nSubject: \u00a0voice\u3000\r\n" + end},
		{"two of a header", "BYE x SIP/2.0\r\nReason: SIP;cause=200\r\nReason: Q.850;cause=16\r\n" +
			"Call-ID: a\r\nCall-ID: b\r\n" + end},
		{"a value with colons", "BYE x SIP/2.0\r\nX: a:b: c\r\nY:\r\n" + end},
		{"equal lengths", "BYE x SIP/2.0\r\nContent-Length: 2\r\nl: 2\r\n\r\nab"},
		{"signed length", "BYE x SIP/2.0\r\nContent-Length: +2\r\n\r\nab"},
		{"no Call-ID on a request", "NOTIFY x SIP/2.0\r\nX-State: idle:3\r\n" + end},
		{"a folded line", "NOTIFY x SIP/2.0\r\nX-State: idle:3\r\n ;queue:4\r\n" + end},
		{"answers", "SIP/2.0 100 Trying\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n" + end + "\r\n" +
			"SIP/2.0 200 \r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\na\r\n" +
			"SIP/2.0 699\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n" + end},
		{"nothing", ""},
		{"line ends alone", "\r\n\r\n\n"},
		{"no length", "NOTIFY x SIP/2.0\r\n\r\n"},
		{"a length that is no number", "NOTIFY x SIP/2.0\r\nContent-Length: a number that is very long indeed\r\n\r\n"},
		{"an empty length", "NOTIFY x SIP/2.0\r\nContent-Length:\r\n\r\n"},
		{"a negative length", "NOTIFY x SIP/2.0\r\nContent-Length: -1\r\n\r\n"},
		{"two lengths", "NOTIFY x SIP/2.0\r\nContent-Length: 1\r\n" + end},
		{"over 16 KiB by its length", "NOTIFY x SIP/2.0\r\nContent-Length: 16384\r\n\r\n"},
		{"the longest body", "NOTIFY x SIP/2.0\r\nContent-Length: 16341\r\n\r\n" + strings.Repeat("y", 16341)},
		{"a byte more", "NOTIFY x SIP/2.0\r\nContent-Length: 16342\r\n\r\n" + strings.Repeat("y", 16342)},
		{"a header of over 16 KiB", "NOTIFY x SIP/2.0\r\nX: " + strings.Repeat("x", sip.MaxMessageBytes) + "\r\n" + end},
		{"another protocol", "NOTIFY x HTTP/1.1\r\n" + end + "BYE x SIP/2.0\r\n" + end},
		{"one word", "NOTIFY\r\n" + end},
		{"two words", "NOTIFY x\r\n" + end},
		{"four words", "NOTIFY x y SIP/2.0\r\n" + end},
		{"a blank first", " NOTIFY x SIP/2.0\r\n" + end},
		{"a long first line", "NOTIFY " + strings.Repeat("ab", 40) + "\r\n" + end},
		{"status 99", "SIP/2.0 99 Odd\r\n" + end},
		{"status 700", "SIP/2.0 700 Odd\r\n" + end},
		{"status of letters", "SIP/2.0 OK\r\n" + end},
		{"an answer without Call-ID and CSeq", "SIP/2.0 200 OK\r\n" + end},
		{"an answer without CSeq", "SIP/2.0 200 OK\r\nCall-ID: a\r\n" + end},
		{"CSeq without a number", "SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: INVITE\r\n" + end},
		{"CSeq without a method", "BYE x SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 \r\n" + end},
		{
			"a header without a colon, and the next message",
			"NOTIFY x SIP/2.0\r\nno colon\r\n" + end + "BYE y SIP/2.0\r\n" + end,
		},
		{"two faults: the latest is told", "NOTIFY x HTTP/1.1\r\nno colon\r\nCSeq: x\r\n" + end},
		{"a body that stops short", "NOTIFY x SIP/2.0\r\nContent-Length: 4\r\n\r\nab"},
		{"no body at all", "NOTIFY x SIP/2.0\r\nContent-Length: 4\r\n\r\n"},
		{"a head that stops short", "NOTIFY x SIP/2.0\r\nConte"},
		{"a first line that stops short", "NOTI"},
	} {
		fmt.Fprintf(&b, "=== %s\n%s\n%s", message.name, shortened(message.text), readAll(message.text))
	}
	recorded.Compare(t, "read.txt", b.String())
}

func TestCharacterization_Written(t *testing.T) {
	header := []sip.Header{{Name: "Via", Value: "SIP/2.0/TCP n0"}, {Name: "X-State", Value: ""}}
	request := &sip.Message{
		Method:     "BYE",
		URI:        "sip:7f@net",
		CallID:     "9b1f",
		CSeq:       2,
		CSeqMethod: "BYE",
		Headers: append(slices.Clone(header),
			sip.Header{Name: "via", Value: "a"}, sip.Header{Name: "from", Value: "b"}, sip.Header{Name: "to", Value: "c"},
			sip.Header{Name: "subject", Value: "d"}, sip.Header{Name: "via", Value: "e"}),
	}
	var b strings.Builder
	for _, message := range []*sip.Message{
		{},
		{
			Method:     "INVITE",
			URI:        "sip:7f@net",
			CallID:     "9b1f",
			CSeq:       1,
			CSeqMethod: "INVITE",
			Headers:    header,
			Body:       []byte("a\r\n\x00b"),
		},
		{Method: "ACK", URI: "sip:7f@net", Headers: header},
		{Status: 200, Reason: "OK", CallID: "9b1f", CSeq: 1, CSeqMethod: "INVITE"},
		{Status: 503, CallID: "9b1f", CSeq: -1, CSeqMethod: "Ø"},
		request,
		sip.NewResponse(request, 200, "OK"),
		sip.NewResponse(request, 501, "Not Implemented"),
		sip.NewResponse(&sip.Message{}, 400, ""),
	} {
		fmt.Fprintf(&b, "%q\n", message.Append([]byte("before ")))
	}
	recorded.Compare(t, "written.txt", b.String())
}

func TestCharacterization_CauseAndReport(t *testing.T) {
	var b strings.Builder
	for _, value := range []string{
		"Q.850;cause=16", "Q.850 ; cause=41;text=x", "Q.850;cause=", "Q.850;cause=x;cause=7", "cause=5", "Q.850;Cause=16",
		"Q.850;cause=-3", "Q.850;cause= 16", "Q.850,cause=16", "", ";;", "Q.850;cause=16;cause=31",
	} {
		m := &sip.Message{Headers: []sip.Header{{Name: "reason", Value: value}}}
		fmt.Fprintf(&b, "cause of %q is %d\n", value, m.Cause())
	}
	for _, text := range []string{
		"x0:12;x1:40;queue:3", "idle:12; circuits : 40;queue;recent_ms:x;eps:NaN;a:-1", "", ";", ":", ":1", "a:1:2",
		"a:+Inf;b:-inf;c:1e400;d:0x1p4;e:1_000;f:.5", "A:1;a:2;a:3",
	} {
		fmt.Fprintf(&b, "report %q:", text)
		sip.ParseReport(text, func(name string, value float64) { fmt.Fprintf(&b, " %q=%s", name, number(value)) })
		b.WriteString("\n")
	}
	recorded.Compare(t, "cause-and-report.txt", b.String())
}
