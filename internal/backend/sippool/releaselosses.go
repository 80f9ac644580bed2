package sippool

import "time"

const (
	// stabilityWindow is for how long messages must have been received on a new connection for the pool to have resent on
	// it the releases that were lost with the connection before. It resends them on no later connection.
	stabilityWindow = 100 * time.Millisecond
	// unconfirmedTimeout is how long after its pool was last heard from a call is released whose own release may be lost
	// for good: that has to happen within 8 s of the call's end.
	unconfirmedTimeout = 7 * time.Second
)

// releaseLosses tracks whether releases that the pool sent may be lost for good. The pool resends those that were lost
// with a connection on the next connection that is opened. If that one ends before it is stable, they are lost with it,
// and without releaseLosses their calls would stay established for ever. The zero value has seen no connection.
type releaseLosses struct {
	lastStableAt int64 // when the latest stable connection that has ended last received a message
	// unstableOpenedAt is when the latest connection that ended before it was stable was opened, and receivedBefore when
	// the last message before the first of those in a row was received; 0: none since the latest stable one.
	unstableOpenedAt, receivedBefore int64
}

// connectionEnded takes a connection's end.
func (l *releaseLosses) connectionEnded(openedAt, lastReceived int64) {
	if elapsed(openedAt, lastReceived) >= stabilityWindow {
		*l = releaseLosses{lastStableAt: lastReceived}
		return
	}
	if l.receivedBefore == 0 {
		l.receivedBefore = l.lastStableAt
	}
	l.unstableOpenedAt = openedAt
}

// connectionStable takes the moment from which a connection is stable. It reports whether the releases of calls that
// were answered before answeredBefore may be lost for good, and until when such a call stays unconfirmed.
func (l *releaseLosses) connectionStable(now int64) (answeredBefore, unconfirmedUntil int64, lost bool) {
	answeredBefore = l.unstableOpenedAt
	unconfirmedUntil = l.receivedBefore + unconfirmedTimeout.Microseconds()
	lost = l.receivedBefore > 0 && now < unconfirmedUntil
	l.unstableOpenedAt, l.receivedBefore = 0, 0
	return answeredBefore, unconfirmedUntil, lost
}
