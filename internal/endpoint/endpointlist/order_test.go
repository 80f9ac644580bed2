package endpointlist

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/clock"
	"eidertrail/internal/testing/fakeplatform"
)

// eventText is an event of s-1, at 127.0.0.3:5060, without a start time.
func eventText(version int, state string) string {
	const format = `{"no":%d,"roster":{"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.3:5060","state":%q}]}}`
	return fmt.Sprintf(format, version, state)
}

// pageOf is a page with those events.
func pageOf(version int, events ...string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, version, strings.Join(events, ","))
}

// parsePage is the page of a text that is valid.
func parsePage(tb testing.TB, text string) Page {
	tb.Helper()
	page, err := ParsePage([]byte(text), clock.New())
	if err != nil {
		tb.Fatal(err)
	}
	return page
}

// startScript starts a server of the endpoint list on loopback that gives its answers in order, whatever is polled, and
// then none. polled gets the version of each poll.
func startScript(tb testing.TB, answers ...string) (address string, polled <-chan string) {
	tb.Helper()
	polls := make(chan string, len(answers)+8)
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := ""
		if i := int(count.Add(1)) - 1; i < len(answers) {
			text = answers[i]
		}
		polls <- r.URL.Query().Get("after")
		if text == "" {
			<-r.Context().Done()
			return
		}
		respond(w, text)
	}))
	tb.Cleanup(server.Close)
	return addressOf(server), polls
}

// playWatch watches a script that starts with those answers until it was polled so many times. It returns the versions
// polled after, and the events delivered until then, as "5 s-1 draining 0".
func playWatch(tb testing.TB, known Page, polls int, answers ...string) (polledAfter, delivered string) {
	tb.Helper()
	address, polled := startScript(tb, answers...)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var events []string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, address, known, nil, nil, func(e Event) {
			endpoints := strings.ReplaceAll(endpointsText(e), "@127.0.0.3:5060", "")
			events = append(events, fmt.Sprint(e.Version, " ", endpoints))
		})
	}()
	versions := make([]string, 0, polls)
	for range polls {
		versions = append(versions, <-polled)
	}
	stop()
	<-ended
	return strings.Join(versions, " "), strings.Join(events, ", ")
}

// An endpoint that drains doesn't come up again for as long as a server of the list lags, nor for the moment between
// two events that are delivered twice.
func TestWatch_OlderUpEventDoesNotRevertDrain(t *testing.T) {
	known := parsePage(t, pageOf(4, eventText(1, "up")))
	polledAfter, delivered := playWatch(t, known, 7,
		pageOf(5, eventText(5, "draining")),
		pageOf(2, eventText(2, "up")), // goes back, and has what was not delivered before
		pageOf(6, eventText(1, "up"), eventText(5, "draining"), eventText(6, "removed")),
		pageOf(1, eventText(1, "up")), // goes back to what was delivered: it lags
		pageOf(3, eventText(3, "up")),
		pageOf(7, eventText(7, "up")),
	)
	if want := "5 s-1 draining 0, 2 s-1 draining 0, 6 s-1 removed 0, 3 s-1 removed 0, 7 s-1 up 0"; delivered != want {
		t.Errorf("delivered %s,\nwant %s", delivered, want)
	}
	if want := "4 5 0 6 1 3 7"; polledAfter != want {
		t.Errorf("polled after %s, want %s", polledAfter, want)
	}
}

// What the configuration holds is known to the version guard.
func TestWatch_DrainKnownAtStartIsNotReverted(t *testing.T) {
	known := parsePage(t, pageOf(4, eventText(1, "up"), eventText(4, "draining")))
	_, delivered := playWatch(t, known, 2, pageOf(2, eventText(1, "up"), eventText(2, "up")))
	if delivered != "2 s-1 draining 0" {
		t.Errorf("delivered %s", delivered)
	}
}

