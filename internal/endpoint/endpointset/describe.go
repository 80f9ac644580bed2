package endpointset

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Order sorts endpoints as RFC 2782 has a client try them: the lowest priority first, and within one priority by
// weight, highest first, then by address. The weighted random draw of RFC 2782 is left to the decision module; this
// order is for logs and tests.
func Order(endpoints []Endpoint) {
	slices.SortStableFunc(endpoints, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(b.Weight, a.Weight),
			strings.Compare(a.Address, b.Address),
		)
	})
}

// Describe is a one-line description of a view for logs.
func Describe(endpoints []Endpoint) string {
	descriptions := make([]string, len(endpoints))
	for i, e := range endpoints {
		descriptions[i] = e.UID + "@" + e.Address + "/" + e.State.String() + "/g" + strconv.Itoa(e.Group) + "/" + e.Sources
	}
	return strings.Join(descriptions, " ")
}
