package endpointlist

import (
	"slices"
	"time"
)

const (
	// pollWait is how long the server is asked to wait for an event. It is well under the 5 s that it allows: a server
	// that has fallen silent is noticed no sooner than this wait is over.
	pollWait = 2 * time.Second
	// noWait is the wait of a poll that is to be answered at once.
	noWait = time.Millisecond
	// answerTimeout is how long after its wait an answer may take, and how long an answer may take that has begun, before
	// the list is polled once more beside it.
	answerTimeout = 700 * time.Millisecond
	// connectTimeout is the same for a connection to the server.
	connectTimeout = time.Second
	// lateInterval is from one poll to the next while the server is late: one of them waits at the server at nearly any
	// time, and a server that is in time again has answered before the next.
	lateInterval = pollWait + 100*time.Millisecond
	// notifiedAfter is when an event of the list counts as told, whether it was read or not.
	notifiedAfter = 7 * time.Second
	// pollLifetime is how long a poll is kept: an event may occur at the end of the server's wait, and is of use until it
	// counts as told.
	pollLifetime = pollWait + notifiedAfter

	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is from the beginning of one attempt to the next. After an outage of any length the list is polled
	// this long after the server's return at the latest, or when an attempt that began before it is over: sends to
	// endpoints that drain have to stop within 0.5 s of the drain, whether it could be read or not.
	maxRetryDelay = 250 * time.Millisecond
)

// MaxOpenPolls bounds the polls, and with them the connections, that are open at a time. A poll beside a late one
// begins every lateInterval, so that this many are open before the oldest has reached pollLifetime.
const MaxOpenPolls = 5

// pollID numbers the polls of a watcher in the order in which they begin; 0 is none.
type pollID int64

// openPoll is a poll that has neither been answered nor failed.
type openPoll struct {
	id        pollID
	beganAt   int64
	wait      time.Duration // that the server was asked for
	connected bool
}

// pollSchedule decides when the list is polled, and for how long a poll is kept. It does no I/O and reads no clock;
// times are clock readings in microseconds.
//
// A late answer is not a lost one. If a late poll were given up for the next, a server that takes longer than the bound
// for every answer would never be read; if the next one waited for it, a connection that has fallen silent would hide
// the list. So the late poll is kept, and another begins beside it.
type pollSchedule struct {
	open     []openPoll // oldest first
	latestID pollID
	latest   openPoll // the poll that began last, open or not
	// nextAt is when the next poll begins: after the latest one has ended, or when that is late.
	nextAt     int64
	retryDelay time.Duration
	late       bool // the latest answer, or the one that is waited for, takes longer than the server was asked for
}

// newPollSchedule returns a schedule whose first poll is due now. Its polls are numbered from the one after previous.
func newPollSchedule(now int64, previous pollID) *pollSchedule {
	return &pollSchedule{latestID: previous, nextAt: now, retryDelay: minRetryDelay}
}

// due reports whether a poll is to begin now.
func (s *pollSchedule) due(now int64) bool { return now >= s.nextAt }

// begin notes a poll that begins now and asks the server for that wait.
func (s *pollSchedule) begin(now int64, wait time.Duration) pollID {
	s.latestID++
	s.latest = openPoll{id: s.latestID, beganAt: now, wait: wait}
	s.open = append(s.open, s.latest)
	s.nextAt = now + connectTimeout.Microseconds()
	return s.latestID
}

// observeLateness notes that a poll is due although the latest one is open, and reports whether the server was in time
// until then.
func (s *pollSchedule) observeLateness() (becameLate bool) {
	if !s.isOpen(s.latestID) || s.late {
		return false
	}
	s.late = true
	return true
}

// connected takes the moment at which a poll has its connection. While the server is late a poll begins every
// lateInterval.
func (s *pollSchedule) connected(now int64, id pollID) {
	for i := range s.open {
		if s.open[i].id == id {
			s.open[i].connected = true
		}
	}
	if id != s.latestID {
		return
	}
	patience := s.latest.wait + answerTimeout
	if s.late {
		patience = lateInterval
	}
	s.nextAt = now + patience.Microseconds()
}

// answerBegan takes the first byte of a poll's answer. While the server is late polls begin no sooner for it: otherwise
// there would soon be no room for answers that come slowly.
func (s *pollSchedule) answerBegan(now int64, id pollID) {
	if id != s.latestID {
		return
	}
	s.nextAt = now + answerTimeout.Microseconds()
	if s.late {
		s.nextAt = max(s.nextAt, s.latest.beganAt+lateInterval.Microseconds())
	}
}

// answered takes a complete answer. After one that came at once and brought no news the next poll waits for a moment,
// so as not to poll in a tight loop. It reports how long the answer took, and whether the server is in time again.
func (s *pollSchedule) answered(now int64, id pollID, news bool) (took time.Duration, inTimeAgain bool) {
	poll := s.remove(id)
	took = time.Duration(now-poll.beganAt) * time.Microsecond
	wasLate := s.late
	s.late = took > poll.wait+answerTimeout
	if id == s.latestID {
		s.retryDelay = minRetryDelay
		s.nextAt = now
		if !news && took < minRetryDelay {
			s.nextAt = now + minRetryDelay.Microseconds()
		}
	}
	return took, wasLate && !s.late
}

// failed takes the failure of a poll. After that of the latest the next one waits until the retry delay after its
// beginning, and for minRetryDelay at the least. It returns how long it is until the next poll.
func (s *pollSchedule) failed(now int64, id pollID) time.Duration {
	poll := s.remove(id)
	if id == s.latestID {
		s.nextAt = max(poll.beganAt+s.retryDelay.Microseconds(), now+minRetryDelay.Microseconds())
		s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	}
	return time.Duration(max(0, s.nextAt-now)) * time.Microsecond
}

// takeExpired removes and returns a poll that is to be given up: the oldest, if it has been open for pollLifetime, or
// if there is no room for the poll that is due. Then one that has no connection goes first. 0: none is.
func (s *pollSchedule) takeExpired(now int64) pollID {
	if len(s.open) == 0 {
		return 0
	}
	oldest := s.open[0]
	if now < expiry(oldest) {
		if !s.due(now) || len(s.open) < MaxOpenPolls {
			return 0
		}
		if i := slices.IndexFunc(s.open, func(poll openPoll) bool { return !poll.connected }); i >= 0 {
			oldest = s.open[i]
		}
	}
	s.remove(oldest.id)
	return oldest.id
}

// takeAll removes and returns the open polls, and has the next one begin now.
func (s *pollSchedule) takeAll(now int64) []openPoll {
	open := s.open
	s.open, s.nextAt = nil, now
	return open
}

// nextChange is when a poll is due or expires by time alone.
func (s *pollSchedule) nextChange() int64 {
	if len(s.open) == 0 {
		return s.nextAt
	}
	return min(s.nextAt, expiry(s.open[0]))
}

// expiry is when a poll has been open for pollLifetime.
func expiry(poll openPoll) int64 { return poll.beganAt + pollLifetime.Microseconds() }

// isOpen reports whether a poll is open.
func (s *pollSchedule) isOpen(id pollID) bool {
	return slices.ContainsFunc(s.open, func(poll openPoll) bool { return poll.id == id })
}

// remove takes a poll off the open ones and returns it.
func (s *pollSchedule) remove(id pollID) openPoll {
	for i, poll := range s.open {
		if poll.id == id {
			s.open = slices.Delete(s.open, i, i+1)
			return poll
		}
	}
	return openPoll{}
}