// The first snapshot, sent once more by a server that lags behind the configuration, doesn't remove an endpoint that
// came since, and the calls there with it.
func TestWatch_LaggingServerDeliversNothingTwice(t *testing.T) {
	snapshot := `{"no":1,"roster":{"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.4:5060","state":"up"}]}}`
	known := parsePage(t, pageOf(5, snapshot, eventText(5, "up")))
	polledAfter, delivered := playWatch(t, known, 4,
		pageOf(4), // nothing after 5 yet, and not 5 itself
		pageOf(4, snapshot, eventText(4, "up")),
		pageOf(6, eventText(5, "up"), eventText(6, "draining")),
	)
	if polledAfter != "5 0 4 6" || delivered != "4 s-1 up 0, 6 s-1 draining 0" {
		t.Errorf("polled after %s, delivered %s", polledAfter, delivered)
	}
}

// A server with restarted versions, polled after 5, sends none of the two events that it has. Without a poll for all of
// them they would never be delivered.
func TestWatch_RestartedVersionsArePolledFromZero(t *testing.T) {
	for _, test := range []struct{ first, want string }{
		{pageOf(2), "1 s-1 up 0, 2 s-1 draining 0"},
		{pageOf(2, eventText(2, "draining")), "2 s-1 draining 0, 1 s-1 draining 0"},
	} {
		polledAfter, delivered := playWatch(t, Page{Version: 5}, 3,
			test.first,
			pageOf(2, eventText(1, "up"), eventText(2, "draining")),
		)
		if polledAfter != "5 0 2" || delivered != test.want {
			t.Errorf("%s: polled after %s, delivered %s, want %s", test.first, polledAfter, delivered, test.want)
		}
	}
}

// A drain isn't passed over because a later event comes before it on the page, or because it has the version of
// another.
func TestWatch_DeliversEveryEventOfAPage(t *testing.T) {
	for _, test := range []struct{ page, want string }{
		{pageOf(5, eventText(5, "up"), eventText(4, "draining")), "4 s-1 draining 0, 5 s-1 up 0"},
		{pageOf(5, eventText(5, "removed"), eventText(4, "draining")), "4 s-1 draining 0, 5 s-1 removed 0"},
		{pageOf(4, eventText(4, "up"), eventText(4, "draining")), "4 s-1 up 0, 4 s-1 draining 0"},
		{pageOf(4, eventText(3, "up"), eventText(4, "draining")), "4 s-1 draining 0"},
	} {
		if _, delivered := playWatch(t, Page{Version: 3}, 2, test.page); delivered != test.want {
			t.Errorf("%s: delivered %s, want %s", test.page, delivered, test.want)
		}
	}
}

// A drain isn't passed over for an invalid address, as the endpoint is known by its UID.
func TestWatch_DeliversDrainWithoutAddress(t *testing.T) {
	drain := strings.Replace(eventText(5, "draining"), "127.0.0.3:5060", "", 1)
	_, delivered := playWatch(t, Page{Version: 3}, 2, pageOf(5, eventText(4, "up"), drain))
	if delivered != "4 s-1 up 0, 5 s-1 draining 0" {
		t.Errorf("delivered %s", delivered)
	}
}

// What had arrived of an answer isn't delivered: the new address is polled for it.
func TestWatch_AddressChangeDuringAnAnswer(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	half := make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		respond(w, pageOf(5, eventText(4, "up"), eventText(5, "draining"))[:120])
		w.(http.Flusher).Flush()
		close(half)
		<-r.Context().Done()
	}))
	defer old.Close()
	next, polled := startScript(t, pageOf(5, eventText(4, "up"), eventText(5, "draining")))
	changes := make(chan AddressChange, 1)
	var delivered []int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, addressOf(old), Page{Version: 3}, changes, nil, func(e Event) {
			delivered = append(delivered, e.Version)
		})
	}()
	<-half
	changes <- AddressChange{Address: next, Known: Page{Version: 3}}
	polledAfter := []string{<-polled, <-polled}
	stop()
	<-ended
	if fmt.Sprint(polledAfter, delivered) != "[3 5] [4 5]" {
		t.Errorf("polled after %v, delivered %v", polledAfter, delivered)
	}
}

