package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/handover/rendezvous"
)

const (
	// callIDQueue bounds the ids that wait to be told. If there are more, all that are known are told anew.
	callIDQueue = 1024
	// maxPendingCallIDs bounds the ids that come before the controller is there.
	maxPendingCallIDs = 16384
	// callIDRetryDelay is until a process that did not read is told again.
	callIDRetryDelay = 20 * time.Millisecond
)

// callIDs tells the other process of the controller under which ids calls were set up here, and takes those of the
// other one: an id names one call of the controller, whichever process has it. A goroutine of its own sends them, so
// that a process that does not read holds up nobody.
type callIDs struct {
	log         zerolog.Logger
	queue       chan string
	wakeup      chan struct{} // capacity 1
	link        atomic.Pointer[rendezvous.Link]
	snapshotDue atomic.Bool

	mu         sync.Mutex
	controller Controller // nil before Start
	pending    []string   // received before that
}

func newCallIDs(log zerolog.Logger) *callIDs {
	return &callIDs{log: log, queue: make(chan string, callIDQueue), wakeup: make(chan struct{}, 1)}
}

// announce takes an id under which a call is set up from now on. It waits for nothing.
func (c *callIDs) announce(id string) {
	if c.link.Load() == nil {
		return
	}
	select {
	case c.queue <- id:
	default:
		c.snapshotDue.Store(true)
	}
}

// share tells another process all ids that are known, and those that come.
func (c *callIDs) share(link *rendezvous.Link) {
	c.link.Store(link)
	c.snapshotDue.Store(true)
	c.wake()
}

// stopSharing ends the sharing with a process that has ended, unless another one has taken its place.
func (c *callIDs) stopSharing(link *rendezvous.Link) { c.link.CompareAndSwap(link, nil) }

func (c *callIDs) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// take takes ids of the other process.
func (c *callIDs) take(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controller != nil {
		c.controller.CallIDsTaken(ids)
		return
	}
	room := maxPendingCallIDs - len(c.pending)
	c.pending = append(c.pending, ids[:min(room, len(ids))]...)
}

// start hands over the ids that came before the controller.
func (c *callIDs) start(controller Controller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller = controller
	controller.CallIDsTaken(c.pending)
	c.pending = nil
}

// run sends ids until ctx is done.
func (c *callIDs) run(ctx context.Context, controller Controller) {
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	var unsent []string
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.queue:
			unsent = c.drain(append(unsent, id))
		case <-c.wakeup:
		case <-retry.C:
		}
		if c.snapshotDue.Swap(false) {
			unsent = controller.KnownCallIDs()
		}
		if unsent = c.send(unsent); len(unsent) > 0 {
			retry.Reset(callIDRetryDelay)
		}
	}
}

// drain appends the ids that wait. If so many are unsent that the queue is no bound any more, all are told anew.
func (c *callIDs) drain(unsent []string) []string {
	for len(c.queue) > 0 {
		unsent = append(unsent, <-c.queue)
	}
	if len(unsent) > maxPendingCallIDs {
		c.snapshotDue.Store(true)
		return nil
	}
	return unsent
}

// send sends ids and returns those that are to be sent later. Without another process there are none.
func (c *callIDs) send(ids []string) (unsent []string) {
	link := c.link.Load()
	for len(ids) > 0 && link != nil {
		part := ids[:min(len(ids), rendezvous.MaxCallIDs)]
		sent, err := link.Offer(rendezvous.Message{Kind: rendezvous.CallIDs, CallIDs: part})
		if err != nil {
			c.log.Warn().Err(err).Msg("ids of calls not passed on")
			c.stopSharing(link)
			return nil
		}
		if !sent {
			return ids
		}
		ids = ids[len(part):]
	}
	return nil
}
