// Package bulletin follows the list of sync pools: numbered events, of which
// the configuration holds the first and a long poll brings the rest.
package bulletin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"eidertrail/internal/clock"
	"eidertrail/internal/stats"
)

// State is what the bulletin says of a sync pool.
type State int

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// Pool is one sync pool of the list. UID names it; its address may once have been another's.
type Pool struct {
	UID     string
	Address string
	Group   int   // the number by which calls and classes name it
	Born    int64 // clock reading of a late start, or 0
	State   State
}

// Event is one change. With All it is the whole list: a pool that is not in it is gone.
type Event struct {
	No    int64
	All   bool
	Pools []Pool
}

// Page is an answer of the bulletin: the number of the last event, and the events.
type Page struct {
	No    int64
	Items []Event
}

// ErrPool tells that a pool of a page makes no sense. The page holds the others.
var ErrPool = errors.New("bulletin: a pool that makes no sense")

// ParsePage reads an answer of the bulletin. Items of other kinds are passed over, as are pools of an
// unknown state. With ErrPool the page may be used all the same.
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
	p.No = no.Int()
	var bad error
	for i, item := range root.Get("items").Array() {
		roster := item.Get("roster")
		if !roster.Exists() {
			continue
		}
		e := Event{No: item.Get("no").Int(), All: roster.Get("all").Bool()}
		for j, t := range roster.Get("targets").Array() {
			pool := Pool{
				UID: t.Get("uid").Str, Address: t.Get("endpoint").Str,
				Group: int(t.Get("pod_group").Int()), Born: now.FromUnixMilli(t.Get("boot_ms").Int()),
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
				bad = fmt.Errorf("%w: items[%d].roster.targets[%d].uid: absent", ErrPool, i, j)
				continue
			}
			if _, _, err := net.SplitHostPort(pool.Address); err != nil && pool.State != Removed {
				bad = fmt.Errorf("%w: items[%d].roster.targets[%d].endpoint: %.40q is not address:port", ErrPool, i, j, pool.Address)
				continue
			}
			e.Pools = append(e.Pools, pool)
		}
		p.Items = append(p.Items, e)
	}
	return p, bad
}

const (
	patience  = 5 * time.Second // the most that the bulletin allows
	mostBytes = 1 << 20
	retryMin  = 50 * time.Millisecond
	retryMax  = time.Second
)

// Watch calls tell with each later event, in order and once each, until ctx is done.
func Watch(ctx context.Context, address string, after int64, now *clock.Clock, log zerolog.Logger, count *stats.Set, tell func(Event)) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
		ResponseHeaderTimeout: patience + 2*time.Second,
		MaxIdleConnsPerHost:   1, ReadBufferSize: 4096, WriteBufferSize: 1024,
	}}
	defer client.CloseIdleConnections()
	retry := retryMin
	for ctx.Err() == nil {
		began := now.Now()
		page, err := fetch(ctx, client, address, after, now)
		if errors.Is(err, ErrPool) { // asking again would bring it again
			count.Add(stats.BulletinErrors)
			log.Warn().Err(err).Msg("bulletin read in part")
			err = nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			count.Add(stats.BulletinErrors)
			log.Warn().Err(err).Dur("again_in", retry).Msg("bulletin not read")
			select {
			case <-ctx.Done():
			case <-time.After(retry):
			}
			retry = min(2*retry, retryMax)
			continue
		}
		retry = retryMin
		// A bulletin that answers at once without news must not be asked in a tight loop.
		if page.No == after && now.Now()-began < retryMin.Microseconds() {
			select {
			case <-ctx.Done():
			case <-time.After(retryMin):
			}
		}
		if page.No < after { // the bulletin counts anew: all that it has is news
			after = 0
		}
		for _, e := range page.Items {
			if e.No > after || e.No == 0 {
				count.Add(stats.BulletinEvents)
				tell(e)
				after = max(after, e.No)
			}
		}
		after = max(after, page.No)
	}
}

func fetch(ctx context.Context, client *http.Client, address string, after int64, now *clock.Clock) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, patience+3*time.Second)
	defer cancel()
	url := "http://" + address + "/bulletins?after=" + strconv.FormatInt(after, 10) +
		"&patience=" + strconv.FormatInt(patience.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostBytes+1))
	if err != nil {
		return Page{}, fmt.Errorf("bulletin: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("bulletin: status %d", answer.StatusCode)
	}
	if len(text) > mostBytes {
		return Page{}, fmt.Errorf("bulletin: an answer of over %d bytes", mostBytes)
	}
	return ParsePage(text, now)
}
