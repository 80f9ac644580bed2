package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/platformfile"
	"eidertrail/internal/trial/faultproxy"
)

// poolState is a pool's state in the endpoint list.
type poolState string

const (
	stateUp       poolState = "up"
	stateDraining poolState = "draining"
	stateRemoved  poolState = "removed"
)

// The times by which an event counts as notified, if it was not delivered earlier.
const (
	notifiedAnyway      = 7 * time.Second // after the event
	notifiedAfterReturn = 6 * time.Second // after the list's server had it and could be reached
	notifiedAfterMove   = 4 * time.Second // after SIGHUP
	// maxListWait bounds how long the server holds a poll.
	maxListWait = 5 * time.Second
	// oldAddressStays is how long the connections of an address that the list has left stay open.
	oldAddressStays = 1500 * time.Millisecond
)

// listEvent is an event of the endpoint list of one process.
type listEvent struct {
	item     platformfile.Item
	notified int64 // when it counts as notified by what happened until now, µs
}

// closes reports whether the event's pool drains or is removed.
func (e *listEvent) closes() bool { return e.item.Roster.Targets[0].State != string(stateUp) }

// list is the endpoint list of one process: an HTTP server behind a link for each address that it had.
type list struct {
	world   *world
	process *process
	server  *http.Server
	backend string

	mu         sync.Mutex
	events     []*listEvent
	changed    chan struct{} // closed and replaced at each event
	generation int
	links      []*faultproxy.Link
	faults     int // that keep the list from being read
	breaks     int // answers that are broken off next
}

func newList(w *world, p *process) (*list, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a listener on loopback waits for nothing
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	l := &list{world: w, process: p, backend: listener.Addr().String(), changed: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: maxListWait}
	go func() { _ = l.server.Serve(listener) }() // until it is closed
	p.list = l
	return l, l.open()
}

// open opens the list's address of this generation.
func (l *list) open() error {
	link, err := faultproxy.Listen(l.world.network.list(l.process.index, l.generation), l.backend, noTap{})
	if err != nil {
		return err
	}
	l.links = append(l.links, link)
	return nil
}

// noTap observes nothing.
type noTap struct{}

func (noTap) Sent(uint64, []byte, time.Time) {}
func (noTap) Delivering(uint64, []byte)      {}
func (noTap) Delivered(uint64, []byte)       {}
func (noTap) Ended(uint64)                   {}

// add adds an event.
func (l *list) add(pool int, uid string, startedAt time.Time, state poolState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.world.now()
	version := len(l.events) + 1
	event := &listEvent{
		item: platformfile.Item{Version: version, Roster: platformfile.Roster{
			All: version == 1,
			Targets: []platformfile.Target{{
				UID:      uid,
				Endpoint: l.world.network.link(l.process.index, pool),
				State:    string(state),
				BootMS:   startMillis(startedAt),
			}},
		}},
		notified: now + notifiedAnyway.Microseconds(),
	}
	if l.faults == 0 {
		event.notified = min(event.notified, now+notifiedAfterReturn.Microseconds())
	}
	l.events = append(l.events, event)
	close(l.changed)
	l.changed = make(chan struct{})
}

func startMillis(startedAt time.Time) int64 {
	if startedAt.IsZero() {
		return 0
	}
	return startedAt.UnixMilli()
}

// known is what a process that starts now is given. It counts as delivered.
func (l *list) known() platformfile.Known {
	l.mu.Lock()
	now := l.world.now()
	for _, event := range l.events {
		event.notified = min(event.notified, now)
	}
	l.mu.Unlock()
	return l.present()
}

// present is the whole list as it is now.
func (l *list) present() platformfile.Known {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := platformfile.Known{Version: len(l.events)}
	for _, event := range l.events {
		present.Items = append(present.Items, event.item)
	}
	return present
}

// address is where the list is now.
func (l *list) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.world.network.list(l.process.index, l.generation)
}

// replaced notes that another process serves in the place of the list's: all that the list has counts as notified soon,
// whether it can be reached or not.
func (l *list) replaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachable(notifiedAfterUpgrade)
}

// serve answers a poll.
func (l *list) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	waitMillis, waitErr := strconv.Atoi(r.URL.Query().Get("patience"))
	if err != nil || waitErr != nil || r.URL.Path != "/bulletins" {
		http.Error(w, "want /bulletins?after=N&patience=MS", http.StatusBadRequest)
		return
	}
	wait, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMillis)*time.Millisecond, maxListWait))
	defer cancel()
	page, broken := l.await(wait, after)
	text, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if broken {
		_, _ = w.Write(text[:len(text)/2]) // the rest never comes
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(text); err == nil {
		l.delivered(page.Version)
	}
}

// await returns the events after a version once there are any, or none when ctx is done; broken says that the answer is
// to be broken off.
func (l *list) await(ctx context.Context, after int) (page platformfile.Known, broken bool) {
	for {
		l.mu.Lock()
		page = platformfile.Known{Version: len(l.events)}
		for _, event := range l.events[min(after, len(l.events)):] {
			page.Items = append(page.Items, event.item)
		}
		broken = len(page.Items) > 0 && l.breaks > 0
		if broken {
			l.breaks--
		}
		changed := l.changed
		l.mu.Unlock()
		if len(page.Items) > 0 {
			return page, broken
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, false
		}
	}
}

// delivered notes that the process was sent the events up to a version. Through a fault the answer may not have come.
func (l *list) delivered(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults > 0 {
		return
	}
	now := l.world.now()
	for _, event := range l.events[:min(version, len(l.events))] {
		event.notified = min(event.notified, now)
	}
}

// closedFor returns for how long a pool counts as notified to drain or to be removed, µs, negative where it does not.
func (l *list) closedFor(now int64, uid string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := never
	for _, event := range l.events {
		if event.item.Roster.Targets[0].UID != uid {
			continue
		}
		if !event.closes() {
			since = never // it is back, whether the process was notified or not
		} else if since == never {
			since = event.notified
		}
	}
	return now - since
}

// fault has the list unreadable for a while.
func (l *list) fault(ctx context.Context, mode faultproxy.Mode, duration time.Duration) {
	l.mu.Lock()
	l.faults++
	link := l.links[len(l.links)-1]
	l.mu.Unlock()
	if err := link.SetMode(mode); err != nil {
		return
	}
	sleep(ctx, duration)
	err := link.SetMode(faultproxy.Pass)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults--
	if err == nil && l.faults == 0 {
		l.reachable(notifiedAfterReturn)
	}
}

// reachable notes that the list can be read again, and by when that tells all that it has. The caller holds mu.
func (l *list) reachable(within time.Duration) {
	due := l.world.now() + within.Microseconds()
	for _, event := range l.events {
		event.notified = min(event.notified, due)
	}
}

// breakOff has the next answers with events broken off.
func (l *list) breakOff(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks += count
}

// move opens another address for the list. The one before takes no new connection and ends the open ones later. It
// returns once the new one is open; the process has to be notified of it.
func (l *list) move(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.links[len(l.links)-1]
	l.generation++
	if err := l.open(); err != nil {
		return err
	}
	l.world.tasks.Go(func() {
		sleep(ctx, oldAddressStays)
		old.Close()
	})
	return nil
}

// moved notes that the process was notified of the new address.
func (l *list) moved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == 0 {
		l.reachable(notifiedAfterMove)
	}
}

func (l *list) close() {
	l.server.Close()
	l.mu.Lock()
	links := l.links
	l.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}
