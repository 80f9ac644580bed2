// Package telemetry holds the counters of what the session controller receives, sends and answers, and a histogram of
// the time from a set-up to its answer. One set serves a process; frontends, the dispatcher, the backend and the
// fleet's protocols count in it.
package telemetry

import (
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

const (
	// maxSetupTime is the longest set-up time that is told apart, in microseconds.
	maxSetupTime = 60_000_000
	// significantDigits is how precisely set-up times are told apart.
	significantDigits = 1
)

// Counters is a set of counters, safe for concurrent use. The zero value is ready; a nil set counts nothing.
type Counters struct {
	values  [counterCount]atomic.Int64
	classes []classOutcomes // by index, set before anything is counted

	mu         sync.Mutex
	setupTimes *hdrhistogram.Histogram // from a set-up to its answer, microseconds; nil before the first
}

// Add adds one to a counter.
func (s *Counters) Add(c Counter) {
	if s != nil {
		s.values[c].Add(1)
	}
}

// AddN adds n to a counter.
func (s *Counters) AddN(c Counter, n int64) {
	if s != nil && n != 0 {
		s.values[c].Add(n)
	}
}

// Get returns a counter's value.
func (s *Counters) Get(c Counter) int64 {
	if s == nil {
		return 0
	}
	return s.values[c].Load()
}

// RecordEstablished counts a call that was established: after how many microseconds, and whether that was within the
// latency objective of its class.
func (s *Counters) RecordEstablished(setupTime int64, inTime bool) {
	if s == nil {
		return
	}
	s.Add(AnsweredCalls)
	if inTime {
		s.Add(AnsweredInTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setupTimes == nil {
		s.setupTimes = hdrhistogram.New(1, maxSetupTime, significantDigits)
	}
	// The value is within the histogram's range, which is its only error.
	_ = s.setupTimes.RecordValue(min(max(setupTime, 1), maxSetupTime))
}

// MarshalZerologObject writes all counters that are not zero, in their fixed order.
func (s *Counters) MarshalZerologObject(event *zerolog.Event) {
	for c := range counterCount {
		if value := s.Get(c); value != 0 {
			event.Int64(c.String(), value)
		}
	}
}
