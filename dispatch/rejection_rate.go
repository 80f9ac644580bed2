package dispatch

import (
	"math"
	"sync/atomic"
)

const (
	// rejectionSamples is how many final answers the rejection rate is the moving mean of.
	rejectionSamples = 32
	// rejectionDecayMicros is the time in which the rate halves while there are no final answers.
	rejectionDecayMicros = 5_000_000
)

// rejectionRate is the recent fraction of calls that were rejected. Only the engine's owner may record; any goroutine
// may read. The zero value is ready.
type rejectionRate struct {
	rate      atomic.Uint64 // math.Float64bits
	updatedAt atomic.Int64
}

// record takes a final answer.
func (r *rejectionRate) record(now int64, rejected bool) {
	rate, sample := r.at(now), 0.0
	if rejected {
		sample = 1
	}
	r.rate.Store(math.Float64bits(rate + (sample-rate)/rejectionSamples))
	r.updatedAt.Store(now)
}

// at is the rate, 0 to 1.
func (r *rejectionRate) at(now int64) float64 {
	age := max(0, now-r.updatedAt.Load())
	return math.Float64frombits(r.rate.Load()) * math.Exp2(-float64(age)/rejectionDecayMicros)
}
