package config

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// maxHeaderText is the most bytes of a name that stands in a header of a message.
const maxHeaderText = 256

// jsonReader reads fields of the platform's configuration by their paths and keeps the first error.
type jsonReader struct {
	checks
	root gjson.Result
}

// get is the field, and whether it is there and not null.
func (r *jsonReader) get(field string, required bool) (gjson.Result, bool) {
	value := r.root.Get(field)
	if value.Exists() && value.Type != gjson.Null {
		return value, true
	}
	if required {
		r.fail(field, "absent")
	}
	return value, false
}

func (r *jsonReader) text(field string, required bool) string {
	value, found := r.get(field, required)
	if found && value.Type != gjson.String {
		r.fail(field, "want a string")
	}
	return value.Str
}

// headerText is a text that becomes the value of a SIP header and has to be read from it unchanged.
//
// Without these checks a name could end its header and begin another, or be cut short by the reader of the header, and
// every set-up of that class, or of that controller, would differ from the caller's.
func (r *jsonReader) headerText(field string, required bool) string {
	text := r.text(field, required)
	switch {
	case text == "" && required:
		r.fail(field, "empty")
	case len(text) > maxHeaderText:
		r.fail(field, fmt.Sprintf("want at most %d bytes", maxHeaderText))
	case !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl):
		r.fail(field, fmt.Sprintf("%q holds control characters or is not UTF-8", text))
	case text != strings.Trim(text, " "):
		r.fail(field, fmt.Sprintf("%q begins or ends with a space", text))
	}
	return text
}

func (r *jsonReader) address(field string, required bool) string {
	text := r.text(field, required)
	if text == "" && required {
		r.fail(field, "empty")
	}
	r.checks.address(field, text)
	return text
}

// number is the field, or absent where it is not there or out of its bounds.
func (r *jsonReader) number(field string, absent, lower, upper float64) float64 {
	value, found := r.get(field, false)
	if !found {
		return absent
	}
	if value.Type != gjson.Number || value.Num < lower || value.Num > upper {
		r.fail(field, fmt.Sprintf("%.40s is not a number from %g to %g", value.Raw, lower, upper))
		return absent
	}
	return value.Num
}

// count is a number without its fraction, of at most maxCount.
func (r *jsonReader) count(field string, absent, lower float64) int {
	return int(r.number(field, absent, lower, maxCount))
}

// duration is a number of nanoseconds, 0 where it is absent.
func (r *jsonReader) duration(field string) time.Duration {
	return time.Duration(r.number(field, 0, 0, maxNanoseconds))
}

func (r *jsonReader) list(field string, required bool) []gjson.Result {
	value, found := r.get(field, required)
	if found && !value.IsArray() {
		r.fail(field, "want a list")
		return nil
	}
	items := value.Array()
	if required && len(items) == 0 {
		r.fail(field, "empty")
	}
	return items
}
