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

// item is an event of s-1, at 127.0.0.3:5060 and never started late.
func item(no int, state string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.3:5060","state":%q}]}}`, no, state)
}

func answer(no int, items ...string) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
}

// script is a bulletin on loopback that gives its answers in order, whatever is asked, and then none. asked gets the
// number of each question.
func script(t *testing.T, answers ...string) (address string, asked <-chan string) {
	t.Helper()
	questions := make(chan string, len(answers)+8)
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := ""
		if i := int(n.Add(1)) - 1; i < len(answers) {
			text = answers[i]
		}
		questions <- r.URL.Query().Get("after")
		if text == "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, text)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), questions
}

// watched runs a watch of address until as many questions have come, and returns them and what was told until then,
// as "5 s-1 draining".
func watched(t *testing.T, address string, asked <-chan string, questions int, known Page) (string, string) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var told, were []string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, address, known, nil, nil, func(e Event) {
			told = append(told, fmt.Sprint(e.Version, " ", strings.ReplaceAll(text(e), "@127.0.0.3:5060", "")))
		})
	}()
	for range questions {
		were = append(were, <-asked)
	}
	stop()
	<-ended
	return strings.Join(were, " "), strings.Join(told, ", ")
}

// Guards against a pool that drains being up again for as long as a bulletin lags, or for the moment between two
// events that are told twice.
func TestAnOlderUpTakesNoDrainBack(t *testing.T) {
	known, err := ParsePage([]byte(answer(4, item(1, "up"))), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	address, asked := script(t,
		answer(5, item(5, "draining")),
		answer(2, item(2, "up")), // goes back, and says what was not told before
		answer(6, item(1, "up"), item(5, "draining"), item(6, "removed")),
		answer(1, item(1, "up")), // goes back to what was told: it lags
		answer(3, item(3, "up")),
		answer(7, item(7, "up")),
	)
	were, told := watched(t, address, asked, 7, known)
	if want := "5 s-1 draining 0, 2 s-1 draining 0, 6 s-1 removed 0, 3 s-1 removed 0, 7 s-1 up 0"; told != want {
		t.Errorf("told %s,\nwant %s", told, want)
	}
	if want := "4 5 0 6 1 3 7"; were != want {
		t.Errorf("asked after %s, want %s", were, want)
	}
}

// Guards against what the configuration told being unknown to the fence.
func TestADrainThatWasKnownAtTheStartIsNotTakenBack(t *testing.T) {
	known, err := ParsePage([]byte(answer(4, item(1, "up"), item(4, "draining"))), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	address, asked := script(t, answer(2, item(1, "up"), item(2, "up")))
	if _, told := watched(t, address, asked, 2, known); told != "2 s-1 draining 0" {
		t.Errorf("told %s", told)
	}
}

// Guards against the first whole list, told once more by a bulletin that lags behind what the configuration told,
// having a pool gone that came since, with what stands there.
func TestABulletinThatLagsTellsNothingTwice(t *testing.T) {
	whole := `{"no":1,"roster":{"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.4:5060","state":"up"}]}}`
	known, err := ParsePage([]byte(answer(5, whole, item(5, "up"))), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	address, asked := script(t,
		answer(4), // nothing after 5 yet, and not 5 itself
		answer(4, whole, item(4, "up")),
		answer(6, item(5, "up"), item(6, "draining")),
	)
	were, told := watched(t, address, asked, 4, known)
	if were != "5 0 4 6" || told != "4 s-1 up 0, 6 s-1 draining 0" {
		t.Errorf("asked after %s, told %s", were, told)
	}
}

// Guards against events of a new count that are never told: asked for those after 5, the bulletin sends none of the
// two that it has.
func TestABulletinThatCountsAnewIsAskedForAll(t *testing.T) {
	for _, k := range []struct{ first, want string }{
		{answer(2), "1 s-1 up 0, 2 s-1 draining 0"},
		{answer(2, item(2, "draining")), "2 s-1 draining 0, 1 s-1 draining 0"},
	} {
		address, asked := script(t, k.first, answer(2, item(1, "up"), item(2, "draining")))
		if were, told := watched(t, address, asked, 3, Page{Version: 5}); were != "5 0 2" || told != k.want {
			t.Errorf("%s: asked after %s, told %s, want %s", k.first, were, told, k.want)
		}
	}
}

// Guards against a drain that is passed over because a later event comes before it on the page, or because it has
// the number of another.
func TestEveryEventOfAPageIsTold(t *testing.T) {
	for _, k := range []struct{ page, want string }{
		{answer(5, item(5, "up"), item(4, "draining")), "4 s-1 draining 0, 5 s-1 up 0"},
		{answer(5, item(5, "removed"), item(4, "draining")), "4 s-1 draining 0, 5 s-1 removed 0"},
		{answer(4, item(4, "up"), item(4, "draining")), "4 s-1 up 0, 4 s-1 draining 0"},
		{answer(4, item(3, "up"), item(4, "draining")), "4 s-1 draining 0"},
	} {
		address, asked := script(t, k.page)
		if _, told := watched(t, address, asked, 2, Page{Version: 3}); told != k.want {
			t.Errorf("%s: told %s, want %s", k.page, told, k.want)
		}
	}
}

// Guards against a drain that is passed over for an address that makes no sense, though the pool is known by its uid.
func TestADrainWithoutAnAddressIsTold(t *testing.T) {
	address, asked := script(t, answer(5, item(4, "up"), strings.Replace(item(5, "draining"), "127.0.0.3:5060", "", 1)))
	if _, told := watched(t, address, asked, 2, Page{Version: 3}); told != "4 s-1 up 0, 5 s-1 draining 0" {
		t.Errorf("told %s", told)
	}
}

// A move in the middle of an answer: what had come of it is not told, the new address is asked for it.
func TestAMoveInTheMiddleOfAnAnswer(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	half := make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, answer(5, item(4, "up"), item(5, "draining"))[:120])
		w.(http.Flusher).Flush()
		close(half)
		<-r.Context().Done()
	}))
	defer old.Close()
	next, asked := script(t, answer(5, item(4, "up"), item(5, "draining")))
	moves := make(chan AddressChange, 1)
	var told []int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, strings.TrimPrefix(old.URL, "http://"), Page{Version: 3}, moves, nil, func(e Event) { told = append(told, e.Version) })
	}()
	<-half
	moves <- AddressChange{Address: next, Known: Page{Version: 3}}
	were := []string{<-asked, <-asked}
	stop()
	<-ended
	if fmt.Sprint(were, told) != "[3 5] [4 5]" {
		t.Errorf("asked after %v, told %v", were, told)
	}
}

