package rollout

import (
	"maps"
	"slices"
)

// quantile99 is the part of the calls whose set-up time is at most the P99.
const quantile99 = 0.99

// Counts are the calls that a controller has counted since its process started, or a difference or sum of such counts.
type Counts struct {
	InTime     int64           `json:"in_time"` // established within the latency objective of their class
	Late       int64           `json:"late"`    // established after it
	Rejected   int64           `json:"refused"`
	Failed     int64           `json:"failed"`
	SetupTimes map[int64]int64 `json:"times,omitempty"` // established calls by set-up time: the top of a bucket, in µs
}

// Calls is the number of calls that got a final answer of any kind.
func (c Counts) Calls() int64 { return c.InTime + c.Late + c.Rejected + c.Failed }

// Sub returns what was counted since the base was taken.
func (c Counts) Sub(base Counts) Counts { return c.plus(base, -1) }

// Add returns the sum of both.
func (c Counts) Add(other Counts) Counts { return c.plus(other, 1) }

// plus adds the other counts times the factor. Buckets of the other that come to zero are left out.
func (c Counts) plus(other Counts, factor int64) Counts {
	sum := Counts{
		InTime:     c.InTime + factor*other.InTime,
		Late:       c.Late + factor*other.Late,
		Rejected:   c.Rejected + factor*other.Rejected,
		Failed:     c.Failed + factor*other.Failed,
		SetupTimes: map[int64]int64{},
	}
	maps.Copy(sum.SetupTimes, c.SetupTimes)
	for bucket, calls := range other.SetupTimes {
		sum.SetupTimes[bucket] += factor * calls
		if sum.SetupTimes[bucket] == 0 {
			delete(sum.SetupTimes, bucket)
		}
	}
	return sum
}

// P99 is the set-up time in µs that one established call in a hundred exceeds, 0 without calls.
func (c Counts) P99() int64 {
	rank := quantile99 * float64(c.established())
	var calls int64
	for _, bucket := range slices.Sorted(maps.Keys(c.SetupTimes)) {
		calls += c.SetupTimes[bucket]
		if float64(calls) >= rank {
			return bucket
		}
	}
	return 0
}

// established is the number of calls with a set-up time.
func (c Counts) established() int64 {
	var calls int64
	for _, inBucket := range c.SetupTimes {
		calls += inBucket
	}
	return calls
}

// slowerThan is the number of established calls whose set-up time exceeds the limit in µs.
func (c Counts) slowerThan(limit int64) int64 {
	var calls int64
	for bucket, inBucket := range c.SetupTimes {
		if bucket > limit {
			calls += inBucket
		}
	}
	return calls
}
