package dispatch

import "slices"

const (
	// maxPendingEnds bounds the ends that wait; with one more the oldest is dropped.
	maxPendingEnds = 4096
	// maxCopies bounds how many connections of callers, and how many that may be anybody's, get a copy of one end.
	maxCopies = 8
)

// callEnd is the end of a call that was established.
type callEnd struct {
	id      string
	cause   int
	endedAt int64
	relayed bool // by another process of the controller, or to it
}

// deliveredEnd is the end of a call that was delivered on a connection.
type deliveredEnd struct {
	callEnd
	at int64
}

// endCopy is a copy of a pending end on a connection that is open and was not verified when it was written.
type endCopy struct {
	conn *connection
	at   int64
}

// pendingEnd is an end that no verified connection has taken yet. Copies of it go to other connections: they may be
// callers', so that it is delivered in time, and may not be, so that it stays pending.
type pendingEnd struct {
	callEnd
	waited       bool // no verified connection took it at once
	copies       []endCopy
	callerCopies int // that were written to connections that had set up calls
	otherCopies  int // that were written to others
}

// copyOn returns the copy on a connection, and whether there is one.
func (e *pendingEnd) copyOn(conn *connection) (endCopy, bool) {
	for _, written := range e.copies {
		if written.conn == conn {
			return written, true
		}
	}
	return endCopy{}, false
}

// bestStanding is the highest standing of the connections that have a copy, 0 without one.
func (e *pendingEnd) bestStanding() standing {
	var best standing
	for _, written := range e.copies {
		best = max(best, written.conn.standing())
	}
	return best
}

// mayCopy reports whether one more connection of that standing may get a copy.
func (e *pendingEnd) mayCopy(level standing) bool {
	if level == standingCaller {
		return e.callerCopies < maxCopies
	}
	return e.otherCopies < maxCopies
}

// recordCopy notes a copy that was written.
func (e *pendingEnd) recordCopy(conn *connection, now int64) {
	e.copies = append(e.copies, endCopy{conn: conn, at: now})
	if conn.standing() == standingCaller {
		e.callerCopies++
	} else {
		e.otherCopies++
	}
}

// pendingEnds are the ends that wait for a verified connection, the one that has waited longest first, of each call
// one.
type pendingEnds struct {
	queue []*pendingEnd
	byID  map[string]*pendingEnd
}

func newPendingEnds() *pendingEnds { return &pendingEnds{byID: map[string]*pendingEnd{}} }

func (p *pendingEnds) count() int { return len(p.queue) }

// find returns the pending end of a call, nil if there is none.
func (p *pendingEnds) find(id string) *pendingEnd { return p.byID[id] }

// add adds the end of a call that has none yet. It returns the end that was dropped for it, nil if there was room.
func (p *pendingEnds) add(end callEnd) (dropped *pendingEnd) {
	if len(p.queue) >= maxPendingEnds {
		dropped = p.queue[0]
		p.removeFirst(1)
	}
	added := &pendingEnd{callEnd: end}
	p.queue = append(p.queue, added)
	p.byID[end.id] = added
	return dropped
}

// removeFirst removes the first n ends.
func (p *pendingEnds) removeFirst(n int) {
	for _, end := range p.queue[:n] {
		delete(p.byID, end.id)
	}
	p.queue = slices.Delete(p.queue, 0, n)
}

// remove removes one end.
func (p *pendingEnds) remove(end *pendingEnd) {
	delete(p.byID, end.id)
	p.queue = slices.DeleteFunc(p.queue, func(other *pendingEnd) bool { return other == end })
}

// unnotified is the number of ends that neither a connection of callers nor another process has.
func (p *pendingEnds) unnotified() (count int) {
	for _, end := range p.queue {
		if !end.relayed && end.callerCopies == 0 {
			count++
		}
	}
	return count
}

// forgetCopies forgets the copies on a connection that has closed: nobody may have read them.
func (p *pendingEnds) forgetCopies(conn *connection) {
	for _, end := range p.queue {
		end.copies = slices.DeleteFunc(end.copies, func(written endCopy) bool { return written.conn == conn })
	}
}
