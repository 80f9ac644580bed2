package sip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func read(text string) (*Message, error) {
	return Read(bufio.NewReaderSize(strings.NewReader(text), 16))
}

func TestRead_RequestWithCompactHeaders(t *testing.T) {
	m, err := read("\r\nINVITE sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\ni: 9b1f\r\nCSeq: 1 INVITE\r\n" +
		"s : voice\r\nX-Patience:1500\r\nl: 4\r\n\r\na\r\nb")
	if err != nil || m.Method != "INVITE" || m.URI != "sip:7f3a@net" || m.CallID != "9b1f" || m.CSeq != 1 ||
		m.CSeqMethod != "INVITE" || m.Get("subject") != "voice" || m.Get("x-patience") != "1500" ||
		string(m.Body) != "a\r\nb" {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestRead_Response(t *testing.T) {
	m, err := read("SIP/2.0 503 Service Unavailable\r\nCall-ID: 9b1f\r\nCSeq: 1 INVITE\r\n" +
		"X-Note: swamped\r\nContent-Length: 0\r\n\r\n")
	if err != nil || m.Status != 503 || m.Reason != "Service Unavailable" || m.Get("x-note") != "swamped" ||
		m.Get("none") != "" {
		t.Errorf("%+v, %v", m, err)
	}
}

// RFC 3261 has only spaces and tabs around a value: a value whose own first or last character is another space of
// Unicode must not come out shorter.
func TestRead_KeepsValuesAsTheyWereWritten(t *testing.T) {
	for _, value := range []string{
		"Øyeblikkelig hjelp", `"Größe": 5;x=1`, "a, b: c", "\u00a0voice\u3000", "voice\u0085", "e\u0301", "\U0001f600",
	} {
		m := &Message{
			Method:     "INVITE",
			URI:        "sip:7f@net",
			CallID:     "9b1f",
			CSeq:       1,
			CSeqMethod: "INVITE",
			Headers:    []Header{{"Subject", value}},
		}
		got, err := read(string(m.Append(nil)))
		if err != nil || got.Get("subject") != value {
			t.Errorf("%q: %+v, %v", value, got, err)
		}
	}
}

func TestRead_TrimsSpacesAndTabs(t *testing.T) {
	m, err := read("NOTIFY x SIP/2.0\r\nSubject \t: \t voice \t \r\nContent-Length: 0\r\n\r\n")
	if err != nil || m.Get("subject") != "voice" {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestRead_InvalidMessages(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	for text, want := range map[string]error{
		"NOTIFY x SIP/2.0\r\n\r\n":                                                ErrFraming,
		"NOTIFY x SIP/2.0\r\nContent-Length: x\r\n\r\n":                           ErrFraming,
		"NOTIFY x SIP/2.0\r\nContent-Length: -1\r\n\r\n":                          ErrFraming,
		"NOTIFY x SIP/2.0\r\nContent-Length: 1\r\n" + end:                         ErrFraming,
		"NOTIFY x SIP/2.0\r\nContent-Length: 16384\r\n\r\n":                       ErrFraming,
		"NOTIFY x SIP/2.0\r\nX: " + strings.Repeat("x", MaxMessageBytes) + "\r\n": ErrFraming,
		"NOTIFY x HTTP/1.1\r\n" + end:                                             ErrMalformed,
		"SIP/2.0 99 Odd\r\n" + end:                                                ErrMalformed,
		"SIP/2.0 OK\r\n" + end:                                                    ErrMalformed,
		"SIP/2.0 200 OK\r\n" + end:                                                ErrMalformed,
		"SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: INVITE\r\n" + end:                  ErrMalformed,
		"NOTIFY x SIP/2.0\r\nno colon\r\n" + end:                                  ErrMalformed,
		"NOTIFY x SIP/2.0\r\nContent-Length: 4\r\n\r\nab":                         io.ErrUnexpectedEOF,
		"NOTIFY x SIP/2.0\r\nConte":                                               io.EOF,
	} {
		if m, err := read(text); !errors.Is(err, want) {
			t.Errorf("%.60q: %+v, %v, want %v", text, m, err, want)
		}
	}
}

func TestRead_MaximumSize(t *testing.T) {
	head := fmt.Sprintf("NOTIFY x SIP/2.0\r\nContent-Length: %d\r\n\r\n", MaxMessageBytes-42)
	size := MaxMessageBytes - len(head)
	text := strings.Replace(head, strconv.Itoa(MaxMessageBytes-42), strconv.Itoa(size), 1) + strings.Repeat("x", size)
	if m, err := read(text); err != nil || len(m.Body) != size {
		t.Errorf("a message of the maximum size: %v", err)
	}

	text = strings.Replace(text, strconv.Itoa(size), strconv.Itoa(size+1), 1) + "x"
	if _, err := read(text); !errors.Is(err, ErrFraming) {
		t.Errorf("a message of one byte more: %v, want %v", err, ErrFraming)
	}
}

func TestAnswer_HasTheHeadersThatIdentifyTheRequest(t *testing.T) {
	request, err := read("BYE x SIP/2.0\r\nVia: a\r\nv: b\r\nf: c\r\nTo: d\r\nSubject: e\r\n" +
		"Call-ID: 9b1f\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	response := NewResponse(request, 200, "OK")
	want := []Header{{"via", "a"}, {"via", "b"}, {"from", "c"}, {"to", "d"}}
	if !slices.Equal(response.Headers, want) {
		t.Errorf("headers %v, want %v", response.Headers, want)
	}
	if response.Status != 200 || response.Reason != "OK" || response.CallID != "9b1f" || response.CSeq != 2 ||
		response.CSeqMethod != "BYE" || response.Method != "" {
		t.Errorf("%+v", response)
	}
}

func TestCause(t *testing.T) {
	for value, want := range map[string]int{
		"Q.850;cause=16":          16,
		"Q.850 ; cause=41;text=x": 41,
		"Q.850;cause=":            -1,
		"":                        -1,
	} {
		m := &Message{Headers: []Header{{"reason", value}}}
		if got := m.Cause(); got != want {
			t.Errorf("%q: %d, want %d", value, got, want)
		}
	}
}

func TestReport_SkipsFieldsWithoutANumber(t *testing.T) {
	got := map[string]float64{}
	ParseReport("idle:12; circuits : 40;queue;recent_ms:x;eps:NaN;a:-1",
		func(name string, value float64) { got[name] = value })
	if len(got) != 3 || got["idle"] != 12 || got["circuits"] != 40 || got["a"] != -1 {
		t.Errorf("%v", got)
	}
}

// FuzzRead checks that any bytes are messages, or errors that say whether the next one can be read, that no message of
// more than 16 KiB is accepted, and that a message that was read and written is read as the same.
func FuzzRead(f *testing.F) {
	f.Add("BYE sip:exchange@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 2 BYE\r\n" +
		"Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n")
	f.Add("SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nab")
	f.Add("x\r\nContent-Length: 0\r\n\r\nSIP/2.0 100 \r\nl:0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReaderSize(strings.NewReader(text), 16)
		for range len(text) + 1 {
			message, err := Read(r)
			if errors.Is(err, ErrMalformed) {
				continue
			}
			if err != nil {
				return
			}
			if len(message.Body) > MaxMessageBytes {
				t.Fatalf("a body of %d bytes", len(message.Body))
			}
			copied, err := read(string(withoutOwnFields(message).Append(nil)))
			if err != nil || copied.Method != message.Method || copied.Status != message.Status ||
				copied.CallID != message.CallID || string(copied.Body) != string(message.Body) {
				t.Fatalf("%+v became %+v, %v", message, copied, err)
			}
		}
	})
}

// withoutOwnFields returns a copy of a message without the headers that Append writes from fields of their own.
func withoutOwnFields(m *Message) *Message {
	copied := *m
	copied.Headers = nil
	for _, header := range m.Headers {
		switch header.Name {
		case "call-id", "cseq", "content-length":
		default:
			copied.Headers = append(copied.Headers, header)
		}
	}
	return &copied
}
