package endpointlist

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// AddressChange is what a new configuration says of the list: where it is now, and events that may be new.
type AddressChange struct {
	Address string // "" for none
	Known   Page
}

// Config is what Watch works with.
type Config struct {
	Address  string               // of the list's server, host:port; "": wait for a change
	Known    Page                 // the events that were delivered already
	Changes  <-chan AddressChange // moves to another address; nil: none come
	Clock    *clock.Clock
	Log      zerolog.Logger
	Counters *telemetry.Counters // nil does without
	Deliver  func(Event)         // is called with each event, by one goroutine at a time
	// ReadAtOnce has the first poll answered at once, whether there are later events or not; OnRead, where it is not nil,
	// is called after each answer whose events were delivered.
	ReadAtOnce bool
	OnRead     func()
}

// Watch delivers each event that is later than the known ones, in order and once each, until ctx is done. After an
// AddressChange it polls elsewhere; the versions continue. Where the versions go back, it delivers what the list has
// and was not delivered before, except for what a later event has outdated.
func Watch(ctx context.Context, cfg Config) {
	newWatcher(cfg).follow(ctx, cfg.Address, cfg.Changes)
}

// watcher is what Watch keeps from one address to the next. One goroutine at a time uses it.
type watcher struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	version  int64 // of the last event
	guard    versionGuard
	clock    *clock.Clock
	log      zerolog.Logger
	counters *telemetry.Counters
	deliver  func(Event)
	wait     time.Duration // of the next poll
	onRead   func()

	latestPoll pollID // the one that began last
	// asOf is the poll that had begun last when the version was read: the answer to one that began later is newer.
	asOf pollID
}

func newWatcher(cfg Config) *watcher {
	w := &watcher{
		dial:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		version:  cfg.Known.Version,
		clock:    cfg.Clock,
		log:      cfg.Log,
		counters: cfg.Counters,
		deliver:  cfg.Deliver,
		wait:     pollWait,
		onRead:   cfg.OnRead,
	}
	if cfg.ReadAtOnce {
		w.wait = noWait
	}
	for _, event := range cfg.Known.Events {
		w.guard.seen(event)
		w.guard.pass(event, cfg.Known.versionOf(event))
		w.version = max(w.version, event.Version)
	}
	return w
}

// follow polls at address, and where changes lead, until ctx is done.
func (w *watcher) follow(ctx context.Context, address string, changes <-chan AddressChange) {
	for ctx.Err() == nil {
		polling, stop := context.WithCancel(ctx)
		var poller sync.WaitGroup
		if address != "" {
			poller.Go(func() { w.poll(polling, address) })
		}
		select {
		case <-ctx.Done():
		case change := <-changes:
			address = change.Address
			// The poll at the old address, which may last, is ended before anything else is delivered.
			stop()
			poller.Wait()
			w.apply(change.Known)
		}
		stop()
		poller.Wait()
	}
}

// apply delivers the events of a page that are later than the last and were not delivered before. Several may have one
// version.
func (w *watcher) apply(page Page) {
	last := w.version
	for _, event := range page.Events {
		if event.Version <= last && event.Version != 0 {
			continue
		}
		w.version = max(w.version, event.Version)
		if w.guard.seen(event) {
			continue
		}
		w.counters.Add(telemetry.EndpointListEvents)
		w.deliver(w.guard.pass(event, page.versionOf(event)))
	}
	w.version = max(w.version, page.Version)
}

// take applies the answer to a poll, while latest is the poll that began last. It reports whether the list's versions
// have gone back.
//
// Polls are open beside each other, and their answers may come in any order. Only the answer to a poll that began after
// the version was read proves that the versions have gone back: any other may just be older.
func (w *watcher) take(answered, latest pollID, page Page) (wentBack bool) {
	switch {
	case page.Version >= w.version:
		w.apply(page)
		w.asOf = latest
	case answered > w.asOf:
		w.rewind(page)
		w.asOf = latest
		wentBack = true
	}
	if w.onRead != nil {
		w.onRead()
	}
	return wentBack
}

// rewind applies a page of a list whose versions have gone back: it was started anew, or lags.
//
// It was polled for later events than it has, so it may have sent none of them, or only the last. Unless it sent them
// from the first on, the next poll asks for all: without that, some would never be delivered.
func (w *watcher) rewind(page Page) {
	w.log.Warn().Int64("version", page.Version).Int64("after", w.version).Msg("endpoint list versions went back")
	w.version = 0
	w.apply(page)
	if len(page.Events) == 0 || page.versionOf(page.Events[0]) > 1 {
		w.version = 0
	}
}
