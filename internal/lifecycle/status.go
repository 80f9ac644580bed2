package lifecycle

import "math"

// The schedule of a drain that an operator calls for, in µs from the call. Load balancers ask every 0.1 s and send new
// connections for 0.2 s more; at 4 s no connection may be idle or carry a request of the last 2 s.
const (
	drainAcceptMicros = 700_000   // connections stay open: callers may still use them
	drainRejectMicros = 1_700_000 // set-ups that come later are rejected at once
	drainEvictMicros  = 3_300_000 // connections on which a line is incomplete are closed too
)

// never is a time that is not reached.
const never = math.MaxInt64

// Status is the state of a controller with the schedule of the drain that belongs to it. Times are µs.
type Status struct {
	State State
	Since int64

	drainedBefore bool // of a process that is replaced: an operator had emptied it before

	closeFrom  int64 // connections without an open set-up are closed
	rejectFrom int64 // set-ups are rejected
	evictFrom  int64 // connections on which a line is incomplete are closed as well
}

// enter is the status after a change of the state. A stop or a replacement during a drain does not set its times back,
// and neither does the end of that replacement: callers were sent away already.
func (s Status) enter(to State, now, acceptFor int64) Status {
	next := Status{State: to, Since: now, closeFrom: never, rejectFrom: never, evictFrom: never}
	switch to {
	case LameDuck, Replaced:
		if s.State == LameDuck || s.drainedBefore && to == LameDuck {
			next.closeFrom, next.rejectFrom, next.evictFrom = s.closeFrom, s.rejectFrom, s.evictFrom
			next.drainedBefore = true
			break
		}
		next.closeFrom = now + drainAcceptMicros
		next.rejectFrom = now + drainRejectMicros
		next.evictFrom = now + drainEvictMicros
	case Stopping:
		next.closeFrom = now + acceptFor
		if s.Emptying() {
			next.closeFrom = min(next.closeFrom, s.closeFrom)
			next.rejectFrom = s.rejectFrom
		}
		next.evictFrom = next.closeFrom
	case Starting, Serving:
	}
	return next
}

// Draining reports whether clients are sent away.
func (s Status) Draining() bool { return s.Emptying() || s.State == Stopping }

// Emptying reports whether clients are sent away by a process that does not end.
func (s Status) Emptying() bool { return s.State == LameDuck || s.State == Replaced }

// ClosesConnections reports whether connections on which no set-up is open are closed now.
func (s Status) ClosesConnections(now int64) bool { return s.Draining() && now >= s.closeFrom }

// ClosesIncomplete reports whether connections on which no line was received yet, or one is incomplete, are closed now.
func (s Status) ClosesIncomplete(now int64) bool { return s.Draining() && now >= s.evictFrom }

// RejectsSetups reports whether a set-up that comes now is rejected at once.
func (s Status) RejectsSetups(now int64) bool { return s.Draining() && now >= s.rejectFrom }
