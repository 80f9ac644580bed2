package slidingmin_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"eidertrail/internal/slidingmin"
)

const span = 30 * time.Second

func TestWindow_WithoutSamplesHasNoMinimum(t *testing.T) {
	var window slidingmin.Window
	if got, ok := window.Min(time.Hour, span); ok || got != 0 {
		t.Errorf("Min() = %v, %v, want 0, false", got, ok)
	}
}

func TestWindow_KeepsTheMinimumForItsSpan(t *testing.T) {
	var window slidingmin.Window
	for _, step := range []struct {
		name             string
		at, sample, want time.Duration // a sample of 0 adds none
	}{
		{"the first sample is the minimum", 0, 80, 80},
		{"a smaller sample replaces it", 10 * time.Second, 50, 50},
		{"a larger sample does not", 20 * time.Second, 90, 50},
		{"a sample exactly one span old counts", 40 * time.Second, 95, 50},
		{"an older one expires", 40*time.Second + 1, 0, 90},
		{"an equal sample renews the minimum", 45 * time.Second, 90, 90},
		{"which then lasts a span from there", 75 * time.Second, 100, 90},
		{"the newest sample stays beyond the span", 500 * time.Second, 0, 100},
	} {
		if step.sample > 0 {
			window.Add(step.at, step.sample)
		}
		if got, ok := window.Min(step.at, span); !ok || got != step.want {
			t.Errorf("%s: Min() = %v, %v, want %v, true", step.name, got, ok, step.want)
		}
	}
}

func TestWindow_AgreesWithAScanOfAllSamples(t *testing.T) {
	type sample struct{ at, value time.Duration }
	random := rand.New(rand.NewPCG(1, 2))
	var window slidingmin.Window
	const samples = 5000
	all := make([]sample, 0, samples)
	now := time.Duration(0)
	for range samples {
		now += time.Duration(random.Int64N(int64(8 * time.Second)))
		all = append(all, sample{now, time.Duration(1 + random.Int64N(1000))})
		window.Add(now, all[len(all)-1].value)
		now += time.Duration(random.Int64N(int64(40 * time.Second)))

		want := all[len(all)-1].value
		for i := len(all) - 1; i >= 0 && now-all[i].at <= span; i-- {
			want = min(want, all[i].value)
		}
		if got, ok := window.Min(now, span); !ok || got != want {
			t.Fatalf("at %v: Min() = %v, %v, want %v, true", now, got, ok, want)
		}
	}
}
