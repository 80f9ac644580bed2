// Package stats holds the counters of what the session controller takes in,
// sends and answers.
package telemetry

import (
	"sync"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

// Counter is one counter; the names are in names, in the same order.
type Counter int

// The counters. The on-call page says what each one means.
const (
	SetupsTaken Counter = iota
	AnsweredCalls
	AnsweredInTime
	RejectedCalls
	FailedCalls
	CancelledCalls
	AnswersUnwritten
	Duplicates
	ReleasesIn
	ReleasesOut
	ReleasesPending
	ReleasesDropped
	Pings
	BadLines
	BadSIP
	Invites
	InvitesCalledOff
	Cancels
	TimeOuts
	Resets
	ConnectsFailed
	PoolFull
	PoolErrors
	LateAnswers
	ByesOut
	ByesIn
	UnmatchedByes
	CutCalls
	UncertainCalls
	Notifies
	GuardStopped
	GuardDrain
	Connections
	SlowReaders
	PoolConnections
	EndpointListEvents
	EndpointListErrors
	Frames
	BadFrames
	HTTPAdmitted
	HTTPRejected
	Reloads
	BadReloads
	Shed
	Overdue
	ClosedBad
	UnresponsivePools
	DNSQueries
	DNSTruncated
	DNSFailures
	DNSBadAnswers
	DNSChanges
	PoolsConflicting
	PoolsExpired
	ZoneChanges
	RouteStopped
	SilentPools
	PeerIn
	PeerOut
	PeerBytesOut
	PeerBad
	PeerDropped
	PeerUnsent
	MembersSuspected
	MembersDied
	QuotaChanges
	StaleStopped
	LeasesRequested
	LeasesGranted
	StateTableBytes
	StateTableRepairs
	counters
)

var names = [counters]string{
	"setups_taken", "answered", "answered_in_time", "refused", "failed", "cancelled", "answers_unwritten", "duplicates",
	"releases_in", "releases_out", "releases_kept", "releases_dropped", "pings", "bad_lines", "bad_sip",
	"invites", "invites_called_off", "cancels", "time_outs", "resets", "connects_failed", "pool_full",
	"pool_errors", "late_answers", "byes_out", "byes_in", "stray_byes", "cut_calls", "doubted_calls", "notifies",
	"guard_stopped", "guard_drain", "connections", "slow_readers", "pool_connections",
	"bulletin_events", "bulletin_errors", "ws_messages", "ws_bad_messages", "http_admitted", "http_turned_away",
	"reloads", "bad_reloads", "shed", "overdue", "closed_bad", "quiet_pools",
	"dns_queries", "dns_truncated", "dns_failures", "dns_bad_answers", "dns_changes", "pools_conflicting",
	"pools_expired", "zone_changes", "route_stopped", "silent_pools",
	"peer_in", "peer_out", "peer_bytes_out", "peer_bad", "peer_dropped", "peer_unsent", "members_suspected", "members_died",
	"share_changes", "stale_stopped", "leases_asked", "leases_granted", "word_bytes", "word_repairs",
}

// Counters is a set of counters, safe for concurrent use. The zero value is ready; nil counts nothing.
type Counters struct {
	v     [counters]atomic.Int64
	mu    sync.Mutex
	times *hdrhistogram.Histogram // µs from a set-up to its answer
}

// mostTook bounds the times that are told apart, µs, and digits is how well.
const (
	mostTook = 60_000_000
	digits   = 1
)

// RecordEstablished notes a call that stands: how long its set-up took, µs, and whether that was within its class's aim.
func (s *Counters) RecordEstablished(took int64, inTime bool) {
	if s == nil {
		return
	}
	s.Add(AnsweredCalls)
	if inTime {
		s.Add(AnsweredInTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = hdrhistogram.New(1, mostTook, digits)
	}
	s.times.RecordValue(min(max(took, 1), mostTook)) // within its range: no error
}

// Snapshot is a reading of all counters, by name, and of the set-up times: how many by the top of their bucket, µs.
type Snapshot struct {
	Counters map[string]int64 `json:"counters"`
	Times    map[int64]int64  `json:"times"`
}

// Snapshot reads the set.
func (s *Counters) Snapshot() Snapshot {
	out := Snapshot{Counters: map[string]int64{}, Times: map[int64]int64{}}
	for c := range counters {
		out.Counters[names[c]] = s.Get(c)
	}
	if s == nil {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times != nil {
		for _, b := range s.times.Distribution() {
			if b.Count > 0 {
				out.Times[b.To] = b.Count
			}
		}
	}
	return out
}

// Add counts one.
func (s *Counters) Add(c Counter) {
	if s != nil {
		s.v[c].Add(1)
	}
}

// AddN counts n.
func (s *Counters) AddN(c Counter, n int64) {
	if s != nil && n != 0 {
		s.v[c].Add(n)
	}
}

// Get is a counter's value.
func (s *Counters) Get(c Counter) int64 {
	if s == nil {
		return 0
	}
	return s.v[c].Load()
}

// MarshalZerologObject writes all counters that are not zero, in their fixed order.
func (s *Counters) MarshalZerologObject(e *zerolog.Event) {
	for c := range counters {
		if v := s.Get(c); v != 0 {
			e.Int64(names[c], v)
		}
	}
}
