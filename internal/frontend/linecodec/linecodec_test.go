package linecodec

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

func TestParse_ReadsMembersAndFields(t *testing.T) {
	const text = `{"type":"setup","id":"9b1f","fields":{"class":"voice","left":1500,"odd":[1]},"sdp":"a\r\nb\u00e9"}`
	m, err := Parse([]byte(text))
	if err != nil || m.Type != "setup" || m.ID != "9b1f" || m.Field("class") != "voice" || m.Field("left") != "1500" ||
		m.Field("odd") != "" || m.Field("none") != "" || m.SDP != "a\r\nbé" || !m.HasSDP || m.Cause != -1 {
		t.Errorf("%+v, %v", m, err)
	}
	m, err = Parse([]byte(`{"type":"release","id":"9b1f","cause":34}`))
	if err != nil || m.Cause != 34 || m.HasSDP {
		t.Errorf("%+v, %v", m, err)
	}
}

// A field is the same however its sender spelt it in JSON.
func TestField_InAnySpelling(t *testing.T) {
	const class = "Ærø \"2\"\\;x=1\U0001f600"
	for _, text := range []string{
		"{\"type\":\"setup\",\"fields\":{\"class\":\"Ærø \\\"2\\\"\\\\;x=1\U0001f600\"}}",
		`{"type":"setup","fields":{"class":"\u00c6r\u00F8\u0020\u00222\u0022\u005c;x\u003d1\ud83d\uDE00"}}`,
	} {
		if m, err := Parse([]byte(text)); err != nil || m.Field("class") != class {
			t.Errorf("%s: %q, %v", text, m.Field("class"), err)
		}
	}
}

func TestParse_Malformed(t *testing.T) {
	for _, text := range []string{
		``, `x`, `[]`, `"setup"`, `{}`, `{"type":1}`, `{"type":"setup","id":7}`,
		`{"type":"setup","fields":[]}`, `{"type":"release","cause":"16"}`, `{"type":"setup","sdp":{}}`, `{"type":"setup"`,
	} {
		if m, err := Parse([]byte(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %+v, %v", text, m, err)
		}
	}
}

func TestReadLine_Bound(t *testing.T) {
	long := strings.Repeat("x", MaxLine-1)
	r := bufio.NewReaderSize(strings.NewReader(long+"\n"+long+"y\n"), 64)
	if line, err := ReadLine(r, nil); err != nil || len(line) != MaxLine-1 {
		t.Errorf("the longest line: %d bytes, %v", len(line), err)
	}
	if _, err := ReadLine(r, nil); !errors.Is(err, ErrTooLong) {
		t.Errorf("a longer one: %v", err)
	}
	if _, err := ReadLine(bufio.NewReader(strings.NewReader("unfinished")), nil); err == nil {
		t.Error("a line that its sender did not finish was taken")
	}
}

// FuzzRoundTrip checks that any description comes back as it was, however the bytes fall into lines and buffers, and
// that any line is either a message or malformed.
func FuzzRoundTrip(f *testing.F) {
	f.Add("v=0\r\nc=IN IP4 10.4.7.9\r\n", "9b1f03aa5c7e2d41")
	f.Add("\x00\x1f\x7f\"\\</é\u2028\U0001f600", `{"type":"x"}`)
	f.Fuzz(func(t *testing.T, sdp, id string) {
		if _, err := Parse([]byte(id)); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		sdp, id = strings.ToValidUTF8(sdp, "\ufffd"), strings.ToValidUTF8(id, "\ufffd")
		line := AppendAnswer(nil, id, sdp)
		if len(line) > MaxLine {
			return
		}
		lines := string(AppendCause(line, TypePong, id, 1))
		r := bufio.NewReaderSize(strings.NewReader(lines), 16)
		text, err := ReadLine(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		m, err := Parse(text)
		if err != nil || m.SDP != sdp || m.ID != id || m.Type != TypeAnswer {
			t.Fatalf("%q, %q became %+v, %v", sdp, id, m, err)
		}
		if text, err = ReadLine(r, text); err != nil {
			t.Fatal(err)
		}
		if m, err = Parse(text); err != nil || m.Cause != 1 || m.ID != id {
			t.Fatalf("%+v, %v", m, err)
		}
	})
}
