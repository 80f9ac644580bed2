package simulation

import (
	"slices"

	"eidertrail/internal/invariant"
)

const (
	// windowLength is the length of a Window, µs.
	windowLength = 1_000_000
	// worstSpan is the number of windows that the worst service is taken over.
	worstSpan = 10
)

// Result is the outcome of a run. Times are in ms, fractions from 0 to 1. The same scenario, seed and program give the
// same result.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Events   int64  `json:"events"`

	Calls  int `json:"calls"`   // callers; their retries count with the first request
	InTime int `json:"in_time"` // established within the latency objective of their class, and not dropped
	Late   int `json:"late"`
	// Dropped are calls that were established and reset.
	Dropped int `json:"cut"`
	// Lost are calls that were never established.
	Lost int `json:"lost"`
	// Rejected, Failed and CallerGone are requests that did not establish a call, by the reason.
	Rejected   int     `json:"refused"`
	Failed     int     `json:"failed"`
	CallerGone int     `json:"left"`
	Requests   int     `json:"tries"`
	Attempts   int     `json:"sends"`
	Service    float64 `json:"service"` // the weight of the calls served, late ones at a part, over that of all calls
	// WorstWindow is the worst service of ten seconds.
	WorstWindow float64 `json:"worst"`
	// P50 and P99 are percentiles of the time from the first request to the answer.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`

	// SlowStartLoad is the most that a pool in slow start was sent, as a part of what overloads it.
	SlowStartLoad float64 `json:"cold"`
	// SlowStartBudget is the same with an allowance for chance, as the checker has it: over 1 is a violation.
	SlowStartBudget float64 `json:"cold_budget"`
	// SlowStartSent counts the set-ups sent to pools in slow start, retransmissions included.
	SlowStartSent int `json:"cold_sent"`
	// AbandonedWaiting counts callers that left while their call had neither an attempt in flight nor its answer.
	AbandonedWaiting int `json:"left_waiting"`
	// AbandonedForwarded counts those whose call was sent to a pool 0.3 s later or more.
	AbandonedForwarded int `json:"sent_on"`
	Datagrams          int `json:"datagrams"`
	// Queries counts the DNS look-ups.
	Queries int `json:"queries"`
	// RecordLag is the longest time from the removal of a record until a controller learned of it.
	RecordLag float64 `json:"srv_lag_ms"`
	// Deaths counts the members that a member held dead, by each member.
	Deaths int `json:"deaths"`
	// ViolationCount counts the violations of the wire's rules, of which Violations holds the first.
	ViolationCount int              `json:"broken"`
	Violations     []string         `json:"rules,omitempty"`
	Class          []ClassResult    `json:"class"`
	Pool           []PoolResult     `json:"pool"`
	Windows        []Window         `json:"course"`
	Notes          []string         `json:"notes"`
	Counters       map[string]int64 `json:"counters"` // sums over all controllers
}

// ClassResult is the result of a class of calls.
type ClassResult struct {
	Name    string  `json:"name"`
	Calls   int     `json:"calls"`
	Service float64 `json:"service"`
}

// PoolResult is the result of a pool.
type PoolResult struct {
	UID           string  `json:"uid"`
	Arrivals      int     `json:"got"`
	Overflowed    int     `json:"full"`
	SlowStartLoad float64 `json:"cold"`
}

// Window counts the callers whose first request was in one second.
type Window struct {
	Calls         int     `json:"calls"`
	InTime        int     `json:"in_time"`
	Late          int     `json:"late"`
	Dropped       int     `json:"cut"`
	Lost          int     `json:"lost"`
	OfferedWeight float64 `json:"worth"`
	ServedWeight  float64 `json:"earned"`
}

// RecordViolations takes over what the checker of the wire's rules has found.
func (r *Result) RecordViolations(checker *invariant.Checker) {
	r.ViolationCount, r.Violations = checker.Violations()
	ramp := checker.SlowStartLoad()
	r.SlowStartBudget, r.SlowStartSent = ramp.Worst, ramp.Sent
	abandoned := checker.Abandoned()
	r.AbandonedWaiting, r.AbandonedForwarded = abandoned.Waiting, abandoned.Forwarded
}

// Summarize computes the worst service of ten seconds from the windows, and the percentiles of the times in µs from the
// first request to the answer, which it sorts.
func (r *Result) Summarize(times []int64) {
	r.WorstWindow = r.Service
	for i := 0; i+worstSpan <= len(r.Windows); i++ {
		var served, offered float64
		for _, w := range r.Windows[i : i+worstSpan] {
			served, offered = served+w.ServedWeight, offered+w.OfferedWeight
		}
		if offered > 0 {
			r.WorstWindow = min(r.WorstWindow, served/offered)
		}
	}
	slices.Sort(times)
	if n := len(times); n > 0 {
		r.P50, r.P99 = float64(times[n/2])/1000, float64(times[n*99/100])/1000
	}
}
