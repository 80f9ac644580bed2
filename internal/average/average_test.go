package average_test

import (
	"math"
	"testing"
	"time"

	"eidertrail/internal/average"
)

func TestMean_IsExactWithinItsWindow(t *testing.T) {
	var mean average.Mean
	if got := mean.Value(); got != 0 {
		t.Errorf("without samples %v, want 0", got)
	}
	for i, want := range []float64{8, 6, 4} {
		mean.Add([]float64{8, 4, 0}[i], 4)
		if got := mean.Value(); got != want {
			t.Errorf("after %d samples %v, want %v", i+1, got, want)
		}
	}
}

func TestMean_SampleBeyondTheWindowCountsAsOneInIt(t *testing.T) {
	var mean average.Mean
	for range 100 {
		mean.Add(2, 4)
	}
	mean.Add(6, 4)
	if got := mean.Value(); got != 3 {
		t.Errorf("mean %v, want 2 and a fourth of the difference: 3", got)
	}
}

func TestRate_MovesByItsGain(t *testing.T) {
	var rate average.Rate
	for i, want := range []float64{0, 0.25, 0.4375, 0.328125} {
		rate.Add([]bool{false, true, true, false}[i], 0.25)
		if got := rate.Value(); got != want {
			t.Errorf("after %d samples %v, want %v", i+1, got, want)
		}
	}
}

func TestCount_DecaysByEForEachLifetime(t *testing.T) {
	var count average.Count
	count.Add(time.Hour, time.Second)
	if got := count.Value(); got != 1 {
		t.Errorf("one event counts %v", got)
	}
	count.Add(time.Hour, time.Second)
	if got := count.Value(); got != 2 {
		t.Errorf("two events at one time count %v", got)
	}
	count.Add(time.Hour+time.Second, time.Second)
	if got, want := count.Value(), 1+2/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("a lifetime later they and one more count %v, want %v", got, want)
	}
}

func TestCount_WithoutALifetimeIsTheLatestEvent(t *testing.T) {
	var count average.Count
	count.Add(time.Hour, 0)
	count.Add(time.Hour+time.Second, 0)
	if got := count.Value(); got != 1 {
		t.Errorf("count %v, want 1", got)
	}
}
