// Package bulletin follows the list of sync pools: numbered events, of which
// the configuration holds the first and a long poll brings the rest.
package endpointlist

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// State is what the bulletin says of a sync pool.
type State int

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// Endpoint is one sync pool of the list. UID names it; its address may once have been another's.
type Endpoint struct {
	UID       string
	Address   string
	Group     int    // the number by which calls and classes name it
	Zone      string // its availability zone ("az"), "" if not told
	StartedAt int64  // clock reading of a late start, or 0
	State     State
}

// Event is one change. With All it is the whole list: a pool that is not in it is gone.
type Event struct {
	Version   int64
	Snapshot  bool
	Endpoints []Endpoint
}

// Page is an answer of the bulletin: the number of the last event, and the events, in the order of their numbers.
type Page struct {
	Version int64
	Events  []Event
}

// ErrInvalidEndpoint tells that a pool of a page makes no sense. The page holds the others.
var ErrInvalidEndpoint = errors.New("bulletin: a pool that makes no sense")

// ParsePage reads an answer of the bulletin. Items of other kinds are passed over, as are pools of an
// unknown state. With ErrPool the page may be used all the same: a drain whose address makes no sense is in it, with
// no address.
func ParsePage(text []byte, now *clock.Clock) (Page, error) {
	var p Page
	if !gjson.ValidBytes(text) {
		return p, fmt.Errorf("bulletin: not valid JSON")
	}
	root := gjson.ParseBytes(text)
	no := root.Get("no")
	if no.Type != gjson.Number {
		return p, fmt.Errorf("bulletin: no: want a number")
	}
	p.Version = no.Int()
	var bad error
	for i, item := range root.Get("items").Array() {
		roster := item.Get("roster")
		if !roster.Exists() {
			continue
		}
		e := Event{Version: item.Get("no").Int(), Snapshot: roster.Get("all").Bool()}
		for j, t := range roster.Get("targets").Array() {
			pool := Endpoint{
				UID: t.Get("uid").Str, Address: t.Get("endpoint").Str,
				Group: int(t.Get("pod_group").Int()), StartedAt: now.FromUnixMilli(t.Get("boot_ms").Int()), Zone: t.Get("az").Str,
			}
			switch t.Get("state").Str {
			case "up":
			case "draining":
				pool.State = Draining
			case "removed":
				pool.State = Removed
			default:
				continue
			}
			if pool.UID == "" {
				bad = fmt.Errorf("%w: items[%d].roster.targets[%d].uid: absent", ErrInvalidEndpoint, i, j)
				continue
			}
			if _, _, err := net.SplitHostPort(pool.Address); err != nil && pool.State != Removed {
				bad = fmt.Errorf("%w: items[%d].roster.targets[%d].endpoint: %.40q is not address:port", ErrInvalidEndpoint, i, j, pool.Address)
				// Guards against a drain that counts as told being passed over for an address that it does not need.
				if pool.Address = ""; pool.State != Draining {
					continue
				}
			}
			e.Endpoints = append(e.Endpoints, pool)
		}
		p.Events = append(p.Events, e)
	}
	// Guards against an event that comes after a later one on the page passing for one that was told already.
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(p.number(a), p.number(b)) })
	return p, bad
}

// number is the event's, or the page's for one that has none.
func (p Page) number(e Event) int64 { return cmp.Or(e.Version, p.Version) }

const (
	// patience is how long the bulletin is asked to wait for news. It is well under the 5 s that it allows: a
	// feed that has fallen silent is noticed no sooner than this wait is over.
	patience = 2 * time.Second
	// grace is how long after that the answer may take, and how long an answer may take that has begun.
	grace     = 700 * time.Millisecond
	mostBytes = 1 << 20
	// dialWithin is how long a connection to the bulletin may take to come up.
	dialWithin = time.Second
	retryMin   = 50 * time.Millisecond
	// retryMax is from the beginning of one try to the next: after an outage of any length the list is asked for that
	// long after the bulletin's return, or when a try that began before it is over, at the latest.
	//
	// Guards against a list that is caught up with up to a second later than it could be: what it has to tell counts as
	// told meanwhile, and sends to pools that drain are due to stop 0.5 s after that.
	retryMax = 250 * time.Millisecond
)

// AddressChange is what a new configuration says of the bulletin: where it is now, and events that may be news.
type AddressChange struct {
	Address string // "" for none
	Known   Page
}

// Watch calls tell with each event that is later than known, which was told already, in order and once each, until ctx
// is done. A Move has it ask elsewhere from then on; the numbers continue. Without an address it waits for one. When
// the numbers go back, what the bulletin has and did not tell before is told, but for what a later line has outdated.
func Watch(ctx context.Context, address string, known Page, moves <-chan AddressChange, now *clock.Clock, log zerolog.Logger, count *telemetry.Counters, tell func(Event)) {
	newWatch(known, now, log, count, tell).follow(ctx, address, moves)
}

