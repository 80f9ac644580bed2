package dispatch

import (
	"slices"
	"time"
)

// CallerConn is one connection of callers, on whatever wire. Its methods queue and never block; false means
// that the connection can take no more. They may be called with locks held and must not call the CallTable.
type CallerConn interface {
	// Final passes on the one final answer to a call; the kind is never FinalCallerGone.
	Final(id string, f Final) bool
	// CallEnded passes on that an established call has ended.
	CallEnded(id string, cause int) bool
}

const (
	// unreadWindowMicros is how long before a connection's end an end of a call that was delivered on it may not have
	// been read any more, and maxDelivered bounds what is remembered of that.
	unreadWindowMicros = 250_000
	maxDelivered       = 256
	// endBatchSize is how many ends of calls that were pending go to one connection within endBatchInterval. More at
	// once could fill the queue of its writer, which closes the connection then.
	endBatchSize     = 64
	endBatchInterval = 20 * time.Millisecond
)

// standing is what a connection has shown of being a caller's; a higher one has shown more.
type standing int

const (
	standingFaulty   standing = iota + 1 // endpoints could not process set-ups of it
	standingUnknown                      // no set-up was admitted on it: it may be anybody's
	standingCaller                       // a set-up was admitted on it
	standingVerified                     // a call was answered on it, or its frontend vouches for it
)

// String returns the standing's name.
func (s standing) String() string {
	switch s {
	case standingFaulty:
		return "faulty"
	case standingUnknown:
		return "unknown"
	case standingCaller:
		return "caller"
	case standingVerified:
		return "verified"
	default:
		return "none"
	}
}

// connection is the state of a caller's connection. The table's mutex guards it.
type connection struct {
	CallerConn
	verified    bool // a call was answered on it, or its frontend vouches for it
	hasCalled   bool // it has sent a valid set-up
	unsettled   int  // its set-ups without a final answer
	established int  // the calls that it set up and that are established
	errors      int  // its set-ups that endpoints could not process
	delivered   []deliveredEnd
	copies      int // ends that were copied to it before it was verified
	batch       endBatch
}

// standing returns what the connection has shown so far.
func (c *connection) standing() standing {
	switch {
	case c.verified:
		return standingVerified
	case c.errors > 0:
		return standingFaulty
	case c.hasCalled:
		return standingCaller
	}
	return standingUnknown
}

// rememberDelivered remembers an end that was delivered at a time, and forgets those that were read long ago.
func (c *connection) rememberDelivered(at int64, end callEnd) {
	outdated := 0
	for outdated < len(c.delivered) &&
		(at-c.delivered[outdated].at > unreadWindowMicros || len(c.delivered)-outdated >= maxDelivered) {
		outdated++
	}
	c.delivered = append(slices.Delete(c.delivered, 0, outdated), deliveredEnd{callEnd: end, at: at})
}

// endBatch counts the ends that were pending and went to a connection lately.
type endBatch struct {
	startedAt int64
	count     int
}

// isFull reports whether the connection gets no more of these ends now.
func (b *endBatch) isFull(now int64) bool {
	return b.count >= endBatchSize && duration(now-b.startedAt) < endBatchInterval
}

// add counts an end.
func (b *endBatch) add(now int64) {
	if duration(now-b.startedAt) >= endBatchInterval {
		b.startedAt, b.count = now, 0
	}
	b.count++
}
