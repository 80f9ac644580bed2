package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/telemetry"
)

const (
	// verifiedWait is how long the end of a call waits for a connection that has set up calls when others are open: it
	// must be delivered within 1 s.
	verifiedWait = 400 * time.Millisecond
	// maxCopiesOnConnection bounds the ends that are copied to a connection that is not verified: it may be a
	// stranger's, who reads nothing.
	maxCopiesOnConnection = 64
)

// endDelivery delivers the ends of calls to callers: on the call's own connection where that is still there, otherwise
// on the youngest verified one. An end that no verified connection has taken stays pending. Copies of it go to
// connections that have set up calls, and after a while to others, so that it is delivered in time where a caller's
// connection is not verified yet. The table's mutex guards it.
type endDelivery struct {
	mu          *sync.Mutex // the table's, for the timer
	clock       Clock
	connections *connectionRegistry
	counters    *telemetry.Counters
	log         zerolog.Logger
	relay       func(id string, cause int) bool // nil: there is never another process
	pending     *pendingEnds
	timer       *time.Timer // nil before it is first needed
	timerDue    int64       // 0: not running
	stopped     bool
}

// deliver delivers an end, on the preferred connection if it can.
func (d *endDelivery) deliver(preferred *connection, end callEnd) {
	if d.connections.contains(preferred) && d.deliverOn(preferred, end) {
		return
	}
	d.enqueue(end)
}

// deliverOn delivers an end on a connection and remembers it for a while.
func (d *endDelivery) deliverOn(conn *connection, end callEnd) bool {
	if !conn.CallEnded(end.id, end.cause) {
		return false
	}
	d.counters.Add(telemetry.ReleasesOut)
	conn.rememberDelivered(d.clock.Now(), end)
	return true
}

// enqueue has an end delivered on whatever connection takes it.
func (d *endDelivery) enqueue(end callEnd) {
	if d.pending.find(end.id) != nil {
		return
	}
	if dropped := d.pending.add(end); dropped != nil {
		d.counters.Add(telemetry.ReleasesDropped)
		d.log.Warn().Str("call", dropped.id).Msg("call end dropped, too many wait for a caller's connection")
	}
	d.deliverPending()
	if left := d.pending.find(end.id); left != nil {
		left.waited = true
		d.counters.Add(telemetry.ReleasesPending)
		if d.pending.count() == 1 { // releases_kept counts the others
			d.log.Info().Str("call", end.id).Msg("call ends wait for a caller's connection")
		}
	}
}

// deliverInBatch delivers an end on a connection that may get more of them now, and reports whether it did.
func (d *endDelivery) deliverInBatch(conn *connection, end callEnd, now int64) bool {
	if conn.batch.isFull(now) || !d.deliverOn(conn, end) {
		return false
	}
	conn.batch.add(now)
	return true
}

// relayPending passes the pending ends on to another process, whose connections may be verified. They stay pending
// here: an end that is delivered twice says nothing new.
func (d *endDelivery) relayPending() {
	if d.relay == nil {
		return
	}
	for _, end := range d.pending.queue {
		if end.relayed {
			continue
		}
		if !d.relay(end.id, end.cause) {
			return
		}
		end.relayed = true
	}
}

// relayAgain passes all pending ends on to a process that serves from now on. What was passed on earlier went to one
// that may have ended with it.
func (d *endDelivery) relayAgain() {
	for _, end := range d.pending.queue {
		end.relayed = false
	}
	d.relayPending()
}

// deliverPending delivers the pending ends, or copies them, as far as that is due.
func (d *endDelivery) deliverPending() { d.deliverPendingTo(nil) }

// deliverPendingTo is deliverPending where a connection was just opened, or its first set-up admitted: it may be the
// first one that is a caller's.
func (d *endDelivery) deliverPendingTo(newcomer *connection) {
	if d.pending.count() == 0 || d.stopped {
		return
	}
	now := d.clock.Now()
	waited, goesOn := d.deliverVerified(now)
	if waited > 0 {
		d.log.Info().Int("ends", waited).Int("waiting", d.pending.count()).Msg("pending call ends delivered")
	}
	if !goesOn {
		d.copyPending(newcomer, now)
		d.relayPending()
	}
	d.schedule(now, goesOn)
}

// copyPending copies the pending ends to connections that are not verified, as far as that is due.
func (d *endDelivery) copyPending(newcomer *connection, now int64) {
	if d.connections.count() == 0 {
		return
	}
	copied := d.copyToNewcomer(newcomer, now) + d.copyToYoungest(now)
	if copied > 0 {
		d.log.Info().Int("copies", copied).Int("waiting", d.pending.count()).
			Msg("pending call ends copied to unverified connections")
	}
}

// deliverVerified delivers the pending ends on the youngest verified connections: they are the least likely to be
// closed right now. It returns how many were delivered that had waited, and whether such a connection takes more of
// them soon.
func (d *endDelivery) deliverVerified(now int64) (waited int, goesOn bool) {
	for _, conn := range slices.Backward(d.connections.inOrder) {
		if d.pending.count() == 0 {
			return waited, false
		}
		if conn.standing() != standingVerified {
			continue
		}
		waited += d.deliverBatch(conn, now)
		goesOn = goesOn || conn.batch.isFull(now)
	}
	return waited, goesOn && d.pending.count() > 0
}

// deliverBatch delivers the first pending ends on a verified connection, and returns how many of them had waited.
func (d *endDelivery) deliverBatch(conn *connection, now int64) (waited int) {
	delivered := 0
	for _, end := range d.pending.queue {
		if !d.confirmCopy(conn, end) && !d.deliverInBatch(conn, end.callEnd, now) {
			break
		}
		delivered++
		if end.waited {
			waited++
		}
	}
	d.pending.removeFirst(delivered)
	return waited
}