func newWatch(known Page, now *clock.Clock, log zerolog.Logger, count *telemetry.Counters, tell func(Event)) *watch {
	w := &watch{after: known.Version, now: now, log: log, count: count, tell: tell, dial: (&net.Dialer{Timeout: dialWithin}).DialContext}
	for _, e := range known.Events {
		w.fence.seen(e)
		w.fence.pass(e, known.number(e))
		w.after = max(w.after, e.Version)
	}
	return w
}

// follow asks at address, and where moves lead, until ctx is done.
func (w *watch) follow(ctx context.Context, address string, moves <-chan AddressChange) {
	for ctx.Err() == nil {
		asking, stop := context.WithCancel(ctx)
		var asked sync.WaitGroup
		if address != "" {
			asked.Go(func() { w.ask(asking, address) })
		}
		select {
		case <-ctx.Done():
		case m := <-moves:
			address = m.Address
			// Guards against waiting at an address that tells nothing more.
			stop()
			asked.Wait()
			w.news(m.Known)
		}
		stop()
		asked.Wait()
	}
}

// watch is what Watch keeps from one address to the next.
type watch struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	after int64 // number of the last event
	fence fence
	now   *clock.Clock
	log   zerolog.Logger
	count *telemetry.Counters
	tell  func(Event)
}

// news tells the events of a page that are later than the last and were not told before. Several may have one number.
func (w *watch) news(p Page) {
	last := w.after
	for _, e := range p.Events {
		if e.Version > last || e.Version == 0 {
			w.after = max(w.after, e.Version)
			if w.fence.seen(e) {
				continue
			}
			w.count.Add(telemetry.EndpointListEvents)
			w.tell(w.fence.pass(e, p.number(e)))
		}
	}
	w.after = max(w.after, p.Version)
}

// back tells what a bulletin has whose numbers have gone back: it counts anew, or lags.
//
// Guards against events that are never told: it was asked for later ones than it has, so it may have sent none of
// them, or the last. Unless it sent them from the first on it is asked for all.
func (w *watch) back(p Page) {
	w.log.Warn().Int64("no", p.Version).Int64("after", w.after).Msg("bulletin counts anew")
	w.after = 0
	w.news(p)
	if len(p.Events) == 0 || p.number(p.Events[0]) > 1 {
		w.after = 0
	}
}

// ask asks at one address again and again until ctx is done.
func (w *watch) ask(ctx context.Context, address string) {
	// A transport of its own. Guards against a connection that comes up only after the move being kept, idle, for the next.
	transport := &http.Transport{DialContext: w.dial, MaxIdleConnsPerHost: 1, ReadBufferSize: 4096, WriteBufferSize: 1024}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	retry := retryMin
	for ctx.Err() == nil {
		began := w.now.Now()
		page, err := w.fetch(ctx, client, address)
		if errors.Is(err, ErrInvalidEndpoint) { // asking again would bring it again
			w.count.Add(telemetry.EndpointListErrors)
			w.log.Warn().Err(err).Msg("bulletin read in part")
			err = nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			w.count.Add(telemetry.EndpointListErrors)
			pause := max(retry-time.Duration(w.now.Now()-began)*time.Microsecond, retryMin)
			w.log.Warn().Err(err).Dur("again_in", pause).Msg("bulletin not read")
			sleep(ctx, pause)
			retry = min(2*retry, retryMax)
			continue
		}
		retry = retryMin
		stale := page.Version <= w.after
		if page.Version < w.after {
			w.back(page)
		} else {
			w.news(page)
		}
		// A bulletin that answers at once without news must not be asked in a tight loop.
		if stale && w.now.Now()-began < retryMin.Microseconds() {
			sleep(ctx, retryMin)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fetch asks once.
func (w *watch) fetch(ctx context.Context, client *http.Client, address string) (Page, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Guards against a bulletin that stops in the middle of an event and keeps the connection open: what it
	// has to tell counts as told whether it arrives or not.
	silent := time.AfterFunc(patience+grace, func() { cancel(errSilent) })
	defer silent.Stop()
	url := "http://" + address + "/bulletins?after=" + strconv.FormatInt(w.after, 10) +
		"&patience=" + strconv.FormatInt(patience.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	answer, err := client.Do(request)
	if err != nil {
		if context.Cause(ctx) == errSilent {
			err = errSilent
		}
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	defer answer.Body.Close()
	body := &firstByte{Reader: answer.Body, came: func() { silent.Reset(grace) }}
	text, err := io.ReadAll(io.LimitReader(body, mostBytes+1))
	if err != nil {
		if context.Cause(ctx) == errSilent {
			err = errSilent
		}
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("bulletin: status %d", answer.StatusCode)
	}
	if len(text) > mostBytes {
		return Page{}, fmt.Errorf("bulletin: an answer of over %d bytes", mostBytes)
	}
	return ParsePage(text, w.now)
}

var errSilent = errors.New("silent")

// firstByte calls came, once, when the first byte has come.
type firstByte struct {
	io.Reader
	came func()
}

// Read implements io.Reader.
func (f *firstByte) Read(b []byte) (int, error) {
	n, err := f.Reader.Read(b)
	if n > 0 && f.came != nil {
		f.came()
		f.came = nil
	}
	return n, err
}
