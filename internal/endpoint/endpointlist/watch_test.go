package endpointlist

import (
	"context"
	"errors"
	"fmt"
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

func page(no int, state string) string {
	return fmt.Sprintf(`{"no":%d,"items":[{"no":%d,"roster":{"rev":7,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.3:5060",`+
		`"az":"east","model":"std","pod_group":2,"state":%q,"boot_ms":%d}]}},{"no":%d,"lot":{}}]}`, no, no, state, time.Now().UnixMilli()+1000, no)
}

func TestParsePage(t *testing.T) {
	now := clock.New()
	p, err := ParsePage([]byte(page(41, "draining")), now)
	if err != nil || p.Version != 41 || len(p.Events) != 1 || p.Events[0].Snapshot || len(p.Events[0].Endpoints) != 1 {
		t.Fatalf("%+v, %v", p, err)
	}
	l := p.Events[0].Endpoints[0]
	if l.UID != "s-1" || l.Address != "127.0.0.3:5060" || l.Group != 2 || l.State != Draining {
		t.Errorf("%+v", l)
	}
	if d := l.StartedAt - now.Now(); d < 0 || d > 1_000_000 {
		t.Errorf("born %d us from now", d)
	}
	if p, err = ParsePage([]byte(page(41, "odd")), now); err != nil || len(p.Events[0].Endpoints) != 0 {
		t.Errorf("a state that is not known: %+v, %v", p, err)
	}
	for _, text := range []string{"", "{", "{}", `{"no":"1"}`} {
		if _, err := ParsePage([]byte(text), now); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	// One pool that makes no sense must not hide the others.
	for _, odd := range []string{`{"uid":"","state":"up"},`, `{"uid":"s-0","endpoint":"x","state":"up"},`} {
		p, err := ParsePage([]byte(strings.Replace(page(1, "up"), `"targets":[`, `"targets":[`+odd, 1)), now)
		if !errors.Is(err, ErrInvalidEndpoint) || len(p.Events) != 1 || len(p.Events[0].Endpoints) != 1 || p.Events[0].Endpoints[0].UID != "s-1" {
			t.Errorf("%s: %+v, %v", odd, p, err)
		}
	}
}

// Guards against events lost or told twice when the bulletin fails in between, or starts to count anew.
func TestWatchTellsEachEventOnce(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var asked []string
	answers := []func(w http.ResponseWriter){
		func(w http.ResponseWriter) { fmt.Fprint(w, page(4, "up")) },
		func(w http.ResponseWriter) { http.Error(w, "later", 500) },
		func(w http.ResponseWriter) { fmt.Fprint(w, "{") },
		func(w http.ResponseWriter) { fmt.Fprint(w, page(4, "up")) }, // said again
		func(w http.ResponseWriter) { fmt.Fprint(w, page(5, "removed")) },
		func(w http.ResponseWriter) { fmt.Fprint(w, page(1, "up")) }, // it counts anew
		func(w http.ResponseWriter) { stop() },
	}
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.Query().Get("after"))
		answers[min(n, len(answers)-1)](w)
		n++
	}))
	defer s.Close()
	var told []int64
	count := &telemetry.Counters{}
	watchList(ctx, strings.TrimPrefix(s.URL, "http://"), Page{Version: 3}, nil, count, func(e Event) { told = append(told, e.Version) })
	if got := fmt.Sprint(told); got != "[4 5 1]" {
		t.Errorf("told %s", got)
	}
	if got := fmt.Sprint(asked); got != "[3 4 4 4 4 5 1]" || count.Get(telemetry.EndpointListErrors) != 2 {
		t.Errorf("asked after %s, %d errors", got, count.Get(telemetry.EndpointListErrors))
	}
}

// Guards against drains that are never heard of: the bulletin stops in the middle of an event and keeps the
// connection open. It is asked again, with the numbers continued.
func TestWatchNoticesAStopInTheMiddleOfAnEvent(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	asked := make(chan string, 4)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		if asked <- after; after == "3" && len(asked) == 1 {
			fmt.Fprint(w, page(4, "draining")[:60])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, page(4, "draining"))
	}))
	defer s.Close()
	watchList(ctx, strings.TrimPrefix(s.URL, "http://"), Page{Version: 3}, nil, nil, func(e Event) { stop() })
	if a, b := <-asked, <-asked; a != "3" || b != "3" {
		t.Errorf("asked after %s and %s", a, b)
	}
}

// Guards against events that a new configuration already holds being missed, or told again.
func TestWatchTakesWhatAMoveKnows(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "4" {
			t.Errorf("asked after %s", r.URL.Query().Get("after"))
		}
		fmt.Fprint(w, page(5, "removed"))
	}))
	defer s.Close()
	known, err := ParsePage([]byte(page(4, "up")), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	moves := make(chan AddressChange, 1)
	moves <- AddressChange{Address: strings.TrimPrefix(s.URL, "http://"), Known: known}
	var told []int64
	watchList(ctx, "", Page{Version: 3}, moves, nil, func(e Event) {
		if told = append(told, e.Version); e.Version == 5 {
			stop()
		}
	})
	if got := fmt.Sprint(told); got != "[4 5]" {
		t.Errorf("told %s", got)
	}
}