// confirmCopy counts the copy of an end on a connection that is verified by now as its delivery, and reports whether
// there is one.
func (d *endDelivery) confirmCopy(conn *connection, end *pendingEnd) bool {
	written, copied := end.copyOn(conn)
	if copied {
		d.counters.Add(telemetry.ReleasesOut)
		conn.rememberDelivered(written.at, end.callEnd)
	}
	return copied
}

// deliverBefore delivers the pending end of an earlier call on the verified connection that sets up another one under
// its id: later it would be taken for the end of that one. Another connection may have the id from a copy.
func (d *endDelivery) deliverBefore(conn *connection, id string) {
	end := d.pending.find(id)
	if end != nil && conn.standing() == standingVerified && d.deliverOn(conn, end.callEnd) {
		d.pending.remove(end)
	}
}

// copyToNewcomer copies the pending ends to a connection that has just set up a call, and the overdue ones to one that
// was just opened: its first message may take longer than the end may. It returns how many were copied.
func (d *endDelivery) copyToNewcomer(newcomer *connection, now int64) (copied int) {
	if newcomer == nil {
		return 0
	}
	for _, end := range d.pending.queue {
		if (newcomer.standing() == standingCaller || isOverdue(end, now)) && d.copyTo(newcomer, end, now) {
			copied++
		}
	}
	return copied
}

// copyToYoungest copies each pending end to the youngest connection that has set up calls, or, once it is overdue, to
// the youngest other one, unless one that has shown as much has a copy already. It returns how many were copied.
func (d *endDelivery) copyToYoungest(now int64) (copied int) {
	lowest := standingCaller
	if slices.ContainsFunc(d.pending.queue, func(end *pendingEnd) bool { return isOverdue(end, now) }) {
		lowest = standingFaulty
	}
	candidates := d.copyCandidates(lowest)
	for _, end := range d.pending.queue {
		best := end.bestStanding()
		for level := standingCaller; level > best; level-- {
			if level < standingCaller && !isOverdue(end, now) || !end.mayCopy(level) {
				continue
			}
			isTaken := func(conn *connection) bool { return d.copyTo(conn, end, now) }
			if slices.ContainsFunc(candidates[level], isTaken) {
				copied++
				break
			}
		}
	}
	return copied
}

// copyCandidates are the connections from that standing on that may get copies, the youngest first, by standing.
func (d *endDelivery) copyCandidates(lowest standing) (candidates [standingVerified][]*connection) {
	for _, conn := range slices.Backward(d.connections.inOrder) {
		level := conn.standing()
		if lowest <= level && level < standingVerified && conn.copies < maxCopiesOnConnection {
			candidates[level] = append(candidates[level], conn)
		}
	}
	return candidates
}

// copyTo copies a pending end to a connection that is not verified, and reports whether it did.
func (d *endDelivery) copyTo(conn *connection, end *pendingEnd, now int64) bool {
	if conn.standing() == standingVerified || conn.copies >= maxCopiesOnConnection || conn.batch.isFull(now) {
		return false
	}
	if _, copied := end.copyOn(conn); copied || !end.mayCopy(conn.standing()) {
		return false
	}
	if !conn.CallEnded(end.id, end.cause) {
		return false
	}
	d.counters.Add(telemetry.ReleasesUnverified)
	conn.copies++
	conn.batch.add(now)
	end.recordCopy(conn, now)
	return true
}

// closed has the ends delivered elsewhere that crossed the closing of a connection: they were written, and nobody read
// them. Where somebody did, a second delivery says nothing new.
func (d *endDelivery) closed(conn *connection) {
	if conn.copies > 0 {
		d.pending.forgetCopies(conn)
		d.deliverPending()
	}
	now := d.clock.Now()
	for _, end := range conn.delivered {
		if now-end.at <= unreadWindowMicros {
			d.enqueue(end.callEnd)
		}
	}
}

// isOverdue reports whether an end has waited so long that it goes to any connection.
//
// The time counts from the end of the call. Without that, an end that was delivered in time and lost with its
// connection would wait a second time.
func isOverdue(end *pendingEnd, now int64) bool { return duration(now-end.endedAt) >= verifiedWait }

// schedule has deliverPending called again when more of the ends are due: the next batch, or the copies of those that
// become overdue.
func (d *endDelivery) schedule(now int64, nextBatch bool) {
	due := int64(0)
	if nextBatch {
		due = now + endBatchInterval.Microseconds()
	} else if d.connections.count() > 0 {
		due = d.nextOverdue(now)
	}
	if due == 0 || d.timerDue != 0 && d.timerDue <= due {
		return
	}
	d.timerDue = due
	if d.timer == nil {
		d.timer = time.AfterFunc(duration(due-now), d.timerFired)
		return
	}
	d.timer.Reset(duration(due - now))
}

// nextOverdue is when the next end becomes overdue that has no copy, or only copies on faulty connections, 0 without
// one.
func (d *endDelivery) nextOverdue(now int64) (due int64) {
	for _, end := range d.pending.queue {
		at := end.endedAt + verifiedWait.Microseconds()
		if at > now && end.bestStanding() < standingUnknown && (due == 0 || at < due) {
			due = at
		}
	}
	return due
}

func (d *endDelivery) timerFired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerDue = 0
	d.deliverPending()
}

// stop ends the delivery. What no caller has got by then is lost, but for what another process has.
func (d *endDelivery) stop() {
	if d.stopped {
		return
	}
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
	if lost := d.pending.unnotified(); lost > 0 {
		d.counters.AddN(telemetry.ReleasesDropped, int64(lost))
		d.log.Warn().Int("ends", lost).Msg("pending call ends dropped at the stop, no connection of callers took them")
	}
}
