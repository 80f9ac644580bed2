// Package average keeps running averages in constant space, in which the latest samples weigh most.
//
// The averages are exact functions of their samples and times: equal sequences give equal values. The zero value of
// each type is empty and ready to use. They do no locking and read no clock.
package average

import (
	"math"
	"time"
)

// Mean is the mean of the samples so far, and an exponential moving average once there are more than its window.
type Mean struct{ value, samples float64 }

// Add takes a sample. Once window samples were added each counts as one in window.
func (m *Mean) Add(sample, window float64) {
	m.samples = min(m.samples+1, window)
	m.value += (sample - m.value) / m.samples
}

// Value returns the mean, 0 without samples.
func (m *Mean) Value() float64 { return m.value }

// Rate is the rate of hits among the latest samples.
type Rate struct{ value float64 }

// Add takes a sample, whose weight is gain.
func (r *Rate) Add(hit bool, gain float64) {
	r.value *= 1 - gain
	if hit {
		r.value += gain
	}
}

// Value returns the rate, 0 without samples.
func (r *Rate) Value() float64 { return r.value }

// Count is a number of events that decays exponentially between them.
type Count struct {
	value float64
	at    time.Duration
}

// Add takes an event at the reading now; what was counted before has decayed by e for each lifetime that went by.
func (c *Count) Add(now, lifetime time.Duration) {
	age := float64(now-c.at) / float64(max(lifetime, 1))
	c.value, c.at = 1+c.value*math.Exp(-age), now
}

// Value returns the count at the latest event, 0 without events.
func (c *Count) Value() float64 { return c.value }
