package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
)

// stream is a purpose that random numbers are drawn for. Each has a generator of its own: a change in the numbers drawn
// for one purpose does not shift those of the others.
type stream int

const (
	callerStream stream = iota
	networkStream
	holdingTimeStream
	faultStream
	fleetStream
	reportNoiseStream
	streamCount
)

// randomStreams is a generator for each stream.
type randomStreams [streamCount]*rand.Rand

func newRandomStreams(seed uint64) randomStreams {
	var streams randomStreams
	for i := range streams {
		streams[i] = rand.New(rand.NewPCG(seed, uint64(i)+1))
	}
	return streams
}

// between draws a time in µs from a range, both ends included.
func (r *randomStreams) between(bounds [2]Duration, from stream) int64 {
	low, high := bounds[0].microseconds(), bounds[1].microseconds()
	return low + r[from].Int64N(high-low+1)
}

// cumulativeWeights are weights, each with the sum of those before it added.
type cumulativeWeights []float64

func (c *cumulativeWeights) add(weight float64) {
	total := 0.0
	if len(*c) > 0 {
		total = (*c)[len(*c)-1]
	}
	*c = append(*c, total+weight)
}

// pick returns the index that a number drawn uniformly from [0, 1) falls on.
func (c cumulativeWeights) pick(uniform float64) int {
	point := uniform * c[len(c)-1]
	i, _ := slices.BinarySearch(c, math.Nextafter(point, math.Inf(1)))
	return min(i, len(c)-1)
}
