package sip

import (
	"math"
	"strconv"
	"strings"
)

// ParseReport parses a load report such as x0:12;x1:40;queue:3 and calls field for each of its fields in order. Fields
// whose value is not a number are skipped.
func ParseReport(text string, field func(name string, value float64)) {
	for part := range strings.SplitSeq(text, ";") {
		name, digits, found := strings.Cut(part, ":")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || math.IsNaN(value) {
			continue
		}
		field(strings.TrimSpace(name), value)
	}
}
