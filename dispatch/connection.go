package dispatch

import "slices"

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
)

// connection is the state of a caller's connection. The table's mutex guards it.
type connection struct {
	CallerConn
	verified    bool // a call was answered on it, or its frontend vouches for it
	hasCalled   bool // it has sent a valid set-up
	unsettled   int  // its set-ups without a final answer
	established int  // the calls that it set up and that are established
	errors      int  // its set-ups that endpoints could not process
	delivered   []deliveredEnd
}

// isVerified reports whether a call was answered on the connection, or its frontend vouches for it.
func (c *connection) isVerified() bool { return c.verified }

// isCaller reports whether the connection has set up valid calls: it is not a tester's.
func (c *connection) isCaller() bool { return c.hasCalled && c.errors == 0 }

// isErrorFree reports whether endpoints could process all its set-ups.
func (c *connection) isErrorFree() bool { return c.errors == 0 }

// isAny accepts every connection.
func (c *connection) isAny() bool { return true }

// rememberDelivered remembers an end that was delivered, and forgets those that were read long ago.
func (c *connection) rememberDelivered(now int64, end callEnd) {
	outdated := 0
	for outdated < len(c.delivered) &&
		(now-c.delivered[outdated].at > unreadWindowMicros || len(c.delivered)-outdated >= maxDelivered) {
		outdated++
	}
	c.delivered = append(slices.Delete(c.delivered, 0, outdated), deliveredEnd{callEnd: end, at: now})
}