// The rest of an answer is delivered first, and nothing of it twice that the new configuration holds.
func TestWatch_AddressChangeWhileDelivering(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	old, _ := startScript(t, pageOf(5, eventText(4, "up"), eventText(5, "draining")))
	next, polled := startScript(t)
	known := parsePage(t, pageOf(6, eventText(4, "up"), eventText(5, "draining"), eventText(6, "removed")))
	changes := make(chan AddressChange) // unbuffered: once it is taken, the watch has it
	delivering, resume := make(chan struct{}), make(chan struct{})
	var delivered []int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, old, Page{Version: 3}, changes, nil, func(e Event) {
			if delivered = append(delivered, e.Version); e.Version == 4 {
				close(delivering)
				<-resume
			}
		})
	}()
	<-delivering
	changes <- AddressChange{Address: next, Known: known}
	close(resume)
	after := <-polled
	stop()
	<-ended
	if after != "6" || fmt.Sprint(delivered) != "[4 5 6]" {
		t.Errorf("polled after %s, delivered %v", after, delivered)
	}
}

// A connection to the old address that is established after the change doesn't stay open.
func TestWatch_ClosesConnectionEstablishedAfterAddressChange(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	next, polled := startScript(t)
	dialling, reachable := make(chan struct{}), make(chan struct{})
	w := newTestWatcher(Page{Version: 3}, func(Event) {})
	w.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		if address == listener.Addr().String() {
			close(dialling)
			<-reachable
		}
		return net.Dial(network, address)
	}
	changes := make(chan AddressChange)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.follow(ctx, listener.Addr().String(), changes)
	}()
	<-dialling
	changes <- AddressChange{Address: next}
	<-polled
	close(reachable)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if text, err := io.ReadAll(accepted); len(text) > 0 || err != nil { // it ends when the other side closes
		t.Errorf("%q, %v", text, err)
	}
	stop()
	<-ended
}

// serveList serves the endpoint list on that listener until the server is closed.
func serveList(listener net.Listener, handler http.HandlerFunc) *http.Server {
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // its error is that it was closed
	return server
}

// How late the watch catches up after an outage, in virtual time: the backoff doesn't grow to a second while what the
// server has counts as delivered, and isn't added to an attempt that took long by itself.
func TestWatch_CatchesUpAfterAnOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails func(ctx context.Context) error // what a dial meets with during the outage
		bound time.Duration                   // the worst case, and what is allowed on top of an attempt
	}{
		{"refused", func(context.Context) error { return syscall.ECONNREFUSED }, 250 * time.Millisecond},
		{"no connection comes up", func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(dialTimeout):
				return context.DeadlineExceeded
			}
		}, 1050 * time.Millisecond},
	} {
		worst := time.Duration(0)
		for phase := range 50 { // the outage's end falls anywhere between two attempts
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				listener := fakeplatform.NewListener()
				server := serveList(listener, func(w http.ResponseWriter, _ *http.Request) {
					respond(w, pageOf(4, eventText(4, "draining")))
				})
				back := time.Now().Add(8*time.Second + time.Duration(phase)*21*time.Millisecond)
				var late time.Duration
				w := newTestWatcher(Page{Version: 3}, func(Event) {
					late = time.Since(back)
					stop()
				})
				w.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					if time.Now().Before(back) {
						return nil, test.fails(ctx)
					}
					return listener.Dial(), nil
				}
				w.follow(ctx, "bulletin:80", nil)
				server.Close()
				worst = max(worst, late)
			})
		}
		t.Logf("%s: caught up %v late at worst", test.name, worst)
		if worst > test.bound {
			t.Errorf("%s: caught up %v late at worst, want %v", test.name, worst, test.bound)
		}
	}
}

// An open poll that has become silent doesn't hold a drain back until it counts as delivered. The bound is on the whole
// time from the event to its delivery, when the silence begins just after the poll, in virtual time.
func TestWatch_RetriesAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		listener := fakeplatform.NewListener()
		var polls atomic.Int64
		server := serveList(listener, func(w http.ResponseWriter, r *http.Request) {
			if polls.Add(1) == 1 {
				<-r.Context().Done()
				return
			}
			respond(w, pageOf(4, eventText(4, "draining")))
		})
		began := time.Now()
		var took time.Duration
		w := newTestWatcher(Page{Version: 3}, func(Event) {
			took = time.Since(began)
			stop()
		})
		w.dial = func(context.Context, string, string) (net.Conn, error) { return listener.Dial(), nil }
		w.follow(ctx, "bulletin:80", nil)
		server.Close()
		if took > 2750*time.Millisecond {
			t.Errorf("delivered after %v", took)
		}
	})
}
