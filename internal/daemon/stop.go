package daemon

import (
	"context"
	"os"
	"sync"
	"time"

	"eidertrail"
)

const (
	// acceptAfterStop is how long after a signal to stop set-ups are still accepted.
	acceptAfterStop = 700 * time.Millisecond
	// killDelay and maxKillDeadline give when the platform may send SIGKILL after SIGTERM: after the longest deadline
	// of the classes, counted as maxKillDeadline where it is longer, plus killDelay (the platform's DEPLOY page).
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// drainMargin is how long before SIGKILL the last answer must be written.
	drainMargin = 400 * time.Millisecond
	// finalWriteTimeout is how long the last lines may take to be written.
	finalWriteTimeout = 200 * time.Millisecond
)

// Signals are what the daemon is asked from outside.
type Signals struct {
	Terminate   chan os.Signal // stop in order
	LogCounters chan os.Signal
	Reload      chan os.Signal // read the files again
}

// Serve runs until a signal on Terminate, and then stops in order. It returns an error if another process had an
// address of this one for longer than a start may take.
func (d *Daemon) Serve(signals Signals) error {
	for {
		select {
		case <-signals.Reload:
			d.reload()
		case <-signals.LogCounters:
			d.logCounters()
		case err := <-d.handover.Failed():
			d.stop(0)
			return err
		case signal := <-signals.Terminate:
			d.log.Info().Stringer("signal", signal).Int("open", d.calls.PendingSetups()).
				Int("standing", d.calls.EstablishedCalls()).Msg("stopping")
			d.stop(d.acceptAfterStop())
			return nil
		}
	}
}

// acceptAfterStop is how long after a signal to stop set-ups are still accepted. Nobody sends any to a process that has
// not served yet.
func (d *Daemon) acceptAfterStop() time.Duration {
	if !d.servingLogged.Load() {
		return 0
	}
	return acceptAfterStop
}

// drainTimeout is how long after the signal the last answer may take: until drainMargin before the earliest SIGKILL. A
// fixed time would let SIGKILL come with answers pending where all classes' deadlines are short.
func drainTimeout(classes []eidertrail.Class) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return max(min(longest, maxKillDeadline)+killDelay-drainMargin, acceptAfterStop)
}

// stop ends the daemon in this order:
//
//  1. Readiness fails, and the WebSocket front begins to drain. Another process of this controller accepts from now on,
//     if there is one. The platform's callers may send set-ups for the time given, as they learn of the stop late.
//  2. The listener closes once every connection that was made has been accepted. Every set-up that was taken gets its
//     final answer, at the latest a rejection when the drain's time is over, and the answers are written.
//  3. The controller leaves the fleet, before it stops to answer the other members.
//  4. The dispatcher, the pools and the sources of endpoints end. The sources are waited for before anything is closed,
//     so that they apply no more changes to the pools.
//  5. Connections and call control's listeners close, and every goroutine is waited for.
func (d *Daemon) stop(accept time.Duration) {
	d.lifecycle.Stop(d.clock.Now(), accept.Microseconds())
	d.handover.Terminate()
	d.drainCalls(accept)
	member := d.member.current()
	if member != nil {
		member.gossip.Leave()
	}
	d.stopLoop()
	d.stopPools()
	if d.sources != nil {
		<-d.sources.done
	}
	d.calls.Close()
	d.callers.Close()
	d.closeAll()
	d.handover.Close()
	d.pools.Wait()
	d.goroutines.Wait()
	if member != nil {
		d.member.yield()
	}
	d.logCounters()
	d.log.Info().Msg("stopped")
}

// drainCalls accepts set-ups for the time given, and then waits until every call has its final answer.
func (d *Daemon) drainCalls(accept time.Duration) {
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout(d.cfg.Settings.Classes))
	defer cancel()
	var sockets sync.WaitGroup
	if d.sockets != nil {
		sockets.Go(func() { d.sockets.Shutdown(drain) })
	}
	time.Sleep(accept)
	d.callers.CatchUp()
	_ = d.listener.Close() // the other process of this controller, if there is one, has its own descriptor
	d.handover.ListenersClosed()
	d.callers.Drain(drain)
	d.calls.AbortPending() // what has no final answer by now gets one
	finalWrite, cancelFinalWrite := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancelFinalWrite()
	d.callers.Drain(finalWrite)
	sockets.Wait()
}
