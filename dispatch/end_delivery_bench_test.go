package dispatch

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/telemetry"
)

// countingConn is a connection that takes everything.
type countingConn struct{ ends int }

func (c *countingConn) Final(string, Final) bool { return true }

func (c *countingConn) CallEnded(string, int) bool {
	c.ends++
	return true
}

// idleDispatcher is a dispatcher that gets no calls.
func idleDispatcher(b *testing.B) *Dispatcher {
	b.Helper()
	dispatcher, err := New(settings(), 1, testMaxRetryAfter, clock.New(), zerolog.Nop(), nil)
	if err != nil {
		b.Fatal(err)
	}
	return dispatcher
}

// benchmarkEnds has ends of calls come to a table with so many strangers' connections, and a caller's or none.
func benchmarkEnds(b *testing.B, strangers int, withCaller bool) {
	b.Helper()
	const ends = 256
	ids := make([]string, ends)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	dispatcher := idleDispatcher(b)
	for b.Loop() {
		table := NewCallTable(CallTableConfig{Dispatcher: dispatcher, Counters: &telemetry.Counters{}})
		for range strangers {
			table.Connect(&countingConn{})
		}
		if withCaller {
			caller := &countingConn{}
			table.Connect(caller)
			table.MarkEstablished(caller)
		}
		for _, id := range ids {
			table.CallEnded(id, CauseNormal)
		}
		table.Close()
	}
}

func BenchmarkCallEnded_OneCaller(b *testing.B)           { benchmarkEnds(b, 0, true) }
func BenchmarkCallEnded_CallerBesideACrowd(b *testing.B)  { benchmarkEnds(b, 200, true) }
func BenchmarkCallEnded_CrowdWithoutCallers(b *testing.B) { benchmarkEnds(b, 200, false) }
func BenchmarkCallEnded_NobodyIsConnected(b *testing.B)   { benchmarkEnds(b, 0, false) }
func BenchmarkConnect_BesideACrowdWhileEndsWait(b *testing.B) {
	const waiting, strangers = 256, 200
	table := NewCallTable(CallTableConfig{Dispatcher: idleDispatcher(b), Counters: &telemetry.Counters{}})
	defer table.Close()
	for range strangers {
		table.Connect(&countingConn{})
	}
	for i := range waiting {
		table.CallEnded(fmt.Sprintf("%016x", i), CauseNormal)
	}
	for b.Loop() {
		conn := &countingConn{}
		table.Connect(conn)
		table.Disconnect(conn)
	}
}
