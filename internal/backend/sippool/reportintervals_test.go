package sippool

import (
	"testing"
	"time"
)

func TestReportIntervals_UnresponsiveTimeout(t *testing.T) {
	repeat := func(interval time.Duration, reports int) []time.Duration {
		intervals := make([]time.Duration, reports)
		for i := range intervals {
			intervals[i] = interval
		}
		return intervals
	}
	for _, test := range []struct {
		name      string
		intervals []time.Duration
		want      time.Duration
	}{
		{"is the maximum before a report", nil, 1500 * time.Millisecond},
		{"is three times the interval", repeat(200*time.Millisecond, 20), 600 * time.Millisecond},
		{"is at least the minimum", repeat(100*time.Millisecond, 20), 400 * time.Millisecond},
		{"is at most the maximum", repeat(600*time.Millisecond, 20), 1500 * time.Millisecond},
		{"is twice an interval of a second", repeat(time.Second, 20), 2 * time.Second},
		{
			"follows one longer interval at once",
			append(repeat(100*time.Millisecond, 20), 450*time.Millisecond),
			1350 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var reports reportIntervals
			for _, interval := range test.intervals {
				reports.observeInterval(interval.Microseconds())
			}
			if got := reports.unresponsiveTimeout(); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
