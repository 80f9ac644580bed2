package runner

import (
	"context"
	"time"

	"eidertrail/internal/handover"
	"eidertrail/internal/listener"
)

// open opens the listeners that this process does not have yet. Where another process has one, it is tried again, and a
// process that can hand it over is looked for once more.
func (r *Runner) open(now time.Time) {
	shared := r.machine.Predecessor() == handover.PredecessorUnlinked
	err := r.openMissing(shared)
	switch {
	case err == nil:
		r.opening = opening{}
		if shared {
			r.timers.sharingEnds = now.Add(sharingTimeout)
		}
		r.step(event{Event: handover.Event{Kind: handover.Opened}})
	case listener.MayPass(err) || r.machine.Accepting():
		r.addressTaken(now, err)
	default:
		r.fail(err)
	}
}

// addressTaken waits for an address, within OpenTimeout.
func (r *Runner) addressTaken(now time.Time, err error) {
	if r.opening.since.IsZero() {
		r.opening.since = now
	}
	waited := now.Sub(r.opening.since)
	if waited >= r.cfg.OpenTimeout && !r.machine.Accepting() {
		r.fail(&listener.TakenError{Waited: waited, Err: err})
		return
	}
	if now.Sub(r.opening.loggedAt) >= waitLogInterval {
		r.opening.loggedAt = now
		listener.LogTaken(r.log, err, waited)
	}
	if r.machine.Predecessor() != handover.PredecessorNone || r.mayPrepare {
		return
	}
	if waited >= unlinkedDelay && r.allShareable() {
		r.opening.wanted = false
		r.log.Warn().Msg("another process listens on this address and cannot be found: starting beside it")
		r.step(event{Event: handover.Event{Kind: handover.AddressShared}})
		return
	}
	if link, findErr := r.hello(); findErr == nil {
		r.opening = opening{}
		r.greeted(link)
	}
}

func (r *Runner) fail(err error) {
	r.opening.wanted = false
	select {
	case r.failed <- err:
	default: // the first one counts
	}
}

// openExclusively opens the listeners that this process does not have, on addresses that nobody else listens on.
func (r *Runner) openExclusively() error { return r.openMissing(false) }

// openMissing opens the listeners that this process does not have: all of them, or none.
func (r *Runner) openMissing(shared bool) error {
	openOne := listener.Open
	if shared {
		openOne = listener.OpenShared
	}
	var opened []*listener.Acceptor
	for _, one := range r.cfg.Listeners {
		acceptor := r.acceptors[one.Field]
		if acceptor.Attached() {
			continue
		}
		socket, err := openOne(context.Background(), one.Address)
		if err != nil {
			for _, other := range opened {
				other.Detach()
			}
			return one.Wrap(err)
		}
		if socket.NotShareable != nil {
			r.log.Warn().Err(socket.NotShareable).Str("field", one.Field).Msg("address cannot be shared with a later process")
		}
		acceptor.Attach(socket.TCPListener)
		opened = append(opened, acceptor)
		r.log.Info().Str("address", acceptor.Addr().String()).Str("field", one.Field).Msg("listening")
	}
	return nil
}

// allShareable reports whether every address that another process has lets this one listen, too.
func (r *Runner) allShareable() bool {
	for _, one := range r.cfg.Listeners {
		if !listener.Shareable(one.Address) {
			return false
		}
	}
	return true
}

// take takes the listeners that another process has passed, where they are at the addresses of this one's
// configuration.
func (r *Runner) take(sockets []passedSocket) {
	for _, socket := range sockets {
		acceptor := r.acceptors[socket.field]
		if acceptor.Attached() || socket.listener.Addr().String() != acceptor.Addr().String() {
			_ = socket.listener.Close() // its address has changed
			continue
		}
		acceptor.Attach(socket.listener)
		r.received = true
		r.log.Info().Str("address", acceptor.Addr().String()).Str("field", socket.field).Msg("listener taken over")
	}
}

// accept begins to accept connections. Listeners that were not passed are opened beside those of the other process.
func (r *Runner) accept() {
	if err := r.openMissing(true); err != nil {
		r.opening.wanted = true // the others serve meanwhile
		listener.LogTaken(r.log, err, 0)
	}
	for _, acceptor := range r.acceptors {
		acceptor.Resume()
	}
	if r.controller != nil {
		r.controller.Accepting()
	}
}

// pauseAccepting leaves the queue of connections to the other process. A listener that it does not hold is emptied and
// closed: nobody would accept what waits there.
func (r *Runner) pauseAccepting() {
	if r.passed || r.received {
		for _, acceptor := range r.acceptors {
			acceptor.Pause()
		}
		return
	}
	r.controller.CatchUp()
	for _, acceptor := range r.acceptors {
		acceptor.Detach()
	}
}
