package liveness

// The rule by which an endpoint is judged from its reports. Times are in microseconds.
const (
	// minIntervals must be known before an endpoint is judged by them.
	minIntervals = 4
	// A report may be late by jitterPart of the report interval, and by minJitter: networks and event loops jitter.
	jitterPart = 0.25
	minJitter  = 60_000
	// intervalDecay reports reduce the weight of a long interval to less than half.
	intervalDecay = 8
	// maxGrowth bounds by how much one long interval raises the report interval: one lost report is no habit.
	maxGrowth = 2
	// Suspicion ends after maxMissed report intervals, and not before minSuspicion: by then the endpoint list would have
	// announced a drain. The endpoint works and has stopped reporting.
	maxMissed    = 10
	minSuspicion = 5_000_000
)

// Endpoint is a line of the endpoint list: an endpoint that is up, and the group by which classes name it.
type Endpoint struct {
	UID   string
	Group int
}

// reportState is how an endpoint's reports keep to its report interval.
type reportState int

const (
	learning     reportState = iota // too few reports came to know the report interval
	onTime                          // the next report is not due yet
	overdue                         // the next report is late: the endpoint is suspected
	notReporting                    // the endpoint has stopped reporting and is not judged until it reports
)

// String returns the state's name.
func (s reportState) String() string {
	switch s {
	case learning:
		return "learning"
	case onTime:
		return "on time"
	case overdue:
		return "overdue"
	default:
		return "not reporting"
	}
}

// endpoint is an Endpoint with what is known of its reports.
type endpoint struct {
	Endpoint
	listed     bool  // in the latest endpoint list
	lastReport int64 // when the latest report came, 0: never
	interval   int64 // the report interval: the longest of late between two reports
	intervals  int   // how many are known, minIntervals at most
}

// stateAt is the endpoint's state at a time.
func (e *endpoint) stateAt(now int64) reportState {
	switch {
	case e.intervals < minIntervals:
		return learning
	case now < e.dueAt():
		return onTime
	case now < e.suspicionEnd():
		return overdue
	default:
		return notReporting
	}
}

// nextTransition is when the state changes without a report, 0: never.
func (e *endpoint) nextTransition(now int64) int64 {
	switch e.stateAt(now) {
	case onTime:
		return e.dueAt()
	case overdue:
		return e.suspicionEnd()
	default:
		return 0
	}
}

// dueAt is when the next report is late, once the report interval is known.
func (e *endpoint) dueAt() int64 {
	return e.lastReport + e.interval + max(int64(jitterPart*float64(e.interval)), minJitter)
}

// suspicionEnd is when an overdue endpoint is no longer suspected.
func (e *endpoint) suspicionEnd() int64 {
	return e.lastReport + max(maxMissed*e.interval, minSuspicion)
}

// recordReport takes a report. The silence of an endpoint that had stopped reporting is no report interval: its
// interval is learned anew.
func (e *endpoint) recordReport(now int64) {
	if e.lastReport == 0 || e.stateAt(now) == notReporting {
		e.intervals, e.interval = 0, 0
	} else {
		e.observeInterval(now - e.lastReport)
	}
	e.lastReport = now
}

// observeInterval takes the time between two reports. A longer one than known is the report interval from now on, so
// that the next such delay raises no suspicion; a shorter one lets the report interval fall slowly.
func (e *endpoint) observeInterval(observed int64) {
	if e.intervals == minIntervals {
		observed = min(observed, maxGrowth*e.interval)
	}
	e.interval = max(observed, e.interval-(e.interval-observed)/intervalDecay)
	e.intervals = min(e.intervals+1, minIntervals)
}
