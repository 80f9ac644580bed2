package endpointlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// watchList is Watch with a clock of its own and no log.
func watchList(
	ctx context.Context, address string, known Page, changes <-chan AddressChange, counters *telemetry.Counters,
	deliver func(Event),
) {
	Watch(ctx, Config{
		Address:  address,
		Known:    known,
		Changes:  changes,
		Clock:    clock.New(),
		Log:      zerolog.Nop(),
		Counters: counters,
		Deliver:  deliver,
	})
}

// newTestWatcher returns a watcher with a clock of its own and no log.
func newTestWatcher(known Page, deliver func(Event)) *watcher {
	return newWatcher(Config{Known: known, Clock: clock.New(), Log: zerolog.Nop(), Deliver: deliver})
}

// pageText is a page with one event, of s-1, which starts in a second, beside an item of another kind.
func pageText(version int, state string) string {
	const format = `{"no":%d,"items":[{"no":%[1]d,"roster":{"rev":7,"all":false,"targets":[` +
		`{"uid":"s-1","endpoint":"127.0.0.3:5060","az":"east","model":"std","pod_group":2,"state":%q,"boot_ms":%d}` +
		`]}},{"no":%[1]d,"lot":{}}]}`
	return fmt.Sprintf(format, version, state, time.Now().UnixMilli()+1000)
}

// respond writes an answer. A watch that has ended meanwhile reads none of it, which is no fault.
func respond(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text) }

// addressOf is the server's address as Config has it.
func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func TestParsePage(t *testing.T) {
	now := clock.New()
	page, err := ParsePage([]byte(pageText(41, "draining")), now)
	if err != nil || page.Version != 41 || len(page.Events) != 1 ||
		page.Events[0].Snapshot || len(page.Events[0].Endpoints) != 1 {
		t.Fatalf("%+v, %v", page, err)
	}
	endpoint := page.Events[0].Endpoints[0]
	if endpoint.UID != "s-1" || endpoint.Address != "127.0.0.3:5060" || endpoint.Group != 2 || endpoint.State != Draining {
		t.Errorf("%+v", endpoint)
	}
	if d := endpoint.StartedAt - now.Now(); d < 0 || d > 1_000_000 {
		t.Errorf("started %d us from now", d)
	}
	if page, err = ParsePage([]byte(pageText(41, "odd")), now); err != nil || len(page.Events[0].Endpoints) != 0 {
		t.Errorf("an unknown state: %+v, %v", page, err)
	}
	for _, text := range []string{"", "{", "{}", `{"no":"1"}`} {
		if _, err := ParsePage([]byte(text), now); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	// One invalid endpoint must not hide the others.
	for _, odd := range []string{`{"uid":"","state":"up"},`, `{"uid":"s-0","endpoint":"x","state":"up"},`} {
		page, err := ParsePage([]byte(strings.Replace(pageText(1, "up"), `"targets":[`, `"targets":[`+odd, 1)), now)
		if !errors.Is(err, ErrInvalidEndpoint) || len(page.Events) != 1 ||
			len(page.Events[0].Endpoints) != 1 || page.Events[0].Endpoints[0].UID != "s-1" {
			t.Errorf("%s: %+v, %v", odd, page, err)
		}
	}
}

// No event is lost or delivered twice when the server fails in between, or restarts its versions.
func TestWatch_DeliversEachEventOnce(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var polled []string
	answers := []func(w http.ResponseWriter){
		func(w http.ResponseWriter) { respond(w, pageText(4, "up")) },
		func(w http.ResponseWriter) { http.Error(w, "later", 500) },
		func(w http.ResponseWriter) { respond(w, "{") },
		func(w http.ResponseWriter) { respond(w, pageText(4, "up")) }, // the same again
		func(w http.ResponseWriter) { respond(w, pageText(5, "removed")) },
		func(w http.ResponseWriter) { respond(w, pageText(1, "up")) }, // restarted versions
		func(http.ResponseWriter) { stop() },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled = append(polled, r.URL.Query().Get("after"))
		answers[min(len(polled), len(answers))-1](w)
	}))
	defer server.Close()
	var delivered []int64
	counters := &telemetry.Counters{}
	watchList(ctx, addressOf(server), Page{Version: 3}, nil, counters, func(e Event) {
		delivered = append(delivered, e.Version)
	})
	if got := fmt.Sprint(delivered); got != "[4 5 1]" {
		t.Errorf("delivered %s", got)
	}
	if got := fmt.Sprint(polled); got != "[3 4 4 4 4 5 1]" || counters.Get(telemetry.EndpointListErrors) != 2 {
		t.Errorf("polled after %s, %d errors", got, counters.Get(telemetry.EndpointListErrors))
	}
}

// The server stalls in the middle of an event and keeps the connection open: it is polled again after the same version.
// Without this, the drain in that event would never arrive.
func TestWatch_RetriesAfterStallInAnEvent(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	polled := make(chan string, 4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		if polled <- after; after == "3" && len(polled) == 1 {
			respond(w, pageText(4, "draining")[:60])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		respond(w, pageText(4, "draining"))
	}))
	defer server.Close()
	watchList(ctx, addressOf(server), Page{Version: 3}, nil, nil, func(Event) { stop() })
	if first, second := <-polled, <-polled; first != "3" || second != "3" {
		t.Errorf("polled after %s and %s", first, second)
	}
}

// Events that a new configuration already holds are delivered, and not delivered again by the server.
func TestWatch_AddressChangeDeliversItsKnownEvents(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "4" {
			t.Errorf("polled after %s", r.URL.Query().Get("after"))
		}
		respond(w, pageText(5, "removed"))
	}))
	defer server.Close()
	known, err := ParsePage([]byte(pageText(4, "up")), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	changes := make(chan AddressChange, 1)
	changes <- AddressChange{Address: addressOf(server), Known: known}
	var delivered []int64
	watchList(ctx, "", Page{Version: 3}, changes, nil, func(e Event) {
		if delivered = append(delivered, e.Version); e.Version == 5 {
			stop()
		}
	})
	if got := fmt.Sprint(delivered); got != "[4 5]" {
		t.Errorf("delivered %s", got)
	}
}
