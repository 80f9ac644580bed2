package telemetry

// Counter names one counter. The on-call page says what each one counts.
type Counter int

// The counters, in the order in which they are logged.
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
	InvitesWritten
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
	EndpointListLate
	InDoubtStopped
	ReleasesUnverified
	counterCount // how many there are
)

// counterNames are the counters' names in the log and in JSON. They are an interface: rollouts compare the counters of
// an old and a new program by name.
//
//nolint:gochecknoglobals // a constant table, which Go has no constant form for
var counterNames = [counterCount]string{
	SetupsTaken:        "setups_taken",
	AnsweredCalls:      "answered",
	AnsweredInTime:     "answered_in_time",
	RejectedCalls:      "refused",
	FailedCalls:        "failed",
	CancelledCalls:     "cancelled",
	AnswersUnwritten:   "answers_unwritten",
	Duplicates:         "duplicates",
	ReleasesIn:         "releases_in",
	ReleasesOut:        "releases_out",
	ReleasesPending:    "releases_kept",
	ReleasesDropped:    "releases_dropped",
	Pings:              "pings",
	BadLines:           "bad_lines",
	BadSIP:             "bad_sip",
	Invites:            "invites",
	InvitesWritten:     "invites_written",
	InvitesCalledOff:   "invites_called_off",
	Cancels:            "cancels",
	TimeOuts:           "time_outs",
	Resets:             "resets",
	ConnectsFailed:     "connects_failed",
	PoolFull:           "pool_full",
	PoolErrors:         "pool_errors",
	LateAnswers:        "late_answers",
	ByesOut:            "byes_out",
	ByesIn:             "byes_in",
	UnmatchedByes:      "stray_byes",
	CutCalls:           "cut_calls",
	UncertainCalls:     "doubted_calls",
	Notifies:           "notifies",
	GuardStopped:       "guard_stopped",
	GuardDrain:         "guard_drain",
	Connections:        "connections",
	SlowReaders:        "slow_readers",
	PoolConnections:    "pool_connections",
	EndpointListEvents: "bulletin_events",
	EndpointListErrors: "bulletin_errors",
	Frames:             "ws_messages",
	BadFrames:          "ws_bad_messages",
	HTTPAdmitted:       "http_admitted",
	HTTPRejected:       "http_turned_away",
	Reloads:            "reloads",
	BadReloads:         "bad_reloads",
	Shed:               "shed",
	Overdue:            "overdue",
	ClosedBad:          "closed_bad",
	UnresponsivePools:  "quiet_pools",
	DNSQueries:         "dns_queries",
	DNSTruncated:       "dns_truncated",
	DNSFailures:        "dns_failures",
	DNSBadAnswers:      "dns_bad_answers",
	DNSChanges:         "dns_changes",
	PoolsConflicting:   "pools_conflicting",
	PoolsExpired:       "pools_expired",
	ZoneChanges:        "zone_changes",
	RouteStopped:       "route_stopped",
	SilentPools:        "silent_pools",
	PeerIn:             "peer_in",
	PeerOut:            "peer_out",
	PeerBytesOut:       "peer_bytes_out",
	PeerBad:            "peer_bad",
	PeerDropped:        "peer_dropped",
	PeerUnsent:         "peer_unsent",
	MembersSuspected:   "members_suspected",
	MembersDied:        "members_died",
	QuotaChanges:       "share_changes",
	StaleStopped:       "stale_stopped",
	LeasesRequested:    "leases_asked",
	LeasesGranted:      "leases_granted",
	StateTableBytes:    "word_bytes",
	StateTableRepairs:  "word_repairs",
	EndpointListLate:   "bulletin_late",
	InDoubtStopped:     "in_doubt_stopped",
	ReleasesUnverified: "releases_unverified",
}

// String returns the counter's name in the log and in JSON.
func (c Counter) String() string { return counterNames[c] }