// A move while an answer is told: the rest of it is told first, and nothing that the move knows twice.
func TestAMoveWhileEventsAreTold(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	old, _ := script(t, answer(5, item(4, "up"), item(5, "draining")))
	next, asked := script(t)
	known, err := ParsePage([]byte(answer(6, item(4, "up"), item(5, "draining"), item(6, "removed"))), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	moves := make(chan AddressChange) // unbuffered: once it is taken, the watch has it
	telling, on := make(chan struct{}), make(chan struct{})
	var told []int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchList(ctx, old, Page{Version: 3}, moves, nil, func(e Event) {
			if told = append(told, e.Version); e.Version == 4 {
				close(telling)
				<-on
			}
		})
	}()
	<-telling
	moves <- AddressChange{Address: next, Known: known}
	close(on)
	after := <-asked
	stop()
	<-ended
	if after != "6" || fmt.Sprint(told) != "[4 5 6]" {
		t.Errorf("asked after %s, told %v", after, told)
	}
}

// Guards against a connection to the address before that comes up only after the move, and stays open for nobody.
func TestAConnectionThatComesUpAfterAMoveIsClosed(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	next, asked := script(t)
	dialling, up := make(chan struct{}), make(chan struct{})
	w := newTestWatcher(Page{Version: 3}, func(Event) {})
	w.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		if address == l.Addr().String() {
			close(dialling)
			<-up
		}
		return net.Dial(network, address)
	}
	moves := make(chan AddressChange)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.follow(ctx, l.Addr().String(), moves)
	}()
	<-dialling
	moves <- AddressChange{Address: next}
	<-asked
	close(up)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if text, err := io.ReadAll(c); len(text) > 0 || err != nil { // it ends when the other side closes
		t.Errorf("%q, %v", text, err)
	}
	stop()
	<-ended
}

// How late the list is caught up with after an outage, on a clock of its own. Guards against pauses that grow to a
// second while what the bulletin has counts as told, and against a pause on top of a try that took long by itself.
func TestTheListIsCaughtUpWithAfterAnOutage(t *testing.T) {
	for _, k := range []struct {
		name  string
		fails func(ctx context.Context) error // what a dial meets with during the outage
		least time.Duration                   // the worst case, and what is allowed on top of a try
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
		for phase := range 50 { // the outage's end falls anywhere between two tries
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				l := fakeplatform.NewListener()
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, answer(4, item(4, "draining"))) })}
				go s.Serve(l)
				back := time.Now().Add(8*time.Second + time.Duration(phase)*21*time.Millisecond)
				var late time.Duration
				w := newTestWatcher(Page{Version: 3}, func(Event) {
					late = time.Since(back)
					stop()
				})
				w.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					if time.Now().Before(back) {
						return nil, k.fails(ctx)
					}
					return l.Dial(), nil
				}
				w.follow(ctx, "bulletin:80", nil)
				s.Close()
				worst = max(worst, late)
			})
		}
		t.Logf("%s: caught up %v late at worst", k.name, worst)
		if worst > k.least {
			t.Errorf("%s: caught up %v late at worst, want %v", k.name, worst, k.least)
		}
	}
}

// Guards against an open watch that has fallen silent holding a drain back until it counts as told: the whole time
// from the event to its telling, when the watch falls silent just after it was asked, on a clock of its own.
func TestASilentWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := fakeplatform.NewListener()
		var n atomic.Int64
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, answer(4, item(4, "draining")))
		})}
		go s.Serve(l)
		began := time.Now()
		var took time.Duration
		w := newTestWatcher(Page{Version: 3}, func(Event) {
			took = time.Since(began)
			stop()
		})
		w.dial = func(context.Context, string, string) (net.Conn, error) { return l.Dial(), nil }
		w.follow(ctx, "bulletin:80", nil)
		s.Close()
		if took > 2750*time.Millisecond {
			t.Errorf("told after %v", took)
		}
	})
}
