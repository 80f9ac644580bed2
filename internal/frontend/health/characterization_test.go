// The tests of this file are characterisation tests: they record what load balancers and operators are told in every
// state, byte for byte, so that a change of names or shape in the code can be shown to change nothing else. The
// recorded files are in testdata/characterization. On a purposeful change they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/health -run TestCharacterization
//
// and the commit has to say why they changed.
package health_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"eidertrail/internal/testing/recorded"

	"eidertrail/internal/frontend/health"
	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/fakeplatform"
)

// status is a status in words.
func status(s health.Status) string {
	return fmt.Sprintf("live: %t, ready: %t, draining: %t, turned away: %s", s.Live, s.Ready, s.Draining,
		strconv.FormatFloat(s.RejectionRate, 'g', -1, 64))
}

// allStatuses are the eight states, each with no call and with a quarter of the calls rejected.
func allStatuses() []health.Status {
	both := []bool{true, false}
	all := make([]health.Status, 0, 2*len(both)*len(both)*len(both))
	for _, live := range both {
		for _, ready := range both {
			for _, draining := range both {
				for _, rejectionRate := range []float64{0, 0.25} {
					all = append(all, health.Status{Live: live, Ready: ready, Draining: draining, RejectionRate: rejectionRate})
				}
			}
		}
	}
	return all
}

// checkOf is a check that always gives one status.
func checkOf(s health.Status) health.Check { return func(context.Context) health.Status { return s } }

// served runs test while the agent check is served on a listener without sockets.
func served(t *testing.T, check health.Check, test func(l *fakeplatform.Listener)) {
	t.Helper()
	l := fakeplatform.NewListener()
	ended := make(chan error, 1)
	go func() { ended <- health.ServeAgent(l, check) }()
	test(l)
	if err := l.Close(); err != nil {
		t.Errorf("closing the listener: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the agent check ended with %v", err)
	}
}

// readAll reads a connection to its end.
func readAll(t *testing.T, c net.Conn) string {
	t.Helper()
	defer c.Close()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("reading an agent's connection: %v", err)
	}
	return string(text)
}

func TestCharacterization_AgentCheck(t *testing.T) {
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		for _, s := range allStatuses() {
			served(t, checkOf(s), func(l *fakeplatform.Listener) {
				fmt.Fprintf(&out, "%s: %s\n", status(s), strconv.Quote(readAll(t, l.Dial())))
			})
		}
	})
	for _, share := range []float64{
		-1, -0.001, 0.004, 0.005, 0.00501, 0.01, 0.0149, 0.015, 0.333, 0.5, 0.985, 0.989, 0.99, 0.995,
		0.996, 0.999, 1, 1.5,
	} {
		s := health.Status{Live: true, Ready: true, RejectionRate: share}
		fmt.Fprintf(&out, "%s: %s\n", status(s), strconv.Quote(s.AgentLine()))
	}
	recorded.Compare(t, "agent-check.txt", out.String())
}

// More agents at once than are answered: the others' connections are closed without a line.
func TestCharacterization_AgentsAtOnce(t *testing.T) {
	const agents = 20
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		check := func(context.Context) health.Status {
			<-answer
			return health.Status{Live: true, Ready: true}
		}
		served(t, check, func(l *fakeplatform.Listener) {
			all := make([]net.Conn, agents)
			for i := range all {
				all[i] = l.Dial()
				synctest.Wait()
			}
			close(answer)
			for i, c := range all {
				fmt.Fprintf(&out, "agent %d: %s\n", i+1, strconv.Quote(readAll(t, c)))
			}
		})
	})
	recorded.Compare(t, "agents-at-once.txt", out.String())
}

// answerOf is the status, header and body that a handler gives to a request.
func answerOf(h http.Handler, method, path string) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s: %d\n", method, path, w.Code)
	for _, name := range slices.Sorted(maps.Keys(w.Header())) {
		for _, value := range w.Header()[name] {
			fmt.Fprintf(&out, "  %s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&out, "  body %s\n", strconv.Quote(w.Body.String()))
	return out.String()
}

func TestCharacterization_HTTP(t *testing.T) {
	var out strings.Builder
	for _, s := range allStatuses() {
		h := health.Handler(checkOf(s), func() any { return 7 })
		fmt.Fprintln(&out, status(s))
		for _, path := range []string{"/live", "/ready"} {
			out.WriteString(answerOf(h, http.MethodGet, path))
		}
	}
	fmt.Fprintln(&out, "other methods and paths")
	h := health.Handler(checkOf(health.Status{Live: true, Ready: true}), func() any { return 7 })
	for _, path := range []string{"/live", "/ready", "/counters"} {
		for _, method := range []string{http.MethodHead, http.MethodPost, http.MethodOptions} {
			out.WriteString(answerOf(h, method, path))
		}
	}
	for _, path := range []string{"/", "/live/", "/counters?x=1", "/other"} {
		out.WriteString(answerOf(h, http.MethodGet, path))
	}
	recorded.Compare(t, "http.txt", out.String())
}

// countersDocument is what the daemon serves: the snapshot, and which start of the process it counts from.
type countersDocument struct {
	Incarnation int64 `json:"life"`
	telemetry.Snapshot
}

func TestCharacterization_Counters(t *testing.T) {
	set := &telemetry.Counters{}
	set.AddN(telemetry.SetupsTaken, 1<<40)
	set.AddN(telemetry.StateTableRepairs, 3)
	set.RecordEstablished(1234, true)
	set.RecordEstablished(70_000_000, false)
	var none *telemetry.Counters
	var out strings.Builder
	for _, document := range []any{
		countersDocument{1_700_000_000_000, set.Snapshot()},
		countersDocument{0, none.Snapshot()},
		nil,
	} {
		h := health.Handler(checkOf(health.Status{}), func() any { return document })
		out.WriteString(answerOf(h, http.MethodGet, "/counters"))
	}
	recorded.Compare(t, "counters.txt", out.String())
}
