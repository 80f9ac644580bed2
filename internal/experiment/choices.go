package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// setForm is the form of a text that ParseSets reads.
const setForm = "FIELD=VALUE,..."

// maxSeedRange bounds the seeds of one range.
const maxSeedRange = 10_000

// Set is a field of a scenario and the value that it gets, as in callers.rate=90 or pool.0.agents=40.
type Set struct{ Field, Value string }

// ParseSets reads texts such as callers.rate=50,90: each value is one choice.
func ParseSets(texts []string) ([][]Set, error) {
	var choices [][]Set
	for _, text := range texts {
		field, values, ok := strings.Cut(text, "=")
		if !ok || field == "" || values == "" {
			return nil, fmt.Errorf("%w: --set %q: want %s", ErrLab, text, setForm)
		}
		var choice []Set
		for _, value := range strings.Split(values, ",") {
			choice = append(choice, Set{field, value})
		}
		choices = append(choices, choice)
	}
	return choices, nil
}

// Grid is every combination of the choices, the last changing fastest.
func Grid(choices [][]Set) [][]Set {
	grid := [][]Set{nil}
	for _, choice := range choices {
		next := make([][]Set, 0, len(grid)*len(choice))
		for _, sets := range grid {
			for _, set := range choice {
				next = append(next, append(slices.Clone(sets), set))
			}
		}
		grid = next
	}
	return grid
}

// ParseSeeds reads seeds such as 1-5,9.
func ParseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		low, high, isRange := strings.Cut(part, "-")
		first, err := strconv.ParseUint(strings.TrimSpace(low), 10, 64)
		last := first
		if err == nil && isRange {
			last, err = strconv.ParseUint(strings.TrimSpace(high), 10, 64)
		}
		if err != nil || last < first || last-first > maxSeedRange {
			return nil, fmt.Errorf("%w: --seeds %q: want such as 1-5,9", ErrLab, text)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
