// Package inflight keeps the attempts that one client has in flight at one server, in the order in which they were
// sent, and notes which of them were overtaken: an attempt sent later was answered while they were not.
//
// The package records what happened and decides nothing. A Queue does no locking and reads no clock.
package inflight

import (
	"slices"
	"time"
)

// Attempt is one attempt. It belongs to the queue that returned it.
type Attempt struct {
	SentAt time.Duration
	number int // among all attempts sent
}

// Queue is the attempts in flight at one server. Its zero value is empty and ready to use.
type Queue struct {
	attempts []*Attempt // oldest first
	sent     int        // attempts ever sent
	answered int        // number of the latest one that was answered
}

// Send adds an attempt sent at the reading now, which must not be before that of the one added last.
func (q *Queue) Send(now time.Duration) *Attempt {
	q.sent++
	attempt := &Attempt{SentAt: now, number: q.sent}
	q.attempts = append(q.attempts, attempt)
	return attempt
}

// Remove takes an attempt that ended out of the queue.
func (q *Queue) Remove(attempt *Attempt) {
	q.attempts = slices.DeleteFunc(q.attempts, func(other *Attempt) bool { return other == attempt })
}

// Answer takes an attempt that was answered out of the queue: those sent before it are overtaken.
func (q *Queue) Answer(attempt *Attempt) {
	q.Remove(attempt)
	q.answered = max(q.answered, attempt.number)
}

// Overtaken reports whether an attempt sent after this one was answered.
func (q *Queue) Overtaken(attempt *Attempt) bool { return attempt.number < q.answered }

// Backlog returns the attempts in the queue from the first that was not overtaken, oldest first.
func (q *Queue) Backlog() []*Attempt {
	first := 0
	for first < len(q.attempts) && q.Overtaken(q.attempts[first]) {
		first++
	}
	return q.attempts[first:]
}

// Restarted returns the queue for the server's next incarnation, whose answers alone count from now on.
func (q *Queue) Restarted() Queue { return Queue{attempts: q.attempts, sent: q.sent} }

// Len returns the number of attempts in the queue, overtaken ones included.
func (q *Queue) Len() int { return len(q.attempts) }
