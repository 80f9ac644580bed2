package simwire

import (
	"encoding/json"
	"errors"
	"fmt"

	"eidertrail"
)

// unreported is a figure that a load report does not have.
const unreported = -1

// row is an array of the wire: a name followed by values. The error of the first value that has the wrong type is kept.
type row struct {
	name   string
	values []json.RawMessage
	err    error
}

// openRow reads an array that begins with its name.
func openRow(raw json.RawMessage) (*row, error) {
	var values []json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, fmt.Errorf("a message is not an array: %w", err)
	}
	if len(values) == 0 {
		return nil, errors.New("a message is an empty array")
	}
	opened := &row{values: values[1:]}
	if err := json.Unmarshal(values[0], &opened.name); err != nil {
		return nil, fmt.Errorf("a message does not begin with its name: %w", err)
	}
	return opened, nil
}

// decode decodes the value at an index, and reports whether it did: not where the value is absent, null or invalid.
func (r *row) decode(index int, field string, into any) bool {
	if index >= len(r.values) || string(r.values[index]) == "null" {
		return false
	}
	if err := json.Unmarshal(r.values[index], into); err != nil {
		if r.err == nil {
			r.err = fmt.Errorf("%s: %s: %w", r.name, field, err)
		}
		return false
	}
	return true
}

// valueAt returns the value at an index, or a default where it is absent, null or of the wrong type.
func valueAt[T any](r *row, index int, field string, absent T) T {
	value := absent
	r.decode(index, field, &value)
	return value
}

func (r *row) integer(index int, field string) int64   { return valueAt[int64](r, index, field, 0) }
func (r *row) unsigned(index int, field string) uint64 { return valueAt[uint64](r, index, field, 0) }
func (r *row) text(index int, field string) string     { return valueAt(r, index, field, "") }
func (r *row) boolean(index int, field string) bool    { return valueAt(r, index, field, false) }

func (r *row) number(index int, field string, absent float64) float64 {
	return valueAt(r, index, field, absent)
}

// report decodes the values of a load report by their names, and reports whether there is one. Negative values are not
// reported.
func (r *row) report(index int, field string, names []string) (eidertrail.Report, bool) {
	report := eidertrail.Report{Free: unreported, Agents: unreported}
	var values []*float64
	if !r.decode(index, field, &values) {
		return report, false
	}
	for i, value := range values {
		if value == nil || *value < 0 || i >= len(names) {
			continue
		}
		switch names[i] {
		case "idle":
			report.Free = *value
		case "circuits":
			report.Agents = *value
		}
	}
	return report, true
}
