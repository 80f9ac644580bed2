// The tests of this file are characterisation tests: they record the names of all counters, in the log and in JSON, and
// which counter has which name, so that a change of names or shape in the code can be shown to change nothing else. The
// recorded files are in testdata/characterization. On a purposeful change they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/telemetry -run TestCharacterization
//
// and the commit has to say why they changed.
package telemetry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"eidertrail/internal/telemetry"
	"eidertrail/internal/testing/recorded"
)

// allCounters are the counters in the order in which the log writes them.
var allCounters = []telemetry.Counter{
	telemetry.SetupsTaken, telemetry.AnsweredCalls,
	telemetry.AnsweredInTime, telemetry.RejectedCalls, telemetry.FailedCalls,
	telemetry.CancelledCalls, telemetry.AnswersUnwritten,
	telemetry.Duplicates, telemetry.ReleasesIn, telemetry.ReleasesOut,
	telemetry.ReleasesPending, telemetry.ReleasesDropped, telemetry.Pings, telemetry.BadLines, telemetry.BadSIP,
	telemetry.Invites, telemetry.InvitesWritten,
	telemetry.InvitesCalledOff, telemetry.Cancels, telemetry.TimeOuts, telemetry.Resets,
	telemetry.ConnectsFailed, telemetry.PoolFull, telemetry.PoolErrors, telemetry.LateAnswers, telemetry.ByesOut,
	telemetry.ByesIn, telemetry.UnmatchedByes, telemetry.CutCalls, telemetry.UncertainCalls, telemetry.Notifies,
	telemetry.GuardStopped, telemetry.GuardDrain, telemetry.Connections, telemetry.SlowReaders, telemetry.PoolConnections,
	telemetry.EndpointListEvents, telemetry.EndpointListErrors,
	telemetry.Frames, telemetry.BadFrames, telemetry.HTTPAdmitted,
	telemetry.HTTPRejected, telemetry.Reloads, telemetry.BadReloads, telemetry.Shed, telemetry.Overdue,
	telemetry.ClosedBad, telemetry.UnresponsivePools, telemetry.DNSQueries, telemetry.DNSTruncated, telemetry.DNSFailures,
	telemetry.DNSBadAnswers, telemetry.DNSChanges,
	telemetry.PoolsConflicting, telemetry.PoolsExpired, telemetry.ZoneChanges,
	telemetry.RouteStopped, telemetry.SilentPools, telemetry.PeerIn, telemetry.PeerOut, telemetry.PeerBytesOut,
	telemetry.PeerBad, telemetry.PeerDropped, telemetry.PeerUnsent, telemetry.MembersSuspected, telemetry.MembersDied,
	telemetry.QuotaChanges, telemetry.StaleStopped,
	telemetry.LeasesRequested, telemetry.LeasesGranted, telemetry.StateTableBytes,
	telemetry.StateTableRepairs, telemetry.EndpointListLate,
	telemetry.InDoubtStopped, telemetry.ReleasesUnverified,
}

// distinctSet is a set in which each counter has a value of its own: its place in allCounters, from 1 on.
func distinctSet() *telemetry.Counters {
	set := &telemetry.Counters{}
	for i, counter := range allCounters {
		set.AddN(counter, int64(i+1))
	}
	return set
}

// loggedSet is the log line of a set, on its own and embedded.
func loggedSet(set *telemetry.Counters) string {
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().EmbedObject(set).Int("open", 0).Msg("counters")
	log.Info().Object("counters", set).Msg("")
	return out.String()
}

func TestCharacterization_Log(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, "nothing counted")
	out.WriteString(loggedSet(&telemetry.Counters{}))
	fmt.Fprintln(&out, "no set")
	out.WriteString(loggedSet(nil))
	fmt.Fprintln(&out, "every counter, with its number in the order of the log")
	out.WriteString(loggedSet(distinctSet()))
	fmt.Fprintln(&out, "one counter below zero, one at zero")
	set := &telemetry.Counters{}
	set.AddN(allCounters[0], -3)
	set.AddN(allCounters[1], 0)
	out.WriteString(loggedSet(set))
	recorded.Compare(t, "log.txt", out.String())
}

// document is the JSON of a snapshot, with each member on a line.
func document(tb testing.TB, set *telemetry.Counters) string {
	tb.Helper()
	text, err := json.MarshalIndent(set.Snapshot(), "", " ")
	if err != nil {
		tb.Fatal(err)
	}
	return string(text) + "\n"
}

func TestCharacterization_Snapshot(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, "no set")
	out.WriteString(document(t, nil))
	fmt.Fprintln(&out, "every counter, with its number in the order of the log")
	out.WriteString(document(t, distinctSet()))
	recorded.Compare(t, "snapshot.txt", out.String())
	if n := len((&telemetry.Counters{}).Snapshot().Counters); n != len(allCounters) {
		t.Errorf("%d counters, %d in the list of this test", n, len(allCounters))
	}
}

func TestCharacterization_SetUpTimes(t *testing.T) {
	set := &telemetry.Counters{}
	inTime := []int64{-1, 0, 1, 2, 15, 16, 17, 100, 999, 1000, 1001, 20_000, 20_001, 1_234_567, 59_999_999}
	late := []int64{60_000_000, 60_000_001, 1 << 50}
	for _, took := range inTime {
		set.RecordEstablished(took, true)
	}
	for _, took := range late {
		set.RecordEstablished(took, false)
		set.RecordEstablished(took, false)
	}
	var none *telemetry.Counters
	none.RecordEstablished(1, true)
	snapshot := set.Snapshot()
	var out strings.Builder
	for _, counter := range []telemetry.Counter{telemetry.AnsweredCalls, telemetry.AnsweredInTime} {
		fmt.Fprintf(&out, "counted %d\n", set.Get(counter))
	}
	buckets := make([]int64, 0, len(snapshot.Times))
	for top := range snapshot.Times {
		buckets = append(buckets, top)
	}
	slices.Sort(buckets)
	for _, top := range buckets {
		fmt.Fprintf(&out, "up to %d µs: %d\n", top, snapshot.Times[top])
	}
	recorded.Compare(t, "set-up-times.txt", out.String())
}
