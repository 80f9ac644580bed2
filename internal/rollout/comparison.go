package rollout

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Metric is a proportion of bad calls by which the old and the new version are compared. Its text stands in the state
// file's reason and log.
type Metric string

// The metrics, in the order in which they are compared.
const (
	MetricNotInTime Metric = "not standing in time"
	MetricRejected  Metric = "refused"
	MetricFailed    Metric = "failed"
	// MetricSlow makes a proportion of a percentile: by definition one in a hundred of the old version's calls is
	// slower than its P99, and the test is whether more of the new version's are.
	MetricSlow Metric = "set-up slower than the old p99"
)

// metricCount is the number of metrics, over which the significance level is divided.
const metricCount = 4

// Agresti and Caffo's correction adds one call of each outcome to either sample. Without it, none of twenty calls
// would count as a proportion that is known with certainty.
const (
	addedBadCalls = 1
	addedCalls    = 2
)

// Comparison is one metric of the old and of the new version.
type Comparison struct {
	Metric   Metric
	Old, New float64 // proportions, of which less is better
	Z        float64 // standard errors by which the new version is worse than the old by more than the tolerance
	Worse    bool
}

// sample is the calls of a version under one metric.
type sample struct{ bad, calls int64 }

// size is the corrected number of calls.
func (s sample) size() float64 { return float64(s.calls + addedCalls) }

// proportion is the corrected proportion of bad calls.
func (s sample) proportion() float64 { return float64(s.bad+addedBadCalls) / s.size() }

// Compare tests each metric with a one-sided two-proportion test: does the new version's proportion of bad calls
// exceed the old's by more than the tolerance? The confidence holds for all metrics and so many evaluations together
// (Bonferroni's correction).
func (p Plan) Compare(oldCounts, newCounts Counts, evaluations int) []Comparison {
	significance := (1 - p.Confidence) / float64(metricCount*max(evaluations, 1))
	criticalZ := distuv.UnitNormal.Quantile(1 - significance)
	oldSamples, newSamples := oldCounts.samples(oldCounts.P99()), newCounts.samples(oldCounts.P99())
	comparisons := make([]Comparison, 0, metricCount)
	for i, metric := range [metricCount]Metric{MetricNotInTime, MetricRejected, MetricFailed, MetricSlow} {
		comparison := compareSamples(oldSamples[i], newSamples[i], p.Tolerance, criticalZ)
		comparison.Metric = metric
		comparisons = append(comparisons, comparison)
	}
	return comparisons
}

// samples returns the sample of each metric, in their order. A call counts as slow past the limit in µs.
func (c Counts) samples(slowLimit int64) [metricCount]sample {
	return [metricCount]sample{
		{c.Calls() - c.InTime, c.Calls()},
		{c.Rejected, c.Calls()},
		{c.Failed, c.Calls()},
		{c.slowerThan(slowLimit), c.established()},
	}
}

// compareSamples compares one metric. A version without calls is never worse nor better.
func compareSamples(oldSample, newSample sample, tolerance, criticalZ float64) Comparison {
	oldProportion, newProportion := oldSample.proportion(), newSample.proportion()
	variance := oldProportion*(1-oldProportion)/oldSample.size() + newProportion*(1-newProportion)/newSample.size()
	zScore := (newProportion - oldProportion - tolerance) / math.Sqrt(variance)
	return Comparison{
		Old:   oldProportion,
		New:   newProportion,
		Z:     zScore,
		Worse: oldSample.calls > 0 && newSample.calls > 0 && zScore > criticalZ,
	}
}
